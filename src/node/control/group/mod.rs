//! One keyed service on one node: takes part in the leader election, follows the leader's
//! announcements, and carries out the leader's decisions while this node leads.

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
use crate::node::keys::leader::OrderId;
use crate::node::keys::leader::OrderOutcome;
use crate::node::keys::map::KeyMap;
use crate::node::keys::map::MapVersion;
use crate::node::keys::tenure::KnownNodes;
use crate::node::keys::tenure::Tenure;
use crate::node::keys::view::RangeLocation;
use crate::node::keys::view::Sequence;
use crate::node::platform::Platform;
use crate::node::state::BootClock;
use crate::node::state::ShutdownStage;
use crate::node::state::State;
use crate::platform::Generation;
use crate::platform::Row;
use crate::platform::Table;
use crate::platform::TableError;

/// How often a leader checks its key ranges.
const LEADER_TICK: Duration = Duration::from_millis(50);
/// How often other nodes check whether the service has a leader.
const FOLLOWER_TICK: Duration = Duration::from_millis(150);
/// How long announcements may be missing before the stored map is read, and the minimum time
/// between two reads. Most missing announcements only arrive out of order, so a short wait saves
/// the read.
const MAP_READ_DELAY: Duration = Duration::from_millis(400);

/// Input of a group's task.
#[derive(Debug)]
pub enum GroupMessage {
    /// What another node knows about the leader, from its heartbeat.
    Peer {
        /// The node that sent the heartbeat.
        node: VmId,
        /// The id of its process.
        boot: BootId,
        /// The newest term that the node knows.
        term: u64,
        /// The number of its newest announcement, if it leads.
        leads: Option<u64>,
        /// The last term that it led, if it sends no more orders in that term.
        ended: Option<u64>,
    },
    /// Request counts by key, and service times of targets in milliseconds.
    KeyLoad(Vec<(u16, u16)>, Vec<(Tag, u16)>),
    /// Key ranges that the leader has moved, with the sequence number of the announcement.
    RangesMoved(Sequence, Vec<RangeLocation>),
    /// The outcome of an order.
    OrderEnded(OrderId, OrderOutcome),
    /// The outcome of a write of this version of the map: whether it took effect, or an error if the
    /// map could not be read afterwards.
    MapWritten(MapVersion, Result<bool, ()>),
    /// The lease row, or an error if the read failed; and when the read began.
    LeaseRead(Result<Option<Row>, ()>, Instant),
    /// The lease that was written again after a restore of the table, with the revision of its row,
    /// or `None` if the write did not take effect; and when the write began.
    LeaseRewritten(Lease, Option<u64>, Instant),
    /// The stored map, and the newest announcement received before the read began.
    MapRead(Option<KeyMap>, Sequence),
    /// The end of an attempt to leave the state of a term that this node led to the next leader.
    HandedOver {
        /// The term of the lease.
        term: u64,
        /// Why the node stopped leading.
        reason: &'static str,
        /// Whether the table confirmed that it stored the state.
        stored: bool,
    },
    /// The node must stop leading.
    Resign,
}

/// The state of a group that other tasks can read.
#[derive(Clone, Debug, Default)]
pub struct GroupStatus {
    /// The newest term known.
    pub term: u64,
    /// The node that leads.
    pub leader: Option<VmId>,
    /// The number of the newest announcement, if this node leads.
    pub leads: Option<u64>,
    /// The last term that this process led, if it sends no more orders in that term.
    pub ended: Option<u64>,
    /// Whether this process waits until other nodes report that they do not lead.
    pub awaits_reports: bool,
}

/// Sends messages to a group's task and reads its status.
#[derive(Clone, Debug)]
pub struct GroupHandle {
    sender: mpsc::UnboundedSender<GroupMessage>,
    status: Rc<RefCell<GroupStatus>>,
}

impl GroupHandle {
    /// Sends a message to the group's task.
    pub fn send(&self, message: GroupMessage) {
        // The receiver is dropped only when the process ends.
        let _ = self.sender.send(message);
    }

    /// Returns the group's current status.
    pub fn status(&self) -> GroupStatus {
        self.status.borrow().clone()
    }
}

/// The state of a group while this node leads: the leader with its lease, and the calls for it.
struct Leadership {
    tenure: Tenure,
    map_revision: Rc<std::cell::Cell<u64>>,
    /// When the last check of the lease began.
    last_check: Instant,
    /// The nodes that were known then.
    checked_nodes: KnownNodes,
    check_pending: bool,
    /// Why and since when the node is to stop leading.
    resigning: Option<(&'static str, Instant)>,
}

/// The state of a group, owned by its task.
struct Group<T, P> {
    service: ServiceId,
    state: Rc<State>,
    peers: Rc<Peers>,
    table: Rc<T>,
    platform: Rc<P>,
    clock: BootClock,
    election: Election,
    /// The generation of the table's data when the group began to take part in the election.
    first_generation: Generation,
    leading: Option<Leadership>,
    key_load: KeyLoad,
    /// Moving averages of the targets' service times in milliseconds, as all nodes report them.
    service_times: BTreeMap<Tag, f64>,
    handle: GroupHandle,
    /// The newest announcement of the leader that this node knows of.
    newest_announced: Sequence,
    /// Since when announcements have been missing.
    behind_since: Option<Instant>,
    /// When the last read of the stored map began.
    map_requested: Option<Instant>,
    /// Whether an announcement has been applied or the stored map has been read.
    map_known: bool,
}

/// Starts the task of a group and returns its handle.
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
        status: Rc::default(),
    };
    let clock = state.boot_clock;
    let now = clock.now();
    let group = Group {
        service: service.clone(),
        state: state.clone(),
        peers: peers.clone(),
        table: table.clone(),
        platform: platform.clone(),
        clock,
        election: Election::new(service.clone(), now),
        first_generation: Generation::default(),
        leading: None,
        key_load: KeyLoad::new(now),
        service_times: BTreeMap::new(),
        handle: handle.clone(),
        newest_announced: Sequence::default(),
        behind_since: None,
        map_requested: None,
        map_known: false,
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
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                () = tokio::time::sleep_until(due.into()) => {
                    due = Instant::now() + period;
                    self.tick().await;
                }
            }
            self.update_status();
        }
    }

    fn handle_message(&mut self, message: GroupMessage) {
        let now = self.clock.now();
        match message {
            GroupMessage::Peer {
                node,
                boot,
                term,
                leads,
                ended,
            } => self.handle_peer(&node, boot, (term, leads, ended), now),
            GroupMessage::KeyLoad(counts, service_times) => {
                for (key, count) in counts {
                    self.key_load.add(key, count.into());
                }
                for (target, ms) in service_times {
                    self.add_service_time(target, ms);
                }
            }
            GroupMessage::RangesMoved(sequence, locations) => {
                self.apply_announcement(sequence, &locations)
            }
            GroupMessage::OrderEnded(id, outcome) => {
                let actions = match &mut self.leading {
                    Some(leading) => leading.tenure.leader.order_ended(id, outcome, now),
                    None => Vec::new(),
                };
                self.execute(actions);
            }
            GroupMessage::MapWritten(version, written) => self.map_written(version, written),
            GroupMessage::LeaseRead(row, started_at) => self.lease_read(row, started_at, now),
            GroupMessage::LeaseRewritten(lease, revision, started_at) => {
                self.lease_rewritten(lease, revision, started_at, now);
            }
            GroupMessage::MapRead(map, announced) => self.load_map(map, announced),
            GroupMessage::HandedOver {
                term,
                reason,
                stored,
            } => self.report_end(term, reason, stored, now),
            GroupMessage::Resign => {
                self.request_resignation("the node is shutting down", now);
                if let Some(reason) = self.due_resignation(now) {
                    self.resign(reason, now);
                }
            }
        }
    }

    async fn tick(&mut self) {
        if !self.state.fleet.borrow().is_loaded() {
            return;
        }
        let now = self.clock.now();
        if self.first_generation == Generation::default() {
            self.first_generation = self.table.generation();
        }
        self.key_load.decay(now);
        if self.leading.is_some() {
            self.lead(now);
            return;
        }
        self.catch_up(now);
        let rank = self.peers.rank(&self.election, Instant::now());
        let eligible = self.state.stage() == ShutdownStage::Serving && !self.is_out_of_reach();
        if eligible && self.election.should_campaign(rank, now) {
            self.campaign().await;
        }
    }

    /// Reads the stored map if this node has missed announcements of the leader.
    fn catch_up(&mut self, now: Instant) {
        // Until the leader announces something, owners are known only from the stored map.
        let behind = self.newest_announced > self.sequence() || !self.map_known;
        if !behind {
            self.behind_since = None;
            return;
        }
        let since = *self.behind_since.get_or_insert(now);
        if now.saturating_duration_since(since) < MAP_READ_DELAY {
            return;
        }
        if self
            .map_requested
            .is_some_and(|at| now.saturating_duration_since(at) < MAP_READ_DELAY)
        {
            return;
        }
        self.map_requested = Some(now);
        let (table, key, handle) = (self.table.clone(), self.map_key(), self.handle.clone());
        let (state, announced) = (self.state.clone(), self.newest_announced);
        tokio::task::spawn_local(async move {
            state.counters.add(Counter::TableCalls);
            match table.get(&key).await {
                Ok(row) => {
                    let map = row.and_then(|row| rows::decode::<KeyMap>(&row.value));
                    handle.send(GroupMessage::MapRead(map, announced));
                }
                // A later tick retries while announcements are missing.
                Err(_) => state.counters.add(Counter::TableFailures),
            }
        });
    }

    fn load_map(&mut self, map: Option<KeyMap>, announced: Sequence) {
        self.map_known = true;
        let Some(map) = map else {
            return;
        };
        let mut views = self.state.views.borrow_mut();
        let view = views.entry(self.service.clone()).or_default();
        view.load(&map, announced);
        drop(views);
        self.state.routing_changed.notify_waiters();
    }

    fn sequence(&self) -> Sequence {
        let views = self.state.views.borrow();
        views
            .get(&self.service)
            .map_or_else(Sequence::default, |view| view.sequence())
    }

    fn handle_peer(
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
        if let Some(leading) = &mut self.leading {
            if leading.tenure.is_superseded(term, ended) {
                self.step_down("another node reports a newer term", now);
            } else if leads.is_none() {
                leading.tenure.record_idle(node, boot);
            }
        }
        if let Some(number) = leads
            && self.election.record_leader(term, node, boot, now)
        {
            self.newest_announced = self.newest_announced.max(Sequence { term, number });
        }
        self.check_previous_leaders(now);
    }

    fn apply_announcement(&mut self, sequence: Sequence, locations: &[RangeLocation]) {
        self.newest_announced = self.newest_announced.max(sequence);
        let mut views = self.state.views.borrow_mut();
        let view = views.entry(self.service.clone()).or_default();
        let applied = view.apply(sequence, locations);
        self.map_known |= view.is_known();
        drop(views);
        if applied {
            self.state.routing_changed.notify_waiters();
        }
    }

    fn update_status(&self) {
        let mut status = self.handle.status.borrow_mut();
        // A suspended leader announces its moves in a term below that of its lease.
        let leading = self.leading.as_ref();
        status.term = leading.map_or(self.election.term(), |it| it.tenure.leader.term());
        status.leader = self.election.leader().map(|(node, _)| node.clone());
        status.awaits_reports = leading.is_some_and(|it| it.tenure.awaits_reports());
        status.leads = self
            .leading
            .as_ref()
            .map(|leading| leading.tenure.leader.sequence().number);
    }

    fn lease_key(&self) -> String {
        rows::lease_key(&self.service)
    }

    fn map_key(&self) -> String {
        rows::map_key(&self.service)
    }
}

fn log_failure(state: &State, row: &str, error: &TableError) {
    state.counters.add(Counter::TableFailures);
    state.log.record(Event::TableWriteFailed, |line| {
        line.text("row", row);
        line.show("error", error);
    });
}

/// All groups of a node, by service.
pub type Groups = BTreeMap<ServiceId, GroupHandle>;
