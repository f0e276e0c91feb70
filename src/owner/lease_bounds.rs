//! Upper bounds for the expiry of the grant leases that a member's own orders extended.
//!
//! Shards of an unresponsive target may be assigned anew once every bound has passed.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::owner::message::LeaseBound;
use crate::owner::message::TargetBoot;
use crate::owner::order::GRANT_LEASE;

/// Added to the maximum lease on top of the clock drift of 1 %.
const CLOCK_MARGIN: Duration = Duration::from_millis(5);

/// Returns the maximum duration of a grant lease, measured by any clock that drifts by at most 1 %.
pub fn max_lease() -> Duration {
    GRANT_LEASE + GRANT_LEASE / 100 + CLOCK_MARGIN
}

/// For each target process, the time by which the leases that one member extended have expired.
#[derive(Clone, Debug, Default)]
pub struct LeaseBounds {
    expiries: BTreeMap<TargetBoot, Instant>,
}

impl LeaseBounds {
    /// Records an order to a target process; the order echoes a stamp that was received at
    /// `stamp_received`. The lease starts no later than that.
    pub fn record_order(&mut self, at: &TargetBoot, stamp_received: Instant) {
        let expiry = stamp_received + max_lease();
        let bound = self.expiries.entry(at.clone()).or_insert(expiry);
        *bound = expiry.max(*bound);
    }

    /// Returns the time by which a target process's lease has expired, or `None` without a lease.
    pub fn expiry(&self, at: &TargetBoot) -> Option<Instant> {
        self.expiries.get(at).copied()
    }

    /// Returns the remaining time of each unexpired bound, for the given target processes or for
    /// all if `processes` is `None`.
    pub fn remaining(&self, now: Instant, processes: Option<&[TargetBoot]>) -> Vec<LeaseBound> {
        let wanted = |at: &TargetBoot| processes.is_none_or(|list| list.contains(at));
        let unexpired = self
            .expiries
            .iter()
            .filter(|(at, expiry)| wanted(at) && **expiry > now);
        unexpired
            .map(|(at, expiry)| LeaseBound {
                at: at.clone(),
                left_us: (*expiry - now).as_micros() as u64 + 1,
            })
            .collect()
    }

    /// Removes the bounds that have passed.
    pub fn prune(&mut self, now: Instant) {
        self.expiries.retain(|_, expiry| *expiry > now);
    }
}
