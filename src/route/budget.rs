//! The retry budget: a token bucket that first attempts fill and retries empty.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

const RETRY_MILLITOKENS: u32 = 1_000;
const DEPOSIT_MILLITOKENS: u32 = 80;
const BURST_MILLITOKENS: u32 = 10_000;

/// Bounds the retries of one service to a fraction of its first attempts.
#[derive(Debug)]
pub(crate) struct Budget {
    millitokens: AtomicU32,
}

impl Budget {
    /// Counts a first attempt.
    pub(crate) fn deposit(&self) {
        let add = |held: u32| {
            let sum = held + DEPOSIT_MILLITOKENS;
            (held < BURST_MILLITOKENS).then_some(sum.min(BURST_MILLITOKENS))
        };
        let _ = self
            .millitokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Pays for a retry; returns whether the budget allowed it.
    pub(crate) fn withdraw(&self) -> bool {
        let take = |held: u32| held.checked_sub(RETRY_MILLITOKENS);
        self.millitokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            millitokens: AtomicU32::new(BURST_MILLITOKENS),
        }
    }
}
