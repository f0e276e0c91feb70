//! Whether this node's rules are behind those of others.

use std::time::Duration;
use std::time::Instant;

/// How long another node's rules may be newer before this one asks for them: mostly its own call
/// brings them meanwhile.
const PATIENCE: Duration = Duration::from_millis(400);

/// The newest rules that other nodes have.
#[derive(Debug, Default)]
pub struct RulesLag {
    newest: u64,
    since: Option<Instant>,
}

impl RulesLag {
    /// Records the version that another node has in force, and the own; returns whether to ask for
    /// newer rules now.
    pub fn observe(&mut self, theirs: u64, own: u64, now: Instant) -> bool {
        self.newest = self.newest.max(theirs);
        if self.newest <= own {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let is_due = now.saturating_duration_since(since) >= PATIENCE;
        if is_due {
            self.since = Some(now);
        }
        is_due
    }
}
