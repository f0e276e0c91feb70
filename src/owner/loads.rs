//! The load of a group's keys, sampled by the entries.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::GroupId;
use crate::ids::VmId;
use crate::link::EntryReport;
use crate::ticket::Keying;

const SAMPLE_LIFE: Duration = Duration::from_secs(20);
/// Requests a second, over all sampled entries, below which the load tells nothing.
const LEAST_RATE: f64 = 20.0;
const KEYS_KEPT: usize = 128;
/// The part of the newest sample in an entry's average.
const NEWEST_PART: f64 = 0.5;

/// The request rate of one key.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyRate {
    /// The hash of the key.
    pub hash: u64,
    /// Requests a second.
    pub rate: f64,
}

/// The load of a group's keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Loads {
    /// Requests a second over all keys of the group.
    pub total: f64,
    /// The hottest keys.
    pub keys: Vec<KeyRate>,
}

/// The newest samples of several entries.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    entries: BTreeMap<VmId, Sample>,
    /// The sum when it was last high enough to tell anything.
    reliable: Loads,
}

#[derive(Clone, Debug)]
struct Sample {
    at: Instant,
    total: f64,
    keys: BTreeMap<u64, f64>,
}

impl Loads {
    /// Returns the part of an entry's report that concerns one group. Where a service has several
    /// groups, each is taken to have an equal part of the total.
    pub fn of_group(report: &EntryReport, group: &GroupId, keying: &Keying) -> Self {
        let total = report.rates.get(&group.service).copied();
        let total = total.unwrap_or_default() / f64::from(keying.groups.max(1));
        let keys = report.hot_keys.iter().filter(|key| {
            let index = keying.group_of(keying.shard_of(key.hash));
            key.service == group.service && index == group.index
        });
        let rate = |key: &crate::link::HotKey| KeyRate {
            hash: key.hash,
            rate: key.rate,
        };
        Self {
            total,
            keys: keys.map(rate).collect(),
        }
    }

    /// Returns the rate of a key, 0 where it is not among the hottest.
    pub fn rate(&self, hash: u64) -> f64 {
        let known = self.keys.iter().find(|key| key.hash == hash);
        known.map_or(0.0, |key| key.rate)
    }
}

impl Samples {
    /// Takes an entry's sample into its average.
    pub fn record(&mut self, now: Instant, entry: &VmId, loads: Loads) {
        self.entries
            .retain(|_, sample| now < sample.at + SAMPLE_LIFE);
        let keys = loads.keys.iter().take(KEYS_KEPT);
        let keys: BTreeMap<_, _> = keys.map(|key| (key.hash, key.rate)).collect();
        let fresh = Sample {
            at: now,
            total: loads.total,
            keys,
        };
        let sample = match self.entries.remove(entry) {
            Some(before) => before.averaged(fresh),
            None => fresh,
        };
        self.entries.insert(entry.clone(), sample);
        let sum = self.sum();
        if sum.total >= LEAST_RATE {
            self.reliable = sum;
        }
    }

    /// Returns the sum over the entries, hottest key first, as it was when there was enough load
    /// to tell; a total of 0 where there never was.
    pub fn reliable(&self) -> &Loads {
        &self.reliable
    }

    fn sum(&self) -> Loads {
        let mut total = 0.0;
        let mut rates: BTreeMap<u64, f64> = BTreeMap::new();
        for sample in self.entries.values() {
            total += sample.total;
            for (hash, rate) in &sample.keys {
                *rates.entry(*hash).or_default() += rate;
            }
        }
        let keys = rates.into_iter().map(|(hash, rate)| KeyRate { hash, rate });
        let mut keys: Vec<_> = keys.collect();
        keys.sort_by(|a, b| b.rate.total_cmp(&a.rate));
        Loads { total, keys }
    }
}

impl Sample {
    fn averaged(self, newest: Self) -> Self {
        let mix = |old: f64, new: f64| old + (new - old) * NEWEST_PART;
        let mut keys: BTreeMap<u64, f64> = self.keys;
        keys.values_mut().for_each(|rate| *rate = mix(*rate, 0.0));
        for (hash, rate) in newest.keys {
            *keys.entry(hash).or_default() += rate * NEWEST_PART;
        }
        let mut keys: Vec<_> = keys.into_iter().collect();
        keys.sort_by(|a, b| b.1.total_cmp(&a.1));
        keys.truncate(KEYS_KEPT);
        Self {
            at: newest.at,
            total: mix(self.total, newest.total),
            keys: keys.into_iter().collect(),
        }
    }
}
