//! Which keys get a shard of their own, and how much load each shard carries.

use std::collections::BTreeMap;

use crate::ids::Shard;
use crate::owner::loads::Loads;
use crate::owner::rows::ShardsRow;

/// A key gets a shard of its own above this part of a target's mean load.
const HOT_PART: f64 = 0.015;
/// Its shard goes back into the hashed one below this part.
const COLD_PART: f64 = 0.005;
/// ... and above this many requests a second, so that chance alone makes no key hot.
const HOT_RATE: f64 = 4.0;
/// Single-key shards of a group.
const HOT_LIMIT: usize = 64;

/// What is to change about single-key shards.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HotKeyChanges {
    /// Hashes of keys that are to get a shard of their own.
    pub split: Vec<u64>,
    /// Single-key shards that are to go back into the hashed ones.
    pub merge: Vec<Shard>,
}

/// Returns what is to change, hottest first, for a load spread over this many targets.
pub fn plan_changes(loads: &Loads, targets: usize, row: &ShardsRow) -> HotKeyChanges {
    if loads.total <= 0.0 || targets < 2 {
        return HotKeyChanges::default();
    }
    let mean = loads.total / targets as f64;
    let cold = |(hash, _): &(&u64, &Shard)| loads.rate(**hash) < mean * COLD_PART;
    let merge: Vec<Shard> = row.hot_keys.iter().filter(cold).map(|(_, s)| *s).collect();
    let room = HOT_LIMIT.saturating_sub(row.hot_keys.len());
    let least = HOT_RATE.max(mean * HOT_PART);
    let hot = loads.keys.iter().filter(|key| key.rate > least);
    let new = hot.filter(|key| !row.hot_keys.contains_key(&key.hash));
    HotKeyChanges {
        split: new.take(room).map(|key| key.hash).collect(),
        merge,
    }
}

/// Returns the load of each shard: of a single-key shard its key's rate, of a hashed one an equal
/// part of the rest. Without a known load every shard counts the same.
pub fn shard_weights(loads: &Loads, row: &ShardsRow) -> BTreeMap<Shard, f64> {
    let hot: BTreeMap<Shard, f64> = row
        .hot_keys
        .iter()
        .map(|(hash, shard)| (*shard, loads.rate(*hash)))
        .collect();
    let rest = loads.total - hot.values().sum::<f64>();
    let hashed = row.owners.len().saturating_sub(hot.len()).max(1);
    let part = rest.max(0.0) / hashed as f64;
    let weight = |shard: &Shard| match hot.get(shard) {
        _ if loads.total <= 0.0 => 1.0,
        Some(rate) => *rate,
        None => part.max(loads.total * f64::EPSILON),
    };
    row.owners
        .keys()
        .map(|shard| (*shard, weight(shard)))
        .collect()
}
