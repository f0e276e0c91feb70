//! The other nodes: tracks which are alive, and dispatches the datagrams that they send.

mod limits;
mod loads;
mod reach;
mod send;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::cold_start::Members;
use crate::evacuation::Report;
use crate::events::Event;
use crate::ids::BootId;
use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::ids::VmId;
use crate::node::control::group::GroupHandle;
use crate::node::control::group::GroupMessage;
use crate::node::control::rows;
use crate::node::control::rows::NodeRow;
use crate::node::control::watch;
use crate::node::datagram::Datagram;
use crate::node::datagram::Heartbeat;
use crate::node::datagram::ListPosition;
use crate::node::datagram::MAX_DATAGRAM_BYTES;
use crate::node::datagram::Message;
use crate::node::datagram::Tag;
use crate::node::evacuations;
use crate::node::keys::election::CpuCapacity;
use crate::node::keys::election::Election;
use crate::node::keys::tenure::KnownNodes;
use crate::node::notices::NoticeSource;
use crate::node::notices::record_leaving;
use crate::node::platform::Cursor;
use crate::node::reader;
use crate::node::reader::Neighbour;
use crate::node::rules_lag::RulesLag;
use crate::node::state::State;
use crate::platform::Row;

/// A node without a heartbeat for this long is considered dead: it is left out of election
/// ranks, and its load on targets no longer counts.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(3_500);
/// A node without a heartbeat for this long is removed until it sends one or its row is read again.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(12);

/// What this node knows about another node.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// The id of its process; `None` until its first heartbeat.
    boot: Option<BootId>,
    data_centre: DataCentre,
    cpu_capacity: CpuCapacity,
    /// When the node was added.
    added: Instant,
    last_heartbeat: Option<Instant>,
    /// Whether it reaches no target, by its last heartbeat.
    stranded: bool,
    /// The version of its rules, by its last heartbeat.
    rules: u64,
    /// Whether its calls to the table fail, by its last heartbeat.
    table_fails: bool,
    /// Its requests in flight by target.
    loads: Vec<(Tag, u16)>,
    /// When it was first asked for a permit since it last sent a datagram.
    asked_since: Option<Instant>,
}

/// The other nodes, and the socket on which datagrams are exchanged with them.
#[derive(Debug)]
pub struct Peers {
    state: Rc<State>,
    /// When this process began.
    started: Instant,
    socket: UdpSocket,
    peers: RefCell<BTreeMap<VmId, Peer>>,
    /// The other nodes, also after they were removed from `peers`.
    members: RefCell<Members>,
    /// Whether this node issues the permits for cold targets, and when that was determined.
    issuer_checks: RefCell<BTreeMap<Tag, (Instant, bool)>>,
    groups: RefCell<BTreeMap<ServiceId, GroupHandle>>,
    /// Notified when another node has had newer rules than this one for some time.
    pub rules_hint: Rc<Notify>,
    rules_lag: RefCell<RulesLag>,
    crashes_sent: Cell<u64>,
    /// Whether the rows of the other nodes have been read.
    rows_read: Cell<bool>,
    period_count: Cell<u64>,
    /// When all targets that this node does not reach were last reported to the other nodes.
    reach_reported: Cell<Option<Instant>>,
    /// When another node last read the list of targets from the platform.
    last_table_read: Cell<Option<Instant>>,
}

impl Peers {
    /// Creates an instance without other nodes.
    pub fn new(state: Rc<State>, socket: UdpSocket) -> Self {
        Self {
            state,
            started: Instant::now(),
            socket,
            peers: RefCell::default(),
            members: RefCell::default(),
            issuer_checks: RefCell::default(),
            groups: RefCell::default(),
            rules_hint: Rc::default(),
            rules_lag: RefCell::default(),
            crashes_sent: Cell::new(0),
            rows_read: Cell::new(false),
            period_count: Cell::new(0),
            reach_reported: Cell::new(None),
            last_table_read: Cell::new(None),
        }
    }

    /// Registers the group that receives the messages for a service.
    pub fn add_group(&self, service: &ServiceId, group: GroupHandle) {
        self.groups.borrow_mut().insert(service.clone(), group);
    }

    /// Returns true if a group is registered for the service.
    pub fn has_group(&self, service: &ServiceId) -> bool {
        self.groups.borrow().contains_key(service)
    }

    /// Adds the nodes whose rows were read from the table.
    pub fn add_rows(&self, listed: &[Row], now: Instant) {
        self.rows_read.set(true);
        for row in listed {
            let name = row.key.trim_start_matches(rows::NODE_PREFIX);
            match rows::decode::<NodeRow>(&row.value) {
                Some(node) => self.add_peer(&VmId::from(name), &node, None, now),
                None => self.state.log.record(Event::RowMalformed, |line| {
                    line.text("row", &row.key);
                }),
            }
        }
        self.update_counts();
    }

    /// Returns true if another node is alive and reaches targets.
    pub fn any_reaches_targets(&self, now: Instant) -> bool {
        let peers = self.peers.borrow();
        peers
            .values()
            .any(|peer| peer.is_alive(now) && !peer.stranded)
    }

    /// Returns the rank of this node among the nodes that are alive and reach targets; lower ranks
    /// campaign earlier.
    pub fn rank(&self, election: &Election, now: Instant) -> u32 {
        let peers = self.peers.borrow();
        let alive = peers
            .iter()
            .filter(|(_, peer)| peer.is_alive(now) && !peer.stranded);
        let conf = &self.state.conf;
        let alive = alive.map(|(name, peer)| (name, peer.cpu_capacity));
        election.rank((&conf.name, conf.cpu_capacity), alive)
    }

    /// Returns the known nodes with the processes that this node has received heartbeats from.
    pub fn processes(&self) -> KnownNodes {
        let peers = self.peers.borrow();
        let processes = peers.iter().map(|(name, peer)| (name.clone(), peer.boot));
        processes.collect()
    }

    /// Returns when another node last read the list of targets from the platform, by its
    /// heartbeats.
    pub fn last_table_read(&self) -> Option<Instant> {
        self.last_table_read.get()
    }

    /// Returns true if other nodes are known and all of them are alive.
    pub fn all_alive(&self, now: Instant) -> bool {
        let peers = self.peers.borrow();
        !peers.is_empty() && peers.values().all(|peer| peer.is_alive(now))
    }

    /// Receives and dispatches datagrams until the process ends.
    pub async fn receive(self: Rc<Self>) {
        let mut bytes = vec![0; 2 * MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((length, from)) => {
                    if let Some(datagram) = Datagram::decode(&bytes[..length]) {
                        self.dispatch(datagram, from, Instant::now());
                    }
                }
                // A closed port of another node is reported here; missing heartbeats detect it.
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    fn add_peer(&self, name: &VmId, node: &NodeRow, boot: Option<BootId>, now: Instant) {
        if *name == self.state.conf.name {
            return;
        }
        self.members.borrow_mut().record_listed(name, now);
        let mut peers = self.peers.borrow_mut();
        let is_current = |peer: &Peer| match boot {
            Some(boot) => peer.boot == Some(boot),
            None => peer.address == node.address,
        };
        if peers.get(name).is_some_and(is_current) {
            return;
        }
        let peer = Peer {
            address: node.address,
            boot,
            data_centre: node.data_centre.clone(),
            cpu_capacity: CpuCapacity::default(),
            added: now,
            last_heartbeat: None,
            stranded: false,
            rules: 0,
            table_fails: false,
            loads: Vec::new(),
            asked_since: None,
        };
        self.state.reach.forget_node(name);
        if let Some(old) = peers.insert(name.clone(), peer) {
            self.remove_loads(&old);
        }
    }

    fn dispatch(&self, datagram: Datagram, from: SocketAddr, now: Instant) {
        let Datagram {
            node,
            boot,
            message,
        } = datagram;
        if node == self.state.conf.name {
            return;
        }
        if let Some(peer) = self.peers.borrow_mut().get_mut(&node) {
            peer.asked_since = None;
        }
        match message {
            Message::Heartbeat(heartbeat) => {
                self.handle_heartbeat(&node, boot, heartbeat, from, now)
            }
            Message::KeyLoad(tag, counts, service_times) => {
                self.send_to_group(tag, || GroupMessage::KeyLoad(counts, service_times));
            }
            Message::Moved(tag, sequence, locations) => {
                self.send_to_group(tag, || GroupMessage::RangesMoved(sequence, locations));
            }
            Message::Crashes(report) => self.state.crashes.merge(&report, now),
            Message::TargetUpdates(before, updates) => {
                watch::apply_updates(&self.state, before, updates, now);
            }
            Message::Leaving(targets) => self.record_leaving(&targets),
            Message::Limits(reports) => self.handle_limits(&reports, now),
            Message::PermitRequest(request) => self.handle_permit_request(request, from, now),
            Message::Permit(number, wait_ms) => self.handle_permit(number, wait_ms),
            Message::Cold(reports) => self.handle_cold(&reports, now),
            Message::StatedLoads(reports) => self.handle_stated_loads(&reports, now),
            Message::Reach(report) => self.handle_reach(&node, boot, &report, now),
            Message::Evacuations(report) => self.merge_evacuations(&report, now),
        }
    }

    fn handle_heartbeat(
        &self,
        node: &VmId,
        boot: BootId,
        heartbeat: Heartbeat,
        from: SocketAddr,
        now: Instant,
    ) {
        let row = NodeRow {
            address: from,
            data_centre: heartbeat.data_centre,
        };
        self.add_peer(node, &row, Some(boot), now);
        self.members.borrow_mut().record_heartbeat(node, now);
        self.update_loads(node, heartbeat.loads, now);
        if let Some(peer) = self.peers.borrow_mut().get_mut(node) {
            peer.cpu_capacity = heartbeat.cpu_capacity;
            peer.stranded = heartbeat.stranded;
            peer.rules = heartbeat.rules;
            peer.table_fails = heartbeat.table_fails;
        }
        let generation = heartbeat.list.cursor.generation;
        let newest = self.state.generation.get().max(generation);
        self.state.generation.set(newest);
        self.compare_rules(heartbeat.rules, now);
        if let Some(report) = &heartbeat.evacuations {
            self.merge_evacuations(report, now);
        }
        self.record_table_read(heartbeat.list, now);
        self.record_list(node, heartbeat.list, now);
        // Nodes of this data centre send heartbeats in every period.
        let is_remote = row.data_centre != self.state.conf.data_centre;
        if is_remote && heartbeat.terms.iter().any(|term| term.awaits_reports) {
            self.send_heartbeat_to(from);
        }
        for term in heartbeat.terms {
            let leads = term.leads;
            self.send_to_group(term.service, || GroupMessage::Peer {
                node: node.clone(),
                boot,
                term: term.term,
                leads,
                ended: term.ended,
            });
        }
    }

    fn merge_evacuations(&self, report: &Report, now: Instant) {
        if !evacuations::merge(&self.state, report, now) {
            self.rules_hint.notify_waiters();
        }
    }

    fn record_leaving(&self, targets: &[(Tag, u64)]) {
        for (tag, incarnation) in targets {
            let target = self.state.fleet.borrow().by_tag(*tag).cloned();
            if let Some(target) = target.filter(|t| t.entry.incarnation == *incarnation) {
                record_leaving(&self.state, &target, NoticeSource::OtherNode);
            }
        }
    }

    fn update_loads(&self, node: &VmId, loads: Vec<(Tag, u16)>, now: Instant) {
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(node) else {
            return;
        };
        if peer.last_heartbeat.is_none() {
            self.state
                .log
                .record(Event::PeerSeen, |line| line.text("peer", node.as_str()));
        }
        peer.last_heartbeat = Some(now);
        let old = std::mem::replace(&mut peer.loads, loads);
        self.add_loads(&old, false);
        self.add_loads(&peer.loads, true);
    }

    fn remove_loads(&self, peer: &Peer) {
        self.add_loads(&peer.loads, false);
    }

    fn add_loads(&self, loads: &[(Tag, u16)], add: bool) {
        let fleet = self.state.fleet.borrow();
        for (tag, count) in loads {
            let Some(target) = fleet.by_tag(*tag) else {
                continue;
            };
            let current = target.peer_in_flight.get();
            let count = u32::from(*count);
            target.peer_in_flight.set(match add {
                true => current + count,
                false => current.saturating_sub(count),
            });
        }
    }

    fn compare_rules(&self, version: u64, now: Instant) {
        let own = self.state.rules_version();
        let is_polling = self.state.is_reader.get();
        let mut rules_lag = self.rules_lag.borrow_mut();
        if rules_lag.observe(version, own, is_polling, now) {
            // A read that is in progress gets the newest rules, so only a waiting task is notified.
            self.rules_hint.notify_waiters();
        }
    }

    fn record_table_read(&self, position: ListPosition, now: Instant) {
        let age = Duration::from_millis(position.age_ms.into());
        let has_read = position.cursor != Cursor::default();
        if let Some(read) = now.checked_sub(age).filter(|_| has_read) {
            self.last_table_read
                .set(self.last_table_read.get().max(Some(read)));
        }
    }

    /// Records what a node of this data centre has read of the list of targets.
    fn record_list(&self, node: &VmId, position: ListPosition, now: Instant) {
        let peers = self.peers.borrow();
        let own = &self.state.conf.data_centre;
        let is_local = peers.get(node).is_some_and(|peer| peer.data_centre == *own);
        if is_local {
            self.state
                .list_schedule
                .borrow_mut()
                .record_peer(position, now);
            self.state.list_check.notify_waiters();
        }
    }

    /// Decides whether this node reads rules and targets for its data centre.
    fn choose_reader(&self, now: Instant) {
        let conf = &self.state.conf;
        let peers = self.peers.borrow();
        let local = peers
            .iter()
            .filter(|(_, peer)| peer.data_centre == conf.data_centre);
        let neighbours = local.map(|(name, peer)| Neighbour {
            name,
            last_heartbeat: peer.last_heartbeat,
            table_fails: peer.table_fails,
        });
        let is_reader = reader::is_reader(&conf.name, self.started, neighbours, now);
        if self.state.is_reader.replace(is_reader) != is_reader {
            self.state.list_check.notify_waiters();
        }
    }

    fn send_to_group(&self, tag: Tag, message: impl FnOnce() -> GroupMessage) {
        let groups = self.groups.borrow();
        let group = groups
            .iter()
            .find(|(name, _)| Tag::of(name.as_str()) == tag);
        if let Some((_, group)) = group {
            group.send(message());
        }
    }

    fn remove_unresponsive(&self, now: Instant) {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|name, peer| {
            let keep = now.saturating_duration_since(peer.last_seen()) < REMOVAL_TIMEOUT;
            if !peer.is_alive(now) && !peer.loads.is_empty() {
                let loads = std::mem::take(&mut peer.loads);
                self.add_loads(&loads, false);
            }
            if !keep {
                self.state.reach.forget_node(name);
                self.state
                    .log
                    .record(Event::PeerLost, |line| line.text("peer", name.as_str()));
            }
            keep
        });
    }

    fn update_counts(&self) {
        let peers = self.peers.borrow();
        self.state.nodes.set(peers.len() + 1);
        let own = [&self.state.conf.data_centre];
        let all: BTreeSet<_> = peers
            .values()
            .map(|peer| &peer.data_centre)
            .chain(own)
            .collect();
        self.state.data_centres.set(all.len());
    }
}

impl Peer {
    fn last_seen(&self) -> Instant {
        self.last_heartbeat.unwrap_or(self.added)
    }

    fn is_alive(&self, now: Instant) -> bool {
        self.last_heartbeat
            .is_some_and(|at| now.saturating_duration_since(at) < ALIVE_TIMEOUT)
    }
}
