//! Which other nodes may still lead a service by a lease that the table lost when its data was
//! restored.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::BootId;
use crate::ids::VmId;

/// How long a heartbeat of a new leader may take to reach this node.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(700);

/// The search for unknown leaders after the table's data was restored.
///
/// A node that took the lease just before the restore is in no row. It is found by its heartbeats,
/// or no longer leads once its lease has expired.
#[derive(Debug)]
pub struct Recovery {
    since: Instant,
    /// The nodes that have not reported that they do not lead. If a process is given, only that
    /// process can report it: a later one does not know what its predecessor led.
    unheard: BTreeMap<VmId, Option<BootId>>,
}

impl Recovery {
    /// Starts to wait for reports of `nodes`.
    pub fn new(nodes: impl IntoIterator<Item = (VmId, Option<BootId>)>, now: Instant) -> Self {
        Self {
            since: now,
            unheard: nodes.into_iter().collect(),
        }
    }

    /// Starts again after another restore; processes that have not reported yet must still do so.
    pub fn restart(
        &mut self,
        nodes: impl IntoIterator<Item = (VmId, Option<BootId>)>,
        now: Instant,
    ) {
        self.since = now;
        for (node, boot) in nodes {
            let expected = self.unheard.entry(node).or_insert(boot);
            *expected = expected.or(boot);
        }
    }

    /// Records that a process reported that it does not lead the service.
    pub fn record_idle(&mut self, node: &VmId, boot: BootId) {
        let expected = self.unheard.get(node);
        if expected.is_some_and(|expected| expected.is_none_or(|expected| expected == boot)) {
            self.unheard.remove(node);
        }
    }

    /// Returns true if no other node leads by a lost lease.
    pub fn is_complete(&self, now: Instant) -> bool {
        self.unheard.is_empty() && self.elapsed(now) >= HEARTBEAT_DELAY
    }

    /// Returns the time since the restore was noticed.
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }
}
