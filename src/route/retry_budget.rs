//! The retry budget: a token bucket that first attempts refill and retries drain.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

const RETRY_MILLITOKENS: u32 = 1_000;
const REFILL_MILLITOKENS: u32 = 80;
const MAX_MILLITOKENS: u32 = 10_000;

/// Limits the retries of one service to a fraction of its first attempts.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    millitokens: AtomicU32,
}

impl RetryBudget {
    /// Adds tokens for a first attempt.
    pub(crate) fn record_first_send(&self) {
        let add = |tokens: u32| {
            let sum = tokens + REFILL_MILLITOKENS;
            (tokens < MAX_MILLITOKENS).then_some(sum.min(MAX_MILLITOKENS))
        };
        let _ = self
            .millitokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes the tokens for a retry; returns false if too few are left.
    pub(crate) fn try_retry(&self) -> bool {
        let take = |tokens: u32| tokens.checked_sub(RETRY_MILLITOKENS);
        self.millitokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            millitokens: AtomicU32::new(MAX_MILLITOKENS),
        }
    }
}
