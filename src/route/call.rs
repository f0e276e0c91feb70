//! The state machine of one request, from arrival to response or refusal.
//!
//! The traffic adapter drives a [`Call`]: [`Call::step`] returns the next attempt to send, and
//! [`Call::finish_attempt`] records its outcome.

use std::sync::Arc;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use strum::Display;

use crate::ids::ServiceId;
use crate::owner::order::ShardFence;
use crate::route::Attempt;
use crate::route::Router;
use crate::route::admission;
use crate::route::admission::Admission;
use crate::route::attempt::AttemptInfo;
use crate::route::crash::Verdict;
use crate::route::queue::QueuePosition;
use crate::route::queue::WaitQueue;
use crate::route::selection;
use crate::route::selection::SelectionContext;
use crate::route::selection::Unavailable;
use crate::route::stats::update_average;
use crate::route::table::ServiceRoute;
use crate::route::table::Table;
use crate::route::table::TargetRoute;

/// Maximum attempts per request, not counting those that the target refused to run.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum refusals by targets before the caller receives a refusal.
const MAX_REFUSALS: u32 = 64;
/// The unit of the pause after an owner's refusal; it doubles with each refusal, and ends early
/// when the shard gets a new owner or fence.
const OWNER_PAUSE: Duration = Duration::from_millis(5);
const MAX_OWNER_PAUSE_DOUBLINGS: u32 = 5;

/// The properties of a request that routing depends on.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// The service that the request's path belongs to.
    pub service: ServiceId,
    /// The hash of the key, for a keyed service.
    pub key_hash: Option<u64>,
    /// Whether the request may run twice, by its method or because the caller marked it so.
    pub idempotent: bool,
    /// Whether the whole request can be sent again; false once part of a streamed body is consumed.
    pub replayable: bool,
    /// When the caller's timeout expires.
    pub deadline: Instant,
    /// A hash of method, path and idempotency key. Requests with the same fingerprint are assumed
    /// to have the same effect on a target, such as a crash.
    pub fingerprint: u64,
}

/// The next action for a call.
#[derive(Debug)]
pub enum Step {
    /// Send the request to the attempt's target.
    Send(Attempt),
    /// Call [`Call::step`] again when woken, or at this instant.
    Wait(Instant),
    /// Send a refusal to the caller.
    Refuse(Refusal),
}

/// The outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target responded; the head of the response has been received.
    Responded {
        /// The HTTP status of the response.
        status: u16,
    },
    /// No part of the request reached the target.
    NotSent,
    /// The target reported that it did not run the request, because it sheds load, is draining or
    /// has no grant for the key.
    NotRun,
    /// The connection failed or closed without a response after part of the request was sent.
    Broken,
    /// No response was received before the attempt's deadline.
    TimedOut,
    /// The shard moved to another target before a response was received.
    Superseded,
    /// The caller disconnected.
    Cancelled,
}

/// What to do after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Forward the target's response to the caller.
    Deliver,
    /// Call [`Call::step`] again.
    Retry,
    /// Send a refusal to the caller.
    Refuse(Refusal),
}

/// A response of the router itself. Each one states whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// No service matches the path: 404, not run.
    NoService,
    /// A request to a keyed service has no key: 400, not run.
    NoKey,
    /// The queues are full or the deadline cannot be met: 503, not run.
    Overloaded,
    /// No target may serve the key now, or no target is reachable: 503, not run.
    NoTarget,
    /// The deadline passed before any part was sent: 504, not run.
    Expired,
    /// Requests with the same fingerprint crashed several targets: 503, not run.
    Quarantined,
    /// The request may have run, but its response was lost: 502, unknown.
    Unknown,
}

impl Refusal {
    /// Returns the HTTP status of the response.
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

/// A request that is being routed, with the state kept between its attempts.
#[derive(Debug)]
pub struct Call {
    info: RequestInfo,
    attempts: u32,
    refusals: u32,
    may_have_run: bool,
    avoid: Option<u64>,
    refused: Option<OwnerRefusal>,
    queue_position: Option<QueuePosition>,
    arrived_at: Option<Instant>,
    key_counted: bool,
}

/// A refusal by the owner of a shard, and the end of the pause before the same owner is retried.
#[derive(Clone, Copy, Debug)]
struct OwnerRefusal {
    shard: ShardFence,
    until: Instant,
}

impl Call {
    /// Creates a call that has not been sent yet.
    pub fn new(info: RequestInfo) -> Self {
        Self {
            info,
            attempts: 0,
            refusals: 0,
            may_have_run: false,
            avoid: None,
            refused: None,
            queue_position: None,
            arrived_at: None,
            key_counted: false,
        }
    }

    /// Returns the next action. After [`Step::Wait`], `waker` is woken when the action may change.
    pub fn step(&mut self, router: &Router, now: Instant, waker: &Waker) -> Step {
        self.arrived_at.get_or_insert(now);
        let step = self.decide(router, now, waker);
        if !matches!(step, Step::Wait(_)) {
            self.queue_position = None;
        }
        step
    }

    /// Records the outcome of an attempt and returns what to do next.
    pub fn finish_attempt(
        &mut self,
        router: &Router,
        now: Instant,
        attempt: Attempt,
        outcome: AttemptOutcome,
    ) -> NextAction {
        let micros = now.saturating_duration_since(attempt.started).as_micros() as u64;
        match outcome {
            AttemptOutcome::Responded { status } => {
                if status >= 500 {
                    router.record_target_failure(&attempt, now);
                } else {
                    attempt.stats.record_response(micros);
                    update_average(&attempt.shared.latency, micros);
                }
                router.crashes.record_response(self.info.fingerprint, now);
                NextAction::Deliver
            }
            AttemptOutcome::NotSent => {
                router.record_target_failure(&attempt, now);
                match attempt.shard {
                    // No other target may serve the key: wait until it has a new owner.
                    Some(_) => self.after_refusal(router, &attempt, now),
                    None => self.after_failure(&attempt),
                }
            }
            AttemptOutcome::NotRun => self.after_refusal(router, &attempt, now),
            AttemptOutcome::Broken => {
                self.may_have_run = true;
                router.record_target_failure(&attempt, now);
                let (service, target) = (&attempt.service, &attempt.target);
                let fingerprint = self.info.fingerprint;
                router
                    .crashes
                    .record_crash(fingerprint, service, target, now);
                self.after_failure(&attempt)
            }
            AttemptOutcome::TimedOut => {
                self.may_have_run = true;
                if attempt.stats.record_timeout() {
                    router.record_target_failure(&attempt, now);
                }
                self.after_failure(&attempt)
            }
            AttemptOutcome::Superseded => {
                self.may_have_run = true;
                self.after_failure(&attempt)
            }
            AttemptOutcome::Cancelled => NextAction::Refuse(Refusal::Unknown),
        }
    }

    /// Records that part of a streamed body was consumed, so the request cannot be sent again.
    pub fn mark_body_consumed(&mut self) {
        self.info.replayable = false;
    }

    fn decide(&mut self, router: &Router, now: Instant, waker: &Waker) -> Step {
        if now >= self.info.deadline {
            return self.refuse(Refusal::Expired);
        }
        match router.crashes.verdict(self.info.fingerprint, now) {
            Verdict::Allowed => {}
            Verdict::Pending(at) => return Step::Wait(at.min(self.info.deadline)),
            Verdict::Quarantined => return self.refuse(Refusal::Quarantined),
        }
        if self
            .queue_position
            .as_ref()
            .is_some_and(|queue_position| queue_position.refresh(waker))
        {
            return self.refuse(Refusal::Overloaded);
        }
        loop {
            let table = router.table.load();
            let step = self.decide_with_table(router, &table, now, waker);
            // If the table was replaced before this call joined its queue, the call was not woken.
            let waits = matches!(step, Step::Wait(_));
            if !waits || Arc::ptr_eq(&table, &router.table.load()) {
                return step;
            }
        }
    }

    fn decide_with_table(
        &mut self,
        router: &Router,
        table: &Table,
        now: Instant,
        waker: &Waker,
    ) -> Step {
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
        if !std::mem::replace(&mut self.key_counted, true) {
            route.shared.counts.count(hash);
        }
        let Some(key) = route.key_route(hash) else {
            return self.refuse(Refusal::NoKey);
        };
        let shard_queue = route.shared.shard_queue(key.at.shard);
        let Some(owner) = key.owner else {
            return self.wait(
                router,
                route,
                shard_queue,
                admission::MAX_SHARD_QUEUE_LEN,
                self.info.deadline,
                waker,
            );
        };
        let paused = self.refused.filter(|r| r.shard == key.at && now < r.until);
        if let Some(refused) = paused {
            return self.wait(
                router,
                route,
                shard_queue,
                admission::MAX_SHARD_QUEUE_LEN,
                refused.until,
                waker,
            );
        }
        if owner.share == 0 {
            return self.refuse(Refusal::NoTarget);
        }
        if self.is_next(&owner.stats.queue) && owner.stats.try_reserve(owner.share) {
            return self.send(router, route, owner, Some(key.at), now);
        }
        let queue = &owner.stats.queue;
        let step = self.wait(
            router,
            route,
            queue,
            admission::MAX_QUEUE_LEN,
            self.info.deadline,
            waker,
        );
        // If a slot was released before this call joined the queue, the call was not woken.
        if matches!(step, Step::Wait(_))
            && self.is_next(queue)
            && owner.stats.try_reserve(owner.share)
        {
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
        if route.local.is_empty() && route.remote.is_empty() {
            return self.refuse(Refusal::NoTarget);
        }
        let queue = &route.shared.queue;
        let waited = self.is_in(queue);
        if waited && admission::is_too_late(route, self.info.deadline, now) {
            return self.refuse(Refusal::Overloaded);
        }
        let mut until = self.info.deadline;
        if self.is_next(queue) {
            match self.select_target(router, route, now) {
                Ok(target) => return self.send(router, route, target, None, now),
                Err(e) => until = until.min(retry_at(router, e).unwrap_or(until)),
            }
        }
        if waited {
            return Step::Wait(until);
        }
        if admission::would_miss_deadline(route, self.info.deadline, now) {
            return self.refuse(Refusal::Overloaded);
        }
        let step = self.wait(router, route, queue, admission::MAX_QUEUE_LEN, until, waker);
        // If a slot was released before this call joined the queue, the call was not woken.
        if matches!(step, Step::Wait(_))
            && self.is_next(queue)
            && let Ok(target) = self.select_target(router, route, now)
        {
            return self.send(router, route, target, None, now);
        }
        step
    }

    fn select_target<'a>(
        &self,
        router: &Router,
        route: &'a ServiceRoute,
        now: Instant,
    ) -> Result<&'a TargetRoute, Unavailable> {
        let several = route.local.len() + route.remote.len() > 1;
        let context = SelectionContext {
            now: router.micros(now),
            random: router.random(),
            avoid: self.avoid.filter(|_| several),
            suspect: router.crashes.is_suspect(self.info.fingerprint, now),
            idempotent: self.info.idempotent,
            arrived_at: router.micros(self.arrived_at.unwrap_or(now)),
        };
        selection::select(route, context)
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
            route.shared.retry_budget.record_first_send();
        }
        if self.is_in(&route.shared.queue) {
            route.shared.record_departure(router.micros(now));
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

    /// Returns the deadline of the next attempt: half of the remaining time if a retry is possible.
    fn attempt_deadline(&self, now: Instant) -> Instant {
        if self.info.idempotent && self.can_resend() {
            now + self.info.deadline.saturating_duration_since(now) / 2
        } else {
            self.info.deadline
        }
    }

    fn after_failure(&mut self, attempt: &Attempt) -> NextAction {
        self.avoid = Some(selection::stats_id(&attempt.stats));
        let is_safe = self.info.idempotent || !self.may_have_run;
        if is_safe && self.can_resend() && attempt.shared.retry_budget.try_retry() {
            return NextAction::Retry;
        }
        NextAction::Refuse(self.refusal_or_unknown(Refusal::NoTarget))
    }

    fn after_refusal(&mut self, router: &Router, attempt: &Attempt, now: Instant) -> NextAction {
        attempt
            .stats
            .record_refusal(router.micros(now), router.random());
        self.attempts -= 1;
        self.refusals += 1;
        if let Some(shard) = attempt.shard {
            let pause = OWNER_PAUSE * (1 << self.refusals.min(MAX_OWNER_PAUSE_DOUBLINGS));
            let until = now + pause;
            self.refused = Some(OwnerRefusal { shard, until });
        }
        if self.info.replayable && self.refusals < MAX_REFUSALS {
            return NextAction::Retry;
        }
        NextAction::Refuse(self.refusal_or_unknown(Refusal::Overloaded))
    }

    fn can_resend(&self) -> bool {
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
        self.queue_position = None;
        match admission::admit(router, route, queue, limit) {
            Admission::Admit => {}
            Admission::Refuse => return self.refuse(Refusal::Overloaded),
        }
        self.queue_position = Some(QueuePosition::join(queue, &router.waiting, waker));
        Step::Wait(until)
    }

    /// Returns true if no other call is ahead of this one in the queue.
    fn is_next(&self, queue: &Arc<WaitQueue>) -> bool {
        match &self.queue_position {
            Some(queue_position) if queue_position.is_in(queue) => queue_position.is_first(),
            _ => queue.len() == 0,
        }
    }

    fn is_in(&self, queue: &Arc<WaitQueue>) -> bool {
        self.queue_position
            .as_ref()
            .is_some_and(|queue_position| queue_position.is_in(queue))
    }

    fn refuse(&self, refusal: Refusal) -> Step {
        Step::Refuse(self.refusal_or_unknown(refusal))
    }

    fn refusal_or_unknown(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run {
            Refusal::Unknown
        } else {
            refusal
        }
    }
}

fn retry_at(router: &Router, unavailable: Unavailable) -> Option<Instant> {
    let micros = Some(unavailable.retry_at).filter(|&at| at > 0)?;
    router.instant(micros)
}
