//! Opens connections to targets, to find out which of them this node reaches.

use std::rc::Rc;
use std::time::Instant;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::seq::IndexedRandom;

use crate::ids::TargetId;
use crate::node::fleet::Target;
use crate::node::links;
use crate::node::state::State;

/// Number of targets in a sample.
const SAMPLE_SIZE: usize = 4;

/// Opens a connection to a target, records whether that succeeds, and keeps the connection if there
/// is no other for requests.
pub async fn check(state: &State, target: &Rc<Target>) -> bool {
    let begun = Instant::now();
    let opened = state.pool.open(target).await;
    let now = Instant::now();
    match opened {
        Ok(connection) => {
            links::record_connected(state, target, now);
            if !state.pool.has_idle(target) {
                state.pool.put(connection, None, now);
            }
            true
        }
        Err(error) => {
            links::record_failure(state, target, &error, begun, now);
            false
        }
    }
}

/// Returns true if this node reaches another target than this one, or if there is no other. Otherwise
/// its own links may be lost, and say nothing about the target.
pub async fn reaches_others(state: &State, target: &TargetId) -> bool {
    let targets = sample(state, Some(target));
    targets.is_empty() || reaches_any(state, &targets).await
}

/// Returns some of the targets that are not leaving, of any service, without `excluded`.
pub fn sample(state: &State, excluded: Option<&TargetId>) -> Vec<Rc<Target>> {
    let fleet = state.fleet.borrow();
    let staying = fleet.iter().filter(|target| !target.leaving.get());
    let staying = staying.filter(|target| Some(&target.entry.id) != excluded);
    let staying: Vec<_> = staying.collect();
    let chosen = staying.choose_multiple(&mut rand::rng(), SAMPLE_SIZE);
    chosen.map(|target| Rc::clone(target)).collect()
}

/// Returns true as soon as a connection to one of the targets is open; keeps it for requests.
pub async fn reaches_any(state: &State, targets: &[Rc<Target>]) -> bool {
    let checks = targets.iter().map(|target| check(state, target));
    let mut checks: FuturesUnordered<_> = checks.collect();
    while let Some(reached) = checks.next().await {
        if reached {
            return true;
        }
    }
    false
}
