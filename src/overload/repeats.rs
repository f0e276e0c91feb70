//! Callers that send a refused request again before the time that the refusal named.

use std::time::Instant;

/// Number of refusals that are remembered.
const SIZE: usize = 1_024;

/// The newest refusals by the hash of caller and request.
///
/// The table has a fixed size, so that callers cannot make it grow. A refusal may replace another one;
/// the caller of that one then goes undetected.
#[derive(Clone, Debug)]
pub struct Repeats {
    refusals: Vec<Option<(u64, Instant)>>,
}

impl Default for Repeats {
    fn default() -> Self {
        Self {
            refusals: vec![None; SIZE],
        }
    }
}

impl Repeats {
    /// Records that a request was refused and may be sent again from `until`.
    pub fn record_refusal(&mut self, source: u64, until: Instant) {
        self.refusals[index(source)] = Some((source, until));
    }

    /// Returns true if the same caller's same request was refused and may not be sent again yet.
    pub fn is_early(&self, source: u64, now: Instant) -> bool {
        let refusal = self.refusals[index(source)];
        refusal.is_some_and(|(refused, until)| refused == source && now < until)
    }
}

fn index(source: u64) -> usize {
    source as usize % SIZE
}
