//! Which other nodes may still lead a service by a lease that the table lost when its data was
//! restored.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::BootId;
use crate::ids::VmId;

/// How long a heartbeat of a new leader may take to reach this node.
pub(super) const HEARTBEAT_DELAY: Duration = Duration::from_millis(700);

/// The search for unknown leaders after the table's data was restored.
///
/// No row names a node that took the lease just before the restore. Its heartbeats show it; without
/// them, it has stopped leading once its lease has expired.
#[derive(Debug)]
pub struct Recovery {
    since: Instant,
    /// The nodes that have not reported that they do not lead, with the processes that may lead.
    unreported: BTreeMap<VmId, Option<BootId>>,
    /// Whether such a process has ended without a report; a later process of its node cannot make it.
    has_restarted: bool,
}

impl Recovery {
    /// Starts to wait for reports of `nodes`.
    pub fn new(nodes: impl IntoIterator<Item = (VmId, Option<BootId>)>, now: Instant) -> Self {
        Self {
            since: now,
            unreported: nodes.into_iter().collect(),
            has_restarted: false,
        }
    }

    /// Continues a search that a previous leader began.
    pub fn resume(
        unreported: impl IntoIterator<Item = (VmId, Option<BootId>)>,
        has_restarted: bool,
        now: Instant,
    ) -> Self {
        Self {
            has_restarted,
            ..Self::new(unreported, now)
        }
    }

    /// Returns the nodes that have not reported that they do not lead, with the processes that may
    /// lead.
    pub fn unreported(&self) -> &BTreeMap<VmId, Option<BootId>> {
        &self.unreported
    }

    /// Starts again after another restore; processes that have not reported yet must still do so.
    pub fn restart(
        &mut self,
        nodes: impl IntoIterator<Item = (VmId, Option<BootId>)>,
        now: Instant,
    ) {
        self.since = now;
        for (node, boot) in nodes {
            let expected = self.unreported.entry(node).or_insert(boot);
            *expected = expected.or(boot);
        }
    }

    /// Records that a process reported that it does not lead the service. Returns true if it followed
    /// one that may have led.
    pub fn record_idle(&mut self, node: &VmId, boot: BootId) -> bool {
        let expected = self.unreported.remove(node).flatten();
        let is_later = expected.is_some_and(|expected| expected != boot);
        self.has_restarted |= is_later;
        is_later
    }

    /// Returns true if a process that may have led has ended without a report.
    pub fn has_restarted(&self) -> bool {
        self.has_restarted
    }

    /// Returns true if no other node leads by a lost lease.
    pub fn is_complete(&self, now: Instant) -> bool {
        self.unreported.is_empty() && self.elapsed(now) >= HEARTBEAT_DELAY
    }

    /// Returns the time since the restore was noticed.
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }
}
