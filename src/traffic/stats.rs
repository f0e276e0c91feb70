//! Counts of an entry, shared by its threads.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct Stats {
    /// Requests read.
    pub requests: AtomicU64,
    /// Whole answers of targets delivered.
    pub whole: AtomicU64,
    /// Requests refused as not run.
    pub not_run: AtomicU64,
    /// Requests whose outcome is unknown.
    pub unknown: AtomicU64,
    /// Answers that broke off.
    pub cut: AtomicU64,
    /// Callers that went away.
    pub gone: AtomicU64,
    /// Heads and bodies refused as malformed.
    pub malformed: AtomicU64,
    /// Connections found silent.
    pub silent: AtomicU64,
}

impl Stats {
    /// Adds one to a count.
    pub fn count(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns every count with its name.
    pub fn all(&self) -> [(&'static str, u64); 8] {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        [
            ("requests", read(&self.requests)),
            ("whole", read(&self.whole)),
            ("not_run", read(&self.not_run)),
            ("unknown", read(&self.unknown)),
            ("cut", read(&self.cut)),
            ("gone", read(&self.gone)),
            ("malformed", read(&self.malformed)),
            ("silent", read(&self.silent)),
        ]
    }
}
