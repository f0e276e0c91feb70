//! The other nodes: who lives, and what they tell.

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
use crate::node::datagram::target_tag;
use crate::node::keys::election::CpuCapacity;
use crate::node::keys::election::Election;
use crate::node::platform::Cursor;
use crate::node::rules_lag::RulesLag;
use crate::node::state::State;
use crate::platform::Row;

/// A node that is silent for this long takes no requests, as far as known.
const LIVE_SPAN: Duration = Duration::from_millis(3_500);
/// A near node that is silent for this long reads no list for the others.
const FRESH_SPAN: Duration = Duration::from_millis(1_000);
/// A node that is silent for this long is forgotten until its row is read again.
const FORGET_SPAN: Duration = Duration::from_secs(12);

/// Another node.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// Its process, once it was heard.
    boot: Option<BootId>,
    data_centre: DataCentre,
    cpu_capacity: CpuCapacity,
    known: Instant,
    heard: Option<Instant>,
    loads: Vec<(Tag, u16)>,
}

/// The other nodes and the socket to them.
#[derive(Debug)]
pub struct Peers {
    state: Rc<State>,
    socket: UdpSocket,
    peers: RefCell<BTreeMap<VmId, Peer>>,
    groups: RefCell<BTreeMap<ServiceId, GroupHandle>>,
    /// Rings when another node has had newer rules for a while.
    pub rules_hint: Rc<Notify>,
    lag: RefCell<RulesLag>,
    crashes_told: Cell<u64>,
    periods: Cell<u64>,
    /// When another node last read the table with success.
    table_read: Cell<Option<Instant>>,
}

impl Peers {
    /// Starts with no other node known.
    pub fn new(state: Rc<State>, socket: UdpSocket) -> Self {
        Self {
            state,
            socket,
            peers: RefCell::default(),
            groups: RefCell::default(),
            rules_hint: Rc::default(),
            lag: RefCell::default(),
            crashes_told: Cell::new(0),
            periods: Cell::new(0),
            table_read: Cell::new(None),
        }
    }

    /// Adds the group of a service.
    pub fn add_group(&self, service: &ServiceId, group: GroupHandle) {
        self.groups.borrow_mut().insert(service.clone(), group);
    }

    /// Returns whether a service has a group.
    pub fn has_group(&self, service: &ServiceId) -> bool {
        self.groups.borrow().contains_key(service)
    }

    /// Takes the rows of nodes.
    pub fn learn_rows(&self, listed: &[Row], now: Instant) {
        for row in listed {
            let name = row.key.trim_start_matches(rows::NODE_PREFIX);
            match rows::decode::<NodeRow>(&row.value) {
                Some(node) => self.learn(&VmId::from(name), &node, None, now),
                None => self.state.log.record(Event::RowMalformed, |line| {
                    line.text("row", &row.key);
                }),
            }
        }
        self.count();
    }

    /// Returns the rank of this node in an election.
    pub fn rank(&self, election: &Election, now: Instant) -> u32 {
        let peers = self.peers.borrow();
        let live = peers.iter().filter(|(_, peer)| peer.is_live(now));
        let conf = &self.state.conf;
        let live = live.map(|(name, peer)| (name, peer.cpu_capacity));
        election.rank((&conf.name, conf.cpu_capacity), live)
    }

    /// Returns when another node last read the table with success, as far as they have told.
    pub fn table_read(&self) -> Option<Instant> {
        self.table_read.get()
    }

    /// Returns whether every known node was heard lately, and any is known.
    pub fn all_heard(&self, now: Instant) -> bool {
        let peers = self.peers.borrow();
        !peers.is_empty() && peers.values().all(|peer| peer.is_live(now))
    }

    /// Receives until the process ends.
    pub async fn receive(self: Rc<Self>) {
        let mut bytes = vec![0; 2 * MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut bytes).await {
                Ok((length, from)) => {
                    if let Some(datagram) = Datagram::decode(&bytes[..length]) {
                        self.take(datagram, from, Instant::now());
                    }
                }
                // A peer's port that nobody listens on is reported here; its silence tells more.
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    fn learn(&self, name: &VmId, node: &NodeRow, boot: Option<BootId>, now: Instant) {
        if *name == self.state.conf.name {
            return;
        }
        let mut peers = self.peers.borrow_mut();
        let is_known = |peer: &Peer| match boot {
            Some(boot) => peer.boot == Some(boot),
            None => peer.address == node.address,
        };
        if peers.get(name).is_some_and(is_known) {
            return;
        }
        let peer = Peer {
            address: node.address,
            boot,
            data_centre: node.data_centre.clone(),
            cpu_capacity: CpuCapacity::default(),
            known: now,
            heard: None,
            loads: Vec::new(),
        };
        if let Some(old) = peers.insert(name.clone(), peer) {
            self.unload(&old);
        }
    }

    fn take(&self, datagram: Datagram, from: SocketAddr, now: Instant) {
        let Datagram {
            node,
            boot,
            message,
        } = datagram;
        if node == self.state.conf.name {
            return;
        }
        match message {
            Message::Heartbeat(pulse) => self.take_pulse(&node, boot, pulse, from, now),
            Message::KeyLoad(tag, counts, speeds) => {
                self.tell(tag, || GroupMessage::Heat(counts, speeds));
            }
            Message::Moved(tag, sequence, places) => {
                self.tell(tag, || GroupMessage::Moved(sequence, places));
            }
            Message::Crashes(report) => self.state.crashes.merge(&report, now),
            Message::TargetUpdates(before, listings) => {
                watch::take_listings(&self.state, before, listings, now);
            }
        }
    }

    fn take_pulse(
        &self,
        node: &VmId,
        boot: BootId,
        pulse: Heartbeat,
        from: SocketAddr,
        now: Instant,
    ) {
        let row = NodeRow {
            address: from,
            data_centre: pulse.data_centre,
        };
        self.learn(node, &row, Some(boot), now);
        self.take_loads(node, pulse.loads, now);
        if let Some(peer) = self.peers.borrow_mut().get_mut(node) {
            peer.cpu_capacity = pulse.cpu_capacity;
        }
        self.compare_rules(pulse.rules, now);
        self.note_table_read(pulse.list, now);
        self.compare_list(node, pulse.list, now);
        for term in pulse.terms {
            let leads = term.leads;
            self.tell(term.service, || GroupMessage::Peer {
                node: node.clone(),
                boot,
                term: term.term,
                leads,
                ended: term.ended,
            });
        }
    }

    fn take_loads(&self, node: &VmId, loads: Vec<(Tag, u16)>, now: Instant) {
        let mut peers = self.peers.borrow_mut();
        let Some(peer) = peers.get_mut(node) else {
            return;
        };
        if peer.heard.is_none() {
            self.state
                .log
                .record(Event::PeerSeen, |line| line.text("peer", node.as_str()));
        }
        peer.heard = Some(now);
        let old = std::mem::replace(&mut peer.loads, loads);
        self.add_loads(&old, false);
        self.add_loads(&peer.loads, true);
    }

    fn unload(&self, peer: &Peer) {
        self.add_loads(&peer.loads, false);
    }

    fn add_loads(&self, loads: &[(Tag, u16)], add: bool) {
        if loads.is_empty() {
            return;
        }
        let fleet = self.state.fleet.borrow();
        let by_tag: BTreeMap<Tag, u16> = loads.iter().copied().collect();
        for target in fleet.iter() {
            if let Some(count) = by_tag.get(&target_tag(&target.entry.id)) {
                let held = target.peer_in_flight.get();
                let count = u32::from(*count);
                target.peer_in_flight.set(match add {
                    true => held + count,
                    false => held.saturating_sub(count),
                });
            }
        }
    }

    fn compare_rules(&self, theirs: u64, now: Instant) {
        let own = self.state.rules_version();
        if self.lag.borrow_mut().observe(theirs, own, now) {
            self.rules_hint.notify_one();
        }
    }

    fn note_table_read(&self, mark: ListPosition, now: Instant) {
        let age = Duration::from_millis(mark.age_ms.into());
        let has_read = mark.cursor != Cursor::default();
        if let Some(read) = now.checked_sub(age).filter(|_| has_read) {
            self.table_read.set(self.table_read.get().max(Some(read)));
        }
    }

    /// Takes what a node of this data centre has read of the list of targets.
    fn compare_list(&self, node: &VmId, mark: ListPosition, now: Instant) {
        let peers = self.peers.borrow();
        let own = &self.state.conf.data_centre;
        let is_near = peers.get(node).is_some_and(|peer| peer.data_centre == *own);
        if is_near {
            self.state.list_schedule.borrow_mut().record_peer(mark, now);
            self.state.list_check.notify_waiters();
        }
    }

    /// The first live node of a data centre, by name, reads the list for the others.
    fn choose_reader(&self, now: Instant) {
        let conf = &self.state.conf;
        let peers = self.peers.borrow();
        let is_before = |(name, peer): (&VmId, &Peer)| {
            *name < conf.name && peer.data_centre == conf.data_centre && peer.is_fresh(now)
        };
        let is_reader = !peers.iter().any(is_before);
        if self.state.is_reader.replace(is_reader) != is_reader {
            self.state.list_check.notify_waiters();
        }
    }

    fn tell(&self, tag: Tag, message: impl FnOnce() -> GroupMessage) {
        let groups = self.groups.borrow();
        let group = groups
            .iter()
            .find(|(name, _)| Tag::of(name.as_str()) == tag);
        if let Some((_, group)) = group {
            group.post(message());
        }
    }

    fn forget_silent(&self, now: Instant) {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|name, peer| {
            let keep = now.saturating_duration_since(peer.since()) < FORGET_SPAN;
            if !peer.is_live(now) && !peer.loads.is_empty() {
                let loads = std::mem::take(&mut peer.loads);
                self.add_loads(&loads, false);
            }
            if !keep {
                self.state
                    .log
                    .record(Event::PeerLost, |line| line.text("peer", name.as_str()));
            }
            keep
        });
    }

    fn count(&self) {
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
    fn since(&self) -> Instant {
        self.heard.unwrap_or(self.known)
    }

    /// Returns whether a node of the same data centre was heard in its last few periods.
    fn is_fresh(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|at| now.saturating_duration_since(at) < FRESH_SPAN)
    }

    fn is_live(&self, now: Instant) -> bool {
        self.heard
            .is_some_and(|at| now.saturating_duration_since(at) < LIVE_SPAN)
    }
}
