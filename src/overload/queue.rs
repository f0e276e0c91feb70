//! The requests that wait for slots of one resource: the targets of an unkeyed service, or the owner of
//! a keyed one.

use std::time::Duration;
use std::time::Instant;

use crate::overload::retry_after;
use crate::overload::shares::Shares;
use crate::overload::shares::StarvedClasses;

/// Maximum number of requests that wait. Bounds the memory and the cost of a decision.
pub const MAX_WAITING: usize = 128;
/// Weight of the newest sample in moving averages.
const EWMA_WEIGHT: f64 = 0.15;
/// Factor on the mean response time in judging whether a request can still be answered in time:
/// response times scatter.
const RESPONSE_MARGIN: f64 = 1.5;
/// Response time, as a fraction of the objective, that is assumed without a sample.
const DEFAULT_RESPONSE: f64 = 0.25;
/// Part of the time in which a request can still meet its objective that it is expected to wait, at
/// most, when others fill the queue. The rest is for a second try: refused callers come back within a
/// third of their objective, and a longer queue makes those late that it serves.
const ADMIT_FRACTION: f64 = 0.25;
/// Multiple of the expected wait after which a request that can no longer meet its objective is
/// refused: the expectation was wrong, and the caller still has time for another try.
const MAX_WAIT_FACTOR: f64 = 3.0;
/// One start in this many ignores that a request repeats a refused one, as several callers behind one
/// address may send the same request.
const REPEAT_TURN: u64 = 8;

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Priority of its route; 0 is the most urgent.
    pub priority: u8,
    /// When the node received it.
    pub arrived: Instant,
    /// The time within which it should be answered, from its arrival.
    pub objective: Duration,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// True if the caller sent it again too early after a refusal.
    pub is_repeat: bool,
}

/// Identifies a waiting request within its queue; higher for later arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The decision about a request that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is started now.
    Start,
    /// It waits.
    Wait {
        /// Its place in the queue.
        ticket: Ticket,
        /// When it is refused, unless it has been started.
        until: Instant,
        /// A request that was waiting and is refused in its favour.
        displaced: Option<Ticket>,
    },
    /// It is refused.
    Refuse,
}

/// A waiting request.
#[derive(Clone, Copy, Debug)]
struct Entry {
    ticket: Ticket,
    request: Request,
    /// Until when it gives way to others, as it found no target that it may be sent to.
    passed_until: Option<Instant>,
}

/// The order of waiting requests; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Starved classes go first.
    is_served: bool,
    priority: u8,
    is_repeat: bool,
    /// True if it can no longer meet its objective.
    is_late: bool,
    arrived: Instant,
    ticket: Ticket,
}

/// What the order of requests depends on besides themselves, determined once for each decision.
#[derive(Clone, Copy, Debug)]
struct Judge {
    now: Instant,
    /// Assumed response time; `None` without a sample.
    response_time: Option<Duration>,
    starved: StarvedClasses,
}

impl Judge {
    /// Returns the last times at which a request can be started to meet its objective, and to be
    /// answered before its deadline.
    fn last_starts(&self, request: &Request) -> (Instant, Instant) {
        let response_time = self.response_time(request);
        let before = |end: Instant| end.checked_sub(response_time).unwrap_or(request.arrived);
        let deadline = before(request.deadline);
        (
            before(request.arrived + request.objective).min(deadline),
            deadline,
        )
    }

    /// Returns true if a request that is started now is likely to miss its objective.
    fn is_late(&self, request: &Request) -> bool {
        let end = self.now + self.response_time(request);
        end > request.arrived + request.objective || end > request.deadline
    }

    fn rank(&self, entry: &Entry) -> Rank {
        let request = &entry.request;
        Rank {
            is_served: !self.starved.contains(request.priority),
            priority: request.priority,
            is_repeat: request.is_repeat,
            is_late: self.is_late(request),
            arrived: request.arrived,
            ticket: entry.ticket,
        }
    }

    fn response_time(&self, request: &Request) -> Duration {
        let default = || request.objective.mul_f64(DEFAULT_RESPONSE);
        self.response_time.unwrap_or_else(default)
    }
}

/// The requests that wait for one resource, and what is known of how fast it takes them.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    entries: Vec<Entry>,
    next_ticket: u64,
    shares: Shares,
    starts: u64,
    /// Moving average of the time between starts while requests waited, in seconds.
    interval: Option<f64>,
    /// When a request was last started, or the first one began to wait.
    moved_at: Option<Instant>,
    /// Moving average of the response time, in seconds.
    response_time: Option<f64>,
}

impl WaitQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides about a request that asks for a slot; `has_room` is true if one is free.
    pub fn arrive(&mut self, request: Request, has_room: bool, now: Instant) -> Decision {
        self.shares.record_arrival(request.priority, now);
        let entry = Entry {
            ticket: Ticket(self.next_ticket),
            request,
            passed_until: None,
        };
        let judge = self.judge(now);
        let rank = judge.rank(&entry);
        let (mut ahead, mut in_time, mut worst) = (0, 0, None);
        for other in &self.entries {
            let other = judge.rank(other);
            ahead += usize::from(other < rank);
            in_time += usize::from(!other.is_late);
            worst = worst.max(Some(other));
        }
        if has_room && ahead == 0 {
            self.count_start(request.priority, now);
            return Decision::Start;
        }
        let wait = self.expected_wait(ahead, now);
        let (in_time_until, until) = judge.last_starts(&request);
        if now + wait > until {
            return Decision::Refuse;
        }
        let slack = in_time_until.saturating_duration_since(now);
        let slack = slack.mul_f64(ADMIT_FRACTION);
        let is_full =
            self.len() >= MAX_WAITING || wait > slack && in_time >= self.starts_within(slack);
        let displaced = match worst.filter(|_| is_full) {
            Some(worst) => match worst.yields_to(&rank) {
                true => Some(worst.ticket),
                false => return Decision::Refuse,
            },
            None => None,
        };
        if let Some(displaced) = displaced {
            self.remove(displaced);
        }
        if self.entries.is_empty() {
            self.moved_at = Some(now);
        }
        self.next_ticket += 1;
        self.entries.push(entry);
        Decision::Wait {
            ticket: entry.ticket,
            until: until.min(in_time_until.max(now + wait.mul_f64(MAX_WAIT_FACTOR))),
            displaced,
        }
    }

    /// Records that a request starts without having waited.
    pub fn record_unqueued_start(&mut self, priority: u8, now: Instant) {
        self.shares.record_arrival(priority, now);
        self.count_start(priority, now);
    }

    /// Returns the waiting request that starts when the next slot is free.
    pub fn next(&self, now: Instant) -> Option<Ticket> {
        let ignores_repeats = self.starts % REPEAT_TURN == REPEAT_TURN - 1;
        let able = self
            .entries
            .iter()
            .filter(|entry| entry.passed_until.is_none_or(|until| until <= now));
        let judge = self.judge(now);
        let ranked = able.map(|entry| {
            let rank = judge.rank(entry);
            Rank {
                is_repeat: rank.is_repeat && !ignores_repeats,
                ..rank
            }
        });
        ranked.min().map(|rank| rank.ticket)
    }

    /// Removes and returns the requests that can no longer be answered before their deadline.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<Ticket> {
        if self.is_empty() {
            return Vec::new();
        }
        let judge = self.judge(now);
        let expired = |entry: &&Entry| now > judge.last_starts(&entry.request).1;
        let expired: Vec<_> = self.entries.iter().filter(expired).collect();
        let expired: Vec<_> = expired.into_iter().map(|entry| entry.ticket).collect();
        for ticket in &expired {
            self.remove(*ticket);
        }
        expired
    }

    /// Lets others go first until `until`, since the request found no target that it may be sent to.
    pub fn pass_over(&mut self, ticket: Ticket, until: Instant) {
        let entry = self.entries.iter_mut().find(|entry| entry.ticket == ticket);
        if let Some(entry) = entry {
            entry.passed_until = Some(until);
        }
    }

    /// Records that a waiting request is started, which ends its wait.
    pub fn start(&mut self, ticket: Ticket, now: Instant) {
        let Some(entry) = self.remove(ticket) else {
            return;
        };
        if let Some(moved_at) = self.moved_at {
            let sample = now.saturating_duration_since(moved_at);
            update_average(&mut self.interval, sample);
        }
        self.count_start(entry.request.priority, now);
    }

    /// Removes a request that no longer waits; returns true if it was waiting.
    pub fn leave(&mut self, ticket: Ticket) -> bool {
        self.remove(ticket).is_some()
    }

    /// Records the response time of a request.
    pub fn record_response(&mut self, response_time: Duration) {
        update_average(&mut self.response_time, response_time);
    }

    /// Returns when a caller that is refused now should come back; `None` if no request waits. `random`
    /// is from 0 to 1.
    pub fn retry_after(
        &self,
        time_left: Duration,
        objective: Duration,
        now: Instant,
        random: f64,
    ) -> Option<Duration> {
        if self.is_empty() {
            return None;
        }
        let wait = self.expected_wait(self.len(), now);
        Some(retry_after(wait, time_left, objective, random))
    }

    /// Returns the expected time until a request with `ahead` others before it starts. It grows while
    /// nothing starts.
    fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
        let since = self.moved_at.filter(|_| !self.entries.is_empty());
        let since = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let interval = self.interval.unwrap_or(0.0).max(since.as_secs_f64() / 2.0);
        Duration::from_secs_f64(interval * (ahead + 1) as f64)
    }

    /// Returns how many waiting requests are expected to start within a time.
    fn starts_within(&self, time: Duration) -> usize {
        match self.interval {
            Some(interval) if interval > 0.0 => (time.as_secs_f64() / interval) as usize,
            _ => MAX_WAITING,
        }
    }

    fn judge(&self, now: Instant) -> Judge {
        let seconds = self.response_time.map(|mean| mean * RESPONSE_MARGIN);
        Judge {
            now,
            response_time: seconds.map(Duration::from_secs_f64),
            starved: self.shares.starved(),
        }
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        let index = self.entries.iter().position(|e| e.ticket == ticket)?;
        Some(self.entries.swap_remove(index))
    }

    fn count_start(&mut self, priority: u8, now: Instant) {
        self.starts += 1;
        self.moved_at = Some(now);
        self.shares.record_start(priority);
    }
}

impl Rank {
    /// Returns true if a waiting request is refused in favour of another one: one of a more urgent
    /// class, or one of its class that can still meet its objective while it cannot itself. Of equal
    /// ones, the one that has waited stays. Nothing yields to a repeat but another one.
    fn yields_to(&self, other: &Self) -> bool {
        let key = |rank: &Self| (rank.is_served, rank.priority, rank.is_repeat, rank.is_late);
        key(other) < key(self) && (self.is_repeat || !other.is_repeat)
    }
}

fn update_average(average: &mut Option<f64>, sample: Duration) {
    let sample = sample.as_secs_f64();
    *average = Some(match *average {
        None => sample,
        Some(old) => old + (sample - old) * EWMA_WEIGHT,
    });
}
