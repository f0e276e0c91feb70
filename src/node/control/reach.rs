//! Checks which targets this node reaches, when its requests give reason to doubt it.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::events::Event;
use crate::node::control::peers::Peers;
use crate::node::counters::Counter;
use crate::node::links;
use crate::node::probe;
use crate::node::state::ShutdownStage;
use crate::node::state::State;

/// How often it is decided whether a check is due.
const TICK: Duration = Duration::from_millis(100);
/// Maximum number of doubted targets whose links are checked in one tick.
const DOUBTED_TARGETS: usize = 8;

/// Checks the links to targets until the process ends.
pub async fn check_links(state: Rc<State>, peers: Rc<Peers>) {
    while state.stage() < ShutdownStage::Ended {
        let changed = state.reach.changed.notified();
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            () = changed => {}
        }
        let now = Instant::now();
        links::expire(&state, now);
        if state.reach.has_unsent() {
            peers.send_reach(now);
        }
        check_doubted(&state, now);
        if !state.reach.is_check_due(now) {
            continue;
        }
        let targets = probe::sample(&state, None);
        if targets.is_empty() {
            continue;
        }
        let reached = probe::reaches_any(&state, &targets).await;
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

/// Begins to check the links to targets in doubt, unless the node is stranded: its links to all of
/// them are then in doubt, and a sample is checked.
fn check_doubted(state: &Rc<State>, now: Instant) {
    if state.reach.is_stranded() {
        return;
    }
    let fleet = state.fleet.borrow();
    let doubted = fleet.iter().filter(|target| {
        let usual = target.latency().map(Duration::from_secs_f64);
        !target.leaving.get() && target.link.is_check_due(usual, now)
    });
    let mut doubted: Vec<_> = doubted.collect();
    doubted.sort_by_key(|target| target.link.last_check());
    for target in doubted.into_iter().take(DOUBTED_TARGETS) {
        target.link.begin_check(now);
        let (state, target) = (state.clone(), Rc::clone(target));
        tokio::task::spawn_local(async move { probe::check(&state, &target).await });
    }
}
