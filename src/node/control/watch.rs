//! Follows the rules and the targets.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::time::timeout;

use crate::events::Event;
use crate::ids::TargetId;
use crate::node::control::peers::Peers;
use crate::node::counters::Counter;
use crate::node::datagram::ListDigest;
use crate::node::fleet::FleetChange;
use crate::node::fleet::TargetUpdate;
use crate::node::list_schedule;
use crate::node::platform::Cursor;
use crate::node::platform::Platform;
use crate::node::platform::PlatformError;
use crate::node::platform::TargetListUpdate;
use crate::node::rules::Rules;
use crate::node::state::ShutdownStage;
use crate::node::state::State;

/// How long one call of the reader of a data centre waits for new rules; a connection that went
/// silent is found this late.
const READER_POLL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The same for other nodes, which hear of new rules from the reader.
const OTHERS_WAIT: Duration = Duration::from_millis(20_000);
/// Targets told in one datagram.
const LISTINGS_A_DATAGRAM: usize = 6;
/// Pause after a call that failed, doubled each time.
const FIRST_PAUSE: Duration = Duration::from_millis(80);
/// How often it doubles for rules, of which other nodes tell as well, and for targets.
const RULES_DOUBLINGS: u32 = 4;
const TARGETS_DOUBLINGS: u32 = 2;

/// Tells whether a dependency answers, and logs when that changes.
#[derive(Debug)]
struct Watch {
    what: &'static str,
    doublings: u32,
    failures: u32,
}

impl Watch {
    fn new(what: &'static str, doublings: u32) -> Self {
        Self {
            what,
            doublings,
            failures: 0,
        }
    }

    fn answered(&mut self, state: &State) {
        state.table_health.borrow_mut().record_success();
        if std::mem::take(&mut self.failures) > 0 {
            state
                .log
                .record(Event::TableUp, |line| line.text("what", self.what));
        }
    }

    /// Records a failure; returns how long to wait.
    fn failed(&mut self, state: &State, error: &PlatformError) -> Duration {
        state.counters.add(Counter::TableFailures);
        state
            .table_health
            .borrow_mut()
            .record_failure(Instant::now());
        if self.failures == 0 {
            state.log.record(Event::TableDown, |line| {
                line.text("what", self.what);
                line.show("error", error);
            });
        }
        let doublings = self.failures.min(self.doublings);
        self.failures += 1;
        // Nodes that failed together must not come back together.
        (FIRST_PAUSE * 2u32.pow(doublings)).mul_f64(0.5 + rand::random::<f64>())
    }
}

/// Follows the rules until the process ends; `hint` rings when another node has newer ones.
pub async fn rules(state: Rc<State>, platform: Rc<impl Platform>, hint: Rc<Notify>) {
    let mut watch = Watch::new("rules", RULES_DOUBLINGS);
    let mut cursor: Option<Cursor> = None;
    loop {
        let wait = match state.is_reader.get() {
            true => READER_POLL_TIMEOUT,
            false => OTHERS_WAIT,
        };
        let reading = tokio::select! {
            reading = platform.rules(cursor, wait) => reading,
            // The call may wait on a connection that has gone silent; one that reads the rules
            // whole answers soon, also where the store is slow.
            () = hint.notified(), if cursor.is_some() => {
                cursor = None;
                continue;
            }
        };
        state.counters.add(Counter::TableCalls);
        match reading {
            Ok((next, rules)) => {
                watch.answered(&state);
                cursor = Some(next);
                if let Some(rules) = rules {
                    take_rules(&state, rules);
                }
            }
            Err(PlatformError::HistoryDropped) => cursor = None,
            Err(error) => {
                // A short call finds the end of an outage sooner than one that waits.
                cursor = None;
                let pause = watch.failed(&state, &error);
                // The hint tells that others reach the table, so this node may as well.
                let _ = timeout(pause, hint.notified()).await;
            }
        }
    }
}

fn take_rules(state: &State, rules: Rules) {
    let (version, before) = (rules.version, state.rules_version());
    let routes = rules.routes.len() as u64;
    if state.put_in_force(rules) {
        state.log.record(Event::RulesInForce, |line| {
            line.number("version", version);
            line.number("before", before);
            line.number("routes", routes);
        });
    }
}

/// Follows the targets until the process ends.
pub async fn targets(state: Rc<State>, platform: Rc<impl Platform>, peers: Rc<Peers>) {
    let mut watch = Watch::new("targets", TARGETS_DOUBLINGS);
    let mut cursor: Option<Cursor> = None;
    while state.stage() < ShutdownStage::Ended {
        wait_for_turn(&state).await;
        let wait = match state.is_reader.get() {
            true => list_schedule::READER_POLL_TIMEOUT,
            false => Duration::ZERO,
        };
        let reading = platform.targets(cursor, wait).await;
        state.counters.add(Counter::TableCalls);
        let now = Instant::now();
        match reading {
            Ok((next, reading)) => {
                watch.answered(&state);
                cursor = Some(next);
                take_targets(&state, &peers, reading, now);
                let digest = state.fleet.borrow().digest();
                state
                    .list_schedule
                    .borrow_mut()
                    .record_read(next, digest, now);
            }
            Err(PlatformError::HistoryDropped) => cursor = None,
            Err(error) => {
                state.fleet.borrow_mut().record_list_failure(now);
                tokio::time::sleep(watch.failed(&state, &error)).await;
            }
        }
    }
}

/// Drops the targets that an outage of the list has cost.
pub fn expire_targets(state: &State) {
    let expired = state.fleet.borrow_mut().expire(Instant::now());
    tell_changes(state, &expired);
}

/// Waits until this node has to read the list.
async fn wait_for_turn(state: &State) {
    loop {
        let hint = state.list_check.notified();
        let due = state
            .list_schedule
            .borrow()
            .next_read(state.is_reader.get());
        tokio::select! {
            () = tokio::time::sleep_until(due.into()) => return,
            () = hint => {}
        }
    }
}

fn take_targets(state: &State, peers: &Peers, reading: TargetListUpdate, now: Instant) {
    match reading {
        TargetListUpdate::Whole(entries) => {
            let changes = state.fleet.borrow_mut().replace(entries, now);
            changed(state, &changes);
        }
        TargetListUpdate::Changes(listings) => {
            for part in listings.chunks(LISTINGS_A_DATAGRAM) {
                let before = state.fleet.borrow().digest();
                let changes = state.fleet.borrow_mut().update(part.to_vec(), now);
                changed(state, &changes);
                if !changes.is_empty() && state.is_reader.get() {
                    peers.send_listings(before, part);
                }
            }
        }
    }
}

/// Takes changes that another node has read, if this one's list is as that node's was.
pub fn take_listings(state: &State, before: ListDigest, listings: Vec<TargetUpdate>, now: Instant) {
    if !state.fleet.borrow().is_loaded() || state.fleet.borrow().digest() != before {
        return;
    }
    let changes = state.fleet.borrow_mut().update(listings, now);
    changed(state, &changes);
    let digest = state.fleet.borrow().digest();
    state.list_schedule.borrow_mut().record_update(digest);
}

fn changed(state: &State, changes: &[(TargetId, FleetChange)]) {
    tell_changes(state, changes);
    if !changes.is_empty() {
        state.routing_changed.notify_waiters();
    }
}

fn tell_changes(state: &State, changes: &[(TargetId, FleetChange)]) {
    for (id, change) in changes {
        state.log.record(Event::TargetChanged, |line| {
            line.text("target", id.as_str());
            line.text("change", change.into());
        });
    }
}
