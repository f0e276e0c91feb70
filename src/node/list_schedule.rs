//! Schedules reads of the list of targets.
//!
//! One node per data centre, the reader, polls the platform for changes and sends the changes, its
//! position, the age of its read and a digest of the list to the others. The others read the list
//! themselves only if their digest differs or the reader's last report is too old.

use std::time::Duration;
use std::time::Instant;

use crate::node::datagram::ListDigest;
use crate::node::datagram::ListPosition;
use crate::node::platform::Cursor;

/// How long one call of the reader waits for a change.
pub const READER_POLL_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause of the reader between calls, so that changes in quick succession need one call.
const READER_PAUSE: Duration = Duration::from_millis(300);
/// Minimum time between reads of a node that missed a change sent by the reader. It is short if
/// targets are leaving, and long if targets only joined, because at a start they join one by one.
const LEFT_PAUSE: Duration = Duration::from_millis(500);
const JOINED_PAUSE: Duration = Duration::from_millis(1_500);
/// Maximum age of a confirmed list before a node reads it itself: longer than the reader's pause and
/// poll timeout, a heartbeat period and the network delay together, and shorter than the 2 s after
/// which a leaving target must get no requests.
const MAX_CONFIRMED_AGE: Duration = Duration::from_millis(1_500);

/// Decides when this node next reads the list of targets, from its own reads and peers' reports.
#[derive(Debug)]
pub struct ListSchedule {
    cursor: Cursor,
    digest: ListDigest,
    /// When this node's list was last known to be current, by its own read or a peer's report.
    confirmed: Instant,
    last_read: Instant,
    /// When a peer last read the list, by its reports.
    peer_read: Option<Instant>,
    difference: Option<Difference>,
}

/// How a newer list of a peer differs from this node's list, by increasing urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Difference {
    /// Targets joined.
    Joined,
    /// Targets are leaving or gone.
    Left,
}

impl ListSchedule {
    /// Creates the schedule of a node that has not read the list yet.
    pub fn new(now: Instant) -> Self {
        Self {
            cursor: Cursor::default(),
            digest: ListDigest::default(),
            confirmed: now,
            last_read: now,
            peer_read: None,
            difference: Some(Difference::Left),
        }
    }

    /// Returns position, digest and age of this node's list, for heartbeats.
    pub fn position(&self, now: Instant) -> ListPosition {
        let age = now.saturating_duration_since(self.last_read).as_millis();
        ListPosition {
            cursor: self.cursor,
            digest: self.digest,
            age_ms: age.min(u16::MAX.into()) as u16,
        }
    }

    /// Records a completed read by this node.
    pub fn record_read(&mut self, cursor: Cursor, digest: ListDigest, now: Instant) {
        self.cursor = cursor;
        self.digest = digest;
        self.last_read = now;
        self.confirmed = now;
        self.difference = None;
    }

    /// Records that changes sent by a peer were applied; `digest` is the digest of the
    /// resulting list.
    pub fn record_update(&mut self, digest: ListDigest) {
        self.digest = digest;
        self.difference = None;
    }

    /// Records the position reported by another node of the data centre.
    pub fn record_peer(&mut self, peer: ListPosition, now: Instant) {
        if peer.cursor < self.cursor {
            return;
        }
        let read = now.checked_sub(Duration::from_millis(peer.age_ms.into()));
        self.peer_read = self.peer_read.max(read);
        if peer.digest == self.digest {
            self.confirmed = self.confirmed.max(read.unwrap_or(now));
        } else if peer.cursor > self.cursor {
            let (theirs, own) = (peer.digest, self.digest);
            let left = theirs.leaving != own.leaving || theirs.staying < own.staying;
            let difference = if left {
                Difference::Left
            } else {
                Difference::Joined
            };
            self.difference = self.difference.max(Some(difference));
        }
    }

    /// Returns when a node that does not poll for rules, and last read them at `rules_read`, should
    /// read them again: a reader in the data centre that reads the list also has new rules.
    pub fn next_rules_read(&self, rules_read: Instant) -> Instant {
        self.peer_read.max(Some(rules_read)).unwrap_or(rules_read) + MAX_CONFIRMED_AGE
    }

    /// Returns the time of the next read, which is at once on a node that has not read the list yet;
    /// `is_reader` is true on the data centre's reader.
    pub fn next_read(&self, is_reader: bool) -> Instant {
        if self.cursor == Cursor::default() {
            return self.last_read;
        }
        match (is_reader, self.difference) {
            (true, _) => self.last_read + READER_PAUSE,
            (false, Some(Difference::Left)) => self.last_read + LEFT_PAUSE,
            (false, Some(Difference::Joined)) => self.last_read + JOINED_PAUSE,
            (false, None) => self.confirmed + MAX_CONFIRMED_AGE,
        }
    }
}
