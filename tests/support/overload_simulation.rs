//! Plays a load on the slots of one resource, as one node sees it, through the decisions of
//! `src/overload` or through the rule before them, with a virtual clock.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use gooseberryloft::node::proxy::respond::retry_after;
use gooseberryloft::overload::queue::Decision;
use gooseberryloft::overload::queue::Request;
use gooseberryloft::overload::queue::Ticket;
use gooseberryloft::overload::queue::WaitQueue;
use gooseberryloft::overload::repeats::Repeats;

/// What a request waited for a free slot before, of its objective.
const WAIT_FRACTION: f64 = 0.2;
/// Time after which a caller that does not wait for `Retry-After` sends again.
const EARLY_RETURN_MS: u64 = 5;
/// How often a caller sends its request at most.
const MAX_TRIES: u32 = 4;

/// Which decisions are played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// First come, first served; refused after 0.2 of the objective.
    Before,
    /// The queue of `src/overload`.
    Queue,
}

/// Callers of one route.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    pub priority: u8,
    /// Requests per second, before repeats.
    pub rate: f64,
    /// Factor on the rate in the middle third of the play.
    pub burst: f64,
    pub objective: Duration,
    pub timeout: Duration,
    /// True if refused callers send again at once.
    pub is_storm: bool,
}

/// The load and the resource.
#[derive(Clone, Debug)]
pub struct Play {
    pub classes: Vec<Class>,
    /// Requests that the resource works on at a time.
    pub slots: usize,
    /// Requests that the node sends it at a time.
    pub in_flight: usize,
    pub service_ms: f64,
    /// Factor on the service time in the middle third of the play.
    pub slow_down: f64,
    pub seconds: u64,
}

/// What the callers of one class got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    pub callers: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
}

impl Served {
    /// Returns the share of callers that were served.
    pub fn share(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.callers.max(1))
    }

    /// Returns the share of callers that were served within their objective.
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.callers.max(1))
    }

    pub fn add(&mut self, other: &Self) {
        self.callers += other.callers;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
    }
}

#[derive(Clone, Copy, Debug)]
struct Call {
    id: u64,
    class: usize,
    /// When the caller first sent it.
    first: u64,
    /// When this try arrived.
    arrived: u64,
    tries: u32,
}

struct Simulation<'a> {
    play: &'a Play,
    rule: Rule,
    rng: ChaCha8Rng,
    start: Instant,
    queue: WaitQueue,
    repeats: Repeats,
    /// Waiting calls: with their ticket and end of wait, under the queue.
    waiting: VecDeque<(Call, Option<Ticket>, u64)>,
    /// Calls that come back, by time.
    returning: Vec<(u64, Call)>,
    /// Sent calls, in the target's own queue.
    sent: VecDeque<(Call, u64)>,
    /// Calls that the target works on, with the time at which each ends and that at which it was sent.
    running: Vec<(u64, Call, u64)>,
    served: Vec<Served>,
    calls: u64,
}

/// Plays a load with one seed; returns what callers of each class got.
pub fn play(play: &Play, rule: Rule, seed: u64) -> Vec<Served> {
    let mut simulation = Simulation {
        play,
        rule,
        rng: ChaCha8Rng::seed_from_u64(seed),
        start: Instant::now(),
        queue: WaitQueue::default(),
        repeats: Repeats::default(),
        waiting: VecDeque::new(),
        returning: Vec::new(),
        sent: VecDeque::new(),
        running: Vec::new(),
        served: vec![Served::default(); play.classes.len()],
        calls: 0,
    };
    let end = play.seconds * 1_000;
    // The last callers are served after arrivals have ended.
    for ms in 0..end + 5_000 {
        simulation.end_calls(ms);
        if ms < end {
            simulation.arrive(ms, end);
        }
        simulation.return_callers(ms);
        simulation.start_waiting(ms);
        simulation.begin_work(ms, end);
    }
    simulation.served
}

/// Plays a load with several seeds; returns the sums.
pub fn play_seeds(load: &Play, rule: Rule) -> Vec<Served> {
    let mut total = vec![Served::default(); load.classes.len()];
    for seed in 0..3 {
        for (sum, served) in total.iter_mut().zip(play(load, rule, seed)) {
            sum.add(&served);
        }
    }
    total
}

impl Simulation<'_> {
    fn now(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn in_flight(&self) -> usize {
        self.sent.len() + self.running.len()
    }

    fn has_room(&self) -> bool {
        self.in_flight() < self.play.in_flight
    }

    fn request(&self, call: &Call, ms: u64) -> Request {
        let class = &self.play.classes[call.class];
        Request {
            priority: class.priority,
            arrived: self.now(call.arrived),
            objective: class.objective,
            deadline: self.now(call.first) + class.timeout,
            is_repeat: self.repeats.is_early(call.id, self.now(ms)),
        }
    }

    fn arrive(&mut self, ms: u64, end: u64) {
        for class in 0..self.play.classes.len() {
            let Class { rate, burst, .. } = self.play.classes[class];
            let is_middle = ms >= end / 3 && ms < 2 * end / 3;
            let factor = if is_middle { burst } else { 1.0 };
            if self.rng.random::<f64>() < rate * factor / 1_000.0 {
                self.calls += 1;
                self.served[class].callers += 1;
                let call = Call {
                    id: self.calls,
                    class,
                    first: ms,
                    arrived: ms,
                    tries: 1,
                };
                self.admit(call, ms);
            }
        }
    }

    fn return_callers(&mut self, ms: u64) {
        let (due, later) = std::mem::take(&mut self.returning)
            .into_iter()
            .partition(|(at, _)| *at <= ms);
        self.returning = later;
        let due: Vec<(u64, Call)> = due;
        for (_, call) in due {
            self.admit(
                Call {
                    arrived: ms,
                    tries: call.tries + 1,
                    ..call
                },
                ms,
            );
        }
    }

    fn admit(&mut self, call: Call, ms: u64) {
        let now = self.now(ms);
        match self.rule {
            Rule::Before => {
                let objective = self.play.classes[call.class].objective;
                let until = ms + objective.mul_f64(WAIT_FRACTION).as_millis() as u64;
                self.waiting.push_back((call, None, until));
            }
            Rule::Queue => {
                let request = self.request(&call, ms);
                match self.queue.arrive(request, self.has_room(), now) {
                    Decision::Start => self.sent.push_back((call, ms)),
                    Decision::Refuse => self.refuse(call, ms),
                    Decision::Wait {
                        ticket,
                        until,
                        displaced,
                    } => {
                        let until = until.saturating_duration_since(self.start).as_millis() as u64;
                        self.waiting.push_back((call, Some(ticket), until));
                        if let Some(displaced) = displaced {
                            let call = self.take(displaced);
                            self.refuse(call, ms);
                        }
                    }
                }
            }
        }
    }

    fn take(&mut self, ticket: Ticket) -> Call {
        let index = self
            .waiting
            .iter()
            .position(|(_, own, _)| *own == Some(ticket));
        let (call, ..) = self
            .waiting
            .remove(index.expect("it waits"))
            .expect("it waits");
        call
    }

    fn refuse(&mut self, call: Call, ms: u64) {
        let class = self.play.classes[call.class];
        let time_left = class
            .timeout
            .saturating_sub(Duration::from_millis(ms - call.first));
        let usual = retry_after(time_left, class.objective);
        let pause = match self.rule {
            Rule::Before => usual,
            Rule::Queue => {
                let (now, random) = (self.now(ms), self.rng.random());
                let pause = self
                    .queue
                    .retry_after(time_left, class.objective, now, random);
                pause.unwrap_or(usual)
            }
        };
        let until = self.now(ms) + pause;
        self.repeats.record_refusal(call.id, until);
        let pause = match class.is_storm {
            true => EARLY_RETURN_MS,
            false => pause.as_millis() as u64 + 1,
        };
        let end = call.first + class.timeout.as_millis() as u64;
        if call.tries >= MAX_TRIES || ms + pause >= end {
            self.served[call.class].refused += 1;
            return;
        }
        self.returning.push((ms + pause, call));
    }

    fn start_waiting(&mut self, ms: u64) {
        let now = self.now(ms);
        while self.has_room() {
            let call = match self.rule {
                Rule::Before => self.waiting.pop_front().map(|(call, ..)| call),
                Rule::Queue => self.queue.next(now).map(|ticket| {
                    self.queue.start(ticket, now);
                    self.take(ticket)
                }),
            };
            let Some(call) = call else { break };
            self.sent.push_back((call, ms));
        }
        for (call, ticket, until) in std::mem::take(&mut self.waiting) {
            if ms < until {
                self.waiting.push_back((call, ticket, until));
                continue;
            }
            if let Some(ticket) = ticket {
                self.queue.leave(ticket);
            }
            self.refuse(call, ms);
        }
    }

    fn begin_work(&mut self, ms: u64, end: u64) {
        while self.running.len() < self.play.slots
            && let Some((call, sent)) = self.sent.pop_front()
        {
            let is_middle = ms >= end / 3 && ms < 2 * end / 3;
            let factor = if is_middle { self.play.slow_down } else { 1.0 };
            // Between half and one and a half times the mean.
            let work = self.play.service_ms * factor * (0.5 + self.rng.random::<f64>());
            self.running.push((ms + (work as u64).max(1), call, sent));
        }
    }

    fn end_calls(&mut self, ms: u64) {
        for (end, call, sent) in std::mem::take(&mut self.running) {
            if end > ms {
                self.running.push((end, call, sent));
                continue;
            }
            self.queue.record_response(Duration::from_millis(ms - sent));
            let class = &self.play.classes[call.class];
            let age = Duration::from_millis(ms - call.first);
            let served = &mut self.served[call.class];
            if age <= class.objective {
                served.in_time += 1;
            } else if age <= class.timeout {
                served.late += 1;
            } else {
                served.refused += 1;
            }
        }
    }
}
