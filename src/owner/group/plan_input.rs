//! Inputs of the shard planner: the eligible targets, and the shards with their load and owner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use crate::ids::Shard;
use crate::ids::TargetId;
use crate::owner::group::holder::Holder;
use crate::owner::group::shared::SharedState;
use crate::owner::hot_keys;
use crate::owner::message::TargetBoot;
use crate::owner::moves::Purpose;
use crate::owner::plan::ShardLoad;
use crate::owner::plan::TargetSlots;
use crate::owner::rows::ShardsRow;

impl Holder {
    /// Returns the serving targets that answer and may be given shards now.
    pub fn eligible_targets(&self, shared: &SharedState, now: Instant) -> Vec<TargetSlots> {
        let usable = |target: &TargetId| {
            let alive = shared
                .fleet
                .contacts
                .get(target)
                .is_some_and(|c| c.is_alive(now));
            alive
                && shared
                    .fleet
                    .current_process(target)
                    .is_some_and(|process| self.is_eligible(shared, now, &process))
        };
        let serving = shared.serving().filter(|(target, _)| usable(target));
        serving
            .map(|(target, named)| TargetSlots {
                target: target.clone(),
                slots: named.slots.max(1).into(),
            })
            .collect()
    }

    /// Returns true if no earlier process of the target can still hold grants.
    pub fn is_eligible(&self, shared: &SharedState, now: Instant, process: &TargetBoot) -> bool {
        let Some(boot) = shared
            .shards()
            .and_then(|row| row.boots.get(&process.target).copied())
        else {
            return true;
        };
        let earlier = TargetBoot {
            target: process.target.clone(),
            boot,
        };
        boot == process.boot || self.has_lost_grants(shared, now, &earlier)
    }

    /// Returns all shards of the row and of `free`, with their weights and planned owners.
    pub fn shard_loads(
        &self,
        row: &ShardsRow,
        free: &BTreeSet<Shard>,
        weights: &BTreeMap<Shard, f64>,
    ) -> Vec<ShardLoad> {
        let shards: BTreeSet<_> = row.owners.keys().chain(free).copied().collect();
        let load = |shard: Shard| ShardLoad {
            shard,
            weight: weights.get(&shard).copied().unwrap_or(1.0),
            owner: self.planned_owner(row, shard),
        };
        shards.into_iter().map(load).collect()
    }

    /// Returns the shards whose owner answers. The others are placed once their owner's grants have
    /// expired.
    pub fn movable_shards(&self, shared: &SharedState, now: Instant) -> Vec<ShardLoad> {
        let Some((_, row)) = shared.rows() else {
            return Vec::new();
        };
        let weights = hot_keys::shard_weights(shared.samples.reliable(), row);
        let mut loads = self.shard_loads(row, &BTreeSet::new(), &weights);
        let alive = |load: &ShardLoad| {
            let owner = row.owner(load.shard);
            let contact = owner
                .as_ref()
                .and_then(|process| shared.fleet.contacts.get(&process.target));
            contact.is_some_and(|c| c.is_alive(now) && c.boot == owner.map(|process| process.boot))
        };
        loads.retain(alive);
        loads
    }

    /// Returns the target that a shard moves to, or else its owner.
    pub fn planned_owner(&self, row: &ShardsRow, shard: Shard) -> Option<TargetId> {
        match self.moves.get(shard).map(|m| &m.purpose) {
            Some(Purpose::MoveTo(to)) => Some(to.clone()),
            _ => row.owners.get(&shard).map(|owner| owner.target.clone()),
        }
    }
}
