//! How often the requests of each priority are started, relative to their arrivals.

use std::time::Duration;
use std::time::Instant;

/// A class is starved if its share of started requests is below this fraction of that of all classes.
/// The requirement is a quarter; the rest is for the error of the counts.
const MIN_SHARE: f64 = 0.3;
/// Time in which counts fall to half.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Time between two reductions of the counts.
const DECAY_PERIOD: Duration = Duration::from_millis(200);
/// Arrivals of a class from which its share is judged; fewer say little.
const MIN_ARRIVALS: f64 = 4.0;

/// Recent arrivals and starts of one priority.
#[derive(Clone, Copy, Debug)]
struct ClassCounts {
    priority: u8,
    arrivals: f64,
    starts: f64,
}

/// A set of priorities.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StarvedClasses([u64; 4]);

impl StarvedClasses {
    /// Returns true if a priority is in the set.
    pub fn contains(&self, priority: u8) -> bool {
        self.0[usize::from(priority / 64)] >> (priority % 64) & 1 == 1
    }

    fn insert(&mut self, priority: u8) {
        self.0[usize::from(priority / 64)] |= 1 << (priority % 64);
    }
}

/// Recent arrivals and starts by priority.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// Ordered by priority; the classes of one service are few.
    classes: Vec<ClassCounts>,
    decayed_at: Option<Instant>,
}

impl Shares {
    /// Counts a request that asks for a slot.
    pub fn record_arrival(&mut self, priority: u8, now: Instant) {
        self.decay(now);
        self.class(priority).arrivals += 1.0;
    }

    /// Counts a request that is started.
    pub fn record_start(&mut self, priority: u8) {
        self.class(priority).starts += 1.0;
    }

    /// Returns the classes whose requests are started far less often than others.
    pub fn starved(&self) -> StarvedClasses {
        let (arrivals, starts) = self.classes.iter().fold((0.0, 0.0), |(a, s), counts| {
            (a + counts.arrivals, s + counts.starts)
        });
        let mut starved = StarvedClasses::default();
        for counts in &self.classes {
            // Compares counts.starts / counts.arrivals with starts / arrivals.
            let is_low = counts.starts * arrivals < MIN_SHARE * starts * counts.arrivals;
            if is_low && counts.arrivals >= MIN_ARRIVALS {
                starved.insert(counts.priority);
            }
        }
        starved
    }

    fn class(&mut self, priority: u8) -> &mut ClassCounts {
        let found = self
            .classes
            .binary_search_by_key(&priority, |counts| counts.priority);
        let index = found.unwrap_or_else(|index| {
            let fresh = ClassCounts {
                priority,
                arrivals: 0.0,
                starts: 0.0,
            };
            self.classes.insert(index, fresh);
            index
        });
        &mut self.classes[index]
    }

    fn decay(&mut self, now: Instant) {
        let at = *self.decayed_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(at);
        if elapsed < DECAY_PERIOD {
            return;
        }
        self.decayed_at = Some(now);
        let factor = (-elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        for counts in &mut self.classes {
            counts.arrivals *= factor;
            counts.starts *= factor;
        }
    }
}
