//! One keyed service at one node: its election, and its leader's orders when this node leads.

mod campaign;
mod lead;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::events::Event;
use crate::ids::BootId;
use crate::ids::ServiceId;
use crate::ids::VmId;
use crate::node::control::peers::Peers;
use crate::node::control::rows;
use crate::node::counters::Counter;
use crate::node::datagram::Tag;
use crate::node::keys::election::Election;
use crate::node::keys::election::Lease;
use crate::node::keys::key_load::KeyLoad;
use crate::node::keys::leader::Leader;
use crate::node::keys::leader::OrderId;
use crate::node::keys::leader::OrderOutcome;
use crate::node::keys::map::KeyMap;
use crate::node::keys::view::RangeLocation;
use crate::node::keys::view::Sequence;
use crate::node::platform::Platform;
use crate::node::state::BootClock;
use crate::node::state::ShutdownStage;
use crate::node::state::State;
use crate::platform::Row;
use crate::platform::Table;
use crate::platform::TableError;

/// How often a leader looks at its ranges.
const LEADER_TICK: Duration = Duration::from_millis(50);
/// How often the others look for a leader.
const FOLLOWER_TICK: Duration = Duration::from_millis(150);
/// How long announcements may be missing before the stored map is read, and the pause between two
/// tries: the missing ones are mostly just overtaken.
const MAP_PATIENCE: Duration = Duration::from_millis(400);

/// What a group is told.
#[derive(Debug)]
pub enum GroupMessage {
    /// What another node knows of the leader.
    Peer {
        /// The node.
        node: VmId,
        /// Its process.
        boot: BootId,
        /// The newest term that it knows.
        term: u64,
        /// Its newest announcement, if it leads.
        leads: Option<u64>,
        /// Its own last term, if it gives no more orders in it.
        ended: Option<u64>,
    },
    /// Requests by key, and the milliseconds that targets take.
    Heat(Vec<(u16, u16)>, Vec<(Tag, u16)>),
    /// An announcement of the leader.
    Moved(Sequence, Vec<RangeLocation>),
    /// The end of an order.
    Ended(OrderId, OrderOutcome),
    /// The end of a write of the map.
    Written(Result<bool, ()>),
    /// What the lease row holds, read by a call that began then; `None` when it was not read.
    Lease(Option<Row>, Instant),
    /// The stored map, by a read that began after this was announced.
    Map(Option<KeyMap>, Sequence),
    /// The node is to lead no more.
    Resign,
}

/// What a group shows to the other tasks.
#[derive(Clone, Debug, Default)]
pub struct Shown {
    /// The newest term known.
    pub term: u64,
    /// The leader's node.
    pub leader: Option<VmId>,
    /// The newest announcement, if this node leads.
    pub leads: Option<u64>,
    /// The last term that this process led, if it gives no more orders in it.
    pub ended: Option<u64>,
}

/// The way to a group.
#[derive(Clone, Debug)]
pub struct GroupHandle {
    sender: mpsc::UnboundedSender<GroupMessage>,
    shown: Rc<RefCell<Shown>>,
}

impl GroupHandle {
    /// Tells the group something.
    pub fn post(&self, message: GroupMessage) {
        // The receiver ends only with the process.
        let _ = self.sender.send(message);
    }

    /// Returns what the group shows.
    pub fn shown(&self) -> Shown {
        self.shown.borrow().clone()
    }
}

/// A leader with the rows that it writes.
struct Leading {
    leader: Leader,
    lease: Lease,
    lease_revision: u64,
    map_revision: Rc<std::cell::Cell<u64>>,
    checked: Instant,
    checking: bool,
}

/// The state of a group.
struct Group<T, P> {
    service: ServiceId,
    state: Rc<State>,
    peers: Rc<Peers>,
    table: Rc<T>,
    platform: Rc<P>,
    clock: BootClock,
    election: Election,
    leading: Option<Leading>,
    heat: KeyLoad,
    /// The milliseconds that targets take, as all nodes tell.
    speeds: BTreeMap<Tag, f64>,
    handle: GroupHandle,
    /// The newest announcement of the leader that this node has heard of.
    seen: Sequence,
    /// Since when announcements are missing.
    behind: Option<Instant>,
    map_asked: Option<Instant>,
    map_started: bool,
}

/// Starts a group; returns the way to it.
pub fn start<T, P>(
    service: &ServiceId,
    state: &Rc<State>,
    peers: &Rc<Peers>,
    table: &Rc<T>,
    platform: &Rc<P>,
) -> GroupHandle
where
    T: Table + 'static,
    P: Platform,
{
    let (sender, receiver) = mpsc::unbounded_channel();
    let handle = GroupHandle {
        sender,
        shown: Rc::default(),
    };
    let clock = BootClock::new();
    let now = clock.now();
    let group = Group {
        service: service.clone(),
        state: state.clone(),
        peers: peers.clone(),
        table: table.clone(),
        platform: platform.clone(),
        clock,
        election: Election::new(service.clone(), now),
        leading: None,
        heat: KeyLoad::new(now),
        speeds: BTreeMap::new(),
        handle: handle.clone(),
        seen: Sequence::default(),
        behind: None,
        map_asked: None,
        map_started: false,
    };
    tokio::task::spawn_local(group.run(receiver));
    handle
}

impl<T: Table + 'static, P: Platform> Group<T, P> {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<GroupMessage>) {
        let mut due = Instant::now();
        loop {
            let period = match self.leading {
                Some(_) => LEADER_TICK,
                None => FOLLOWER_TICK,
            };
            tokio::select! {
                message = receiver.recv() => match message {
                    Some(message) => self.take(message),
                    None => return,
                },
                () = tokio::time::sleep_until(due.into()) => {
                    due = Instant::now() + period;
                    self.tick().await;
                }
            }
            self.show();
        }
    }

    fn take(&mut self, message: GroupMessage) {
        let now = self.clock.now();
        match message {
            GroupMessage::Peer {
                node,
                boot,
                term,
                leads,
                ended,
            } => self.heard(&node, boot, (term, leads, ended), now),
            GroupMessage::Heat(counts, speeds) => {
                for (key, count) in counts {
                    self.heat.add(key, count.into());
                }
                for (target, ms) in speeds {
                    self.learn_speed(target, ms);
                }
            }
            GroupMessage::Moved(sequence, places) => self.moved(sequence, &places),
            GroupMessage::Ended(id, end) => {
                let actions = match &mut self.leading {
                    Some(leading) => leading.leader.order_ended(id, end, now),
                    None => Vec::new(),
                };
                self.act(actions);
            }
            GroupMessage::Written(written) => self.written(written),
            GroupMessage::Lease(row, begun) => self.lease_read(row, begun, now),
            GroupMessage::Map(map, seen) => self.map_read(map, seen),
            GroupMessage::Resign => self.step_down("the node stops", now),
        }
    }

    async fn tick(&mut self) {
        if !self.state.fleet.borrow().is_loaded() {
            return;
        }
        let now = self.clock.now();
        self.heat.decay(now);
        if self.leading.is_some() {
            self.lead(now);
            return;
        }
        self.follow(now);
        let rank = self.peers.rank(&self.election, Instant::now());
        let eligible = self.state.stage() == ShutdownStage::Serving;
        if eligible && self.election.should_campaign(rank, now) {
            self.campaign().await;
        }
    }

    /// Reads the map when the leader has announced more than this node knows.
    fn follow(&mut self, now: Instant) {
        // Without a leader's announcement the stored map is the only word on owners.
        let behind = self.seen > self.sequence() || !self.map_started;
        if !behind {
            self.behind = None;
            return;
        }
        let since = *self.behind.get_or_insert(now);
        if now.saturating_duration_since(since) < MAP_PATIENCE {
            return;
        }
        if self
            .map_asked
            .is_some_and(|at| now.saturating_duration_since(at) < MAP_PATIENCE)
        {
            return;
        }
        self.map_asked = Some(now);
        let (table, key, handle) = (self.table.clone(), self.map_key(), self.handle.clone());
        let (state, seen) = (self.state.clone(), self.seen);
        tokio::task::spawn_local(async move {
            state.counters.add(Counter::TableCalls);
            match table.get(&key).await {
                Ok(row) => {
                    let map = row.and_then(|row| rows::decode::<KeyMap>(&row.value));
                    handle.post(GroupMessage::Map(map, seen));
                }
                // Tried again while announcements are missing.
                Err(_) => state.counters.add(Counter::TableFailures),
            }
        });
    }

    fn map_read(&mut self, map: Option<KeyMap>, seen: Sequence) {
        self.map_started = true;
        let Some(map) = map else {
            return;
        };
        let mut views = self.state.views.borrow_mut();
        let view = views.entry(self.service.clone()).or_default();
        view.load(&map, seen);
        drop(views);
        self.state.routing_changed.notify_waiters();
    }

    fn sequence(&self) -> Sequence {
        let views = self.state.views.borrow();
        views
            .get(&self.service)
            .map_or_else(Sequence::default, |view| view.sequence())
    }

    fn heard(
        &mut self,
        node: &VmId,
        boot: BootId,
        (term, leads, ended): (u64, Option<u64>, Option<u64>),
        now: Instant,
    ) {
        self.election.record_process(node, boot, term, now);
        if let Some(ended) = ended {
            self.election.record_end(ended, now);
        }
        let led = self.leading.as_ref().map(|leading| leading.leader.term());
        if led.is_some_and(|led| led < term) {
            self.step_down("another node leads", now);
        }
        if let Some(number) = leads
            && self.election.record_leader(term, node, boot, now)
        {
            self.seen = self.seen.max(Sequence { term, number });
        }
        self.check_former(now);
    }

    fn moved(&mut self, sequence: Sequence, places: &[RangeLocation]) {
        self.seen = self.seen.max(sequence);
        let mut views = self.state.views.borrow_mut();
        let view = views.entry(self.service.clone()).or_default();
        let applied = view.apply(sequence, places);
        self.map_started |= view.is_known();
        drop(views);
        if applied {
            self.state.routing_changed.notify_waiters();
        }
    }

    fn show(&self) {
        let mut shown = self.handle.shown.borrow_mut();
        shown.term = self.election.term();
        shown.leader = self.election.leader().map(|(node, _)| node.clone());
        shown.leads = self
            .leading
            .as_ref()
            .map(|leading| leading.leader.sequence().number);
    }

    fn lease_key(&self) -> String {
        rows::lease_key(&self.service)
    }

    fn map_key(&self) -> String {
        rows::map_key(&self.service)
    }

    fn tell_failure(&self, row: &str, error: &TableError) {
        self.state.counters.add(Counter::TableFailures);
        self.state.log.record(Event::TableWriteFailed, |line| {
            line.text("service", self.service.as_str());
            line.text("row", row);
            line.show("error", error);
        });
    }
}

/// The groups of a node by service.
pub type Groups = BTreeMap<ServiceId, GroupHandle>;
