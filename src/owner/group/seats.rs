//! What the plan is made on: the targets that may be given shards, and the shards.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use crate::ids::Shard;
use crate::ids::TargetId;
use crate::owner::group::base::Base;
use crate::owner::group::lead::Lead;
use crate::owner::heat;
use crate::owner::message::TargetBoot;
use crate::owner::moves::Purpose;
use crate::owner::plan::Piece;
use crate::owner::plan::Seat;
use crate::owner::rows::ShardsRow;

impl Lead {
    /// Returns the targets that may be given shards now.
    pub fn seats(&self, base: &Base, now: Instant) -> Vec<Seat> {
        let usable = |target: &TargetId| {
            let alive = base
                .fleet
                .contacts
                .get(target)
                .is_some_and(|c| c.is_alive(now));
            alive
                && base
                    .fleet
                    .process(target)
                    .is_some_and(|at| self.fits(base, now, &at))
        };
        let serving = base.serving().filter(|(target, _)| usable(target));
        serving
            .map(|(target, named)| Seat {
                target: target.clone(),
                slots: named.slots.max(1).into(),
            })
            .collect()
    }

    /// A target's process fits when no earlier process of the target may still serve.
    pub fn fits(&self, base: &Base, now: Instant, at: &TargetBoot) -> bool {
        let Some(boot) = base
            .shards()
            .and_then(|row| row.boots.get(&at.target).copied())
        else {
            return true;
        };
        let earlier = TargetBoot {
            target: at.target.clone(),
            boot,
        };
        boot == at.boot || self.is_out(base, now, &earlier)
    }

    pub fn pieces(
        &self,
        row: &ShardsRow,
        free: &BTreeSet<Shard>,
        weights: &BTreeMap<Shard, f64>,
    ) -> Vec<Piece> {
        let shards: BTreeSet<_> = row.owners.keys().chain(free).copied().collect();
        let piece = |shard: Shard| Piece {
            shard,
            weight: weights.get(&shard).copied().unwrap_or(1.0),
            owner: self.planned_owner(row, shard),
        };
        shards.into_iter().map(piece).collect()
    }

    /// Returns the pieces whose owner answers; the others wait for their owner's end.
    pub fn settled_pieces(&self, base: &Base, now: Instant) -> Vec<Piece> {
        let Some((_, row)) = base.rows() else {
            return Vec::new();
        };
        let weights = heat::weights(base.samples.known(), row);
        let mut pieces = self.pieces(row, &BTreeSet::new(), &weights);
        let alive = |piece: &Piece| {
            let owner = row.owner(piece.shard);
            let contact = owner
                .as_ref()
                .and_then(|at| base.fleet.contacts.get(&at.target));
            contact.is_some_and(|c| c.is_alive(now) && c.boot == owner.map(|at| at.boot))
        };
        pieces.retain(alive);
        pieces
    }

    pub fn planned_owner(&self, row: &ShardsRow, shard: Shard) -> Option<TargetId> {
        match self.moves.get(shard).map(|m| &m.purpose) {
            Some(Purpose::To(to)) => Some(to.clone()),
            _ => row.owners.get(&shard).map(|owner| owner.target.clone()),
        }
    }
}
