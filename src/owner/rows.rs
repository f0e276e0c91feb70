//! The rows of the table that store a group's membership and the owners of its shards.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::ids::BootId;
use crate::ids::Fence;
use crate::ids::GroupId;
use crate::ids::Shard;
use crate::ids::TargetId;
use crate::owner::message::Membership;
use crate::owner::message::TargetBoot;
use crate::owner::order::ShardFence;

/// A row could not be decoded.
#[derive(Debug, Error)]
#[error("row {key} is malformed ({reason}); check that all VMs run the same release")]
pub struct RowError {
    key: String,
    reason: String,
}

/// The members that control a group: the row `group/SERVICE/INDEX`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRow {
    /// The members of the newest term.
    #[serde(rename = "place")]
    pub membership: Membership,
    /// Earlier terms whose orders may still have an effect.
    pub prior: Vec<Membership>,
}

/// The owners of a group's shards: the row `shards/SERVICE/INDEX`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Packed", into = "Packed")]
pub struct ShardsRow {
    /// The highest fence that has been used in the group.
    pub max_fence: Fence,
    /// The lowest number that the next single-key shard may get.
    pub next_shard: Shard,
    /// The process of each target that owns shards.
    pub boots: BTreeMap<TargetId, BootId>,
    /// The owner of each shard.
    pub owners: BTreeMap<Shard, RowOwner>,
    /// The single-key shards by the hash of their key.
    pub hot_keys: BTreeMap<u64, Shard>,
}

/// The owner of one shard, as stored in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowOwner {
    /// The target that owns the shard.
    pub target: TargetId,
    /// The fence of the assignment.
    pub fence: Fence,
}

/// The stored form of [`ShardsRow`]: the list of targets contains each name once, and shards refer
/// to a target by its index.
#[derive(Serialize, Deserialize)]
struct Packed {
    #[serde(rename = "top")]
    max_fence: Fence,
    next_shard: Shard,
    targets: Vec<(TargetId, BootId)>,
    owners: Vec<(Shard, u32, Fence)>,
    hot_keys: Vec<(u64, Shard)>,
}

impl From<ShardsRow> for Packed {
    fn from(row: ShardsRow) -> Self {
        let index: BTreeMap<_, u32> = row.boots.keys().zip(0..).collect();
        let owner = |(shard, owner): (&Shard, &RowOwner)| {
            let target = index.get(&owner.target)?;
            Some((*shard, *target, owner.fence))
        };
        Self {
            max_fence: row.max_fence,
            next_shard: row.next_shard,
            owners: row.owners.iter().filter_map(owner).collect(),
            hot_keys: row.hot_keys.into_iter().collect(),
            targets: row.boots.into_iter().collect(),
        }
    }
}

impl TryFrom<Packed> for ShardsRow {
    type Error = String;

    fn try_from(packed: Packed) -> Result<Self, String> {
        let owner = |(shard, index, fence): &(Shard, u32, Fence)| {
            let target = packed.targets.get(*index as usize);
            let (target, _) = target.ok_or(format!("shard {shard} has no target"))?;
            let target = target.clone();
            let fence = *fence;
            Ok::<_, String>((*shard, RowOwner { target, fence }))
        };
        let owners: Result<_, _> = packed.owners.iter().map(owner).collect();
        Ok(Self {
            max_fence: packed.max_fence,
            next_shard: packed.next_shard,
            owners: owners?,
            hot_keys: packed.hot_keys.into_iter().collect(),
            boots: packed.targets.into_iter().collect(),
        })
    }
}

impl ShardsRow {
    /// Returns the target process that owns a shard.
    pub fn owner(&self, shard: Shard) -> Option<TargetBoot> {
        let owner = self.owners.get(&shard)?;
        let boot = *self.boots.get(&owner.target)?;
        let target = owner.target.clone();
        Some(TargetBoot { target, boot })
    }

    /// Returns the shards that a target process owns, with their fences.
    pub fn shards_of(&self, at: &TargetBoot) -> Vec<ShardFence> {
        if self.boots.get(&at.target) != Some(&at.boot) {
            return Vec::new();
        }
        let owned = self
            .owners
            .iter()
            .filter(|(_, owner)| owner.target == at.target);
        owned
            .map(|(&shard, owner)| ShardFence {
                shard,
                fence: owner.fence,
            })
            .collect()
    }

    /// Removes the processes of targets that own no shards.
    pub fn prune(&mut self) {
        let owns = |target: &TargetId| self.owners.values().any(|owner| owner.target == *target);
        let unused: Vec<_> = self.boots.keys().filter(|t| !owns(t)).cloned().collect();
        for target in unused {
            self.boots.remove(&target);
        }
    }
}

/// Returns the key of a group's [`GroupRow`].
pub fn group_key(group: &GroupId) -> String {
    format!("group/{group}")
}

/// Returns the key of a group's [`ShardsRow`].
pub fn shards_key(group: &GroupId) -> String {
    format!("shards/{group}")
}

/// Encodes a row as CBOR.
pub fn encode<T: Serialize>(row: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(row, &mut bytes).expect("writing to memory cannot fail");
    bytes
}

/// Decodes a row from CBOR; `key` is used in the error.
pub fn decode<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, RowError> {
    ciborium::from_reader(value).map_err(|error: ciborium::de::Error<_>| RowError {
        key: key.into(),
        reason: error.to_string(),
    })
}
