//! Who leads a service: the holder of its lease row in the platform's table.
//!
//! A leader tells all nodes that it lives. When it falls silent, the others try to take the lease
//! in the order of their ranks, by a write that is conditional on the row they read. The row has
//! no end: whoever holds it leads until another takes it.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::BootId;
use crate::ids::ServiceId;
use crate::ids::VmId;

/// A leader that is silent for this long is taken for lost; it tells of itself every 150 ms.
const SILENCE: Duration = Duration::from_millis(650);
/// The same for a node that has just started: a leader tells of itself every 300 ms at least, and
/// the lease row is looked at before it is taken.
const FIRST_SILENCE: Duration = Duration::from_millis(350);
/// How much longer each further rank waits, so that one try ends before the next begins.
const RANK_STEP: Duration = Duration::from_millis(250);
/// Ranks beyond this wait no longer: by then the table decides.
const MOST_RANKS: u32 = 6;
/// Pause after a try that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The lease of a service, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Rises with every change of leader.
    pub term: u64,
    /// The leader's node.
    pub node: VmId,
    /// The leader's process.
    pub boot: BootId,
    /// Earlier leaders that were not known to have given their last order.
    #[serde(rename = "doubted")]
    pub maybe_active: Vec<PreviousLeader>,
}

/// An earlier leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousLeader {
    /// Its term.
    pub term: u64,
    /// Its node.
    pub node: VmId,
    /// Its process.
    pub boot: BootId,
}

/// Most earlier leaders that a lease names; more than these at once means that the oldest have
/// long lost their right.
const MOST_DOUBTED: usize = 8;

/// What a node knows of a service's leader.
#[derive(Debug)]
pub struct Election {
    service: ServiceId,
    term: u64,
    leader: Option<(VmId, BootId)>,
    heard: Instant,
    retry: Instant,
    /// Terms whose leaders are known to have given their last order.
    ended: BTreeSet<u64>,
}

impl Election {
    /// Starts without a leader.
    pub fn new(service: ServiceId, now: Instant) -> Self {
        Self {
            service,
            term: 0,
            leader: None,
            heard: now.checked_sub(SILENCE - FIRST_SILENCE).unwrap_or(now),
            retry: now,
            ended: BTreeSet::new(),
        }
    }

    /// Returns the newest term known.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the leader of the newest term.
    pub fn leader(&self) -> Option<&(VmId, BootId)> {
        self.leader.as_ref()
    }

    /// Records that a node says that it leads; returns whether it is believed.
    pub fn record_leader(&mut self, term: u64, node: &VmId, boot: BootId, now: Instant) -> bool {
        if term < self.term {
            return false;
        }
        self.term = term;
        self.leader = Some((node.clone(), boot));
        self.heard = now;
        true
    }

    /// Records what the lease row holds.
    pub fn record_lease(&mut self, lease: &Lease, now: Instant) {
        if lease.term > self.term {
            self.term = lease.term;
            self.leader = Some((lease.node.clone(), lease.boot));
            self.heard = now;
        }
    }

    /// Records that the leader of a term gives no more orders.
    pub fn record_end(&mut self, term: u64, now: Instant) {
        // It is told again and again; only the first time counts, or nobody's patience would end.
        if self.ended.insert(term) && term >= self.term {
            self.heard = now.checked_sub(SILENCE).unwrap_or(now);
        }
    }

    /// Records that a process that knows of a term runs on a node.
    ///
    /// Processes of one node follow each other. One that knows of the term of another came after
    /// it, so the other has ended; one that does not may have been heard late.
    pub fn record_process(&mut self, node: &VmId, boot: BootId, term: u64, now: Instant) {
        let other = |(name, held): &(VmId, BootId)| name == node && *held != boot;
        let is_later = term >= self.term && self.leader.as_ref().is_some_and(other);
        if is_later && !self.ended.contains(&self.term) {
            self.record_end(self.term, now);
        }
    }

    /// Returns the lease that follows one, for a new leader.
    pub fn next_lease(&self, held: Option<&Lease>, node: &VmId, boot: BootId) -> Lease {
        let mut maybe_active: Vec<PreviousLeader> = held
            .map(|held| held.maybe_active.clone())
            .unwrap_or_default();
        maybe_active.extend(held.map(|held| PreviousLeader {
            term: held.term,
            node: held.node.clone(),
            boot: held.boot,
        }));
        maybe_active.retain(|former| !self.has_ended(former, node));
        let surplus = maybe_active.len().saturating_sub(MOST_DOUBTED);
        maybe_active.drain(..surplus);
        Lease {
            term: held.map_or(0, |held| held.term).max(self.term) + 1,
            node: node.clone(),
            boot,
            maybe_active,
        }
    }

    /// Returns whether an earlier leader is known to give no more orders; `node` is this one's
    /// name, on which it ran earlier.
    pub fn has_ended(&self, former: &PreviousLeader, node: &VmId) -> bool {
        former.node == *node || self.ended.contains(&former.term)
    }

    /// Returns whether this node should try to take the lease, as the one of this rank.
    pub fn should_campaign(&self, rank: u32, now: Instant) -> bool {
        let patience = SILENCE + RANK_STEP * rank.min(MOST_RANKS);
        now >= self.retry && now.saturating_duration_since(self.heard) >= patience
    }

    /// Records that a try failed or was overtaken.
    pub fn postpone(&mut self, now: Instant) {
        self.retry = now + RETRY_PAUSE;
    }

    /// Returns the rank of a node among the live ones: the number of those that come before it.
    /// The strongest come first, since a leader works for all.
    pub fn rank<'a>(
        &self,
        own: (&VmId, CpuCapacity),
        live: impl Iterator<Item = (&'a VmId, CpuCapacity)>,
    ) -> u32 {
        let place = |(node, strength): (&VmId, CpuCapacity)| {
            let hash = xxh3_64(format!("{}/{node}", self.service).as_bytes());
            (Reverse(strength), hash)
        };
        let mine = place(own);
        live.filter(|other| other.0 != own.0 && place(*other) < mine)
            .count() as u32
    }
}

/// The processing power of a node, in hundredths of a core.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct CpuCapacity(pub u16);
