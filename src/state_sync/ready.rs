//! Whether a VM may serve: it holds at least what was in force when it started, and its state was
//! confirmed within a limit.

use std::time::Duration;
use std::time::Instant;

const PEER_WAIT: Duration = Duration::from_secs(2);

/// What is known about the state's freshness.
#[derive(Clone, Debug)]
pub struct Readiness {
    since: Instant,
    stale_limit: Duration,
    started: bool,
    table_down: bool,
    confirmed: Option<Instant>,
}

impl Readiness {
    /// Starts without knowledge.
    pub fn new(now: Instant, stale_limit: Duration) -> Self {
        Self {
            since: now,
            stale_limit,
            started: false,
            table_down: false,
            confirmed: None,
        }
    }

    /// Takes note that the table holds nothing newer; `verified` tells that the read was not stale.
    pub fn table_confirms(&mut self, now: Instant, verified: bool) {
        self.table_down = false;
        self.confirmed = Some(now);
        self.started |= verified;
    }

    /// Takes note that the table does not answer, or only from a replica that lags.
    pub fn table_fails(&mut self) {
        self.table_down = true;
    }

    /// Takes note of another VM with the same number, confirmed `age` ago.
    pub fn peer_confirms(&mut self, now: Instant, age: Duration) {
        let at = now.checked_sub(age);
        self.confirmed = self.confirmed.max(at);
    }

    /// Takes note of whether every VM that this one takes state from has been heard and holds
    /// nothing newer. While the table is down this stands in for the table at the start, provided
    /// that they confirmed the number after this VM had started.
    pub fn peers_agree(&mut self, now: Instant, agree: bool) {
        let waited = now.saturating_duration_since(self.since) >= PEER_WAIT;
        let confirmed = self.confirmed.is_some_and(|at| at >= self.since);
        self.started |= self.table_down && waited && agree && confirmed;
    }

    /// Returns whether what was in force at the start is held.
    pub fn is_started(&self) -> bool {
        self.started
    }

    /// Returns whether the VM may serve.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.started && self.is_fresh(now)
    }

    /// Returns the time since the state was last confirmed.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_duration_since(at))
    }

    fn is_fresh(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age <= self.stale_limit)
    }
}
