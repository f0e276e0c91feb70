//! Request counts of a period and the burn rate computed from them.

use std::ops::Add;
use std::ops::AddAssign;

use serde::Deserialize;
use serde::Serialize;

/// The number of requests that completed in a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests whose response began within the latency limit.
    pub good: u64,
    /// All requests, good and bad.
    pub total: u64,
}

impl Counts {
    /// Returns the share of bad requests divided by the share that the objective allows, or 0
    /// without requests.
    ///
    /// `objective` is the required share of good requests, in percent below 100. At a rate of 1
    /// the error budget is used up exactly at the end of its period.
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
