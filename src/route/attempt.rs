//! One attempt to send a request, as a guard for the slot that it occupies at the target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::owner::order::ShardFence;
use crate::route::stats::TargetStats;
use crate::route::table::ServiceRoute;
use crate::route::table::ServiceShared;
use crate::route::table::TargetRoute;

/// One attempt to send a request to a target. It occupies one of the target's slots until dropped.
#[derive(Debug)]
pub struct Attempt {
    /// The identifier of the target.
    pub target: TargetId,
    /// Where to send the request.
    pub address: SocketAddr,
    /// The shard and its fencing token to send along; `None` for an unkeyed service.
    pub shard: Option<ShardFence>,
    /// When this attempt times out.
    pub deadline: Instant,
    pub(crate) service: ServiceId,
    pub(crate) started: Instant,
    pub(crate) stats: Arc<TargetStats>,
    pub(crate) shared: Arc<ServiceShared>,
    pub(crate) suspect: bool,
}

/// The parts of an [`Attempt`] that depend on the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptInfo {
    pub(crate) shard: Option<ShardFence>,
    pub(crate) suspect: bool,
    pub(crate) started: Instant,
    pub(crate) deadline: Instant,
}

impl Attempt {
    /// Creates an attempt for a slot that the caller has already reserved in the target's count.
    pub(crate) fn open(route: &ServiceRoute, target: &TargetRoute, info: AttemptInfo) -> Self {
        if info.suspect {
            target.stats.suspects.fetch_add(1, Ordering::Relaxed);
        }
        Self {
            target: target.id.clone(),
            address: target.target.address,
            shard: info.shard,
            deadline: info.deadline,
            service: route.id.clone(),
            started: info.started,
            stats: target.stats.clone(),
            shared: route.shared.clone(),
            suspect: info.suspect,
        }
    }

    /// Takes a retry from the service's retry budget, for a second connection within the same
    /// attempt; returns true if the budget allowed it.
    pub(crate) fn may_retry(&self) -> bool {
        self.shared.retry_budget.try_retry()
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.suspect {
            self.stats.suspects.fetch_sub(1, Ordering::Relaxed);
        }
        self.stats.in_flight.fetch_sub(1, Ordering::SeqCst);
        self.stats.queue.wake_first();
        self.shared.queue.wake_first();
    }
}
