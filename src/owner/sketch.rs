//! Finds the hottest keys in bounded memory with the space-saving algorithm of Metwally et al.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::owner::loads::KeyRate;

/// Counts requests per key for the keys of one service on one entry.
#[derive(Clone, Debug)]
pub struct Sketch {
    capacity: usize,
    total: u64,
    counters: HashMap<u64, Counter>,
    /// Count and hash of each counter, lowest count first.
    by_count: BTreeSet<(u64, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct Counter {
    count: u64,
    /// The part of the count that may belong to other keys.
    error: u64,
}

/// Request rates over a period.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRates {
    /// Total rate over all keys, in requests per second.
    pub total: f64,
    /// The hottest keys, hottest first, each with a lower bound of its rate.
    pub keys: Vec<KeyRate>,
}

impl Sketch {
    /// Creates a sketch that counts up to `capacity` keys at a time.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            total: 0,
            counters: HashMap::new(),
            by_count: BTreeSet::new(),
        }
    }

    /// Counts one request for a key.
    pub fn record(&mut self, hash: u64) {
        self.total += 1;
        let mut counter = match self.counters.get(&hash) {
            Some(counter) => *counter,
            None => self.new_counter(),
        };
        self.by_count.remove(&(counter.count, hash));
        counter.count += 1;
        self.by_count.insert((counter.count, hash));
        self.counters.insert(hash, counter);
    }

    /// Returns the total rate and the rates of up to `max_keys` keys over the period since the last
    /// call, and resets the sketch.
    pub fn take_rates(&mut self, period: Duration, max_keys: usize) -> KeyRates {
        let seconds = period.as_secs_f64().max(f64::MIN_POSITIVE);
        let rate = |(hash, counter): (&u64, &Counter)| KeyRate {
            hash: *hash,
            rate: (counter.count - counter.error) as f64 / seconds,
        };
        let mut keys: Vec<KeyRate> = self.counters.iter().map(rate).collect();
        keys.sort_by(|a, b| b.rate.total_cmp(&a.rate).then(a.hash.cmp(&b.hash)));
        keys.truncate(max_keys);
        let total = self.total as f64 / seconds;
        *self = Self::new(self.capacity);
        KeyRates { total, keys }
    }

    /// Returns a counter for a new key. If the sketch is full, this evicts the key with the lowest
    /// count, and the new key inherits that count as its error.
    fn new_counter(&mut self) -> Counter {
        if self.counters.len() < self.capacity {
            return Counter { count: 0, error: 0 };
        }
        let Some((count, hash)) = self.by_count.pop_first() else {
            return Counter { count: 0, error: 0 };
        };
        self.counters.remove(&hash);
        Counter {
            count,
            error: count,
        }
    }
}
