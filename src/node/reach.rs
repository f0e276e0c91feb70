//! Which targets this node reaches, and which ones other nodes reach.
//!
//! A node may lose its links to some targets, or to all, while callers, the table and the other nodes
//! still reach it, and other nodes those targets. It must not take that for the loss of the targets.
//! Requests and orders raise doubt; connections that are opened to the targets decide. A target is
//! reached until there is evidence against it, and again after a check, a response or some time. A
//! node that reaches none of the targets that it checks is stranded.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use strum::IntoStaticStr;
use tokio::sync::Notify;

use crate::ids::TargetId;
use crate::ids::VmId;
use crate::node::limit::ProcessTag;

/// How long targets may owe a response, with none from any target, before connections are checked.
const SILENCE: Duration = Duration::from_millis(500);
/// How long one target may owe a response, with none from it, before its open connections are in
/// doubt.
const LINK_SILENCE: Duration = Duration::from_millis(300);
/// The same before its link is checked, as a multiple of its usual response time, and at most; each
/// check opens a connection.
const SILENT_RESPONSES: u32 = 3;
const MAX_LINK_SILENCE: Duration = Duration::from_millis(1_000);
/// Number of targets that could not be connected to, with no new connection to any, after which
/// connections are checked.
const UNREACHABLE_TARGETS: usize = 2;
/// Minimum time between two checks.
const CHECK_PERIOD: Duration = Duration::from_millis(300);
/// Maximum time between two checks of an unreachable target, approached as the belief gets older.
const MAX_CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Age of a belief, as a multiple of the time between two checks of its target.
const CHECKS_PER_AGE: u32 = 4;
/// Connections that fail in succession while the target responds on others, after which the target is
/// believed to be unreachable: one failure may be a lost packet.
const FAILED_CONNECTIONS: u32 = 2;
/// How long a belief lasts without new evidence.
pub const BELIEF_AGE: Duration = Duration::from_secs(5);
/// How long after a response an open connection is expected to carry requests.
const CARRYING_TIME: Duration = Duration::from_millis(500);
/// Sends of each change to the other nodes, since datagrams get lost.
const CHANGE_SENDS: u8 = 2;

/// Why a target is believed to be unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Evidence {
    /// A connection was refused.
    Refused,
    /// A connection could not be opened in time.
    Hung,
    /// Requests on open connections were not answered, and no connection could be opened.
    Silent,
}

/// Why a target is no longer believed to be unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum BeliefEnd {
    /// A connection to it was opened.
    Connected,
    /// It answered on an open connection that had been silent.
    Answered,
    /// There was no evidence for some time.
    Expired,
}

/// The belief that this node does not reach a target's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Belief {
    /// The first evidence.
    pub evidence: Evidence,
    /// When it was gained.
    pub since: Instant,
    /// When the last evidence was observed.
    pub renewed: Instant,
}

/// A change of what this node believes of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeliefChange {
    /// The target is believed to be unreachable from now on.
    Gained(Belief),
    /// The target is no longer believed to be unreachable.
    Ended(Belief, BeliefEnd),
}

/// What a node knows of its link to one process of a target; it is forgotten with the process.
#[derive(Debug, Default)]
pub struct Link {
    belief: Cell<Option<Belief>>,
    /// When the first request or order was sent that no response has followed.
    silent_since: Cell<Option<Instant>>,
    /// When a response was last received or a connection last opened.
    last_contact: Cell<Option<Instant>>,
    /// Connections that failed since one was last opened.
    failures: Cell<u32>,
    last_check: Cell<Option<Instant>>,
}

impl Link {
    /// Returns the belief that the target is unreachable, if it is held.
    pub fn belief(&self, now: Instant) -> Option<Belief> {
        let is_valid = |belief: &Belief| elapsed(belief.renewed, now) < BELIEF_AGE;
        self.belief.get().filter(is_valid)
    }

    /// Returns true if the target is believed to be unreachable.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.belief(now).is_some()
    }

    /// Returns true if the target has just responded and owes no response for long, so that connections
    /// that are open carry requests even if no other can be opened.
    pub fn is_carrying(&self, now: Instant) -> bool {
        let contact = self.last_contact.get();
        contact.is_some_and(|at| elapsed(at, now) < CARRYING_TIME) && !self.is_silent(now)
    }

    /// Returns true if requests that were sent have arrived, as far as this node knows.
    pub fn takes_requests(&self, now: Instant) -> bool {
        !self.is_unreachable(now) || self.is_carrying(now)
    }

    /// Records that a request or an order was sent.
    pub fn record_sent(&self, now: Instant) {
        if self.silent_since.get().is_none() {
            self.silent_since.set(Some(now));
        }
    }

    /// Records that the target responded on an open connection. That does not show that connections
    /// can be opened.
    pub fn record_response(&self, now: Instant) -> Option<BeliefChange> {
        self.silent_since.set(None);
        self.last_contact.set(Some(now));
        let is_refuted = |belief: &Belief| belief.evidence == Evidence::Silent;
        let belief = self.belief.get().filter(is_refuted)?;
        self.belief.set(None);
        Some(BeliefChange::Ended(belief, BeliefEnd::Answered))
    }

    /// Records that a connection was opened.
    pub fn record_connected(&self, now: Instant) -> Option<BeliefChange> {
        self.silent_since.set(None);
        self.last_contact.set(Some(now));
        self.failures.set(0);
        let belief = self.belief.take()?;
        Some(BeliefChange::Ended(belief, BeliefEnd::Connected))
    }

    /// Records that no connection could be opened in an attempt that began at `begun`; `refused` is
    /// true if it was refused, and false if it hung.
    pub fn record_failure(
        &self,
        refused: bool,
        begun: Instant,
        now: Instant,
    ) -> Option<BeliefChange> {
        let failures = self.failures.get().saturating_add(1);
        self.failures.set(failures);
        if let Some(belief) = self.belief(now) {
            self.belief.set(Some(Belief {
                renewed: now,
                ..belief
            }));
            return None;
        }
        let had_contact = self.last_contact.get().is_some_and(|at| at >= begun);
        if !refused && had_contact && failures < FAILED_CONNECTIONS {
            return None;
        }
        let belief = Belief {
            evidence: match refused {
                _ if self.is_silent(now) => Evidence::Silent,
                true => Evidence::Refused,
                false => Evidence::Hung,
            },
            since: now,
            renewed: now,
        };
        self.belief.set(Some(belief));
        Some(BeliefChange::Gained(belief))
    }

    /// Ends a belief for which there was no evidence for some time.
    pub fn expire(&self, now: Instant) -> Option<BeliefChange> {
        let belief = self.belief.get()?;
        if self.is_unreachable(now) {
            return None;
        }
        self.belief.set(None);
        Some(BeliefChange::Ended(belief, BeliefEnd::Expired))
    }

    /// Returns true if a connection should be opened now, to decide whether the target is reached.
    /// `usual` is the target's usual response time, if it is known.
    pub fn is_check_due(&self, usual: Option<Duration>, now: Instant) -> bool {
        let (is_doubted, period) = match self.belief(now) {
            Some(belief) => {
                let period = elapsed(belief.since, now) / CHECKS_PER_AGE;
                (true, period.clamp(CHECK_PERIOD, MAX_CHECK_PERIOD))
            }
            None => {
                let patience = usual.map_or(LINK_SILENCE, |usual| usual * SILENT_RESPONSES);
                let patience = patience.clamp(LINK_SILENCE, MAX_LINK_SILENCE);
                let is_doubted = self.is_silent_for(patience, now) || self.failures.get() > 0;
                (is_doubted, CHECK_PERIOD)
            }
        };
        let last = self.last_check.get();
        is_doubted && last.is_none_or(|at| elapsed(at, now) >= period)
    }

    /// Returns when the last check began.
    pub fn last_check(&self) -> Option<Instant> {
        self.last_check.get()
    }

    /// Records that a check begins.
    pub fn begin_check(&self, now: Instant) {
        self.last_check.set(Some(now));
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.is_silent_for(LINK_SILENCE, now)
    }

    fn is_silent_for(&self, time: Duration, now: Instant) -> bool {
        let since = self.silent_since.get();
        since.is_some_and(|at| elapsed(at, now) >= time)
    }
}

/// A change that has not been sent to the other nodes as often as it should be.
#[derive(Clone, Copy, Debug)]
struct UnsentChange {
    is_unreachable: bool,
    sends_left: u8,
}

/// What a node knows of its links to all targets, and what the other nodes have reported of theirs.
#[derive(Debug, Default)]
pub struct Reach {
    /// When the first request was sent that no response has followed, from any target.
    unanswered_since: Cell<Option<Instant>>,
    /// Targets that could not be connected to since a connection to any target was last opened.
    unreachable: RefCell<BTreeSet<TargetId>>,
    last_check: Cell<Option<Instant>>,
    stranded: Cell<bool>,
    /// Number of targets that are believed to be unreachable, as last counted, or more.
    believed: Cell<usize>,
    unsent: RefCell<BTreeMap<ProcessTag, UnsentChange>>,
    /// Until when the reports of other nodes hold that they do not reach a process.
    reports: RefCell<BTreeMap<VmId, BTreeMap<ProcessTag, Instant>>>,
    /// Notified when the node begins or ceases to be stranded, or to believe that it does not reach a
    /// target.
    pub changed: Notify,
}

impl Reach {
    /// Returns true if the last check reached no target.
    pub fn is_stranded(&self) -> bool {
        self.stranded.get()
    }

    /// Returns false if this node reaches all targets, as far as it knows.
    pub fn any_unreachable(&self) -> bool {
        self.believed.get() > 0
    }

    /// Sets the number of targets that are believed to be unreachable.
    pub fn set_believed(&self, count: usize) {
        self.believed.set(count);
    }

    /// Records that a request or an order was sent to a target.
    pub fn record_sent(&self, now: Instant) {
        if self.unanswered_since.get().is_none() {
            self.unanswered_since.set(Some(now));
        }
    }

    /// Records that a target responded.
    pub fn record_response(&self) {
        self.unanswered_since.set(None);
    }

    /// Records that a connection to a target was opened.
    pub fn record_connected(&self) {
        self.unanswered_since.set(None);
        self.unreachable.borrow_mut().clear();
    }

    /// Records that no connection to a target could be opened.
    pub fn record_unreachable(&self, target: &TargetId) {
        self.unreachable.borrow_mut().insert(target.clone());
    }

    /// Records a change of what this node believes of a process, to be sent to the other nodes.
    pub fn record_change(&self, process: ProcessTag, change: BeliefChange) {
        let is_unreachable = matches!(change, BeliefChange::Gained(_));
        if is_unreachable {
            self.believed.set(self.believed.get() + 1);
        }
        let unsent = UnsentChange {
            is_unreachable,
            sends_left: CHANGE_SENDS,
        };
        self.unsent.borrow_mut().insert(process, unsent);
        self.changed.notify_waiters();
    }

    /// Returns true if there are changes that have not been sent to the other nodes at all.
    pub fn has_unsent(&self) -> bool {
        let unsent = self.unsent.borrow();
        unsent
            .values()
            .any(|change| change.sends_left == CHANGE_SENDS)
    }

    /// Returns the changes to send to the other nodes now: the processes with true if they are
    /// unreachable. Each one is returned twice.
    pub fn take_unsent(&self) -> Vec<(ProcessTag, bool)> {
        let mut unsent = self.unsent.borrow_mut();
        let changes = unsent
            .iter()
            .map(|(process, change)| (*process, change.is_unreachable));
        let changes = changes.collect();
        unsent.retain(|_, change| {
            change.sends_left -= 1;
            change.sends_left > 0
        });
        changes
    }

    /// Records the report of another node that it does not reach a process, which holds until `until`.
    pub fn record_report(&self, node: &VmId, process: ProcessTag, until: Instant) {
        let mut reports = self.reports.borrow_mut();
        let of_node = reports.entry(node.clone()).or_default();
        of_node.insert(process, until);
    }

    /// Records the report of another node that it reaches a process.
    pub fn withdraw_report(&self, node: &VmId, process: ProcessTag) {
        if let Some(of_node) = self.reports.borrow_mut().get_mut(node) {
            of_node.remove(&process);
        }
    }

    /// Forgets the reports of a node whose process has ended.
    pub fn forget_node(&self, node: &VmId) {
        self.reports.borrow_mut().remove(node);
    }

    /// Returns true if a node has reported that it does not reach a process, and the report holds.
    pub fn is_reported(&self, node: &VmId, process: ProcessTag, now: Instant) -> bool {
        let reports = self.reports.borrow();
        let until = reports.get(node).and_then(|of_node| of_node.get(&process));
        until.is_some_and(|until| now < *until)
    }

    /// Removes the reports that no longer hold.
    pub fn expire_reports(&self, now: Instant) {
        self.reports.borrow_mut().retain(|_, of_node| {
            of_node.retain(|_, until| now < *until);
            !of_node.is_empty()
        });
    }

    /// Returns true if connections to targets should be checked now.
    pub fn is_check_due(&self, now: Instant) -> bool {
        if self
            .last_check
            .get()
            .is_some_and(|at| elapsed(at, now) < CHECK_PERIOD)
        {
            return false;
        }
        let is_silent = self
            .unanswered_since
            .get()
            .is_some_and(|at| elapsed(at, now) >= SILENCE);
        let is_refused = self.unreachable.borrow().len() >= UNREACHABLE_TARGETS;
        self.is_stranded() || is_silent || is_refused
    }

    /// Records the end of a check: whether a connection to any target was opened. Returns true if the
    /// node begins or ceases to be stranded.
    pub fn record_check(&self, reached: bool, now: Instant) -> bool {
        self.last_check.set(Some(now));
        if reached {
            self.record_connected();
        }
        let changes = self.stranded.replace(!reached) == reached;
        if changes {
            self.changed.notify_waiters();
        }
        changes
    }
}

fn elapsed(since: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(since)
}
