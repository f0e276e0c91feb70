//! Finds targets for a request: the first, and others when one refuses, fails or stays silent.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use strum::IntoStaticStr;

use crate::events::Event;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::node::counters::Counter;
use crate::node::fleet::Target;
use crate::node::pick;
use crate::node::pick::PickContext;
use crate::node::proxy::attempt::Answer;
use crate::node::proxy::attempt::AttemptEnd;
use crate::node::proxy::attempt::Means;
use crate::node::proxy::attempt::Request;
use crate::node::proxy::attempt::Rest;
use crate::node::proxy::attempt::attempt;
use crate::node::rules::RequestKind;
use crate::node::state::State;
use crate::route::Verdict;

/// Part of the objective for which a request waits for a free slot before it is refused; a
/// refusal this early costs the caller nothing.
const QUEUE_PART: f64 = 0.2;
/// The same for keys that are on the move: a move takes as long as the work that is running.
const MOVE_PART: f64 = 0.5;
/// Part of the objective after which an idempotent request without an answer goes to a second
/// target.
const HEDGE_PART: f64 = 0.6;
/// Pause before the next look at owners and slots, if nothing rings before.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Pause after an owner said that it does not hold a key.
const OWNER_PAUSE: Duration = Duration::from_millis(60);
/// Most sends of one request, refused ones included.
const MOST_SENDS: u32 = 5;
/// Failures of a target's own from which a status is an error of the server.
const SERVER_ERROR: u16 = 500;

/// What a request asks for, once routed.
#[derive(Clone, Debug)]
pub struct Task {
    /// The service that runs it.
    pub service: ServiceId,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Its key, for a service that is divided by key.
    pub key: Option<u16>,
    /// The time within which an answer has its full value.
    pub objective: Duration,
    /// Most targets that may run it.
    pub max_attempts: u32,
    /// When it arrived.
    pub started: Instant,
    /// When its final answer is due.
    pub limit: Instant,
    /// Tells requests that are likely to act alike.
    pub fingerprint: u64,
}

/// What the caller gets.
#[derive(Debug)]
pub enum Outcome {
    /// A target's answer.
    Answer(Answer),
    /// A target's long answer.
    Stream(Answer, Box<Rest>),
    /// No answer of a target.
    Refused(Refusal),
}

/// Why a request got no target's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// No target of the service is known.
    NoTarget,
    /// No target has room.
    Busy,
    /// The key has no owner that holds it.
    NoOwner,
    /// Every target that was asked refused, and it may not be sent again.
    Shed,
    /// Requests like it crash targets.
    Quarantined,
    /// It may have run, and the answer is lost.
    Lost,
    /// It may still run, and its time is over.
    Late,
}

/// An attempt that has ended.
struct Ended {
    target: Rc<Target>,
    since: Instant,
    /// Whether all slots of the target were busy when it was sent.
    waited: bool,
    end: AttemptEnd,
}

type Running<'a> = FuturesUnordered<LocalBoxFuture<'a, Ended>>;

/// One request's way through its attempts.
struct Dispatch<'a> {
    state: &'a Rc<State>,
    task: &'a Task,
    request: &'a Request,
    tried: Vec<TargetId>,
    counted: bool,
    sends: u32,
    /// Sends that may have run the request.
    runs: u32,
    /// Since when the request waits for a target, failed attempts apart.
    waiting_since: Instant,
    waits: Option<Refusal>,
    pause: Option<Instant>,
    last: Option<Answer>,
    lost: Option<&'static str>,
}

/// Counts a request as in flight at a target.
struct InFlight<'a> {
    state: &'a State,
    target: Rc<Target>,
}

impl<'a> InFlight<'a> {
    fn new(state: &'a State, target: Rc<Target>) -> Self {
        target.in_flight.set(target.in_flight.get() + 1);
        Self { state, target }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let count = &self.target.in_flight;
        count.set(count.get().saturating_sub(1));
        self.state.routing_changed.notify_waiters();
    }
}

/// Runs a request until there is an answer for its caller.
pub async fn dispatch(state: &Rc<State>, task: &Task, request: &Request) -> Outcome {
    if let Verdict::Quarantined = state.crashes.verdict(task.fingerprint, Instant::now()) {
        return Outcome::Refused(Refusal::Quarantined);
    }
    let mut dispatch = Dispatch {
        state,
        task,
        request,
        tried: Vec::new(),
        counted: false,
        waiting_since: task.started,
        sends: 0,
        runs: 0,
        waits: None,
        pause: None,
        last: None,
        lost: None,
    };
    dispatch.run().await
}

impl<'a> Dispatch<'a> {
    async fn run(&mut self) -> Outcome {
        let mut running = FuturesUnordered::new();
        loop {
            let now = Instant::now();
            if now >= self.task.limit {
                return self.timed_out(&running);
            }
            let wants = running.is_empty() || self.should_hedge(&running, now);
            if wants {
                match self.next_target(now) {
                    Ok(target) => {
                        if !self.pay(now) {
                            if running.is_empty() {
                                return self.give_up(Refusal::Shed);
                            }
                            self.runs = self.task.max_attempts;
                        } else {
                            self.launch(&mut running, target, now);
                        }
                        continue;
                    }
                    Err(why) if running.is_empty() => {
                        let until = self.waiting_since + self.patience(why);
                        if now >= until {
                            return self.give_up(why);
                        }
                        self.wait(until).await;
                        continue;
                    }
                    Err(_) => {}
                }
            }
            let until = self.next_look(&running, now);
            tokio::select! {
                biased;
                Some(ended) = running.next() => {
                    if let Some(outcome) = self.ended(ended, running.is_empty()) {
                        return outcome;
                    }
                }
                () = tokio::time::sleep_until(until.into()) => {}
            }
        }
    }

    /// Returns the target for the next send.
    fn next_target(&mut self, now: Instant) -> Result<Rc<Target>, Refusal> {
        if self.pause.is_some_and(|until| now < until) {
            return Err(self.waits.unwrap_or(Refusal::Busy));
        }
        match self.task.key {
            Some(key) => self.owner(key, now),
            None => self.any_target(now),
        }
    }

    fn any_target(&self, now: Instant) -> Result<Rc<Target>, Refusal> {
        let fleet = self.state.fleet.borrow();
        let targets = fleet.of(&self.task.service);
        if !pick::has_any(targets) {
            return Err(Refusal::NoTarget);
        }
        let choice = PickContext {
            now,
            data_centre: &self.state.conf.data_centre,
            kind: self.task.kind,
            objective: self.task.objective,
            tried: &self.tried,
            max_connections: self.state.max_connections(&self.task.service),
        };
        pick::choose(targets, &choice, rand::random).ok_or(Refusal::Busy)
    }

    fn owner(&self, key: u16, now: Instant) -> Result<Rc<Target>, Refusal> {
        let views = self.state.views.borrow();
        let place = views
            .get(&self.task.service)
            .and_then(|view| view.find(key));
        let place = place
            .filter(|place| !place.pending)
            .ok_or(Refusal::NoOwner)?;
        let fleet = self.state.fleet.borrow();
        let owner = place.owner.as_ref().and_then(|id| fleet.get(id));
        let owner = owner.filter(|target| !target.leaving.get());
        let owner = owner.ok_or(Refusal::NoOwner)?;
        if owner.is_ejected(now)
            && owner.failure_rate() > 0.0
            && self.tried.contains(&owner.entry.id)
        {
            return Err(Refusal::NoOwner);
        }
        let most = self.state.max_connections(&self.task.service);
        let sharers = self.state.data_centres.get();
        if !pick::has_capacity(owner, self.task.objective, sharers) || owner.in_flight.get() >= most
        {
            return Err(Refusal::Busy);
        }
        Ok(owner.clone())
    }

    /// Counts a send; returns false when the allowance does not permit it.
    fn pay(&mut self, now: Instant) -> bool {
        let service = &self.task.service;
        if !std::mem::replace(&mut self.counted, true) {
            self.state.record_first_send(service, now);
        }
        if self.sends == 0 {
            return true;
        }
        let leave = self.sends < MOST_SENDS && self.state.try_retry(service, now);
        self.state.counters.add(match leave {
            true => Counter::Repeats,
            false => Counter::RepeatsDenied,
        });
        leave
    }

    fn launch(&mut self, running: &mut Running<'a>, target: Rc<Target>, now: Instant) {
        self.sends += 1;
        self.runs += 1;
        if self.task.key.is_none() {
            self.tried.push(target.entry.id.clone());
        }
        let (state, request, task): (&'a State, _, _) = (self.state, self.request, self.task);
        let means = Means {
            pool: &state.pool,
            names: &state.conf.headers,
            idempotent: task.kind.is_idempotent(),
            limit: task.limit,
        };
        let attempt = async move {
            let waited = target.load() >= target.entry.slots;
            let in_flight = InFlight::new(state, target);
            let end = attempt(means, request, &in_flight.target).await;
            Ended {
                target: in_flight.target.clone(),
                since: now,
                waited,
                end,
            }
        };
        running.push(attempt.boxed_local());
    }

    fn should_hedge(&self, running: &Running<'a>, now: Instant) -> bool {
        let single = running.len() == 1 && self.task.key.is_none();
        single
            && self.task.kind.is_idempotent()
            && self.runs < self.task.max_attempts
            && now >= self.hedge_at()
    }

    fn hedge_at(&self) -> Instant {
        self.task.started + self.task.objective.mul_f64(HEDGE_PART)
    }

    fn next_look(&self, running: &Running<'a>, now: Instant) -> Instant {
        let hedges = running.len() == 1
            && self.task.key.is_none()
            && self.task.kind.is_idempotent()
            && self.runs < self.task.max_attempts;
        if !hedges {
            return self.task.limit;
        }
        let at = self.hedge_at().max(now + LOOK_PAUSE);
        at.min(self.task.limit)
    }

    fn patience(&self, why: Refusal) -> Duration {
        match why {
            Refusal::NoOwner => self.task.objective.mul_f64(MOVE_PART),
            _ => self.task.objective.mul_f64(QUEUE_PART),
        }
    }

    async fn wait(&self, until: Instant) {
        let look = Instant::now() + LOOK_PAUSE;
        let until = until.min(look).min(self.task.limit);
        let changed = self.state.routing_changed.notified();
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(until.into()) => {}
        }
    }

    /// Takes the end of an attempt; returns what the caller gets, if it is settled.
    fn ended(&mut self, ended: Ended, alone: bool) -> Option<Outcome> {
        let Ended {
            target,
            since,
            waited,
            end,
        } = ended;
        let target = &target;
        let now = Instant::now();
        let took = now.saturating_duration_since(since);
        match end {
            AttemptEnd::Answered(answer) if answer.head.status < SERVER_ERROR => {
                target.record_response(took, waited);
                self.state.crashes.answered(self.task.fingerprint, now);
                Some(Outcome::Answer(answer))
            }
            AttemptEnd::Answered(answer) => {
                self.waiting_since = now;
                target.record_failure(now);
                self.tell(target, "failed", answer.head.status);
                if self.task.kind.is_idempotent() && self.may_run_again() {
                    self.last = Some(answer);
                    return None;
                }
                alone.then_some(Outcome::Answer(answer))
            }
            AttemptEnd::Streaming(answer, rest) => {
                target.record_response(took, waited);
                self.state.crashes.answered(self.task.fingerprint, now);
                Some(Outcome::Stream(answer, rest))
            }
            AttemptEnd::NotRun { status } => {
                self.runs -= 1;
                self.tell(target, "not-run", status);
                self.not_run(target, status, now);
                None
            }
            AttemptEnd::NotSent => {
                self.runs -= 1;
                self.sends -= 1;
                target.eject(now);
                self.state.pool.forget(target);
                self.tell(target, "not-sent", 0);
                self.waits = self.task.key.map(|_| Refusal::NoOwner);
                self.pause = self.task.key.map(|_| now + OWNER_PAUSE);
                None
            }
            AttemptEnd::Broken(why) => {
                self.waiting_since = now;
                target.record_failure(now);
                self.lost = Some(why);
                look_for_crash(self.state, target, self.task.fingerprint);
                self.tell(target, why, 0);
                let again = self.task.kind.is_idempotent() && self.may_run_again();
                (!again && alone).then(|| self.give_up(Refusal::Lost))
            }
        }
    }

    fn not_run(&mut self, target: &Target, status: u16, now: Instant) {
        if status != 421 {
            target.record_refusal(now);
            self.waits = Some(Refusal::Busy);
            self.pause = self.task.key.map(|_| now + OWNER_PAUSE);
            return;
        }
        match self.task.key {
            // The owner does not hold the key yet, or not any more.
            Some(_) => {
                self.waits = Some(Refusal::NoOwner);
                self.pause = Some(now + OWNER_PAUSE);
            }
            // Another target has the address.
            None => target.eject(now),
        }
    }

    fn may_run_again(&self) -> bool {
        self.runs < self.task.max_attempts && self.sends < MOST_SENDS
    }

    /// Returns what the caller gets when the request is not sent again.
    fn give_up(&mut self, why: Refusal) -> Outcome {
        if let Some(answer) = self.last.take() {
            return Outcome::Answer(answer);
        }
        match self.lost {
            Some(_) => Outcome::Refused(Refusal::Lost),
            None => Outcome::Refused(why),
        }
    }

    fn timed_out(&mut self, running: &Running<'a>) -> Outcome {
        if running.is_empty() {
            return self.give_up(self.waits.unwrap_or(Refusal::Busy));
        }
        Outcome::Refused(Refusal::Late)
    }

    fn tell(&self, target: &Target, what: &str, status: u16) {
        self.state.log.record(Event::AttemptFailed, |line| {
            line.text("id", &String::from_utf8_lossy(&self.request.id));
            line.text("service", self.task.service.as_str());
            line.text("target", target.entry.id.as_str());
            line.text("end", what);
            line.number("status", status.into());
            line.number("sends", self.sends.into());
            if let Some(key) = self.task.key {
                line.number("key", key.into());
            }
            let age = self.task.started.elapsed();
            line.number("age_ms", age.as_millis() as u64);
        });
    }
}

/// Finds out whether a target that broke a connection has crashed: then nobody listens there.
fn look_for_crash(state: &Rc<State>, target: &Rc<Target>, fingerprint: u64) {
    let (state, target) = (state.clone(), target.clone());
    tokio::task::spawn_local(async move {
        let now = Instant::now();
        match state.pool.open(&target).await {
            Ok(held) => state.pool.put(held, None, now),
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                target.eject(now);
                let entry = &target.entry;
                let (service, id) = (&entry.service, &entry.id);
                state.crashes.crashed(fingerprint, service, id, now);
            }
            // Not known: the network may be at fault as well.
            Err(_) => {}
        }
    });
}
