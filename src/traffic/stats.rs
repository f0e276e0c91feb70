//! Counts of an entry, shared by its threads.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use strum::IntoStaticStr;

use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::metrics::instruments;

/// What became of a request, as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// A target's whole answer was delivered.
    Whole,
    /// It was refused and did not run.
    NotRun,
    /// It may have run; its answer was lost.
    Unknown,
    /// Its answer broke off.
    Cut,
    /// The caller went away.
    Gone,
    /// It was malformed.
    Malformed,
}

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct Stats {
    outcomes: [AtomicU64; 6],
    timeouts: AtomicU64,
}

impl Stats {
    /// Counts a request that ended.
    pub fn record_outcome(&self, outcome: Outcome) {
        self.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how many requests ended so.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes[outcome as usize].load(Ordering::Relaxed)
    }

    /// Counts an attempt that timed out without a response head from the target.
    pub fn record_timeout(&self) {
        self.timeouts.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of attempts that timed out without a response head from the target.
    pub fn timeouts(&self) -> u64 {
        self.timeouts.load(Ordering::Relaxed)
    }
}

/// Adds a completed request to the metrics of its service.
pub fn record_request(
    service: &ServiceId,
    centre: &DataCentre,
    outcome: Outcome,
    latency: Duration,
) {
    instruments().request(service, centre, outcome.into(), latency);
}

/// A request in flight, as the metrics count it until it is dropped.
#[derive(Debug)]
pub struct InFlight<'a> {
    service: &'a ServiceId,
}

impl<'a> InFlight<'a> {
    /// Counts a request of a service.
    pub fn begin(service: &'a ServiceId) -> Self {
        instruments().in_flight(service, 1);
        Self { service }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        instruments().in_flight(self.service, -1);
    }
}
