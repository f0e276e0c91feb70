//! Detects whether the platform's table fails for all nodes or for this node only.

use std::time::Duration;
use std::time::Instant;

/// How long a leader's calls must have failed before another node should replace it: longer than a
/// slow response of the table, and shorter than a grant.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Tracks whether this node's calls to the table succeed.
#[derive(Debug, Default)]
pub struct TableHealth {
    /// When the first of the current consecutive failures was recorded.
    failing_since: Option<Instant>,
}

impl TableHealth {
    /// Records a successful call.
    pub fn record_success(&mut self) {
        self.failing_since = None;
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing_since.get_or_insert(now);
    }

    /// Returns true if the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns true if another node should lead: this node's calls fail, and at least
    /// `FAILURE_TIMEOUT` after the first failure another node read the table, at `others_read`.
    ///
    /// If the table is unavailable to all nodes, none can take over, and the leader keeps renewing
    /// grants.
    pub fn should_step_down(&self, others_read: Option<Instant>) -> bool {
        let Some(failing_since) = self.failing_since else {
            return false;
        };
        others_read.is_some_and(|read| read >= failing_since + FAILURE_TIMEOUT)
    }
}
