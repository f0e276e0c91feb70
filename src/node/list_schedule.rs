//! Whether this node reads the list of targets for its data centre, and when the others read it.
//!
//! One node a data centre waits for changes of the list and tells how far it has come, when that
//! was, and a digest of what it saw. The others read only when their own list differs, or when they
//! have not heard for a while.

use std::time::Duration;
use std::time::Instant;

use crate::node::datagram::ListDigest;
use crate::node::datagram::ListPosition;
use crate::node::platform::Cursor;

/// How long the reader waits for a change in one call.
pub const READER_POLL_TIMEOUT: Duration = Duration::from_millis(800);
/// The reader's pause after a call, so that changes in a row cost one.
const READER_PAUSE: Duration = Duration::from_millis(100);
/// Time between two reads of another node that missed what the reader told: short when targets
/// left, long when some only joined, which at a start they do one after the other.
const LEFT_PAUSE: Duration = Duration::from_millis(500);
const JOINED_PAUSE: Duration = Duration::from_millis(1_500);
/// How old the news of the others may be before they read themselves: more than the reader's wait
/// and the way, less than the 2 s after which a target that leaves must get no work.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// When to read the list next.
#[derive(Debug)]
pub struct ListSchedule {
    cursor: Cursor,
    digest: ListDigest,
    confirmed: Instant,
    read: Instant,
    differs: Option<Difference>,
}

/// How another node's list differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Difference {
    /// Targets may have joined.
    Joined,
    /// Targets are leaving or gone.
    Left,
}

impl ListSchedule {
    /// Starts with nothing read.
    pub fn new(now: Instant) -> Self {
        Self {
            cursor: Cursor::default(),
            digest: ListDigest::default(),
            confirmed: now,
            read: now,
            differs: Some(Difference::Left),
        }
    }

    /// Returns what this node has read.
    pub fn position(&self, now: Instant) -> ListPosition {
        let age = now.saturating_duration_since(self.read).as_millis();
        ListPosition {
            cursor: self.cursor,
            digest: self.digest,
            age_ms: age.min(u16::MAX.into()) as u16,
        }
    }

    /// Records what this node has read.
    pub fn record_read(&mut self, cursor: Cursor, digest: ListDigest, now: Instant) {
        self.cursor = cursor;
        self.digest = digest;
        self.read = now;
        self.confirmed = now;
        self.differs = None;
    }

    /// Records that the list has changed by what another node told.
    pub fn record_update(&mut self, digest: ListDigest) {
        self.digest = digest;
        self.differs = None;
    }

    /// Records what another node of the data centre has read.
    pub fn record_peer(&mut self, mark: ListPosition, now: Instant) {
        if mark.cursor < self.cursor {
            return;
        }
        if mark.digest == self.digest {
            let read = now.checked_sub(Duration::from_millis(mark.age_ms.into()));
            self.confirmed = self.confirmed.max(read.unwrap_or(now));
        } else if mark.cursor > self.cursor {
            let (theirs, own) = (mark.digest, self.digest);
            let left = theirs.leaving != own.leaving || theirs.staying < own.staying;
            let difference = if left {
                Difference::Left
            } else {
                Difference::Joined
            };
            self.differs = self.differs.max(Some(difference));
        }
    }

    /// Returns when to read, as the reader of the data centre or as another.
    pub fn next_read(&self, is_reader: bool) -> Instant {
        match (is_reader, self.differs) {
            (true, _) => self.read + READER_PAUSE,
            (false, Some(Difference::Left)) => self.read + LEFT_PAUSE,
            (false, Some(Difference::Joined)) => self.read + JOINED_PAUSE,
            (false, None) => self.confirmed + PATIENCE,
        }
    }
}
