//! Leader election of a service through a lease row in the platform's table.
//!
//! A leader sends heartbeats to all nodes. When they stop, the other nodes try to take the lease in
//! the order of their ranks, by a write that is conditional on the row they read. The row does not
//! expire: its holder leads until another node replaces it.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::iter;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::BootId;
use crate::ids::Fence;
use crate::ids::ServiceId;
use crate::ids::VmId;
use crate::node::keys::leader::LEASE_VALIDITY;
use crate::node::keys::map::MapVersion;
use crate::platform::Generation;

/// A leader without a heartbeat for this long counts as lost; heartbeats are sent every 150 ms.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(650);
/// The same timeout for a node that has just started: a leader sends a heartbeat at least every
/// 300 ms, and the lease row is read before it is taken.
const INITIAL_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(350);
/// Additional delay per rank, so that one attempt ends before the next begins.
const DELAY_PER_RANK: Duration = Duration::from_millis(250);
/// Higher ranks wait no longer than this one; if they compete, the conditional write decides.
const MAX_DELAYED_RANK: u32 = 6;
/// Delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The leader lease of a service, as stored in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Increases with every change of leader.
    pub term: u64,
    /// The node that leads.
    pub node: VmId,
    /// The process of the node that leads; a restarted node does not keep the lease.
    pub boot: BootId,
    /// Previous leaders that may still send orders.
    #[serde(rename = "doubted")]
    pub maybe_active: Vec<PreviousLeader>,
    /// Set once its holder has stopped and left its state to the next leader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub handover: Option<Handover>,
}

/// The state that a suspended leader leaves to the next one, beside the map that it stores in the
/// same transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The number of the map and the term in which the orders were sent.
    pub map: MapVersion,
    /// No order of the term had a higher fence.
    pub fence: Fence,
    /// The number of the last announcement of the term.
    pub announcement: u64,
    /// The number of the last order of the term: a process that continues the term later on still
    /// receives outcomes of orders that it sent before.
    pub order: u64,
    /// The terms of all leases under which the leader continued in its term.
    pub terms: BTreeSet<u64>,
    /// The nodes that have not reported that they do not lead, with the processes that may lead;
    /// `None` if they are too many for the row.
    pub unreported: Option<Vec<(VmId, Option<BootId>)>>,
    /// Whether a process that may have led has ended without a report.
    pub has_restarted: bool,
    /// Whether the leaders before this one are known to have ended.
    pub previous_ended: bool,
    /// How much longer orders could have been sent in the term, in milliseconds.
    #[serde(default)]
    pub valid_ms: u64,
}

/// Number of terms reserved for each generation of the table's data, so that a term that was lost in
/// a restore is not given out again.
const TERMS_PER_GENERATION: u64 = 1 << 16;

/// Returns the generation of the table's data in which a term began.
pub fn generation_of(term: u64) -> Generation {
    Generation(term / TERMS_PER_GENERATION)
}

impl Lease {
    /// Returns the generation of the table's data in which the lease was written.
    pub fn generation(&self) -> Generation {
        generation_of(self.term)
    }

    /// Returns the lease that is assumed if the row is missing although it was written before.
    pub fn lost() -> Self {
        Self {
            term: 0,
            node: VmId::from(""),
            boot: BootId(0),
            maybe_active: Vec::new(),
            handover: None,
        }
    }

    /// Returns the state that the holder left to a leader that replaces it, unless the table was
    /// restored since: others may have continued from it.
    pub fn handover_in(&self, generation: Generation) -> Option<&Handover> {
        let is_current = self.generation() == generation;
        self.handover.as_ref().filter(|_| is_current)
    }

    /// Returns the term that stands for all leaders of earlier generations, if they may be active.
    pub fn lost_term(&self) -> Option<u64> {
        let lost = last_term_before(self.generation());
        let mut terms = self.maybe_active.iter().map(|previous| previous.term);
        terms.find(|term| *term == lost)
    }
}

/// Returns the highest term before a generation.
fn last_term_before(generation: Generation) -> u64 {
    (generation.0 * TERMS_PER_GENERATION).saturating_sub(1)
}

/// A previous leader of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousLeader {
    /// The term that it led.
    pub term: u64,
    /// The node that it ran on.
    pub node: VmId,
    /// The process that led.
    pub boot: BootId,
}

/// Maximum number of previous leaders in a lease; if there are more, the lease of the oldest is no
/// longer valid.
const MAX_PREVIOUS_LEADERS: usize = 8;

/// A node's knowledge of a service's leader.
#[derive(Debug)]
pub struct Election {
    service: ServiceId,
    term: u64,
    leader: Option<(VmId, BootId)>,
    last_heartbeat: Instant,
    /// The process whose heartbeats as a leader arrived last, and when the last one did.
    heard: Option<(BootId, Instant)>,
    next_attempt: Instant,
    /// Terms whose leaders are known to send no more orders.
    ended: BTreeSet<u64>,
}

impl Election {
    /// Creates an election without a known leader.
    pub fn new(service: ServiceId, now: Instant) -> Self {
        Self {
            service,
            term: 0,
            leader: None,
            last_heartbeat: now
                .checked_sub(HEARTBEAT_TIMEOUT - INITIAL_HEARTBEAT_TIMEOUT)
                .unwrap_or(now),
            heard: None,
            next_attempt: now,
            ended: BTreeSet::new(),
        }
    }

    /// Returns the newest known term; 0 if no leader is known.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the node and the process that lead the newest known term.
    pub fn leader(&self) -> Option<&(VmId, BootId)> {
        self.leader.as_ref()
    }

    /// Records a leader's heartbeat; returns false if its term is outdated.
    ///
    /// After a restore of the table, the process that holds the newest lease leads in its previous term
    /// for a while, and must not be replaced meanwhile.
    pub fn record_leader(&mut self, term: u64, node: &VmId, boot: BootId, now: Instant) -> bool {
        self.heard = Some((boot, now));
        if term < self.term {
            let is_newest = |(name, leading): &(VmId, BootId)| name == node && *leading == boot;
            if self.leader.as_ref().is_some_and(is_newest) && !self.ended.contains(&self.term) {
                self.last_heartbeat = now;
            }
            return false;
        }
        self.term = term;
        self.leader = Some((node.clone(), boot));
        self.last_heartbeat = now;
        true
    }

    /// Returns when the last heartbeat arrived from a process that leads, if no other one has led since.
    pub fn last_heard(&self, boot: BootId) -> Option<Instant> {
        let (heard, at) = self.heard?;
        (heard == boot).then_some(at)
    }

    /// Records the lease row as read from the table.
    pub fn record_lease(&mut self, lease: &Lease, now: Instant) {
        if lease.term > self.term {
            self.term = lease.term;
            self.leader = Some((lease.node.clone(), lease.boot));
            self.last_heartbeat = now;
        }
    }

    /// Records that the leader of a term sends no more orders.
    pub fn record_end(&mut self, term: u64, now: Instant) {
        // The end of a term is reported repeatedly. Only the first report sets the time, or the
        // additional delay of higher ranks would never pass.
        if self.ended.insert(term) && term >= self.term {
            self.last_heartbeat = now.checked_sub(HEARTBEAT_TIMEOUT).unwrap_or(now);
        }
    }

    /// Records that the previous leaders of a lease that this node has held since `held_since` have
    /// ended, once their own leases can no longer be valid: none was confirmed after this one was
    /// written. Otherwise a leader that was removed would be named in every later lease.
    pub fn record_expiry(&mut self, lease: &Lease, held_since: Instant, now: Instant) {
        if now.saturating_duration_since(held_since) >= LEASE_VALIDITY {
            for previous in &lease.maybe_active {
                self.record_end(previous.term, now);
            }
        }
    }

    /// Records that a process on `node` is running and knows of `term`.
    ///
    /// The processes of a node run one after another. A process that knows of the term that another
    /// one leads was started after it, so that leader has ended. The heartbeat of a process that
    /// does not know of the term may have been delayed.
    pub fn record_process(&mut self, node: &VmId, boot: BootId, term: u64, now: Instant) {
        let is_other_process = |(name, leading): &(VmId, BootId)| name == node && *leading != boot;
        let is_later = term >= self.term && self.leader.as_ref().is_some_and(is_other_process);
        if is_later && !self.ended.contains(&self.term) {
            self.record_end(self.term, now);
        }
    }

    /// Returns the lease that a missing row stands for: none if no node can have led before, which is
    /// so only at the first start of all nodes, while the table has not been restored since.
    pub fn missing_lease(&self, first_start: bool, restored: bool) -> Option<Lease> {
        let is_first = first_start && !restored && self.term == 0;
        (!is_first).then(Lease::lost)
    }

    /// Returns the lease with which a new leader replaces `held`, in a table of this generation.
    ///
    /// If `held` was written in an earlier generation, later leases may be lost. Their leaders are
    /// unknown, and one entry stands for all of them.
    pub fn next_lease(
        &self,
        held: Option<&Lease>,
        generation: Generation,
        node: &VmId,
        boot: BootId,
    ) -> Lease {
        let is_restored = held.is_some_and(|held| held.generation() < generation);
        let mut maybe_active: Vec<PreviousLeader> = match held {
            Some(_) if is_restored => {
                let lost = PreviousLeader {
                    term: last_term_before(generation),
                    node: VmId::from(""),
                    boot: BootId(0),
                };
                iter::once(lost).chain(self.known_in(generation)).collect()
            }
            Some(held) => {
                let current = PreviousLeader {
                    term: held.term,
                    node: held.node.clone(),
                    boot: held.boot,
                };
                let current = held.handover.is_none().then_some(current);
                held.maybe_active.iter().cloned().chain(current).collect()
            }
            None => Vec::new(),
        };
        // That the leaders of earlier generations have ended does not make the stored map current.
        let lost = last_term_before(generation);
        let is_lost = |previous: &PreviousLeader| previous.term == lost;
        maybe_active.retain(|it| is_lost(it) || !self.has_ended(it, node));
        let surplus = maybe_active.len().saturating_sub(MAX_PREVIOUS_LEADERS);
        // The entry for lost leaders has the lowest term and comes first.
        let oldest = usize::from(maybe_active.first().is_some_and(is_lost));
        maybe_active.drain(oldest..oldest + surplus);
        let newest = held.map_or(0, |held| held.term).max(self.term);
        Lease {
            term: newest.max(generation.0 * TERMS_PER_GENERATION) + 1,
            node: node.clone(),
            boot,
            maybe_active,
            handover: None,
        }
    }

    /// Returns the newest known leader if its term began in this generation: a write of an earlier
    /// one that took effect late may have replaced its lease.
    fn known_in(&self, generation: Generation) -> Option<PreviousLeader> {
        let (node, boot) = self.leader.clone()?;
        let known = PreviousLeader {
            term: self.term,
            node,
            boot,
        };
        (generation_of(self.term) == generation).then_some(known)
    }

    /// Returns true if the holder of a lease is known to send no more orders, so that the lease can be
    /// replaced at once.
    pub fn is_vacated(&self, lease: &Lease) -> bool {
        lease.handover.is_some() || self.ended.contains(&lease.term)
    }

    /// Returns true if a previous leader is known to send no more orders; `node` is this node. A
    /// previous leader on this node was an earlier process, which has ended.
    pub fn has_ended(&self, previous: &PreviousLeader, node: &VmId) -> bool {
        previous.node == *node || self.ended.contains(&previous.term)
    }

    /// Returns true if this node, having this rank, should try to take the lease now.
    pub fn should_campaign(&self, rank: u32, now: Instant) -> bool {
        let timeout = HEARTBEAT_TIMEOUT + DELAY_PER_RANK * rank.min(MAX_DELAYED_RANK);
        now >= self.next_attempt && now.saturating_duration_since(self.last_heartbeat) >= timeout
    }

    /// Delays the next attempt, after one that failed or lost against another node's.
    pub fn postpone(&mut self, now: Instant) {
        self.next_attempt = now + RETRY_DELAY;
    }

    /// Returns the rank of a node among the live ones: the number of nodes that campaign before it.
    /// Nodes with more CPU capacity come first, since a leader does the work for all nodes.
    pub fn rank<'a>(
        &self,
        own: (&VmId, CpuCapacity),
        live: impl Iterator<Item = (&'a VmId, CpuCapacity)>,
    ) -> u32 {
        let order = |(node, cpu): (&VmId, CpuCapacity)| {
            let hash = xxh3_64(format!("{}/{node}", self.service).as_bytes());
            (Reverse(cpu), hash)
        };
        let own_order = order(own);
        live.filter(|other| other.0 != own.0 && order(*other) < own_order)
            .count() as u32
    }
}

/// The CPU capacity of a node, in hundredths of a core.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CpuCapacity(pub u16);
