//! Planned moves of shards between targets: starts them in batches to even out the load.

use std::time::Duration;
use std::time::Instant;

use crate::events::Event;
use crate::ids::Shard;
use crate::owner::group::Action;
use crate::owner::group::fleet::Contact;
use crate::owner::group::holder::Holder;
use crate::owner::group::placement::PlanInputs;
use crate::owner::group::shared::SharedState;
use crate::owner::hot_keys;
use crate::owner::moves::MOVE_BATCH_PERIOD;
use crate::owner::moves::Purpose;
use crate::owner::moves::RAMP_UP_BATCHES;
use crate::owner::order::ShardFence;
use crate::owner::plan;
use crate::owner::plan::RebalanceMode;
use crate::owner::plan::Step;
use crate::owner::plan::TargetSlots;
use crate::owner::rows::ShardsRow;

/// Hot keys that get or lose their own shard in one round.
const MAX_HOT_KEY_CHANGES: usize = 8;
/// A move starts only if the table answered within this time: a released shard has no owner until
/// the table is written, which normally takes milliseconds.
const MAX_TABLE_AGE_FOR_MOVE: Duration = Duration::from_millis(100);
/// Time for a read of the table before the moves are planned again.
const TABLE_READ_TIME: Duration = Duration::from_millis(10);

impl Holder {
    /// Plans moves and starts the next batch, unless the inputs are those of the last plan.
    pub fn plan_moves(&mut self, shared: &mut SharedState, now: Instant, out: &mut Vec<Action>) {
        if now < self.plan_due {
            return;
        }
        self.plan_due = now + MOVE_BATCH_PERIOD;
        if !self.authority.permits(now, None) || shared.store.failed() || shared.leaving {
            return;
        }
        let eligible = self.eligible_targets(shared, now);
        let changes = self.hot_key_changes(shared, eligible.len());
        let revision = shared.store.rows().map_or(0, |rows| rows.shards_revision);
        let loads = shared.samples.reliable().clone();
        let plan_inputs = PlanInputs {
            eligible,
            revision,
            loads,
        };
        let same = self.plan_inputs.as_ref() == Some(&plan_inputs) && self.moves.is_empty();
        if same && changes.is_empty() {
            return;
        }
        let shards = self.movable_shards(shared, now);
        let mode = self.rebalance_mode(shared);
        let steps = plan::plan(&plan_inputs.eligible, &shards, mode);
        let moves = !changes.is_empty() || !steps.is_empty();
        if moves && !self.table_answered_within(shared, now, MAX_TABLE_AGE_FOR_MOVE) {
            self.plan_due = now + TABLE_READ_TIME;
            return;
        }
        let changed = self.start_hot_key_changes(shared, now, changes);
        let started = changed + self.start_moves(shared, now, &plan_inputs.eligible, steps);
        if started > 0 {
            let details = format!("group={} shards={started}", shared.conf.group);
            out.push(Action::Record(Event::MovesStarted, details));
        }
        self.plan_inputs = (started == 0).then_some(plan_inputs);
    }

    /// Returns how eagerly to move shards. While single-key shards exist and the load is unknown,
    /// no shard moves.
    pub fn rebalance_mode(&self, shared: &SharedState) -> RebalanceMode {
        let hot = shared.shards().is_some_and(|row| !row.hot_keys.is_empty());
        if hot && shared.samples.reliable().total <= 0.0 {
            return RebalanceMode::Disabled;
        }
        match self.plan_inputs {
            Some(_) => RebalanceMode::Start,
            None => RebalanceMode::Continue,
        }
    }

    /// Returns the hashed shards to split a hot key from, and the single-key shards to merge back.
    fn hot_key_changes(&self, shared: &SharedState, targets: usize) -> Vec<(Shard, Purpose)> {
        let Some((_, row)) = shared.rows() else {
            return Vec::new();
        };
        let changes = hot_keys::plan_changes(shared.samples.reliable(), targets, row);
        let split = changes.split.into_iter().filter_map(|hash| {
            let shard = shared.shard_of(hash)?;
            Some((shard, Purpose::Split(hash)))
        });
        let merge = changes
            .merge
            .into_iter()
            .map(|shard| (shard, Purpose::Merge));
        split.chain(merge).collect()
    }

    /// Starts to split off hot keys and to merge back cold ones; returns the number of shards.
    fn start_hot_key_changes(
        &mut self,
        shared: &mut SharedState,
        now: Instant,
        wanted: Vec<(Shard, Purpose)>,
    ) -> usize {
        let Some((_, row)) = shared.rows() else {
            return 0;
        };
        let row = row.clone();
        let mut started = 0;
        for (shard, purpose) in wanted.into_iter().take(MAX_HOT_KEY_CHANGES) {
            started += usize::from(self.start_move(shared, now, &row, shard, purpose));
        }
        started
    }

    /// Starts one move if the shard's owner answers, has confirmed its grant, and no other move of
    /// the shard is in progress. Returns true if it started.
    pub fn start_move(
        &mut self,
        shared: &mut SharedState,
        now: Instant,
        row: &ShardsRow,
        shard: Shard,
        purpose: Purpose,
    ) -> bool {
        let at_rest = self.moves.get(shard).is_none() && !self.ungranted.contains(&shard);
        let Some(from) = row.owner(shard).filter(|_| at_rest) else {
            return false;
        };
        let contact = shared.fleet.contacts.get_mut(&from.target);
        let alive = |c: &&mut Contact| c.is_alive(now) && c.boot == Some(from.boot);
        let Some(contact) = contact.filter(alive) else {
            return false;
        };
        contact.due = now;
        let fence = row.owners[&shard].fence;
        self.moves.start(from, ShardFence { shard, fence }, purpose);
        self.dirty = true;
        true
    }

    /// Starts the planned steps, at most one batch per receiving target; returns the number
    /// started.
    pub fn start_moves(
        &mut self,
        shared: &mut SharedState,
        now: Instant,
        eligible: &[TargetSlots],
        steps: Vec<Step>,
    ) -> usize {
        let Some((_, row)) = shared.rows() else {
            return 0;
        };
        let batch = (row.owners.len() / eligible.len().max(1)).div_ceil(RAMP_UP_BATCHES);
        let row = row.clone();
        let mut started = 0;
        for step in steps {
            if self.moves.count_to(&step.to) < batch {
                let purpose = Purpose::MoveTo(step.to);
                started += usize::from(self.start_move(shared, now, &row, step.shard, purpose));
            }
        }
        started
    }
}
