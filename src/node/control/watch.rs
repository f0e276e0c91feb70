//! Long-polls the platform for rules and targets, and applies target changes that other nodes send.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::time::timeout;

use crate::cold_start::Source;
use crate::evacuation::Rows;
use crate::events::Event;
use crate::ids::TargetId;
use crate::node::cold;
use crate::node::control::peers::Peers;
use crate::node::counters::Counter;
use crate::node::datagram::ListDigest;
use crate::node::datagram::Message;
use crate::node::evacuations;
use crate::node::fleet::FleetChange;
use crate::node::fleet::TargetUpdate;
use crate::node::list_schedule;
use crate::node::platform::Cursor;
use crate::node::platform::Platform;
use crate::node::platform::PlatformError;
use crate::node::platform::TargetListUpdate;
use crate::node::rules::Rules;
use crate::node::rules_lag::RereadPause;
use crate::node::state::ShutdownStage;
use crate::node::state::State;
use crate::platform::Generation;

/// Long-poll timeout for rules on the node that reads for its data centre. A dead connection is
/// detected only after this time.
const READER_POLL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum number of target changes sent in one datagram.
const MAX_UPDATES_PER_DATAGRAM: usize = 6;
/// Backoff after the first failed call; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(80);
/// Maximum number of doublings of the backoff for rules; heartbeats of other nodes end it early.
const MAX_RULES_DOUBLINGS: u32 = 4;
/// Maximum number of doublings of the backoff for targets.
const MAX_TARGETS_DOUBLINGS: u32 = 2;

/// Tracks whether calls for one resource succeed, logs changes, and computes the backoff.
#[derive(Debug)]
struct CallHealth {
    resource: &'static str,
    max_doublings: u32,
    failures: u32,
}

impl CallHealth {
    fn new(resource: &'static str, max_doublings: u32) -> Self {
        Self {
            resource,
            max_doublings,
            failures: 0,
        }
    }

    fn record_success(&mut self, state: &State) {
        state.table_health.borrow_mut().record_success();
        if std::mem::take(&mut self.failures) > 0 {
            state
                .log
                .record(Event::TableUp, |line| line.text("what", self.resource));
        }
    }

    /// Records a failure; returns the backoff before the next call.
    fn record_failure(&mut self, state: &State, error: &PlatformError) -> Duration {
        state.counters.add(Counter::TableFailures);
        state
            .table_health
            .borrow_mut()
            .record_failure(Instant::now());
        if self.failures == 0 {
            state.log.record(Event::TableDown, |line| {
                line.text("what", self.resource);
                line.show("error", error);
            });
        }
        let doublings = self.failures.min(self.max_doublings);
        self.failures += 1;
        // Jitter: nodes whose calls failed at the same time must not retry at the same time.
        (INITIAL_BACKOFF * 2u32.pow(doublings)).mul_f64(0.5 + rand::random::<f64>())
    }
}

/// Keeps the rules and the evacuations current until the process ends.
///
/// The data centre's reader polls for them. The others read them when a heartbeat shows newer ones,
/// or when no reader is known to reach the platform.
pub async fn rules(state: Rc<State>, platform: Rc<impl Platform>, peers: Rc<Peers>) {
    let hint = peers.rules_hint.clone();
    let mut health = CallHealth::new("rules", MAX_RULES_DOUBLINGS);
    let mut cursor: Option<Cursor> = None;
    let mut read = Instant::now();
    let mut pause = RereadPause::default();
    let mut is_hinted = false;
    loop {
        if cursor.is_some()
            && wait_for_rules(&state, &hint, &pause, read).await == RulesChange::Newer
        {
            cursor = None;
            is_hinted = true;
        }
        let wait = match state.is_reader.get() {
            true => READER_POLL_TIMEOUT,
            false => Duration::ZERO,
        };
        let update = tokio::select! {
            update = platform.rules(cursor, wait) => update,
            // The long poll may wait on a dead connection. A call without a cursor reads the
            // complete rules and answers soon, even if the store is slow.
            () = wait_for_hint(&hint, &pause), if cursor.is_some() => {
                cursor = None;
                is_hinted = true;
                continue;
            }
        };
        state.counters.add(Counter::TableCalls);
        match update {
            Ok((next, rows)) => {
                read = Instant::now();
                apply_evacuations(&state, &peers, next, rows.evacuations);
                let rules = match rows.rules {
                    Ok(rules) => rules,
                    Err(error) => {
                        // Changes of the evacuations must not wait until the rules can be used.
                        cursor = (state.rules_version() > 0).then_some(next);
                        let backoff = health.record_failure(&state, &error);
                        let _ = timeout(backoff, hint.notified()).await;
                        continue;
                    }
                };
                health.record_success(&state);
                cursor = Some(next);
                let found_newer = rules.is_some_and(|rules| apply_rules(&state, rules));
                if std::mem::take(&mut is_hinted) || found_newer {
                    pause.record_read(found_newer, read);
                }
            }
            Err(PlatformError::HistoryDropped) => cursor = None,
            Err(error) => {
                read = Instant::now();
                // A call without a cursor does not wait, so it detects the end of an outage sooner.
                // A node that has rules, and whose neighbours read them, need not detect it.
                if state.is_reader.get() || state.rules_version() == 0 {
                    cursor = None;
                }
                let backoff = health.record_failure(&state, &error);
                // The hint shows that other nodes reach the table, so retry at once.
                let _ = timeout(backoff, hint.notified()).await;
            }
        }
    }
}

/// What a node that waits to read the rules knows of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RulesChange {
    /// Another node has newer rules.
    Newer,
    /// None is known.
    Unknown,
}

/// Waits until another node is known to have newer rules, outside the pause.
async fn wait_for_hint(hint: &Notify, pause: &RereadPause) {
    loop {
        hint.notified().await;
        if pause.is_over(Instant::now()) {
            return;
        }
    }
}

/// Waits until this node has to read the rules that it last read at `read`; on the reader, at once.
async fn wait_for_rules(
    state: &State,
    hint: &Notify,
    pause: &RereadPause,
    read: Instant,
) -> RulesChange {
    loop {
        let newer = wait_for_hint(hint, pause);
        let rescheduled = state.list_check.notified();
        let due = state.list_schedule.borrow().next_rules_read(read);
        if state.is_reader.get() || Instant::now() >= due {
            return RulesChange::Unknown;
        }
        tokio::select! {
            biased;
            () = newer => return RulesChange::Newer,
            () = rescheduled => {}
            () = tokio::time::sleep_until(due.into()) => {}
        }
    }
}

/// Records the evacuations that this node read at a position. The reader sends changes to all nodes.
fn apply_evacuations(state: &State, peers: &Peers, position: Cursor, rows: Rows) {
    let report = evacuations::record_rows(state, position, rows, Instant::now());
    if let Some(report) = report.filter(|_| state.is_reader.get()) {
        peers.broadcast(Message::Evacuations(report));
    }
}

/// Puts rules in force; returns false if they are not newer.
fn apply_rules(state: &State, rules: Rules) -> bool {
    let (version, before) = (rules.version, state.rules_version());
    let routes = rules.routes.len() as u64;
    if !state.put_in_force(rules) {
        return false;
    }
    state.log.record(Event::RulesInForce, |line| {
        line.number("version", version);
        line.number("before", before);
        line.number("routes", routes);
    });
    true
}

/// Polls for targets until the process ends.
pub async fn targets(state: Rc<State>, platform: Rc<impl Platform>, peers: Rc<Peers>) {
    let mut health = CallHealth::new("targets", MAX_TARGETS_DOUBLINGS);
    let mut cursor: Option<Cursor> = None;
    while state.stage() < ShutdownStage::Ended {
        wait_until_due(&state).await;
        let wait = match state.is_reader.get() {
            true => list_schedule::READER_POLL_TIMEOUT,
            false => Duration::ZERO,
        };
        let update = platform.targets(cursor, wait).await;
        state.counters.add(Counter::TableCalls);
        let now = Instant::now();
        match update {
            Ok((next, update)) => {
                health.record_success(&state);
                cursor = Some(next);
                record_generation(&state, next.generation, now);
                apply_targets(&state, &peers, update, now);
                let digest = state.fleet.borrow().digest();
                state
                    .list_schedule
                    .borrow_mut()
                    .record_read(next, digest, now);
            }
            Err(PlatformError::HistoryDropped) => cursor = None,
            Err(error) => {
                state.fleet.borrow_mut().record_list_failure(now);
                tokio::time::sleep(health.record_failure(&state, &error)).await;
            }
        }
    }
}

/// Prepares the list of targets for data that was restored from an older copy since the last read.
fn record_generation(state: &State, generation: Generation, now: Instant) {
    let newest = state.generation.get().max(generation);
    state.generation.set(newest);
    let before = state.list_schedule.borrow().position(now).cursor;
    if before == Cursor::default() || generation <= before.generation {
        return;
    }
    state.fleet.borrow_mut().record_restore(now);
    state.log.record(Event::TableRestored, |line| {
        line.text("what", "targets");
        line.number("generation", generation.0);
        line.number("before", before.generation.0);
    });
}

/// Removes the targets that have expired because the list could not be read, and adds those whose
/// restored entries are still listed.
pub fn expire_targets(state: &State) {
    let changes = state.fleet.borrow_mut().expire(Instant::now());
    handle_changes(state, &changes);
}

/// Waits until this node has to read the list of targets.
async fn wait_until_due(state: &State) {
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

fn apply_targets(state: &State, peers: &Peers, update: TargetListUpdate, now: Instant) {
    match update {
        TargetListUpdate::Whole(entries) => {
            let changes = state.fleet.borrow_mut().replace(entries, now);
            handle_changes(state, &changes);
        }
        TargetListUpdate::Changes(updates) => {
            for chunk in updates.chunks(MAX_UPDATES_PER_DATAGRAM) {
                let before = state.fleet.borrow().digest();
                let changes = state.fleet.borrow_mut().update(chunk.to_vec(), now);
                handle_changes(state, &changes);
                if state.fleet.borrow().digest() != before && state.is_reader.get() {
                    peers.send_target_updates(before, chunk);
                }
            }
        }
    }
}

/// Applies target changes that another node read, if this node's list has the digest `before`
/// that the other node's list had.
pub fn apply_updates(state: &State, before: ListDigest, updates: Vec<TargetUpdate>, now: Instant) {
    if !state.fleet.borrow().is_loaded() || state.fleet.borrow().digest() != before {
        return;
    }
    let changes = state.fleet.borrow_mut().update(updates, now);
    handle_changes(state, &changes);
    let digest = state.fleet.borrow().digest();
    state.list_schedule.borrow_mut().record_update(digest);
}

fn handle_changes(state: &State, changes: &[(TargetId, FleetChange)]) {
    log_changes(state, changes);
    for (id, change) in changes {
        let target = state.fleet.borrow().get(id).cloned();
        if let (FleetChange::Joined | FleetChange::Cold, Some(target)) = (change, target) {
            cold::handle_report(state, &target, Source::Entry, Instant::now());
        }
    }
    if !changes.is_empty() {
        state.routing_changed.notify_waiters();
    }
}

fn log_changes(state: &State, changes: &[(TargetId, FleetChange)]) {
    // The event for cold targets is logged only for services that limit the rate.
    let changes = changes
        .iter()
        .filter(|(_, change)| *change != FleetChange::Cold);
    for (id, change) in changes {
        state.log.record(Event::TargetChanged, |line| {
            line.text("target", id.as_str());
            line.text("change", change.into());
        });
    }
}
