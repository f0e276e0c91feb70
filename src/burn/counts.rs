//! Requests of a span of time, and the burn rate that follows.

use std::ops::Add;
use std::ops::AddAssign;

use serde::Deserialize;
use serde::Serialize;

/// Requests that ended in a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that were answered in time.
    pub good: u64,
    /// All requests.
    pub total: u64,
}

impl Counts {
    /// Returns how many times faster than the objective allows requests went bad; 0 without any.
    ///
    /// `objective` is the share to be answered in time, in percent below 100. At a rate of 1 the
    /// allowance is used up exactly when its period ends.
    pub fn burn_rate(self, objective: f64) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        let bad = self.total.saturating_sub(self.good) as f64 / self.total as f64;
        bad / (1.0 - objective / 100.0)
    }
}

impl Add for Counts {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_add(other.good),
            total: self.total.saturating_add(other.total),
        }
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}
