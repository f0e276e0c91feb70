//! Detects whether the platform's table fails for all nodes or for this node only.

use std::time::Duration;
use std::time::Instant;

/// How long a leader's calls must have failed before another node should replace it: longer than a
/// slow response of the table, and shorter than a grant.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a call may take: one that fails within this time of another node's successful read may
/// have begun in an outage for all nodes.
const MAX_CALL_TIME: Duration = Duration::from_millis(900);

/// Tracks whether this node's calls to the table succeed.
#[derive(Debug, Default)]
pub struct TableHealth {
    /// When the first of the current consecutive failures was recorded.
    failing_since: Option<Instant>,
    /// When the last failure was recorded.
    last_failure: Option<Instant>,
    /// The first read by another node since this node's calls fail.
    others_read: Option<Instant>,
}

impl TableHealth {
    /// Records a successful call.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
        self.last_failure = Some(now);
    }

    /// Returns true if the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns true if another node should lead: at least `FAILURE_TIMEOUT` after this node's first
    /// failure another node read the table, at `others_read`, and a call of this node that began later
    /// failed, too.
    ///
    /// If the table is unavailable to all nodes, none can take over, and the leader keeps renewing
    /// grants. When it is available again, some node is the first to read it.
    pub fn should_step_down(&mut self, others_read: Option<Instant>) -> bool {
        let Some(failing_since) = self.failing_since else {
            return false;
        };
        let Some(read) = others_read.filter(|read| *read >= failing_since + FAILURE_TIMEOUT) else {
            return false;
        };
        let first_read = *self.others_read.get_or_insert(read);
        self.last_failure
            .is_some_and(|failure| failure >= first_read + MAX_CALL_TIME)
    }
}
