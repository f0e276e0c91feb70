//! Stages of the graceful shutdown of an entry, and the number of requests in flight.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use strum::FromRepr;

/// The stage of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, FromRepr)]
#[repr(u8)]
pub enum Stage {
    /// The entry serves; no shutdown was requested.
    Serving,
    /// `/readyz` reports that the entry is draining; requests are still served, and each
    /// connection is closed after its response.
    Unready,
    /// No new connections are accepted; requests in flight continue.
    Closing,
    /// Requests in flight are aborted.
    Aborting,
}

/// The shutdown stage and the count of requests in flight, shared by all threads.
#[derive(Debug, Default)]
pub struct Drain {
    stage: AtomicU8,
    in_flight: AtomicUsize,
}

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub struct InFlight<'a>(&'a Drain);

impl Drain {
    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        Stage::from_repr(self.stage.load(Ordering::Acquire)).unwrap_or(Stage::Aborting)
    }

    /// Moves to a later stage; does nothing if `stage` is not later than the current one.
    pub fn advance(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn begin(&self) -> InFlight<'_> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight(self)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
