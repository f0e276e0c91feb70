//! Limits the number of open connections of an address, and chooses the one that is closed when a new
//! one arrives at the limit.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::time::timeout;

/// How long a new connection waits for another one to close before it is tried again.
const ADMISSION_RETRY: Duration = Duration::from_millis(20);

/// What a connection waits for, in the order in which connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Waiting {
    /// The first byte of a request.
    Request,
    /// The rest of a head.
    Head,
    /// The rest of a body.
    Body,
}

/// The open connections of an address.
#[derive(Debug)]
pub struct Connections {
    max: usize,
    /// A connection that has waited for less is not closed.
    min_wait: Duration,
    next: Cell<u64>,
    open: RefCell<BTreeMap<u64, Entry>>,
    closed: Notify,
}

#[derive(Debug)]
struct Entry {
    waiting: Option<(Waiting, Instant)>,
    close: Rc<Notify>,
}

impl Connections {
    /// Creates the table of an address with at most `max` connections.
    pub fn new(max: usize, min_wait: Duration) -> Self {
        Self {
            max: max.max(1),
            min_wait,
            next: Cell::new(0),
            open: RefCell::default(),
            closed: Notify::new(),
        }
    }

    /// Counts a connection as open; at the limit, waits until another one has closed.
    pub async fn admit(self: &Rc<Self>) -> OpenConnection {
        loop {
            if self.open.borrow().len() < self.max {
                return self.insert();
            }
            self.close_longest_waiting(Instant::now());
            // At the end of the time, another connection may have waited for long enough.
            let _ = timeout(ADMISSION_RETRY, self.closed.notified()).await;
        }
    }

    fn insert(self: &Rc<Self>) -> OpenConnection {
        let number = self.next.get();
        self.next.set(number + 1);
        let close = Rc::new(Notify::new());
        let entry = Entry {
            waiting: None,
            close: close.clone(),
        };
        self.open.borrow_mut().insert(number, entry);
        OpenConnection {
            connections: self.clone(),
            number,
            close,
        }
    }

    /// Asks the connection to close that has waited longest for a request, or else for the rest of one.
    fn close_longest_waiting(&self, now: Instant) {
        let mut open = self.open.borrow_mut();
        let waiting = open.values_mut().filter(|entry| {
            let since = entry.waiting.map(|(_, since)| since);
            since.is_some_and(|since| now.saturating_duration_since(since) >= self.min_wait)
        });
        if let Some(entry) = waiting.min_by_key(|entry| entry.waiting) {
            entry.waiting = None;
            entry.close.notify_one();
        }
    }
}

/// Counts a connection as open until dropped.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Rc<Connections>,
    number: u64,
    close: Rc<Notify>,
}

impl OpenConnection {
    /// Records what the connection waits for from now on; `None` if it must not be closed.
    pub fn set_waiting(&self, waiting: Option<Waiting>) {
        let mut open = self.connections.open.borrow_mut();
        if let Some(entry) = open.get_mut(&self.number) {
            entry.waiting = waiting.map(|waiting| (waiting, Instant::now()));
        }
    }

    /// Completes when the connection should close in favour of a new one.
    pub async fn closing(&self) {
        self.close.notified().await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.number);
        self.connections.closed.notify_one();
    }
}
