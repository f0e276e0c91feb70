//! Carries out what [`crate::evacuation`] decides: records what reads and other nodes show, and states
//! which targets may get requests.

use std::time::Instant;

use crate::evacuation::Access;
use crate::evacuation::Change;
use crate::evacuation::ChangeKind;
use crate::evacuation::Merged;
use crate::evacuation::Report;
use crate::evacuation::Rows;
use crate::events::Event;
use crate::ids::DataCentre;
use crate::node::counters::Counter;
use crate::node::fleet::Target;
use crate::node::keys::plan::GrantScope;
use crate::node::platform::Cursor;
use crate::node::state::State;

/// Where a node learned of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum ChangeSource {
    /// Its own read of the operators' table.
    Table,
    /// Another node.
    OtherNode,
    /// The time that has passed.
    Clock,
}

/// Returns true if a request may be sent to a target; `is_keyed` is true if the target owns its key.
pub fn may_send(state: &State, target: &Target, is_keyed: bool, now: Instant) -> bool {
    if target.is_relay {
        return true;
    }
    match access(state, target, now) {
        Access::All => true,
        Access::Keyed => is_keyed,
        Access::None => false,
    }
}

/// Returns which grants a target may be given.
pub fn grant_scope(state: &State, target: &Target, now: Instant) -> GrantScope {
    match access(state, target, now) {
        Access::All => GrantScope::All,
        Access::Keyed => GrantScope::Renewals,
        Access::None => GrantScope::None,
    }
}

fn access(state: &State, target: &Target, now: Instant) -> Access {
    let evacuations = state.evacuations.borrow();
    evacuations.access(&target.entry.data_centre, now)
}

/// Records the rows that this node read; returns the report for the other nodes if an evacuation began
/// or ended.
pub fn record_rows(state: &State, cursor: Cursor, rows: Rows, now: Instant) -> Option<Report> {
    let mut evacuations = state.evacuations.borrow_mut();
    let changes = evacuations.record_rows(cursor.into(), rows, now);
    let report = evacuations.report(now);
    drop(evacuations);
    handle_changes(state, &changes, ChangeSource::Table, now);
    report.filter(|_| !changes.is_empty())
}

/// Records what another node reported; returns false if the table has to be read to learn the list.
pub fn merge(state: &State, report: &Report, now: Instant) -> bool {
    let merged = state.evacuations.borrow_mut().merge(report, now);
    match merged {
        Merged::Known => true,
        Merged::Incomplete => false,
        Merged::Applied(changes) => {
            handle_changes(state, &changes, ChangeSource::OtherNode, now);
            true
        }
    }
}

/// Records the changes that are due by time.
pub fn expire(state: &State, now: Instant) {
    let changes = state.evacuations.borrow_mut().expire(now);
    handle_changes(state, &changes, ChangeSource::Clock, now);
}

fn handle_changes(state: &State, changes: &[Change], source: ChangeSource, now: Instant) {
    for Change { data_centre, kind } in changes {
        match kind {
            ChangeKind::Begins => state.counters.add(Counter::EvacuationsBegun),
            ChangeKind::Ends => {
                state.counters.add(Counter::EvacuationsEnded);
                record_cold(state, data_centre, now);
            }
            ChangeKind::KeyedEnds => {}
        }
        state.log.record(Event::EvacuationChanged, |line| {
            line.text("data_centre", data_centre.as_str());
            line.text("change", kind.into());
            line.text("source", source.into());
        });
    }
    if !changes.is_empty() {
        state.routing_changed.notify_waiters();
    }
}

/// Records that the targets of a data centre whose evacuation has ended may be cold, before their list
/// entries say so.
fn record_cold(state: &State, data_centre: &DataCentre, now: Instant) {
    let Some(router) = state.router() else {
        return;
    };
    let services = &router.rules().services;
    let fleet = state.fleet.borrow();
    let targets = fleet.iter();
    for target in targets.filter(|target| target.entry.data_centre == *data_centre) {
        let rule = services.get(&target.entry.service);
        if let Some(cold_start) = rule.and_then(|rule| rule.cold_start.as_ref()) {
            target.record_cold(now + cold_start.time);
        }
    }
}
