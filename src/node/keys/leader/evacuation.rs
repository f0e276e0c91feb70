//! Moves the ranges of targets whose data centre is evacuated.

use std::time::Instant;

use crate::node::keys::key_load::KeyLoad;
use crate::node::keys::leader::Leader;
use crate::node::keys::leader::candidate_index::CandidateIndex;
use crate::node::keys::leader::range_state::RangeState;
use crate::node::keys::leader::range_state::Stage;
use crate::node::keys::plan::GrantScope;
use crate::node::keys::plan::Placement;

impl Leader {
    /// Starts to move all ranges of targets whose data centre is evacuated, the busiest ones first, so
    /// that they get the targets with the most room. The load of the targets is computed once, since
    /// a large part of all ranges may have to move.
    pub(super) fn move_evacuated(
        &mut self,
        candidates: &CandidateIndex<'_>,
        key_load: &KeyLoad,
        now: Instant,
    ) {
        let is_evacuated = |state: &RangeState| {
            let owner = state.owner.as_ref().and_then(|owner| candidates.get(owner));
            owner.is_some_and(|owner| owner.grants != GrantScope::All)
        };
        let may_move = |state: &RangeState| matches!(state.stage, Stage::Granting | Stage::Held);
        let ranges = self.ranges.iter().enumerate();
        let mut moving: Vec<_> = ranges
            .filter(|(_, state)| may_move(state) && is_evacuated(state))
            .map(|(at, state)| (key_load.rate(state.range), at))
            .collect();
        if moving.is_empty() {
            return;
        }
        moving.sort_by(|a, b| b.0.total_cmp(&a.0));
        let eligible = self.eligible(candidates.all(), now);
        let mut placement = Placement::new(&eligible, &self.owned_ranges(), key_load);
        let mut moves = Vec::with_capacity(moving.len());
        for (load, at) in moving {
            let next = placement.place(load, self.ranges[at].range.len());
            moves.extend(next.map(|holder| (at, holder.clone())));
        }
        for (at, next) in moves {
            self.begin_move(at, next);
        }
    }
}
