//! First-in, first-out queues of calls that wait at the entry. The limits on their lengths are in
//! [`admission`](crate::route::admission).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Waker;

/// The calls that wait for the same resource. Only the first may try to reserve it.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    inner: Mutex<Inner>,
    len: AtomicUsize,
}

#[derive(Debug, Default)]
struct Inner {
    next: u64,
    waiters: BTreeMap<u64, Waiter>,
}

#[derive(Debug)]
struct Waiter {
    waker: Waker,
    shed: bool,
}

/// A call's position in a queue. Dropping it leaves the queue and wakes the call that is now first.
#[derive(Debug)]
pub(crate) struct QueuePosition {
    queue: Arc<WaitQueue>,
    total: Arc<AtomicUsize>,
    number: u64,
}

impl WaitQueue {
    /// Returns the number of waiting calls.
    pub(crate) fn len(&self) -> usize {
        self.len.load(Ordering::SeqCst)
    }

    /// Wakes the first call.
    pub(crate) fn wake_first(&self) {
        if self.len() == 0 {
            return;
        }
        let first = self.lock().waiters.values().next().map(|w| w.waker.clone());
        if let Some(waker) = first {
            waker.wake();
        }
    }

    /// Wakes every call.
    pub(crate) fn wake_all(&self) {
        let wakers: Vec<_> = self
            .lock()
            .waiters
            .values()
            .map(|w| w.waker.clone())
            .collect();
        wakers.into_iter().for_each(Waker::wake);
    }

    /// Sheds the last call that is not shed yet; returns true if there was one.
    pub(crate) fn shed_last(&self) -> bool {
        let mut inner = self.lock();
        let Some(waiter) = inner.waiters.values_mut().rev().find(|w| !w.shed) else {
            return false;
        };
        waiter.shed = true;
        let waker = waiter.waker.clone();
        drop(inner);
        waker.wake();
        true
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl QueuePosition {
    /// Appends a call to the queue; `total` counts the waiting calls of all queues.
    pub(crate) fn join(queue: &Arc<WaitQueue>, total: &Arc<AtomicUsize>, waker: &Waker) -> Self {
        let mut inner = queue.lock();
        let number = inner.next;
        inner.next += 1;
        let waker = waker.clone();
        inner.waiters.insert(number, Waiter { waker, shed: false });
        drop(inner);
        queue.len.fetch_add(1, Ordering::SeqCst);
        total.fetch_add(1, Ordering::SeqCst);
        Self {
            queue: queue.clone(),
            total: total.clone(),
            number,
        }
    }

    /// Replaces the waker; returns true if the call was shed.
    pub(crate) fn refresh(&self, waker: &Waker) -> bool {
        let mut inner = self.queue.lock();
        let Some(waiter) = inner.waiters.get_mut(&self.number) else {
            return true;
        };
        waiter.waker.clone_from(waker);
        waiter.shed
    }

    /// Returns true if the call is the first in its queue.
    pub(crate) fn is_first(&self) -> bool {
        self.queue.lock().waiters.keys().next() == Some(&self.number)
    }

    /// Returns true if the position is in the given queue.
    pub(crate) fn is_in(&self, queue: &Arc<WaitQueue>) -> bool {
        Arc::ptr_eq(&self.queue, queue)
    }
}

impl Drop for QueuePosition {
    fn drop(&mut self) {
        self.queue.lock().waiters.remove(&self.number);
        self.queue.len.fetch_sub(1, Ordering::SeqCst);
        self.total.fetch_sub(1, Ordering::SeqCst);
        self.queue.wake_first();
    }
}
