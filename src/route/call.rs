//! One request's way through its attempts.
//!
//! The traffic adapter drives a [`Call`]: [`Call::step`] says where to send it next,
//! [`Call::finish_attempt`] takes what became of the attempt.

use std::sync::Arc;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use strum::Display;

use crate::ids::ServiceId;
use crate::owner::order::ShardFence;
use crate::route::Attempt;
use crate::route::Router;
use crate::route::admit;
use crate::route::admit::Admission;
use crate::route::attempt::AttemptInfo;
use crate::route::choice;
use crate::route::choice::Choice;
use crate::route::choice::NoChoice;
use crate::route::crash::Verdict;
use crate::route::queue::Place;
use crate::route::queue::WaitQueue;
use crate::route::stats::average;
use crate::route::table::ServiceRoute;
use crate::route::table::Table;
use crate::route::table::TargetRoute;

/// Most times that a request is sent, apart from those the target certainly did not run.
const MAX_ATTEMPTS: u32 = 3;
/// Most times that targets may refuse a request before its caller is told.
const MAX_REFUSALS: u32 = 64;
/// How long a call holds after its owner's first refusal, if no newer owner shows up.
const OWNER_PAUSE: Duration = Duration::from_millis(5);
const OWNER_PAUSE_DOUBLINGS: u32 = 5;

/// What the router needs to know of a request.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// The service that the path belongs to.
    pub service: ServiceId,
    /// The hash of the key, for a keyed service.
    pub key_hash: Option<u64>,
    /// Whether running it twice does no harm: by its method, or since the caller said so.
    pub idempotent: bool,
    /// Whether the whole request can be sent again; false once part of a streamed body is gone.
    pub replayable: bool,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Tells requests that are likely to act alike: a hash of method, path and idempotency key.
    pub fingerprint: u64,
}

/// What to do next with a call.
#[derive(Debug)]
pub enum Step {
    /// Send the request to the attempt's target.
    Send(Attempt),
    /// Ask again when woken, or at this instant.
    Wait(Instant),
    /// Answer the caller with a refusal.
    Refuse(Refusal),
}

/// What became of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered; the head of its answer is in hand and can be delivered.
    Responded {
        /// The status of the answer.
        status: u16,
    },
    /// Nothing of the request reached the target.
    NotSent,
    /// The target said that it did not run the request: it sheds, drains or holds no grant.
    NotRun,
    /// The connection broke, or closed without an answer, after part of the request was sent.
    Broken,
    /// No answer came within the attempt's own time.
    TimedOut,
    /// No answer came before the shard went to another target.
    Superseded,
    /// The caller went away.
    Cancelled,
}

/// What follows from the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Deliver the target's answer.
    Deliver,
    /// Call [`Call::step`] again.
    Retry,
    /// Answer the caller with a refusal.
    Refuse(Refusal),
}

/// The answers that the router gives itself. Each tells whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// No service has the path: 404, not run.
    NoService,
    /// A keyed service's request without its key: 400, not run.
    NoKey,
    /// Queues are full or the deadline cannot be met: 503, not run.
    Overloaded,
    /// Nobody may serve the key now, or every target is out of reach: 503, not run.
    NoTarget,
    /// The deadline passed before anything was sent: 504, not run.
    Expired,
    /// Requests like it crashed several targets: 503, not run.
    Quarantined,
    /// It may have run, and its answer is lost: 502, unknown.
    Unknown,
}

impl Refusal {
    /// Returns the HTTP status of the answer.
    pub fn status(self) -> u16 {
        match self {
            Self::NoService => 404,
            Self::NoKey => 400,
            Self::Overloaded | Self::NoTarget | Self::Quarantined => 503,
            Self::Expired => 504,
            Self::Unknown => 502,
        }
    }

    /// Returns the value of the outcome header: `not-run` or `unknown`.
    pub fn outcome(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            _ => "not-run",
        }
    }
}

/// One request on its way.
#[derive(Debug)]
pub struct Call {
    info: RequestInfo,
    attempts: u32,
    refusals: u32,
    uncertain: bool,
    avoid: Option<u64>,
    refused: Option<OwnerRefusal>,
    place: Option<Place>,
    since: Option<Instant>,
    counted: bool,
}

/// An owner's refusal to run a request.
#[derive(Clone, Copy, Debug)]
struct OwnerRefusal {
    at: ShardFence,
    until: Instant,
}

impl Call {
    /// Starts a call.
    pub fn new(info: RequestInfo) -> Self {
        Self {
            info,
            attempts: 0,
            refusals: 0,
            uncertain: false,
            avoid: None,
            refused: None,
            place: None,
            since: None,
            counted: false,
        }
    }

    /// Returns what to do next. When the answer is [`Step::Wait`], `waker` is woken on a change.
    pub fn step(&mut self, router: &Router, now: Instant, waker: &Waker) -> Step {
        self.since.get_or_insert(now);
        let step = self.decide(router, now, waker);
        if !matches!(step, Step::Wait(_)) {
            self.place = None;
        }
        step
    }

    /// Takes the end of an attempt.
    pub fn finish_attempt(
        &mut self,
        router: &Router,
        now: Instant,
        attempt: Attempt,
        end: AttemptOutcome,
    ) -> NextAction {
        let micros = now.saturating_duration_since(attempt.started).as_micros() as u64;
        match end {
            AttemptOutcome::Responded { status } => {
                if status >= 500 {
                    router.target_failed(&attempt, now);
                } else {
                    attempt.stats.answered(micros);
                    average(&attempt.shared.latency, micros);
                }
                router.crashes.record_response(self.info.fingerprint, now);
                NextAction::Deliver
            }
            AttemptOutcome::NotSent => {
                router.target_failed(&attempt, now);
                match attempt.shard {
                    // Nobody else may serve the key: hold on until it has another owner.
                    Some(_) => self.after_refusal(router, &attempt, now),
                    None => self.after_failure(&attempt),
                }
            }
            AttemptOutcome::NotRun => self.after_refusal(router, &attempt, now),
            AttemptOutcome::Broken => {
                self.uncertain = true;
                router.target_failed(&attempt, now);
                let (service, target) = (&attempt.service, &attempt.target);
                let fingerprint = self.info.fingerprint;
                router
                    .crashes
                    .record_crash(fingerprint, service, target, now);
                self.after_failure(&attempt)
            }
            AttemptOutcome::TimedOut => {
                self.uncertain = true;
                if attempt.stats.fell_silent() {
                    router.target_failed(&attempt, now);
                }
                self.after_failure(&attempt)
            }
            AttemptOutcome::Superseded => {
                self.uncertain = true;
                self.after_failure(&attempt)
            }
            AttemptOutcome::Cancelled => NextAction::Refuse(Refusal::Unknown),
        }
    }

    /// Records that part of a streamed body is gone, so that the request cannot be sent again.
    pub fn mark_body_consumed(&mut self) {
        self.info.replayable = false;
    }

    fn decide(&mut self, router: &Router, now: Instant, waker: &Waker) -> Step {
        if now >= self.info.deadline {
            return self.refuse(Refusal::Expired);
        }
        match router.crashes.verdict(self.info.fingerprint, now) {
            Verdict::Free => {}
            Verdict::Later(at) => return Step::Wait(at.min(self.info.deadline)),
            Verdict::Quarantined => return self.refuse(Refusal::Quarantined),
        }
        if self
            .place
            .as_ref()
            .is_some_and(|place| place.refresh(waker))
        {
            return self.refuse(Refusal::Overloaded);
        }
        loop {
            let table = router.table.load();
            let step = self.decide_by(router, &table, now, waker);
            // A newer table that came before this call joined its queue woke nobody.
            let waits = matches!(step, Step::Wait(_));
            if !waits || Arc::ptr_eq(&table, &router.table.load()) {
                return step;
            }
        }
    }

    fn decide_by(&mut self, router: &Router, table: &Table, now: Instant, waker: &Waker) -> Step {
        let Some(route) = table.services.get(&self.info.service) else {
            return self.refuse(Refusal::NoService);
        };
        if route.service.keying.is_none() {
            return self.decide_unkeyed(router, route, now, waker);
        }
        match self.info.key_hash {
            Some(hash) => self.decide_keyed(router, route, hash, now, waker),
            None => self.refuse(Refusal::NoKey),
        }
    }

    fn decide_keyed(
        &mut self,
        router: &Router,
        route: &ServiceRoute,
        hash: u64,
        now: Instant,
        waker: &Waker,
    ) -> Step {
        if !std::mem::replace(&mut self.counted, true) {
            route.shared.counts.count(hash);
        }
        let Some(key) = route.key_route(hash) else {
            return self.refuse(Refusal::NoKey);
        };
        let hold = route.shared.hold_of(key.at.shard);
        let Some(owner) = key.owner else {
            return self.wait(router, route, hold, admit::HOLD, self.info.deadline, waker);
        };
        let paused = self.refused.filter(|r| r.at == key.at && now < r.until);
        if let Some(refused) = paused {
            return self.wait(router, route, hold, admit::HOLD, refused.until, waker);
        }
        if owner.share == 0 {
            return self.refuse(Refusal::NoTarget);
        }
        if self.is_next(&owner.stats.queue) && owner.stats.enter(owner.share) {
            return self.send(router, route, owner, Some(key.at), now);
        }
        let queue = &owner.stats.queue;
        let step = self.wait(
            router,
            route,
            queue,
            admit::QUEUE,
            self.info.deadline,
            waker,
        );
        // A place that was given back before this call joined the queue woke nobody.
        if matches!(step, Step::Wait(_)) && self.is_next(queue) && owner.stats.enter(owner.share) {
            return self.send(router, route, owner, Some(key.at), now);
        }
        step
    }

    fn decide_unkeyed(
        &mut self,
        router: &Router,
        route: &ServiceRoute,
        now: Instant,
        waker: &Waker,
    ) -> Step {
        if route.near.is_empty() && route.far.is_empty() {
            return self.refuse(Refusal::NoTarget);
        }
        let queue = &route.shared.queue;
        let waited = self.is_in(queue);
        if waited && admit::is_too_late(route, self.info.deadline, now) {
            return self.refuse(Refusal::Overloaded);
        }
        let mut until = self.info.deadline;
        if self.is_next(queue) {
            match self.choose(router, route, now) {
                Ok(target) => return self.send(router, route, target, None, now),
                Err(none) => until = until.min(retry_at(router, none).unwrap_or(until)),
            }
        }
        if waited {
            return Step::Wait(until);
        }
        if admit::is_hopeless(route, self.info.deadline, now) {
            return self.refuse(Refusal::Overloaded);
        }
        let step = self.wait(router, route, queue, admit::QUEUE, until, waker);
        // A slot that was given back before this call joined the queue woke nobody.
        if matches!(step, Step::Wait(_))
            && self.is_next(queue)
            && let Ok(target) = self.choose(router, route, now)
        {
            return self.send(router, route, target, None, now);
        }
        step
    }

    fn choose<'a>(
        &self,
        router: &Router,
        route: &'a ServiceRoute,
        now: Instant,
    ) -> Result<&'a TargetRoute, NoChoice> {
        let several = route.near.len() + route.far.len() > 1;
        let choice = Choice {
            now: router.micros(now),
            random: router.random(),
            avoid: self.avoid.filter(|_| several),
            suspect: router.crashes.is_suspect(self.info.fingerprint, now),
            idempotent: self.info.idempotent,
            since: router.micros(self.since.unwrap_or(now)),
        };
        choice::choose(route, choice)
    }

    fn send(
        &mut self,
        router: &Router,
        route: &ServiceRoute,
        target: &TargetRoute,
        shard: Option<ShardFence>,
        now: Instant,
    ) -> Step {
        if self.attempts == 0 && self.refusals == 0 {
            route.shared.budget.deposit();
        }
        if self.is_in(&route.shared.queue) {
            route.shared.departed(router.micros(now));
        }
        self.attempts += 1;
        let info = AttemptInfo {
            shard,
            suspect: router.crashes.is_suspect(self.info.fingerprint, now),
            started: now,
            deadline: self.attempt_deadline(now),
        };
        Step::Send(Attempt::open(route, target, info))
    }

    /// An attempt that may be repeated leaves half of the time for the others.
    fn attempt_deadline(&self, now: Instant) -> Instant {
        if self.info.idempotent && self.may_repeat() {
            now + self.info.deadline.saturating_duration_since(now) / 2
        } else {
            self.info.deadline
        }
    }

    fn after_failure(&mut self, attempt: &Attempt) -> NextAction {
        self.avoid = Some(choice::stats_id(&attempt.stats));
        let harmless = self.info.idempotent || !self.uncertain;
        if harmless && self.may_repeat() && attempt.shared.budget.withdraw() {
            return NextAction::Retry;
        }
        NextAction::Refuse(self.outcome(Refusal::NoTarget))
    }

    fn after_refusal(&mut self, router: &Router, attempt: &Attempt, now: Instant) -> NextAction {
        attempt.stats.refused(router.micros(now), router.random());
        self.attempts -= 1;
        self.refusals += 1;
        if let Some(at) = attempt.shard {
            let pause = OWNER_PAUSE * (1 << self.refusals.min(OWNER_PAUSE_DOUBLINGS));
            let until = now + pause;
            self.refused = Some(OwnerRefusal { at, until });
        }
        if self.info.replayable && self.refusals < MAX_REFUSALS {
            return NextAction::Retry;
        }
        NextAction::Refuse(self.outcome(Refusal::Overloaded))
    }

    fn may_repeat(&self) -> bool {
        self.info.replayable && self.attempts < MAX_ATTEMPTS
    }

    fn wait(
        &mut self,
        router: &Router,
        route: &ServiceRoute,
        queue: &Arc<WaitQueue>,
        limit: usize,
        until: Instant,
        waker: &Waker,
    ) -> Step {
        let until = until.min(self.info.deadline);
        if self.is_in(queue) {
            return Step::Wait(until);
        }
        self.place = None;
        match admit::admit(router, route, queue, limit) {
            Admission::Enter => {}
            Admission::Refuse => return self.refuse(Refusal::Overloaded),
        }
        self.place = Some(Place::join(queue, &router.waiting, waker));
        Step::Wait(until)
    }

    /// Returns whether no other call waits before this one.
    fn is_next(&self, queue: &Arc<WaitQueue>) -> bool {
        match &self.place {
            Some(place) if place.is_in(queue) => place.is_first(),
            _ => queue.len() == 0,
        }
    }

    fn is_in(&self, queue: &Arc<WaitQueue>) -> bool {
        self.place.as_ref().is_some_and(|place| place.is_in(queue))
    }

    fn refuse(&self, refusal: Refusal) -> Step {
        Step::Refuse(self.outcome(refusal))
    }

    fn outcome(&self, refusal: Refusal) -> Refusal {
        if self.uncertain {
            Refusal::Unknown
        } else {
            refusal
        }
    }
}

fn retry_at(router: &Router, none: NoChoice) -> Option<Instant> {
    let micros = Some(none.retry_at).filter(|&at| at > 0)?;
    router.instant(micros)
}
