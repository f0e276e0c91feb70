//! The plan_inputs moves of the holder, a batch at a time.

use std::time::Duration;
use std::time::Instant;

use crate::events::Event;
use crate::ids::Shard;
use crate::owner::group::Action;
use crate::owner::group::fleet::Contact;
use crate::owner::group::holder::Holder;
use crate::owner::group::placement::PlanInputs;
use crate::owner::group::shared::SharedState;
use crate::owner::heat;
use crate::owner::moves::MOVE_BATCHES;
use crate::owner::moves::MOVE_PERIOD;
use crate::owner::moves::Purpose;
use crate::owner::order::ShardFence;
use crate::owner::plan;
use crate::owner::plan::Pace;
use crate::owner::plan::Seat;
use crate::owner::plan::Step;
use crate::owner::rows::ShardsRow;

/// Hot keys that are dealt with at a time.
const MAX_HOT_KEY_CHANGES: usize = 8;
/// The table answered within this time before a move begins: what an owner has released waits for
/// the table, which answers within milliseconds.
const MAX_TABLE_AGE_FOR_MOVE: Duration = Duration::from_millis(100);
/// How long the table is given to answer before a move is looked at again.
const TABLE_READ_TIME: Duration = Duration::from_millis(10);

impl Holder {
    /// Begins plan_inputs moves, a batch at a time.
    pub fn plan_moves(&mut self, shared: &mut SharedState, now: Instant, out: &mut Vec<Action>) {
        if now < self.plan_due {
            return;
        }
        self.plan_due = now + MOVE_PERIOD;
        if !self.right.covers(now, None) || shared.store.failed() || shared.leaving {
            return;
        }
        let seats = self.eligible_targets(shared, now);
        let changes = self.hot_key_changes(shared, seats.len());
        let revision = shared.store.rows().map_or(0, |rows| rows.shards_revision);
        let loads = shared.samples.known().clone();
        let plan_inputs = PlanInputs {
            seats,
            revision,
            loads,
        };
        let same = self.plan_inputs.as_ref() == Some(&plan_inputs) && self.moves.is_empty();
        if same && changes.is_empty() {
            return;
        }
        let pieces = self.movable_pieces(shared, now);
        let pace = self.pace(shared);
        let steps = plan::plan(&plan_inputs.seats, &pieces, pace);
        let moves = !changes.is_empty() || !steps.is_empty();
        if moves && !self.table_answered_within(shared, now, MAX_TABLE_AGE_FOR_MOVE) {
            self.plan_due = now + TABLE_READ_TIME;
            return;
        }
        let changed = self.start_hot_key_changes(shared, now, changes);
        let started = changed + self.start_moves(shared, now, &plan_inputs.seats, steps);
        if started > 0 {
            let details = format!("group={} shards={started}", shared.conf.group);
            out.push(Action::Record(Event::MovesStarted, details));
        }
        self.plan_inputs = (started == 0).then_some(plan_inputs);
    }

    /// While the load is unknown that single-key shards were made for, what is owned stays.
    pub fn pace(&self, shared: &SharedState) -> Pace {
        let hot = shared.shards().is_some_and(|row| !row.hot_keys.is_empty());
        if hot && shared.samples.known().total <= 0.0 {
            return Pace::Held;
        }
        match self.plan_inputs {
            Some(_) => Pace::Steady,
            None => Pace::Moving,
        }
    }

    /// Returns the hot keys that are to get shards of their own, and the cold ones that are to lose
    /// them.
    fn hot_key_changes(&self, shared: &SharedState, targets: usize) -> Vec<(Shard, Purpose)> {
        let Some((_, row)) = shared.rows() else {
            return Vec::new();
        };
        let changes = heat::changes(shared.samples.known(), targets, row);
        let carve = changes.carve.into_iter().filter_map(|hash| {
            let shard = shared.shard_of(hash)?;
            Some((shard, Purpose::Carve(hash)))
        });
        let merge = changes
            .merge
            .into_iter()
            .map(|shard| (shard, Purpose::Merge));
        carve.chain(merge).collect()
    }

    /// Begins to give hot keys shards of their own, and to take them back from cold ones.
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

    /// Begins one move if the shard's owner answers and the shard is at rest.
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
        self.moves.open(from, ShardFence { shard, fence }, purpose);
        self.dirty = true;
        true
    }

    pub fn start_moves(
        &mut self,
        shared: &mut SharedState,
        now: Instant,
        seats: &[Seat],
        steps: Vec<Step>,
    ) -> usize {
        let Some((_, row)) = shared.rows() else {
            return 0;
        };
        let batch = (row.owners.len() / seats.len().max(1)).div_ceil(MOVE_BATCHES);
        let row = row.clone();
        let mut started = 0;
        for step in steps {
            if self.moves.toward(&step.to) < batch {
                let purpose = Purpose::To(step.to);
                started += usize::from(self.start_move(shared, now, &row, step.shard, purpose));
            }
        }
        started
    }
}
