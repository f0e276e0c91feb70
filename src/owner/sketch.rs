//! Finds the hottest keys in bounded memory: the space-saving algorithm of Metwally et al.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use crate::owner::loads::KeyRate;

/// Counts the keys of one service on one entry.
#[derive(Clone, Debug)]
pub struct Sketch {
    capacity: usize,
    total: u64,
    counters: HashMap<u64, Counter>,
    /// The same counters by count, lowest first.
    order: BTreeSet<(u64, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct Counter {
    count: u64,
    /// How much of the count may belong to other keys.
    error: u64,
}

/// What a sketch counted over some time.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRates {
    /// Requests a second over all keys.
    pub total: f64,
    /// The hottest keys, hottest first, with the rate that is certain.
    pub keys: Vec<KeyRate>,
}

impl Sketch {
    /// Starts empty, with room for this many keys.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            total: 0,
            counters: HashMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// Counts one request for a key.
    pub fn record(&mut self, hash: u64) {
        self.total += 1;
        let mut counter = match self.counters.get(&hash) {
            Some(counter) => *counter,
            None => self.admit(),
        };
        self.order.remove(&(counter.count, hash));
        counter.count += 1;
        self.order.insert((counter.count, hash));
        self.counters.insert(hash, counter);
    }

    /// Returns the hottest keys over the time since the last call, and starts afresh.
    pub fn take_rates(&mut self, over: Duration, most: usize) -> KeyRates {
        let seconds = over.as_secs_f64().max(f64::MIN_POSITIVE);
        let rate = |(hash, counter): (&u64, &Counter)| KeyRate {
            hash: *hash,
            rate: (counter.count - counter.error) as f64 / seconds,
        };
        let mut keys: Vec<KeyRate> = self.counters.iter().map(rate).collect();
        keys.sort_by(|a, b| b.rate.total_cmp(&a.rate).then(a.hash.cmp(&b.hash)));
        keys.truncate(most);
        let total = self.total as f64 / seconds;
        *self = Self::new(self.capacity);
        KeyRates { total, keys }
    }

    /// Makes room for a new key, which inherits the lowest count as its error.
    fn admit(&mut self) -> Counter {
        if self.counters.len() < self.capacity {
            return Counter { count: 0, error: 0 };
        }
        let Some((count, hash)) = self.order.pop_first() else {
            return Counter { count: 0, error: 0 };
        };
        self.counters.remove(&hash);
        Counter {
            count,
            error: count,
        }
    }
}
