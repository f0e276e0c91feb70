//! Until when a target is cold.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

use strum::IntoStaticStr;

/// Longest time that counts. An entry may state one that the clock cannot represent.
pub const MAX_COLD_TIME: Duration = Duration::from_secs(3_600);
/// How much later the end has to be than the one reported before, to be reported again. Entries are
/// read at different delays after they are written, which moves the end by less.
const MIN_EXTENSION: Duration = Duration::from_millis(300);

/// Where a node learned that a target is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Source {
    /// The target's entry in the list.
    Entry,
    /// The target's response at its health path.
    Health,
    /// Another node.
    OtherNode,
}

/// The time until which a target is cold, by the evidence so far.
#[derive(Debug, Default)]
pub struct ColdTime {
    until: Cell<Option<Instant>>,
    /// The end that was last returned as new.
    reported: Cell<Option<Instant>>,
}

impl ColdTime {
    /// Records that the target is cold until `until`; returns true if it is to be reported to other nodes.
    ///
    /// The latest end counts. Evidence that says less may be older: an entry is written only about
    /// once a second.
    pub fn record(&self, until: Instant) -> bool {
        self.until.set(self.until.get().max(Some(until)));
        let is_new = self
            .reported
            .get()
            .is_none_or(|reported| until >= reported + MIN_EXTENSION);
        if is_new {
            self.reported.set(Some(until));
        }
        is_new
    }

    /// Returns how much longer the target is cold; `None` if it is warm.
    pub fn left(&self, now: Instant) -> Option<Duration> {
        let left = self.until.get()?.checked_duration_since(now)?;
        (!left.is_zero()).then_some(left)
    }
}

/// Decodes the time left from the values of its header field, in milliseconds. Returns `None` if there
/// is no value, several or an invalid one, and if the target is warm.
pub fn left_from_field<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Option<Duration> {
    let value = values.next().filter(|_| values.next().is_none())?;
    let ms: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    let left = Duration::try_from_secs_f64(ms / 1e3).ok()?;
    (!left.is_zero()).then(|| left.min(MAX_COLD_TIME))
}
