//! What a node believes of the owners of a service's keys.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::TargetId;
use crate::node::keys::map::KeyMap;
use crate::node::keys::map::KeyRange;

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
pub struct Place {
    /// The keys.
    pub range: KeyRange,
    /// The target that owns them, or will.
    pub owner: Option<TargetId>,
    /// Whether the owner does not hold the keys yet.
    pub pending: bool,
}

/// The places of all keys.
#[derive(Debug, Default)]
pub struct KeyView {
    sequence: Sequence,
    places: Vec<Place>,
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
    pub fn find(&self, key: u16) -> Option<&Place> {
        let at = self.places.partition_point(|place| place.range.last < key);
        self.places.get(at)
    }

    /// Takes a stored map that was read after the leader had announced `seen`; an older one is
    /// ignored.
    pub fn load(&mut self, map: &KeyMap, stored: Sequence, seen: Sequence) -> bool {
        if stored < self.sequence || !map.is_whole() {
            return false;
        }
        let place = |part: &crate::node::keys::map::Ownership| Place {
            range: part.range,
            owner: part.owner.as_ref().map(|owner| owner.id.clone()),
            pending: false,
        };
        self.places = map.ranges.iter().map(place).collect();
        self.sequence = stored.max(seen);
        true
    }

    /// Takes an announcement; returns false when one before it is missing.
    pub fn apply(&mut self, sequence: Sequence, places: &[Place]) -> bool {
        if sequence <= self.sequence {
            return true;
        }
        let next = sequence.term == self.sequence.term
            && sequence.number == self.sequence.number + 1
            && self.is_known();
        if !next {
            return false;
        }
        self.sequence = sequence;
        places.iter().for_each(|place| self.put(place));
        true
    }

    fn put(&mut self, new: &Place) {
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

fn piece(place: &Place, first: u16, last: u16) -> Place {
    Place {
        range: KeyRange { first, last },
        ..place.clone()
    }
}
