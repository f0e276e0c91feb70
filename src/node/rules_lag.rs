//! Detects that other nodes have newer rules than this node.

use std::time::Duration;
use std::time::Instant;

/// How long another node's rules may be newer before a node that polls for rules reads them again:
/// usually its pending call to the platform returns them earlier.
const MAX_POLLING_LAG: Duration = Duration::from_millis(400);
/// The same for a node that has no pending call; it limits the rate of reads.
const MAX_LAG: Duration = Duration::from_millis(100);

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
    /// true if the rules should be read again now. `is_polling` is true on a node that polls for
    /// rules.
    pub fn observe(&mut self, peer: u64, own: u64, is_polling: bool, now: Instant) -> bool {
        let max_lag = if is_polling { MAX_POLLING_LAG } else { MAX_LAG };
        self.newest = self.newest.max(peer);
        if self.newest <= own {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let is_due = now.saturating_duration_since(since) >= max_lag;
        if is_due {
            self.since = Some(now);
        }
        is_due
    }
}
