//! How a request ended, counted once.

use std::time::Duration;
use std::time::Instant;

use strum::IntoStaticStr;

use crate::ids::ServiceId;
use crate::metrics;
use crate::route::Refusal;
use crate::traffic::worker::Shared;

const SERVER_ERROR: u16 = 500;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The target's whole answer went to the caller.
    Whole,
    /// Refused; it did not run.
    NotRun,
    /// Refused; it may have run.
    Unknown,
    /// The answer broke off.
    Cut,
    /// The caller went away.
    Gone,
    /// The body was malformed.
    Malformed,
}

/// Counts a request when it is dropped.
#[derive(Debug)]
pub struct Ending<'a> {
    shared: &'a Shared,
    service: ServiceId,
    began: Instant,
    outcome: Outcome,
    answered: Option<Instant>,
    status: u16,
}

impl<'a> Ending<'a> {
    /// Starts with a caller that goes away before anything else happens.
    pub fn new(shared: &'a Shared, service: &ServiceId, began: Instant) -> Self {
        let service = service.clone();
        metrics::instruments().in_flight(&service, 1);
        Self {
            shared,
            service,
            began,
            outcome: Outcome::Gone,
            answered: None,
            status: 0,
        }
    }

    /// Tells how the request ended.
    pub fn end(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Tells that the request was refused.
    pub fn refused(&mut self, refusal: Refusal) {
        self.end(match refusal {
            Refusal::Unknown => Outcome::Unknown,
            _ => Outcome::NotRun,
        });
    }

    /// Tells that the whole answer went to the caller, and when its head was in hand.
    pub fn whole(&mut self, status: u16, answered: Option<Instant>) {
        self.end(Outcome::Whole);
        self.status = status;
        self.answered = answered;
    }

    fn took(&self, now: Instant) -> Duration {
        let answered = self.answered.unwrap_or(now);
        answered.saturating_duration_since(self.began)
    }
}

impl Drop for Ending<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        let took = self.took(now);
        let instruments = metrics::instruments();
        instruments.in_flight(&self.service, -1);
        let outcome = self.outcome.into();
        instruments.request(&self.service, &self.shared.data_centre, outcome, took);
        // What callers break off or send malformed says nothing about the service.
        let burn = &self.shared.burn;
        match self.outcome {
            Outcome::Gone | Outcome::Malformed => {}
            Outcome::Whole if self.status < SERVER_ERROR => {
                burn.record(&self.service, Some(took), now);
            }
            _ => burn.record(&self.service, None, now),
        }
    }
}
