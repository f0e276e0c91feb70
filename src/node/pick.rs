//! Which target of a service takes a request.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::ids::DataCentre;
use crate::ids::TargetId;
use crate::node::fleet::Target;
use crate::node::rules::Kind;

/// Cost of a target in another data centre, in mean service times: its answers are paid by the
/// byte and come later.
const FAR_COST: f64 = 0.5;
/// The same for large answers.
const FAR_DOWNLOAD_COST: f64 = 4.0;
/// Cost of a target whose slots are nearly all busy, in mean service times.
const BUSY_COST: f64 = 0.4;
/// Cost of one full round of waiting at a target, in mean service times.
const QUEUE_COST: f64 = 1.5;
/// Cost of a target that fails every request, in mean service times.
const FAILING_COST: f64 = 8.0;
/// Slowness of a target that has just started.
const COLD_FACTOR: f64 = 2.0;
/// Slowness of a target that has answered nothing yet: below the mean, so that it is tried.
const UNKNOWN_SPEED: f64 = 0.6;
/// Random part of the cost, so that nodes with the same view do not all choose alike.
const JITTER: f64 = 0.1;
/// Part of the objective in which a target should answer the last request that it takes.
const ROOM_PART: f64 = 0.7;
/// Requests in flight at a target over its slots, at least and at most, and when its speed is not
/// known; more than that would wait too long there.
const LEAST_LOAD: f64 = 1.0;
const MOST_LOAD: f64 = 3.0;
const USUAL_LOAD: f64 = 1.5;

/// What the choice depends on besides the targets.
#[derive(Debug)]
pub struct PickContext<'a> {
    /// The present.
    pub now: Instant,
    /// Where the node runs.
    pub data_centre: &'a DataCentre,
    /// What may be repeated.
    pub kind: Kind,
    /// The time within which an answer has its full value.
    pub objective: Duration,
    /// Targets that the request was sent to before.
    pub tried: &'a [TargetId],
    /// Most connections of this node to one target.
    pub max_connections: u32,
}

/// Returns the best target with room; `random` gives numbers from 0 to 1.
pub fn choose(
    targets: &[Rc<Target>],
    choice: &PickContext<'_>,
    mut random: impl FnMut() -> f64,
) -> Option<Rc<Target>> {
    let mean = mean_latency(targets);
    let fit = |target: &&Rc<Target>| is_fit(target, choice);
    let open: Vec<_> = targets.iter().filter(fit).collect();
    let all_shut = open.iter().all(|target| target.is_ejected(choice.now));
    let usable = open
        .into_iter()
        .filter(|target| !target.is_ejected(choice.now) || all_shut && choice.kind.is_idempotent());
    let costed = usable.map(|target| (cost(target, choice, mean) + JITTER * random(), target));
    let best = costed.min_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, target)| target.clone())
}

/// Returns whether any target is in service, whether it has room or not.
pub fn has_any(targets: &[Rc<Target>]) -> bool {
    targets.iter().any(|target| !target.leaving.get())
}

/// Returns whether a target has room for one more request; `sharers` is the number of data centres
/// whose requests it takes and that do not know each other's.
pub fn has_room(target: &Target, objective: Duration, sharers: usize) -> bool {
    let load = match target.service_time() {
        Some(work) => {
            let rounds = ROOM_PART * objective.as_secs_f64() / work;
            rounds.clamp(LEAST_LOAD, MOST_LOAD)
        }
        None => USUAL_LOAD,
    };
    let room = f64::from(target.entry.slots.max(1)) * load / sharers.max(1) as f64;
    target.load() < room.ceil() as u32
}

fn is_fit(target: &Target, choice: &PickContext<'_>) -> bool {
    !target.leaving.get()
        && !choice.tried.contains(&target.entry.id)
        && target.in_flight.get() < choice.max_connections
        && has_room(target, choice.objective, 1)
}

fn cost(target: &Target, choice: &PickContext<'_>, mean: f64) -> f64 {
    let slots = f64::from(target.entry.slots.max(1));
    let load = f64::from(target.load());
    let waits = (load + 1.0 - slots).max(0.0) / slots;
    let busy = (load / slots).min(1.0);
    let mut speed = match target.latency() {
        Some(latency) if mean > 0.0 => latency / mean,
        Some(_) => 1.0,
        None => UNKNOWN_SPEED,
    };
    if target.is_warming_up(choice.now) {
        speed *= COLD_FACTOR;
    }
    let far = match choice.kind {
        _ if target.entry.data_centre == *choice.data_centre => 0.0,
        Kind::Download => FAR_DOWNLOAD_COST,
        Kind::Safe | Kind::Unsafe => FAR_COST,
    };
    speed * (1.0 + BUSY_COST * busy * busy + QUEUE_COST * waits)
        + far
        + FAILING_COST * target.failure_rate()
}

fn mean_latency(targets: &[Rc<Target>]) -> f64 {
    let known = targets.iter().filter_map(|target| target.latency());
    let (sum, count) = known.fold((0.0, 0u32), |(sum, count), latency| {
        (sum + latency, count + 1)
    });
    sum / f64::from(count.max(1))
}
