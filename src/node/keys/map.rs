//! Which target owns which keys of a service: ranges that cover all keys without a gap.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fence;
use crate::ids::TargetId;

/// One process of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The target.
    pub id: TargetId,
    /// Tells the process from an earlier one of the same id.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// A run of keys, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// The first key.
    #[serde(rename = "f")]
    pub first: u16,
    /// The last key.
    #[serde(rename = "l")]
    pub last: u16,
}

impl KeyRange {
    /// All keys.
    pub const ALL: Self = Self {
        first: 0,
        last: u16::MAX,
    };

    /// Returns the number of keys.
    pub fn len(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Returns false: a range holds at least one key.
    pub fn is_empty(self) -> bool {
        false
    }

    /// Returns whether the range holds a key.
    pub fn contains(self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }
}

/// Who owns a range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The keys.
    pub range: KeyRange,
    /// The only process that may be granted the keys.
    pub owner: Option<Holder>,
    /// A process that may still hold the keys from before; the owner gets them after its end.
    pub prior: Option<Holder>,
}

/// Numbers the maps of a service; later leaders' come after earlier ones'.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MapVersion {
    /// The leader's term.
    pub term: u64,
    /// Rises with each write of a term.
    pub number: u64,
}

/// The owners of all keys of a service, as stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyMap {
    /// The version.
    pub version: MapVersion,
    /// The longest time, in milliseconds, that any leader may have granted keys for; without it,
    /// the longest that targets accept.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub max_grant_ms: Option<u64>,
    /// The ranges in order; together they hold each key once.
    pub ranges: Vec<Ownership>,
}

impl KeyMap {
    /// Returns the place of a key in the map.
    pub fn find(&self, key: u16) -> Option<&Ownership> {
        let at = self.ranges.partition_point(|part| part.range.last < key);
        self.ranges.get(at)
    }

    /// Returns whether the ranges hold each key once, in order.
    pub fn is_whole(&self) -> bool {
        let mut next = 0u32;
        for part in &self.ranges {
            if u32::from(part.range.first) != next || part.range.last < part.range.first {
                return false;
            }
            next = u32::from(part.range.last) + 1;
        }
        next == u32::from(u16::MAX) + 1
    }
}

/// Numbers given to grants within a term; a term's fences are above those of all earlier terms.
#[derive(Debug)]
pub struct Fences {
    next: u64,
}

/// Grants of one term; a term lasts minutes, so that no leader comes near it.
const FENCES_PER_TERM: u64 = 1 << 24;

impl Fences {
    /// Starts the fences of a term.
    pub fn new(term: u64) -> Self {
        Self {
            next: term * FENCES_PER_TERM,
        }
    }

    /// Returns the next fence.
    pub fn draw(&mut self) -> Fence {
        self.next += 1;
        Fence(self.next)
    }
}
