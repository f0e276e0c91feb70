//! Checks whether this node reaches targets, when its requests give reason to doubt it.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::IndexedRandom;

use crate::events::Event;
use crate::ids::TargetId;
use crate::node::control::peers::Peers;
use crate::node::counters::Counter;
use crate::node::fleet::Target;
use crate::node::state::ShutdownStage;
use crate::node::state::State;

/// How often it is decided whether a check is due.
const TICK: Duration = Duration::from_millis(100);
/// Number of targets that one check connects to.
const CHECKED_TARGETS: usize = 4;

/// Checks the links to targets until the process ends.
pub async fn check_links(state: Rc<State>, peers: Rc<Peers>) {
    while state.stage() < ShutdownStage::Ended {
        tokio::time::sleep(TICK).await;
        if !state.reach.is_check_due(Instant::now()) {
            continue;
        }
        let targets = sample(&state, None);
        if targets.is_empty() {
            continue;
        }
        let reached = reaches_any(&state, &targets).await;
        if !state.reach.record_check(reached, Instant::now()) {
            continue;
        }
        if !reached {
            state.counters.add(Counter::Strandings);
        }
        state.log.record(Event::LinksChanged, |line| {
            line.text("reached", if reached { "yes" } else { "no" });
            line.number("targets", targets.len() as u64);
        });
        peers.update_relays(Instant::now());
        peers.send_heartbeat_to_all();
        state.routing_changed.notify_waiters();
    }
}

/// Returns true if this node reaches another target than this one, or if there is no other. Otherwise
/// its own links may be lost, and say nothing about the target.
pub async fn reaches_others(state: &State, target: &TargetId) -> bool {
    let targets = sample(state, Some(target));
    targets.is_empty() || reaches_any(state, &targets).await
}

/// Returns some of the targets that are not leaving, of any service, without `excluded`.
fn sample(state: &State, excluded: Option<&TargetId>) -> Vec<Rc<Target>> {
    let fleet = state.fleet.borrow();
    let staying = fleet.iter().filter(|target| !target.leaving.get());
    let staying = staying.filter(|target| Some(&target.entry.id) != excluded);
    let staying: Vec<_> = staying.collect();
    let chosen = staying.choose_multiple(&mut rand::rng(), CHECKED_TARGETS);
    chosen.map(|target| Rc::clone(target)).collect()
}

/// Returns true as soon as a connection to one of the targets is open; keeps it for requests.
async fn reaches_any(state: &State, targets: &[Rc<Target>]) -> bool {
    let opening = targets.iter().map(|target| state.pool.open(target));
    let mut opening: FuturesUnordered<_> = opening.collect();
    while let Some(opened) = opening.next().await {
        if let Ok(connection) = opened {
            state.pool.put(connection, None, Instant::now());
            return true;
        }
    }
    false
}
