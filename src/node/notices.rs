//! What targets announce of themselves in their responses: that they are shutting down, how many
//! requests per second they accept, and how long they want none. The list may show the first later, or
//! not at all while the store is unavailable, and never shows the others.

use std::time::Duration;
use std::time::Instant;

use strum::IntoStaticStr;

use crate::events::Event;
use crate::node::counters::Counter;
use crate::node::fleet::Target;
use crate::node::limit::Evidence;
use crate::node::limit::InvalidRate;
use crate::node::limit::RequestRate;
use crate::node::pause::InvalidPause;
use crate::node::state::State;
use crate::target_load::InvalidLoad;
use crate::target_load::StatedLoad;

/// Where a node learned what a target announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NoticeSource {
    /// A response to a request.
    Response,
    /// A reply to a grant or release.
    OrderReply,
    /// Another node that read such a response.
    OtherNode,
}

/// Sends no more requests to a target that announced that it is shutting down. This holds for its
/// process until that is removed from the list; another process with its id or address is another
/// target.
pub fn record_leaving(state: &State, target: &Target, source: NoticeSource) {
    if !target.record_leaving() {
        return;
    }
    state.pool.remove_target(target);
    state.counters.add(Counter::LeavingAnnounced);
    state.log.record(Event::LeavingAnnounced, |line| {
        line.text("target", target.entry.id.as_str());
        line.number("incarnation", target.entry.incarnation);
        line.text("service", target.entry.service.as_str());
        line.text("source", source.into());
    });
    state.routing_changed.notify_waiters();
}

/// Records the limit that a target named in a response just now, or logs that its value is invalid.
pub fn record_named_limit(
    state: &State,
    target: &Target,
    rate: Result<RequestRate, InvalidRate>,
    source: NoticeSource,
) {
    match rate {
        Ok(rate) => {
            let evidence = Evidence {
                rate: Some(rate),
                at: Instant::now(),
            };
            record_limit(state, target, evidence, source);
        }
        Err(error) => state.log.record(Event::FieldInvalid, |line| {
            line.text("target", target.entry.id.as_str());
            line.text("field", state.conf.headers.limit);
            line.text("source", source.into());
            line.show("error", error);
        }),
    }
}

/// Records the load that a target stated in a response just now, or logs that its value is invalid.
pub fn record_load(
    state: &State,
    target: &Target,
    load: Result<StatedLoad, InvalidLoad>,
    now: Instant,
) {
    match load {
        Ok(load) => target.stated.record(load, now),
        Err(error) => state.log.record(Event::FieldInvalid, |line| {
            line.text("target", target.entry.id.as_str());
            line.text("field", state.conf.headers.load);
            line.text("source", NoticeSource::Response.into());
            line.show("error", error);
        }),
    }
}

/// Records the pause that a target asked for in a response just now, or logs that its value is invalid.
pub fn record_pause(state: &State, target: &Target, pause: Result<Duration, InvalidPause>) {
    let pause = match pause {
        Ok(pause) => pause,
        Err(error) => {
            return state.log.record(Event::FieldInvalid, |line| {
                line.text("target", target.entry.id.as_str());
                line.text("field", "retry-after");
                line.text("source", NoticeSource::Response.into());
                line.show("error", error);
            });
        }
    };
    let now = Instant::now();
    if pause.is_zero() || !target.pause.record(pause, now, rand::random()) {
        return;
    }
    state.counters.add(Counter::Pauses);
    log_pause(state, target, "begins", pause);
}

/// Logs the pauses of targets that have ended.
pub fn end_pauses(state: &State, now: Instant) {
    let fleet = state.fleet.borrow();
    let ended = fleet.iter().filter(|target| target.pause.take_end(now));
    let mut count = 0;
    for target in ended {
        log_pause(state, target, "ends", Duration::ZERO);
        count += 1;
    }
    if count > 0 {
        state.routing_changed.notify_waiters();
    }
}

fn log_pause(state: &State, target: &Target, change: &'static str, left: Duration) {
    state.log.record(Event::TargetPaused, |line| {
        line.text("target", target.entry.id.as_str());
        line.number("incarnation", target.entry.incarnation);
        line.text("service", target.entry.service.as_str());
        line.text("change", change);
        line.number("left_ms", left.as_millis() as u64);
    });
}

/// Records evidence of a target's limit, or of its absence.
pub fn record_limit(state: &State, target: &Target, evidence: Evidence, source: NoticeSource) {
    let before = target.limit.rate();
    if !target.limit.merge(evidence) {
        return;
    }
    if source != NoticeSource::OtherNode {
        state.limits.add_change(target.process_tag(), evidence);
    }
    // Requests that wait for a permit under the previous limit may be sent earlier.
    target.end_withholding();
    state.counters.add(Counter::LimitChanges);
    state.log.record(Event::LimitChanged, |line| {
        line.text("target", target.entry.id.as_str());
        line.number("incarnation", target.entry.incarnation);
        line.text("service", target.entry.service.as_str());
        if let Some(before) = before {
            line.show("before", before);
        }
        if let Some(rate) = evidence.rate {
            line.show("rate", rate);
        }
        line.text("source", source.into());
        let age = evidence.at.elapsed();
        line.number("age_ms", age.as_millis() as u64);
    });
}
