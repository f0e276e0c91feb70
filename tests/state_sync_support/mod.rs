//! VMs that spread state over a network with delay and loss, on a clock of their own.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use gooseberryloft::ids::BootId;
use gooseberryloft::ids::DataCentre;
use gooseberryloft::ids::ServiceId;
use gooseberryloft::ids::TargetId;
use gooseberryloft::ids::TicketNumber;
use gooseberryloft::ids::VmId;
use gooseberryloft::link::Frame;
use gooseberryloft::link::Hello;
use gooseberryloft::link::Message;
use gooseberryloft::link::Role;
use gooseberryloft::member::VmDirectory;
use gooseberryloft::platform::VmEntry;
use gooseberryloft::platform::VmState;
use gooseberryloft::state_sync::Action;
use gooseberryloft::state_sync::Input;
use gooseberryloft::state_sync::LinkId;
use gooseberryloft::state_sync::StateRead;
use gooseberryloft::state_sync::StateSync;
use gooseberryloft::state_sync::StateSyncConf;
use gooseberryloft::ticket::InForce;
use gooseberryloft::ticket::Service;
use gooseberryloft::ticket::Target;
use gooseberryloft::ticket::TargetState;

const SILENCE: Duration = Duration::from_millis(1500);
const NEAR: Duration = Duration::from_micros(500);
const FAR: Duration = Duration::from_micros(4500);
const IDLE: Duration = Duration::from_secs(1);
const TABLE: Duration = Duration::from_millis(10);
const FRAME_BYTES: u64 = 8;
/// A read of one row: request and answer with their heads.
const READ_BYTES: u64 = 400;
const STALE_LIMIT: Duration = Duration::from_secs(30);

/// How large and how bad a network is.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    pub vms: usize,
    pub data_centres: usize,
    pub loss: f64,
    pub tick: Duration,
    pub seed: u64,
}

/// What one VM sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
    pub kinds: [u64; 8],
}

pub struct Node {
    pub state_sync: StateSync,
    pub hello: Hello,
    pub alive: bool,
    pub traffic: Traffic,
}

/// How the table answers.
#[derive(Clone, Debug, PartialEq)]
pub enum TableState {
    Up,
    Down,
    /// Reads see an old state; a transaction tells that they do.
    Stale(InForce),
}

pub struct Simulation {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub state: InForce,
    pub table: TableState,
    pub table_reads: u64,
    pub list_down: bool,
    pub cut: Vec<DataCentre>,
    conf: SimulationConfig,
    rng: ChaCha8Rng,
    list: Arc<VmDirectory>,
    queue: BinaryHeap<Reverse<Due>>,
    links: HashMap<LinkId, Ends>,
    pinged: Instant,
    names: HashMap<VmId, usize>,
    count: u64,
}

struct Ends {
    a: usize,
    b: usize,
    used: Instant,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Instant,
    order: u64,
    to: usize,
    boot: BootId,
    what: Slot,
}

// Keeps what is due out of the order of the queue.
struct Slot(What);

enum What {
    Tick,
    Input(Input),
    Message(LinkId, Arc<Message>),
    Dialled(usize),
}

impl Ends {
    fn other(&self, end: usize) -> usize {
        if self.a == end { self.b } else { self.a }
    }
}

impl PartialEq for Slot {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Slot {}

impl PartialOrd for Slot {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Slot {
    fn cmp(&self, _: &Self) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

pub fn vm_name(index: usize) -> VmId {
    format!("vm-{index}").into()
}

pub fn centre_name(index: usize) -> DataCentre {
    format!("dc-{index}").into()
}

fn entry(index: usize, data_centres: usize) -> VmEntry {
    VmEntry {
        vm: vm_name(index),
        data_centre: centre_name(index % data_centres),
        address: ([127, 0, 0, 1], 1).into(),
        state: VmState::Live,
    }
}

/// Returns a state with one service of `targets` targets per data centre in use.
pub fn state(number: u64, targets: usize) -> InForce {
    let target = |index: usize| {
        let target = Target {
            address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 80).into(),
            data_centre: centre_name(index % 3),
            slots: 6,
            connections: 130,
            checks_term: true,
            group: 0,
            state: TargetState::Serving,
        };
        (TargetId::from(format!("target-{index}")), target)
    };
    let service = |name: u64| Service {
        prefix: format!("/{name}"),
        keying: None,
        idempotent: vec!["GET".into()],
        priority: 0,
        spread_percent: 0,
        deadline_ms: 1000 + (name..=number).step_by(5).last().unwrap_or(0),
        targets: (0..targets).map(target).collect(),
    };
    let services = (0..5).map(|name| (ServiceId::from(format!("service-{name}")), service(name)));
    InForce {
        number: TicketNumber(number),
        services: services.collect(),
    }
}

impl Simulation {
    /// Creates VMs that start within the first second.
    pub fn new(conf: SimulationConfig) -> Self {
        eprintln!("{conf:?}");
        let now = Instant::now();
        let entries = (0..conf.vms).map(|index| entry(index, conf.data_centres));
        let mut simulation = Self {
            now,
            nodes: Vec::new(),
            state: InForce::default(),
            table: TableState::Up,
            table_reads: 0,
            list_down: false,
            cut: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(conf.seed),
            list: Arc::new(VmDirectory::new(entries.collect())),
            queue: BinaryHeap::new(),
            links: HashMap::new(),
            pinged: now,
            names: (0..conf.vms).map(|index| (vm_name(index), index)).collect(),
            count: 0,
            conf,
        };
        for index in 0..conf.vms {
            let node = simulation.fresh(index);
            simulation.nodes.push(node);
            let jitter = Duration::from_micros(simulation.rng.random_range(0..1_000_000));
            simulation.push(jitter, index, What::Tick);
        }
        simulation
    }

    /// Runs for a while.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.queue.peek().is_some_and(|Reverse(due)| due.at <= end) {
            let Some(Reverse(due)) = self.queue.pop() else {
                break;
            };
            self.now = due.at;
            self.ping();
            // What was meant for an earlier process is lost with it.
            let node = &self.nodes[due.to];
            if node.alive && node.hello.boot == due.boot {
                self.happen(due.to, due.what.0);
            }
        }
        self.now = end;
    }

    /// Runs until something holds; returns how long that took, `None` if it did not within `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now - start < limit {
            if holds(self) {
                return Some(self.now - start);
            }
            self.run(Duration::from_millis(50));
        }
        holds(self).then_some(limit)
    }

    /// Loses a VM outright; its links are silent from now on.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
        let links = self.links.iter();
        let open = links.filter(|(_, ends)| ends.a == index || ends.b == index);
        let open: Vec<_> = open
            .map(|(link, ends)| (*link, ends.other(index)))
            .collect();
        for (link, other) in open {
            self.push(SILENCE, other, What::Input(Input::LinkClosed(link)));
            self.links.remove(&link);
        }
    }

    /// Takes the lost VMs off the platform's list, and lets every VM read it.
    pub fn delist_dead(&mut self) {
        let live = self.nodes.iter().enumerate().filter(|(_, node)| node.alive);
        let entries = live.map(|(index, _)| entry(index, self.conf.data_centres));
        self.list = Arc::new(VmDirectory::new(entries.collect()));
        for index in 0..self.nodes.len() {
            let list = Input::VmList(self.list.clone());
            self.push(TABLE, index, What::Input(list));
        }
    }

    /// Starts a VM anew, with nothing.
    pub fn restart(&mut self, index: usize) {
        self.nodes[index] = self.fresh(index);
        self.push(Duration::ZERO, index, What::Tick);
    }

    /// Returns whether every live VM holds the number.
    pub fn all_hold(&self, number: u64) -> bool {
        let mut live = self.nodes.iter().filter(|node| node.alive);
        live.all(|node| node.state_sync.view().state.number == TicketNumber(number))
    }

    /// Returns the relays as they see themselves.
    pub fn relays(&self) -> Vec<usize> {
        let live = self.nodes.iter().enumerate();
        let relays = live.filter(|(_, node)| node.alive && node.state_sync.is_relay());
        relays.map(|(index, _)| index).collect()
    }

    /// Forgets what was sent so far.
    pub fn reset_traffic(&mut self) {
        self.nodes
            .iter_mut()
            .for_each(|node| node.traffic = Traffic::default());
    }

    /// Tells a node something from outside.
    pub fn tell(&mut self, index: usize, input: Input) {
        let actions = self.nodes[index].state_sync.handle(self.now, input);
        self.act(index, actions);
    }

    fn fresh(&mut self, index: usize) -> Node {
        let data_centre = centre_name(index % self.conf.data_centres);
        let boot = BootId(self.rng.random());
        let conf = StateSyncConf {
            vm: vm_name(index),
            boot,
            data_centre: data_centre.clone(),
            stale_limit: STALE_LIMIT,
            seeds: Vec::new(),
        };
        let hello = Hello {
            vm: vm_name(index),
            boot,
            data_centre,
            role: Role::Controller,
            digest: Default::default(),
        };
        Node {
            state_sync: StateSync::new(conf, self.now),
            hello,
            alive: true,
            traffic: Traffic::default(),
        }
    }

    fn push(&mut self, after: Duration, to: usize, what: What) {
        self.count += 1;
        let due = Due {
            at: self.now + after,
            order: self.count,
            to,
            boot: self.nodes[to].hello.boot,
            what: Slot(what),
        };
        self.queue.push(Reverse(due));
    }

    fn happen(&mut self, to: usize, what: What) {
        match what {
            What::Tick => {
                self.push(self.conf.tick, to, What::Tick);
                self.tell(to, Input::Tick);
            }
            What::Input(input) => self.tell(to, input),
            What::Dialled(from) => self.open(from, to),
            What::Message(link, message) => {
                if self.links.contains_key(&link) {
                    let message = Message::clone(&message);
                    self.tell(to, Input::Received { link, message });
                }
            }
        }
    }

    fn act(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { links, message } => self.send(index, &links, message),
                Action::Dial { vm, .. } => self.dial(index, vm),
                Action::CloseLink(link) => self.close(index, link),
                Action::ReadState { held, .. } => self.read_table(index, held),
                Action::ReadVmList if self.list_down => {}
                Action::ReadVmList => {
                    let list = Input::VmList(self.list.clone());
                    self.push(TABLE, index, What::Input(list));
                }
                Action::CensusUpdated => {}
                Action::ViewChanged(_) => {
                    let node = &mut self.nodes[index];
                    node.hello.digest = node.state_sync.view().digest();
                }
            }
        }
    }

    fn charge(&mut self, index: usize, bytes: u64) {
        let traffic = &mut self.nodes[index].traffic;
        traffic.messages += 2;
        traffic.bytes += bytes;
        traffic.kinds[6] += bytes;
    }

    fn delay(&self, a: usize, b: usize) -> Duration {
        match a % self.conf.data_centres == b % self.conf.data_centres {
            true => NEAR,
            false => FAR,
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.nodes[a].hello, &self.nodes[b].hello);
        let far = a.data_centre != b.data_centre;
        far && (self.cut.contains(&a.data_centre) || self.cut.contains(&b.data_centre))
    }

    fn send(&mut self, from: usize, links: &[LinkId], message: Message) {
        let bytes = Frame::new(&message).bytes().len() as u64 + FRAME_BYTES;
        let kind = kind(&message);
        let message = Arc::new(message);
        for link in links {
            let Some(ends) = self.links.get_mut(link) else {
                continue;
            };
            ends.used = self.now;
            let to = ends.other(from);
            for end in [from, to] {
                self.nodes[end].traffic.messages += 1;
                self.nodes[end].traffic.bytes += bytes;
                self.nodes[end].traffic.kinds[kind] += bytes;
            }
            if self.rng.random_bool(self.conf.loss) || self.is_cut(from, to) {
                continue;
            }
            let what = What::Message(*link, message.clone());
            self.push(self.delay(from, to), to, what);
        }
    }

    fn dial(&mut self, from: usize, vm: Option<VmId>) {
        let Some(to) = vm.as_ref().and_then(|vm| self.names.get(vm)).copied() else {
            return;
        };
        let lost = !self.nodes[to].alive || self.is_cut(from, to);
        match vm {
            Some(vm) if lost => {
                self.push(SILENCE, from, What::Input(Input::DialFailed(vm)));
            }
            _ => self.push(2 * self.delay(from, to), to, What::Dialled(from)),
        }
    }

    fn open(&mut self, from: usize, to: usize) {
        if !self.nodes[from].alive {
            return;
        }
        self.count += 1;
        let link = LinkId(self.count);
        let ends = Ends {
            a: from,
            b: to,
            used: self.now,
        };
        self.links.insert(link, ends);
        for (end, other) in [(from, to), (to, from)] {
            let linked = Input::LinkOpened {
                link,
                hello: self.nodes[other].hello.clone(),
                dialled: end == from,
            };
            self.tell(end, linked);
        }
    }

    fn close(&mut self, index: usize, link: LinkId) {
        let Some(ends) = self.links.remove(&link) else {
            return;
        };
        let other = ends.other(index);
        for end in [index, other] {
            let after = self.delay(index, end);
            self.push(after, end, What::Input(Input::LinkClosed(link)));
        }
    }

    // A link that carried nothing for a second carries a ping and its answer.
    fn ping(&mut self) {
        if self.now - self.pinged < IDLE {
            return;
        }
        self.pinged = self.now;
        let bytes = 2 * (Frame::new(&Message::Ping(1000)).bytes().len() as u64 + FRAME_BYTES);
        for ends in self
            .links
            .values()
            .filter(|ends| self.now - ends.used >= IDLE)
        {
            for end in [ends.a, ends.b] {
                let traffic = &mut self.nodes[end].traffic;
                traffic.messages += 2;
                traffic.bytes += bytes;
                traffic.kinds[7] += bytes;
            }
        }
    }

    fn read_table(&mut self, index: usize, held: TicketNumber) {
        self.table_reads += 1;
        self.charge(index, READ_BYTES);
        let (state, verified) = match &self.table {
            TableState::Down => {
                let failed = Input::StateRead(StateRead::Failed);
                return self.push(2 * SILENCE, index, What::Input(failed));
            }
            TableState::Up => (&self.state, true),
            TableState::Stale(old) => (old, *old == self.state),
        };
        let answer = match state.number > held {
            true => StateRead::Newer {
                state: state.clone(),
                verified,
            },
            false => StateRead::NotNewer {
                number: state.number,
                verified,
            },
        };
        self.push(TABLE, index, What::Input(Input::StateRead(answer)));
    }
}

/// Names the kinds of messages that traffic is counted by.
pub const KINDS: [&str; 8] = [
    "changes",
    "digest",
    "subscribe",
    "summary",
    "census",
    "counts",
    "table",
    "ping",
];

fn kind(message: &Message) -> usize {
    match message {
        Message::Changes(_) => 0,
        Message::Digest(_) => 1,
        Message::Subscribe(_) => 2,
        Message::Summary(_) => 3,
        Message::Census(_) => 4,
        Message::Centres(_) => 5,
        _ => 7,
    }
}

/// Adds up the traffic of all VMs; returns the mean and the highest bytes.
pub fn bytes(simulation: &Simulation) -> (u64, u64) {
    let live: Vec<_> = simulation.nodes.iter().filter(|node| node.alive).collect();
    let total: u64 = live.iter().map(|node| node.traffic.bytes).sum();
    let most = live.iter().map(|node| node.traffic.bytes).max();
    (total / live.len() as u64, most.unwrap_or_default())
}

/// Counts VMs by number in force.
pub fn numbers(simulation: &Simulation) -> BTreeMap<TicketNumber, usize> {
    let mut counts = BTreeMap::new();
    for node in simulation.nodes.iter().filter(|node| node.alive) {
        *counts
            .entry(node.state_sync.view().state.number)
            .or_default() += 1;
    }
    counts
}
