//! How many requests each key gets.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::node::keys::map::KeyRange;

/// The time in which a count falls to half: short, since busy keys change within seconds.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Turns a count into requests a second: what decays in a second is what comes in.
const PER_SECOND: f64 = std::f64::consts::LN_2 / 1.5;
/// Counts below this are forgotten.
const LEAST_COUNT: f64 = 0.05;

/// Decaying counts of requests by key.
#[derive(Debug)]
pub struct KeyLoad {
    counts: BTreeMap<u16, f64>,
    decayed: Instant,
}

impl KeyLoad {
    /// Starts with nothing counted.
    pub fn new(now: Instant) -> Self {
        Self {
            counts: BTreeMap::new(),
            decayed: now,
        }
    }

    /// Counts requests for a key.
    pub fn add(&mut self, key: u16, requests: u32) {
        *self.counts.entry(key).or_insert(0.0) += f64::from(requests);
    }

    /// Lets counts fall with time.
    pub fn decay(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.decayed);
        self.decayed = now;
        let factor = 0.5f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.counts.retain(|_, count| {
            *count *= factor;
            *count >= LEAST_COUNT
        });
    }

    /// Returns the requests a second for all keys of a range.
    pub fn rate(&self, range: KeyRange) -> f64 {
        let counts = self.counts.range(range.first..=range.last);
        counts.map(|(_, count)| count).sum::<f64>() * PER_SECOND
    }

    /// Returns how far a rate may be off by chance, as a standard deviation.
    pub fn rate_std_dev(rate: f64) -> f64 {
        (rate * PER_SECOND).sqrt()
    }

    /// Returns the busiest key of a range.
    pub fn busiest(&self, range: KeyRange) -> Option<u16> {
        let counts = self.counts.range(range.first..=range.last);
        let busiest = counts.max_by(|a, b| a.1.total_cmp(b.1))?;
        Some(*busiest.0)
    }

    /// Returns the last key of the shortest start of a range that has at least this rate, if
    /// something is left behind it.
    pub fn split_point(&self, range: KeyRange, rate: f64) -> Option<u16> {
        let mut sum = 0.0;
        for (&key, each) in self.counts.range(range.first..=range.last) {
            sum += each * PER_SECOND;
            if sum >= rate {
                return (key < range.last).then_some(key);
            }
        }
        None
    }
}
