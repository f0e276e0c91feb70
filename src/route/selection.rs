//! Selects a target of an unkeyed service by load and data centre.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::route::stats::TargetStats;
use crate::route::table::ServiceRoute;
use crate::route::table::TargetRoute;

/// Number of targets compared in each step before more of the list is searched.
const WINDOW_LEN: usize = 8;
/// Maximum targets per list that are compared for one decision.
const MAX_SCANNED: usize = 128;
/// Cost of a target in another data centre, in thousandths of its slots, for each percentage point
/// by which the service's `spread_percent` is below 100.
const REMOTE_COST_PER_PERCENT: u32 = 10;
/// How long a call leaves the last free slot of a remote target to entries in that data centre.
const REMOTE_WAIT_MICROS: u64 = 20_000;
const SLOW_COST: u32 = 2_000;
const SLOW_RATIO: u64 = 3;
const LOAD_HINT_COST_PER_PERCENT: u32 = 2;
const SUSPECT_COST: u32 = 4_000;

/// The inputs of target selection besides the statistics of the targets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SelectionContext {
    /// The current time, in microseconds since the router's epoch.
    pub(crate) now: u64,
    /// A random number that determines where the search starts.
    pub(crate) random: u64,
    /// The [`stats_id`] of the target to skip, because the previous attempt failed there.
    pub(crate) avoid: Option<u64>,
    /// Whether a request with the same fingerprint may have crashed a target.
    pub(crate) suspect: bool,
    /// Whether the request may run twice. Other requests avoid a target that has failed.
    pub(crate) idempotent: bool,
    /// When the call arrived, in microseconds since the router's epoch.
    pub(crate) arrived_at: u64,
}

/// Reports that no target is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Unavailable {
    /// When a target becomes available without any other event, in microseconds since the router's
    /// epoch; 0 for never.
    pub(crate) retry_at: u64,
}

/// Reserves a slot at the target with the lowest cost among those with a free slot and connection.
pub(crate) fn select(
    route: &ServiceRoute,
    context: SelectionContext,
) -> Result<&TargetRoute, Unavailable> {
    let percent = 100u32.saturating_sub(route.service.spread_percent.into());
    let remote_cost = REMOTE_COST_PER_PERCENT * percent;
    let scan_len = route.local.len().max(route.remote.len()).min(MAX_SCANNED);
    let mut search = Search::new(route, context);
    let mut from = 0;
    while from < scan_len {
        search.scan_local(from);
        if search.best.is_none_or(|(lowest, _)| lowest > remote_cost) {
            search.scan_remote(from, remote_cost);
        }
        match search.best.take() {
            Some((_, target)) if target.stats.try_reserve(limit(target, context.now)) => {
                return Ok(target);
            }
            Some(_) => {}
            None => from += WINDOW_LEN,
        }
    }
    let retry_at = search.retry_at;
    Err(Unavailable { retry_at })
}

/// The state of the search for one decision.
struct Search<'a> {
    route: &'a ServiceRoute,
    context: SelectionContext,
    best: Option<(u32, &'a TargetRoute)>,
    retry_at: u64,
}

impl<'a> Search<'a> {
    fn new(route: &'a ServiceRoute, context: SelectionContext) -> Self {
        Self {
            route,
            context,
            best: None,
            retry_at: 0,
        }
    }

    fn scan_local(&mut self, from: usize) {
        for target in window(self.route, &self.route.local, self.context.random, from) {
            if let Some(cost) = self.cost(target) {
                self.offer(target, cost);
            }
        }
    }

    fn scan_remote(&mut self, from: usize, remote_cost: u32) {
        let remote_wait_until = self.context.arrived_at + REMOTE_WAIT_MICROS;
        let prefers_local = self.context.now < remote_wait_until
            && has_available_local(self.route, self.context.now);
        for target in window(self.route, &self.route.remote, self.context.random, from) {
            let Some(cost) = self.cost(target) else {
                continue;
            };
            if remote_cost > 0 && prefers_local && has_at_most_one_slot(target, self.context.now) {
                self.retry_by(remote_wait_until);
            } else {
                self.offer(target, cost + remote_cost);
            }
        }
    }

    fn cost(&mut self, target: &TargetRoute) -> Option<u32> {
        let until = target.stats.unavailable_until(self.context.now);
        if until > 0 {
            self.retry_by(until);
            return None;
        }
        cost(self.route, target, self.context)
    }

    fn offer(&mut self, target: &'a TargetRoute, cost: u32) {
        if self.best.is_none_or(|(lowest, _)| cost < lowest) {
            self.best = Some((cost, target));
        }
    }

    fn retry_by(&mut self, at: u64) {
        if self.retry_at == 0 || at < self.retry_at {
            self.retry_at = at;
        }
    }
}

/// Returns the maximum number of requests that this entry may have in flight to a target now.
fn limit(target: &TargetRoute, now: u64) -> u32 {
    let others = target.stats.peer_in_flight.load(Ordering::Relaxed);
    let usable = target.stats.usable_slots(target.target.slots, now);
    target.share.min(usable.saturating_sub(others))
}

fn window<'a>(
    route: &'a ServiceRoute,
    list: &'a [u32],
    random: u64,
    from: usize,
) -> impl Iterator<Item = &'a TargetRoute> {
    let len = list.len();
    let start = (random % len.max(1) as u64) as usize;
    let count = len.saturating_sub(from).min(WINDOW_LEN);
    (0..count).map(move |i| &route.targets[list[(start + from + i) % len] as usize])
}

/// Returns true if a target in the entry's own data centre is neither ejected nor backing off.
fn has_available_local(route: &ServiceRoute, now: u64) -> bool {
    let mut local = route.local.iter().take(MAX_SCANNED);
    local.any(|&index| route.targets[index as usize].stats.unavailable_until(now) == 0)
}

/// Returns true if at most one slot is free, according to the latest reports.
fn has_at_most_one_slot(target: &TargetRoute, now: u64) -> bool {
    target.stats.total_in_flight() + 1 >= target.stats.usable_slots(target.target.slots, now)
}

/// Returns the cost of one more request in thousandths of the target's slots; `None` if the target
/// has no free slot or is to be skipped.
fn cost(route: &ServiceRoute, target: &TargetRoute, context: SelectionContext) -> Option<u32> {
    let stats = &target.stats;
    let own = stats.in_flight.load(Ordering::SeqCst);
    let in_flight = stats.total_in_flight();
    if context.avoid == Some(stats_id(stats)) {
        return None;
    }
    let usable = stats.usable_slots(target.target.slots, context.now);
    if own >= target.share || in_flight >= usable {
        return None;
    }
    let slots = u32::from(target.target.slots.max(1));
    let mut cost = (in_flight + 1) * 1_000 / slots;
    cost += stats.load_hint(context.now) * LOAD_HINT_COST_PER_PERCENT;
    if stats.latency() > SLOW_RATIO * route.shared.latency.load(Ordering::Relaxed) {
        cost += SLOW_COST;
    }
    if context.suspect && stats.suspects.load(Ordering::Relaxed) > 0 {
        cost += SUSPECT_COST;
    }
    if stats.is_failing() && !context.idempotent {
        cost += SLOW_COST;
    }
    Some(cost)
}

/// Returns a number that identifies a target as long as its statistics are kept.
pub(crate) fn stats_id(stats: &Arc<TargetStats>) -> u64 {
    Arc::as_ptr(stats) as usize as u64
}
