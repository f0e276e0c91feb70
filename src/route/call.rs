//! One request's way through its attempts.
//!
//! The traffic adapter drives a [`Call`]: [`Call::step`] says where to send it next,
//! [`Call::ended`] takes what became of the attempt.

use std::task::Waker;
use std::time::Instant;

use strum::Display;

use crate::ids::ServiceId;
use crate::route::Lane;
use crate::route::Router;

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
    /// Send the request to the lane's target.
    Send(Lane),
    /// Ask again when woken, or at this instant.
    Wait(Instant),
    /// Answer the caller with a refusal.
    Refuse(Refusal),
}

/// What became of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target answered; the head of its answer is in hand and can be delivered.
    Answered {
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
    Silent,
    /// The caller went away.
    Cancelled,
}

/// What follows from the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Deliver the target's answer.
    Deliver,
    /// Call [`Call::step`] again.
    Again,
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
    uncertain: bool,
}

impl Call {
    /// Starts a call.
    pub fn new(info: RequestInfo) -> Self {
        Self {
            info,
            attempts: 0,
            uncertain: false,
        }
    }

    /// Returns what to do next. When the answer is [`Step::Wait`], `waker` is woken on a change.
    pub fn step(&mut self, router: &Router, now: Instant, waker: &Waker) -> Step {
        if now >= self.info.deadline {
            return Step::Refuse(self.refusal(Refusal::Expired));
        }
        let step = router.choose(&self.info, now, waker);
        if let Step::Send(_) = step {
            self.attempts += 1;
        }
        step
    }

    /// Takes the end of an attempt.
    pub fn ended(&mut self, _router: &Router, _now: Instant, lane: Lane, end: AttemptEnd) -> Next {
        drop(lane);
        match end {
            AttemptEnd::Answered { .. } => Next::Deliver,
            AttemptEnd::NotSent | AttemptEnd::NotRun if self.may_repeat() => Next::Again,
            AttemptEnd::NotSent | AttemptEnd::NotRun => {
                Next::Refuse(self.refusal(Refusal::NoTarget))
            }
            AttemptEnd::Broken | AttemptEnd::Silent => {
                self.uncertain = true;
                let again = self.info.idempotent && self.may_repeat();
                if again {
                    Next::Again
                } else {
                    Next::Refuse(Refusal::Unknown)
                }
            }
            AttemptEnd::Cancelled => Next::Refuse(Refusal::Unknown),
        }
    }

    /// Records that part of a streamed body is gone, so that the request cannot be sent again.
    pub fn consumed(&mut self) {
        self.info.replayable = false;
    }

    fn may_repeat(&self) -> bool {
        self.info.replayable && self.attempts < 3
    }

    fn refusal(&self, refusal: Refusal) -> Refusal {
        if self.uncertain {
            Refusal::Unknown
        } else {
            refusal
        }
    }
}
