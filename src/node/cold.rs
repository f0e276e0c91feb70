//! What a node knows of cold targets, and the rate that applies to them.

use std::time::Duration;
use std::time::Instant;

use crate::cold_start;
use crate::cold_start::Audience;
use crate::cold_start::Source;
use crate::events::Event;
use crate::ids::ServiceId;
use crate::node::counters::Counter;
use crate::node::fleet::Target;
use crate::node::limit::ColdLimit;
use crate::node::limit::RequestRate;
use crate::node::state::State;

/// Returns true if the targets of a service tolerate only a limited rate while they are cold.
pub fn has_cold_start(state: &State, service: &ServiceId) -> bool {
    permit_rate(state, service).is_some()
}

/// Returns the rate at which permits are issued for a target because it is cold, with the time left.
pub fn limit(state: &State, target: &Target, now: Instant) -> Option<ColdLimit> {
    let left = target.cold_left(now)?;
    let rate = permit_rate(state, &target.entry.service)?;
    Some(ColdLimit { rate, left })
}

fn permit_rate(state: &State, service: &ServiceId) -> Option<RequestRate> {
    let router = state.router()?;
    let rule = router.rules().services.get(service)?.cold_start?;
    let excess = state.conf.cold_excess;
    let rate = cold_start::issue_rate(rule.rate, excess.factor, excess.slack);
    RequestRate::try_from(rate).ok()
}

/// Records that a target is cold for another `left`.
pub fn record(state: &State, target: &Target, left: Duration, source: Source, now: Instant) {
    if target.record_cold(now + left) {
        handle_report(state, target, source, now);
    }
}

/// Logs that a target is cold, or for longer than was known, and reports it to other nodes.
pub fn handle_report(state: &State, target: &Target, source: Source, now: Instant) {
    let Some(limit) = limit(state, target, now) else {
        return;
    };
    let audience = match source {
        Source::Entry if state.is_reader.get() => Some(Audience::DataCentre),
        Source::Health => Some(Audience::All),
        Source::Entry | Source::OtherNode => None,
    };
    if let Some(audience) = audience {
        let until = now + limit.left;
        state
            .limits
            .report_cold(target.process_tag(), until, audience);
    }
    state.counters.add(Counter::TargetsCold);
    state.log.record(Event::TargetCold, |line| {
        line.text("target", target.entry.id.as_str());
        line.number("incarnation", target.entry.incarnation);
        line.text("service", target.entry.service.as_str());
        line.number("left_ms", limit.left.as_millis() as u64);
        line.show("rate", limit.rate);
        line.text("source", source.into());
    });
}
