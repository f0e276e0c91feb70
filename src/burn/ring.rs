//! Counts of the recent past in buckets of equal length.

use std::time::Duration;
use std::time::Instant;

use crate::burn::Counts;

/// A bounded ring of buckets; the oldest are forgotten as time goes on.
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
    /// Creates a ring of `len` buckets of a length above 0; `start` begins the first bucket.
    pub fn new(width: Duration, len: usize, start: Instant) -> Self {
        Self {
            width,
            start,
            newest: 0,
            buckets: vec![Bucket::default(); len.max(1)],
        }
    }

    /// Counts one request that ended now.
    pub fn add(&mut self, good: bool, now: Instant) {
        self.advance(now);
        let at = self.place(self.newest);
        let bucket = &mut self.buckets[at];
        bucket.total = bucket.total.saturating_add(1);
        bucket.good = bucket.good.saturating_add(u32::from(good));
    }

    /// Returns the requests of the window that ends now, to the bucket.
    pub fn sum(&mut self, window: Duration, now: Instant) -> Counts {
        self.advance(now);
        let buckets = window.as_nanos().div_ceil(self.width.as_nanos());
        let buckets = usize::try_from(buckets).unwrap_or(usize::MAX);
        self.latest(buckets).fold(Counts::default(), Counts::add_up)
    }

    /// Returns the last `len` points of `span` buckets each, oldest first.
    pub fn points(&mut self, len: usize, span: usize, now: Instant) -> Vec<Counts> {
        self.advance(now);
        let latest: Vec<Counts> = self.latest(len * span).collect();
        let points = latest.chunks(span.max(1));
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

    // Newest first.
    fn latest(&self, len: usize) -> impl Iterator<Item = Counts> {
        let len = len.min(self.buckets.len()) as u64;
        let oldest = (self.newest + 1).saturating_sub(len);
        (oldest..=self.newest).rev().map(|i| {
            let bucket = self.buckets[self.place(i)];
            Counts {
                good: bucket.good.into(),
                total: bucket.total.into(),
            }
        })
    }

    // Time that goes back, as another thread's may, counts into the newest bucket.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.start).as_nanos();
        let index = (elapsed / self.width.as_nanos().max(1)) as u64;
        let passed = index.saturating_sub(self.newest);
        for i in 1..=passed.min(self.buckets.len() as u64) {
            let at = self.place(index + 1 - i);
            self.buckets[at] = Bucket::default();
        }
        self.newest = self.newest.max(index);
    }

    fn place(&self, index: u64) -> usize {
        (index % self.buckets.len() as u64) as usize
    }
}

impl Counts {
    fn add_up(sum: Self, other: Self) -> Self {
        sum + other
    }
}
