//! The load that a target states in a response.

use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The pace of a machine that works as fast as usual, in percent.
const USUAL_PACE: u16 = 100;
/// Bounds of the pace that is taken from a target, in percent.
const MIN_PACE: u16 = 10;
const MAX_PACE: u16 = 2_000;

/// The load of a target, over all nodes that send requests to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatedLoad {
    /// Requests that run or wait.
    #[serde(rename = "n")]
    pub requests: u16,
    /// How long work takes at present, in percent of the usual time.
    #[serde(rename = "p")]
    pub pace: u16,
}

/// The value, which it contains, does not state a load.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "\"{0}\" is no load; send requests running, requests waiting, slots and, if known, the pace"
)]
pub struct InvalidLoad(String);

impl StatedLoad {
    /// Decodes the load from the values of its header field; returns `None` if there are none.
    pub fn from_field<'a>(
        values: impl Iterator<Item = &'a [u8]>,
    ) -> Option<Result<Self, InvalidLoad>> {
        let values: Vec<_> = values.map(String::from_utf8_lossy).collect();
        match &values[..] {
            [] => None,
            [value] => Some(value.parse()),
            _ => Some(Err(InvalidLoad(values.join(", ")))),
        }
    }
}

impl FromStr for StatedLoad {
    type Err = InvalidLoad;

    /// Parses `running,waiting,slots` or `running,waiting,slots,pace`.
    fn from_str(text: &str) -> Result<Self, InvalidLoad> {
        let invalid = || InvalidLoad(text.to_owned());
        let figures = text.split(',').map(|figure| figure.trim().parse::<f64>());
        let figures: Vec<f64> = figures.collect::<Result<_, _>>().map_err(|_| invalid())?;
        if figures
            .iter()
            .any(|figure| !figure.is_finite() || *figure < 0.0)
        {
            return Err(invalid());
        }
        let (running, waiting, pace) = match figures[..] {
            [running, waiting, _] => (running, waiting, f64::from(USUAL_PACE)),
            [running, waiting, _, pace] => (running, waiting, pace),
            _ => return Err(invalid()),
        };
        Ok(Self {
            requests: (running + waiting).min(f64::from(u16::MAX)) as u16,
            pace: (pace as u16).clamp(MIN_PACE, MAX_PACE),
        })
    }
}
