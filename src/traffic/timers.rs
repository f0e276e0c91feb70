//! Coarse timers of one traffic thread.
//!
//! They are checked once per [`RESOLUTION`], so that setting one needs no system call.

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

/// Period at which timers are checked, and so the longest delay of a timer.
pub const RESOLUTION: Duration = Duration::from_millis(10);

/// The pending timers of a thread.
#[derive(Debug, Default)]
pub struct Timers {
    wakers: RefCell<BTreeMap<(Instant, u64), Waker>>,
    next_id: Cell<u64>,
}

/// A future that resolves at an instant; see [`Timers::sleep_until`].
#[derive(Debug)]
pub struct Sleep<'a> {
    timers: &'a Timers,
    key: (Instant, u64),
    registered: bool,
}

/// The time limit of [`Timers::within`] was exceeded.
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
            registered: false,
        }
    }

    /// Runs a future; fails if it does not complete within `limit`.
    pub async fn within<F: Future>(&self, limit: Duration, work: F) -> Result<F::Output, Elapsed> {
        let work = std::pin::pin!(work);
        let sleep = self.sleep_until(Instant::now() + limit);
        match select(work, sleep).await {
            Either::Left((output, _)) => Ok(output),
            Either::Right(_) => Err(Elapsed),
        }
    }

    /// Wakes the tasks of all timers that expired by `now`.
    pub fn wake_expired(&self, now: Instant) {
        let mut wakers = self.wakers.borrow_mut();
        let later = wakers.split_off(&(now, u64::MAX));
        let due = std::mem::replace(&mut *wakers, later);
        drop(wakers);
        due.into_values().for_each(Waker::wake);
    }
}

impl Future for Sleep<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.key.0 {
            return Poll::Ready(());
        }
        let mut wakers = self.timers.wakers.borrow_mut();
        match wakers.get_mut(&self.key) {
            Some(waker) => waker.clone_from(cx.waker()),
            None => {
                wakers.insert(self.key, cx.waker().clone());
            }
        }
        drop(wakers);
        self.registered = true;
        Poll::Pending
    }
}

impl Drop for Sleep<'_> {
    fn drop(&mut self) {
        if self.registered {
            self.timers.wakers.borrow_mut().remove(&self.key);
        }
    }
}
