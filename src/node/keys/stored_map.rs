//! The encoding of a key map in its row, which must fit into one row of the table: every owner is
//! stored once, and ranges refer to owners by number.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::TargetId;
use crate::node::keys::map::Holder;
use crate::node::keys::map::KeyMap;
use crate::node::keys::map::KeyRange;
use crate::node::keys::map::MapVersion;
use crate::node::keys::map::Ownership;

/// A key map as stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub(super) enum StoredMap {
    /// The form that is written.
    Packed(PackedMap),
    /// The form that earlier versions of the program wrote.
    Plain(PlainMap),
}

/// A map whose ranges refer to a list of owners.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct PackedMap {
    #[serde(rename = "v")]
    version: MapVersion,
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    max_grant_ms: Option<u64>,
    /// All owners and prior owners, with their incarnations.
    #[serde(rename = "o")]
    holders: Vec<(TargetId, u64)>,
    /// The first key, the owner and the prior owner of each range. A range ends before the next one.
    #[serde(rename = "r")]
    ranges: Vec<(u16, Option<u32>, Option<u32>)>,
}

/// A map with a copy of the owner in each range.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct PlainMap {
    version: MapVersion,
    #[serde(rename = "h", default)]
    max_grant_ms: Option<u64>,
    ranges: Vec<Ownership>,
}

/// A stored map refers to an owner that it does not contain, or its ranges leave out keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the stored key map is inconsistent; delete its row once no target holds keys")]
pub(super) struct InconsistentMap;

impl From<KeyMap> for StoredMap {
    fn from(map: KeyMap) -> Self {
        let mut numbers = BTreeMap::new();
        let mut holders = Vec::new();
        let mut number = |holder: &Holder| {
            *numbers.entry(holder.clone()).or_insert_with(|| {
                holders.push((holder.id.clone(), holder.incarnation));
                holders.len() as u32 - 1
            })
        };
        let ranges = map.ranges.iter().map(|entry| {
            let owner = entry.owner.as_ref().map(&mut number);
            let prior = entry.prior.as_ref().map(&mut number);
            (entry.range.first, owner, prior)
        });
        let ranges = ranges.collect();
        Self::Packed(PackedMap {
            version: map.version,
            max_grant_ms: map.max_grant_ms,
            holders,
            ranges,
        })
    }
}

impl TryFrom<StoredMap> for KeyMap {
    type Error = InconsistentMap;

    fn try_from(stored: StoredMap) -> Result<Self, InconsistentMap> {
        let map = match stored {
            StoredMap::Packed(packed) => packed.unpack()?,
            StoredMap::Plain(plain) => Self {
                version: plain.version,
                max_grant_ms: plain.max_grant_ms,
                ranges: plain.ranges,
            },
        };
        // A leader without candidates stores a map without ranges.
        let is_consistent = map.ranges.is_empty() || map.is_whole();
        is_consistent.then_some(map).ok_or(InconsistentMap)
    }
}

impl PackedMap {
    fn unpack(&self) -> Result<KeyMap, InconsistentMap> {
        let holder = |number: Option<u32>| {
            let Some(number) = number else {
                return Ok(None);
            };
            let (id, incarnation) = self.holders.get(number as usize).ok_or(InconsistentMap)?;
            Ok(Some(Holder {
                id: id.clone(),
                incarnation: *incarnation,
            }))
        };
        let ends = self.ranges.iter().skip(1).map(|next| next.0.checked_sub(1));
        let ends = ends.chain([Some(u16::MAX)]);
        let ranges = self.ranges.iter().zip(ends).map(|(entry, last)| {
            Ok(Ownership {
                range: KeyRange {
                    first: entry.0,
                    last: last.ok_or(InconsistentMap)?,
                },
                owner: holder(entry.1)?,
                prior: holder(entry.2)?,
            })
        });
        Ok(KeyMap {
            version: self.version,
            max_grant_ms: self.max_grant_ms,
            ranges: ranges.collect::<Result<_, _>>()?,
        })
    }
}
