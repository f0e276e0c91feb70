//! The table that maps each shard of a group to the target that owns it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fence;
use crate::ids::GroupId;
use crate::ids::Shard;
use crate::ids::TargetId;
use crate::ids::Version;

/// The owner of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The target that may serve the shard; `None` while no target may.
    pub target: Option<TargetId>,
    /// The fencing token of the assignment; a new owner gets a higher one.
    pub fence: Fence,
}

/// The owners of all shards of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The group whose shards are assigned.
    pub group: GroupId,
    /// Increases with every change.
    pub version: Version,
    /// The owner of each shard. Shards whose number is at or above the service's number of hashed
    /// shards contain a single hot key.
    pub owners: BTreeMap<Shard, Owner>,
    /// The single-key shards by the hash of their key.
    pub hot_keys: BTreeMap<u64, Shard>,
}

/// The difference between two versions of an assignment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentDelta {
    /// The group whose assignment changed.
    pub group: GroupId,
    /// The version that the delta applies to.
    pub base: Version,
    /// The version after the delta is applied.
    pub version: Version,
    /// Shards with a new owner or fence.
    pub owners: BTreeMap<Shard, Owner>,
    /// Removed shards: single-key shards whose key is no longer hot.
    pub gone: Vec<Shard>,
    /// New single-key shards.
    pub hot_keys: BTreeMap<u64, Shard>,
}

impl Assignment {
    /// Returns an assignment without shards.
    pub fn empty(group: GroupId) -> Self {
        Self {
            group,
            version: Version(0),
            owners: BTreeMap::new(),
            hot_keys: BTreeMap::new(),
        }
    }

    /// Applies a delta. Returns false and changes nothing if the delta is for another version.
    pub fn apply(&mut self, delta: &AssignmentDelta) -> bool {
        if delta.base != self.version {
            return false;
        }
        self.version = delta.version;
        self.owners.extend(delta.owners.clone());
        self.hot_keys.extend(delta.hot_keys.clone());
        for shard in &delta.gone {
            self.owners.remove(shard);
        }
        self.hot_keys.retain(|_, shard| !delta.gone.contains(shard));
        true
    }

    /// Returns the delta that turns `self` into `newer`.
    pub fn delta_to(&self, newer: &Self) -> AssignmentDelta {
        let changed = |(shard, owner): &(&Shard, &Owner)| self.owners.get(shard) != Some(owner);
        let owners = newer.owners.iter().filter(changed);
        let hot_keys = newer
            .hot_keys
            .iter()
            .filter(|(key, shard)| self.hot_keys.get(key) != Some(shard));
        AssignmentDelta {
            group: self.group.clone(),
            base: self.version,
            version: newer.version,
            owners: owners
                .map(|(shard, owner)| (*shard, owner.clone()))
                .collect(),
            gone: self
                .owners
                .keys()
                .filter(|s| !newer.owners.contains_key(s))
                .copied()
                .collect(),
            hot_keys: hot_keys.map(|(key, shard)| (*key, *shard)).collect(),
        }
    }
}
