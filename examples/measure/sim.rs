//! A discrete-event run of entries and targets with virtual time, in microseconds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Wake;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;
use crate::fleet::centre_id;
use crate::fleet::service_id;
use crate::fleet::target_id;
use crate::policy::Plain;
use crate::policy::Policy;
use gooseberryloft::ids::VmId;
use gooseberryloft::route::Attempt;
use gooseberryloft::route::AttemptOutcome;
use gooseberryloft::route::Call;
use gooseberryloft::route::EntryRank;
use gooseberryloft::route::LoadReport;
use gooseberryloft::route::NextAction;
use gooseberryloft::route::RequestInfo;
use gooseberryloft::route::Router;
use gooseberryloft::route::RouterConfig;
use gooseberryloft::route::Step;

/// How long an entry gathers changes before it tells the others.
const TELL_MICROS: u64 = 250;

/// What is run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The sizes.
    pub fleet: Fleet,
    /// The policy.
    pub policy: Policy,
    /// The seed.
    pub seed: u64,
    /// The mean time in a slot, in microseconds; exponentially distributed.
    pub service_micros: f64,
    /// Work offered over the capacity of all slots.
    pub load: f64,
    /// Requests in all; the first tenth is not counted.
    pub requests: usize,
    /// How long a caller waits, in microseconds.
    pub patience: u64,
    /// Targets that are faulty, from the first.
    pub faulty: usize,
    /// What is wrong with them.
    pub fault: Fault,
    /// Whether the targets' load endpoints all tell the opposite of the truth.
    pub lies: bool,
}

/// What is wrong with a faulty target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Connections break after the request was sent.
    Breaks,
    /// Work takes ten times as long.
    Slow,
}

/// What was measured.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Times in system of answered requests, in microseconds, sorted.
    pub times: Vec<u64>,
    /// Counted requests.
    pub counted: usize,
    /// Counted requests answered within their patience.
    pub good: usize,
    /// Requests that callers made.
    pub offered: usize,
    /// Requests sent to targets, each attempt by itself.
    pub sent: usize,
    /// Attempts that targets refused since all slots were taken.
    pub shed: usize,
    /// Answers within patience in the second half of the run, over what the slots can do.
    pub goodput: f64,
    /// The busiest target's slots in use over the mean.
    pub imbalance: f64,
    /// Bytes of load reports that an entry sends in a second.
    pub control_bytes: f64,
}

#[derive(Debug)]
enum Event {
    Arrive,
    Step {
        call: usize,
        turn: u32,
    },
    Reach {
        call: usize,
        target: usize,
    },
    Finish {
        call: usize,
        target: usize,
        whole: bool,
    },
    Back {
        call: usize,
        end: AttemptOutcome,
    },
    Tell {
        entry: usize,
    },
    Hear {
        entry: usize,
        report: Arc<LoadReport>,
    },
    Hint,
}

struct Woken {
    call: usize,
    list: Arc<Mutex<Vec<usize>>>,
}

impl Wake for Woken {
    fn wake(self: Arc<Self>) {
        let mut list = self.list.lock().expect("one thread");
        list.push(self.call);
    }
}

struct CallState {
    entry: usize,
    arrived: u64,
    call: Call,
    attempt: Option<Attempt>,
    target: usize,
    turn: u32,
    waker: Waker,
    done: bool,
}

struct TargetState {
    busy: usize,
    queue: VecDeque<usize>,
    used: u64,
    since: u64,
}

struct Sim {
    setup: Setup,
    rng: ChaCha8Rng,
    now: u64,
    base: Instant,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: std::collections::HashMap<u64, Event>,
    next_event: u64,
    calls: Vec<CallState>,
    targets: Vec<TargetState>,
    routers: Vec<Router>,
    telling: Vec<bool>,
    woken: Arc<Mutex<Vec<usize>>>,
    plain: Plain,
    central: VecDeque<usize>,
    outcome: Outcome,
    half_at: u64,
    told_bytes: u64,
}

/// Runs a setup to its end.
pub fn run(setup: Setup) -> Outcome {
    let mut sim = Sim::new(setup);
    sim.at(0, Event::Arrive);
    if sim.setup.lies {
        sim.at(0, Event::Hint);
    }
    while let Some(Reverse((at, number))) = sim.events.pop() {
        sim.now = at;
        let event = sim.bodies.remove(&number).expect("every event has a body");
        sim.take(event);
        sim.step_woken();
    }
    sim.finish()
}

impl Sim {
    fn new(setup: Setup) -> Self {
        let fleet = &setup.fleet;
        let view = Arc::new(fleet.view());
        let router = |index: usize| {
            let config = RouterConfig {
                vm: VmId::from(format!("vm-{index}")),
                data_centre: centre_id(fleet.centre(index)),
                rank: EntryRank {
                    rank: index as u32,
                    entries: fleet.entries as u32,
                },
                seed: setup.seed * 1_000 + index as u64,
            };
            Router::with_config(view.clone(), config)
        };
        let target = |_| TargetState {
            busy: 0,
            queue: VecDeque::new(),
            used: 0,
            since: 0,
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            now: 0,
            base: Instant::now(),
            events: BinaryHeap::new(),
            bodies: std::collections::HashMap::new(),
            next_event: 0,
            calls: Vec::new(),
            targets: (0..fleet.targets).map(target).collect(),
            routers: (0..fleet.entries).map(router).collect(),
            telling: vec![false; fleet.entries],
            woken: Arc::default(),
            plain: Plain::new(fleet),
            central: VecDeque::new(),
            outcome: Outcome::default(),
            half_at: 0,
            told_bytes: 0,
            setup,
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((time, self.next_event)));
        self.bodies.insert(self.next_event, event);
    }

    fn instant(&self, micros: u64) -> Instant {
        self.base + Duration::from_micros(micros)
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Step { call, turn } if self.calls[call].turn == turn => self.step(call),
            Event::Step { .. } => {}
            Event::Reach { call, target } => self.reach(call, target),
            Event::Finish {
                call,
                target,
                whole,
            } => self.finish_work(call, target, whole),
            Event::Back { call, end } => self.back(call, end),
            Event::Tell { entry } => self.tell(entry),
            Event::Hear { entry, report } => {
                let now = self.instant(self.now);
                self.routers[entry].apply_load_report(&report, now);
            }
            Event::Hint => self.hint(),
        }
    }

    fn arrive(&mut self) {
        let index = self.calls.len();
        if index + 1 < self.setup.requests {
            let rate = self.setup.load * self.setup.fleet.capacity() as f64;
            let gap = self.exponential(self.setup.service_micros / rate);
            self.at(self.now + gap, Event::Arrive);
        }
        if index == self.setup.requests / 2 {
            self.half_at = self.now;
        }
        let entry = self.rng.random_range(0..self.setup.fleet.entries);
        let info = RequestInfo {
            service: service_id(),
            key_hash: None,
            idempotent: true,
            replayable: true,
            deadline: self.instant(self.now + self.setup.patience),
            fingerprint: index as u64,
        };
        let waker = Waker::from(Arc::new(Woken {
            call: index,
            list: self.woken.clone(),
        }));
        self.calls.push(CallState {
            entry,
            arrived: self.now,
            call: Call::new(info),
            attempt: None,
            target: 0,
            turn: 0,
            waker,
            done: false,
        });
        self.outcome.offered += 1;
        match self.setup.policy {
            Policy::Central => self.place_centrally(index),
            Policy::Router { .. } => self.step(index),
            policy => {
                let target = self.plain.choose(policy, entry, &mut self.rng);
                self.send(index, target);
            }
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.instant(self.now);
        let state = &mut self.calls[index];
        if state.done || state.attempt.is_some() {
            return;
        }
        state.turn += 1;
        let router = &self.routers[state.entry];
        match state.call.step(router, now, &state.waker) {
            Step::Send(attempt) => {
                let name = attempt.target.as_str();
                let target = name[name.len() - 3..].parse().expect("a numbered target");
                state.attempt = Some(attempt);
                let entry = state.entry;
                self.changed(entry);
                self.send(index, target);
            }
            Step::Wait(until) => {
                let turn = state.turn;
                let micros = until.saturating_duration_since(self.base).as_micros() as u64;
                self.at(micros.max(self.now + 1), Event::Step { call: index, turn });
            }
            Step::Refuse(_) => self.done(index, false),
        }
    }

    fn step_woken(&mut self) {
        loop {
            let woken = std::mem::take(&mut *self.woken.lock().expect("one thread"));
            if woken.is_empty() {
                return;
            }
            for call in woken {
                self.step(call);
            }
        }
    }

    fn send(&mut self, index: usize, target: usize) {
        self.outcome.sent += 1;
        self.calls[index].target = target;
        let delay = self.delay(self.calls[index].entry, target);
        let call = index;
        self.at(self.now + delay, Event::Reach { call, target });
    }

    fn reach(&mut self, call: usize, target: usize) {
        let slots = usize::from(self.setup.fleet.slots);
        let faulty = target < self.setup.faulty;
        if faulty && self.setup.fault == Fault::Breaks {
            return self.answer(call, target, AttemptOutcome::Broken);
        }
        if self.targets[target].busy < slots {
            return self.start(call, target);
        }
        let queue = &mut self.targets[target].queue;
        match self.setup.policy {
            Policy::Router { queue: limit, .. } if queue.len() >= limit => {
                self.outcome.shed += 1;
                self.answer(call, target, AttemptOutcome::NotRun);
            }
            _ => queue.push_back(call),
        }
    }

    fn start(&mut self, call: usize, target: usize) {
        let slow = target < self.setup.faulty && self.setup.fault == Fault::Slow;
        let factor = if slow { 10.0 } else { 1.0 };
        let work = self.exponential(self.setup.service_micros * factor);
        let deadline = self.calls[call].arrived + self.setup.patience;
        let left = deadline.saturating_sub(self.now);
        self.use_slot(target, 1);
        let whole = work <= left;
        let ends = self.now + work.min(left);
        self.at(
            ends,
            Event::Finish {
                call,
                target,
                whole,
            },
        );
    }

    fn use_slot(&mut self, target: usize, change: isize) {
        let now = self.now;
        let state = &mut self.targets[target];
        state.used += state.busy as u64 * (now - state.since);
        state.since = now;
        state.busy = state
            .busy
            .checked_add_signed(change)
            .expect("a slot in use");
    }

    fn finish_work(&mut self, call: usize, target: usize, whole: bool) {
        self.use_slot(target, -1);
        if let Some(next) = self.targets[target].queue.pop_front() {
            self.start(next, target);
        }
        let end = if whole {
            AttemptOutcome::Responded { status: 200 }
        } else {
            AttemptOutcome::Cancelled
        };
        self.answer(call, target, end);
        if self.setup.policy == Policy::Central {
            self.plain.left(target);
            if let Some(next) = self.central.pop_front() {
                self.place_centrally(next);
            }
        }
    }

    fn answer(&mut self, call: usize, target: usize, end: AttemptOutcome) {
        let delay = self.delay(self.calls[call].entry, target);
        self.at(self.now + delay, Event::Back { call, end });
    }

    fn back(&mut self, index: usize, end: AttemptOutcome) {
        let now = self.instant(self.now);
        let state = &mut self.calls[index];
        let whole = matches!(end, AttemptOutcome::Responded { .. });
        let Some(attempt) = state.attempt.take() else {
            self.plain
                .ended(self.setup.policy, state.entry, state.target);
            return self.done(index, whole);
        };
        let router = &self.routers[state.entry];
        let next = state.call.finish_attempt(router, now, attempt, end);
        let entry = state.entry;
        self.changed(entry);
        match next {
            NextAction::Deliver => self.done(index, true),
            NextAction::Retry => self.step(index),
            NextAction::Refuse(_) => self.done(index, false),
        }
    }

    fn done(&mut self, index: usize, answered: bool) {
        let state = &mut self.calls[index];
        state.done = true;
        let time = self.now - state.arrived;
        let good = answered && time <= self.setup.patience;
        if good && self.half_at > 0 && index < self.setup.requests {
            self.outcome.goodput += f64::from(u8::from(state.arrived >= self.half_at));
        }
        if index < self.setup.requests / 10 {
            return;
        }
        self.outcome.counted += 1;
        self.outcome.good += usize::from(good);
        if answered {
            self.outcome.times.push(time);
        }
    }

    fn place_centrally(&mut self, index: usize) {
        let slots = self.setup.fleet.slots;
        let entry = self.calls[index].entry;
        match self.plain.nearest_idle(&self.setup.fleet, entry, slots) {
            Some(target) => self.send(index, target),
            None => self.central.push_back(index),
        }
    }

    fn changed(&mut self, entry: usize) {
        let shares = matches!(self.setup.policy, Policy::Router { shares: true, .. });
        if shares && !self.telling[entry] {
            self.telling[entry] = true;
            self.at(self.now + TELL_MICROS, Event::Tell { entry });
        }
    }

    fn tell(&mut self, entry: usize) {
        self.telling[entry] = false;
        let report = Arc::new(self.routers[entry].load_report());
        let mut bytes = Vec::new();
        ciborium::into_writer(&*report, &mut bytes).expect("a report is encodable");
        let from = self.setup.fleet.centre(entry);
        for other in (0..self.setup.fleet.entries).filter(|&other| other != entry) {
            self.told_bytes += bytes.len() as u64;
            let delay = self.setup.fleet.delay(from, self.setup.fleet.centre(other));
            let report = report.clone();
            let entry = other;
            self.at(self.now + delay, Event::Hear { entry, report });
        }
    }

    /// Every endpoint tells a full load when idle and none when full.
    fn hint(&mut self) {
        let now = self.instant(self.now);
        for (index, target) in self.targets.iter().enumerate() {
            let used = target.busy * 100 / usize::from(self.setup.fleet.slots);
            let lie = 100 - used.min(100) as u32;
            for router in &self.routers {
                router.record_load_hint(&service_id(), &target_id(index), lie, now);
            }
        }
        if self.calls.len() < self.setup.requests {
            self.at(self.now + 500_000, Event::Hint);
        }
    }

    fn delay(&self, entry: usize, target: usize) -> u64 {
        let fleet = &self.setup.fleet;
        fleet.delay(fleet.centre(entry), fleet.centre(target))
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        (-uniform.ln() * mean).round() as u64
    }

    fn finish(mut self) -> Outcome {
        let last = self.calls.last().map_or(1, |call| call.arrived);
        let healthy = self.targets.len() - self.setup.faulty;
        let used: Vec<f64> = self.targets.iter().map(|t| t.used as f64).collect();
        let mean = used.iter().sum::<f64>() / used.len() as f64;
        let peak = used.iter().copied().fold(0.0, f64::max);
        let window = (last - self.half_at) as f64;
        let slots = (healthy * usize::from(self.setup.fleet.slots)) as f64;
        self.outcome.times.sort_unstable();
        self.outcome.imbalance = peak / mean;
        self.outcome.goodput *= self.setup.service_micros / window / slots;
        let seconds = last as f64 / 1e6;
        let entries = self.setup.fleet.entries as f64;
        self.outcome.control_bytes = self.told_bytes as f64 / seconds / entries;
        self.outcome
    }
}

impl Outcome {
    /// Returns the mean time in system, in milliseconds.
    pub fn mean(&self) -> f64 {
        let sum: u64 = self.times.iter().sum();
        sum as f64 / self.times.len().max(1) as f64 / 1e3
    }

    /// Returns a quantile of the time in system, in milliseconds.
    pub fn quantile(&self, q: f64) -> f64 {
        let index = (self.times.len() as f64 * q) as usize;
        let last = self.times.len().saturating_sub(1);
        self.times
            .get(index.min(last))
            .map_or(0.0, |&t| t as f64 / 1e3)
    }

    /// Returns the attempts sent over the requests made.
    pub fn sent_ratio(&self) -> f64 {
        self.sent as f64 / self.offered.max(1) as f64
    }
}
