//! Detects that other nodes have newer rules than this node.

use std::time::Duration;
use std::time::Instant;

/// How long another node's rules may be newer before this node reads them again: usually the
/// pending call to the platform returns them earlier.
const MAX_LAG: Duration = Duration::from_millis(400);

/// Tracks how long the rules in force on this node have been outdated.
#[derive(Debug, Default)]
pub struct RulesLag {
    /// Highest version reported by another node.
    newest: u64,
    /// When the lag was first seen, or when the rules were last requested because of it.
    since: Option<Instant>,
}

impl RulesLag {
    /// Records the version in force on a peer and compares it with this node's version. Returns
    /// true if the rules should be read again now.
    pub fn observe(&mut self, peer: u64, own: u64, now: Instant) -> bool {
        self.newest = self.newest.max(peer);
        if self.newest <= own {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let is_due = now.saturating_duration_since(since) >= MAX_LAG;
        if is_due {
            self.since = Some(now);
        }
        is_due
    }
}
