//! Times for which a target asks for no more requests, by `Retry-After` in its 503 responses.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use thiserror::Error;

/// The longest pause that a target can ask for at once.
pub const MAX_PAUSE: Duration = Duration::from_secs(10);
/// How much longer than asked for a node may wait, as a fraction of the pause, so that the nodes do not
/// all return at the same moment.
const SPREAD: f64 = 0.25;

/// The value, which it contains, is not a time in seconds.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("\"{0}\" is no pause; send one number of seconds that is not negative, or none")]
pub struct InvalidPause(String);

/// Decodes the pause from the values of its header field, up to [`MAX_PAUSE`]; returns `None` if there
/// are none.
///
/// # Errors
///
/// Returns an error if there are several values, or one that is not a number of seconds.
pub fn pause_from_field<'a>(
    values: impl Iterator<Item = &'a [u8]>,
) -> Option<Result<Duration, InvalidPause>> {
    let values: Vec<_> = values.map(String::from_utf8_lossy).collect();
    let invalid = || InvalidPause(values.join(", "));
    let [value] = &values[..] else {
        return (!values.is_empty()).then(|| Err(invalid()));
    };
    let seconds = value.trim().parse::<f64>().ok();
    let seconds = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0);
    let pause =
        seconds.map(|seconds| Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64())));
    Some(pause.ok_or_else(invalid))
}

/// Until when a target gets no requests because it asked for a pause.
#[derive(Debug, Default)]
pub struct PauseState(Cell<Option<Instant>>);

impl PauseState {
    /// Records a pause that the target asked for in a response read at `now`; the pause that ends last
    /// counts. `random` is from 0 to 1. Returns true if the target was not paused before.
    pub fn record(&self, pause: Duration, now: Instant, random: f64) -> bool {
        let until = now + pause.mul_f64(1.0 + SPREAD * random);
        let before = self.until(now);
        self.0
            .set(Some(before.map_or(until, |before| before.max(until))));
        before.is_none()
    }

    /// Returns the end of the pause if it is not over.
    pub fn until(&self, now: Instant) -> Option<Instant> {
        self.0.get().filter(|until| now < *until)
    }

    /// Returns true once after the end of a pause.
    pub fn take_end(&self, now: Instant) -> bool {
        let has_ended = self.0.get().is_some_and(|until| now >= until);
        if has_ended {
            self.0.set(None);
        }
        has_ended
    }
}
