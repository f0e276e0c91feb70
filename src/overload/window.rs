//! How many requests a target gets at a time after it has refused some.
//!
//! Additive increase, multiplicative decrease: a refusal lowers the window by a factor, responses raise
//! it by a fraction of a request each. A target that has not refused anything has no window.

use std::time::Duration;
use std::time::Instant;

/// Factor on the window after a refusal.
const DECREASE: f64 = 0.85;
/// Smallest window.
const MIN_WINDOW: f64 = 1.0;
/// By how much the window rises for each window of responses. 0.4 gave 46 % refusals at windows of 1.6.
const INCREASE: f64 = 0.1;
/// Time after a refusal from which a node without requests in flight may send one although those of
/// other nodes fill the window. Doubles with each refusal in a row.
const PROBE_DELAY: Duration = Duration::from_millis(60);
const MAX_PROBE_DOUBLINGS: u32 = 4;
/// Time without a refusal from which the window also rises by itself: a target that gets few requests
/// of this node would otherwise be kept at the limit of an overload that has ended.
const QUIET_TIME: Duration = Duration::from_millis(2_000);
/// By how much the window rises per second after that.
const QUIET_RISE: f64 = 2.0;
/// Size, as a multiple of the target's slots, from which the window ends.
const END_LOAD: f64 = 4.0;

/// The window of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendWindow {
    /// Requests in flight that are allowed; `None` without a limit.
    size: Option<f64>,
    /// When a request was last refused.
    refused_at: Option<Instant>,
    /// When the window was last lowered.
    lowered_at: Option<Instant>,
    /// Refusals since the last response, of requests sent one after the other.
    refusals: u32,
}

impl SendWindow {
    /// Returns the number of requests that may be in flight; `None` if it is not limited.
    pub fn size(&self, now: Instant) -> Option<f64> {
        let since = now.saturating_duration_since(self.refused_at?);
        let quiet = since.saturating_sub(QUIET_TIME).as_secs_f64();
        Some(self.size? + quiet * QUIET_RISE)
    }

    /// Returns true if a request may be sent while `own` requests of this node and `load` of all known
    /// nodes are in flight.
    pub fn allows(&self, own: u32, load: u32, now: Instant) -> bool {
        let Some(size) = self.size(now) else {
            return true;
        };
        f64::from(load) + 1.0 <= size || own == 0 && self.may_probe(now)
    }

    /// Records that the target refused a request that was sent at `sent_at`, while `load` others were
    /// in flight. Requests that were sent before the window was lowered do not lower it again.
    pub fn record_refusal(&mut self, load: u32, sent_at: Instant, now: Instant) {
        let in_use = f64::from(load) + 1.0;
        let size = self.size(now).map_or(in_use, |size| size.min(in_use));
        self.refused_at = Some(now);
        if self.lowered_at.is_some_and(|at| sent_at < at) {
            return;
        }
        self.refusals += 1;
        self.lowered_at = Some(now);
        self.size = Some((size * DECREASE).max(MIN_WINDOW));
    }

    /// Records a response of a target with this number of slots.
    pub fn record_response(&mut self, slots: u32) {
        self.refusals = 0;
        let Some(size) = self.size else {
            return;
        };
        let size = size + INCREASE / size;
        let is_over = size > END_LOAD * f64::from(slots.max(1));
        self.size = (!is_over).then_some(size);
    }

    fn may_probe(&self, now: Instant) -> bool {
        let doublings = self.refusals.saturating_sub(1).min(MAX_PROBE_DOUBLINGS);
        let delay = PROBE_DELAY * 2u32.pow(doublings);
        self.refused_at
            .is_none_or(|at| now.saturating_duration_since(at) >= delay)
    }
}
