//! Whether this node reaches targets at all.
//!
//! A node may lose its links to all targets while callers, the table and the other nodes still reach
//! it. It must not take that for the loss of the targets. Requests show only that something is
//! wrong; connections that are opened to several targets decide.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::ids::TargetId;

/// How long targets may owe a response, with none from any target, before connections are checked.
const SILENCE: Duration = Duration::from_millis(500);
/// Number of targets that could not be connected to, with no new connection to any, after which
/// connections are checked.
const UNREACHABLE_TARGETS: usize = 2;
/// Minimum time between two checks.
const CHECK_PERIOD: Duration = Duration::from_millis(300);

/// What a node knows of its links to targets.
#[derive(Debug, Default)]
pub struct Reach {
    /// When the first request was sent that no response has followed, from any target.
    unanswered_since: Cell<Option<Instant>>,
    /// Targets that could not be connected to since a connection to any target was last opened.
    unreachable: RefCell<BTreeSet<TargetId>>,
    last_check: Cell<Option<Instant>>,
    stranded: Cell<bool>,
    /// Notified when the node begins or ceases to be stranded.
    pub changed: Notify,
}

impl Reach {
    /// Returns true if the last check reached no target.
    pub fn is_stranded(&self) -> bool {
        self.stranded.get()
    }

    /// Records that a request or an order was sent to a target.
    pub fn record_sent(&self, now: Instant) {
        if self.unanswered_since.get().is_none() {
            self.unanswered_since.set(Some(now));
        }
    }

    /// Records that a target responded.
    pub fn record_response(&self) {
        self.unanswered_since.set(None);
    }

    /// Records that a connection to a target was opened.
    pub fn record_connected(&self) {
        self.unanswered_since.set(None);
        self.unreachable.borrow_mut().clear();
    }

    /// Records that no connection to a target could be opened.
    pub fn record_unreachable(&self, target: &TargetId) {
        self.unreachable.borrow_mut().insert(target.clone());
    }

    /// Returns true if connections to targets should be checked now.
    pub fn is_check_due(&self, now: Instant) -> bool {
        let elapsed = |since: Instant| now.saturating_duration_since(since);
        if self
            .last_check
            .get()
            .is_some_and(|at| elapsed(at) < CHECK_PERIOD)
        {
            return false;
        }
        let is_silent = self
            .unanswered_since
            .get()
            .is_some_and(|at| elapsed(at) >= SILENCE);
        let is_refused = self.unreachable.borrow().len() >= UNREACHABLE_TARGETS;
        self.is_stranded() || is_silent || is_refused
    }

    /// Records the end of a check: whether a connection to any target was opened. Returns true if the
    /// node begins or ceases to be stranded.
    pub fn record_check(&self, reached: bool, now: Instant) -> bool {
        self.last_check.set(Some(now));
        if reached {
            self.record_connected();
        }
        let changes = self.stranded.replace(!reached) == reached;
        if changes {
            self.changed.notify_waiters();
        }
        changes
    }
}
