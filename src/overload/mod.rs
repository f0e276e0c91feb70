//! Decisions under overload, without I/O: which requests wait for a slot, in which order they start,
//! which are refused, and how many requests a target gets after it has refused some.
//!
//! See `docs/design/overload.md`. The current time is passed in; nothing here depends on
//! [`crate::node`], which carries the decisions out.

pub mod queue;
pub mod repeats;
pub mod shares;
pub mod window;

use std::time::Duration;

/// `Retry-After` as a fraction of the caller's remaining time or of the objective, at most. A caller
/// that comes back within the objective may still be answered within it.
const MAX_RETRY_FRACTION: f64 = 1.0 / 3.0;
/// Shortest `Retry-After`, unless the caller has less time left.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Longest `Retry-After`.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// Part of `Retry-After` that is spread at random, so that refused callers do not return together.
const RETRY_SPREAD: f64 = 0.5;

/// Returns when a refused caller should come back, if its request could be started after `wait`.
/// `random` is from 0 to 1.
pub fn retry_after(
    wait: Duration,
    time_left: Duration,
    objective: Duration,
    random: f64,
) -> Duration {
    let longest = time_left.min(objective).mul_f64(MAX_RETRY_FRACTION);
    let longest = longest.min(MAX_RETRY_AFTER);
    let wait = wait.max(MIN_RETRY_AFTER).mul_f64(1.0 + RETRY_SPREAD);
    wait.min(longest)
        .mul_f64(1.0 - RETRY_SPREAD * random.clamp(0.0, 1.0))
}
