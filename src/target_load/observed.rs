//! The newest statement of a target, and what this node has sent to it since.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::target_load::StatedLoad;

/// How long a stated number of requests is used: about as long as nodes of a data centre take to
/// exchange it, and a few times the duration of a request.
pub const LOAD_VALIDITY: Duration = Duration::from_millis(500);
/// How long a stated pace is used, which changes several times a second.
pub const PACE_VALIDITY: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug)]
struct Statement {
    load: StatedLoad,
    /// When the response with the statement was read.
    at: Instant,
    /// Whether other nodes are still to be informed of it.
    is_unsent: bool,
}

/// What is known of the load of one target.
#[derive(Debug, Default)]
pub struct ObservedLoad {
    newest: Cell<Option<Statement>>,
    /// When this node sent its recent requests, oldest first.
    sent: RefCell<VecDeque<Instant>>,
}

impl ObservedLoad {
    /// Records a statement in a response that this node read at `now`.
    pub fn record(&self, load: StatedLoad, now: Instant) {
        self.newest.set(Some(Statement {
            load,
            at: now,
            is_unsent: true,
        }));
    }

    /// Records a statement that another node read at `at`, unless a newer one is known.
    pub fn merge(&self, load: StatedLoad, at: Instant) {
        if self.newest.get().is_none_or(|newest| newest.at < at) {
            self.newest.set(Some(Statement {
                load,
                at,
                is_unsent: false,
            }));
        }
    }

    /// Records that this node sends a request.
    pub fn record_sent(&self, now: Instant) {
        let mut sent = self.sent.borrow_mut();
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > LOAD_VALIDITY;
        while sent.front().is_some_and(is_old) {
            sent.pop_front();
        }
        sent.push_back(now);
    }

    /// Returns the number of requests at the target, over all nodes, or `None` without a recent
    /// statement. Requests that this node has sent since the statement are added; those that have ended
    /// since are not subtracted, so that the load is rather overestimated.
    pub fn requests(&self, now: Instant) -> Option<u32> {
        let newest = self.recent(LOAD_VALIDITY, now)?;
        let sent = self.sent.borrow();
        let since = sent.iter().rev().take_while(|at| **at > newest.at).count();
        Some(u32::from(newest.load.requests) + since as u32)
    }

    /// Returns how long work takes at the target, relative to the usual time, or `None` without a recent
    /// statement.
    pub fn pace(&self, now: Instant) -> Option<f64> {
        let newest = self.recent(PACE_VALIDITY, now)?;
        Some(f64::from(newest.load.pace) / 100.0)
    }

    /// Returns the newest statement with its age if this node read it and has not returned it before.
    pub fn take_unsent(&self, now: Instant) -> Option<(StatedLoad, Duration)> {
        let newest = self.newest.get().filter(|newest| newest.is_unsent)?;
        self.newest.set(Some(Statement {
            is_unsent: false,
            ..newest
        }));
        let age = now.saturating_duration_since(newest.at);
        (age < LOAD_VALIDITY).then_some((newest.load, age))
    }

    fn recent(&self, validity: Duration, now: Instant) -> Option<Statement> {
        let newest = self.newest.get()?;
        (now.saturating_duration_since(newest.at) < validity).then_some(newest)
    }
}
