//! Becoming the leader of a group, and stepping down.

use std::rc::Rc;
use std::time::Instant;

use crate::clock::Clock;
use crate::events::Event;
use crate::node::control::group::Group;
use crate::node::control::group::Leadership;
use crate::node::control::rows;
use crate::node::counters::Counter;
use crate::node::keys::election::Lease;
use crate::node::keys::election::PreviousLeader;
use crate::node::keys::leader::Leader;
use crate::node::keys::map::KeyMap;
use crate::node::platform::Platform;
use crate::platform::Condition;
use crate::platform::Table;
use crate::platform::TableError;
use crate::platform::Transaction;
use crate::platform::WriteId;

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
                self.log_failure("lease", &error);
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
        {
            // The holder acquired the lease recently and may not have sent a heartbeat yet.
            self.election.record_lease(current, now);
            return;
        }
        let revision = row.map_or(0, |row| row.revision);
        let next = self
            .election
            .next_lease(lease.as_ref(), &self.state.conf.name, self.state.boot);
        match self.write_lease(&next, revision).await {
            Some(revision) => self.take_over(next, revision, started_at).await,
            None => self.election.postpone(self.clock.now()),
        }
    }

    /// Writes the lease, if its row still has `revision`; returns the new revision if the write
    /// took effect.
    pub(super) async fn write_lease(&self, next: &Lease, revision: u64) -> Option<u64> {
        let key = self.lease_key();
        let tx = Transaction {
            id: WriteId(rand::random()),
            conditions: vec![Condition {
                key: key.clone(),
                revision,
            }],
            mutations: vec![rows::put(key.clone(), next)],
        };
        self.state.counters.add(Counter::TableCalls);
        match self.table.commit(&tx).await {
            Ok(()) | Err(TableError::Unknown(_)) => {}
            Err(error) => {
                self.log_failure("lease", &error);
                return None;
            }
        }
        // The read returns the new revision, and shows whether a write of unknown outcome took
        // effect.
        self.state.counters.add(Counter::TableCalls);
        let row = self.table.get(&key).await.ok().flatten()?;
        (row.writer == tx.id).then_some(row.revision)
    }

    /// Starts to lead from the stored map. `started_at` is when the campaign began, before the
    /// lease was written.
    pub(super) async fn take_over(&mut self, lease: Lease, revision: u64, started_at: Instant) {
        self.state.counters.add(Counter::TableCalls);
        let stored = match self.table.get(&self.map_key()).await {
            Ok(stored) => stored,
            Err(error) => {
                self.log_failure("map", &error);
                return self.election.postpone(self.clock.now());
            }
        };
        let now = self.clock.now();
        let map = stored
            .as_ref()
            .and_then(|row| rows::decode::<KeyMap>(&row.value));
        if stored.is_some() && map.is_none() {
            // Without the map, keys could be granted that another target still holds.
            self.state.log.record(Event::RowMalformed, |line| {
                line.text("row", &self.map_key())
            });
            return self.election.postpone(now);
        }
        let max_grant = self.state.conf.max_grant;
        let mut leader = Leader::new(lease.term, map.as_ref(), max_grant, now);
        leader.lease_confirmed(started_at);
        let (ranges, _) = leader.range_counts();
        self.state.log.record(Event::GroupTaken, |line| {
            line.text("service", self.service.as_str());
            line.number("term", lease.term);
            line.number("doubted", lease.maybe_active.len() as u64);
            line.number("ranges", ranges as u64);
        });
        let (node, boot) = (&self.state.conf.name, self.state.boot);
        self.election.record_leader(lease.term, node, boot, now);
        self.newest_announced = leader.sequence();
        self.load_map(map, self.newest_announced);
        self.leading = Some(Leadership {
            leader,
            lease,
            lease_revision: revision,
            map_revision: Rc::new(std::cell::Cell::new(stored.map_or(0, |row| row.revision))),
            held_since: now,
            last_check: now,
            check_pending: false,
        });
        self.check_previous_leaders(now);
        self.lead(now);
    }

    /// Informs the leader once all previous leaders are known to send no more orders.
    pub(super) fn check_previous_leaders(&mut self, now: Instant) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let name = &self.state.conf.name;
        self.election
            .record_expiry(&leading.lease, leading.held_since, now);
        let election = &self.election;
        let ended = |previous: &PreviousLeader| election.has_ended(previous, name);
        if leading.lease.maybe_active.iter().all(ended) {
            leading.leader.previous_leaders_ended(now);
        }
    }

    /// Stops leading, and sends the other nodes a heartbeat that says so.
    pub(super) fn step_down(&mut self, reason: &str, now: Instant) {
        let Some(leading) = self.leading.take() else {
            return;
        };
        let term = leading.leader.term();
        self.handle.status.borrow_mut().ended = Some(term);
        self.election.record_end(term, now);
        self.state.log.record(Event::GroupLost, |line| {
            line.text("service", self.service.as_str());
            line.number("term", term);
            line.text("why", reason);
        });
        self.update_status();
        self.peers.send_resignation();
    }
}
