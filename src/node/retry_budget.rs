//! The retry budget: a sliding-window limit on retries relative to first sends, divided among all
//! nodes of the system.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Number of buckets in the sliding window.
const BUCKETS: u32 = 20;
/// Fraction of the limit that a node uses. The rest is a margin because the nodes' windows start at
/// different moments.
const USABLE_FRACTION: f64 = 0.7;

/// The limit on retries within any window, summed over all nodes: `ratio * first sends + slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries allowed per first send.
    pub ratio: f64,
    /// Retries allowed in addition, independent of the number of first sends.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// One node's retry budget for one service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Instant,
    first_sends: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates a budget with no sends counted.
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self {
            limits,
            buckets: VecDeque::new(),
        }
    }

    /// Replaces the limits and keeps the counts.
    pub fn set_limits(&mut self, limits: RetryBudgetLimits) {
        self.limits = limits;
    }

    /// Counts a request that is sent for the first time.
    pub fn record_first_send(&mut self, now: Instant) {
        self.bucket(now).first_sends += 1;
    }

    /// Counts a retry and returns true if the budget permits it. The slack is divided by `nodes`,
    /// the number of nodes that share it.
    pub fn try_retry(&mut self, nodes: usize, now: Instant) -> bool {
        self.bucket(now);
        let first_sends: u32 = self.buckets.iter().map(|bucket| bucket.first_sends).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = self.limits.slack / nodes.max(1) as f64;
        let max_retries = USABLE_FRACTION * (self.limits.ratio * f64::from(first_sends) + slack);
        if f64::from(retries) + 1.0 > max_retries {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Removes expired buckets and returns the current one.
    fn bucket(&mut self, now: Instant) -> &mut Bucket {
        let window = self.limits.window;
        let is_expired = |bucket: &Bucket| now.saturating_duration_since(bucket.start) > window;
        while self.buckets.front().is_some_and(is_expired) {
            self.buckets.pop_front();
        }
        let length = window / BUCKETS;
        let is_full = |bucket: &Bucket| now.saturating_duration_since(bucket.start) >= length;
        if self.buckets.back().is_none_or(is_full) {
            self.buckets.push_back(Bucket {
                start: now,
                first_sends: 0,
                retries: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was just pushed")
    }
}
