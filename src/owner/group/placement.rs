//! Placement of shards without an owner: assigns them to targets in one table transaction.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::events::Event;
use crate::ids::Shard;
use crate::ids::TargetId;
use crate::owner::group::Action;
use crate::owner::group::holder::Holder;
use crate::owner::group::shared::Pending;
use crate::owner::group::shared::SharedState;
use crate::owner::hot_keys;
use crate::owner::loads::Loads;
use crate::owner::moves::Purpose;
use crate::owner::plan;
use crate::owner::plan::RebalanceMode;
use crate::owner::plan::TargetSlots;
use crate::owner::rows::RowOwner;
use crate::owner::rows::ShardsRow;

/// The first placement waits this long for replies of all targets in service.
const INITIAL_REPLY_WAIT: Duration = Duration::from_secs(1);

/// Inputs of a plan; the planner does not run again while they are equal.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PlanInputs {
    pub eligible: Vec<TargetSlots>,
    pub revision: u64,
    pub loads: Loads,
}

impl Holder {
    /// Places all shards that no target can still serve, in one transaction.
    pub fn place_free_shards(
        &mut self,
        shared: &mut SharedState,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        if shared.store.writing() || shared.service.is_none() {
            return;
        }
        let free = self.free_shards(shared, now);
        if free.is_empty() {
            return;
        }
        let Some(row) = self.assign_free_shards(shared, now, &free) else {
            return;
        };
        let new = row
            .owners
            .iter()
            .filter(|(_, owner)| owner.fence == row.max_fence);
        let placed: Vec<Shard> = new.map(|(shard, _)| *shard).collect();
        let details = format!(
            "group={} shards={} fence={}",
            shared.conf.group,
            placed.len(),
            row.max_fence
        );
        out.push(Action::Record(Event::ShardsPlaced, details));
        shared.commit(now, Pending::Placement(placed), None, Some(row), out);
    }

    /// Handles the success of a placement: the new owners must now confirm their grants.
    pub fn on_placed(&mut self, shared: &mut SharedState, now: Instant, shards: Vec<Shard>) {
        let Some(row) = shared.store.rows().and_then(|rows| rows.shards.as_ref()) else {
            return;
        };
        for shard in shards {
            self.denied.remove(&shard);
            let Some(owner) = row.owners.get(&shard) else {
                continue;
            };
            self.ungranted.insert(shard);
            if let Some(contact) = shared.fleet.contacts.get_mut(&owner.target) {
                contact.due = now;
            }
        }
        self.moves.retain(|m| {
            row.owners
                .get(&m.at.shard)
                .is_some_and(|o| o.fence == m.at.fence)
        });
        self.dirty = true;
    }

    /// Returns the shards that no target can be serving.
    fn free_shards(&self, shared: &SharedState, now: Instant) -> BTreeSet<Shard> {
        let mut free = self.denied.clone();
        let Some((_, row)) = shared.rows() else {
            return free;
        };
        let released = self.moves.iter().filter(|m| m.released);
        free.extend(released.map(|m| m.at.shard));
        if row.owners.len() < shared.hashed_shards.len() + row.hot_keys.len() {
            let new = shared
                .hashed_shards
                .iter()
                .filter(|s| !row.owners.contains_key(s));
            free.extend(new);
        }
        for process in self
            .barred
            .keys()
            .filter(|process| self.has_lost_grants(shared, now, process))
        {
            free.extend(row.shards_of(process).iter().map(|held| held.shard));
        }
        free
    }

    /// Returns the row with new owners for the free shards; `None` while they cannot be placed.
    fn assign_free_shards(
        &self,
        shared: &SharedState,
        now: Instant,
        free: &BTreeSet<Shard>,
    ) -> Option<ShardsRow> {
        let (_, row) = shared.rows()?;
        let eligible = self.eligible_targets(shared, now);
        let is_ineligible = |(target, _): &(&TargetId, _)| {
            eligible
                .iter()
                .all(|candidate| candidate.target != **target)
        };
        let missing = row.owners.is_empty() && shared.serving().any(|named| is_ineligible(&named));
        if eligible.is_empty() || (missing && now < self.since + INITIAL_REPLY_WAIT) {
            return None;
        }
        let (mut row, free) = self.update_single_key_shards(shared, row.clone(), free);
        let weights = hot_keys::shard_weights(shared.samples.reliable(), &row);
        let loads = self.shard_loads(&row, &free, &weights);
        let steps = plan::plan(&eligible, &loads, RebalanceMode::Start).into_iter();
        let steps: BTreeMap<_, _> = steps.map(|step| (step.shard, step.to)).collect();
        for shard in free {
            let before = row.owners.get(&shard).map(|owner| owner.target.clone());
            let to = self.move_destination(&eligible, shard);
            let to = to.or_else(|| steps.get(&shard).cloned()).or(before)?;
            let boot = shared.fleet.current_process(&to)?.boot;
            row.boots.insert(to.clone(), boot);
            let fence = row.max_fence;
            row.owners.insert(shard, RowOwner { target: to, fence });
        }
        row.prune();
        Some(row)
    }

    /// Adds shards for hot keys whose hashed shard was released, and removes released single-key
    /// shards of cold keys. Returns the row and the shards to place.
    fn update_single_key_shards(
        &self,
        shared: &SharedState,
        mut row: ShardsRow,
        free: &BTreeSet<Shard>,
    ) -> (ShardsRow, BTreeSet<Shard>) {
        let mut placed = free.clone();
        row.max_fence = row.max_fence.next();
        let hashed = shared
            .service
            .as_ref()
            .and_then(|service| service.keying.as_ref());
        let first = Shard(hashed.map_or(0, |keying| keying.shards));
        for moved in self.moves.iter().filter(|m| m.released) {
            match moved.purpose {
                Purpose::MoveTo(_) => {}
                Purpose::Split(hash) => {
                    let shard = row.next_shard.max(first);
                    row.next_shard = shard.next();
                    row.hot_keys.insert(hash, shard);
                    placed.insert(shard);
                }
                Purpose::Merge => {
                    row.owners.remove(&moved.at.shard);
                    row.hot_keys.retain(|_, shard| *shard != moved.at.shard);
                    placed.remove(&moved.at.shard);
                }
            }
        }
        (row, placed)
    }

    /// Returns the destination of a moving shard if that target is eligible.
    fn move_destination(&self, eligible: &[TargetSlots], shard: Shard) -> Option<TargetId> {
        match &self.moves.get(shard)?.purpose {
            Purpose::MoveTo(to) => eligible
                .iter()
                .any(|candidate| candidate.target == *to)
                .then(|| to.clone()),
            _ => None,
        }
    }
}
