//! A node's side of permits: its requests for them, those that it issues, and what it has learned of
//! limits and not passed on yet.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::cold_start::Audience;
use crate::cold_start::ColdReports;
use crate::cold_start::PERMIT_LIFETIME;
use crate::ids::VmId;
use crate::node::cold;
use crate::node::counters::Counter;
use crate::node::fleet::Target;
use crate::node::limit::Evidence;
use crate::node::limit::Permits;
use crate::node::limit::ProcessTag;
use crate::node::limit::RequestRate;
use crate::node::limit::Verdict;
use crate::node::limit::issue_rate;
use crate::node::state::State;

/// How long a request for a permit may take; nodes usually answer within milliseconds.
pub const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);
/// How often a change of a limit is sent, since datagrams get lost.
const CHANGE_REPEATS: u32 = 2;

/// Time after which a node asks again if no permit for a cold target was issued.
const COLD_RETRY_WAIT: Duration = Duration::from_millis(100);

/// The limit of a target that is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// The rate at which permits are issued.
    pub rate: RequestRate,
    /// How much longer the target is cold.
    pub left: Duration,
}

/// The right to send one request to a target.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    /// Until when a request may be sent to a cold target; `None` if the permit is not for one.
    cold_until: Option<Instant>,
}

impl Permit {
    /// Returns true if the request may be sent now. Before a request is sent, its connection may take
    /// long to open, and the target may become cold.
    pub fn is_valid(self, state: &State, target: &Target, now: Instant) -> bool {
        match self.cold_until {
            Some(until) => now < until,
            None => cold::limit(state, target, now).is_none(),
        }
    }
}

/// A request for a permit that has not been passed on yet.
#[derive(Clone, Copy, Debug)]
pub struct QueuedRequest {
    /// Identifies the request within this node.
    pub number: u64,
    /// The process that a request is to be sent to.
    pub process: ProcessTag,
    /// What this node knows of the limit that it names.
    pub evidence: Option<Evidence>,
    /// Its limit because it is cold.
    pub cold: Option<ColdLimit>,
}

/// A change of a limit that the other nodes should know.
#[derive(Clone, Copy, Debug)]
struct Change {
    evidence: Evidence,
    repeats: u32,
}

/// A request for a permit that has no answer yet.
#[derive(Debug)]
struct Waiting {
    answer: oneshot::Sender<Verdict>,
    /// The node that was asked.
    asked: Option<VmId>,
}

/// The state of a node's permits.
#[derive(Debug, Default)]
pub struct LimitState {
    queue: RefCell<VecDeque<QueuedRequest>>,
    /// Notified when a request for a permit is to be passed on.
    pub queued: Notify,
    last_number: Cell<u64>,
    waiting: RefCell<BTreeMap<u64, Waiting>>,
    /// Permits that this node issues to all nodes.
    issued: RefCell<Permits>,
    /// Permits that this node issues to itself while it does not reach the node that issues them.
    own_share: RefCell<Permits>,
    changes: RefCell<BTreeMap<ProcessTag, Change>>,
    /// Cold targets that are to be reported to the other nodes.
    cold_reports: RefCell<ColdReports<ProcessTag>>,
}

/// Forgets a request for a permit when its caller no longer waits.
struct WaitGuard<'a> {
    limits: &'a LimitState,
    number: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.limits.waiting.borrow_mut().remove(&self.number);
    }
}

/// Returns a permit if a request may be sent to the target now. Otherwise the target is withheld from
/// this node's requests until a permit is expected.
pub async fn obtain_permit(state: &State, target: &Target) -> Option<Permit> {
    let asked = Instant::now();
    let evidence = target.limit.evidence().filter(|e| e.rate.is_some());
    let cold = cold::limit(state, target, asked);
    let permit = Permit {
        cold_until: cold.map(|_| asked + PERMIT_LIFETIME),
    };
    if evidence.is_none() && cold.is_none() {
        return Some(permit);
    }
    if target.is_withheld(asked) {
        return None;
    }
    let process = target.process_tag();
    let (number, answer) = state.limits.request_permit(process, evidence, cold);
    let _guard = WaitGuard {
        limits: &state.limits,
        number,
    };
    let verdict = match timeout(PERMIT_TIMEOUT, answer).await {
        Ok(Ok(verdict)) => verdict,
        Ok(Err(_)) | Err(_) => {
            state.counters.add(Counter::PermitTimeouts);
            let nodes = state.nodes.get();
            state.limits.replace_answer(process, evidence, cold, nodes)
        }
    };
    match verdict {
        Verdict::Granted => Some(permit),
        Verdict::Denied(wait) => {
            state.counters.add(Counter::PermitsDenied);
            if cold.is_some() {
                state.counters.add(Counter::ColdDenied);
            }
            target.withhold(Instant::now() + wait);
            None
        }
    }
}

impl LimitState {
    fn request_permit(
        &self,
        process: ProcessTag,
        evidence: Option<Evidence>,
        cold: Option<ColdLimit>,
    ) -> (u64, oneshot::Receiver<Verdict>) {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let (answer, receiver) = oneshot::channel();
        let waiting = Waiting {
            answer,
            asked: None,
        };
        self.waiting.borrow_mut().insert(number, waiting);
        self.queue.borrow_mut().push_back(QueuedRequest {
            number,
            process,
            evidence,
            cold,
        });
        self.queued.notify_one();
        (number, receiver)
    }

    /// Returns the next request for a permit that is to be passed on.
    pub fn next_request(&self) -> Option<QueuedRequest> {
        self.queue.borrow_mut().pop_front()
    }

    /// Records which node a request for a permit was sent to.
    pub fn record_asked(&self, number: u64, node: VmId) {
        if let Some(waiting) = self.waiting.borrow_mut().get_mut(&number) {
            waiting.asked = Some(node);
        }
    }

    /// Answers a request for a permit, unless its caller no longer waits; returns the node that was
    /// asked, if any.
    pub fn answer(&self, number: u64, verdict: Verdict) -> Option<VmId> {
        let waiting = self.waiting.borrow_mut().remove(&number)?;
        // The caller may have stopped waiting just now.
        let _ = waiting.answer.send(verdict);
        waiting.asked
    }

    /// Issues a permit for any node at the given rate; without one, the target is not limited.
    pub fn issue(&self, process: ProcessTag, rate: Option<f64>, now: Instant) -> Verdict {
        match rate {
            Some(rate) => self.issued.borrow_mut().take(process, rate, now),
            None => Verdict::Granted,
        }
    }

    /// Returns the verdict in place of an answer that does not arrive: from the share of this node, which
    /// is one of `nodes`. Of the rate of a cold target there are no shares.
    pub fn replace_answer(
        &self,
        process: ProcessTag,
        evidence: Option<Evidence>,
        cold: Option<ColdLimit>,
        nodes: usize,
    ) -> Verdict {
        if cold.is_some() {
            return Verdict::Denied(COLD_RETRY_WAIT);
        }
        match evidence.and_then(|evidence| evidence.rate) {
            Some(limit) => {
                let share = issue_rate(limit) / nodes.max(1) as f64;
                let mut own_share = self.own_share.borrow_mut();
                own_share.take(process, share, Instant::now())
            }
            None => Verdict::Granted,
        }
    }

    /// Adds a cold target that is to be reported to the other nodes.
    pub fn report_cold(&self, process: ProcessTag, until: Instant, audience: Audience) {
        self.cold_reports.borrow_mut().add(process, until, audience);
    }

    /// Returns the cold targets that are to be reported to the other nodes now, with the time that they stay cold.
    pub fn take_cold_reports(&self, now: Instant) -> Vec<(ProcessTag, Duration, Audience)> {
        self.cold_reports.borrow_mut().take_round(now)
    }

    /// Records a change of a limit that the other nodes should know.
    pub fn add_change(&self, process: ProcessTag, evidence: Evidence) {
        let change = Change {
            evidence,
            repeats: CHANGE_REPEATS,
        };
        self.changes.borrow_mut().insert(process, change);
    }

    /// Returns the changes that are to be sent to the other nodes now.
    pub fn take_changes(&self) -> Vec<(ProcessTag, Evidence)> {
        let mut changes = self.changes.borrow_mut();
        let due = changes
            .iter()
            .map(|(process, change)| (*process, change.evidence));
        let due = due.collect();
        changes.retain(|_, change| {
            change.repeats -= 1;
            change.repeats > 0
        });
        due
    }

    /// Forgets targets for which no permits were requested for long.
    pub fn expire(&self, now: Instant) {
        self.issued.borrow_mut().expire(now);
        self.own_share.borrow_mut().expire(now);
    }
}
