//! Counts of a keyed service's requests: exact per shard, and a bounded sketch of the hottest keys.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::ids::ServiceId;
use crate::ids::Shard;

/// Every so many requests of a shard one goes into the sketch.
const SAMPLE: u32 = 8;
/// Keys that the sketch holds.
const SKETCH_KEYS: usize = 256;
/// A key is told of when it has at least this part of the service's requests.
const HOT_PART: f64 = 0.002;

/// The request rates of one keyed service, as one entry counted them.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyLoads {
    /// The service.
    pub service: ServiceId,
    /// Requests a second.
    pub total: f64,
    /// The hottest keys, hottest first; estimates that may be too high, never by more than the
    /// rate of the coldest key in the sketch.
    pub keys: Vec<KeyLoad>,
    /// The shards that had requests; a hot key counts for its hashed shard.
    pub shards: Vec<ShardLoad>,
}

/// The request rate of one key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KeyLoad {
    /// The hash of the key.
    pub hash: u64,
    /// Requests a second.
    pub rate: f64,
}

/// The request rate of one hashed shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardLoad {
    /// The shard.
    pub shard: Shard,
    /// Requests a second.
    pub rate: f64,
}

/// The counts since they were last taken.
#[derive(Debug, Default)]
pub(crate) struct KeyCounts {
    shards: OnceLock<Box<[AtomicU32]>>,
    sketch: Mutex<HashMap<u64, u32>>,
}

impl KeyCounts {
    /// Counts one request. A sample is left out while another thread has the sketch.
    pub(crate) fn count(&self, shards: u32, hash: u64) {
        let counts = self
            .shards
            .get_or_init(|| (0..shards).map(|_| AtomicU32::new(0)).collect());
        let shard = (hash % u64::from(shards.max(1))) as usize;
        let Some(count) = counts.get(shard) else {
            return;
        };
        if count.fetch_add(1, Ordering::Relaxed) % SAMPLE != 0 {
            return;
        }
        if let Ok(mut sketch) = self.sketch.try_lock() {
            sample(&mut sketch, hash);
        }
    }

    /// Takes the counts of the time that passed.
    pub(crate) fn take(&self, service: &ServiceId, passed: Duration) -> KeyLoads {
        let seconds = passed.as_secs_f64().max(f64::MIN_POSITIVE);
        let mut shards = Vec::new();
        for (index, count) in self.shards.get().into_iter().flatten().enumerate() {
            let count = count.swap(0, Ordering::Relaxed);
            if count > 0 {
                let shard = Shard(index as u32);
                let rate = f64::from(count) / seconds;
                shards.push(ShardLoad { shard, rate });
            }
        }
        let sketch = self
            .sketch
            .lock()
            .map(|mut held| std::mem::take(&mut *held));
        let total: f64 = shards.iter().map(|load| load.rate).sum();
        let rate = |count: u32| f64::from(count) * f64::from(SAMPLE) / seconds;
        let mut keys: Vec<KeyLoad> = sketch
            .unwrap_or_default()
            .into_iter()
            .map(|(hash, count)| KeyLoad {
                hash,
                rate: rate(count),
            })
            .filter(|load| load.rate >= HOT_PART * total)
            .collect();
        keys.sort_by(|a, b| b.rate.total_cmp(&a.rate).then(a.hash.cmp(&b.hash)));
        KeyLoads {
            service: service.clone(),
            total,
            keys,
            shards,
        }
    }
}

/// Counts a key; when the sketch is full it takes the place and the count of the coldest.
fn sample(sketch: &mut HashMap<u64, u32>, hash: u64) {
    if let Some(count) = sketch.get_mut(&hash) {
        *count += 1;
        return;
    }
    let mut inherited = 0;
    if sketch.len() >= SKETCH_KEYS {
        let coldest = sketch.iter().min_by_key(|(_, count)| **count);
        if let Some((&key, &count)) = coldest {
            sketch.remove(&key);
            inherited = count;
        }
    }
    sketch.insert(hash, inherited + 1);
}
