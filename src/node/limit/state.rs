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

use crate::ids::VmId;
use crate::node::counters::Counter;
use crate::node::fleet::Target;
use crate::node::limit::Evidence;
use crate::node::limit::Permits;
use crate::node::limit::ProcessTag;
use crate::node::limit::Verdict;
use crate::node::limit::issue_rate;
use crate::node::state::State;

/// How long a request for a permit may take; nodes usually answer within milliseconds.
pub const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);
/// How often a change of a limit is sent, since datagrams get lost.
const CHANGE_REPEATS: u32 = 2;

/// A request for a permit that has not been passed on yet.
#[derive(Clone, Copy, Debug)]
pub struct QueuedRequest {
    /// Identifies the request within this node.
    pub number: u64,
    /// The process that a request is to be sent to.
    pub process: ProcessTag,
    /// What this node knows of its limit.
    pub evidence: Evidence,
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

/// Returns true if a request may be sent to the target now. Otherwise the target is withheld from
/// this node's requests until a permit is expected.
pub async fn obtain_permit(state: &State, target: &Target) -> bool {
    let Some(evidence) = target.limit.evidence().filter(|e| e.rate.is_some()) else {
        return true;
    };
    if target.is_withheld(Instant::now()) {
        return false;
    }
    let process = target.process_tag();
    let (number, answer) = state.limits.request_permit(process, evidence);
    let _guard = WaitGuard {
        limits: &state.limits,
        number,
    };
    let verdict = match timeout(PERMIT_TIMEOUT, answer).await {
        Ok(Ok(verdict)) => verdict,
        Ok(Err(_)) | Err(_) => {
            state.counters.add(Counter::PermitTimeouts);
            state
                .limits
                .take_own_share(process, evidence, state.nodes.get())
        }
    };
    match verdict {
        Verdict::Granted => true,
        Verdict::Denied(wait) => {
            state.counters.add(Counter::PermitsDenied);
            target.withhold(Instant::now() + wait);
            false
        }
    }
}

impl LimitState {
    fn request_permit(
        &self,
        process: ProcessTag,
        evidence: Evidence,
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

    /// Issues a permit for any node.
    pub fn issue(&self, process: ProcessTag, evidence: Evidence, now: Instant) -> Verdict {
        match evidence.rate {
            Some(limit) => {
                let mut issued = self.issued.borrow_mut();
                issued.take(process, issue_rate(limit), now)
            }
            None => Verdict::Granted,
        }
    }

    /// Issues a permit from the share of this node, which is one of `nodes`.
    pub fn take_own_share(&self, process: ProcessTag, evidence: Evidence, nodes: usize) -> Verdict {
        match evidence.rate {
            Some(limit) => {
                let share = issue_rate(limit) / nodes.max(1) as f64;
                let mut own_share = self.own_share.borrow_mut();
                own_share.take(process, share, Instant::now())
            }
            None => Verdict::Granted,
        }
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
