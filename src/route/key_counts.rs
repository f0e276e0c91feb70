//! Counts of a keyed service's requests: all of them, and in a bounded sketch the hottest keys.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::ids::ServiceId;
use crate::owner::loads::KeyRate;
use crate::owner::loads::Loads;
use crate::owner::sketch::Sketch;

/// Requests that go into the sketch between two takings, about.
const SAMPLES_PER_PERIOD: u64 = 8_192;
/// Keys that the sketch holds.
const MAX_SKETCH_KEYS: usize = 1_024;
/// Keys that are told of.
const MAX_REPORTED_KEYS: usize = 128;

/// The request rates of one keyed service, as one entry counted them.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoads {
    /// The service.
    pub service: ServiceId,
    /// The rates.
    pub loads: Loads,
}

/// The counts since they were last taken.
#[derive(Debug)]
pub(crate) struct KeyCounts {
    total: AtomicU64,
    /// One request of so many goes into the sketch.
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
    /// Counts one request. The sketch leaves it out while another thread has it.
    pub(crate) fn count(&self, hash: u64) {
        let before = self.total.fetch_add(1, Ordering::Relaxed);
        if before.is_multiple_of(self.sample_interval.load(Ordering::Relaxed))
            && let Ok(mut sketch) = self.sketch.try_lock()
        {
            sketch.record(hash);
        }
    }

    /// Takes the counts of the time that passed.
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
