//! A node's local view of the owners of a service's keys, which it routes requests by.
//!
//! The view starts from the stored map and follows the leaders' announcements, which arrive as
//! datagrams and may be lost, repeated or reordered.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::TargetId;
use crate::node::keys::map::KeyMap;
use crate::node::keys::map::KeyRange;
use crate::node::keys::map::Ownership;
use crate::node::keys::refused::RefusedRanges;

/// The sequence number of a leader's announcement, ordered by term and then by number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Sequence {
    /// The term of the announcing leader.
    pub term: u64,
    /// Increases by one with every announcement of the term, from 1; 0 before the first.
    pub number: u64,
}

/// The target to which requests for a range of keys are routed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeLocation {
    /// The keys that are routed to `owner`.
    #[serde(rename = "r")]
    pub range: KeyRange,
    /// The current owner, or the next one if `pending`.
    #[serde(rename = "o")]
    pub owner: Option<TargetId>,
    /// True if the owner has not been granted the keys yet.
    #[serde(rename = "p")]
    pub pending: bool,
}

/// The number of a term's first announcement.
const FIRST_NUMBER: u64 = 1;
/// Maximum number of announcements buffered until an earlier one arrives, since datagrams may be
/// reordered.
const MAX_BUFFERED: usize = 32;

/// The locations of all keys of a service; empty until the first map is loaded.
#[derive(Debug, Default)]
pub struct KeyView {
    sequence: Sequence,
    locations: Vec<RangeLocation>,
    /// Announcements received before one that precedes them.
    buffered: BTreeMap<Sequence, Vec<RangeLocation>>,
    refused: RefusedRanges,
}

impl KeyView {
    /// Returns the number of the newest announcement applied.
    pub fn sequence(&self) -> Sequence {
        self.sequence
    }

    /// Returns true once a map has been loaded.
    pub fn is_known(&self) -> bool {
        !self.locations.is_empty()
    }

    /// Returns the location of `key`; `None` if no map has been loaded.
    pub fn find(&self, key: u16) -> Option<&RangeLocation> {
        let at = self
            .locations
            .partition_point(|location| location.range.last < key);
        self.locations.get(at)
    }

    /// Records that `owner` refused a request for `key`, sent at `sent_at`, as it does not hold the key.
    pub fn record_refusal(&mut self, key: u16, owner: &TargetId, sent_at: Instant, now: Instant) {
        let location = self.find(key).cloned();
        if let Some(location) = location.filter(|it| it.owner.as_ref() == Some(owner)) {
            self.refused.record(&location, sent_at, now);
        }
    }

    /// Records that the owner of `key` served a request for it.
    pub fn record_served(&mut self, key: u16) {
        self.refused.forget(KeyRange {
            first: key,
            last: key,
        });
    }

    /// Permits a request for `key` to be sent to its owner. If the owner does not hold the key, returns
    /// when the next request may be sent.
    pub fn permit_send(&mut self, key: u16, now: Instant) -> Result<(), Instant> {
        match self.find(key).cloned() {
            Some(location) => self.refused.permit(&location, now),
            None => Ok(()),
        }
    }

    /// Returns when the next request for `key` may be sent, if its owner does not hold it.
    pub fn next_send(&self, key: u16) -> Option<Instant> {
        self.refused.next_send(self.find(key)?)
    }

    /// Replaces the view by the stored map, read after the announcement `seen` was sent; returns
    /// true if the view changed. Changes are stored before they are announced, so the map contains
    /// all changes up to `seen`.
    pub fn load(&mut self, map: &KeyMap, seen: Sequence) -> bool {
        let is_outdated = seen < self.sequence || map.version.term < self.sequence.term;
        if is_outdated || !map.is_whole() {
            return false;
        }
        let location = |entry: &Ownership| RangeLocation {
            range: entry.range,
            owner: entry.owner.as_ref().map(|owner| owner.id.clone()),
            pending: false,
        };
        self.locations = map.ranges.iter().map(location).collect();
        self.sequence = seen;
        self.refused.clear();
        self.apply_buffered();
        true
    }

    /// Applies an announcement; returns true if the view changed. An announcement that arrives
    /// before the preceding one is buffered.
    pub fn apply(&mut self, sequence: Sequence, locations: &[RangeLocation]) -> bool {
        if sequence <= self.sequence || self.buffered.len() >= MAX_BUFFERED {
            return false;
        }
        self.buffered.insert(sequence, locations.to_vec());
        self.apply_buffered()
    }

    fn apply_buffered(&mut self) -> bool {
        let applied = self.sequence;
        self.buffered.retain(|sequence, _| *sequence > applied);
        let mut changed = false;
        while self.is_known() {
            let Some((next, locations)) = self.remove_next() else {
                break;
            };
            self.sequence = next;
            locations.iter().for_each(|location| self.insert(location));
            changed = true;
        }
        changed
    }

    /// Removes and returns the buffered announcement to apply next: the next one of the term, or
    /// the first one of a later term. A new leader continues from the stored map and announces every
    /// range that it grants, so the rest of its predecessor's announcements can be skipped.
    fn remove_next(&mut self) -> Option<(Sequence, Vec<RangeLocation>)> {
        let next = Sequence {
            number: self.sequence.number + 1,
            ..self.sequence
        };
        if let Some(locations) = self.buffered.remove(&next) {
            return Some((next, locations));
        }
        let is_first = |sequence: &&Sequence| {
            sequence.term > self.sequence.term && sequence.number == FIRST_NUMBER
        };
        let first = *self.buffered.keys().rfind(is_first)?;
        let locations = self.buffered.remove(&first)?;
        self.buffered.retain(|sequence, _| *sequence > first);
        Some((first, locations))
    }

    fn insert(&mut self, new: &RangeLocation) {
        self.refused.forget(new.range);
        let mut locations = Vec::with_capacity(self.locations.len() + 2);
        let mut inserted = false;
        for old in self.locations.drain(..) {
            let overlaps = old.range.first <= new.range.last && new.range.first <= old.range.last;
            if !overlaps {
                if !inserted && old.range.first > new.range.last {
                    locations.push(new.clone());
                    inserted = true;
                }
                locations.push(old);
                continue;
            }
            if old.range.first < new.range.first {
                locations.push(subrange(&old, old.range.first, new.range.first - 1));
            }
            if !inserted {
                locations.push(new.clone());
                inserted = true;
            }
            if old.range.last > new.range.last {
                locations.push(subrange(&old, new.range.last + 1, old.range.last));
            }
        }
        if !inserted {
            locations.push(new.clone());
        }
        self.locations = locations;
    }
}

fn subrange(location: &RangeLocation, first: u16, last: u16) -> RangeLocation {
    RangeLocation {
        range: KeyRange { first, last },
        ..location.clone()
    }
}
