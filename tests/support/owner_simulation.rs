//! Simulation of VMs that control one group, its targets, a table and a faulty network, under a
//! virtual clock.

#![allow(dead_code)]

#[path = "owner_checks.rs"]
mod checks;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::table::FakeTable;
use gooseberryloft::events::Event;
use gooseberryloft::ids::BootId;
use gooseberryloft::ids::Fence;
use gooseberryloft::ids::GroupId;
use gooseberryloft::ids::Shard;
use gooseberryloft::ids::TargetId;
use gooseberryloft::ids::VmId;
use gooseberryloft::owner::authority::VouchPolicy;
use gooseberryloft::owner::grants::Grants;
use gooseberryloft::owner::group::Action;
use gooseberryloft::owner::group::Group;
use gooseberryloft::owner::group::GroupConf;
use gooseberryloft::owner::group::Input;
use gooseberryloft::owner::group::Peer;
use gooseberryloft::owner::loads::Loads;
use gooseberryloft::owner::message::Member;
use gooseberryloft::owner::order::Order;
use gooseberryloft::owner::rows::ShardsRow;
use gooseberryloft::platform::Transaction;
use gooseberryloft::ticket::KeySource;
use gooseberryloft::ticket::Keying;
use gooseberryloft::ticket::Service;
use gooseberryloft::ticket::Target;
use gooseberryloft::ticket::TargetState;
use gooseberryloft::view::View;
use gooseberryloft::view::ViewChange;

/// Delay of a message in one direction.
pub const NETWORK_DELAY: Duration = Duration::from_micros(4_500);
/// Time until a change of the running VMs reaches every VM.
const VM_LIST_DELAY: Duration = Duration::from_secs(1);
const VM_LIST_PERIOD: Duration = Duration::from_millis(500);

/// An event in the queue of the simulation.
#[derive(Clone, Debug)]
pub enum SimEvent {
    Tick {
        vm: usize,
        boot: BootId,
    },
    Input {
        vm: usize,
        boot: BootId,
        input: Box<Input>,
    },
    Order {
        vm: usize,
        boot: BootId,
        target: TargetId,
        order: Box<Order>,
    },
    Read {
        vm: usize,
        boot: BootId,
        id: u64,
        keys: Vec<String>,
    },
    Commit {
        vm: usize,
        boot: BootId,
        tx: Transaction,
    },
    View(Box<ViewChange>),
    MeasureService,
    /// Sends the list of running VMs to every VM, with [`VM_LIST_DELAY`].
    VmList,
}

pub struct Vm {
    pub name: VmId,
    pub boot: BootId,
    pub group: Option<Group>,
    /// Events held back while the VM is paused.
    pub paused: Option<Vec<SimEvent>>,
    /// Whether the VM exits as soon as its group may stop.
    pub stopping: bool,
    /// When the next tick is due; earlier scheduled ticks are ignored.
    tick_at: Option<Instant>,
}

/// One process of a target.
pub struct Process {
    pub boot: BootId,
    pub grants: Grants,
    pub dead: bool,
    /// Orders held back while the process is frozen.
    pub frozen: Option<Vec<SimEvent>>,
}

/// Size and settings of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    pub vms: usize,
    pub targets: usize,
    pub shards: u32,
    pub slots: u16,
    pub checks_term: bool,
    pub policy: VouchPolicy,
    /// Time between two measurements of which shards are served.
    pub sample_period: Duration,
    pub seed: u64,
}

impl Default for SimulationConfig {
    fn default() -> Self {
        Self {
            vms: 3,
            targets: 5,
            shards: 32,
            slots: 2,
            checks_term: true,
            policy: VouchPolicy::OneOther,
            sample_period: Duration::from_millis(5),
            seed: 1,
        }
    }
}

pub struct Simulation {
    pub now: Instant,
    pub start: Instant,
    pub rng: ChaCha8Rng,
    pub config: SimulationConfig,
    pub vms: Vec<Vm>,
    /// All processes that ran at each target's address, the current one last.
    pub targets: BTreeMap<TargetId, Vec<Process>>,
    pub service: Service,
    pub table: FakeTable,
    pub view: View,
    /// Pairs of names (VM, target, `table` or `*` for all) whose link drops everything.
    pub cut_links: BTreeSet<(String, String)>,
    /// Probability that a message is lost.
    pub loss_rate: f64,
    /// Probability that a message is delivered a second time, late.
    pub duplication_rate: f64,
    /// Time, event and details of each log entry.
    pub log: Vec<(Duration, Event, String)>,
    /// Cleared together with `unserved`; never filled.
    pub gaps: BTreeMap<Shard, Duration>,
    /// Time without service of each shard since the last reset.
    pub unserved: BTreeMap<Shard, Duration>,
    /// The process that held each shard under each fence.
    pub fence_holders: BTreeMap<(Shard, Fence), (TargetId, BootId)>,
    /// Owner of each shard under each fence that the table ever held.
    pub assignments: BTreeMap<(Shard, Fence), TargetId>,
    /// The row of shard owners at the last check.
    pub last_row: ShardsRow,
    /// Pending events by time, then by sequence number.
    queue: BTreeMap<(Instant, u64), SimEvent>,
    seq: u64,
    boots: u64,
}

impl Simulation {
    pub fn new(config: SimulationConfig) -> Self {
        let now = Instant::now();
        let mut simulation = Self {
            now,
            start: now,
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            service: service(&config),
            config,
            vms: Vec::new(),
            targets: BTreeMap::new(),
            table: FakeTable::new(),
            view: View::default(),
            cut_links: BTreeSet::new(),
            loss_rate: 0.0,
            duplication_rate: 0.0,
            log: Vec::new(),
            gaps: BTreeMap::new(),
            unserved: BTreeMap::new(),
            fence_holders: BTreeMap::new(),
            assignments: BTreeMap::new(),
            last_row: ShardsRow::default(),
            queue: BTreeMap::new(),
            seq: 0,
            boots: 0,
        };
        for target in simulation
            .service
            .targets
            .keys()
            .cloned()
            .collect::<Vec<_>>()
        {
            simulation.targets.insert(target.clone(), Vec::new());
            simulation.start_target(&target);
        }
        for i in 0..simulation.config.vms {
            let name = VmId::from(format!("v{}", i + 1));
            let vm = Vm {
                name,
                boot: BootId(0),
                group: None,
                paused: None,
                stopping: false,
                tick_at: None,
            };
            simulation.vms.push(vm);
            simulation.start_vm(i);
        }
        simulation.push(simulation.config.sample_period, SimEvent::MeasureService);
        simulation.push(VM_LIST_PERIOD, SimEvent::VmList);
        simulation
    }

    pub fn group_id() -> GroupId {
        GroupId {
            service: "status".into(),
            index: 0,
        }
    }

    fn next_boot(&mut self) -> BootId {
        self.boots += 1;
        BootId(self.boots)
    }

    /// Starts a new process on a VM and sends the list of VMs to all.
    pub fn start_vm(&mut self, vm: usize) {
        let boot = self.next_boot();
        let name = self.vms[vm].name.clone();
        let conf = GroupConf {
            group: Self::group_id(),
            me: name,
            boot,
            data_centre: data_centre(vm),
            policy: self.config.policy,
        };
        let seed = self.rng.random();
        self.vms[vm].boot = boot;
        self.vms[vm].paused = None;
        self.vms[vm].stopping = false;
        self.vms[vm].tick_at = None;
        self.vms[vm].group = Some(Group::new(self.now, conf, seed));
        let service = Some(self.service.clone());
        self.input(vm, Duration::ZERO, Input::Service(service));
        self.send_vm_list(Duration::ZERO);
    }

    pub fn kill_vm(&mut self, vm: usize) {
        self.vms[vm].group = None;
        self.vms[vm].paused = None;
    }

    /// Sends the list of running VMs to every VM after a delay.
    fn send_vm_list(&mut self, delay: Duration) {
        let peers: Vec<Peer> = self.peers();
        for vm in 0..self.vms.len() {
            self.input(vm, delay, Input::Vms(peers.clone()));
        }
    }

    fn peers(&self) -> Vec<Peer> {
        let running = self
            .vms
            .iter()
            .enumerate()
            .filter(|(_, vm)| vm.group.is_some());
        running
            .map(|(i, vm)| Peer {
                member: Member {
                    vm: vm.name.clone(),
                    boot: vm.boot,
                    data_centre: data_centre(i),
                },
                leaving: false,
            })
            .collect()
    }

    /// Starts a new process at a target's address. A frozen earlier process stays and may resume.
    pub fn start_target(&mut self, target: &TargetId) {
        let boot = self.next_boot();
        let grants = Grants::new(boot, self.now, self.config.checks_term);
        let process = Process {
            boot,
            grants,
            dead: false,
            frozen: None,
        };
        self.targets
            .get_mut(target)
            .expect("known target")
            .push(process);
    }

    pub fn kill_target(&mut self, target: &TargetId) {
        let process = self.targets.get_mut(target).and_then(|p| p.last_mut());
        process.expect("known target").dead = true;
    }

    pub fn freeze_target(&mut self, target: &TargetId) {
        let process = self.targets.get_mut(target).and_then(|p| p.last_mut());
        process.expect("known target").frozen = Some(Vec::new());
    }

    /// Resumes every frozen process of a target; each handles the orders held back for it.
    pub fn thaw_target(&mut self, target: &TargetId) {
        let mut waiting = Vec::new();
        for process in self.targets.get_mut(target).expect("known target") {
            let boot = process.boot;
            waiting.extend(
                process
                    .frozen
                    .take()
                    .into_iter()
                    .flatten()
                    .map(|event| (boot, event)),
            );
        }
        for (boot, event) in waiting {
            self.handle_order(event, Some(boot));
        }
    }

    pub fn pause_vm(&mut self, vm: usize) {
        // Orders that the VM has sent but that are not delivered yet are held back with it.
        let sent_by_vm =
            |event: &SimEvent| matches!(event, SimEvent::Order { vm: from, .. } if *from == vm);
        let (kept, queue) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition::<BTreeMap<_, _>, _>(|(_, event)| sent_by_vm(event));
        self.queue = queue;
        let kept = kept.into_values().collect();
        self.vms[vm].paused = Some(kept);
    }

    pub fn resume_vm(&mut self, vm: usize) {
        for event in self.vms[vm].paused.take().into_iter().flatten() {
            self.push(Duration::from_micros(10), event);
        }
        self.schedule_tick(vm);
    }

    /// Gives one VM a load sample of its entry.
    pub fn send_loads(&mut self, vm: usize, loads: Loads) {
        self.input(vm, Duration::ZERO, Input::Loads(loads));
    }

    pub fn set_service(&mut self) {
        for vm in 0..self.vms.len() {
            let service = Some(self.service.clone());
            self.input(vm, NETWORK_DELAY, Input::Service(service));
        }
    }

    pub fn vm(&self, name: &str) -> usize {
        let found = self.vms.iter().position(|vm| vm.name.as_str() == name);
        found.unwrap_or_else(|| panic!("no VM {name}"))
    }

    /// Returns the unpaused VM that is the holder under the newest term.
    pub fn holder(&self) -> Option<usize> {
        let holds = |vm: &Vm| {
            let status = vm.group.as_ref()?.status();
            (status.holder.as_ref() == Some(&vm.name) && vm.paused.is_none()).then_some(status.term)
        };
        let holders = self
            .vms
            .iter()
            .enumerate()
            .filter_map(|(i, vm)| Some((holds(vm)?, i)));
        holders.max().map(|(_, i)| i)
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(next) = self.queue.first_entry() {
            let (at, _) = *next.key();
            if at > end {
                break;
            }
            let event = next.remove();
            self.now = self.now.max(at);
            self.step(event);
        }
        self.now = end;
    }

    /// Resets the measured time without service.
    pub fn reset_unserved(&mut self) {
        self.unserved.clear();
        self.gaps.clear();
    }

    fn push(&mut self, after: Duration, event: SimEvent) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), event);
    }

    fn input(&mut self, vm: usize, after: Duration, input: Input) {
        let boot = self.vms[vm].boot;
        self.push(
            after,
            SimEvent::Input {
                vm,
                boot,
                input: Box::new(input),
            },
        );
    }

    fn step(&mut self, event: SimEvent) {
        match event {
            SimEvent::MeasureService => {
                self.measure_service();
                self.push(self.config.sample_period, SimEvent::MeasureService);
            }
            SimEvent::VmList => {
                self.send_vm_list(VM_LIST_DELAY);
                self.push(VM_LIST_PERIOD, SimEvent::VmList);
            }
            SimEvent::View(change) => {
                self.check_published_owners(&change);
                self.view.apply(*change);
            }
            SimEvent::Order { .. } => self.handle_order(event, None),
            SimEvent::Read { vm, boot, id, keys } => {
                let result = self.table.read(&keys);
                let half = self.table.latency / 2;
                let input = Box::new(Input::RowsRead { id, result });
                self.push(half, SimEvent::Input { vm, boot, input });
            }
            SimEvent::Commit { vm, boot, tx } => {
                let result = self.table.commit(&tx);
                self.check_table_assignments();
                let half = self.table.latency / 2;
                let input = Box::new(Input::Committed { id: tx.id, result });
                self.push(half, SimEvent::Input { vm, boot, input });
            }
            SimEvent::Tick { vm, boot } => {
                if self.vms[vm].boot == boot
                    && self.vms[vm].tick_at.is_some_and(|at| at <= self.now)
                {
                    self.handle_input(vm, Input::Tick);
                }
            }
            SimEvent::Input {
                vm,
                boot,
                ref input,
            } => {
                if self.vms[vm].boot != boot {
                    return;
                }
                if let Some(waiting) = &mut self.vms[vm].paused {
                    waiting.push(event);
                    return;
                }
                let input = input.as_ref().clone();
                self.handle_input(vm, input);
            }
        }
    }

    fn handle_input(&mut self, vm: usize, input: Input) {
        if self.vms[vm].paused.is_some() {
            return;
        }
        let now = self.now;
        let Some(group) = &mut self.vms[vm].group else {
            return;
        };
        let actions = group.handle(now, input);
        let free = group.may_stop();
        let done = self.vms[vm].stopping && free;
        self.schedule_tick(vm);
        for action in actions {
            self.perform(vm, action);
        }
        if done {
            self.kill_vm(vm);
        }
    }

    pub fn stop_vm(&mut self, vm: usize) {
        let now = self.now;
        let Some(group) = &mut self.vms[vm].group else {
            return;
        };
        let actions = group.hand_over(now);
        self.vms[vm].stopping = true;
        self.schedule_tick(vm);
        for action in actions {
            self.perform(vm, action);
        }
    }

    fn schedule_tick(&mut self, vm: usize) {
        let Some(group) = &self.vms[vm].group else {
            return;
        };
        let at = group.next_tick().max(self.now);
        let boot = self.vms[vm].boot;
        self.vms[vm].tick_at = Some(at);
        self.push(at - self.now, SimEvent::Tick { vm, boot });
    }

    fn perform(&mut self, vm: usize, action: Action) {
        let boot = self.vms[vm].boot;
        let half = self.table.latency / 2;
        match action {
            Action::Read { id, keys } => {
                if self.is_cut(vm, "table") {
                    let result = Err(gooseberryloft::platform::TableError::Unknown("cut".into()));
                    self.input(vm, half, Input::RowsRead { id, result });
                } else {
                    self.push(half, SimEvent::Read { vm, boot, id, keys });
                }
            }
            Action::Commit(tx) => {
                if self.is_cut(vm, "table") {
                    let result = Err(gooseberryloft::platform::TableError::Unknown("cut".into()));
                    self.input(vm, half, Input::Committed { id: tx.id, result });
                } else {
                    self.push(half, SimEvent::Commit { vm, boot, tx });
                }
            }
            Action::Order { target, order, .. } => {
                if !self.is_cut(vm, target.as_str()) {
                    let order = Box::new(order);
                    self.deliver(SimEvent::Order {
                        vm,
                        boot,
                        target,
                        order,
                    });
                }
            }
            Action::Send { to, message } => {
                if self.is_cut(vm, to.as_str()) {
                    return;
                }
                let from = self.vms[vm].name.clone();
                let receiver = self.vm(to.as_str());
                let boot = self.vms[receiver].boot;
                let input = Box::new(Input::Peer { from, message });
                self.deliver(SimEvent::Input {
                    vm: receiver,
                    boot,
                    input,
                });
            }
            Action::Publish(change) => self.push(NETWORK_DELAY, SimEvent::View(Box::new(change))),
            Action::Record(event, details) => {
                self.log.push((
                    self.now - self.start,
                    event,
                    format!("{} {details}", self.vms[vm].name),
                ));
            }
        }
    }

    /// Sends a message over a network that delays, loses and duplicates messages.
    fn deliver(&mut self, event: SimEvent) {
        if self.loss_rate > 0.0 && self.rng.random_bool(self.loss_rate) {
            return;
        }
        if self.duplication_rate > 0.0 && self.rng.random_bool(self.duplication_rate) {
            let late = Duration::from_millis(self.rng.random_range(5..800));
            self.push(late, event.clone());
        }
        let spread = Duration::from_micros(self.rng.random_range(0..500));
        self.push(NETWORK_DELAY + spread, event);
    }

    fn handle_order(&mut self, event: SimEvent, only: Option<BootId>) {
        let SimEvent::Order {
            vm,
            boot,
            target,
            order,
        } = &event
        else {
            return;
        };
        if self.vms[*vm].paused.is_some() {
            let waiting = self.vms[*vm].paused.as_mut().expect("paused");
            waiting.push(event);
            return;
        }
        let now = self.now;
        let processes = self.targets.get_mut(target).expect("known target");
        let process = match only {
            Some(boot) => processes.iter_mut().find(|p| p.boot == boot),
            None => processes.last_mut(),
        };
        let process = process.expect("a process");
        if let Some(waiting) = &mut process.frozen {
            waiting.push(event);
            return;
        }
        if process.dead {
            return;
        }
        let reply = process.grants.apply(now, order);
        let grants = !order.grant.is_empty();
        let (vm, boot, target) = (*vm, *boot, target.clone());
        if grants {
            self.check_single_holder();
        }
        if !self.is_cut(vm, target.as_str()) {
            let input = Box::new(Input::Reply { target, reply });
            self.deliver(SimEvent::Input { vm, boot, input });
        }
    }

    fn is_cut(&self, vm: usize, other: &str) -> bool {
        let name = self.vms[vm].name.as_str();
        let cut = |a: &str, b: &str| self.cut_links.contains(&(a.into(), b.into()));
        cut(name, other) || cut(other, name) || cut(name, "*") || cut(other, "*")
    }
}

pub fn data_centre(vm: usize) -> gooseberryloft::ids::DataCentre {
    format!("dc{}", vm % 3 + 1).into()
}

pub fn target(i: usize, slots: u16, checks_term: bool) -> Target {
    Target {
        address: format!("127.0.0.1:{}", 9000 + i)
            .parse()
            .expect("an address"),
        data_centre: format!("dc{}", i % 3 + 1).into(),
        slots,
        connections: 45,
        checks_term,
        group: 0,
        state: TargetState::Serving,
    }
}

fn service(config: &SimulationConfig) -> Service {
    let named = |i: usize| {
        (
            TargetId::from(format!("t{}", i + 1)),
            target(i, config.slots, config.checks_term),
        )
    };
    Service {
        prefix: "/status/".into(),
        keying: Some(Keying {
            source: KeySource::Path,
            shards: config.shards,
            groups: 1,
        }),
        idempotent: vec!["GET".into()],
        priority: 1,
        spread_percent: 0,
        deadline_ms: 1000,
        targets: (0..config.targets).map(named).collect(),
    }
}
