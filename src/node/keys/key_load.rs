//! Estimates the request rate of each key.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::node::keys::map::KeyRange;

/// Half-life of a count; short, because the busiest keys change within seconds.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Converts a count to requests per second: in a steady state, a count loses as much per second by
/// decay as it gains by requests. 1.5 is `HALF_LIFE` in seconds.
const RATE_PER_COUNT: f64 = std::f64::consts::LN_2 / 1.5;
/// Counts below this are removed.
const MIN_COUNT: f64 = 0.05;

/// Request counts by key, with exponential decay.
#[derive(Debug)]
pub struct KeyLoad {
    counts: BTreeMap<u16, f64>,
    decayed_at: Instant,
}

impl KeyLoad {
    /// Creates an empty load estimate; decay starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            counts: BTreeMap::new(),
            decayed_at: now,
        }
    }

    /// Adds requests for a key.
    pub fn add(&mut self, key: u16, requests: u32) {
        *self.counts.entry(key).or_insert(0.0) += f64::from(requests);
    }

    /// Applies the decay since the last call and removes counts that became negligible.
    pub fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decayed_at);
        self.decayed_at = now;
        let factor = 0.5f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.counts.retain(|_, count| {
            *count *= factor;
            *count >= MIN_COUNT
        });
    }

    /// Returns the requests per second of all keys in a range.
    pub fn rate(&self, range: KeyRange) -> f64 {
        let counts = self.counts.range(range.first..=range.last);
        counts.map(|(_, count)| count).sum::<f64>() * RATE_PER_COUNT
    }

    /// Returns the standard deviation of the estimate of a rate, in requests per second.
    pub fn rate_std_dev(rate: f64) -> f64 {
        (rate * RATE_PER_COUNT).sqrt()
    }

    /// Returns the key with the highest rate in a range; `None` if the range has no requests.
    pub fn busiest(&self, range: KeyRange) -> Option<u16> {
        let counts = self.counts.range(range.first..=range.last);
        let busiest = counts.max_by(|a, b| a.1.total_cmp(b.1))?;
        Some(*busiest.0)
    }

    /// Returns the last key of the shortest prefix of a range whose rate is at least `rate`; `None`
    /// if that prefix is the whole range or the range's rate is lower.
    pub fn split_point(&self, range: KeyRange, rate: f64) -> Option<u16> {
        let mut sum = 0.0;
        for (&key, count) in self.counts.range(range.first..=range.last) {
            sum += count * RATE_PER_COUNT;
            if sum >= rate {
                return (key < range.last).then_some(key);
            }
        }
        None
    }
}
