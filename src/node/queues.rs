//! The requests of callers that wait for slots at this node. [`overload`](crate::overload) decides
//! which of them start; this wakes them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::node::counters::line;
use crate::overload::queue::Decision;
use crate::overload::queue::Request;
use crate::overload::queue::Ticket;
use crate::overload::queue::WaitQueue;
use crate::overload::repeats::Repeats;

/// How long a request that found no target of its own gives way to those behind it.
const PASS_TIME: Duration = Duration::from_millis(20);
/// Number of resources at which those that were not used lately are forgotten for the first time.
const FIRST_CLEANUP: usize = 64;
/// Time without a request after which a resource is forgotten.
const RESOURCE_MEMORY: Duration = Duration::from_secs(30);

/// What requests wait for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Resource {
    /// Any target of an unkeyed service.
    Service(ServiceId),
    /// The target that owns the keys of the requests.
    Owner(TargetId),
}

/// A waiting request's task.
#[derive(Debug, Default)]
struct Waiter {
    wake: Notify,
    /// True once the request has been refused in favour of another one.
    is_refused: Cell<bool>,
}

/// The queue of one resource.
#[derive(Debug)]
struct ResourceQueue {
    queue: WaitQueue,
    waiters: BTreeMap<Ticket, Rc<Waiter>>,
    used_at: Instant,
}

/// Counts of one priority over all queues, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueueCounts {
    /// Requests that waited.
    pub waits: u64,
    /// Requests that were refused while they waited, in favour of another one or because they could no
    /// longer be answered in time.
    pub displaced: u64,
    /// Requests that were refused without a wait.
    pub refused: u64,
    /// Time that requests waited, in all.
    pub wait_time: Duration,
}

/// All queues of a node.
#[derive(Debug, Default)]
pub struct Queues {
    resources: RefCell<HashMap<Resource, ResourceQueue>>,
    /// Number of resources at which those that were not used lately are forgotten.
    cleanup_at: Cell<usize>,
    repeats: RefCell<Repeats>,
    counts: RefCell<BTreeMap<u8, QueueCounts>>,
}

/// A request's place in a queue, which it leaves when this is dropped.
#[derive(Debug)]
pub struct QueuePlace<'a> {
    queues: &'a Queues,
    resource: Resource,
    priority: u8,
    ticket: Ticket,
    joined: Instant,
    until: Instant,
    waiter: Rc<Waiter>,
}

impl Queues {
    /// Decides whether a request that found no slot waits; returns its place in the queue if it does.
    pub fn join(
        &self,
        resource: Resource,
        request: Request,
        now: Instant,
    ) -> Option<QueuePlace<'_>> {
        let decision = self.with(&resource, now, |entry| {
            entry.queue.arrive(request, false, now)
        });
        let mut counts = self.counts.borrow_mut();
        let own = counts.entry(request.priority).or_default();
        let Decision::Wait {
            ticket,
            until,
            displaced,
        } = decision
        else {
            own.refused += 1;
            return None;
        };
        own.waits += 1;
        drop(counts);
        let waiter = Rc::new(Waiter::default());
        self.with(&resource, now, |entry| {
            let displaced = displaced.and_then(|displaced| entry.waiters.get(&displaced));
            displaced.inspect(|displaced| displaced.refuse());
            entry.waiters.insert(ticket, waiter.clone());
        });
        Some(QueuePlace {
            queues: self,
            resource,
            priority: request.priority,
            ticket,
            joined: now,
            until,
            waiter,
        })
    }

    /// Returns true if a request may take a free slot of the resource: no other one is to go before it.
    /// Wakes the one that is.
    pub fn may_start(
        &self,
        resource: &Resource,
        place: Option<&QueuePlace<'_>>,
        now: Instant,
    ) -> bool {
        let resources = self.resources.borrow();
        let Some(entry) = resources.get(resource) else {
            return true;
        };
        let own = place.filter(|place| place.resource == *resource);
        match entry.queue.next(now) {
            Some(next) if own.is_none_or(|own| own.ticket != next) => {
                entry.wake(next);
                false
            }
            _ => true,
        }
    }

    /// Records that a request starts without having waited.
    pub fn record_start(&self, resource: &Resource, priority: u8, now: Instant) {
        self.with(resource, now, |entry| {
            entry.queue.record_unqueued_start(priority, now);
        });
    }

    /// Records the response time of a request.
    pub fn record_response(&self, resource: &Resource, response_time: Duration, now: Instant) {
        self.with(resource, now, |entry| {
            entry.queue.record_response(response_time);
        });
    }

    /// Wakes the request that starts next after a slot of the resource has become free. Those that can
    /// no longer be answered in time are refused.
    pub fn wake_next(&self, resource: &Resource, now: Instant) {
        let mut resources = self.resources.borrow_mut();
        let Some(entry) = resources.get_mut(resource) else {
            return;
        };
        for ticket in entry.queue.remove_expired(now) {
            if let Some(waiter) = entry.waiters.get(&ticket) {
                waiter.refuse();
            }
        }
        if let Some(next) = entry.queue.next(now) {
            entry.wake(next);
        }
    }

    /// Returns when a caller that is refused now should come back; `None` if no request waits for the
    /// resource.
    pub fn retry_after(
        &self,
        resource: &Resource,
        time_left: Duration,
        objective: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let resources = self.resources.borrow();
        let queue = &resources.get(resource)?.queue;
        queue.retry_after(time_left, objective, now, rand::random())
    }

    /// Records that a request was refused, and when its caller may send it again.
    pub fn record_refusal(&self, source: u64, until: Instant) {
        self.repeats.borrow_mut().record_refusal(source, until);
    }

    /// Returns true if a caller sends a refused request again too early.
    pub fn is_repeat(&self, source: u64, now: Instant) -> bool {
        self.repeats.borrow().is_early(source, now)
    }

    /// Returns the number of requests that wait for a resource.
    pub fn waiting(&self, resource: &Resource) -> usize {
        let resources = self.resources.borrow();
        resources.get(resource).map_or(0, |entry| entry.queue.len())
    }

    /// Renders the metrics of the queues in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let resources = self.resources.borrow();
        let waiting: usize = resources.values().map(|entry| entry.queue.len()).sum();
        line(&mut text, format_args!("queue_length {waiting}"));
        for (priority, counts) in &*self.counts.borrow() {
            let values = [
                ("waits", counts.waits),
                ("displaced", counts.displaced),
                ("refused", counts.refused),
                ("wait_ms", counts.wait_time.as_millis() as u64),
            ];
            for (name, value) in values {
                let labels = format!("priority=\"{priority}\"");
                line(
                    &mut text,
                    format_args!("queue_{name}_total{{{labels}}} {value}"),
                );
            }
        }
        text
    }

    fn with<T>(
        &self,
        resource: &Resource,
        now: Instant,
        operation: impl FnOnce(&mut ResourceQueue) -> T,
    ) -> T {
        let mut resources = self.resources.borrow_mut();
        if let Some(entry) = resources.get_mut(resource) {
            entry.used_at = now;
            return operation(entry);
        }
        if resources.len() >= self.cleanup_at.get().max(FIRST_CLEANUP) {
            resources.retain(|_, entry| {
                !entry.waiters.is_empty()
                    || now.saturating_duration_since(entry.used_at) < RESOURCE_MEMORY
            });
            self.cleanup_at.set(2 * resources.len());
        }
        operation(
            resources
                .entry(resource.clone())
                .or_insert_with(|| ResourceQueue {
                    queue: WaitQueue::default(),
                    waiters: BTreeMap::new(),
                    used_at: now,
                }),
        )
    }
}

impl ResourceQueue {
    fn wake(&self, ticket: Ticket) {
        if let Some(waiter) = self.waiters.get(&ticket) {
            waiter.wake.notify_one();
        }
    }
}

impl Waiter {
    fn refuse(&self) {
        self.is_refused.set(true);
        self.wake.notify_one();
    }
}

impl QueuePlace<'_> {
    /// Returns the resource that the request waits for.
    pub fn resource(&self) -> &Resource {
        &self.resource
    }

    /// Returns when the request is refused unless it has been started.
    pub fn until(&self) -> Instant {
        self.until
    }

    /// Returns true once the request has been refused in favour of another one, or its time is over.
    pub fn is_over(&self, now: Instant) -> bool {
        self.waiter.is_refused.get() || now >= self.until
    }

    /// Returns true if the request starts next.
    pub fn is_next(&self, now: Instant) -> bool {
        self.queues.may_start(&self.resource, Some(self), now)
    }

    /// Completes when the request may start or is refused.
    pub async fn woken(&self) {
        self.waiter.wake.notified().await;
    }

    /// Lets those behind go first for a moment, since this one found no target that it may be sent to.
    pub fn pass_over(&self, now: Instant) {
        self.queues.with(&self.resource, now, |entry| {
            entry.queue.pass_over(self.ticket, now + PASS_TIME);
        });
        self.queues.wake_next(&self.resource, now);
    }

    /// Ends the wait, as the request is started. The next one is woken, since there may be more slots.
    pub fn start(self, now: Instant) {
        self.queues.with(&self.resource, now, |entry| {
            entry.queue.start(self.ticket, now);
        });
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        self.queues.with(&self.resource, now, |entry| {
            entry.waiters.remove(&self.ticket);
            entry.queue.leave(self.ticket);
        });
        let mut counts = self.queues.counts.borrow_mut();
        let counts = counts.entry(self.priority).or_default();
        counts.displaced += u64::from(self.waiter.is_refused.get());
        counts.wait_time += now.saturating_duration_since(self.joined);
        self.queues.wake_next(&self.resource, now);
    }
}
