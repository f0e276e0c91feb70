//! Whether this node reads the list of targets for its data centre, and when the others read it.
//!
//! One node a data centre reads the list at a fixed pace and tells how far it has come and a
//! digest of what it saw. The others read only when their own list differs, or when they have not
//! heard for a while.

use std::time::Duration;
use std::time::Instant;

use crate::node::pulse::ListMark;

/// How often the reader reads: a target that leaves must get no work 2 s later.
const READ_PERIOD: Duration = Duration::from_millis(600);
/// How long the others do without a newer mark before they read themselves.
const PATIENCE: Duration = Duration::from_millis(1_200);

/// When to read the list next.
#[derive(Debug)]
pub struct Reading {
    own: ListMark,
    newest: ListMark,
    confirmed: Instant,
    read: Instant,
    differs: bool,
}

impl Reading {
    /// Starts with nothing read.
    pub fn new(now: Instant) -> Self {
        Self {
            own: ListMark::default(),
            newest: ListMark::default(),
            confirmed: now,
            read: now,
            differs: true,
        }
    }

    /// Returns what this node has read.
    pub fn mark(&self) -> ListMark {
        self.own
    }

    /// Records what this node has read.
    pub fn read(&mut self, mark: ListMark, now: Instant) {
        self.own = mark;
        self.read = now;
        self.confirmed = now;
        self.differs = false;
        if mark.0 > self.newest.0 {
            self.newest = mark;
        }
    }

    /// Records what another node of the data centre has read.
    pub fn heard(&mut self, mark: ListMark, now: Instant) {
        if mark.0 <= self.newest.0 {
            return;
        }
        self.newest = mark;
        if mark.1 == self.own.1 {
            self.confirmed = now;
        } else {
            self.differs = true;
        }
    }

    /// Returns when to read, as the reader of the data centre or as another.
    pub fn due(&self, is_reader: bool) -> Instant {
        match (is_reader, self.differs) {
            (true, _) => self.read + READ_PERIOD,
            (false, true) => self.read,
            (false, false) => self.confirmed + PATIENCE,
        }
    }
}
