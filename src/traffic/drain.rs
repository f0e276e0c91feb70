//! The stages of an entry's life, from serving to the end of a graceful shutdown.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use strum::FromRepr;

/// How far a graceful shutdown is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, FromRepr)]
#[repr(u8)]
pub enum Stage {
    /// The entry serves.
    Serving,
    /// The entry is not ready; it serves what still comes and closes each connection after.
    Unready,
    /// The entry takes no connection; work in flight goes on.
    Closing,
    /// Work in flight is cut.
    Aborting,
}

/// The stage and the work in flight, shared by all threads.
#[derive(Debug, Default)]
pub struct Drain {
    stage: AtomicU8,
    in_flight: AtomicUsize,
}

/// One request in flight; dropping it ends the count.
#[derive(Debug)]
pub struct InFlight<'a>(&'a Drain);

impl Drain {
    /// Returns the stage.
    pub fn stage(&self) -> Stage {
        Stage::from_repr(self.stage.load(Ordering::Acquire)).unwrap_or(Stage::Aborting)
    }

    /// Goes on to a later stage; an earlier one changes nothing.
    pub fn advance(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
    }

    /// Counts a request until the guard is dropped.
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
