//! The stored map of a service: key ranges with their owners, covering all keys without gaps.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fence;
use crate::ids::TargetId;
use crate::node::keys::stored_map::StoredMap;

/// One process of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The target's identifier, unchanged by restarts.
    pub id: TargetId,
    /// Distinguishes this process from earlier ones of the same target; later processes have higher
    /// numbers.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// A contiguous, non-empty range of keys, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// The lowest key.
    #[serde(rename = "f")]
    pub first: u16,
    /// The highest key.
    #[serde(rename = "l")]
    pub last: u16,
}

impl KeyRange {
    /// The range of all keys.
    pub const ALL: Self = Self {
        first: 0,
        last: u16::MAX,
    };

    /// Returns the number of keys, at least 1.
    pub fn len(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Returns false: a range contains at least one key.
    pub fn is_empty(self) -> bool {
        false
    }

    /// Returns true if the range contains `key`.
    pub fn contains(self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }
}

/// A key range and its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The owned keys.
    pub range: KeyRange,
    /// The only process that may be granted the keys.
    pub owner: Option<Holder>,
    /// The previous owner, if it may still hold the keys; `owner` is granted them only after the
    /// previous owner has released them or its grant has expired.
    pub prior: Option<Holder>,
}

/// The version of a service's map, ordered by term and then by number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MapVersion {
    /// The term of the leader that wrote the map.
    pub term: u64,
    /// Increases with each write within a term.
    pub number: u64,
}

/// The owners of all keys of a service, as stored in the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "StoredMap", try_from = "StoredMap")]
pub struct KeyMap {
    /// Increases with each stored map.
    pub version: MapVersion,
    /// The longest duration, in milliseconds, for which any leader may have granted keys; if
    /// absent, the longest duration that targets accept.
    pub max_grant_ms: Option<u64>,
    /// The ranges in ascending order; together they contain each key exactly once.
    pub ranges: Vec<Ownership>,
}

impl KeyMap {
    /// Returns the range that contains `key`.
    pub fn find(&self, key: u16) -> Option<&Ownership> {
        let at = self.ranges.partition_point(|entry| entry.range.last < key);
        self.ranges.get(at)
    }

    /// Returns true if the ranges are in order and contain each key exactly once.
    pub fn is_whole(&self) -> bool {
        let mut next = 0u32;
        for entry in &self.ranges {
            if u32::from(entry.range.first) != next || entry.range.last < entry.range.first {
                return false;
            }
            next = u32::from(entry.range.last) + 1;
        }
        next == u32::from(u16::MAX) + 1
    }
}

/// Allocates the fencing tokens of a term; they are higher than those of all earlier terms.
#[derive(Debug)]
pub struct FenceAllocator {
    next: u64,
}

/// Number of fences reserved for each term; a term lasts minutes, so a leader never uses them up.
const FENCES_PER_TERM: u64 = 1 << 24;

impl FenceAllocator {
    /// Starts at the first fence of `term`.
    pub fn new(term: u64) -> Self {
        Self {
            next: term * FENCES_PER_TERM,
        }
    }

    /// Continues after a fence of a term.
    pub fn after(fence: Fence) -> Self {
        Self { next: fence.0 }
    }

    /// Returns the last fence that was allocated.
    pub fn last(&self) -> Fence {
        Fence(self.next)
    }

    /// Returns a fence higher than all previous ones of the term.
    pub fn allocate(&mut self) -> Fence {
        self.next += 1;
        Fence(self.next)
    }
}
