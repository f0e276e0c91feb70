//! A node's leadership of a service and the lease that it is based on, also across restores of the
//! table's data.
//!
//! A restore may lose the lease and the newest key map. The leader then writes its lease again, with a
//! new term. Until it knows that no other node has led meanwhile, it continues in its previous term:
//! it renews grants and completes moves, with fences lower than those of any later leader. So the
//! term of the lease is higher than the leader's term while the leader is suspended, and equal to it
//! otherwise.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::ids::BootId;
use crate::ids::VmId;
use crate::node::keys::election::Election;
use crate::node::keys::election::Handover;
use crate::node::keys::election::Lease;
use crate::node::keys::election::generation_of;
use crate::node::keys::leader::Inherited;
use crate::node::keys::leader::LEASE_VALIDITY;
use crate::node::keys::leader::Leader;
use crate::node::keys::map::KeyMap;
use crate::node::keys::recovery::HEARTBEAT_DELAY;
use crate::node::keys::recovery::Recovery;
use crate::platform::Generation;

/// The nodes known to a leader, with the processes that it has received heartbeats from.
pub type KnownNodes = Vec<(VmId, Option<BootId>)>;

/// Maximum number of nodes in a handover, which must fit into the lease's row.
const MAX_HANDED_NODES: usize = 256;

/// The leadership of a service while this node holds its lease.
#[derive(Debug)]
pub struct Tenure {
    /// Decides on grants and moves.
    pub leader: Leader,
    lease: Lease,
    /// The terms of this lease and of those that it replaced after restores.
    own_terms: BTreeSet<u64>,
    revision: u64,
    /// The nodes and processes known when the lease was last confirmed.
    known: KnownNodes,
    /// When the last call began by whose answer the table confirmed the lease.
    confirmed_at: Instant,
    /// When the lease was known to be written.
    held_since: Instant,
    /// Set until no unknown leader remains, after a restore of the table's data.
    recovery: Option<Recovery>,
    /// The generation in which the leader was last suspended.
    suspended_at: Option<Generation>,
}

/// Returns what a leader with this lease takes over from the stored map, and records the end of the
/// leaders of earlier generations if the map shows it.
///
/// `handover` is what the lease that was replaced contains for its successor.
pub fn inherit<'a>(
    lease: &Lease,
    map: Option<&'a KeyMap>,
    handover: Option<&'a Handover>,
    election: &mut Election,
    now: Instant,
) -> Inherited<'a> {
    let is_current = |map: &KeyMap| generation_of(map.version.term) == lease.generation();
    if let (Some(map), Some(handover)) = (map, handover)
        && map.version == handover.map
        && map.is_whole()
    {
        return Inherited::HandedOver(map, handover);
    }
    match (map, lease.lost_term()) {
        (Some(map), Some(lost)) if is_current(map) => {
            // A leader stores its map only after it has excluded the leaders of earlier generations.
            election.record_end(lost, now);
            Inherited::Map(map)
        }
        (map, Some(_)) => Inherited::Outdated(map),
        (Some(map), None) => Inherited::Map(map),
        (None, None) => Inherited::Nothing,
    }
}

/// What the lease row means for the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseCheck {
    /// The leader holds the lease.
    Held,
    /// The table was restored, and the leader must write its lease again.
    Restored,
    /// Another node leads or may have led, so that this one must stop.
    Lost,
}

impl Tenure {
    /// Starts to lead with a lease that was written to the row's `revision`.
    pub fn new(
        leader: Leader,
        lease: Lease,
        revision: u64,
        nodes: KnownNodes,
        now: Instant,
    ) -> Self {
        let unreported = nodes.iter().map(|(node, _)| (node.clone(), None));
        let recovery = lease.lost_term().map(|_| Recovery::new(unreported, now));
        Self {
            leader,
            own_terms: BTreeSet::from([lease.term]),
            lease,
            revision,
            known: nodes,
            confirmed_at: now,
            held_since: now,
            recovery,
            suspended_at: None,
        }
    }

    /// Continues as the leader that left this state, on another node; this one runs on `node`. `heard`
    /// is when the last heartbeat of that leader arrived.
    pub fn resume(
        &mut self,
        handover: &Handover,
        heard: Option<Instant>,
        (node, boot): (&VmId, BootId),
        now: Instant,
    ) {
        // The leader still led shortly before its heartbeat arrived.
        let sent = heard.and_then(|heard| heard.checked_sub(HEARTBEAT_DELAY));
        let valid = Duration::from_millis(handover.valid_ms).min(LEASE_VALIDITY);
        self.leader
            .set_valid_until(sent.map_or(now, |sent| sent + valid));
        self.own_terms.extend(&handover.terms);
        self.suspended_at = Some(self.lease.generation());
        let all = self.known.iter().map(|(node, _)| (node.clone(), None));
        let mut recovery = match &handover.unreported {
            Some(nodes) => Recovery::resume(nodes.iter().cloned(), handover.has_restarted, now),
            None => Recovery::resume(all, true, now),
        };
        recovery.record_idle(node, boot);
        self.recovery = Some(recovery);
    }

    /// Returns what a leader that stops leaves to the next one, if that could not continue from the
    /// stored map: the lease and the map to store. No order may be sent afterwards.
    pub fn hand_over(&self, generation: Generation, now: Instant) -> Option<(Lease, KeyMap)> {
        if self.is_outdated(generation) || !self.leader.is_lease_valid(now) {
            return None;
        }
        let handover = match self.is_suspended() {
            true => Some(self.handover(now)?),
            false if self.leader.is_map_stored() => return None,
            false => None,
        };
        let map = self.leader.map();
        let lease = Lease {
            handover,
            ..self.lease.clone()
        };
        map.is_whole().then_some((lease, map))
    }

    /// Returns the state of a suspended leader, if it holds a lease.
    fn handover(&self, now: Instant) -> Option<Handover> {
        let recovery = self.recovery.as_ref()?;
        let valid = self.leader.valid_until().saturating_duration_since(now);
        if self.lease.term <= self.leader.term() {
            return None;
        }
        let unreported = recovery.unreported().iter();
        let is_short = unreported.len() <= MAX_HANDED_NODES;
        let unreported = unreported.map(|(node, boot)| (node.clone(), *boot));
        Some(Handover {
            map: self.leader.map().version,
            fence: self.leader.last_fence(),
            announcement: self.leader.sequence().number,
            order: self.leader.last_order(),
            terms: self.own_terms.clone(),
            unreported: is_short.then(|| unreported.collect()),
            has_restarted: recovery.has_restarted(),
            previous_ended: self.leader.has_previous_ended(),
            valid_ms: valid.as_millis() as u64,
        })
    }

    /// Returns the lease.
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Returns the revision of the lease row.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns true if the table was restored after the lease was written.
    pub fn is_outdated(&self, generation: Generation) -> bool {
        self.lease.generation() < generation
    }

    /// Stops writing the key map, because the table was restored to `generation` after the lease was
    /// written.
    pub fn suspend(&mut self, generation: Generation, nodes: KnownNodes, now: Instant) {
        if self.suspended_at.replace(generation) == Some(generation) {
            return;
        }
        self.leader.suspend_writes();
        // A process whose first heartbeat came after the lease was confirmed may follow one that led.
        let has_process = |(_, boot): &(VmId, Option<BootId>)| boot.is_some();
        let known = self.known.iter().filter(|node| has_process(node)).cloned();
        let nodes: BTreeMap<_, _> = nodes.into_iter().chain(known).collect();
        match &mut self.recovery {
            Some(recovery) => recovery.restart(nodes, now),
            None => self.recovery = Some(Recovery::new(nodes, now)),
        }
    }

    /// Evaluates the lease row, read from a table of this generation: its revision, 0 if it does not
    /// exist, and the lease that it contains.
    pub fn check(
        &self,
        (revision, lease): (u64, Option<&Lease>),
        generation: Generation,
        now: Instant,
    ) -> LeaseCheck {
        if !self.is_outdated(generation) {
            return match revision == self.revision {
                true => LeaseCheck::Held,
                false => LeaseCheck::Lost,
            };
        }
        let is_own = |lease: &Lease| lease.node == self.lease.node && lease.boot == self.lease.boot;
        let is_later = |lease: &Lease| lease.term > self.leader.term() && !is_own(lease);
        match lease {
            Some(lease) if is_later(lease) => LeaseCheck::Lost,
            // A leader whose lease was lost may have moved keys whose grants this one would renew.
            _ if !self.leader.is_lease_valid(now) => LeaseCheck::Lost,
            _ => LeaseCheck::Restored,
        }
    }

    /// Records that the table confirmed the lease by its answer to a call that began at `begun`, when
    /// `nodes` were known.
    pub fn confirm(&mut self, begun: Instant, nodes: KnownNodes) {
        self.known = nodes;
        self.record_confirmation(begun);
    }

    /// Records a confirmation of the lease. It does not let a suspended leader send orders for longer,
    /// since a leader whose lease the table has lost may give the keys on after that time.
    fn record_confirmation(&mut self, begun: Instant) {
        self.confirmed_at = self.confirmed_at.max(begun);
        match self.is_suspended() {
            true => self.leader.end_doubt(begun),
            false => self.leader.lease_confirmed(begun),
        }
    }

    /// Records that the lease was written again after a restore, in a call that began at `begun`.
    pub fn record_lease(&mut self, lease: Lease, revision: u64, begun: Instant, now: Instant) {
        self.own_terms.insert(lease.term);
        self.lease = lease;
        self.revision = revision;
        self.held_since = now;
        self.record_confirmation(begun);
    }

    /// Returns true if another node's report shows that a later leader exists or existed.
    pub fn is_superseded(&self, term: u64, ended: Option<u64>) -> bool {
        let is_later = |term: u64| term > self.leader.term() && !self.own_terms.contains(&term);
        is_later(term) || ended.is_some_and(is_later)
    }

    /// Records that a process reported that it does not lead the service.
    pub fn record_idle(&mut self, node: &VmId, boot: BootId) {
        if let Some(recovery) = &mut self.recovery
            && recovery.record_idle(node, boot)
        {
            // The process may have moved keys until it ended.
            self.leader.require_confirmations();
        }
    }

    /// Returns true while other nodes have not reported that they do not lead.
    pub fn awaits_reports(&self) -> bool {
        let recovery = self.recovery.as_ref();
        recovery.is_some_and(|recovery| !recovery.unreported().is_empty())
    }

    /// Returns true while the leader continues in the term of a lease that the table may have lost.
    pub fn is_suspended(&self) -> bool {
        self.leader.is_suspended()
    }

    /// Informs the leader once all previous leaders are known to send no more orders; returns true
    /// if it begins a new term.
    pub fn settle(&mut self, election: &mut Election, node: &VmId, now: Instant) -> bool {
        let begins = self.is_suspended() && self.may_begin_term(now);
        if self.is_suspended() && !begins {
            return false;
        }
        let is_complete = |recovery: &Recovery| recovery.is_complete(now);
        if begins || self.recovery.as_ref().is_some_and(is_complete) {
            self.recovery = None;
            if let Some(term) = self.lease.lost_term() {
                election.record_end(term, now);
            }
        }
        if begins {
            self.leader.begin_term(self.lease.term, now);
            self.leader.lease_confirmed(self.confirmed_at);
        }
        election.record_expiry(&self.lease, self.held_since, now);
        let mut previous = self.lease.maybe_active.iter();
        if previous.all(|previous| election.has_ended(previous, node)) {
            self.leader.previous_leaders_ended(now);
        }
        begins
    }

    /// Returns true if the lease has been written again and no other node can have led since the
    /// previous one was confirmed.
    fn may_begin_term(&self, now: Instant) -> bool {
        let Some(recovery) = &self.recovery else {
            return false;
        };
        // An owner refuses its former grant if a later leader has taken the keys from it.
        let is_confirmed = !recovery.has_restarted() || self.leader.is_confirmed();
        let has_expired = || {
            let grants = self.leader.longest_hold();
            recovery.elapsed(now) >= LEASE_VALIDITY + grants
        };
        let is_excluded = recovery.is_complete(now) && is_confirmed;
        self.lease.term > self.leader.term() && (is_excluded || has_expired())
    }
}
