//! What a node believes of the owners of a service's keys.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::TargetId;
use crate::node::keys::map::KeyMap;
use crate::node::keys::map::KeyRange;
use crate::node::keys::map::Ownership;

/// Numbers what a leader announces; a later term's come after.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Sequence {
    /// The leader's term.
    pub term: u64,
    /// Rises with every announcement of the term.
    pub number: u64,
}

/// Where requests for a range of keys go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeLocation {
    /// The keys.
    #[serde(rename = "r")]
    pub range: KeyRange,
    /// The target that owns them, or will.
    #[serde(rename = "o")]
    pub owner: Option<TargetId>,
    /// Whether the owner does not hold the keys yet.
    #[serde(rename = "p")]
    pub pending: bool,
}

/// The number of a term's first announcement.
const FIRST_NUMBER: u64 = 1;
/// Announcements that may wait for earlier ones: datagrams overtake each other.
const MOST_WAITING: usize = 32;

/// The places of all keys.
#[derive(Debug, Default)]
pub struct KeyView {
    sequence: Sequence,
    places: Vec<RangeLocation>,
    /// Announcements that came before an earlier one.
    waiting: BTreeMap<Sequence, Vec<RangeLocation>>,
}

impl KeyView {
    /// Returns the newest announcement that the view holds.
    pub fn sequence(&self) -> Sequence {
        self.sequence
    }

    /// Returns whether any owner is known.
    pub fn is_known(&self) -> bool {
        !self.places.is_empty()
    }

    /// Returns the place of a key.
    pub fn find(&self, key: u16) -> Option<&RangeLocation> {
        let at = self.places.partition_point(|place| place.range.last < key);
        self.places.get(at)
    }

    /// Takes the stored map, by a read that began after `seen` was announced; returns whether the
    /// view changed. What is announced was stored before, so the map holds all of it.
    pub fn load(&mut self, map: &KeyMap, seen: Sequence) -> bool {
        let overtaken = seen < self.sequence || map.version.term < self.sequence.term;
        if overtaken || !map.is_whole() {
            return false;
        }
        let place = |part: &Ownership| RangeLocation {
            range: part.range,
            owner: part.owner.as_ref().map(|owner| owner.id.clone()),
            pending: false,
        };
        self.places = map.ranges.iter().map(place).collect();
        self.sequence = seen;
        self.apply_waiting();
        true
    }

    /// Takes an announcement; returns whether the view changed. One that comes before its
    /// forerunner waits for it.
    pub fn apply(&mut self, sequence: Sequence, places: &[RangeLocation]) -> bool {
        if sequence <= self.sequence || self.waiting.len() >= MOST_WAITING {
            return false;
        }
        self.waiting.insert(sequence, places.to_vec());
        self.apply_waiting()
    }

    fn apply_waiting(&mut self) -> bool {
        let held = self.sequence;
        self.waiting.retain(|sequence, _| *sequence > held);
        let mut changed = false;
        while self.is_known() {
            let Some((next, places)) = self.take_next() else {
                break;
            };
            self.sequence = next;
            places.iter().for_each(|place| self.put(place));
            changed = true;
        }
        changed
    }

    /// Returns the announcement that follows: the next one of the term, or the first one of a later
    /// term, whose leader goes on from the stored map and announces every range that it grants.
    fn take_next(&mut self) -> Option<(Sequence, Vec<RangeLocation>)> {
        let next = Sequence {
            number: self.sequence.number + 1,
            ..self.sequence
        };
        if let Some(places) = self.waiting.remove(&next) {
            return Some((next, places));
        }
        let is_first = |sequence: &&Sequence| {
            sequence.term > self.sequence.term && sequence.number == FIRST_NUMBER
        };
        let first = *self.waiting.keys().rfind(is_first)?;
        let places = self.waiting.remove(&first)?;
        self.waiting.retain(|sequence, _| *sequence > first);
        Some((first, places))
    }

    fn put(&mut self, new: &RangeLocation) {
        let mut places = Vec::with_capacity(self.places.len() + 2);
        let mut inserted = false;
        for old in self.places.drain(..) {
            let overlaps = old.range.first <= new.range.last && new.range.first <= old.range.last;
            if !overlaps {
                if !inserted && old.range.first > new.range.last {
                    places.push(new.clone());
                    inserted = true;
                }
                places.push(old);
                continue;
            }
            if old.range.first < new.range.first {
                places.push(piece(&old, old.range.first, new.range.first - 1));
            }
            if !inserted {
                places.push(new.clone());
                inserted = true;
            }
            if old.range.last > new.range.last {
                places.push(piece(&old, new.range.last + 1, old.range.last));
            }
        }
        if !inserted {
            places.push(new.clone());
        }
        self.places = places;
    }
}

fn piece(place: &RangeLocation, first: u16, last: u16) -> RangeLocation {
    RangeLocation {
        range: KeyRange { first, last },
        ..place.clone()
    }
}
