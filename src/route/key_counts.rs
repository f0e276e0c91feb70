//! Request counts of a keyed service: the total, and the most requested keys in a bounded sketch.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::ids::ServiceId;
use crate::owner::loads::KeyRate;
use crate::owner::loads::Loads;
use crate::owner::sketch::Sketch;

/// The approximate number of requests that are sampled between two calls of [`KeyCounts::take`].
const SAMPLES_PER_PERIOD: u64 = 8_192;
/// Maximum keys in the sketch.
const MAX_SKETCH_KEYS: usize = 1_024;
/// Maximum keys in a report.
const MAX_REPORTED_KEYS: usize = 128;

/// The request rates of one keyed service at one entry.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoads {
    /// The service that the rates belong to.
    pub service: ServiceId,
    /// The total rate and the rates of the most requested keys, per second.
    pub loads: Loads,
}

/// The requests since the last call of [`KeyCounts::take`].
#[derive(Debug)]
pub(crate) struct KeyCounts {
    total: AtomicU64,
    /// One of this many requests is recorded in the sketch.
    sample_interval: AtomicU64,
    sketch: Mutex<Sketch>,
}

impl Default for KeyCounts {
    fn default() -> Self {
        Self {
            total: AtomicU64::new(0),
            sample_interval: AtomicU64::new(1),
            sketch: Mutex::new(Sketch::new(MAX_SKETCH_KEYS)),
        }
    }
}

impl KeyCounts {
    /// Counts one request. It is not sampled while another thread has locked the sketch.
    pub(crate) fn count(&self, hash: u64) {
        let before = self.total.fetch_add(1, Ordering::Relaxed);
        if before.is_multiple_of(self.sample_interval.load(Ordering::Relaxed))
            && let Ok(mut sketch) = self.sketch.try_lock()
        {
            sketch.record(hash);
        }
    }

    /// Returns the rates over `elapsed` and resets the counts.
    pub(crate) fn take(&self, service: &ServiceId, elapsed: Duration) -> ServiceLoads {
        let total = self.total.swap(0, Ordering::Relaxed);
        self.sample_interval
            .store((total / SAMPLES_PER_PERIOD).max(1), Ordering::Relaxed);
        let seconds = elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        let mut sketch = self.sketch.lock().unwrap_or_else(|e| e.into_inner());
        let rates = sketch.take_rates(elapsed, MAX_REPORTED_KEYS);
        let total = total as f64 / seconds;
        let scale = total / rates.total.max(f64::MIN_POSITIVE);
        let scaled = |key: KeyRate| KeyRate {
            rate: key.rate * scale,
            ..key
        };
        ServiceLoads {
            service: service.clone(),
            loads: Loads {
                total,
                keys: rates.keys.into_iter().map(scaled).collect(),
            },
        }
    }
}
