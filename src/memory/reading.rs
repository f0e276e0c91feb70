//! Bodies that are being read: what they hold, how they progress, and which one is refused when the
//! account is short.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::memory::account::Account;
use crate::memory::account::SMALL_BYTES;
use crate::memory::account::Share;
use crate::memory::body::Body;

/// Time over which the progress of a body is measured. A body that has been read for less is not
/// refused, since its rate is not known yet.
const RATE_WINDOW: Duration = Duration::from_millis(500);
/// Bodies that progress faster, in bytes per second, are refused only if they cannot end in time.
const MIN_RATE: f64 = 1e6;

/// Whether bytes fit into the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// The bytes are held.
    Held,
    /// They do not fit yet. Another body was refused, whose bytes are given back soon.
    Soon,
    /// They do not fit, or the body itself was refused in favour of another one.
    Refused,
}

/// The progress of a body that is being read.
#[derive(Debug)]
pub(super) struct Progress {
    started: Instant,
    deadline: Instant,
    missing: Cell<Option<usize>>,
    held: Cell<usize>,
    window_start: Cell<Instant>,
    /// Bytes since the start of the window.
    recent: Cell<usize>,
    /// Bytes in the window before.
    earlier: Cell<usize>,
    refused: Cell<bool>,
}

impl Progress {
    fn record(&self, count: usize, now: Instant) {
        self.turn_window(now);
        self.recent.set(self.recent.get() + count);
        let missing = self.missing.get();
        self.missing
            .set(missing.map(|missing| missing.saturating_sub(count)));
    }

    fn turn_window(&self, now: Instant) {
        let age = now.saturating_duration_since(self.window_start.get());
        if age >= RATE_WINDOW {
            let is_next = age < 2 * RATE_WINDOW;
            self.earlier
                .set(if is_next { self.recent.get() } else { 0 });
            self.recent.set(0);
            self.window_start.set(now);
        }
    }

    /// Returns the bytes per second over the last one or two windows.
    fn rate(&self, now: Instant) -> f64 {
        self.turn_window(now);
        let window = now.saturating_duration_since(self.window_start.get()) + RATE_WINDOW;
        let age = now.saturating_duration_since(self.started);
        let time = window.min(age).as_secs_f64();
        (self.earlier.get() + self.recent.get()) as f64 / time.max(f64::EPSILON)
    }

    /// Returns the rate of a body that may be refused in favour of others.
    fn refusable_rate(&self, now: Instant) -> Option<f64> {
        let age = now.saturating_duration_since(self.started);
        if age < RATE_WINDOW || self.held.get() <= SMALL_BYTES {
            return None;
        }
        let rate = self.rate(now);
        let left = self.deadline.saturating_duration_since(now).as_secs_f64();
        let missing = self.missing.get().unwrap_or(0) as f64;
        (rate < MIN_RATE || rate * left < missing).then_some(rate)
    }
}

/// A request body that is being read. Its bytes are given back on drop.
#[derive(Debug)]
pub struct Reading {
    account: Account,
    number: u64,
    progress: Rc<Progress>,
    /// `None` only after [`Reading::finish`].
    body: Option<Body>,
}

impl Account {
    /// Begins to read a body of `declared` bytes, if that is known, which is of use until `deadline`.
    pub fn begin_reading(
        &self,
        declared: Option<usize>,
        now: Instant,
        deadline: Instant,
    ) -> Reading {
        let progress = Rc::new(Progress {
            started: now,
            deadline,
            missing: Cell::new(declared),
            held: Cell::new(0),
            window_start: Cell::new(now),
            recent: Cell::new(0),
            earlier: Cell::new(0),
            refused: Cell::new(false),
        });
        let number = self.0.next_reading.get();
        self.0.next_reading.set(number + 1);
        let mut readings = self.0.readings.borrow_mut();
        readings.insert(number, progress.clone());
        Reading {
            account: self.clone(),
            number,
            progress,
            body: Some(Body::new(declared, self.hold(Share::Small))),
        }
    }

    /// Returns a body without bytes.
    pub fn empty_body(&self) -> Body {
        Body::new(Some(0), self.hold(Share::Small))
    }

    /// Returns the number of bodies that are being read.
    pub fn readings(&self) -> usize {
        self.0.readings.borrow().len()
    }

    /// Refuses the body with the least progress, unless one was refused whose bytes are not back yet;
    /// returns false if not all bodies that may be refused together hold the `missing` bytes.
    fn refuse_slowest(&self, missing: usize, now: Instant) -> bool {
        let readings = self.0.readings.borrow();
        let (mut available, mut is_waiting, mut slowest) = (0, false, None);
        for progress in readings.values() {
            if progress.refused.get() {
                is_waiting = true;
            } else if let Some(rate) = progress.refusable_rate(now) {
                if slowest.is_none_or(|(least, _)| rate < least) {
                    slowest = Some((rate, progress));
                }
            } else {
                continue;
            }
            available += progress.held.get();
        }
        if available < missing {
            return false;
        }
        if let Some((_, progress)) = slowest.filter(|_| !is_waiting) {
            progress.refused.set(true);
        }
        true
    }
}

impl Reading {
    /// Makes room for `more` bytes of the body.
    pub fn reserve(&mut self, more: usize, now: Instant) -> Room {
        let Some(body) = self.body.as_mut().filter(|_| !self.progress.refused.get()) else {
            return Room::Refused;
        };
        let size = body.size_with(more);
        let share = match size {
            0..=SMALL_BYTES => Share::Small,
            _ => Share::Bodies,
        };
        let Err(missing) = body.held_mut().grow_in(share, size) else {
            self.progress.held.set(size);
            return Room::Held;
        };
        match self.account.refuse_slowest(missing, now) && !self.progress.refused.get() {
            true => Room::Soon,
            false => Room::Refused,
        }
    }

    /// Appends data for which room was made.
    pub fn push(&mut self, data: &[u8], now: Instant) {
        if let Some(body) = &mut self.body {
            body.push(data);
            self.progress.record(data.len(), now);
        }
    }

    /// Returns the number of bytes read.
    pub fn len(&self) -> usize {
        self.body.as_ref().map_or(0, Body::len)
    }

    /// Returns true if no bytes were read.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns true if the body was refused in favour of others.
    pub fn is_refused(&self) -> bool {
        self.progress.refused.get()
    }

    /// Returns the complete body.
    pub fn finish(mut self) -> Option<Body> {
        self.body.take()
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.account.0.readings.borrow_mut().remove(&self.number);
    }
}
