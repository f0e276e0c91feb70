//! Statistics that an entry keeps for each target: load, latency, failures and warm-up.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::route::queue::WaitQueue;

const FAILURES_TO_EJECT: u32 = 3;
const EJECT_MICROS: u64 = 1_000_000;
const MAX_EJECT_DOUBLINGS: u32 = 4;
const BACKOFF_MICROS: u64 = 2_000;
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
const SLOW_START_MICROS: u64 = 10_000_000;
const LOAD_HINT_VALIDITY_MICROS: u64 = 5_000_000;
const EWMA_SHIFT: u32 = 3;

/// Statistics of one target. Times are in microseconds since the router's epoch.
#[derive(Debug, Default)]
pub(crate) struct TargetStats {
    /// Requests in flight from this entry to the target.
    pub(crate) in_flight: AtomicU32,
    /// Requests in flight from other entries to the target, according to their latest reports.
    pub(crate) peer_in_flight: AtomicU32,
    /// Requests in flight from this entry that may have crashed another target.
    pub(crate) suspects: AtomicU32,
    /// The calls that wait for a connection to the target.
    pub(crate) queue: Arc<WaitQueue>,
    latency: AtomicU64,
    failures: AtomicU32,
    ejections: AtomicU32,
    ejected_until: AtomicU64,
    refusals: AtomicU32,
    backoff_until: AtomicU64,
    timed_out: AtomicBool,
    warming_up: AtomicBool,
    warm_up_started: AtomicU64,
    load_hint_percent: AtomicU32,
    load_hint_at: AtomicU64,
}

impl TargetStats {
    /// Creates empty statistics. A target that is warming up gets its full share after 10 s.
    pub(crate) fn new(warming_up: bool) -> Self {
        Self {
            warming_up: AtomicBool::new(warming_up),
            ..Self::default()
        }
    }

    /// Reserves a slot if fewer than `limit` requests are in flight from this entry.
    pub(crate) fn try_reserve(&self, limit: u32) -> bool {
        let add = |count: u32| (count < limit).then_some(count + 1);
        self.in_flight
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, add)
            .is_ok()
    }

    /// Returns the requests in flight from all entries, according to their latest reports.
    pub(crate) fn total_in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst) + self.peer_in_flight.load(Ordering::Relaxed)
    }

    /// Returns the moving average of the response time, in microseconds; 0 if there is none yet.
    pub(crate) fn latency(&self) -> u64 {
        self.latency.load(Ordering::Relaxed)
    }

    /// Returns how many of the target's slots may be used now: all of `slots`, fewer during slow
    /// start, or one after too many failures.
    pub(crate) fn usable_slots(&self, slots: u16, now: u64) -> u32 {
        let slots = u32::from(slots.max(1));
        if self.failures.load(Ordering::Relaxed) >= FAILURES_TO_EJECT {
            return 1;
        }
        if !self.warming_up.load(Ordering::Relaxed) {
            return slots;
        }
        let since = self
            .warm_up_started
            .compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed)
            .map_or_else(|since| since, |_| now);
        let age = now.saturating_sub(since);
        if age >= SLOW_START_MICROS {
            self.warming_up.store(false, Ordering::Relaxed);
            return slots;
        }
        let usable = u64::from(slots) * age / SLOW_START_MICROS;
        (usable as u32).max(1)
    }

    /// Returns the end of the ejection or backoff, whichever is later; 0 if neither is in effect.
    pub(crate) fn unavailable_until(&self, now: u64) -> u64 {
        let ejected = self.ejected_until.load(Ordering::Relaxed);
        let until = ejected.max(self.backoff_until.load(Ordering::Relaxed));
        if until > now { until } else { 0 }
    }

    /// Returns true if the target is ejected.
    pub(crate) fn is_ejected(&self, now: u64) -> bool {
        self.ejected_until.load(Ordering::Relaxed) > now
    }

    /// Returns true if the consecutive failures have reached the limit for ejection.
    pub(crate) fn is_failing(&self) -> bool {
        self.failures.load(Ordering::Relaxed) >= FAILURES_TO_EJECT
    }

    /// Returns the load last reported by the target's load endpoint, in percent up to 100; 0 if the
    /// report is more than 5 s old.
    pub(crate) fn load_hint(&self, now: u64) -> u32 {
        let at = self.load_hint_at.load(Ordering::Relaxed);
        if at == 0 || now.saturating_sub(at) > LOAD_HINT_VALIDITY_MICROS {
            return 0;
        }
        self.load_hint_percent.load(Ordering::Relaxed)
    }

    /// Records the load reported by the target's load endpoint, in percent.
    pub(crate) fn set_load_hint(&self, percent: u32, now: u64) {
        self.load_hint_percent
            .store(percent.min(100), Ordering::Relaxed);
        self.load_hint_at.store(now.max(1), Ordering::Relaxed);
    }

    /// Records a response and its time in microseconds; resets the counts of failures.
    pub(crate) fn record_response(&self, micros: u64) {
        update_average(&self.latency, micros);
        self.failures.store(0, Ordering::Relaxed);
        self.ejections.store(0, Ordering::Relaxed);
        self.refusals.store(0, Ordering::Relaxed);
        self.timed_out.store(false, Ordering::Relaxed);
    }

    /// Records a refusal and sets a backoff, jittered by the given random number.
    pub(crate) fn record_refusal(&self, now: u64, random: u64) {
        let times = self.refusals.fetch_add(1, Ordering::Relaxed);
        let longest = BACKOFF_MICROS << times.min(MAX_BACKOFF_DOUBLINGS);
        let pause = longest / 2 + random % longest;
        self.backoff_until.store(now + pause, Ordering::Relaxed);
    }

    /// Records a timeout; returns true if another one occurred since the last response.
    ///
    /// A single timeout may be the fault of one connection. It counts as a failure of the target
    /// only if a connection opened after it times out too.
    pub(crate) fn record_timeout(&self) -> bool {
        self.timed_out.swap(true, Ordering::Relaxed)
    }

    /// Records a failure; [`TargetStats::record_response`] resets the count.
    pub(crate) fn record_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Ejects the target, for twice as long each time up to a maximum, and then warms it up again.
    pub(crate) fn eject(&self, now: u64) {
        let times = self.ejections.fetch_add(1, Ordering::Relaxed);
        let pause = EJECT_MICROS << times.min(MAX_EJECT_DOUBLINGS);
        self.ejected_until.store(now + pause, Ordering::Relaxed);
        self.warming_up.store(true, Ordering::Relaxed);
        self.warm_up_started.store(0, Ordering::Relaxed);
    }
}

/// Adds a sample to an exponential moving average; 0 means that there is no sample yet.
pub(crate) fn update_average(current: &AtomicU64, sample: u64) {
    let step = |old: u64| match old {
        0 => Some(sample.max(1)),
        _ => Some((old - (old >> EWMA_SHIFT) + (sample >> EWMA_SHIFT)).max(1)),
    };
    let _ = current.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
}
