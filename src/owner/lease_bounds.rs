//! Upper bounds of the leases that a member's own orders gave.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::owner::message::LeaseBound;
use crate::owner::message::TargetBoot;
use crate::owner::order::GRANT_LEASE;

const DRIFT_MARGIN: Duration = Duration::from_millis(5);

/// Returns the length of a lease on any clock that drifts by at most 1 %.
pub fn max_lease() -> Duration {
    GRANT_LEASE + GRANT_LEASE / 100 + DRIFT_MARGIN
}

/// When the leases that one member extended have certainly lapsed.
#[derive(Clone, Debug, Default)]
pub struct LeaseBounds {
    ends: BTreeMap<TargetBoot, Instant>,
}

impl LeaseBounds {
    /// Takes note of an order that echoes a stamp received at `stamped`.
    pub fn record_order(&mut self, at: &TargetBoot, stamped: Instant) {
        let end = stamped + max_lease();
        let known = self.ends.entry(at.clone()).or_insert(end);
        *known = end.max(*known);
    }

    /// Returns when the lease of a target's process has certainly lapsed; `None` if it has none.
    pub fn end(&self, at: &TargetBoot) -> Option<Instant> {
        self.ends.get(at).copied()
    }

    /// Returns the bounds of some targets, or of all, as a message carries them.
    pub fn remaining(&self, now: Instant, among: Option<&[TargetBoot]>) -> Vec<LeaseBound> {
        let wanted = |at: &TargetBoot| among.is_none_or(|list| list.contains(at));
        let ends = self
            .ends
            .iter()
            .filter(|(at, end)| wanted(at) && **end > now);
        ends.map(|(at, end)| LeaseBound {
            at: at.clone(),
            left_us: (*end - now).as_micros() as u64 + 1,
        })
        .collect()
    }

    /// Forgets what lapsed.
    pub fn prune(&mut self, now: Instant) {
        self.ends.retain(|_, end| *end > now);
    }
}
