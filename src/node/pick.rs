//! Selects the target for a request by estimated cost.
//!
//! Costs are in units of the mean response time of the service's targets.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::ids::DataCentre;
use crate::ids::TargetId;
use crate::node::fleet::Target;
use crate::node::rules::RequestKind;

/// Cost of a target in another data centre: traffic between data centres is billed by the byte, and
/// responses take longer.
const REMOTE_COST: f64 = 0.5;
/// Cost of a target in another data centre for requests with large responses.
const REMOTE_DOWNLOAD_COST: f64 = 4.0;
/// Cost of a target with all slots busy; it grows with the square of the utilisation.
const BUSY_COST: f64 = 0.4;
/// Cost of a queue of one request per slot.
const QUEUE_COST: f64 = 1.5;
/// Cost of a target with a failure rate of 1.
const FAILURE_COST: f64 = 8.0;
/// Cost of a target that names a limit or is cold, so that others are preferred to it.
const LIMIT_COST: f64 = 0.5;
/// Factor on the latency of a target that has just started.
const WARM_UP_FACTOR: f64 = 2.0;
/// Relative latency assumed for a target without samples: below the mean, so that it gets requests.
const UNKNOWN_LATENCY: f64 = 0.6;
/// Maximum random cost, so that nodes with the same data do not all select the same target.
const JITTER: f64 = 0.1;
/// Fraction of the objective within which a target should respond to every request that it accepts,
/// the last one included.
const OBJECTIVE_FRACTION: f64 = 0.7;
/// Limits of the requests in flight per slot of a target; more would queue there for too long.
/// `DEFAULT_LOAD` applies while the service time is unknown.
const MIN_LOAD: f64 = 1.0;
const MAX_LOAD: f64 = 3.0;
const DEFAULT_LOAD: f64 = 1.5;

/// The request and node properties that affect the selection.
#[derive(Debug)]
pub struct PickContext<'a> {
    /// Current time.
    pub now: Instant,
    /// Data centre of this node.
    pub data_centre: &'a DataCentre,
    /// Whether the request may be retried, and the size of its response.
    pub kind: RequestKind,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Targets to which the request was already sent; they are not selected again.
    pub tried: &'a [TargetId],
    /// Maximum connections from this node to one target.
    pub max_connections: u32,
    /// Whether cold targets of the service tolerate only a limited rate of requests.
    pub has_cold_start: bool,
}

/// Returns the target with the lowest cost among those with capacity, or `None`. `random` returns
/// numbers from 0 to 1.
///
/// Ejected targets are used only if all are ejected and the request is idempotent. A request that was sent
/// before goes to a cold target only if no other has capacity.
pub fn choose(
    targets: &[Rc<Target>],
    context: &PickContext<'_>,
    mut random: impl FnMut() -> f64,
) -> Option<Rc<Target>> {
    let mean = mean_latency(targets);
    let eligible = |target: &&Rc<Target>| is_eligible(target, context);
    let candidates: Vec<_> = targets.iter().filter(eligible).collect();
    let all_ejected = candidates
        .iter()
        .all(|target| target.is_ejected(context.now));
    let usable = candidates.into_iter().filter(|target| {
        !target.is_ejected(context.now) || all_ejected && context.kind.is_idempotent()
    });
    let usable: Vec<_> = usable.collect();
    let any_warm = usable.iter().any(|target| !is_cold(target, context));
    let prefers_warm = any_warm && !context.tried.is_empty();
    let usable = usable
        .into_iter()
        .filter(|target| !prefers_warm || !is_cold(target, context));
    let costed = usable.map(|target| (cost(target, context, mean) + JITTER * random(), target));
    let best = costed.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, target)| target.clone())
}

/// Returns true if any target is not leaving, with or without capacity.
pub fn has_any(targets: &[Rc<Target>]) -> bool {
    targets.iter().any(|target| !target.leaving.get())
}

/// Returns true if all targets that are not leaving have used up their limits, are cold or asked for a pause.
pub fn all_withheld(targets: &[Rc<Target>], now: Instant) -> bool {
    let mut staying = targets.iter().filter(|target| !target.leaving.get());
    staying.all(|target| target.is_withheld(now))
}

/// Returns true if a target has capacity for one more request. `sharers` is the number of data
/// centres that send requests to it. They do not know each other's load, so each uses an equal share
/// and, since their peaks seldom coincide, the standard deviation of a load of that size.
pub fn has_capacity(target: &Target, objective: Duration, sharers: usize) -> bool {
    let capacity = capacity(target, objective);
    let limit = match sharers {
        0 | 1 => capacity,
        _ => {
            let share = capacity / sharers as f64;
            share + share.sqrt()
        }
    };
    target.load() < limit.ceil() as u32
}

/// Returns true if a target has room for one more request: by the load that it stated recently, which
/// includes the requests of all nodes, or else by what this node knows of the load and by refusals. Only
/// one of the two decides, so that they do not correct the same error in turn.
pub fn has_room(target: &Target, objective: Duration, sharers: usize, now: Instant) -> bool {
    match target.stated_load(now) {
        Some(load) => load < capacity(target, objective).ceil() as u32,
        None => has_capacity(target, objective, sharers) && target.takes_more(now),
    }
}

/// Returns the number of requests that a target answers in time if they arrive together.
fn capacity(target: &Target, objective: Duration) -> f64 {
    let load = match target.service_time() {
        Some(service_time) => {
            let load = OBJECTIVE_FRACTION * objective.as_secs_f64() / service_time;
            load.clamp(MIN_LOAD, MAX_LOAD)
        }
        None => DEFAULT_LOAD,
    };
    f64::from(target.entry.slots.max(1)) * load
}

fn is_eligible(target: &Target, context: &PickContext<'_>) -> bool {
    !target.leaving.get()
        && !context.tried.contains(&target.entry.id)
        && !target.is_withheld(context.now)
        && target.in_flight.get() < context.max_connections
        && has_room(target, context.objective, 1, context.now)
}

/// Returns true if the target gets requests only at a limited rate, because it is cold.
fn is_cold(target: &Target, context: &PickContext<'_>) -> bool {
    context.has_cold_start && target.is_warming_up(context.now)
}

fn cost(target: &Target, context: &PickContext<'_>, mean: f64) -> f64 {
    let slots = f64::from(target.entry.slots.max(1));
    let load = target.stated_load(context.now);
    let load = f64::from(load.unwrap_or_else(|| target.load()));
    let queued = (load + 1.0 - slots).max(0.0) / slots;
    let utilisation = (load / slots).min(1.0);
    let mut relative_latency = match target.latency() {
        Some(latency) if mean > 0.0 => latency / mean,
        Some(_) => 1.0,
        None => UNKNOWN_LATENCY,
    };
    if target.is_warming_up(context.now) {
        relative_latency *= WARM_UP_FACTOR;
    }
    if let Some(pace) = target.stated.pace(context.now) {
        relative_latency *= pace;
    }
    let remote = match context.kind {
        _ if target.entry.data_centre == *context.data_centre => 0.0,
        RequestKind::Download => REMOTE_DOWNLOAD_COST,
        RequestKind::Safe | RequestKind::Unsafe => REMOTE_COST,
    };
    let limited = match target.limit.rate() {
        Some(_) => LIMIT_COST,
        None if is_cold(target, context) => LIMIT_COST,
        None => 0.0,
    };
    relative_latency * (1.0 + BUSY_COST * utilisation * utilisation + QUEUE_COST * queued)
        + remote
        + limited
        + FAILURE_COST * target.failure_rate()
}

fn mean_latency(targets: &[Rc<Target>]) -> f64 {
    let known = targets.iter().filter_map(|target| target.latency());
    let (sum, count) = known.fold((0.0, 0u32), |(sum, count), latency| {
        (sum + latency, count + 1)
    });
    sum / f64::from(count.max(1))
}
