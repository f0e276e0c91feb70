//! Taking the lead, and giving it up.

use std::rc::Rc;
use std::time::Instant;

use crate::clock::Clock;
use crate::events::Event;
use crate::node::control::group::Group;
use crate::node::control::group::Leading;
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
    /// Tries to take the lease.
    pub(super) async fn campaign(&mut self) {
        let begun = self.clock.now();
        let held = self.table.get(&self.lease_key()).await;
        self.state.counters.add(Counter::TableCalls);
        let now = self.clock.now();
        let row = match held {
            Ok(row) => row,
            Err(error) => {
                self.tell_failure("lease", &error);
                return self.election.postpone(now);
            }
        };
        let lease = row
            .as_ref()
            .and_then(|row| rows::decode::<Lease>(&row.value));
        let newer = lease
            .as_ref()
            .is_some_and(|held| held.term > self.election.term());
        // An earlier process of this node has ended for certain.
        if let Some(held) = &lease
            && newer
            && held.node != self.state.conf.name
        {
            // Its holder has only just taken it, and may not have told yet.
            self.election.record_lease(held, now);
            return;
        }
        let revision = row.map_or(0, |row| row.revision);
        let next = self
            .election
            .next_lease(lease.as_ref(), &self.state.conf.name, self.state.boot);
        match self.take_lease(&next, revision).await {
            Some(revision) => self.take_over(next, revision, begun).await,
            None => self.election.postpone(self.clock.now()),
        }
    }

    /// Writes the lease; returns its revision if the write took effect.
    pub(super) async fn take_lease(&self, next: &Lease, revision: u64) -> Option<u64> {
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
                self.tell_failure("lease", &error);
                return None;
            }
        }
        // The read tells the revision, and whether a write without an answer took effect.
        self.state.counters.add(Counter::TableCalls);
        let row = self.table.get(&key).await.ok().flatten()?;
        (row.writer == tx.id).then_some(row.revision)
    }

    pub(super) async fn take_over(&mut self, lease: Lease, revision: u64, begun: Instant) {
        self.state.counters.add(Counter::TableCalls);
        let stored = match self.table.get(&self.map_key()).await {
            Ok(stored) => stored,
            Err(error) => {
                self.tell_failure("map", &error);
                return self.election.postpone(self.clock.now());
            }
        };
        let now = self.clock.now();
        let map = stored
            .as_ref()
            .and_then(|row| rows::decode::<KeyMap>(&row.value));
        let hold_max = self.state.conf.max_grant;
        let mut leader = Leader::new(lease.term, map.as_ref(), hold_max, now);
        leader.lease_confirmed(begun);
        let (ranges, _) = leader.range_counts();
        self.state.log.record(Event::GroupTaken, |line| {
            line.text("service", self.service.as_str());
            line.number("term", lease.term);
            line.number("doubted", lease.maybe_active.len() as u64);
            line.number("ranges", ranges as u64);
        });
        let (node, boot) = (&self.state.conf.name, self.state.boot);
        self.election.record_leader(lease.term, node, boot, now);
        self.seen = leader.sequence();
        self.map_read(map, self.seen);
        self.leading = Some(Leading {
            leader,
            lease,
            lease_revision: revision,
            map_revision: Rc::new(std::cell::Cell::new(stored.map_or(0, |row| row.revision))),
            checked: now,
            checking: false,
        });
        self.check_former(now);
        self.lead(now);
    }

    /// Tells the leader once all earlier ones are known to have given their last order.
    pub(super) fn check_former(&mut self, now: Instant) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let name = &self.state.conf.name;
        let election = &self.election;
        let ended = |former: &PreviousLeader| election.has_ended(former, name);
        if leading.lease.maybe_active.iter().all(ended) {
            leading.leader.previous_leaders_ended(now);
        }
    }

    pub(super) fn step_down(&mut self, why: &str, now: Instant) {
        let Some(leading) = self.leading.take() else {
            return;
        };
        let term = leading.leader.term();
        self.handle.shown.borrow_mut().ended = Some(term);
        self.election.record_end(term, now);
        self.state.log.record(Event::GroupLost, |line| {
            line.text("service", self.service.as_str());
            line.number("term", term);
            line.text("why", why);
        });
        self.show();
        self.peers.send_farewell();
    }
}
