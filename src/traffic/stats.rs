//! Request counters of an entry: those that its threads share, and the exported metrics.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use strum::IntoStaticStr;

use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::metrics::instruments;

/// The outcome of a request from the caller's point of view; the variant names are metric labels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The complete response of a target was delivered.
    Whole,
    /// The request was refused and did not run.
    NotRun,
    /// The request may have run, but no response was received.
    Unknown,
    /// The response was truncated.
    Cut,
    /// The caller disconnected.
    Gone,
    /// The request was malformed.
    Malformed,
}

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub struct Stats {
    outcomes: [AtomicU64; 6],
    timeouts: AtomicU64,
}

impl Stats {
    /// Counts a completed request.
    pub fn record_outcome(&self, outcome: Outcome) {
        self.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of requests with this outcome.
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

/// Counts one request in the in-flight metric of its service until dropped.
#[derive(Debug)]
pub struct InFlight<'a> {
    service: &'a ServiceId,
}

impl<'a> InFlight<'a> {
    /// Adds a request to the in-flight metric of `service`.
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
