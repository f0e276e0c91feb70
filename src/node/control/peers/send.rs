//! What this node tells the others.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

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

/// How often nodes of one data centre tell each other how busy targets are: at least, and for each
/// of them, so that many nodes do not spend their time on it; at most, since loads grow old.
const NEAR_PERIOD: Duration = Duration::from_millis(150);
const PERIOD_A_NODE: Duration = Duration::from_millis(15);
const LONGEST_PERIOD: Duration = Duration::from_millis(300);
/// Every how many periods the others hear of a node: bytes between data centres are paid for.
const FAR_PERIODS: u64 = 6;
/// Every how many periods they hear of one that leads a service.
const LEADER_PERIODS: u64 = 1;
/// Every how many periods requests by key are told to the leader.
const HEAT_PERIODS: u64 = 2;
/// Keys told in one datagram.
const KEYS_A_DATAGRAM: usize = 120;
/// Targets whose speed is told in one datagram.
const SPEEDS_A_DATAGRAM: usize = 40;

impl Peers {
    /// Sends regularly until the process ends.
    pub async fn send(self: Rc<Self>) {
        while self.state.stage() < ShutdownStage::Ended {
            tokio::time::sleep(self.period()).await;
            let period = self.periods.get() + 1;
            self.periods.set(period);
            let now = Instant::now();
            self.forget_silent(now);
            self.choose_reader(now);
            self.send_pulses(period, now);
            if period.is_multiple_of(HEAT_PERIODS) {
                self.send_heat();
            }
            self.send_crashes(now);
            self.count();
        }
    }

    pub(super) fn period(&self) -> Duration {
        let own = &self.state.conf.data_centre;
        let peers = self.peers.borrow();
        let near = peers.values().filter(|peer| peer.data_centre == *own);
        let paced = PERIOD_A_NODE * near.count() as u32;
        paced.clamp(NEAR_PERIOD, LONGEST_PERIOD)
    }

    /// Tells every node at once that this one leads no more.
    pub fn send_farewell(&self) {
        let pulse = Message::Heartbeat(self.pulse(Vec::new()));
        let bytes = self.datagram(pulse);
        for peer in self.peers.borrow().values() {
            self.post(peer.address, &bytes);
        }
    }

    /// Tells the nodes of this data centre what changed in a list that had the digest given.
    pub fn send_listings(&self, before: ListDigest, listings: &[TargetUpdate]) {
        let own = &self.state.conf.data_centre;
        let bytes = self.datagram(Message::TargetUpdates(before, listings.to_vec()));
        let peers = self.peers.borrow();
        for peer in peers.values().filter(|peer| peer.data_centre == *own) {
            self.post(peer.address, &bytes);
        }
    }

    /// Tells every node something; twice, since datagrams get lost.
    pub fn broadcast(&self, message: Message) {
        let bytes = self.datagram(message);
        for _ in 0..2 {
            for peer in self.peers.borrow().values() {
                self.post(peer.address, &bytes);
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

    /// Datagrams are hints: one that cannot be sent is as good as one that is lost.
    pub(super) fn post(&self, to: SocketAddr, bytes: &[u8]) {
        let _ = self.socket.try_send_to(bytes, to);
    }

    pub(super) fn pulse(&self, loads: Vec<(Tag, u16)>) -> Heartbeat {
        let groups = self.groups.borrow();
        let terms = groups.iter().map(|(service, group)| {
            let known = group.shown();
            ServiceTerm {
                service: Tag::of(service.as_str()),
                term: known.term,
                leads: known.leads,
                ended: known.ended,
            }
        });
        Heartbeat {
            data_centre: self.state.conf.data_centre.clone(),
            cpu_capacity: self.state.conf.cpu_capacity,
            rules: self.state.rules_version(),
            list: self.state.list_schedule.borrow().position(Instant::now()),
            terms: terms.collect(),
            loads,
        }
    }

    pub(super) fn send_pulses(&self, period: u64, now: Instant) {
        let leads = self
            .groups
            .borrow()
            .values()
            .any(|group| group.shown().leads.is_some());
        let far_every = if leads { LEADER_PERIODS } else { FAR_PERIODS };
        let near = self.datagram(Message::Heartbeat(self.pulse(self.loads())));
        let far = period
            .is_multiple_of(far_every)
            .then(|| self.datagram(Message::Heartbeat(self.pulse(Vec::new()))));
        for peer in self.peers.borrow().values() {
            let is_near = peer.data_centre == self.state.conf.data_centre;
            match &far {
                _ if is_near && peer.is_live(now) => self.post(peer.address, &near),
                Some(far) => self.post(peer.address, far),
                None => {}
            }
        }
    }

    pub(super) fn loads(&self) -> Vec<(Tag, u16)> {
        let fleet = self.state.fleet.borrow();
        let busy = fleet.iter().filter(|target| target.in_flight.get() > 0);
        let loads = busy.map(|target| {
            let count = target.in_flight.get().min(u16::MAX.into()) as u16;
            (target_tag(&target.entry.id), count)
        });
        loads.collect()
    }

    /// Tells the leaders how busy keys are, and how fast targets.
    pub(super) fn send_heat(&self) {
        let heat = std::mem::take(&mut *self.state.key_requests.borrow_mut());
        for (service, counts) in heat {
            let groups = self.groups.borrow();
            let Some(group) = groups.get(&service) else {
                continue;
            };
            let counts: Vec<(u16, u16)> = counts.into_iter().collect();
            let speeds = self.speeds(&service);
            let known = group.shown();
            if known.leads.is_some() {
                group.post(GroupMessage::Heat(counts, speeds));
                continue;
            }
            let peers = self.peers.borrow();
            let Some(leader) = known.leader.and_then(|name| peers.get(&name)) else {
                continue;
            };
            let tag = Tag::of(service.as_str());
            let mut told = speeds.chunks(SPEEDS_A_DATAGRAM);
            for part in counts.chunks(KEYS_A_DATAGRAM) {
                let speeds = told.next().unwrap_or_default().to_vec();
                let bytes = self.datagram(Message::KeyLoad(tag, part.to_vec(), speeds));
                self.post(leader.address, &bytes);
            }
        }
    }

    /// Returns the milliseconds that targets take, where they have changed.
    pub(super) fn speeds(&self, service: &ServiceId) -> Vec<(Tag, u16)> {
        let fleet = self.state.fleet.borrow();
        let fresh = fleet.of(service).iter().filter_map(|target| {
            let ms = (target.take_changed_service_time()? * 1e3).min(f64::from(u16::MAX));
            Some((target_tag(&target.entry.id), ms as u16))
        });
        fresh.collect()
    }

    pub(super) fn send_crashes(&self, now: Instant) {
        let learned = self.state.crashes.learned();
        if learned == self.crashes_told.replace(learned) {
            return;
        }
        self.broadcast(Message::Crashes(self.state.crashes.recent(now)));
    }
}
