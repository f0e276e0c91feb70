//! The choice among the targets of an unkeyed service.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::route::stats::Stats;
use crate::route::table::ServiceRoute;
use crate::route::table::TargetRoute;

/// Targets looked at in each part of the list before the rest is tried.
const WINDOW: usize = 8;
/// Most targets looked at for one decision.
const MAX_LOOKS: usize = 128;
/// Added to a target's cost, in thousandths of its slots, for each per cent of distance.
const FAR_COST_PER_PERCENT: u32 = 10;
/// How long a call leaves the last free slot of a target far away to entries near it.
const FAR_PATIENCE_MICROS: u64 = 20_000;
const SLOW_COST: u32 = 2_000;
const SLOW_RATIO: u64 = 3;
const HINT_COST_PER_PERCENT: u32 = 2;
const SUSPECT_COST: u32 = 4_000;

/// What a choice depends on besides the targets' observations.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Choice {
    /// The time, in microseconds since the router's epoch.
    pub(crate) now: u64,
    /// A random number.
    pub(crate) random: u64,
    /// A target to leave out while there is another: the last attempt failed there.
    pub(crate) avoid: Option<u64>,
    /// Whether a request like this one crashed a target before.
    pub(crate) suspect: bool,
    /// Whether the request may run twice; others do not try out a target that failed.
    pub(crate) idempotent: bool,
    /// When the call arrived, in microseconds since the router's epoch.
    pub(crate) since: u64,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoChoice {
    /// When a target opens again without any other event, in microseconds; 0 for never.
    pub(crate) retry_at: u64,
}

/// Takes a place at the best target that has a free slot and a free connection.
pub(crate) fn choose(route: &ServiceRoute, choice: Choice) -> Result<&TargetRoute, NoChoice> {
    let per_cent = 100u32.saturating_sub(route.service.spread_percent.into());
    let far_cost = FAR_COST_PER_PERCENT * per_cent;
    let longest = route.near.len().max(route.far.len()).min(MAX_LOOKS);
    let mut search = Search::new(route, choice);
    let mut from = 0;
    while from < longest {
        search.look_near(from);
        if search.best.is_none_or(|(least, _)| least > far_cost) {
            search.look_far(from, far_cost);
        }
        match search.best.take() {
            Some((_, target)) if target.stats.enter(limit(target, choice.now)) => {
                return Ok(target);
            }
            Some(_) => {}
            None => from += WINDOW,
        }
    }
    let retry_at = search.retry_at;
    Err(NoChoice { retry_at })
}

/// One decision's way through the targets.
struct Search<'a> {
    route: &'a ServiceRoute,
    choice: Choice,
    best: Option<(u32, &'a TargetRoute)>,
    retry_at: u64,
}

impl<'a> Search<'a> {
    fn new(route: &'a ServiceRoute, choice: Choice) -> Self {
        Self {
            route,
            choice,
            best: None,
            retry_at: 0,
        }
    }

    fn look_near(&mut self, from: usize) {
        for target in window(self.route, &self.route.near, self.choice.random, from) {
            if let Some(cost) = self.cost(target) {
                self.offer(target, cost);
            }
        }
    }

    fn look_far(&mut self, from: usize, far_cost: u32) {
        let patient_until = self.choice.since + FAR_PATIENCE_MICROS;
        let patient = self.choice.now < patient_until && has_open_near(self.route, self.choice.now);
        for target in window(self.route, &self.route.far, self.choice.random, from) {
            let Some(cost) = self.cost(target) else {
                continue;
            };
            if far_cost > 0 && patient && is_last_slot(target, self.choice.now) {
                self.retry_by(patient_until);
            } else {
                self.offer(target, cost + far_cost);
            }
        }
    }

    fn cost(&mut self, target: &TargetRoute) -> Option<u32> {
        let shut = target.stats.shut_until(self.choice.now);
        if shut > 0 {
            self.retry_by(shut);
            return None;
        }
        cost(self.route, target, self.choice)
    }

    fn offer(&mut self, target: &'a TargetRoute, cost: u32) {
        if self.best.is_none_or(|(least, _)| cost < least) {
            self.best = Some((cost, target));
        }
    }

    fn retry_by(&mut self, at: u64) {
        if self.retry_at == 0 || at < self.retry_at {
            self.retry_at = at;
        }
    }
}

/// Returns the requests that this entry may have at a target now.
fn limit(target: &TargetRoute, now: u64) -> u32 {
    let others = target.stats.peers.load(Ordering::Relaxed);
    let room = target.stats.ramp(target.target.slots, now);
    target.share.min(room.saturating_sub(others))
}

fn window<'a>(
    route: &'a ServiceRoute,
    list: &'a [u32],
    random: u64,
    from: usize,
) -> impl Iterator<Item = &'a TargetRoute> {
    let len = list.len();
    let start = (random % len.max(1) as u64) as usize;
    let looks = len.saturating_sub(from).min(WINDOW);
    (0..looks).map(move |i| &route.targets[list[(start + from + i) % len] as usize])
}

/// Returns whether a target in the entry's own data centre is in use.
fn has_open_near(route: &ServiceRoute, now: u64) -> bool {
    let mut near = route.near.iter().take(MAX_LOOKS);
    near.any(|&index| route.targets[index as usize].stats.shut_until(now) == 0)
}

/// Returns whether no more than one slot is free as far as known.
fn is_last_slot(target: &TargetRoute, now: u64) -> bool {
    target.stats.busy() + 1 >= target.stats.ramp(target.target.slots, now)
}

/// Returns the cost of one more request in thousandths of the target's slots; `None` when an open
/// target takes none now.
fn cost(route: &ServiceRoute, target: &TargetRoute, choice: Choice) -> Option<u32> {
    let stats = &target.stats;
    let own = stats.in_flight.load(Ordering::SeqCst);
    let busy = stats.busy();
    if choice.avoid == Some(stats_id(stats)) {
        return None;
    }
    let room = stats.ramp(target.target.slots, choice.now);
    if own >= target.share || busy >= room {
        return None;
    }
    let slots = u32::from(target.target.slots.max(1));
    let mut cost = (busy + 1) * 1_000 / slots;
    cost += stats.hint(choice.now) * HINT_COST_PER_PERCENT;
    if stats.latency() > SLOW_RATIO * route.shared.latency.load(Ordering::Relaxed) {
        cost += SLOW_COST;
    }
    if choice.suspect && stats.suspects.load(Ordering::Relaxed) > 0 {
        cost += SUSPECT_COST;
    }
    if stats.is_failing() && !choice.idempotent {
        cost += SLOW_COST;
    }
    Some(cost)
}

/// Returns a number that tells a target from all others while it is observed.
pub(crate) fn stats_id(stats: &Arc<Stats>) -> u64 {
    Arc::as_ptr(stats) as usize as u64
}
