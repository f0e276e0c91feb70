//! Sends datagrams to the other nodes: heartbeats, key loads, target changes and crash reports.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::evacuation::Report;
use crate::ids::ServiceId;
use crate::node::control::group::GroupMessage;
use crate::node::control::peers::Peers;
use crate::node::datagram::Datagram;
use crate::node::datagram::Heartbeat;
use crate::node::datagram::ListDigest;
use crate::node::datagram::Message;
use crate::node::datagram::ServiceTerm;
use crate::node::datagram::Tag;
use crate::node::datagram::target_tag;
use crate::node::fleet::TargetUpdate;
use crate::node::state::ShutdownStage;

/// Minimum time between two heartbeats.
const MIN_PERIOD: Duration = Duration::from_millis(150);
/// Heartbeat period per node of the data centre, so that the cost of heartbeats stays bounded when
/// there are many nodes.
const PERIOD_PER_NODE: Duration = Duration::from_millis(15);
/// Maximum time between two heartbeats, which limits the age of the loads in them.
const MAX_PERIOD: Duration = Duration::from_millis(300);
/// Periods between two heartbeats to other data centres; long, because that traffic is billed.
const REMOTE_PERIODS: u64 = 6;
/// Periods between two heartbeats to other data centres while this node leads a service.
const LEADER_REMOTE_PERIODS: u64 = 1;
/// Periods between two reports of key loads to the leaders.
const KEY_LOAD_PERIODS: u64 = 2;
/// Maximum number of keys in one datagram.
const KEYS_PER_DATAGRAM: usize = 120;
/// Maximum number of service times of targets in one datagram.
const SERVICE_TIMES_PER_DATAGRAM: usize = 40;

/// Maximum number of leaving targets in one datagram.
const LEAVING_PER_DATAGRAM: usize = 40;

impl Peers {
    /// Sends heartbeats and reports periodically until the process ends.
    pub async fn send(self: Rc<Self>) {
        while self.state.stage() < ShutdownStage::Ended {
            tokio::time::sleep(self.period()).await;
            let period = self.period_count.get() + 1;
            self.period_count.set(period);
            let now = Instant::now();
            self.remove_unresponsive(now);
            self.choose_reader(now);
            self.send_heartbeats(period, now);
            self.send_stated_loads(now);
            self.send_leaving();
            if period.is_multiple_of(KEY_LOAD_PERIODS) {
                self.send_key_loads();
            }
            self.send_crashes(now);
            self.send_limits(now);
            self.send_cold_reports(now);
            self.send_reach(now);
            self.update_relays(now);
            self.update_counts();
        }
    }

    pub(super) fn period(&self) -> Duration {
        let own = &self.state.conf.data_centre;
        let peers = self.peers.borrow();
        let local = peers.values().filter(|peer| peer.data_centre == *own);
        let period = PERIOD_PER_NODE * local.count() as u32;
        period.clamp(MIN_PERIOD, MAX_PERIOD)
    }

    /// Sends a heartbeat to every node at once, so that all learn what has changed on this node.
    pub fn send_heartbeat_to_all(&self) {
        let bytes = self.remote_heartbeat(Instant::now());
        for peer in self.peers.borrow().values() {
            self.send_to(peer.address, &bytes);
        }
    }

    /// Sends a heartbeat to one node.
    pub(super) fn send_heartbeat_to(&self, to: SocketAddr) {
        self.send_to(to, &self.remote_heartbeat(Instant::now()));
    }

    /// Returns a heartbeat for nodes of any data centre.
    fn remote_heartbeat(&self, now: Instant) -> Vec<u8> {
        let report = self.state.evacuations.borrow().remote_report(now);
        self.datagram(Message::Heartbeat(self.heartbeat(Vec::new(), report)))
    }

    /// Sends target changes to the nodes of this data centre; they apply to a list of targets with
    /// the digest `before`.
    pub fn send_target_updates(&self, before: ListDigest, updates: &[TargetUpdate]) {
        let own = &self.state.conf.data_centre;
        let bytes = self.datagram(Message::TargetUpdates(before, updates.to_vec()));
        let peers = self.peers.borrow();
        for peer in peers.values().filter(|peer| peer.data_centre == *own) {
            self.send_to(peer.address, &bytes);
        }
    }

    /// Sends a message to every node twice, since datagrams get lost.
    pub fn broadcast(&self, message: Message) {
        let bytes = self.datagram(message);
        for _ in 0..2 {
            for peer in self.peers.borrow().values() {
                self.send_to(peer.address, &bytes);
            }
        }
    }

    pub(super) fn datagram(&self, message: Message) -> Vec<u8> {
        let datagram = Datagram {
            node: self.state.conf.name.clone(),
            boot: self.state.boot,
            message,
        };
        datagram.encode()
    }

    /// Sends a datagram. Errors are ignored: receivers must cope with lost datagrams anyway.
    pub(super) fn send_to(&self, to: SocketAddr, bytes: &[u8]) {
        let _ = self.socket.try_send_to(bytes, to);
    }

    pub(super) fn heartbeat(
        &self,
        loads: Vec<(Tag, u16)>,
        evacuations: Option<Report>,
    ) -> Heartbeat {
        let groups = self.groups.borrow();
        let terms = groups.iter().map(|(service, group)| {
            let status = group.status();
            ServiceTerm {
                service: Tag::of(service.as_str()),
                term: status.term,
                leads: status.leads,
                ended: status.ended,
                awaits_reports: status.awaits_reports,
            }
        });
        Heartbeat {
            data_centre: self.state.conf.data_centre.clone(),
            cpu_capacity: self.state.conf.cpu_capacity,
            rules: self.state.rules_version(),
            list: self.state.list_schedule.borrow().position(Instant::now()),
            stranded: self.state.reach.is_stranded(),
            table_fails: self.state.table_health.borrow().is_failing(),
            terms: terms.collect(),
            loads,
            evacuations,
        }
    }

    pub(super) fn send_heartbeats(&self, period: u64, now: Instant) {
        let leads = self
            .groups
            .borrow()
            .values()
            .any(|group| group.status().leads.is_some());
        let remote_periods = if leads {
            LEADER_REMOTE_PERIODS
        } else {
            REMOTE_PERIODS
        };
        let report = self.state.evacuations.borrow().report(now);
        let local = self.datagram(Message::Heartbeat(self.heartbeat(self.loads(), report)));
        let remote = period
            .is_multiple_of(remote_periods)
            .then(|| self.remote_heartbeat(now));
        for peer in self.peers.borrow().values() {
            let is_local = peer.data_centre == self.state.conf.data_centre;
            match &remote {
                _ if is_local && peer.is_alive(now) => self.send_to(peer.address, &local),
                Some(remote) => self.send_to(peer.address, remote),
                None => {}
            }
        }
    }

    pub(super) fn loads(&self) -> Vec<(Tag, u16)> {
        if self.state.reach.is_stranded() {
            // The requests in flight did not arrive.
            return Vec::new();
        }
        let fleet = self.state.fleet.borrow();
        let now = Instant::now();
        let busy = fleet
            .iter()
            .filter(|target| target.in_flight.get() > 0 && target.link.takes_requests(now));
        let loads = busy.map(|target| {
            let count = target.in_flight.get().min(u16::MAX.into()) as u16;
            (target_tag(&target.entry.id), count)
        });
        loads.collect()
    }

    /// Sends the request counts of keys and the service times of targets to the leaders.
    pub(super) fn send_key_loads(&self) {
        let key_requests = std::mem::take(&mut *self.state.key_requests.borrow_mut());
        for (service, counts) in key_requests {
            let groups = self.groups.borrow();
            let Some(group) = groups.get(&service) else {
                continue;
            };
            let counts: Vec<(u16, u16)> = counts.into_iter().collect();
            let service_times = self.service_times(&service);
            let status = group.status();
            if status.leads.is_some() {
                group.send(GroupMessage::KeyLoad(counts, service_times));
                continue;
            }
            let peers = self.peers.borrow();
            let Some(leader) = status.leader.and_then(|name| peers.get(&name)) else {
                continue;
            };
            let tag = Tag::of(service.as_str());
            let mut chunks = service_times.chunks(SERVICE_TIMES_PER_DATAGRAM);
            for keys in counts.chunks(KEYS_PER_DATAGRAM) {
                let service_times = chunks.next().unwrap_or_default().to_vec();
                let bytes = self.datagram(Message::KeyLoad(tag, keys.to_vec(), service_times));
                self.send_to(leader.address, &bytes);
            }
        }
    }

    /// Sends the targets that announced that they are shutting down to the leaders that assign their
    /// keys; in each period, since datagrams get lost, until the targets are gone.
    fn send_leaving(&self) {
        for (service, group) in &*self.groups.borrow() {
            let fleet = self.state.fleet.borrow();
            let targets = fleet.of(service).iter();
            let leaving = targets
                .filter(|target| target.announced_leaving.get())
                .map(|target| (target_tag(&target.entry.id), target.entry.incarnation));
            let leaving: Vec<_> = leaving.take(LEAVING_PER_DATAGRAM).collect();
            if leaving.is_empty() {
                continue;
            }
            let peers = self.peers.borrow();
            if let Some(leader) = group.status().leader.and_then(|name| peers.get(&name)) {
                self.send_to(leader.address, &self.datagram(Message::Leaving(leaving)));
            }
        }
    }

    /// Returns the service times, in milliseconds, that have changed since the last call.
    pub(super) fn service_times(&self, service: &ServiceId) -> Vec<(Tag, u16)> {
        let fleet = self.state.fleet.borrow();
        let fresh = fleet.of(service).iter().filter_map(|target| {
            let ms = (target.take_changed_service_time()? * 1e3).min(f64::from(u16::MAX));
            Some((target_tag(&target.entry.id), ms as u16))
        });
        fresh.collect()
    }

    /// Sends the crash facts that this node has observed to all nodes. Facts received from others are
    /// not sent on, as every node gets them from their source.
    pub(super) fn send_crashes(&self, now: Instant) {
        let observed = self.state.crashes.observed_version();
        if observed == self.crashes_sent.replace(observed) {
            return;
        }
        self.broadcast(Message::Crashes(self.state.crashes.observed_report(now)));
    }
}
