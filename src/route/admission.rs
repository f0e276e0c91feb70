//! Which calls may wait at the entry, and which are refused at once since waiting is in vain.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::route::Router;
use crate::route::queue::WaitQueue;
use crate::route::table::ServiceRoute;

/// Most calls that wait for a slot or a connection in one queue.
pub(crate) const MAX_QUEUE_LEN: usize = 2_048;
/// Most calls that wait for one shard's owner.
pub(crate) const MAX_SHARD_QUEUE_LEN: usize = 128;
/// Most calls that wait in all queues.
const MAX_WAITING: usize = 8_192;
/// Times to answer that a call must have left to be worth a place in a queue.
const MIN_LATENCIES_TO_QUEUE: u64 = 3;
/// Times to answer that a call must have left to be worth sending after a wait.
const MIN_LATENCIES_TO_SEND: u64 = 2;

/// Whether a call may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It may take a place.
    Admit,
    /// It is refused.
    Refuse,
}

/// Finds room for one more call; where all room is taken, at the cost of less valuable work.
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

/// Returns whether the queue is too long for a newcomer to be answered in time.
pub(crate) fn would_miss_deadline(route: &ServiceRoute, deadline: Instant, now: Instant) -> bool {
    let interval = route.shared.departure_interval.load(Ordering::Relaxed);
    let latency = route.shared.latency.load(Ordering::Relaxed);
    let ahead = route.shared.queue.len() as u64;
    let required = (ahead + 1) * interval + MIN_LATENCIES_TO_QUEUE * latency;
    interval > 0 && now + Duration::from_micros(required) > deadline
}

/// Returns whether a call that has waited would most likely be answered too late.
pub(crate) fn is_too_late(route: &ServiceRoute, deadline: Instant, now: Instant) -> bool {
    let latency = route.shared.latency.load(Ordering::Relaxed);
    let crowded = route.shared.queue.len() > 1;
    crowded && now + Duration::from_micros(MIN_LATENCIES_TO_SEND * latency) > deadline
}

/// Sheds the last waiting call of the least valuable service below a priority.
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
