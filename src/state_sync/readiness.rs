//! Readiness of a VM: it may serve if it holds at least the state that was in force when it
//! started, and if its state was confirmed recently.

use std::time::Duration;
use std::time::Instant;

/// Time after the start before the agreement of peers may replace the table.
const PEER_AGREEMENT_DELAY: Duration = Duration::from_secs(2);

/// Tracks whether the VM's state is complete and when it was last confirmed.
#[derive(Clone, Debug)]
pub struct Readiness {
    created_at: Instant,
    stale_limit: Duration,
    started: bool,
    table_down: bool,
    confirmed_at: Option<Instant>,
}

impl Readiness {
    /// Creates an unconfirmed state; `stale_limit` is the time for which a confirmation is valid.
    pub fn new(now: Instant, stale_limit: Duration) -> Self {
        Self {
            created_at: now,
            stale_limit,
            started: false,
            table_down: false,
            confirmed_at: None,
        }
    }

    /// Records that the table holds nothing newer; `verified` is true if a transaction proved that
    /// the read was not stale.
    pub fn record_table_confirmation(&mut self, now: Instant, verified: bool) {
        self.table_down = false;
        self.confirmed_at = Some(now);
        self.started |= verified;
    }

    /// Records that a read of the table failed or was stale.
    pub fn record_table_failure(&mut self) {
        self.table_down = true;
    }

    /// Records that a peer holds the same ticket number, confirmed `age` ago.
    pub fn record_peer_confirmation(&mut self, now: Instant, age: Duration) {
        let at = now.checked_sub(age);
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Records whether all sources of state have sent a summary and hold nothing newer. While the
    /// table is down, their agreement completes the start instead of the table, if the number was
    /// confirmed after this VM started.
    pub fn record_agreement(&mut self, now: Instant, agree: bool) {
        let waited = now.saturating_duration_since(self.created_at) >= PEER_AGREEMENT_DELAY;
        let confirmed = self.confirmed_at.is_some_and(|at| at >= self.created_at);
        self.started |= self.table_down && waited && agree && confirmed;
    }

    /// Returns true if the VM holds at least the state that was in force when it started.
    pub fn is_started(&self) -> bool {
        self.started
    }

    /// Returns true if the VM may serve: the start is complete and the last confirmation still
    /// valid.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.started && self.is_fresh(now)
    }

    /// Returns the time since the state was last confirmed, if it ever was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|at| now.saturating_duration_since(at))
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age <= self.stale_limit)
    }
}
