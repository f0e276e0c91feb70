//! Whether the platform's table answers a node, and whether it turns that node away alone.

use std::time::Duration;
use std::time::Instant;

/// How long a leader's calls must have failed before another takes its place: longer than the table
/// is slow to answer, and a part of a hold.
const FAILING_LIMIT: Duration = Duration::from_millis(1_000);

/// A node's table_health with the table.
#[derive(Debug, Default)]
pub struct TableHealth {
    failing: Option<Instant>,
}

impl TableHealth {
    /// Records that the table answered a call.
    pub fn record_success(&mut self) {
        self.failing = None;
    }

    /// Records that a call failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.failing.get_or_insert(now);
    }

    /// Returns whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failing.is_some()
    }

    /// Returns whether another node should lead: this one's calls have failed for a while, and one
    /// of another node succeeded after that, at `others_read`.
    ///
    /// When the table is away from all, nobody could take over, and the leader goes on renewing.
    pub fn should_step_down(&self, others_read: Option<Instant>) -> bool {
        let Some(failing) = self.failing else {
            return false;
        };
        others_read.is_some_and(|read| read >= failing + FAILING_LIMIT)
    }
}
