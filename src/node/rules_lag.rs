//! Detects that other nodes have newer rules than this node.

use std::time::Duration;
use std::time::Instant;

/// How long another node's rules may be newer before a node that polls for rules reads them again:
/// usually its pending call to the platform returns them earlier.
const MAX_POLLING_LAG: Duration = Duration::from_millis(400);
/// The same for a node that has no pending call; it limits the rate of reads.
const MAX_LAG: Duration = Duration::from_millis(100);

/// Pause after a read that found no newer rules although another node has them; it doubles with each
/// further one up to the limit.
const INITIAL_PAUSE: Duration = Duration::from_millis(200);
const MAX_PAUSE: Duration = Duration::from_millis(800);
const MAX_DOUBLINGS: u32 = 2;

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

/// Limits the rate of reads while the table does not have the newer rules of another node: its data
/// was restored from an older copy, and the operators have not published them again.
#[derive(Debug, Default)]
pub struct RereadPause {
    /// Consecutive reads that found no newer rules.
    fruitless: u32,
    until: Option<Instant>,
}

impl RereadPause {
    /// Records a completed read that another node's newer rules caused.
    pub fn record_read(&mut self, found_newer: bool, now: Instant) {
        if found_newer {
            *self = Self::default();
            return;
        }
        let doublings = self.fruitless.min(MAX_DOUBLINGS);
        self.until = Some(now + (INITIAL_PAUSE * 2u32.pow(doublings)).min(MAX_PAUSE));
        self.fruitless = self.fruitless.saturating_add(1);
    }

    /// Returns true if reports of newer rules should cause a read.
    pub fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }
}
