//! Simulation of leaders, targets and the table on a virtual clock, for tests of the ownership of
//! key ranges.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use gooseberryloft::ids::BootId;
use gooseberryloft::ids::ServiceId;
use gooseberryloft::ids::TargetId;
use gooseberryloft::ids::VmId;
use gooseberryloft::node::keys::election::Election;
use gooseberryloft::node::keys::election::Lease;
use gooseberryloft::node::keys::key_load::KeyLoad;
use gooseberryloft::node::keys::leader::Action;
use gooseberryloft::node::keys::leader::Command;
use gooseberryloft::node::keys::leader::Inherited;
use gooseberryloft::node::keys::leader::Leader;
use gooseberryloft::node::keys::leader::Order;
use gooseberryloft::node::keys::leader::OrderOutcome;
use gooseberryloft::node::keys::leader::OrderReply;
use gooseberryloft::node::keys::map::Holder;
use gooseberryloft::node::keys::map::KeyMap;
use gooseberryloft::node::keys::map::KeyRange;
use gooseberryloft::node::keys::plan::Candidate;
use gooseberryloft::node::keys::plan::GrantScope;
use gooseberryloft::node::keys::table_health::TableHealth;
use gooseberryloft::node::keys::tenure::LeaseCheck;
use gooseberryloft::node::keys::tenure::Tenure;
use gooseberryloft::node::keys::tenure::inherit;
use gooseberryloft::platform::Generation;

/// The time by which each step advances the virtual clock.
pub const STEP: Duration = Duration::from_millis(25);
/// Network delay of an order, and of its answer.
const NETWORK_DELAY: Duration = Duration::from_millis(5);
/// How often a leader reads the lease row to check that it still holds the lease.
const CONFIRM_PERIOD: Duration = Duration::from_secs(3);
/// The same while its calls fail.
const RETRY_PERIOD: Duration = Duration::from_millis(300);
/// How long after a proof of identity a new connection is used for orders without asking.
const REUSE_AFTER: Duration = Duration::from_secs(2);
/// How long a target's current work on keys delays its answer to a release.
const RELEASE_WORK: Duration = Duration::from_millis(200);

/// A deterministic random number generator.
#[derive(Clone, Debug)]
pub struct TestRng(u64);

impl TestRng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(2).wrapping_add(1))
    }

    /// Returns a number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) % limit
    }

    /// Returns true with a probability of `percentage` percent.
    pub fn percent(&mut self, percentage: u64) -> bool {
        self.below(100) < percentage
    }
}

/// A range that a target holds by a grant.
#[derive(Clone, Debug)]
struct HeldRange {
    range: KeyRange,
    fence: u64,
    until: Instant,
}

/// A simulated target; a restart replaces its process.
#[derive(Debug)]
pub struct FakeTarget {
    /// True if its process runs.
    pub up: bool,
    /// True if the platform's list of targets contains it.
    pub listed: bool,
    /// True if it is shutting down and must give up its keys.
    pub leaving: bool,
    incarnation: u64,
    /// The process that the list names; an earlier one while the list is out of date.
    listed_incarnation: u64,
    /// The id of its process and of the one that the list names.
    id: TargetId,
    listed_id: TargetId,
    /// The list's entry of a process with another id that had the address before.
    former: Option<Holder>,
    holds: Vec<HeldRange>,
    /// When its process started; all connections to it count as opened then.
    started_at: Instant,
    /// The ranges and fences of all orders that the process has accepted.
    seen: Vec<(KeyRange, u64)>,
}

/// A simulated node, which may become leader.
pub struct FakeNode {
    /// True if the node runs; it keeps its state while it is paused.
    pub running: bool,
    /// True if the table answers this node.
    pub reaches_table: bool,
    /// True if no heartbeats pass between the node and the other nodes.
    pub cut_off: bool,
    /// True if the node may become leader.
    pub eligible: bool,
    /// Targets that the node cannot reach.
    pub unreachable: Vec<usize>,
    boot: u64,
    election: Election,
    leading: Option<Leadership>,
    /// The last term that it led, after stepping down.
    ended: Option<u64>,
    key_load: KeyLoad,
    /// The newest generation of the table that an answer reported to this process.
    generation: Generation,
    /// The processes of other nodes from which this process has received heartbeats.
    peers: BTreeMap<usize, u64>,
    /// When targets last responded under these ids, by address.
    proofs: BTreeMap<(usize, TargetId), Instant>,
}

/// The state of a node while it leads.
struct Leadership {
    tenure: Tenure,
    map_revision: u64,
    checked_at: Instant,
    table_health: TableHealth,
}

/// An order that was sent and has not taken effect yet.
struct OrderInTransit {
    node: usize,
    boot: u64,
    order: Order,
    target: usize,
    incarnation: u64,
    arrives: Instant,
    /// When the target executes it; the duration of a grant counts from the arrival.
    executed: Instant,
    answered: bool,
}

/// The outcome of an order on its way to the node that sent the order.
struct OutcomeInTransit {
    node: usize,
    boot: u64,
    order: Order,
    outcome: OrderOutcome,
    at: Instant,
}

/// A copy of the table.
#[derive(Clone, Debug)]
pub struct Backup {
    lease: Option<(u64, Lease)>,
    map: Option<(u64, KeyMap)>,
    revision: u64,
}

/// Probabilities of faults, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Orders that never arrive.
    pub lost: u64,
    /// Orders whose answers never arrive.
    pub unanswered: u64,
    /// Orders that get no answer and are executed 2 to 12 seconds later.
    pub late: u64,
    /// Writes to the table whose answers never arrive.
    pub writes_lost: u64,
}

/// A service with its targets, nodes and table, and the orders between them.
pub struct Simulation {
    /// The current time of the virtual clock.
    pub now: Instant,
    /// All targets; the index identifies a target across restarts.
    pub targets: Vec<FakeTarget>,
    /// All nodes; the index is also a node's rank in elections.
    pub nodes: Vec<FakeNode>,
    /// The faults applied to orders and writes.
    pub faults: Faults,
    /// True if the table answers any node.
    pub table_up: bool,
    rng: TestRng,
    start: Instant,
    lease: Option<(u64, Lease)>,
    map: Option<(u64, KeyMap)>,
    revision: u64,
    generation: Generation,
    orders: Vec<OrderInTransit>,
    answers: Vec<OutcomeInTransit>,
    last_incarnation: u64,
    /// The target and the process that were granted keys under each fence.
    fences: BTreeMap<u64, (usize, u64)>,
    /// Descriptions of all violations found, in the order of their occurrence.
    pub violations: Vec<String>,
}

fn reply(handover: Option<String>, opened: Instant) -> OrderReply {
    OrderReply { handover, opened }
}

fn overlap(a: KeyRange, b: KeyRange) -> bool {
    a.first <= b.last && b.first <= a.last
}

/// Starts a simulation of 4 targets and 3 nodes, with faults of these probabilities after 2 s; answers to
/// orders are lost as often as orders.
pub fn start_with_faults(seed: u64, lost: u64, late: u64, writes: u64) -> (Simulation, TestRng) {
    let mut simulation = Simulation::new(4, 3, seed);
    let rng = TestRng::new(seed ^ 0x5eed);
    simulation.run(Duration::from_millis(2_000));
    simulation.faults = Faults {
        lost,
        unanswered: lost,
        late,
        writes_lost: writes,
    };
    (simulation, rng)
}

impl Simulation {
    /// Creates a simulation with all targets listed and all nodes running, but no leader yet.
    pub fn new(targets: usize, nodes: usize, seed: u64) -> Self {
        let now = Instant::now() + Duration::from_secs(1_000);
        let target = |incarnation: usize| FakeTarget {
            id: TargetId::from(format!("t{incarnation}")),
            listed_id: TargetId::from(format!("t{incarnation}")),
            former: None,
            up: true,
            listed: true,
            leaving: false,
            incarnation: incarnation as u64 + 1,
            listed_incarnation: incarnation as u64 + 1,
            holds: Vec::new(),
            started_at: now,
            seen: Vec::new(),
        };
        let node = |boot: usize| FakeNode {
            running: true,
            reaches_table: true,
            cut_off: false,
            eligible: true,
            unreachable: Vec::new(),
            boot: boot as u64 + 1,
            election: Election::new(ServiceId::from("search"), now),
            leading: None,
            ended: None,
            key_load: KeyLoad::new(now),
            generation: Generation::default(),
            peers: BTreeMap::new(),
            proofs: BTreeMap::new(),
        };
        Self {
            now,
            start: now,
            targets: (0..targets).map(target).collect(),
            nodes: (0..nodes).map(node).collect(),
            faults: Faults::default(),
            table_up: true,
            rng: TestRng::new(seed),
            lease: None,
            map: None,
            revision: 0,
            generation: Generation(1),
            orders: Vec::new(),
            answers: Vec::new(),
            last_incarnation: 1_000,
            fences: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    /// Returns the simulated time since the start.
    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Runs for at least `duration`, in whole steps.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Returns the running node that leads and holds the lease row.
    pub fn leader(&self) -> Option<usize> {
        let (_, lease) = self.lease.as_ref()?;
        let leads = |node: &FakeNode| node.running && node.boot == lease.boot.0;
        self.nodes
            .iter()
            .position(|node| leads(node) && node.leading.is_some())
    }

    /// Returns the share of the keys that running targets hold, from 0 to 1.
    pub fn held_share(&self) -> f64 {
        let held = |target: &FakeTarget| {
            let live = target.holds.iter().filter(|held| held.until > self.now);
            live.map(|held| held.range.len()).sum::<u32>()
        };
        let up = self.targets.iter().filter(|target| target.up);
        f64::from(up.map(held).sum::<u32>()) / f64::from(KeyRange::ALL.len())
    }

    /// Returns the ranges that a target holds.
    pub fn held_by(&self, index: usize) -> Vec<KeyRange> {
        let live = self.targets[index].holds.iter();
        let live = live.filter(|held| held.until > self.now);
        live.map(|held| held.range).collect()
    }

    /// Ends a target's process without removing the target from the list.
    pub fn crash(&mut self, index: usize) {
        self.targets[index].up = false;
        self.targets[index].holds.clear();
    }

    /// Starts a new process of a target, which holds no keys.
    pub fn restart(&mut self, index: usize) {
        self.restart_unlisted(index);
        self.list_process(index);
    }

    /// Lists the process of a target that runs now. If its id is new, the former process stays listed.
    pub fn list_process(&mut self, index: usize) {
        let target = &mut self.targets[index];
        if target.listed_id != target.id {
            target.former = Some(Holder {
                id: std::mem::replace(&mut target.listed_id, target.id.clone()),
                incarnation: target.listed_incarnation,
            });
        }
        target.listed_incarnation = target.incarnation;
    }

    /// Starts a new process under a new id at the address of a target, while the list names the former one.
    pub fn restart_renamed(&mut self, index: usize) {
        self.restart_unlisted(index);
        let target = &mut self.targets[index];
        target.id = TargetId::from(format!("t{index}-{}", target.incarnation));
    }

    /// Removes the former process with another id from the list.
    pub fn unlist_former(&mut self, index: usize) {
        self.targets[index].former = None;
    }

    /// Starts a new process of a target at the same address, while the list names the former one.
    pub fn restart_unlisted(&mut self, index: usize) {
        self.last_incarnation += 1;
        let target = &mut self.targets[index];
        target.up = true;
        target.listed = true;
        target.leaving = false;
        target.incarnation = self.last_incarnation;
        target.holds.clear();
        target.seen.clear();
        target.started_at = self.now;
    }

    /// Replaces a node's process by a new one.
    pub fn restart_node(&mut self, index: usize) {
        self.last_incarnation += 1;
        let node = &mut self.nodes[index];
        node.boot = self.last_incarnation;
        node.election = Election::new(ServiceId::from("search"), self.now);
        node.leading = None;
        node.ended = None;
        node.running = true;
        node.generation = Generation::default();
        node.peers.clear();
        node.proofs.clear();
    }

    /// Returns a copy of the table.
    pub fn backup(&self) -> Backup {
        Backup {
            lease: self.lease.clone(),
            map: self.map.clone(),
            revision: self.revision,
        }
    }

    /// Replaces the table by an older copy, and gives out again the revisions given out since.
    pub fn restore(&mut self, backup: &Backup) {
        self.lease = backup.lease.clone();
        self.map = backup.map.clone();
        self.revision = backup.revision;
        self.generation = Generation(self.generation.0 + 1);
    }

    /// Returns the other nodes that a node knows; all of them are listed in the table.
    fn known_nodes(&self, node: usize) -> Vec<(VmId, Option<BootId>)> {
        let peers = &self.nodes[node].peers;
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        let process = |other| peers.get(&other).map(|boot| BootId(*boot));
        others
            .map(|other| (VmId::from(format!("n{other}")), process(other)))
            .collect()
    }

    /// Adds requests for a key to the load measured by every node.
    pub fn add_load(&mut self, key: u16, requests: u32) {
        for node in &mut self.nodes {
            node.key_load.add(key, requests);
        }
    }

    /// Advances the simulation by [`STEP`] and checks for violations.
    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver_orders();
        self.deliver_answers();
        for node in 0..self.nodes.len() {
            if self.nodes[node].running {
                self.step_node(node);
            }
        }
        self.send_heartbeats();
        self.check();
    }

    fn table_answers(&self, node: usize) -> bool {
        self.table_up && self.nodes[node].reaches_table
    }

    fn candidates(&self, node: usize) -> Vec<Candidate> {
        let proofs = &self.nodes[node].proofs;
        let candidate = |index: usize, holder: Holder, leaving: bool| Candidate {
            proven: proofs.contains_key(&(index, holder.id.clone())),
            holder,
            address: SocketAddr::from(([127, 0, 0, 1], index as u16 + 1)),
            capacity: 4.0,
            leaving,
            grants: GrantScope::All,
            on_probation: false,
            cold: false,
        };
        let mut candidates = Vec::new();
        for (index, target) in self.targets.iter().enumerate() {
            if target.listed {
                let holder = Holder {
                    id: target.listed_id.clone(),
                    incarnation: target.listed_incarnation,
                };
                candidates.push(candidate(index, holder, target.leaving));
            }
            if let Some(former) = &target.former {
                candidates.push(candidate(index, former.clone(), false));
            }
        }
        candidates
    }

    /// Records the ids under which targets respond to a node's requests, which name the target that is
    /// listed.
    fn send_requests(&mut self, node: usize) {
        let (now, fake) = (self.now, &mut self.nodes[node]);
        for (index, target) in self.targets.iter().enumerate() {
            let reached = target.up && target.listed && !fake.unreachable.contains(&index);
            if reached && target.listed_id == target.id && self.rng.percent(10) {
                fake.proofs.insert((index, target.id.clone()), now);
            }
        }
    }

    fn step_node(&mut self, node: usize) {
        let now = self.now;
        self.send_requests(node);
        self.nodes[node].key_load.decay(now);
        if self.nodes[node].leading.is_some() {
            return self.lead(node);
        }
        let fake = &self.nodes[node];
        if fake.eligible && fake.election.should_campaign(node as u32, now) {
            self.campaign(node);
        }
    }

    fn campaign(&mut self, node: usize) {
        let now = self.now;
        if !self.table_answers(node) {
            return self.nodes[node].election.postpone(now);
        }
        let name = VmId::from(format!("n{node}"));
        let nodes = self.known_nodes(node);
        let generation = self.generation;
        let is_first = self.lease.is_none() && generation == Generation(1);
        let held = self.lease.as_ref().map(|(_, lease)| lease.clone());
        let fake = &mut self.nodes[node];
        if let Some(held) = &held
            && held.term > fake.election.term()
            && held.boot.0 != fake.boot
            && !fake.election.is_vacated(held)
        {
            return fake.election.record_lease(held, now);
        }
        let boot = BootId(fake.boot);
        fake.generation = generation;
        let held = held.or_else(|| (!is_first).then(Lease::lost));
        let lease = fake
            .election
            .next_lease(held.as_ref(), generation, &name, boot);
        self.revision += 1;
        self.lease = Some((self.revision, lease.clone()));
        if self.rng.percent(self.faults.writes_lost) {
            return self.nodes[node].election.postpone(now);
        }
        let map = self.map.as_ref();
        let fake = &mut self.nodes[node];
        let stored = map.map(|(_, map)| map);
        let handover = held.as_ref();
        let handover = handover.and_then(|held| held.handover_in(generation));
        let inherited = inherit(&lease, stored, handover, &mut fake.election, now);
        let mut leader = Leader::new(lease.term, inherited, Duration::from_secs(10), now);
        leader.lease_confirmed(now);
        let heard = held
            .as_ref()
            .and_then(|held| fake.election.last_heard(held.boot));
        fake.election.record_leader(lease.term, &name, boot, now);
        let mut tenure = Tenure::new(leader, lease, self.revision, nodes, now);
        if let Inherited::HandedOver(_, handover) = inherited {
            tenure.resume(handover, heard, (&name, boot), now);
        }
        fake.leading = Some(Leadership {
            tenure,
            map_revision: map.map_or(0, |(revision, _)| *revision),
            checked_at: now,
            table_health: TableHealth::default(),
        });
    }

    fn lead(&mut self, node: usize) {
        let now = self.now;
        let candidates = self.candidates(node);
        // The node reads rules and targets too, and any answer shows the generation.
        if self.table_answers(node) && self.rng.percent(10) {
            self.nodes[node].generation = self.generation;
        }
        let is_heard = |other: usize| !self.nodes[node].cut_off && !self.nodes[other].cut_off;
        let runs = |other: usize| self.nodes[other].running && is_heard(other);
        let reads = |other: usize| runs(other) && self.table_answers(other);
        let others_read = (0..self.nodes.len())
            .any(|other| other != node && reads(other))
            .then_some(now);
        let fake = &mut self.nodes[node];
        let Some(leading) = &mut fake.leading else {
            return;
        };
        let name = VmId::from(format!("n{node}"));
        if leading.tenure.settle(&mut fake.election, &name, now) {
            let (term, boot) = (leading.tenure.leader.term(), BootId(fake.boot));
            fake.election.record_leader(term, &name, boot, now);
        }
        if leading.table_health.should_step_down(others_read) {
            return self.step_down(node);
        }
        let leader = &mut leading.tenure.leader;
        let mut actions = leader.tick(now, &candidates, &fake.key_load);
        let is_outdated = leading.tenure.is_outdated(fake.generation);
        let is_doubted = leading.tenure.leader.is_doubted();
        let period = match is_outdated || is_doubted || leading.table_health.is_failing() {
            true => RETRY_PERIOD,
            false => CONFIRM_PERIOD,
        };
        if now - leading.checked_at >= period {
            actions.push(Action::CheckLease);
        }
        self.act(node, actions);
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write(map) => self.write(node, map),
                Action::Send(order) => self.send(node, order),
                Action::Announce(..) => {}
                Action::CheckLease => self.check_lease(node),
            }
        }
    }

    fn check_lease(&mut self, node: usize) {
        let now = self.now;
        let answers = self.table_answers(node);
        let (generation, nodes) = (self.generation, self.known_nodes(node));
        let row = self.lease.clone();
        let lost = self.rng.percent(self.faults.writes_lost);
        let fake = &mut self.nodes[node];
        let Some(leading) = &mut fake.leading else {
            return;
        };
        leading.checked_at = now;
        if !answers {
            return leading.table_health.record_failure(now);
        }
        leading.table_health.record_success();
        fake.generation = generation;
        let revision = row.as_ref().map_or(0, |(revision, _)| *revision);
        let lease = row.as_ref().map(|(_, lease)| lease);
        match leading.tenure.check((revision, lease), generation, now) {
            LeaseCheck::Held => leading.tenure.confirm(now, nodes),
            LeaseCheck::Lost => self.step_down(node),
            LeaseCheck::Restored => {
                leading.tenure.suspend(generation, nodes, now);
                let (name, boot) = (VmId::from(format!("n{node}")), BootId(fake.boot));
                let held = lease.cloned().unwrap_or_else(Lease::lost);
                let next = fake
                    .election
                    .next_lease(Some(&held), generation, &name, boot);
                self.revision += 1;
                self.lease = Some((self.revision, next.clone()));
                if !lost {
                    leading.tenure.record_lease(next, self.revision, now, now);
                }
            }
        }
    }

    /// Returns true if a node leads in the term of a lease that the table may have lost.
    pub fn is_suspended(&self, node: usize) -> bool {
        let leading = self.nodes[node].leading.as_ref();
        leading.is_some_and(|leading| leading.tenure.is_suspended())
    }

    /// Makes a node stop leading as planned.
    pub fn resign(&mut self, node: usize) {
        let answers = self.table_answers(node);
        let lost = self.rng.percent(self.faults.writes_lost);
        let Some(leading) = &self.nodes[node].leading else {
            return;
        };
        let handover = leading
            .tenure
            .hand_over(self.nodes[node].generation, self.now);
        let held = self.lease.as_ref().map(|(revision, _)| *revision);
        let fits = held == Some(leading.tenure.revision());
        if let Some((lease, map)) = handover.filter(|_| answers && fits && !lost) {
            self.revision += 1;
            self.lease = Some((self.revision, lease));
            self.map = Some((self.revision, map));
        }
        self.step_down(node);
    }

    fn step_down(&mut self, node: usize) {
        let fake = &mut self.nodes[node];
        if let Some(leading) = fake.leading.take() {
            let term = leading.tenure.lease().term;
            fake.ended = Some(term);
            fake.election.record_end(term, self.now);
        }
    }

    fn write(&mut self, node: usize, map: KeyMap) {
        let answers = self.table_answers(node);
        let lost = self.rng.percent(self.faults.writes_lost);
        let lease = self.lease.as_ref().map(|(revision, _)| *revision);
        let held = self.map.as_ref().map_or(0, |(revision, _)| *revision);
        let Some(leading) = &mut self.nodes[node].leading else {
            return;
        };
        let fits = lease == Some(leading.tenure.revision()) && held == leading.map_revision;
        if !answers {
            leading.table_health.record_failure(self.now);
            return leading.tenure.leader.map_write_ended(map.version, false);
        }
        leading.table_health.record_success();
        if !fits {
            leading.tenure.leader.map_write_ended(map.version, false);
            leading.map_revision = held;
            return self.check_lease(node);
        }
        self.revision += 1;
        let version = map.version;
        self.map = Some((self.revision, map));
        leading.map_revision = self.revision;
        // A real node reads the row when the answer of a write is lost. Here that read fails too,
        // so the write counts as failed, although the table has stored it.
        let is_outdated = leading.tenure.is_outdated(self.generation);
        leading
            .tenure
            .leader
            .map_write_ended(version, !lost && !is_outdated);
    }

    /// Returns true if an order is sent to the process that runs at its address: on a connection to it, or
    /// on a new one if the target was proven recently or names itself.
    fn passes_identification(&self, node: usize, order: &Order) -> bool {
        let target = usize::from(order.address.port()) - 1;
        let reuses = matches!(
            order.command,
            Command::Grant {
                opened: Some(_),
                ..
            }
        );
        let proof = self.nodes[node].proofs.get(&(target, order.to.id.clone()));
        let is_certain = proof.is_some_and(|at| self.now - *at < REUSE_AFTER);
        reuses || is_certain || order.to.id == self.targets[target].id
    }

    fn send(&mut self, node: usize, order: Order) {
        let target = usize::from(order.address.port()) - 1;
        let boot = self.nodes[node].boot;
        let answer = |outcome: OrderOutcome, after: Duration, now: Instant| OutcomeInTransit {
            node,
            boot,
            order: order.clone(),
            outcome,
            at: now + after,
        };
        let timeout = Duration::from_millis(400);
        if !self.targets[target].up {
            self.answers
                .push(answer(OrderOutcome::NotSent, NETWORK_DELAY, self.now));
            return;
        }
        if let Command::Grant { opened, .. } = order.command
            && opened.is_some_and(|opened| opened < self.targets[target].started_at)
        {
            self.answers
                .push(answer(OrderOutcome::Reconnected, NETWORK_DELAY, self.now));
            return;
        }
        let is_unreachable = self.nodes[node].unreachable.contains(&target);
        if !is_unreachable && !self.passes_identification(node, &order) {
            self.answers
                .push(answer(OrderOutcome::OtherTarget, NETWORK_DELAY, self.now));
            return;
        }
        if is_unreachable || self.rng.percent(self.faults.lost) {
            self.answers
                .push(answer(OrderOutcome::Unknown, timeout, self.now));
            return;
        }
        let late = self.rng.percent(self.faults.late);
        let unanswered = late || self.rng.percent(self.faults.unanswered);
        if unanswered {
            self.answers
                .push(answer(OrderOutcome::Unknown, timeout, self.now));
        }
        let arrives = self.now + NETWORK_DELAY;
        let delay = match late {
            true => Duration::from_millis(2_000 + self.rng.below(10_000)),
            false => Duration::ZERO,
        };
        self.orders.push(OrderInTransit {
            node,
            boot,
            incarnation: self.targets[target].incarnation,
            order,
            target,
            arrives,
            executed: arrives + delay,
            answered: !unanswered,
        });
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let (due, waiting) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|sent| sent.executed <= now);
        self.orders = waiting;
        let due: Vec<OrderInTransit> = due;
        for sent in due {
            self.apply(&sent);
        }
    }

    fn apply(&mut self, sent: &OrderInTransit) {
        let target = &mut self.targets[sent.target];
        if !target.up || target.incarnation != sent.incarnation {
            return;
        }
        let (range, fence) = (sent.order.range, sent.order.fence.0);
        let seen = target.seen.iter().filter(|(seen, _)| overlap(*seen, range));
        let highest = seen.map(|(_, fence)| *fence).max().unwrap_or(0);
        let mut after = NETWORK_DELAY;
        let outcome = match &sent.order.command {
            Command::Grant { .. } if fence < highest => OrderOutcome::StaleFence,
            Command::Grant { duration, .. } => {
                target.remove(range);
                target.seen.push((range, fence));
                // The target's clock is 2 % slow.
                let until = sent.arrives + duration.mul_f64(1.02);
                target.holds.push(HeldRange {
                    range,
                    fence,
                    until,
                });
                OrderOutcome::Done(reply(None, target.started_at))
            }
            Command::Release => {
                if fence >= highest {
                    target.remove(range);
                    target.seen.push((range, fence));
                }
                after += RELEASE_WORK;
                OrderOutcome::Done(reply(Some("state".to_owned()), target.started_at))
            }
        };
        if let (Command::Grant { .. }, OrderOutcome::Done(_)) = (&sent.order.command, &outcome) {
            let process = (sent.target, sent.incarnation);
            let other = self.fences.insert(fence, process);
            if other.is_some_and(|other| other != process) {
                self.violations
                    .push(format!("fence {fence} belongs to two processes"));
            }
        }
        if sent.answered {
            self.answers.push(OutcomeInTransit {
                node: sent.node,
                boot: sent.boot,
                order: sent.order.clone(),
                outcome,
                at: self.now + after,
            });
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let (due, waiting) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition(|answer| answer.at <= now);
        self.answers = waiting;
        let due: Vec<OutcomeInTransit> = due;
        for answer in due {
            let fake = &mut self.nodes[answer.node];
            if !fake.running || fake.boot != answer.boot {
                continue;
            }
            let Some(leading) = &mut fake.leading else {
                continue;
            };
            if let OrderOutcome::Done(_) | OrderOutcome::StaleFence = answer.outcome {
                let target = usize::from(answer.order.address.port()) - 1;
                let proof = (target, answer.order.to.id.clone());
                fake.proofs.insert(proof, now);
            }
            let actions = leading
                .tenure
                .leader
                .order_ended(answer.order.id, answer.outcome, now);
            self.act(answer.node, actions);
        }
    }

    /// Delivers every running node's heartbeat to all others.
    fn send_heartbeats(&mut self) {
        let now = self.now;
        let heartbeats: Vec<(usize, u64, u64, bool, Option<u64>)> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| node.running)
            .map(|(index, node)| {
                let leading = node.leading.as_ref();
                let term =
                    leading.map_or(node.election.term(), |leading| leading.tenure.leader.term());
                (index, node.boot, term, node.leading.is_some(), node.ended)
            })
            .collect();
        for (index, boot, term, leads, ended) in heartbeats {
            let name = VmId::from(format!("n{index}"));
            for other in 0..self.nodes.len() {
                if other == index || !self.nodes[other].running {
                    continue;
                }
                if self.nodes[index].cut_off || self.nodes[other].cut_off {
                    continue;
                }
                self.nodes[other].peers.insert(index, boot);
                let election = &mut self.nodes[other].election;
                election.record_process(&name, BootId(boot), term, now);
                if let Some(ended) = ended {
                    election.record_end(ended, now);
                }
                if let Some(leading) = &mut self.nodes[other].leading {
                    if leading.tenure.is_superseded(term, ended) {
                        self.step_down(other);
                    } else if !leads {
                        leading.tenure.record_idle(&name, BootId(boot));
                    }
                }
                if leads {
                    let election = &mut self.nodes[other].election;
                    election.record_leader(term, &name, BootId(boot), now);
                }
            }
        }
    }

    /// Records a violation if two running targets hold the same key.
    fn check(&mut self) {
        let now = self.now;
        let mut held: Vec<(usize, &HeldRange)> = Vec::new();
        for (index, target) in self.targets.iter().enumerate() {
            let live = target.holds.iter().filter(|held| held.until > now);
            held.extend(live.filter(|_| target.up).map(|held| (index, held)));
        }
        for (at, (one, a)) in held.iter().enumerate() {
            for (other, b) in &held[at + 1..] {
                if one != other && overlap(a.range, b.range) {
                    self.violations.push(format!(
                        "{:?}: t{one} holds {:?} at fence {} and t{other} {:?} at {}",
                        now - self.start,
                        a.range,
                        a.fence,
                        b.range,
                        b.fence
                    ));
                }
            }
        }
    }
}

impl FakeTarget {
    /// Removes a range from the keys that the target holds.
    fn remove(&mut self, range: KeyRange) {
        let mut kept = Vec::new();
        for held in self.holds.drain(..) {
            if !overlap(held.range, range) {
                kept.push(held);
                continue;
            }
            if held.range.first < range.first {
                let last = range.first - 1;
                let range = KeyRange { last, ..held.range };
                kept.push(HeldRange {
                    range,
                    ..held.clone()
                });
            }
            if held.range.last > range.last {
                let first = range.last + 1;
                let range = KeyRange {
                    first,
                    ..held.range
                };
                kept.push(HeldRange { range, ..held });
            }
        }
        self.holds = kept;
    }
}
