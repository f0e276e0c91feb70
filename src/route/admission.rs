//! Admission to the wait queues: refuses calls at once when a queue is full or the deadline cannot
//! be met.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::route::Router;
use crate::route::queue::WaitQueue;
use crate::route::table::ServiceRoute;

/// Maximum calls that wait for a slot or a connection in one queue.
pub(crate) const MAX_QUEUE_LEN: usize = 2_048;
/// Maximum calls that wait for an owner in one shard queue.
pub(crate) const MAX_SHARD_QUEUE_LEN: usize = 128;
/// Maximum calls that wait in all queues together.
const MAX_WAITING: usize = 8_192;
/// A call joins a queue only if this many average response times remain after the estimated wait.
const MIN_LATENCIES_TO_QUEUE: u64 = 3;
/// A call is sent after a wait only if this many average response times remain.
const MIN_LATENCIES_TO_SEND: u64 = 2;

/// Whether a call may join a wait queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// The call may join the queue.
    Admit,
    /// The call is refused.
    Refuse,
}

/// Decides whether a call may wait. If the limit over all queues is reached, a waiting call of a
/// service with lower priority is shed to make room.
pub(crate) fn admit(
    router: &Router,
    route: &ServiceRoute,
    queue: &Arc<WaitQueue>,
    limit: usize,
) -> Admission {
    if queue.len() >= limit {
        return Admission::Refuse;
    }
    if router.waiting() < MAX_WAITING || shed_below(router, route.service.priority) {
        return Admission::Admit;
    }
    Admission::Refuse
}

/// Returns true if a call that joins the queue now is expected to miss its deadline.
pub(crate) fn would_miss_deadline(route: &ServiceRoute, deadline: Instant, now: Instant) -> bool {
    let interval = route.shared.departure_interval.load(Ordering::Relaxed);
    let latency = route.shared.latency.load(Ordering::Relaxed);
    let ahead = route.shared.queue.len() as u64;
    let required = (ahead + 1) * interval + MIN_LATENCIES_TO_QUEUE * latency;
    interval > 0 && now + Duration::from_micros(required) > deadline
}

/// Returns true if a call that has waited is expected to miss its deadline when sent now.
pub(crate) fn is_too_late(route: &ServiceRoute, deadline: Instant, now: Instant) -> bool {
    let latency = route.shared.latency.load(Ordering::Relaxed);
    let crowded = route.shared.queue.len() > 1;
    crowded && now + Duration::from_micros(MIN_LATENCIES_TO_SEND * latency) > deadline
}

/// Sheds the last waiting call of the service with the lowest priority below `priority`; returns
/// true if there was one.
fn shed_below(router: &Router, priority: u8) -> bool {
    let table = router.table.load();
    let mut lower: Vec<_> = table
        .services
        .values()
        .filter(|route| route.service.priority < priority)
        .collect();
    lower.sort_by_key(|route| route.service.priority);
    lower.iter().any(|route| route.shared.queue.shed_last())
}
