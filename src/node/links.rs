//! Records what requests, orders and checks show of the links to targets, and logs what this node
//! comes to believe, or ceases to believe, of them.

use std::io;
use std::io::ErrorKind;
use std::time::Instant;

use rustix::io::Errno;

use crate::events::Event;
use crate::node::counters::Counter;
use crate::node::fleet::Target;
use crate::node::reach::BeliefChange;
use crate::node::state::State;

/// Records that a request or an order was sent to a target.
pub fn record_sent(state: &State, target: &Target, now: Instant) {
    state.reach.record_sent(now);
    target.link.record_sent(now);
}

/// Records that a target responded.
pub fn record_response(state: &State, target: &Target, now: Instant) {
    state.reach.record_response();
    record_change(state, target, target.link.record_response(now), now);
}

/// Records that a connection to a target was opened.
pub fn record_connected(state: &State, target: &Target, now: Instant) {
    state.reach.record_connected();
    record_change(state, target, target.link.record_connected(now), now);
}

/// Records that no connection to a target could be opened in an attempt that began at `begun`.
pub fn record_failure(
    state: &State,
    target: &Target,
    error: &io::Error,
    begun: Instant,
    now: Instant,
) {
    if is_local(error) {
        // The failure says nothing about the target.
        return;
    }
    state.reach.record_unreachable(&target.entry.id);
    let refused = error.kind() == ErrorKind::ConnectionRefused;
    let change = target.link.record_failure(refused, begun, now);
    record_change(state, target, change, now);
}

/// Returns true if requests can be sent to a target from this node, as far as it knows: no evidence
/// says that the target is unreachable, or a connection is open that has just carried a response.
pub fn can_send(state: &State, target: &Target, now: Instant) -> bool {
    let link = &target.link;
    !link.is_unreachable(now) || link.is_carrying(now) && state.pool.has_idle(target)
}

/// Ends beliefs for which there was no evidence for some time, and counts those that are left.
pub fn expire(state: &State, now: Instant) {
    state.reach.expire_reports(now);
    if !state.reach.any_unreachable() {
        return;
    }
    let fleet = state.fleet.borrow();
    for target in fleet.iter() {
        record_change(state, target, target.link.expire(now), now);
    }
    let believed = fleet.iter().filter(|t| t.link.is_unreachable(now));
    state.reach.set_believed(believed.count());
}

/// Returns true if the process has run out of descriptors or ports.
fn is_local(error: &io::Error) -> bool {
    let code = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(
        code,
        Some(Errno::MFILE | Errno::NFILE | Errno::ADDRNOTAVAIL | Errno::NOBUFS | Errno::NOMEM)
    )
}

fn record_change(state: &State, target: &Target, change: Option<BeliefChange>, now: Instant) {
    let Some(change) = change else {
        return;
    };
    state.reach.record_change(target.process_tag(), change);
    if !target.link.takes_requests(now) {
        state.pool.remove_target(target);
    }
    state.routing_changed.notify_waiters();
    let (reached, belief) = match change {
        BeliefChange::Gained(belief) => {
            state.counters.add(Counter::ReachLost);
            ("no", belief)
        }
        BeliefChange::Ended(belief, _) => {
            state.counters.add(Counter::ReachRegained);
            ("yes", belief)
        }
    };
    state.log.record(Event::ReachChanged, |line| {
        line.text("target", target.entry.id.as_str());
        line.number("incarnation", target.entry.incarnation);
        line.text("service", target.entry.service.as_str());
        line.text("reached", reached);
        line.text("evidence", belief.evidence.into());
        if let BeliefChange::Ended(_, end) = change {
            line.text("end", end.into());
        }
        let age = now.saturating_duration_since(belief.since);
        line.number("age_ms", age.as_millis() as u64);
    });
}
