//! One keyed service at one node: its election, and its leader's orders when this node leads.

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
use crate::node::edge::Platform;
use crate::node::fleet::Target;
use crate::node::keys::election::Election;
use crate::node::keys::election::Former;
use crate::node::keys::election::Lease;
use crate::node::keys::heat::Heat;
use crate::node::keys::leader::Action;
use crate::node::keys::leader::Command;
use crate::node::keys::leader::Leader;
use crate::node::keys::leader::Order;
use crate::node::keys::leader::OrderEnd;
use crate::node::keys::leader::OrderId;
use crate::node::keys::map::Holder;
use crate::node::keys::map::KeyMap;
use crate::node::keys::plan::Candidate;
use crate::node::keys::view::Place;
use crate::node::keys::view::Sequence;
use crate::node::pulse::Message;
use crate::node::pulse::Tag;
use crate::node::pulse::target_tag;
use crate::node::state::BootClock;
use crate::node::state::Stage;
use crate::node::state::State;
use crate::platform::Condition;
use crate::platform::Row;
use crate::platform::Table;
use crate::platform::TableError;
use crate::platform::Transaction;
use crate::platform::WriteId;

/// How often a leader looks at its ranges.
const LEADER_TICK: Duration = Duration::from_millis(50);
/// How often the others look for a leader.
const FOLLOWER_TICK: Duration = Duration::from_millis(150);
/// How often a leader has the table confirm its lease; well within its right.
const CONFIRM_PERIOD: Duration = Duration::from_millis(3_000);
/// How long announcements may be missing before the stored map is read, and the pause between two
/// tries: the missing ones are mostly just overtaken.
const MAP_PATIENCE: Duration = Duration::from_millis(400);
/// Pause after a write of the map failed.
const WRITE_PAUSE: Duration = Duration::from_millis(150);
/// Weight of the newest sample of a target's speed; each is an average already.
const SPEED_WEIGHT: f64 = 0.2;
/// What targets are taken to need for a request before any has told, in milliseconds.
const USUAL_MS: f64 = 200.0;
/// The speed of a target counts between these, relative to the mean.
const SLOWEST: f64 = 0.5;
const FASTEST: f64 = 1.6;

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
    Moved(Sequence, Vec<Place>),
    /// The end of an order.
    Ended(OrderId, OrderEnd),
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
    heat: Heat,
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
        heat: Heat::new(now),
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
        if !self.state.fleet.borrow().is_known() {
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
        let eligible = self.state.stage() == Stage::Serving;
        if eligible && self.election.should_campaign(rank, now) {
            self.campaign().await;
        }
    }

    fn lead(&mut self, now: Instant) {
        let candidates = self.candidates();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let mut actions = leading.leader.tick(now, &candidates, &self.heat);
        let due = now.saturating_duration_since(leading.checked) >= CONFIRM_PERIOD;
        if due {
            actions.push(Action::CheckLease);
        }
        self.act(actions);
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
                    let map = row.and_then(|row| rows::read::<KeyMap>(&row.value));
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
        self.state.changed.notify_waiters();
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
        self.election.runs(node, boot, now);
        if let Some(ended) = ended {
            self.election.ended(ended, now);
        }
        let led = self.leading.as_ref().map(|leading| leading.leader.term());
        if led.is_some_and(|led| led < term) {
            self.step_down("another node leads", now);
        }
        if let Some(number) = leads
            && self.election.heard(term, node, boot, now)
        {
            self.seen = self.seen.max(Sequence { term, number });
        }
        self.check_former(now);
    }

    fn moved(&mut self, sequence: Sequence, places: &[Place]) {
        self.seen = self.seen.max(sequence);
        let mut views = self.state.views.borrow_mut();
        let view = views.entry(self.service.clone()).or_default();
        let applied = view.apply(sequence, places);
        self.map_started |= view.is_known();
        drop(views);
        if applied {
            self.state.changed.notify_waiters();
        }
    }

    /// Tries to take the lease.
    async fn campaign(&mut self) {
        let begun = self.clock.now();
        let held = self.table.get(&self.lease_key()).await;
        self.state.counters.add(Counter::TableCalls);
        let now = self.clock.now();
        let row = match held {
            Ok(row) => row,
            Err(error) => {
                self.tell_failure("lease", &error);
                return self.election.postpone(now);
            }
        };
        let lease = row.as_ref().and_then(|row| rows::read::<Lease>(&row.value));
        let newer = lease
            .as_ref()
            .is_some_and(|held| held.term > self.election.term());
        if let Some(held) = &lease
            && newer
            && held.boot != self.state.boot
        {
            // Its holder has only just taken it, and may not have told yet.
            self.election.read(held, now);
            return;
        }
        let revision = row.map_or(0, |row| row.revision);
        let next = self
            .election
            .next_lease(lease.as_ref(), &self.state.conf.name, self.state.boot);
        match self.take_lease(&next, revision).await {
            Some(revision) => self.take_over(next, revision, begun).await,
            None => self.election.postpone(self.clock.now()),
        }
    }

    /// Writes the lease; returns its revision if the write took effect.
    async fn take_lease(&self, next: &Lease, revision: u64) -> Option<u64> {
        let key = self.lease_key();
        let tx = Transaction {
            id: WriteId(rand::random()),
            conditions: vec![Condition {
                key: key.clone(),
                revision,
            }],
            mutations: vec![rows::put(key.clone(), next)],
        };
        self.state.counters.add(Counter::TableCalls);
        match self.table.commit(&tx).await {
            Ok(()) | Err(TableError::Unknown(_)) => {}
            Err(error) => {
                self.tell_failure("lease", &error);
                return None;
            }
        }
        // The read tells the revision, and whether a write without an answer took effect.
        self.state.counters.add(Counter::TableCalls);
        let row = self.table.get(&key).await.ok().flatten()?;
        (row.writer == tx.id).then_some(row.revision)
    }

    async fn take_over(&mut self, lease: Lease, revision: u64, begun: Instant) {
        self.state.counters.add(Counter::TableCalls);
        let stored = match self.table.get(&self.map_key()).await {
            Ok(stored) => stored,
            Err(error) => {
                self.tell_failure("map", &error);
                return self.election.postpone(self.clock.now());
            }
        };
        let now = self.clock.now();
        let map = stored
            .as_ref()
            .and_then(|row| rows::read::<KeyMap>(&row.value));
        let hold_max = self.state.conf.hold_max;
        let mut leader = Leader::new(lease.term, map.as_ref(), hold_max, now);
        leader.confirmed(begun);
        let (ranges, _) = leader.ranges();
        self.state.log.tell(Event::GroupTaken, |line| {
            line.text("service", self.service.as_str());
            line.number("term", lease.term);
            line.number("doubted", lease.doubted.len() as u64);
            line.number("ranges", ranges as u64);
        });
        let (node, boot) = (&self.state.conf.name, self.state.boot);
        self.election.heard(lease.term, node, boot, now);
        self.seen = leader.sequence();
        self.map_read(map, self.seen);
        self.leading = Some(Leading {
            leader,
            lease,
            lease_revision: revision,
            map_revision: Rc::new(std::cell::Cell::new(stored.map_or(0, |row| row.revision))),
            checked: now,
            checking: false,
        });
        self.check_former(now);
        self.lead(now);
    }

    /// Tells the leader once all earlier ones are known to have given their last order.
    fn check_former(&mut self, now: Instant) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let name = &self.state.conf.name;
        let election = &self.election;
        let ended = |former: &Former| election.has_ended(former, name);
        if leading.lease.doubted.iter().all(ended) {
            leading.leader.former_ended(now);
        }
    }

    fn step_down(&mut self, why: &str, now: Instant) {
        let Some(leading) = self.leading.take() else {
            return;
        };
        let term = leading.leader.term();
        self.handle.shown.borrow_mut().ended = Some(term);
        self.election.ended(term, now);
        self.state.log.tell(Event::GroupLost, |line| {
            line.text("service", self.service.as_str());
            line.number("term", term);
            line.text("why", why);
        });
        self.show();
        self.peers.send_farewell();
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write(map) => self.write(&map),
                Action::Send(order) => self.order(order),
                Action::Announce(sequence, places) => self.announce(sequence, places),
                Action::CheckLease => self.check_lease(),
            }
        }
    }

    fn announce(&mut self, sequence: Sequence, places: Vec<Place>) {
        self.state.counters.add(Counter::MovesAnnounced);
        for place in &places {
            self.state.log.tell(Event::KeysMoved, |line| {
                line.text("service", self.service.as_str());
                line.number("first", place.range.first.into());
                line.number("last", place.range.last.into());
                line.text("owner", place.owner.as_ref().map_or("", |id| id.as_str()));
                line.text("held", if place.pending { "no" } else { "yes" });
                line.number("term", sequence.term);
                line.number("sequence", sequence.number);
            });
        }
        let mut views = self.state.views.borrow_mut();
        let view = views.entry(self.service.clone()).or_default();
        if !view.is_known() || view.sequence().term != sequence.term {
            let map = self.leading.as_ref().map(|leading| leading.leader.map());
            let map: KeyMap = map.unwrap_or_default();
            let before = Sequence {
                number: sequence.number - 1,
                ..sequence
            };
            view.load(&map, before);
        }
        view.apply(sequence, &places);
        drop(views);
        self.state.changed.notify_waiters();
        let tag = Tag::of(self.service.as_str());
        self.peers.broadcast(Message::Moved(tag, sequence, places));
    }

    fn order(&self, order: Order) {
        self.state.counters.add(Counter::Orders);
        let (platform, handle) = (self.platform.clone(), self.handle.clone());
        let (state, service) = (self.state.clone(), self.service.clone());
        tokio::task::spawn_local(async move {
            let end = platform.order(&order).await;
            if !matches!(end, OrderEnd::Done(_)) {
                state.counters.add(Counter::OrderFailures);
                state.log.tell(Event::OrderFailed, |line| {
                    line.text("service", service.as_str());
                    line.text("target", order.to.id.as_str());
                    line.number("first", order.range.first.into());
                    line.number("last", order.range.last.into());
                    line.number("fence", order.fence.0);
                    let command = match order.command {
                        Command::Grant { .. } => "grant",
                        Command::Release => "release",
                    };
                    line.text("order", command);
                    line.text("end", &format!("{end:?}"));
                });
            }
            handle.post(GroupMessage::Ended(order.id, end));
        });
    }

    fn write(&self, map: &KeyMap) {
        let Some(leading) = &self.leading else {
            return;
        };
        let revision = leading.map_revision.clone();
        let conditions = vec![
            Condition {
                key: self.lease_key(),
                revision: leading.lease_revision,
            },
            Condition {
                key: self.map_key(),
                revision: revision.get(),
            },
        ];
        let tx = Transaction {
            id: WriteId(rand::random()),
            conditions,
            mutations: vec![rows::put(self.map_key(), map)],
        };
        let (table, key, handle) = (self.table.clone(), self.map_key(), self.handle.clone());
        let state = self.state.clone();
        tokio::task::spawn_local(async move {
            state.counters.add(Counter::TableCalls);
            let failed = table.commit(&tx).await.err();
            if let Some(error) = &failed {
                state.counters.add(Counter::TableFailures);
                state.log.tell(Event::TableWriteFailed, |line| {
                    line.text("row", &key);
                    line.show("error", error);
                });
                tokio::time::sleep(WRITE_PAUSE).await;
            }
            state.counters.add(Counter::TableCalls);
            let written = match table.get(&key).await {
                Ok(row) => {
                    revision.set(row.as_ref().map_or(0, |row| row.revision));
                    Ok(row.is_some_and(|row| row.writer == tx.id))
                }
                Err(_) => Err(()),
            };
            handle.post(GroupMessage::Written(written));
        });
    }

    fn written(&mut self, written: Result<bool, ()>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.leader.write_ended(written == Ok(true));
        if written == Ok(false) {
            self.check_lease();
        }
    }

    fn check_lease(&mut self) {
        let key = self.lease_key();
        let Some(leading) = &mut self.leading else {
            return;
        };
        if std::mem::replace(&mut leading.checking, true) {
            return;
        }
        leading.checked = self.clock.now();
        let (table, handle) = (self.table.clone(), self.handle.clone());
        let (state, begun) = (self.state.clone(), leading.checked);
        tokio::task::spawn_local(async move {
            state.counters.add(Counter::TableCalls);
            let row = table.get(&key).await;
            handle.post(GroupMessage::Lease(row.ok().flatten(), begun));
        });
    }

    fn lease_read(&mut self, row: Option<Row>, begun: Instant, now: Instant) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.checking = false;
        let Some(row) = row else {
            return;
        };
        if row.revision == leading.lease_revision {
            leading.leader.confirmed(begun);
            return;
        }
        if let Some(lease) = rows::read::<Lease>(&row.value) {
            self.election.read(&lease, now);
        }
        self.step_down("the lease is another node's", now);
    }

    fn learn_speed(&mut self, target: Tag, ms: u16) {
        let sample = f64::from(ms.max(1));
        let held = self.speeds.entry(target).or_insert(sample);
        *held += (sample - *held) * SPEED_WEIGHT;
    }

    fn candidates(&self) -> Vec<Candidate> {
        let fleet = self.state.fleet.borrow();
        let targets = fleet.of(&self.service);
        let speed = |target: &Rc<Target>| self.speeds.get(&target_tag(&target.entry.id)).copied();
        let known: Vec<f64> = targets.iter().filter_map(speed).collect();
        let mean = match known.len() {
            0 => USUAL_MS,
            count => known.iter().sum::<f64>() / count as f64,
        };
        targets
            .iter()
            .map(|target| {
                let ms = speed(target).unwrap_or(mean);
                candidate(target, ms.clamp(mean / FASTEST, mean / SLOWEST))
            })
            .collect()
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
        self.state.log.tell(Event::TableWriteFailed, |line| {
            line.text("service", self.service.as_str());
            line.text("row", row);
            line.show("error", error);
        });
    }
}

/// Returns a target that takes this many milliseconds as one that may own keys.
fn candidate(target: &Target, ms: f64) -> Candidate {
    Candidate {
        holder: Holder {
            id: target.entry.id.clone(),
            life: target.entry.life,
        },
        address: target.entry.address,
        capacity: f64::from(target.entry.slots.max(1)) * 1e3 / ms,
        leaving: target.leaving.get(),
        trial: false,
    }
}

/// The groups of a node by service.
pub type Groups = BTreeMap<ServiceId, GroupHandle>;
