//! The load of a group's keys: samples from the entries, averaged over time and added up.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::GroupId;
use crate::ids::VmId;
use crate::link::EntryReport;
use crate::ticket::Keying;

/// An entry that sent no sample for this long is left out of the sum.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(20);
/// Total rate of all entries, in requests per second, below which the distribution over the keys is
/// too random to act on.
const MIN_RELIABLE_RATE: f64 = 20.0;
/// Maximum number of keys kept per entry.
const MAX_KEYS: usize = 128;
/// Weight of the newest sample in the moving average of an entry.
const SAMPLE_WEIGHT: f64 = 0.5;

/// The request rate of one key.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyRate {
    /// Hash of the key.
    pub hash: u64,
    /// Rate in requests per second.
    pub rate: f64,
}

/// The load of a group: the total rate and the rates of its hottest keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Loads {
    /// Total rate over all keys of the group, in requests per second.
    pub total: f64,
    /// The rates of the hottest keys.
    pub keys: Vec<KeyRate>,
}

/// The moving averages of the samples of all entries.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    entries: BTreeMap<VmId, Sample>,
    /// The newest sum whose total was at least [`MIN_RELIABLE_RATE`].
    reliable: Loads,
}

#[derive(Clone, Debug)]
struct Sample {
    received: Instant,
    total: f64,
    keys: BTreeMap<u64, f64>,
}

impl Loads {
    /// Returns one group's load from an entry's report. If a service has several groups, each gets
    /// an equal fraction of the service's total, as reports contain no totals of groups.
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

    /// Returns the rate of a key in requests per second, or 0 if it is not among the hottest.
    pub fn rate(&self, hash: u64) -> f64 {
        let known = self.keys.iter().find(|key| key.hash == hash);
        known.map_or(0.0, |key| key.rate)
    }
}

impl Samples {
    /// Adds a sample to the moving average of an entry and removes expired entries.
    pub fn record(&mut self, now: Instant, entry: &VmId, loads: Loads) {
        self.entries
            .retain(|_, sample| now < sample.received + MAX_SAMPLE_AGE);
        let keys = loads.keys.iter().take(MAX_KEYS);
        let keys: BTreeMap<_, _> = keys.map(|key| (key.hash, key.rate)).collect();
        let newest = Sample {
            received: now,
            total: loads.total,
            keys,
        };
        let sample = match self.entries.remove(entry) {
            Some(average) => average.update(newest),
            None => newest,
        };
        self.entries.insert(entry.clone(), sample);
        let sum = self.sum();
        if sum.total >= MIN_RELIABLE_RATE {
            self.reliable = sum;
        }
    }

    /// Returns the newest sum over all entries with enough load to be reliable, hottest key first;
    /// its total is 0 if there has been none.
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
    fn update(self, newest: Self) -> Self {
        let average = |old: f64, new: f64| old + (new - old) * SAMPLE_WEIGHT;
        let mut keys: BTreeMap<u64, f64> = self.keys;
        keys.values_mut()
            .for_each(|rate| *rate = average(*rate, 0.0));
        for (hash, rate) in newest.keys {
            *keys.entry(hash).or_default() += rate * SAMPLE_WEIGHT;
        }
        let mut keys: Vec<_> = keys.into_iter().collect();
        keys.sort_by(|a, b| b.1.total_cmp(&a.1));
        keys.truncate(MAX_KEYS);
        Self {
            received: newest.received,
            total: average(self.total, newest.total),
            keys: keys.into_iter().collect(),
        }
    }
}
