//! What an entry has observed of one target.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::route::queue::WaitQueue;

const FAILURES_TO_EJECT: u32 = 3;
const EJECT_MICROS: u64 = 1_000_000;
const EJECT_DOUBLINGS: u32 = 4;
const BACKOFF_MICROS: u64 = 2_000;
const BACKOFF_DOUBLINGS: u32 = 5;
const SLOW_START_MICROS: u64 = 10_000_000;
const HINT_LIFE_MICROS: u64 = 5_000_000;
const EWMA_SHIFT: u32 = 3;

/// Observations of one target; times are in microseconds since the router's epoch.
#[derive(Debug, Default)]
pub(crate) struct Stats {
    /// Requests of this entry at the target.
    pub(crate) in_flight: AtomicU32,
    /// Requests of other entries at the target, as they told last.
    pub(crate) peers: AtomicU32,
    /// Requests of this entry at the target that crashed another target before.
    pub(crate) suspects: AtomicU32,
    /// Calls that wait for a connection to the target.
    pub(crate) queue: Arc<WaitQueue>,
    latency: AtomicU64,
    failures: AtomicU32,
    ejections: AtomicU32,
    ejected_until: AtomicU64,
    sheds: AtomicU32,
    backoff_until: AtomicU64,
    silent: AtomicBool,
    cold: AtomicBool,
    warm_since: AtomicU64,
    hint_percent: AtomicU32,
    hint_at: AtomicU64,
}

impl Stats {
    /// Starts without observations; a cold target takes its full share only after a while.
    pub(crate) fn new(cold: bool) -> Self {
        Self {
            cold: AtomicBool::new(cold),
            ..Self::default()
        }
    }

    /// Takes a place if fewer than `limit` are taken.
    pub(crate) fn enter(&self, limit: u32) -> bool {
        let add = |count: u32| (count < limit).then_some(count + 1);
        self.in_flight
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, add)
            .is_ok()
    }

    /// Returns the requests that all entries have at the target, as far as known.
    pub(crate) fn busy(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst) + self.peers.load(Ordering::Relaxed)
    }

    /// Returns the moving average of the time to answer, in microseconds; 0 when not known.
    pub(crate) fn latency(&self) -> u64 {
        self.latency.load(Ordering::Relaxed)
    }

    /// Returns how many requests the target takes now, at most `slots`.
    pub(crate) fn ramp(&self, slots: u16, now: u64) -> u32 {
        let slots = u32::from(slots.max(1));
        if self.failures.load(Ordering::Relaxed) >= FAILURES_TO_EJECT {
            return 1;
        }
        if !self.cold.load(Ordering::Relaxed) {
            return slots;
        }
        let since = self
            .warm_since
            .compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed)
            .map_or_else(|since| since, |_| now);
        let age = now.saturating_sub(since);
        if age >= SLOW_START_MICROS {
            self.cold.store(false, Ordering::Relaxed);
            return slots;
        }
        let grown = u64::from(slots) * age / SLOW_START_MICROS;
        (grown as u32).max(1)
    }

    /// Returns until when the target is not to be tried; 0 when it may be.
    pub(crate) fn shut_until(&self, now: u64) -> u64 {
        let ejected = self.ejected_until.load(Ordering::Relaxed);
        let until = ejected.max(self.backoff_until.load(Ordering::Relaxed));
        if until > now { until } else { 0 }
    }

    /// Returns whether the target is ejected for its failures.
    pub(crate) fn is_ejected(&self, now: u64) -> bool {
        self.ejected_until.load(Ordering::Relaxed) > now
    }

    /// Returns whether failures have reached the limit for ejection.
    pub(crate) fn is_failing(&self) -> bool {
        self.failures.load(Ordering::Relaxed) >= FAILURES_TO_EJECT
    }

    /// Returns the load that the target's endpoint told lately, in percent up to 100.
    pub(crate) fn hint(&self, now: u64) -> u32 {
        let at = self.hint_at.load(Ordering::Relaxed);
        if at == 0 || now.saturating_sub(at) > HINT_LIFE_MICROS {
            return 0;
        }
        self.hint_percent.load(Ordering::Relaxed)
    }

    /// Records what the target's endpoint tells of its load.
    pub(crate) fn set_hint(&self, percent: u32, now: u64) {
        self.hint_percent.store(percent.min(100), Ordering::Relaxed);
        self.hint_at.store(now.max(1), Ordering::Relaxed);
    }

    /// Records an answer.
    pub(crate) fn answered(&self, micros: u64) {
        average(&self.latency, micros);
        self.failures.store(0, Ordering::Relaxed);
        self.ejections.store(0, Ordering::Relaxed);
        self.sheds.store(0, Ordering::Relaxed);
        self.silent.store(false, Ordering::Relaxed);
    }

    /// Records that the target refused work; `spread` is a random number.
    pub(crate) fn refused(&self, now: u64, spread: u64) {
        let times = self.sheds.fetch_add(1, Ordering::Relaxed);
        let longest = BACKOFF_MICROS << times.min(BACKOFF_DOUBLINGS);
        let pause = longest / 2 + spread % longest;
        self.backoff_until.store(now + pause, Ordering::Relaxed);
    }

    /// Records a silent connection; returns whether the target itself is to blame: a connection
    /// opened after the last silence was silent as well.
    pub(crate) fn fell_silent(&self) -> bool {
        self.silent.swap(true, Ordering::Relaxed)
    }

    /// Records a failure.
    pub(crate) fn failed(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes the target out for a while, longer each time.
    pub(crate) fn eject(&self, now: u64) {
        let times = self.ejections.fetch_add(1, Ordering::Relaxed);
        let pause = EJECT_MICROS << times.min(EJECT_DOUBLINGS);
        self.ejected_until.store(now + pause, Ordering::Relaxed);
        self.cold.store(true, Ordering::Relaxed);
        self.warm_since.store(0, Ordering::Relaxed);
    }
}

/// Moves an exponential average towards a sample; 0 means that there is none yet.
pub(crate) fn average(held: &AtomicU64, sample: u64) {
    let step = |old: u64| match old {
        0 => Some(sample.max(1)),
        _ => Some((old - (old >> EWMA_SHIFT) + (sample >> EWMA_SHIFT)).max(1)),
    };
    let _ = held.fetch_update(Ordering::Relaxed, Ordering::Relaxed, step);
}
