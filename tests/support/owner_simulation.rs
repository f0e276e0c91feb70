//! A small simulation under a virtual clock: VMs that control one group, targets, a table, links.

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
use gooseberryloft::owner::grants::Grants;
use gooseberryloft::owner::group::Action;
use gooseberryloft::owner::group::Group;
use gooseberryloft::owner::group::GroupConf;
use gooseberryloft::owner::group::Input;
use gooseberryloft::owner::group::Peer;
use gooseberryloft::owner::loads::Loads;
use gooseberryloft::owner::message::Member;
use gooseberryloft::owner::order::Order;
use gooseberryloft::owner::right::VouchPolicy;
use gooseberryloft::owner::rows::ShardsRow;
use gooseberryloft::platform::Transaction;
use gooseberryloft::ticket::KeySource;
use gooseberryloft::ticket::Keying;
use gooseberryloft::ticket::Service;
use gooseberryloft::ticket::Target;
use gooseberryloft::ticket::TargetState;
use gooseberryloft::view::View;
use gooseberryloft::view::ViewChange;

pub const ONE_WAY: Duration = Duration::from_micros(4_500);
const LIST_LAG: Duration = Duration::from_secs(1);
const LIST_PERIOD: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
pub enum Job {
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
    Sample,
    /// The list of VMs is refreshed; it reaches the VMs late.
    List,
}

pub struct Vm {
    pub name: VmId,
    pub boot: BootId,
    pub group: Option<Group>,
    pub paused: Option<Vec<Job>>,
    /// Whether the VM exits once it may.
    pub stopping: bool,
    tick_at: Option<Instant>,
}

/// One process of a target.
pub struct Process {
    pub boot: BootId,
    pub grants: Grants,
    pub dead: bool,
    pub frozen: Option<Vec<Job>>,
}

#[derive(Clone, Debug)]
pub struct SimulationConfig {
    pub vms: usize,
    pub targets: usize,
    pub shards: u32,
    pub slots: u16,
    pub checks_term: bool,
    pub policy: VouchPolicy,
    /// Time between two checks of what is served.
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
    /// Every process that ever ran at a target's address, the present one last.
    pub targets: BTreeMap<TargetId, Vec<Process>>,
    pub service: Service,
    pub table: FakeTable,
    pub view: View,
    pub cut_links: BTreeSet<(String, String)>,
    pub loss_rate: f64,
    pub duplication_rate: f64,
    pub log: Vec<(Duration, Event, String)>,
    /// Time without service of each shard since the last mark.
    pub gaps: BTreeMap<Shard, Duration>,
    pub unserved: BTreeMap<Shard, Duration>,
    pub fences: BTreeMap<(Shard, Fence), (TargetId, BootId)>,
    /// Every assignment that the table ever held.
    pub made: BTreeMap<(Shard, Fence), TargetId>,
    /// The newest row of shards.
    pub newest: ShardsRow,
    /// What happens when, in the order of its sending where times are equal.
    queue: BTreeMap<(Instant, u64), Job>,
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
            fences: BTreeMap::new(),
            made: BTreeMap::new(),
            newest: ShardsRow::default(),
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
        simulation.push(simulation.config.sample_period, Job::Sample);
        simulation.push(LIST_PERIOD, Job::List);
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

    /// Starts a new process on a VM; all VMs learn of it.
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
        self.spread_vms(Duration::ZERO);
    }

    pub fn kill_vm(&mut self, vm: usize) {
        self.vms[vm].group = None;
        self.vms[vm].paused = None;
    }

    /// Tells every VM which VMs run, after a lag.
    fn spread_vms(&mut self, lag: Duration) {
        let peers: Vec<Peer> = self.peers();
        for vm in 0..self.vms.len() {
            self.input(vm, lag, Input::Vms(peers.clone()));
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

    /// Starts a new process at a target's address. An earlier frozen one stays and may return.
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

    /// Lets every frozen process of a target go on with what waited for it.
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
        // What the VM was about to send waits with it.
        let mine = |job: &Job| matches!(job, Job::Order { vm: from, .. } if *from == vm);
        let (kept, queue) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition::<BTreeMap<_, _>, _>(|(_, job)| mine(job));
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

    /// Tells one VM what its entry saw of the load.
    pub fn send_loads(&mut self, vm: usize, loads: Loads) {
        self.input(vm, Duration::ZERO, Input::Loads(loads));
    }

    pub fn set_service(&mut self) {
        for vm in 0..self.vms.len() {
            let service = Some(self.service.clone());
            self.input(vm, ONE_WAY, Input::Service(service));
        }
    }

    pub fn vm(&self, name: &str) -> usize {
        let found = self.vms.iter().position(|vm| vm.name.as_str() == name);
        found.unwrap_or_else(|| panic!("no VM {name}"))
    }

    /// Returns the VM that orders as the holder of the newest term.
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
            let job = next.remove();
            self.now = self.now.max(at);
            self.step(job);
        }
        self.now = end;
    }

    /// Forgets the time without service counted so far.
    pub fn reset_unserved(&mut self) {
        self.unserved.clear();
        self.gaps.clear();
    }

    fn push(&mut self, after: Duration, event: Job) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), event);
    }

    fn input(&mut self, vm: usize, after: Duration, input: Input) {
        let boot = self.vms[vm].boot;
        self.push(
            after,
            Job::Input {
                vm,
                boot,
                input: Box::new(input),
            },
        );
    }

    fn step(&mut self, event: Job) {
        match event {
            Job::Sample => {
                self.sample();
                self.push(self.config.sample_period, Job::Sample);
            }
            Job::List => {
                self.spread_vms(LIST_LAG);
                self.push(LIST_PERIOD, Job::List);
            }
            Job::View(change) => {
                self.check_told(&change);
                self.view.apply(*change);
            }
            Job::Order { .. } => self.handle_order(event, None),
            Job::Read { vm, boot, id, keys } => {
                let result = self.table.read(&keys);
                let half = self.table.latency / 2;
                let input = Box::new(Input::RowsRead { id, result });
                self.push(half, Job::Input { vm, boot, input });
            }
            Job::Commit { vm, boot, tx } => {
                let result = self.table.commit(&tx);
                self.check_made();
                let half = self.table.latency / 2;
                let input = Box::new(Input::Committed { id: tx.id, result });
                self.push(half, Job::Input { vm, boot, input });
            }
            Job::Tick { vm, boot } => {
                if self.vms[vm].boot == boot
                    && self.vms[vm].tick_at.is_some_and(|at| at <= self.now)
                {
                    self.drive(vm, Input::Tick);
                }
            }
            Job::Input {
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
                self.drive(vm, input);
            }
        }
    }

    fn drive(&mut self, vm: usize, input: Input) {
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
            self.act(vm, action);
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
            self.act(vm, action);
        }
    }

    fn schedule_tick(&mut self, vm: usize) {
        let Some(group) = &self.vms[vm].group else {
            return;
        };
        let at = group.next_tick().max(self.now);
        let boot = self.vms[vm].boot;
        self.vms[vm].tick_at = Some(at);
        self.push(at - self.now, Job::Tick { vm, boot });
    }

    fn act(&mut self, vm: usize, action: Action) {
        let boot = self.vms[vm].boot;
        let half = self.table.latency / 2;
        match action {
            Action::Read { id, keys } => {
                if self.is_cut(vm, "table") {
                    let result = Err(gooseberryloft::platform::TableError::Unknown("cut".into()));
                    self.input(vm, half, Input::RowsRead { id, result });
                } else {
                    self.push(half, Job::Read { vm, boot, id, keys });
                }
            }
            Action::Commit(tx) => {
                if self.is_cut(vm, "table") {
                    let result = Err(gooseberryloft::platform::TableError::Unknown("cut".into()));
                    self.input(vm, half, Input::Committed { id: tx.id, result });
                } else {
                    self.push(half, Job::Commit { vm, boot, tx });
                }
            }
            Action::Order { target, order, .. } => {
                if !self.is_cut(vm, target.as_str()) {
                    let order = Box::new(order);
                    self.deliver(Job::Order {
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
                self.deliver(Job::Input {
                    vm: receiver,
                    boot,
                    input,
                });
            }
            Action::Publish(change) => self.push(ONE_WAY, Job::View(Box::new(change))),
            Action::Record(event, details) => {
                self.log.push((
                    self.now - self.start,
                    event,
                    format!("{} {details}", self.vms[vm].name),
                ));
            }
        }
    }

    /// Sends a message over a link that delays, loses and doubles.
    fn deliver(&mut self, event: Job) {
        if self.loss_rate > 0.0 && self.rng.random_bool(self.loss_rate) {
            return;
        }
        if self.duplication_rate > 0.0 && self.rng.random_bool(self.duplication_rate) {
            let late = Duration::from_millis(self.rng.random_range(5..800));
            self.push(late, event.clone());
        }
        let spread = Duration::from_micros(self.rng.random_range(0..500));
        self.push(ONE_WAY + spread, event);
    }

    fn handle_order(&mut self, event: Job, only: Option<BootId>) {
        let Job::Order {
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
        let reply = process.grants.order(now, order);
        let grants = !order.grant.is_empty();
        let (vm, boot, target) = (*vm, *boot, target.clone());
        if grants {
            self.check();
        }
        if !self.is_cut(vm, target.as_str()) {
            let input = Box::new(Input::Reply { target, reply });
            self.deliver(Job::Input { vm, boot, input });
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
