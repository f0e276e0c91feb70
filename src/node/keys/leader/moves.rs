//! The steps by which a range moves from one owner to the next, and the handling of order outcomes.

use std::time::Duration;
use std::time::Instant;

use crate::node::keys::key_load::KeyLoad;
use crate::node::keys::leader::Command;
use crate::node::keys::leader::Leader;
use crate::node::keys::leader::ORDER_TIMEOUT;
use crate::node::keys::leader::Order;
use crate::node::keys::leader::OrderId;
use crate::node::keys::leader::OrderOutcome;
use crate::node::keys::leader::OutdatedMap;
use crate::node::keys::leader::candidate_index::CandidateIndex;
use crate::node::keys::leader::max_time_at_target;
use crate::node::keys::leader::range_state::RangeState;
use crate::node::keys::leader::range_state::Stage;
use crate::node::keys::leader::range_state::location;
use crate::node::keys::map::Holder;
use crate::node::keys::map::Ownership;
use crate::node::keys::plan;
use crate::node::keys::plan::Candidate;
use crate::node::keys::plan::GrantScope;
use crate::node::keys::plan::LostRange;
use crate::node::keys::view::RangeLocation;

/// Delay before a failed order is sent again.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Factor by which [`ORDER_RETRY_DELAY`] grows with each failed release of a range. Lost owners are asked
/// until their grants have expired, and with thousands of them each order costs.
const RELEASE_BACKOFF: u32 = 4;
/// Maximum number of increases by [`RELEASE_BACKOFF`].
const MAX_RELEASE_BACKOFFS: u32 = 2;
/// Number of consecutive unanswered orders after which a target counts as lost.
const LOST_AFTER_UNANSWERED: u32 = 3;
/// Number of consecutive orders without a connection after which a target counts as lost.
const LOST_AFTER_NOT_SENT: u32 = 2;
/// How long a new leader waits for owners that are missing from the list of targets: entries that
/// expired during an outage of the table are back within about two seconds.
const LIST_RECOVERY_TIME: Duration = Duration::from_millis(2_200);

impl Leader {
    /// Returns the state of a stored range, which the new leader continues from. Grants of previous
    /// leaders may last until `grants_until`.
    pub(super) fn resume(
        &mut self,
        entry: &Ownership,
        grants_until: Instant,
        now: Instant,
    ) -> RangeState {
        let (owner, next, stage) = match (&entry.owner, &entry.prior) {
            (Some(owner), Some(prior)) => (Some(prior), Some(owner), Stage::Releasing),
            (Some(owner), None) => (Some(owner), None, Stage::Granting),
            (None, prior) => (prior.as_ref(), None, Stage::Granting),
        };
        let stage = if owner.is_none() {
            Stage::Vacant
        } else {
            stage
        };
        RangeState {
            range: entry.range,
            owner: owner.cloned(),
            next: next.cloned(),
            stage,
            fence: self.fences.allocate(),
            handover: None,
            opened: None,
            held_until: grants_until,
            next_held_until: next.map(|_| grants_until),
            pending_order: None,
            held_until_before_order: grants_until,
            grant_duration: self.stored_max_grant,
            next_order_at: now,
            unanswered: 0,
            not_sent: 0,
            proven_address: None,
            replaced: false,
            confirmed: false,
        }
    }

    /// Assigns all keys when no target holds any: to the owners in an outdated map, or else in equal
    /// shares. Returns false while targets may still hold keys that the outdated map does not show.
    pub(super) fn assign(&mut self, candidates: &[Candidate], now: Instant) -> bool {
        let (targets, limit) = (candidates.len(), self.grant_limit);
        let may_be_held = |map: &OutdatedMap| now < map.grants_until(targets, limit);
        if self.outdated.as_ref().is_some_and(may_be_held) {
            return false;
        }
        let map = self.outdated.take().and_then(|outdated| outdated.map);
        let former = map.map(|map| map.ranges).unwrap_or_default();
        let former = former.into_iter().map(|entry| (entry.range, entry.owner));
        let mut shares: Vec<_> = former.collect();
        if shares.is_empty() {
            let equal = plan::equal_ranges(candidates).into_iter();
            shares.extend(equal.map(|(range, holder)| (range, Some(holder))));
        }
        for (range, next) in shares {
            let fence = self.fences.allocate();
            let stage = match next {
                Some(_) => Stage::StoringMap(self.newest_map + 1),
                None => Stage::Vacant,
            };
            self.ranges.push(RangeState {
                range,
                owner: None,
                next,
                stage,
                fence,
                handover: None,
                opened: None,
                held_until: now,
                next_held_until: None,
                pending_order: None,
                held_until_before_order: now,
                grant_duration: Duration::ZERO,
                next_order_at: now,
                unanswered: 0,
                not_sent: 0,
                proven_address: None,
                replaced: false,
                confirmed: false,
            });
        }
        if !self.ranges.is_empty() {
            self.newest_map += 1;
        }
        true
    }

    /// Advances a range to its next stage if possible, and adds new locations to `locations`. Returns
    /// true if the range has to get another owner.
    pub(super) fn advance(
        &mut self,
        at: usize,
        candidates: &CandidateIndex<'_>,
        now: Instant,
        locations: &mut Vec<RangeLocation>,
    ) -> bool {
        if let Stage::StoringMap(number) = self.ranges[at].stage
            && self.stored_map >= number
        {
            // Higher than the fence of any grant sent, so that a delayed grant is refused.
            let fence = self.fences.allocate();
            let state = &mut self.ranges[at];
            state.stage = Stage::Releasing;
            state.set_fence(fence);
            state.pending_order = None;
            state.next_order_at = now;
            state.unanswered = 0;
            state.not_sent = 0;
            locations.extend(location(state));
        }
        let state = &mut self.ranges[at];
        let listed = state.owner.as_ref().and_then(|o| candidates.get(o));
        if let Some(proven) = listed.filter(|candidate| candidate.proven) {
            state.proven_address = Some(proven.address);
        }
        if state.stage == Stage::Releasing && (state.owner.is_none() || now >= state.held_until) {
            self.complete_move(at, now);
        }
        match self.ranges[at].stage {
            Stage::Vacant => true,
            Stage::Granting | Stage::Held => self.must_move(at, candidates, now),
            Stage::StoringMap(_) | Stage::Releasing => false,
        }
    }

    /// Makes the next owner the owner, after the previous one no longer holds the keys. A previous
    /// leader may already have granted them to the next owner.
    pub(super) fn complete_move(&mut self, at: usize, now: Instant) {
        let fence = self.fences.allocate();
        let state = &mut self.ranges[at];
        state.confirmed = false;
        state.owner = state.next.take();
        state.stage = match state.owner {
            Some(_) => Stage::Granting,
            None => Stage::Vacant,
        };
        state.set_fence(fence);
        state.pending_order = None;
        state.held_until = state.next_held_until.take().unwrap_or(now).max(now);
        state.proven_address = None;
        state.replaced = false;
        state.next_order_at = now;
        state.unanswered = 0;
        state.not_sent = 0;
    }

    /// Returns true if the range's owner cannot keep it: it leaves, has ended or is lost.
    pub(super) fn must_move(
        &self,
        at: usize,
        candidates: &CandidateIndex<'_>,
        now: Instant,
    ) -> bool {
        let state = &self.ranges[at];
        let Some(owner) = &state.owner else {
            return true;
        };
        let listed = candidates.get(owner);
        let is_list_complete = now.saturating_duration_since(self.started_at) >= LIST_RECOVERY_TIME;
        let is_leaving = match listed {
            Some(candidate) => candidate.leaving,
            None => is_list_complete || candidates.has_ended(owner),
        };
        is_leaving || is_lost(state)
    }

    /// Starts to move ranges whose owners cannot keep them. They are planned together, so that each
    /// counts the load of those before it and the loads of all ranges are added up once.
    pub(super) fn move_lost(
        &mut self,
        lost: &[usize],
        candidates: &[Candidate],
        key_load: &KeyLoad,
        now: Instant,
    ) {
        if lost.is_empty() {
            return;
        }
        // Recorded before planning, so that no range moves to an owner that is lost at the same time.
        for at in lost {
            let state = &self.ranges[*at];
            if let Some(owner) = state.owner.clone().filter(|_| is_lost(state)) {
                self.record_loss(owner, now);
            }
        }
        let eligible = self.eligible(candidates, now);
        let lost_range = |at: &usize| {
            let state = &self.ranges[*at];
            LostRange {
                range: state.range,
                owner: state.owner.as_ref(),
                splittable: state.handover.is_none(),
            }
        };
        let ranges = lost.iter().map(lost_range).collect();
        let moves = plan::place(&eligible, &self.owned_ranges(), ranges, key_load);
        for planned in moves {
            let at = self.split_out(planned.range);
            self.begin_move(at, planned.to);
        }
    }

    /// Starts to move a range by entering its next owner into the map.
    pub(super) fn begin_move(&mut self, at: usize, next: Holder) {
        let number = self.require_map();
        let state = &mut self.ranges[at];
        state.next = Some(next);
        state.stage = Stage::StoringMap(number);
    }

    /// Returns the order to send for a range now, if any.
    pub(super) fn next_order(
        &mut self,
        at: usize,
        candidates: &CandidateIndex<'_>,
        now: Instant,
    ) -> Option<Order> {
        let duration = self.grant_duration();
        let is_doubted = self.is_doubted();
        let state = &mut self.ranges[at];
        if state.pending_order.is_some() || now < state.next_order_at {
            return None;
        }
        if duration.is_zero() {
            // The stored map does not contain a maximum duration of grants yet.
            return None;
        }
        let owner = state.owner.clone()?;
        let candidate = match state.stage {
            Stage::Releasing => releasing_process(state, &owner, candidates)?,
            _ => candidates.get(&owner)?,
        };
        let is_lost = is_lost(state);
        let command = match state.stage {
            Stage::Vacant => return None,
            Stage::Releasing => Command::Release,
            _ if !may_grant(candidate.grants, state) => return None,
            // The grant of a lost target is not renewed, so that it expires. If its keys cannot be moved
            // by then, it is tried again.
            _ if is_lost && now < state.held_until => return None,
            // Another process may listen there now, which does not know the fences of a later leader.
            _ if is_doubted && state.opened.is_none() => return None,
            _ => {
                state.held_until_before_order = state.held_until;
                state.held_until = state
                    .held_until
                    .max(now + ORDER_TIMEOUT + max_time_at_target(duration));
                state.grant_duration = duration;
                Command::Grant {
                    duration,
                    handover: state.handover.clone(),
                    opened: state.opened,
                }
            }
        };
        self.last_order_id += 1;
        let id = OrderId {
            term: self.term,
            number: self.last_order_id,
        };
        state.pending_order = Some(id);
        Some(Order {
            id,
            to: candidate.holder.clone(),
            address: candidate.address,
            range: state.range,
            fence: state.fence,
            command,
        })
    }

    /// Handles the outcome of a grant.
    pub(super) fn grant_ended(
        &mut self,
        at: usize,
        outcome: OrderOutcome,
        now: Instant,
        locations: &mut Vec<RangeLocation>,
    ) {
        let period = self.renewal_period();
        let fence = self.fences.allocate();
        let state = &mut self.ranges[at];
        state.next_order_at = now + ORDER_RETRY_DELAY;
        match outcome {
            OrderOutcome::Done(reply) => {
                state.opened = Some(reply.opened);
                state.replaced = false;
                if let Some(owner) = &state.owner {
                    self.lost_targets.remove(owner);
                }
                if state.stage == Stage::Granting {
                    state.stage = Stage::Held;
                    state.handover = None;
                    locations.extend(location(state));
                }
                state.held_until = now + max_time_at_target(state.grant_duration);
                state.next_order_at = now + period;
                state.unanswered = 0;
                state.not_sent = 0;
            }
            OrderOutcome::StaleFence => {
                state.held_until = state.held_until_before_order;
                state.set_fence(fence);
                state.next_order_at = now + period;
            }
            OrderOutcome::Reconnected => {
                state.held_until = state.held_until_before_order;
                state.set_fence(fence);
                state.next_order_at = now;
            }
            OrderOutcome::NotSent => {
                state.held_until = state.held_until_before_order;
                state.not_sent += 1;
            }
            OrderOutcome::OtherTarget => {
                state.held_until = state.held_until_before_order;
                state.not_sent = LOST_AFTER_NOT_SENT;
                state.replaced = true;
            }
            OrderOutcome::Unidentified => {
                state.held_until = state.held_until_before_order;
                state.unanswered += 1;
            }
            OrderOutcome::Unknown => {
                // The next attempt may reach another process, which requires another fence.
                state.set_fence(fence);
                state.unanswered += 1;
            }
        }
        if is_lost(state) {
            state.next_order_at = now + period;
        }
    }

    /// Handles the outcome of a release, by the owner or by the process that has replaced it.
    pub(super) fn release_ended(&mut self, at: usize, outcome: OrderOutcome, now: Instant) {
        let state = &mut self.ranges[at];
        match outcome {
            OrderOutcome::Done(reply) => {
                state.handover = reply.handover;
                return self.complete_move(at, now);
            }
            OrderOutcome::OtherTarget => {
                state.replaced = !state.replaced;
                if state.proven_address.is_none() {
                    state.next_order_at = state.held_until;
                    return;
                }
            }
            OrderOutcome::StaleFence
            | OrderOutcome::NotSent
            | OrderOutcome::Reconnected
            | OrderOutcome::Unidentified
            | OrderOutcome::Unknown => {}
        }
        state.next_order_at = now + ORDER_RETRY_DELAY * RELEASE_BACKOFF.pow(state.unanswered);
        state.unanswered = (state.unanswered + 1).min(MAX_RELEASE_BACKOFFS);
    }
}

/// Returns true if the owner of a range, which may be given these grants, may be granted it now.
fn may_grant(grants: GrantScope, state: &RangeState) -> bool {
    match grants {
        GrantScope::All => true,
        GrantScope::Renewals => state.opened.is_some(),
        GrantScope::None => false,
    }
}

/// Returns the process that is to release the keys of `owner`.
///
/// This is the owner's process or a later one of the same target, which may have been granted the keys at
/// the same address before it was listed. If the owner is not listed any more, or another process named
/// itself at its address, it is the process that is now listed at this address. The keys are free once
/// that one has released them:
///
/// - The owner responded under its id at this address, so it had the address. An address has one process at
///   a time and is given to another one only after the former has ended. So whichever process executes the
///   release, it is the owner itself, or the owner has ended and holds nothing. A frozen process keeps its
///   address and executes nothing.
/// - Orders for the owner that another process at its address has executed, or will execute, have lower
///   fences than the release.
///
/// Without a response of the owner at the address, its list entry may be wrong or restored, or the process
/// may have been listed at another address when it was granted the keys. Nothing is concluded then, and the
/// grant has to expire. The same holds if no other process of the service is listed at the address: an order
/// must not be sent to a process of another service.
fn releasing_process<'a>(
    state: &RangeState,
    owner: &Holder,
    candidates: &CandidateIndex<'a>,
) -> Option<&'a Candidate> {
    let own = candidates.get_latest(owner).filter(|_| !state.replaced);
    own.or_else(|| candidates.other_at(state.proven_address?, &owner.id))
}

/// Returns true if the owner has not answered several orders in a row.
fn is_lost(state: &RangeState) -> bool {
    state.unanswered >= LOST_AFTER_UNANSWERED || state.not_sent >= LOST_AFTER_NOT_SENT
}
