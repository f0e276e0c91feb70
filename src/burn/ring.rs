//! Request counts of the recent past in time buckets of equal width.

use std::time::Duration;
use std::time::Instant;

use crate::burn::Counts;

/// A ring buffer of time buckets; new buckets overwrite the oldest ones.
#[derive(Clone, Debug)]
pub struct Ring {
    width: Duration,
    start: Instant,
    newest: u64,
    buckets: Vec<Bucket>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    good: u32,
    total: u32,
}

impl Ring {
    /// Creates a ring of `len` buckets (at least 1) of `width`, which must be above 0. The first
    /// bucket begins at `start`.
    pub fn new(width: Duration, len: usize, start: Instant) -> Self {
        Self {
            width,
            start,
            newest: 0,
            buckets: vec![Bucket::default(); len.max(1)],
        }
    }

    /// Counts one request that completed now.
    pub fn add(&mut self, good: bool, now: Instant) {
        self.advance(now);
        let position = self.position(self.newest);
        let bucket = &mut self.buckets[position];
        bucket.total = bucket.total.saturating_add(1);
        bucket.good = bucket.good.saturating_add(u32::from(good));
    }

    /// Returns the counts of the window that ends now, rounded up to whole buckets.
    pub fn sum(&mut self, window: Duration, now: Instant) -> Counts {
        self.advance(now);
        let buckets = window.as_nanos().div_ceil(self.width.as_nanos());
        let buckets = usize::try_from(buckets).unwrap_or(usize::MAX);
        self.latest(buckets).fold(Counts::default(), Counts::add_up)
    }

    /// Returns the last `len` points, each the sum of `buckets_per_point` buckets, oldest first.
    pub fn points(&mut self, len: usize, buckets_per_point: usize, now: Instant) -> Vec<Counts> {
        self.advance(now);
        let latest: Vec<Counts> = self.latest(len * buckets_per_point).collect();
        let points = latest.chunks(buckets_per_point.max(1));
        let mut points: Vec<Counts> = points
            .map(|chunk| {
                chunk
                    .iter()
                    .copied()
                    .fold(Counts::default(), Counts::add_up)
            })
            .collect();
        points.reverse();
        points
    }

    // Returns the counts of the last `len` buckets, newest first.
    fn latest(&self, len: usize) -> impl Iterator<Item = Counts> {
        let len = len.min(self.buckets.len()) as u64;
        let oldest = (self.newest + 1).saturating_sub(len);
        (oldest..=self.newest).rev().map(|i| {
            let bucket = self.buckets[self.position(i)];
            Counts {
                good: bucket.good.into(),
                total: bucket.total.into(),
            }
        })
    }

    // Clears the buckets that have passed. A `now` before the newest bucket, as another thread may
    // pass, counts into the newest bucket.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.start).as_nanos();
        let index = (elapsed / self.width.as_nanos().max(1)) as u64;
        let elapsed_buckets = index.saturating_sub(self.newest);
        for i in 1..=elapsed_buckets.min(self.buckets.len() as u64) {
            let position = self.position(index + 1 - i);
            self.buckets[position] = Bucket::default();
        }
        self.newest = self.newest.max(index);
    }

    fn position(&self, index: u64) -> usize {
        (index % self.buckets.len() as u64) as usize
    }
}

impl Counts {
    fn add_up(sum: Self, other: Self) -> Self {
        sum + other
    }
}
