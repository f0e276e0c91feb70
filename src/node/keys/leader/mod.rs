//! The leader of a service: grants keys to targets, renews the grants and moves keys.
//!
//! Every change of owner takes the same steps. First, the map with the new and the previous owner
//! is stored, on condition that this leader still holds the lease. Then the previous owner releases
//! the keys, or its grant expires. Only then the new owner is granted the keys, with a higher
//! fence. The stored map therefore contains every target that may hold a key, and a later leader
//! can continue from it.

mod balance;
mod candidate_index;
mod moves;
mod order;
mod range_state;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Fence;
use crate::node::keys::election::Handover;
use crate::node::keys::key_load::KeyLoad;
use crate::node::keys::leader::balance::EXCLUSION_TIME;
use crate::node::keys::leader::balance::LostTarget;
use crate::node::keys::leader::balance::MAX_DOUBLINGS;
use crate::node::keys::leader::candidate_index::CandidateIndex;
use crate::node::keys::leader::range_state::RangeState;
use crate::node::keys::leader::range_state::Stage;
use crate::node::keys::leader::range_state::location;
use crate::node::keys::map::FenceAllocator;
use crate::node::keys::map::Holder;
use crate::node::keys::map::KeyMap;
use crate::node::keys::map::MapVersion;
use crate::node::keys::map::Ownership;
use crate::node::keys::plan::Candidate;
use crate::node::keys::view::RangeLocation;
use crate::node::keys::view::Sequence;

pub use order::Action;
pub use order::Command;
pub use order::Order;
pub use order::OrderId;
pub use order::OrderOutcome;
pub use order::OrderReply;

/// Renewal period of a grant, unless there are many grants. The resulting duration of grants is
/// short, because the keys of a lost target are unavailable until its grant expires, but long
/// enough for a change of leader.
const RENEWAL_PERIOD: Duration = Duration::from_millis(800);
/// Maximum number of renewals per second; limits the CPU time of their orders to about a tenth of a
/// core.
const MAX_RENEWALS_PER_SECOND: f64 = 200.0;
/// Duration of a grant in renewal periods, so that two consecutive renewals may fail.
const PERIODS_PER_GRANT: f64 = 3.1;
/// Timeout of an order; targets usually answer within milliseconds.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a release; the target answers after its current work on the keys has ended.
pub const RELEASE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Safety factor for a target's clock, which may run 2 % slow.
const CLOCK_DRIFT_FACTOR: f64 = 1.03;
/// How long an order may wait in a target's buffers before its duration starts to count.
const ORDER_BUFFERING_MARGIN: Duration = Duration::from_millis(100);
/// How long a leader may send orders after the table last confirmed its lease.
pub const LEASE_VALIDITY: Duration = Duration::from_millis(20_000);
/// Maximum number of locations in an announcement, so that it fits into a packet.
const MAX_LOCATIONS_PER_ANNOUNCEMENT: usize = 16;
/// How often the leader checks whether moves would balance the load.
const BALANCE_PERIOD: Duration = Duration::from_millis(500);
/// Mean number of ranges per candidate above which ranges are merged.
const MAX_RANGES_PER_CANDIDATE: usize = 2;

/// The state of a service's leader; it decides which orders to send, without performing I/O.
#[derive(Debug)]
pub struct Leader {
    term: u64,
    /// The longest grant that targets accept.
    grant_limit: Duration,
    /// The longest grant that the next stored map will contain, for this and later leaders.
    max_grant: Duration,
    /// The longest grant that the stored map contains; no grant lasts longer.
    stored_max_grant: Duration,
    fences: FenceAllocator,
    ranges: Vec<RangeState>,
    /// The number of the map that is stored.
    stored_map: u64,
    /// The version and the longest grant of the map that is being written.
    writing: Option<(MapVersion, Duration)>,
    /// The number of the newest map, which is to be stored.
    newest_map: u64,
    /// The number of the last announcement.
    last_announcement: u64,
    last_order_id: u64,
    /// The last order whose acceptance does not confirm a grant.
    unconfirmed_order: u64,
    confirmed_at: Instant,
    /// When a target refused an order for a higher fence, until the lease is confirmed again.
    refused_at: Option<Instant>,
    started_at: Instant,
    /// Until when grants of previous leaders may last; `None` once these are known to have ended.
    previous_grants_until: Option<Instant>,
    balanced_at: Instant,
    lost_targets: HashMap<Holder, LostTarget>,
    /// The number of targets at the last tick.
    targets: usize,
    /// A stored map that is used once the keys in it can be held by no target.
    outdated: Option<OutdatedMap>,
    /// Whether the map is not written, because the table may have lost the lease.
    suspended: bool,
    /// Whether the locations of all ranges are to be announced.
    announce_all: bool,
}

impl OutdatedMap {
    /// Returns when all grants of previous leaders have expired, with this number of targets now.
    fn grants_until(&self, targets: usize, grant_limit: Duration) -> Instant {
        let entries = self.map.iter().flat_map(|map| &map.ranges);
        let holders: BTreeSet<_> = entries.filter_map(|entry| entry.owner.as_ref()).collect();
        let grant = lost_grant(holders.len().max(targets)).min(grant_limit);
        let stored = self.map.as_ref().and_then(|map| map.max_grant_ms);
        let stored = stored.map_or(Duration::ZERO, Duration::from_millis);
        self.leaders_until + ORDER_TIMEOUT + max_time_at_target(grant.max(stored))
    }
}

/// What a new leader knows of the keys that targets hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inherited<'a> {
    /// No target has been granted keys.
    Nothing,
    /// The stored map contains every target that may hold a key.
    Map(&'a KeyMap),
    /// The table was restored after grants that its map, if any, does not contain.
    Outdated(Option<&'a KeyMap>),
    /// The previous leader was suspended and has stopped. The map contains every target that may hold
    /// a key, unless the table has lost a later leader.
    HandedOver(&'a KeyMap, &'a Handover),
}

/// A stored map that does not contain all targets that may hold keys.
#[derive(Debug)]
struct OutdatedMap {
    map: Option<KeyMap>,
    /// When all previous leaders have ended.
    leaders_until: Instant,
}

impl Leader {
    /// Takes over from the previous leaders.
    ///
    /// `grant_limit` is the longest grant that targets accept, and `now` must be after the write of
    /// the lease was confirmed.
    pub fn new(term: u64, inherited: Inherited<'_>, grant_limit: Duration, now: Instant) -> Self {
        let mut leader = Self {
            term,
            grant_limit,
            max_grant: Duration::ZERO,
            stored_max_grant: Duration::ZERO,
            fences: FenceAllocator::new(term),
            ranges: Vec::new(),
            stored_map: 0,
            writing: None,
            newest_map: 0,
            last_announcement: 0,
            last_order_id: 0,
            unconfirmed_order: 0,
            confirmed_at: now,
            refused_at: None,
            started_at: now,
            previous_grants_until: None,
            balanced_at: now,
            lost_targets: HashMap::new(),
            targets: 0,
            outdated: None,
            suspended: false,
            announce_all: false,
        };
        let map = match inherited {
            Inherited::Map(map) if map.is_whole() => map,
            Inherited::Map(_) | Inherited::Nothing => return leader,
            Inherited::HandedOver(map, handover) => {
                leader.continue_term(map, handover, now);
                return leader;
            }
            Inherited::Outdated(map) => {
                let leaders_until = now + LEASE_VALIDITY;
                leader.previous_grants_until = Some(leaders_until);
                let map = map.filter(|map| map.is_whole()).cloned();
                leader.outdated = Some(OutdatedMap { map, leaders_until });
                return leader;
            }
        };
        let max_grant = map.max_grant_ms.map_or(grant_limit, Duration::from_millis);
        leader.max_grant = max_grant;
        leader.stored_max_grant = max_grant;
        let held_until = now + LEASE_VALIDITY + max_time_at_target(max_grant) + ORDER_TIMEOUT;
        leader.previous_grants_until = Some(held_until);
        for entry in &map.ranges {
            let state = leader.resume(entry, held_until, now);
            leader.ranges.push(state);
        }
        leader
    }

    /// Continues in the term of a previous leader, which has stopped, as that leader would: suspended,
    /// and under higher fences.
    fn continue_term(&mut self, map: &KeyMap, handover: &Handover, now: Instant) {
        self.term = handover.map.term;
        self.fences = FenceAllocator::after(handover.fence);
        self.last_announcement = handover.announcement;
        self.last_order_id = handover.order;
        self.newest_map = handover.map.number;
        self.stored_map = handover.map.number;
        self.suspended = true;
        let max_grant = map
            .max_grant_ms
            .map_or(self.grant_limit, Duration::from_millis);
        self.max_grant = max_grant;
        self.stored_max_grant = max_grant;
        let mut held_until = now + ORDER_TIMEOUT + max_time_at_target(max_grant);
        if !handover.previous_ended {
            held_until += LEASE_VALIDITY;
            self.previous_grants_until = Some(held_until);
        }
        for entry in &map.ranges {
            let state = self.resume(entry, held_until, now);
            self.ranges.push(state);
        }
    }

    /// Returns true if no previous leader sends orders any more.
    pub fn has_previous_ended(&self) -> bool {
        self.previous_grants_until.is_none()
    }

    /// Returns true if the newest map is stored.
    pub fn is_map_stored(&self) -> bool {
        self.stored_map == self.newest_map
    }

    /// Returns the number of the last order of the term.
    pub fn last_order(&self) -> u64 {
        self.last_order_id
    }

    /// Returns the last fence that was used in the term.
    pub fn last_fence(&self) -> Fence {
        self.fences.last()
    }

    /// Returns the term that this leader leads.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the sequence number of the newest announcement.
    pub fn sequence(&self) -> Sequence {
        Sequence {
            term: self.term,
            number: self.last_announcement,
        }
    }

    /// Records that the table confirmed the lease by its answer to a call started at `begun`.
    pub fn lease_confirmed(&mut self, begun: Instant) {
        self.confirmed_at = self.confirmed_at.max(begun);
        self.end_doubt(begun);
    }

    /// Records that the table showed no later leader in its answer to a call started at `begun`.
    pub fn end_doubt(&mut self, begun: Instant) {
        self.refused_at = self.refused_at.filter(|refused_at| begun < *refused_at);
    }

    /// Returns until when the leader may send orders unless its lease is confirmed again.
    pub fn valid_until(&self) -> Instant {
        self.confirmed_at + LEASE_VALIDITY
    }

    /// Sets until when the leader may send orders unless its lease is confirmed again.
    pub fn set_valid_until(&mut self, until: Instant) {
        self.confirmed_at = until.checked_sub(LEASE_VALIDITY).unwrap_or(until);
    }

    /// Returns true if a target has refused an order since the lease was confirmed, so that another
    /// node may lead.
    pub fn is_doubted(&self) -> bool {
        self.refused_at.is_some()
    }

    /// Returns true while the lease was confirmed recently enough to send orders.
    pub fn is_lease_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.confirmed_at) < LEASE_VALIDITY
    }

    /// Records that no previous leader sends orders any more, so that their grants expire earlier.
    pub fn previous_leaders_ended(&mut self, now: Instant) {
        let Some(assumed) = self.previous_grants_until.take() else {
            return;
        };
        if let Some(outdated) = &mut self.outdated {
            outdated.leaders_until = now;
            return;
        }
        let held_until = now + ORDER_TIMEOUT + max_time_at_target(self.stored_max_grant);
        let shorten = |until: &mut Instant| {
            if *until == assumed {
                *until = held_until;
            }
        };
        for state in &mut self.ranges {
            shorten(&mut state.held_until);
            shorten(&mut state.held_until_before_order);
            state.next_held_until.iter_mut().for_each(shorten);
        }
    }

    /// Returns the longest time for which a target may hold keys after the last order of any leader.
    pub fn longest_hold(&self) -> Duration {
        let owners = self.ranges.iter().filter_map(|state| state.owner.as_ref());
        let owners: BTreeSet<_> = owners.collect();
        let grant = lost_grant(owners.len().max(self.targets)).max(self.max_grant);
        ORDER_TIMEOUT + max_time_at_target(grant.min(self.grant_limit))
    }

    /// Returns true while the map is not written.
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// Stops writing the map, so that no further moves take effect, until the next term begins.
    pub fn suspend_writes(&mut self) {
        self.suspended = true;
    }

    /// Requires that every owner confirms its grant again.
    pub fn require_confirmations(&mut self) {
        self.unconfirmed_order = self.last_order_id;
        for state in &mut self.ranges {
            state.confirmed = false;
        }
    }

    /// Returns true if every range has an owner that accepted an order sent after the last
    /// [`Self::require_confirmations`].
    pub fn is_confirmed(&self) -> bool {
        let is_confirmed = |state: &RangeState| {
            state.confirmed && matches!(state.stage, Stage::Held | Stage::StoringMap(_))
        };
        self.ranges.iter().all(is_confirmed)
    }

    /// Continues in a new term, whose fences are higher; stores and announces the map again. If the lease
    /// was not valid any more, another leader may have used higher fences than those of the grants.
    pub fn begin_term(&mut self, term: u64, now: Instant) {
        self.term = term;
        self.fences = FenceAllocator::new(term);
        if !self.is_lease_valid(now) {
            self.grant_again(now);
        }
        self.suspended = false;
        self.last_announcement = 0;
        self.announce_all = true;
        self.newest_map += 1;
    }

    /// Makes the owners be granted their keys again, under new fences.
    fn grant_again(&mut self, now: Instant) {
        for state in &mut self.ranges {
            state.set_fence(self.fences.allocate());
            state.pending_order = None;
            state.next_order_at = now;
            if state.stage == Stage::Held {
                state.stage = Stage::Granting;
            }
        }
    }

    /// Records the end of the write of this version of the map; `written` is true if it was stored.
    /// Writes that a former leader of this process began are ignored.
    pub fn map_write_ended(&mut self, version: MapVersion, written: bool) {
        if self.writing.is_none_or(|(writing, _)| writing != version) {
            return;
        }
        if let (Some((version, max_grant)), true) = (self.writing.take(), written) {
            self.stored_map = version.number;
            self.stored_max_grant = max_grant;
        }
    }

    /// Advances all ranges and returns the actions to perform; does nothing if the lease is no
    /// longer valid.
    pub fn tick(
        &mut self,
        now: Instant,
        candidates: &[Candidate],
        key_load: &KeyLoad,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.is_lease_valid(now) {
            return actions;
        }
        self.lost_targets
            .retain(|_, lost| now < lost.excluded_until + EXCLUSION_TIME * 2u32.pow(MAX_DOUBLINGS));
        self.targets = candidates.len();
        if self.ranges.is_empty() && !self.assign(candidates, now) {
            return actions;
        }
        self.raise_max_grant();
        let mut locations = Vec::new();
        if std::mem::take(&mut self.announce_all) {
            locations.extend(self.ranges.iter().filter_map(location));
        }
        let index = CandidateIndex::new(candidates);
        let mut lost = Vec::new();
        for at in 0..self.ranges.len() {
            if self.advance(at, &index, now, &mut locations) {
                lost.push(at);
            }
        }
        self.move_lost(&lost, candidates, key_load, now);
        for at in 0..self.ranges.len() {
            if let Some(order) = self.next_order(at, &index, now) {
                actions.push(Action::Send(order));
            }
        }
        if now.saturating_duration_since(self.balanced_at) >= BALANCE_PERIOD {
            self.balanced_at = now;
            self.balance(candidates, key_load, now);
            if self.ranges.len() > MAX_RANGES_PER_CANDIDATE * candidates.len() {
                self.move_cold_ranges(key_load);
                self.merge(now);
            }
        }
        self.announce(locations, &mut actions);
        if !self.suspended && self.writing.is_none() && self.stored_map < self.newest_map {
            let map = self.map();
            self.writing = Some((map.version, self.max_grant));
            actions.push(Action::Write(map));
        }
        actions
    }

    /// Handles the outcome of an order and returns the actions to perform.
    pub fn order_ended(&mut self, id: OrderId, outcome: OrderOutcome, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(at) = self
            .ranges
            .iter()
            .position(|state| state.pending_order == Some(id))
        else {
            return actions;
        };
        self.ranges[at].pending_order = None;
        let mut locations = Vec::new();
        match self.ranges[at].stage {
            Stage::Releasing => self.release_ended(at, outcome, now),
            _ => {
                if outcome == OrderOutcome::StaleFence {
                    self.refused_at = Some(now);
                    actions.push(Action::CheckLease);
                }
                let is_accepted = matches!(outcome, OrderOutcome::Done(_));
                self.ranges[at].confirmed |= is_accepted && id.number > self.unconfirmed_order;
                self.grant_ended(at, outcome, now, &mut locations);
            }
        }
        self.announce(locations, &mut actions);
        actions
    }

    /// Returns the newest map, as it is to be stored.
    pub fn map(&self) -> KeyMap {
        let ownership = |state: &RangeState| Ownership {
            range: state.range,
            owner: state.next.as_ref().or(state.owner.as_ref()).cloned(),
            prior: state.next.as_ref().and(state.owner.as_ref()).cloned(),
        };
        KeyMap {
            version: MapVersion {
                term: self.term,
                number: self.newest_map,
            },
            max_grant_ms: Some(self.max_grant.as_millis() as u64),
            ranges: self.ranges.iter().map(ownership).collect(),
        }
    }

    /// Returns the number of ranges, and the number of those that no owner holds at present.
    pub fn range_counts(&self) -> (usize, usize) {
        let is_unheld =
            |state: &&RangeState| !matches!(state.stage, Stage::Held | Stage::StoringMap(_));
        (
            self.ranges.len(),
            self.ranges.iter().filter(is_unheld).count(),
        )
    }

    /// Returns the current renewal period of grants.
    fn renewal_period(&self) -> Duration {
        let rate_limited =
            Duration::from_secs_f64(self.ranges.len() as f64 / MAX_RENEWALS_PER_SECOND);
        RENEWAL_PERIOD
            .max(rate_limited)
            .min(self.grant_limit.div_f64(PERIODS_PER_GRANT))
    }

    /// Returns how long grants should last for the current renewal period.
    fn desired_grant(&self) -> Duration {
        let duration = self
            .renewal_period()
            .mul_f64(PERIODS_PER_GRANT)
            .min(longest_grant(self.targets))
            .min(self.grant_limit);
        Duration::from_millis(duration.as_millis() as u64)
    }

    /// Returns the duration of new grants, which is limited by the stored map.
    fn grant_duration(&self) -> Duration {
        self.desired_grant().min(self.stored_max_grant)
    }

    /// Raises the longest grant in the map if the desired one is longer. It is never lowered, since
    /// grants of previous leaders may still last as long.
    fn raise_max_grant(&mut self) {
        let desired = self.desired_grant();
        if desired > self.max_grant {
            self.max_grant = desired;
            self.newest_map += 1;
        }
    }

    /// Makes sure that a map with the current changes is stored; returns its number.
    fn require_map(&mut self) -> u64 {
        let written = self.writing.map(|(version, _)| version.number);
        if self.newest_map == written.unwrap_or(self.stored_map) {
            self.newest_map += 1;
        }
        self.newest_map
    }

    fn announce(&mut self, locations: Vec<RangeLocation>, actions: &mut Vec<Action>) {
        for chunk in locations.chunks(MAX_LOCATIONS_PER_ANNOUNCEMENT) {
            self.last_announcement += 1;
            actions.push(Action::Announce(self.sequence(), chunk.to_vec()));
        }
    }
}

/// Returns the longest duration of grants with a number of targets; enough for twice the number of
/// ranges above which ranges are merged.
fn longest_grant(targets: usize) -> Duration {
    let ranges = 2 * MAX_RANGES_PER_CANDIDATE * targets.next_power_of_two();
    let period = Duration::from_secs_f64(ranges as f64 / MAX_RENEWALS_PER_SECOND);
    RENEWAL_PERIOD.max(period).mul_f64(PERIODS_PER_GRANT)
}

/// Returns the longest duration of grants by a leader that this one does not know of, which may have
/// known up to twice as many targets.
fn lost_grant(targets: usize) -> Duration {
    longest_grant(2 * targets)
}

/// Returns the longest real time that a target may take for a grant of this duration.
fn max_time_at_target(duration: Duration) -> Duration {
    duration.mul_f64(CLOCK_DRIFT_FACTOR) + ORDER_BUFFERING_MARGIN
}
