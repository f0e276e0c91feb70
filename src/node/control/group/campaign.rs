//! Becoming the leader of a group, and stepping down.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::clock::Clock;
use crate::events::Event;
use crate::node::control::group::Group;
use crate::node::control::group::GroupMessage;
use crate::node::control::group::Leadership;
use crate::node::control::group::log_failure;
use crate::node::control::rows;
use crate::node::counters::Counter;
use crate::node::keys::election::Lease;
use crate::node::keys::leader::Inherited;
use crate::node::keys::leader::Leader;
use crate::node::keys::map::KeyMap;
use crate::node::keys::tenure::KnownNodes;
use crate::node::keys::tenure::Tenure;
use crate::node::keys::tenure::inherit;
use crate::node::platform::Platform;
use crate::node::state::State;
use crate::platform::Condition;
use crate::platform::Row;
use crate::platform::Table;
use crate::platform::TableError;
use crate::platform::Transaction;
use crate::platform::WriteId;

/// How long a node that is to stop leading tries to write its lease again.
const MAX_RESIGNATION_DELAY: Duration = Duration::from_millis(1_000);

impl<T: Table + 'static, P: Platform> Group<T, P> {
    /// Tries to acquire the lease. If its row shows that another node acquired it in a term that
    /// this node did not know, only records that.
    pub(super) async fn campaign(&mut self) {
        let started_at = self.clock.now();
        let stored = self.table.get(&self.lease_key()).await;
        self.state.counters.add(Counter::TableCalls);
        let now = self.clock.now();
        let row = match stored {
            Ok(row) => row,
            Err(error) => {
                log_failure(&self.state, &self.lease_key(), &error);
                return self.election.postpone(now);
            }
        };
        // An earlier failure must not make the new leader step down at once.
        self.state.table_health.borrow_mut().record_success();
        let lease = row
            .as_ref()
            .and_then(|row| rows::decode::<Lease>(&row.value));
        let newer = lease
            .as_ref()
            .is_some_and(|lease| lease.term > self.election.term());
        // A lease of this node's own name belongs to an earlier process of it, which has ended.
        if let Some(current) = &lease
            && newer
            && current.node != self.state.conf.name
            && !self.election.is_vacated(current)
        {
            // The holder acquired the lease recently and may not have sent a heartbeat yet.
            self.election.record_lease(current, now);
            return;
        }
        let is_restored = self.table.generation() > self.first_generation;
        // A malformed row was written, too.
        let may_be_first = row.is_none() && self.state.conf.first_start;
        let revision = row.map_or(0, |row| row.revision);
        let held = lease.or_else(|| self.election.missing_lease(may_be_first, is_restored));
        let next = self.next_lease(held.as_ref());
        match write_lease(&self.state, &*self.table, self.lease_key(), &next, revision).await {
            Some(revision) => {
                let held = held.unwrap_or_else(Lease::lost);
                self.take_over(next, revision, &held, started_at).await;
            }
            None => self.election.postpone(self.clock.now()),
        }
    }

    /// Returns the lease with which this node replaces `held`.
    pub(super) fn next_lease(&self, held: Option<&Lease>) -> Lease {
        let (node, boot) = (&self.state.conf.name, self.state.boot);
        self.election
            .next_lease(held, self.table.generation(), node, boot)
    }

    /// Starts to lead from the stored map. `replaced` is the lease that this one replaced, and
    /// `started_at` is when the campaign began, before the lease was written.
    pub(super) async fn take_over(
        &mut self,
        lease: Lease,
        revision: u64,
        replaced: &Lease,
        started_at: Instant,
    ) {
        self.state.counters.add(Counter::TableCalls);
        let stored = match self.table.get(&self.map_key()).await {
            Ok(stored) => stored,
            Err(error) => {
                log_failure(&self.state, &self.map_key(), &error);
                return self.election.postpone(self.clock.now());
            }
        };
        let now = self.clock.now();
        let Some(map) = self.decode_map(stored.as_ref()) else {
            return self.election.postpone(now);
        };
        if self.table.generation() > lease.generation() {
            // The table was restored since, and the rows that were read may be older than the lease.
            return self.election.postpone(now);
        }
        let handover = replaced.handover_in(lease.generation());
        let inherited = inherit(&lease, map.as_ref(), handover, &mut self.election, now);
        let max_grant = self.state.conf.max_grant;
        let mut leader = Leader::new(lease.term, inherited, max_grant, now);
        leader.lease_confirmed(started_at);
        let (ranges, _) = leader.range_counts();
        let map_version = map.as_ref().map(|map| map.version).unwrap_or_default();
        let map_revision = stored.as_ref().map_or(0, |row| row.revision);
        self.state.log.record(Event::GroupTaken, |line| {
            line.text("service", self.service.as_str());
            line.number("term", lease.term);
            line.number("replaced_term", replaced.term);
            line.number("lease_revision", revision);
            line.number("map_term", map_version.term);
            line.number("map_number", map_version.number);
            line.number("map_revision", map_revision);
            line.number("doubted", lease.maybe_active.len() as u64);
            line.number("ranges", ranges as u64);
            line.text("map", map_name(inherited));
        });
        let (node, boot) = (&self.state.conf.name, self.state.boot);
        let heard = self.election.last_heard(replaced.boot);
        self.election.record_leader(lease.term, node, boot, now);
        self.newest_announced = leader.sequence();
        let nodes = self.peers.processes();
        let mut tenure = Tenure::new(leader, lease, revision, nodes, now);
        if let Inherited::HandedOver(_, handover) = inherited {
            tenure.resume(handover, heard, (node, boot), now);
        }
        self.load_map(map, self.newest_announced);
        self.leading = Some(Leadership {
            tenure,
            map_revision: Rc::new(std::cell::Cell::new(map_revision)),
            last_check: now,
            checked_nodes: KnownNodes::new(),
            check_pending: false,
            resigning: None,
        });
        self.check_previous_leaders(now);
        self.lead(now);
    }

    /// Decodes the row of the map; returns `None` if it is malformed. Without the map, keys could be
    /// granted that another target still holds.
    fn decode_map(&self, row: Option<&Row>) -> Option<Option<KeyMap>> {
        let Some(row) = row else {
            return Some(None);
        };
        let map = rows::decode::<KeyMap>(&row.value);
        if map.is_none() {
            self.state.log.record(Event::RowMalformed, |line| {
                line.text("row", &self.map_key())
            });
        }
        map.map(Some)
    }

    /// Informs the leader once all previous leaders are known to send no more orders.
    pub(super) fn check_previous_leaders(&mut self, now: Instant) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let (node, boot) = (&self.state.conf.name, self.state.boot);
        if leading.tenure.settle(&mut self.election, node, now) {
            let term = leading.tenure.leader.term();
            self.election.record_leader(term, node, boot, now);
            self.newest_announced = leading.tenure.leader.sequence();
            self.state.log.record(Event::GroupKept, |line| {
                line.text("service", self.service.as_str());
                line.number("term", term);
            });
        }
    }

    /// Makes the node stop leading as planned.
    pub(super) fn request_resignation(&mut self, reason: &'static str, now: Instant) {
        if let Some(leading) = &mut self.leading {
            leading.resigning.get_or_insert((reason, now));
        }
    }

    /// Returns why the node should stop leading now. After a restore of the table, it first writes its
    /// lease again, since it can leave nothing to the next leader without one.
    pub(super) fn due_resignation(&self, now: Instant) -> Option<&'static str> {
        let leading = self.leading.as_ref()?;
        let (reason, since) = leading.resigning?;
        let is_late = now.saturating_duration_since(since) >= MAX_RESIGNATION_DELAY;
        let is_ready = !leading.tenure.is_outdated(self.table.generation());
        (is_ready || is_late).then_some(reason)
    }

    /// Stops leading as planned. If the next leader could not continue from the stored map, stores
    /// what it needs first.
    pub(super) fn resign(&mut self, reason: &'static str, now: Instant) {
        let Some(leading) = &self.leading else {
            return;
        };
        let handover = leading.tenure.hand_over(self.table.generation(), now);
        let Some((lease, map)) = handover else {
            return self.step_down(reason, now);
        };
        let revision = leading.tenure.revision();
        self.leading = None;
        let tx = Transaction {
            id: WriteId(rand::random()),
            conditions: vec![Condition {
                key: self.lease_key(),
                revision,
            }],
            mutations: vec![
                rows::put(self.lease_key(), &lease),
                rows::put(self.map_key(), &map),
            ],
        };
        let (state, table, handle) = (self.state.clone(), self.table.clone(), self.handle.clone());
        let key = self.lease_key();
        tokio::task::spawn_local(async move {
            state.counters.add(Counter::TableCalls);
            let written = table.commit(&tx).await;
            if let Err(error) = &written {
                log_failure(&state, &key, error);
            }
            handle.send(GroupMessage::HandedOver {
                term: lease.term,
                reason,
                stored: written.is_ok(),
            });
        });
    }

    /// Stops leading, and sends the other nodes a heartbeat that says so.
    pub(super) fn step_down(&mut self, reason: &str, now: Instant) {
        if let Some(leading) = self.leading.take() {
            self.report_end(leading.tenure.lease().term, reason, false, now);
        }
    }

    /// Informs the other nodes that this one sends no more orders in a term.
    pub(super) fn report_end(&mut self, term: u64, reason: &str, stored: bool, now: Instant) {
        self.handle.status.borrow_mut().ended = Some(term);
        self.election.record_end(term, now);
        self.state.log.record(Event::GroupLost, |line| {
            line.text("service", self.service.as_str());
            line.number("term", term);
            line.text("why", reason);
            line.text("handover", if stored { "stored" } else { "none" });
        });
        self.update_status();
        self.peers.send_heartbeat_to_all();
    }
}

/// Writes a lease, if its row still has `revision`; returns the new revision if the write took
/// effect in the generation of the lease.
pub(super) async fn write_lease(
    state: &State,
    table: &impl Table,
    key: String,
    lease: &Lease,
    revision: u64,
) -> Option<u64> {
    let tx = Transaction {
        id: WriteId(rand::random()),
        conditions: vec![Condition {
            key: key.clone(),
            revision,
        }],
        mutations: vec![rows::put(key.clone(), lease)],
    };
    state.counters.add(Counter::TableCalls);
    match table.commit(&tx).await {
        Ok(()) | Err(TableError::Unknown(_)) => {}
        Err(error) => {
            log_failure(state, &key, &error);
            return None;
        }
    }
    // The read returns the new revision, and shows whether a write of unknown outcome took effect.
    state.counters.add(Counter::TableCalls);
    let row = match table.get(&key).await {
        Ok(row) => row?,
        Err(error) => {
            log_failure(state, &key, &error);
            return None;
        }
    };
    let is_written = row.writer == tx.id && table.generation() == lease.generation();
    is_written.then_some(row.revision)
}

/// Returns the name of what a leader inherits in log lines.
fn map_name(inherited: Inherited<'_>) -> &'static str {
    match inherited {
        Inherited::Nothing => "none",
        Inherited::Map(_) => "current",
        Inherited::Outdated(_) => "outdated",
        Inherited::HandedOver(..) => "handed-over",
    }
}
