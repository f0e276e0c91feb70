//! Simulation of VMs that synchronise state, with a table and a network with delay and loss, on a
//! virtual clock.

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

/// Time until a dead peer is detected.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_millis(1500);
/// One-way delay within a data centre.
const LOCAL_DELAY: Duration = Duration::from_micros(500);
/// One-way delay between data centres.
const REMOTE_DELAY: Duration = Duration::from_micros(4500);
/// Idle time of a link after which it is pinged.
const PING_AFTER: Duration = Duration::from_secs(1);
/// Duration of a read of the table or of the platform's list.
const READ_DELAY: Duration = Duration::from_millis(10);
/// Overhead of a message on the wire.
const FRAME_BYTES: u64 = 8;
/// Size of a read of one row: request and response with their headers.
const READ_BYTES: u64 = 400;
const STALE_LIMIT: Duration = Duration::from_secs(30);

/// Size of the simulated fleet and faults of its network.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    pub vms: usize,
    pub data_centres: usize,
    pub loss: f64,
    pub tick: Duration,
    pub seed: u64,
}

/// Traffic that one VM sent and received.
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

/// How reads of the table behave.
#[derive(Clone, Debug, PartialEq)]
pub enum TableState {
    Up,
    Down,
    /// Reads return this old state; a transaction detects that it is stale.
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
    queue: BinaryHeap<Reverse<Scheduled>>,
    links: HashMap<LinkId, Endpoints>,
    last_ping: Instant,
    names: HashMap<VmId, usize>,
    event_count: u64,
}

struct Endpoints {
    a: usize,
    b: usize,
    last_used: Instant,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at: Instant,
    order: u64,
    to: usize,
    boot: BootId,
    event: Unordered,
}

// Excludes the event from the order of the queue.
struct Unordered(Event);

enum Event {
    Tick,
    Input(Input),
    Message(LinkId, Arc<Message>),
    Dialled(usize),
}

impl Endpoints {
    fn peer_of(&self, end: usize) -> usize {
        if self.a == end { self.b } else { self.a }
    }
}

impl PartialEq for Unordered {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Unordered {}

impl PartialOrd for Unordered {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Unordered {
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

/// Returns a state with five services, each with `targets` targets spread over three data centres.
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
            last_ping: now,
            names: (0..conf.vms).map(|index| (vm_name(index), index)).collect(),
            event_count: 0,
            conf,
        };
        for index in 0..conf.vms {
            let node = simulation.new_node(index);
            simulation.nodes.push(node);
            let jitter = Duration::from_micros(simulation.rng.random_range(0..1_000_000));
            simulation.push(jitter, index, Event::Tick);
        }
        simulation
    }

    /// Advances the clock by `time` and handles the events that are due.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.queue.peek().is_some_and(|Reverse(due)| due.at <= end) {
            let Some(Reverse(due)) = self.queue.pop() else {
                break;
            };
            self.now = due.at;
            self.ping_idle_links();
            // Events for a previous process of the VM are dropped.
            let node = &self.nodes[due.to];
            if node.alive && node.hello.boot == due.boot {
                self.handle_event(due.to, due.event.0);
            }
        }
        self.now = end;
    }

    /// Runs until the condition holds. Returns the time taken, or `None` if it exceeds `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now - start < limit {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run(Duration::from_millis(50));
        }
        condition(self).then_some(limit)
    }

    /// Kills a VM without notice; its peers detect it after [`DEAD_PEER_TIMEOUT`].
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
        let links = self.links.iter();
        let open = links.filter(|(_, ends)| ends.a == index || ends.b == index);
        let open: Vec<_> = open
            .map(|(link, ends)| (*link, ends.peer_of(index)))
            .collect();
        for (link, other) in open {
            self.push(
                DEAD_PEER_TIMEOUT,
                other,
                Event::Input(Input::LinkClosed(link)),
            );
            self.links.remove(&link);
        }
    }

    /// Removes the dead VMs from the platform's list, and has every VM read the list.
    pub fn delist_dead(&mut self) {
        let live = self.nodes.iter().enumerate().filter(|(_, node)| node.alive);
        let entries = live.map(|(index, _)| entry(index, self.conf.data_centres));
        self.list = Arc::new(VmDirectory::new(entries.collect()));
        for index in 0..self.nodes.len() {
            let list = Input::VmList(self.list.clone());
            self.push(READ_DELAY, index, Event::Input(list));
        }
    }

    /// Starts a new process on a VM, with an empty state.
    pub fn restart(&mut self, index: usize) {
        self.nodes[index] = self.new_node(index);
        self.push(Duration::ZERO, index, Event::Tick);
    }

    /// Returns true if every live VM holds the ticket number.
    pub fn all_hold(&self, number: u64) -> bool {
        let mut live = self.nodes.iter().filter(|node| node.alive);
        live.all(|node| node.state_sync.view().state.number == TicketNumber(number))
    }

    /// Returns the live VMs that act as relays.
    pub fn relays(&self) -> Vec<usize> {
        let live = self.nodes.iter().enumerate();
        let relays = live.filter(|(_, node)| node.alive && node.state_sync.is_relay());
        relays.map(|(index, _)| index).collect()
    }

    /// Resets the traffic counters of all VMs.
    pub fn reset_traffic(&mut self) {
        self.nodes
            .iter_mut()
            .for_each(|node| node.traffic = Traffic::default());
    }

    /// Passes an input to a node and performs the actions it returns.
    pub fn handle_input(&mut self, index: usize, input: Input) {
        let actions = self.nodes[index].state_sync.handle(self.now, input);
        self.perform(index, actions);
    }

    fn new_node(&mut self, index: usize) -> Node {
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

    fn push(&mut self, after: Duration, to: usize, event: Event) {
        self.event_count += 1;
        let due = Scheduled {
            at: self.now + after,
            order: self.event_count,
            to,
            boot: self.nodes[to].hello.boot,
            event: Unordered(event),
        };
        self.queue.push(Reverse(due));
    }

    fn handle_event(&mut self, to: usize, event: Event) {
        match event {
            Event::Tick => {
                self.push(self.conf.tick, to, Event::Tick);
                self.handle_input(to, Input::Tick);
            }
            Event::Input(input) => self.handle_input(to, input),
            Event::Dialled(from) => self.open(from, to),
            Event::Message(link, message) => {
                if self.links.contains_key(&link) {
                    let message = Message::clone(&message);
                    self.handle_input(to, Input::Received { link, message });
                }
            }
        }
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { links, message } => self.send(index, &links, message),
                Action::Dial { vm, .. } => self.dial(index, vm),
                Action::CloseLink(link) => self.close(index, link),
                Action::ReadState { held, .. } => self.read_table(index, held),
                Action::ReadVmList if self.list_down => {}
                Action::ReadVmList => {
                    let list = Input::VmList(self.list.clone());
                    self.push(READ_DELAY, index, Event::Input(list));
                }
                Action::CensusUpdated => {}
                Action::ViewChanged(_) => {
                    let node = &mut self.nodes[index];
                    node.hello.digest = node.state_sync.view().digest();
                }
            }
        }
    }

    fn count_read(&mut self, index: usize, bytes: u64) {
        let traffic = &mut self.nodes[index].traffic;
        traffic.messages += 2;
        traffic.bytes += bytes;
        traffic.kinds[6] += bytes;
    }

    fn delay(&self, a: usize, b: usize) -> Duration {
        match a % self.conf.data_centres == b % self.conf.data_centres {
            true => LOCAL_DELAY,
            false => REMOTE_DELAY,
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.nodes[a].hello, &self.nodes[b].hello);
        let is_remote = a.data_centre != b.data_centre;
        is_remote && (self.cut.contains(&a.data_centre) || self.cut.contains(&b.data_centre))
    }

    fn send(&mut self, from: usize, links: &[LinkId], message: Message) {
        let bytes = Frame::new(&message).bytes().len() as u64 + FRAME_BYTES;
        let kind = kind(&message);
        let message = Arc::new(message);
        for link in links {
            let Some(ends) = self.links.get_mut(link) else {
                continue;
            };
            ends.last_used = self.now;
            let to = ends.peer_of(from);
            for end in [from, to] {
                self.nodes[end].traffic.messages += 1;
                self.nodes[end].traffic.bytes += bytes;
                self.nodes[end].traffic.kinds[kind] += bytes;
            }
            if self.rng.random_bool(self.conf.loss) || self.is_cut(from, to) {
                continue;
            }
            let event = Event::Message(*link, message.clone());
            self.push(self.delay(from, to), to, event);
        }
    }

    fn dial(&mut self, from: usize, vm: Option<VmId>) {
        let Some(to) = vm.as_ref().and_then(|vm| self.names.get(vm)).copied() else {
            return;
        };
        let unreachable = !self.nodes[to].alive || self.is_cut(from, to);
        match vm {
            Some(vm) if unreachable => {
                self.push(DEAD_PEER_TIMEOUT, from, Event::Input(Input::DialFailed(vm)));
            }
            _ => self.push(2 * self.delay(from, to), to, Event::Dialled(from)),
        }
    }

    fn open(&mut self, from: usize, to: usize) {
        if !self.nodes[from].alive {
            return;
        }
        self.event_count += 1;
        let link = LinkId(self.event_count);
        let ends = Endpoints {
            a: from,
            b: to,
            last_used: self.now,
        };
        self.links.insert(link, ends);
        for (end, other) in [(from, to), (to, from)] {
            let linked = Input::LinkOpened {
                link,
                hello: self.nodes[other].hello.clone(),
                dialled: end == from,
            };
            self.handle_input(end, linked);
        }
    }

    fn close(&mut self, index: usize, link: LinkId) {
        let Some(ends) = self.links.remove(&link) else {
            return;
        };
        let other = ends.peer_of(index);
        for end in [index, other] {
            let after = self.delay(index, end);
            self.push(after, end, Event::Input(Input::LinkClosed(link)));
        }
    }

    // Counts a ping and a pong on every link that was idle for [`PING_AFTER`].
    fn ping_idle_links(&mut self) {
        if self.now - self.last_ping < PING_AFTER {
            return;
        }
        self.last_ping = self.now;
        let bytes = 2 * (Frame::new(&Message::Ping(1000)).bytes().len() as u64 + FRAME_BYTES);
        for ends in self
            .links
            .values()
            .filter(|ends| self.now - ends.last_used >= PING_AFTER)
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
        self.count_read(index, READ_BYTES);
        let (state, verified) = match &self.table {
            TableState::Down => {
                let failed = Input::StateRead(StateRead::Failed);
                return self.push(2 * DEAD_PEER_TIMEOUT, index, Event::Input(failed));
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
        self.push(READ_DELAY, index, Event::Input(Input::StateRead(answer)));
    }
}

/// Names of the traffic classes in [`Traffic::kinds`].
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

/// Returns the mean and the maximum number of bytes sent and received by a live VM.
pub fn bytes(simulation: &Simulation) -> (u64, u64) {
    let live: Vec<_> = simulation.nodes.iter().filter(|node| node.alive).collect();
    let total: u64 = live.iter().map(|node| node.traffic.bytes).sum();
    let max = live.iter().map(|node| node.traffic.bytes).max();
    (total / live.len() as u64, max.unwrap_or_default())
}

/// Counts live VMs by the ticket number they hold.
pub fn numbers(simulation: &Simulation) -> BTreeMap<TicketNumber, usize> {
    let mut counts = BTreeMap::new();
    for node in simulation.nodes.iter().filter(|node| node.alive) {
        *counts
            .entry(node.state_sync.view().state.number)
            .or_default() += 1;
    }
    counts
}
