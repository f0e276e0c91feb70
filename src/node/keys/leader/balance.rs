//! Moves ranges to balance the load, and merges ranges when there are too many.

use std::time::Duration;
use std::time::Instant;

use crate::node::keys::key_load::KeyLoad;
use crate::node::keys::leader::Leader;
use crate::node::keys::leader::range_state::RangeState;
use crate::node::keys::leader::range_state::Stage;
use crate::node::keys::map::Holder;
use crate::node::keys::map::KeyRange;
use crate::node::keys::plan;
use crate::node::keys::plan::Candidate;
use crate::node::keys::plan::OwnedRange;

/// How long a lost target gets no keys; doubled with each further loss.
pub(super) const EXCLUSION_TIME: Duration = Duration::from_millis(4_000);
/// Maximum number of doublings of [`EXCLUSION_TIME`].
pub(super) const MAX_DOUBLINGS: u32 = 3;
/// Minimum limit on the number of ranges that move at the same time.
const MIN_CONCURRENT_MOVES: usize = 6;
/// Candidates per range that may move at the same time: a set of hot keys is divided among a share of
/// the targets, so with many targets it takes many moves.
const CANDIDATES_PER_MOVE: usize = 8;
/// Requests per second below which a range may be moved only to reduce the number of ranges.
const COLD_RANGE_RATE: f64 = 1.0;
/// Maximum number of cold ranges that one balancing round starts to move.
const MAX_COLD_MOVES: usize = 2;

/// A target that repeatedly failed to answer orders.
#[derive(Debug)]
pub(super) struct LostTarget {
    pub(super) doublings: u32,
    pub(super) excluded_until: Instant,
}

impl Leader {
    /// Returns the candidates without recently lost targets; targets whose exclusion has ended are
    /// on probation.
    pub(super) fn eligible(&self, candidates: &[Candidate], now: Instant) -> Vec<Candidate> {
        let loss = |holder: &Holder| self.lost_targets.get(holder);
        let is_excluded =
            |c: &&Candidate| loss(&c.holder).is_some_and(|lost| now < lost.excluded_until);
        let eligible = candidates.iter().filter(|c| !is_excluded(c));
        eligible
            .map(|candidate| Candidate {
                on_probation: loss(&candidate.holder).is_some(),
                ..candidate.clone()
            })
            .collect()
    }

    /// Excludes a lost target from new keys, twice as long with each further loss.
    pub(super) fn record_loss(&mut self, holder: Holder, now: Instant) {
        match self.lost_targets.get_mut(&holder) {
            // Each of the target's ranges reports the same loss.
            Some(lost) if now < lost.excluded_until => {}
            Some(lost) => {
                lost.doublings = (lost.doublings + 1).min(MAX_DOUBLINGS);
                lost.excluded_until = now + EXCLUSION_TIME * 2u32.pow(lost.doublings);
            }
            None => {
                let loss = LostTarget {
                    doublings: 0,
                    excluded_until: now + EXCLUSION_TIME,
                };
                self.lost_targets.insert(holder, loss);
            }
        }
    }

    /// Returns all ranges that have an owner or a next owner.
    pub(super) fn owned_ranges(&self) -> Vec<OwnedRange<'_>> {
        let range_and_movable = |state: &'_ RangeState| -> Option<(KeyRange, bool)> {
            (state.next.is_some() || state.owner.is_some())
                .then_some((state.range, state.stage == Stage::Held))
        };
        let mut owned = Vec::with_capacity(self.ranges.len());
        for state in &self.ranges {
            if let (Some((range, movable)), Some(owner)) = (
                range_and_movable(state),
                state.next.as_ref().or(state.owner.as_ref()),
            ) {
                owned.push(OwnedRange {
                    range,
                    owner,
                    movable,
                });
            }
        }
        owned
    }

    /// Starts moves from overloaded owners to less loaded ones.
    pub(super) fn balance(&mut self, candidates: &[Candidate], key_load: &KeyLoad, now: Instant) {
        let eligible = self.eligible(candidates, now);
        let limit = MIN_CONCURRENT_MOVES.max(candidates.len() / CANDIDATES_PER_MOVE);
        let moving = self.ranges.iter().filter(|state| state.next.is_some());
        for _ in moving.count()..limit {
            let Some(next) = plan::next_move(&eligible, &self.owned_ranges(), key_load) else {
                return;
            };
            let at = self.split_out(next.range);
            self.begin_move(at, next.to);
        }
    }

    /// Splits a held range so that `range` has its own state; returns its index.
    pub(super) fn split_out(&mut self, range: KeyRange) -> usize {
        let at = self
            .ranges
            .partition_point(|state| state.range.last < range.first);
        let original = self.ranges[at].range;
        let mut index = at;
        if original.first < range.first {
            let before = KeyRange {
                first: original.first,
                last: range.first - 1,
            };
            let state = self.part(at, before);
            self.ranges.insert(at, state);
            index += 1;
        }
        if range.last < original.last {
            let after = KeyRange {
                first: range.last + 1,
                last: original.last,
            };
            let state = self.part(index, after);
            self.ranges.insert(index + 1, state);
        }
        self.ranges[index].range = range;
        index
    }

    /// Returns the state of a part of a held range. It has another fence unless the owner has accepted
    /// that of the range, since a grant on a new connection may reach another process.
    fn part(&mut self, at: usize, range: KeyRange) -> RangeState {
        let mut part = self.ranges[at].with_range(range);
        if part.opened.is_none() {
            part.set_fence(self.fences.allocate());
        }
        part
    }

    /// Moves the coldest ranges to the owners of the preceding ranges, so that they can be merged.
    pub(super) fn move_cold_ranges(&mut self, key_load: &KeyLoad) {
        let is_held = |state: &RangeState| state.stage == Stage::Held;
        let is_mergeable_after_move = |at: &usize| {
            let (left, state) = (&self.ranges[at - 1], &self.ranges[*at]);
            is_held(left) && is_held(state) && left.owner != state.owner
        };
        let mut cold: Vec<(f64, usize)> = (1..self.ranges.len())
            .filter(is_mergeable_after_move)
            .map(|at| (key_load.rate(self.ranges[at].range), at))
            .filter(|(load, _)| *load < COLD_RANGE_RATE)
            .collect();
        cold.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, at) in cold.into_iter().take(MAX_COLD_MOVES) {
            // The preceding range may itself have started to move in this loop.
            if !is_held(&self.ranges[at - 1]) {
                continue;
            }
            if let Some(owner) = self.ranges[at - 1].owner.clone() {
                self.begin_move(at, owner);
            }
        }
    }

    /// Merges adjacent ranges of the same owner, under a new fence.
    pub(super) fn merge(&mut self, now: Instant) {
        let mut at = 1;
        while at < self.ranges.len() {
            let (left, right) = (&self.ranges[at - 1], &self.ranges[at]);
            let is_idle =
                |state: &RangeState| state.stage == Stage::Held && state.pending_order.is_none();
            if !is_idle(left) || !is_idle(right) || left.owner != right.owner {
                at += 1;
                continue;
            }
            let right = self.ranges.remove(at);
            let fence = self.fences.allocate();
            let left = &mut self.ranges[at - 1];
            left.range.last = right.range.last;
            left.held_until = left.held_until.max(right.held_until);
            left.grant_duration = left.grant_duration.max(right.grant_duration);
            left.confirmed &= right.confirmed;
            left.set_fence(fence);
            left.next_order_at = now;
            self.require_map();
        }
    }
}
