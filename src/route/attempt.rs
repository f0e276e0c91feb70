//! A place in a target's work, held as a guard.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::owner::order::ShardFence;
use crate::route::stats::Stats;
use crate::route::table::ServiceRoute;
use crate::route::table::ServiceShared;
use crate::route::table::TargetRoute;

/// A place in a target's work; dropping it gives the place back.
#[derive(Debug)]
pub struct Attempt {
    /// The target's name.
    pub target: TargetId,
    /// Where to send the request.
    pub address: SocketAddr,
    /// The shard and fence to name, for a keyed service.
    pub shard: Option<ShardFence>,
    /// When to give up on this attempt.
    pub deadline: Instant,
    pub(crate) service: ServiceId,
    pub(crate) started: Instant,
    pub(crate) stats: Arc<Stats>,
    pub(crate) shared: Arc<ServiceShared>,
    pub(crate) suspect: bool,
}

/// What an attempt is opened for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptInfo {
    pub(crate) shard: Option<ShardFence>,
    pub(crate) suspect: bool,
    pub(crate) started: Instant,
    pub(crate) deadline: Instant,
}

impl Attempt {
    /// Opens an attempt; the place in the target's count is already taken.
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

    /// Pays for a second try within the attempt; returns whether the retry budget allowed it.
    pub(crate) fn may_retry(&self) -> bool {
        self.shared.budget.withdraw()
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
