//! What a node knows of a target's limit, and which of two observations is the newer one.

use std::cell::Cell;
use std::fmt;
use std::str::FromStr;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// A number of requests per second; 0 or more, and finite.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RequestRate(f64);

/// The value, which it contains, is not a number of requests per second.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("\"{0}\" is no limit; send one decimal number that is not negative, or none")]
pub struct InvalidRate(String);

impl RequestRate {
    /// Decodes the limit from the values of its header field; returns `None` if there are none.
    pub fn from_field<'a>(
        values: impl Iterator<Item = &'a [u8]>,
    ) -> Option<Result<Self, InvalidRate>> {
        let values: Vec<_> = values.map(String::from_utf8_lossy).collect();
        match &values[..] {
            [] => None,
            [value] => Some(value.parse()),
            _ => Some(Err(InvalidRate(values.join(", ")))),
        }
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    fn try_from(rate: f64) -> Result<Self, InvalidRate> {
        match rate.is_finite() && rate >= 0.0 {
            true => Ok(Self(rate)),
            false => Err(InvalidRate(rate.to_string())),
        }
    }
}

impl From<RequestRate> for f64 {
    fn from(rate: RequestRate) -> Self {
        rate.0
    }
}

impl FromStr for RequestRate {
    type Err = InvalidRate;

    fn from_str(text: &str) -> Result<Self, InvalidRate> {
        let invalid = || InvalidRate(text.to_owned());
        let rate: f64 = text.trim().parse().map_err(|_| invalid())?;
        Self::try_from(rate).map_err(|_| invalid())
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// An observation of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// The limit, or `None` if a response named none.
    pub rate: Option<RequestRate>,
    /// When the response was read, if it named a limit, otherwise when its request was sent. So a
    /// response that was written before the target named its limit never ends the limit.
    pub at: Instant,
}

impl Evidence {
    fn supersedes(self, other: Self) -> bool {
        match self.rate {
            Some(_) => self.at >= other.at,
            None => self.at > other.at,
        }
    }
}

/// The newest observation of a target's limit.
#[derive(Debug, Default)]
pub struct TargetLimit(Cell<Option<Evidence>>);

impl TargetLimit {
    /// Returns the limit in force, if there is one.
    pub fn rate(&self) -> Option<RequestRate> {
        self.0.get().and_then(|evidence| evidence.rate)
    }

    /// Returns the newest observation.
    pub fn evidence(&self) -> Option<Evidence> {
        self.0.get()
    }

    /// Records an observation unless a newer one is known; returns true if the limit in force changes.
    pub fn merge(&self, evidence: Evidence) -> bool {
        if let Some(known) = self.0.get()
            && !evidence.supersedes(known)
        {
            return false;
        }
        let before = self.rate();
        self.0.set(Some(evidence));
        before != evidence.rate
    }
}
