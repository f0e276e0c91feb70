//! Decides which keys get a single-key shard, and computes the load of each shard.
//!
//! A key that receives much of a group's load cannot be balanced as part of a hashed shard.

use std::collections::BTreeMap;

use crate::ids::Shard;
use crate::owner::loads::Loads;
use crate::owner::rows::ShardsRow;

/// A key is hot if its rate is above this fraction of the mean load of a target.
const HOT_FRACTION: f64 = 0.015;
/// A hot key becomes cold below this fraction. It is lower than [`HOT_FRACTION`] so that a key near
/// the threshold is not split off and merged repeatedly.
const COLD_FRACTION: f64 = 0.005;
/// Minimum rate of a hot key, in requests per second, so that random variation at low load makes no
/// key hot.
const MIN_HOT_RATE: f64 = 4.0;
/// Maximum number of single-key shards of a group.
const MAX_HOT_KEYS: usize = 64;

/// The single-key shards to add and to remove.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HotKeyChanges {
    /// Hashes of the keys to split off into single-key shards, hottest first.
    pub split: Vec<u64>,
    /// Single-key shards to merge back into the hashed shards.
    pub merge: Vec<Shard>,
}

/// Returns the single-key shards to add and to remove when the load is served by `targets` targets.
pub fn plan_changes(loads: &Loads, targets: usize, row: &ShardsRow) -> HotKeyChanges {
    if loads.total <= 0.0 || targets < 2 {
        return HotKeyChanges::default();
    }
    let mean = loads.total / targets as f64;
    let cold = |(hash, _): &(&u64, &Shard)| loads.rate(**hash) < mean * COLD_FRACTION;
    let merge: Vec<Shard> = row.hot_keys.iter().filter(cold).map(|(_, s)| *s).collect();
    let available = MAX_HOT_KEYS.saturating_sub(row.hot_keys.len());
    let threshold = MIN_HOT_RATE.max(mean * HOT_FRACTION);
    let hot = loads.keys.iter().filter(|key| key.rate > threshold);
    let new = hot.filter(|key| !row.hot_keys.contains_key(&key.hash));
    HotKeyChanges {
        split: new.take(available).map(|key| key.hash).collect(),
        merge,
    }
}

/// Returns the load of each shard in requests per second: the rate of its key for a single-key
/// shard, and an equal fraction of the remaining load for a hashed shard. Without load, all weights
/// are 1.
pub fn shard_weights(loads: &Loads, row: &ShardsRow) -> BTreeMap<Shard, f64> {
    let hot: BTreeMap<Shard, f64> = row
        .hot_keys
        .iter()
        .map(|(hash, shard)| (*shard, loads.rate(*hash)))
        .collect();
    let remaining = loads.total - hot.values().sum::<f64>();
    let hashed = row.owners.len().saturating_sub(hot.len()).max(1);
    let share = remaining.max(0.0) / hashed as f64;
    let weight = |shard: &Shard| match hot.get(shard) {
        _ if loads.total <= 0.0 => 1.0,
        Some(rate) => *rate,
        None => share.max(loads.total * f64::EPSILON),
    };
    row.owners
        .keys()
        .map(|shard| (*shard, weight(shard)))
        .collect()
}
