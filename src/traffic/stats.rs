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
    ended: [AtomicU64; 6],
    silent: AtomicU64,
}

impl Stats {
    /// Counts a request that ended.
    pub fn ended(&self, outcome: Outcome) {
        self.ended[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how many requests ended so.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.ended[outcome as usize].load(Ordering::Relaxed)
    }

    /// Counts a connection that was found silent.
    pub fn found_silent(&self) {
        self.silent.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of connections found silent.
    pub fn silent(&self) -> u64 {
        self.silent.load(Ordering::Relaxed)
    }
}

/// Tells the metrics of a service's request that ended.
pub fn tell(service: &ServiceId, centre: &DataCentre, outcome: Outcome, latency: Duration) {
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
