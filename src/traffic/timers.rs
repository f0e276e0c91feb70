//! Coarse timers of one traffic thread: setting one costs no system call.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use futures::future::Either;
use futures::future::select;

/// How late a timer may fire.
pub const TICK: Duration = Duration::from_millis(10);

/// The timers that wait.
#[derive(Debug, Default)]
pub struct Timers {
    waiting: RefCell<BTreeMap<(Instant, u64), Waker>>,
    next_id: Cell<u64>,
}

/// Resolves at an instant.
#[derive(Debug)]
pub struct Sleep<'a> {
    timers: &'a Timers,
    key: (Instant, u64),
    waiting: bool,
}

/// Something took longer than it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl Timers {
    /// Returns a future that resolves once `at` has passed.
    pub fn sleep_until(&self, at: Instant) -> Sleep<'_> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        Sleep {
            timers: self,
            key: (at, id),
            waiting: false,
        }
    }

    /// Runs a future for at most this long.
    pub async fn within<F: Future>(&self, limit: Duration, work: F) -> Result<F::Output, Elapsed> {
        let work = std::pin::pin!(work);
        let sleep = self.sleep_until(Instant::now() + limit);
        match select(work, sleep).await {
            Either::Left((output, _)) => Ok(output),
            Either::Right(_) => Err(Elapsed),
        }
    }

    /// Wakes every timer that is due.
    pub fn fire(&self, now: Instant) {
        let mut waiting = self.waiting.borrow_mut();
        let later = waiting.split_off(&(now, u64::MAX));
        let due = std::mem::replace(&mut *waiting, later);
        drop(waiting);
        due.into_values().for_each(Waker::wake);
    }
}

impl Future for Sleep<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.key.0 {
            return Poll::Ready(());
        }
        let mut waiting = self.timers.waiting.borrow_mut();
        match waiting.get_mut(&self.key) {
            Some(waker) => waker.clone_from(cx.waker()),
            None => {
                waiting.insert(self.key, cx.waker().clone());
            }
        }
        drop(waiting);
        self.waiting = true;
        Poll::Pending
    }
}

impl Drop for Sleep<'_> {
    fn drop(&mut self) {
        if self.waiting {
            self.timers.waiting.borrow_mut().remove(&self.key);
        }
    }
}
