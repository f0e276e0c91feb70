//! The holder's changes of owners: what is free is placed, what is uneven moves in batches.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::events::Event;
use crate::ids::Shard;
use crate::ids::TargetId;
use crate::owner::group::Action;
use crate::owner::group::base::Base;
use crate::owner::group::base::Pending;
use crate::owner::group::fleet::Contact;
use crate::owner::group::lead::Lead;
use crate::owner::heat;
use crate::owner::loads::Loads;
use crate::owner::message::TargetBoot;
use crate::owner::moves::MOVE_BATCHES;
use crate::owner::moves::MOVE_PERIOD;
use crate::owner::moves::Purpose;
use crate::owner::order::ShardFence;
use crate::owner::plan;
use crate::owner::plan::Pace;
use crate::owner::plan::Piece;
use crate::owner::plan::Seat;
use crate::owner::plan::Step;
use crate::owner::rows::RowOwner;
use crate::owner::rows::ShardsRow;

/// Hot keys that are dealt with at a time.
const CHANGES_AT_ONCE: usize = 8;
const FIRST_ANSWERS: Duration = Duration::from_secs(1);

/// What the last plan was made on; the same again needs no plan.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Planned {
    seats: Vec<Seat>,
    revision: u64,
    loads: Loads,
}

impl Lead {
    /// Places, in one transaction, every shard that nobody can serve any more.
    pub fn settle(&mut self, base: &mut Base, now: Instant, out: &mut Vec<Action>) {
        if base.store.writing() || base.service.is_none() {
            return;
        }
        let free = self.free(base, now);
        if free.is_empty() {
            return;
        }
        let Some(row) = self.place(base, now, &free) else {
            return;
        };
        let fresh = row
            .owners
            .iter()
            .filter(|(_, owner)| owner.fence == row.top);
        let placed: Vec<Shard> = fresh.map(|(shard, _)| *shard).collect();
        let details = format!(
            "group={} shards={} fence={}",
            base.conf.group,
            placed.len(),
            row.top
        );
        out.push(Action::Record(Event::ShardsPlaced, details));
        base.commit(now, Pending::Shards(placed), None, Some(row), out);
    }

    /// Takes that the table holds the new owners.
    pub fn on_placed(&mut self, base: &mut Base, now: Instant, shards: Vec<Shard>) {
        let Some(row) = base.store.rows().and_then(|rows| rows.shards.as_ref()) else {
            return;
        };
        for shard in shards {
            self.denied.remove(&shard);
            let Some(owner) = row.owners.get(&shard) else {
                continue;
            };
            self.ungranted.insert(shard);
            if let Some(contact) = base.fleet.contacts.get_mut(&owner.target) {
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

    /// Begins planned moves, a batch at a time.
    pub fn start_moves(&mut self, base: &mut Base, now: Instant, out: &mut Vec<Action>) {
        if now < self.plan_due {
            return;
        }
        self.plan_due = now + MOVE_PERIOD;
        if !self.right.covers(now, None) || base.store.failed() || base.leaving {
            return;
        }
        let seats = self.seats(base, now);
        let changed = self.open_changes(base, now, seats.len());
        let revision = base.store.rows().map_or(0, |rows| rows.shards_revision);
        let loads = base.samples.known().clone();
        let planned = Planned {
            seats,
            revision,
            loads,
        };
        if self.planned.as_ref() == Some(&planned) && self.moves.is_empty() {
            return;
        }
        let pieces = self.settled_pieces(base, now);
        let pace = self.pace(base);
        let steps = plan::plan(&planned.seats, &pieces, pace);
        let opened = changed + self.open_moves(base, now, &planned.seats, steps);
        if opened > 0 {
            let details = format!("group={} shards={opened}", base.conf.group);
            out.push(Action::Record(Event::MovesStarted, details));
        }
        self.planned = (opened == 0).then_some(planned);
    }

    /// While the load is unknown that single-key shards were made for, what is owned stays.
    fn pace(&self, base: &Base) -> Pace {
        let hot = base.shards().is_some_and(|row| !row.hot_keys.is_empty());
        if hot && base.samples.known().total <= 0.0 {
            return Pace::Held;
        }
        match self.planned {
            Some(_) => Pace::Steady,
            None => Pace::Moving,
        }
    }

    /// Begins to give hot keys shards of their own, and to take them back from cold ones.
    fn open_changes(&mut self, base: &mut Base, now: Instant, targets: usize) -> usize {
        let Some((_, row)) = base.rows() else {
            return 0;
        };
        let changes = heat::changes(base.samples.known(), targets, row);
        let carve = changes.carve.into_iter().filter_map(|hash| {
            let shard = base.shard_of(hash)?;
            Some((shard, Purpose::Carve(hash)))
        });
        let merge = changes
            .merge
            .into_iter()
            .map(|shard| (shard, Purpose::Merge));
        let wanted: Vec<_> = carve.chain(merge).collect();
        let row = row.clone();
        let mut opened = 0;
        for (shard, purpose) in wanted.into_iter().take(CHANGES_AT_ONCE) {
            opened += usize::from(self.open_move(base, now, &row, shard, purpose));
        }
        opened
    }

    /// Begins one move if the shard's owner answers and the shard is at rest.
    fn open_move(
        &mut self,
        base: &mut Base,
        now: Instant,
        row: &ShardsRow,
        shard: Shard,
        purpose: Purpose,
    ) -> bool {
        let at_rest = self.moves.get(shard).is_none() && !self.ungranted.contains(&shard);
        let Some(from) = row.owner(shard).filter(|_| at_rest) else {
            return false;
        };
        let contact = base.fleet.contacts.get_mut(&from.target);
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

    fn open_moves(
        &mut self,
        base: &mut Base,
        now: Instant,
        seats: &[Seat],
        steps: Vec<Step>,
    ) -> usize {
        let Some((_, row)) = base.rows() else {
            return 0;
        };
        let batch = (row.owners.len() / seats.len().max(1)).div_ceil(MOVE_BATCHES);
        let row = row.clone();
        let mut opened = 0;
        for step in steps {
            if self.moves.toward(&step.to) < batch {
                let purpose = Purpose::To(step.to);
                opened += usize::from(self.open_move(base, now, &row, step.shard, purpose));
            }
        }
        opened
    }

    /// Returns the shards that certainly nobody serves.
    fn free(&self, base: &Base, now: Instant) -> BTreeSet<Shard> {
        let mut free = self.denied.clone();
        let Some((_, row)) = base.rows() else {
            return free;
        };
        let released = self.moves.iter().filter(|m| m.released);
        free.extend(released.map(|m| m.at.shard));
        if row.owners.is_empty() {
            free.extend(base.hashed());
        }
        for at in self.bars.keys().filter(|at| self.is_out(base, now, at)) {
            free.extend(row.shards_of(at).iter().map(|held| held.shard));
        }
        free
    }

    /// Returns the owners as they are to be once the free shards are placed.
    fn place(&self, base: &Base, now: Instant, free: &BTreeSet<Shard>) -> Option<ShardsRow> {
        let (_, row) = base.rows()?;
        let seats = self.seats(base, now);
        let waits = |(target, _): &(&TargetId, _)| seats.iter().all(|seat| seat.target != **target);
        let missing = row.owners.is_empty() && base.serving().any(|named| waits(&named));
        if seats.is_empty() || (missing && now < self.since + FIRST_ANSWERS) {
            return None;
        }
        let (mut row, free) = self.reshape(base, row.clone(), free);
        let weights = heat::weights(base.samples.known(), &row);
        let pieces = self.pieces(&row, &free, &weights);
        let steps = plan::plan(&seats, &pieces, Pace::Steady).into_iter();
        let steps: BTreeMap<_, _> = steps.map(|step| (step.shard, step.to)).collect();
        for shard in free {
            let before = row.owners.get(&shard).map(|owner| owner.target.clone());
            let to = self.wanted(&seats, shard);
            let to = to.or_else(|| steps.get(&shard).cloned()).or(before)?;
            let boot = base.fleet.process(&to)?.boot;
            row.boots.insert(to.clone(), boot);
            let fence = row.top;
            row.owners.insert(shard, RowOwner { target: to, fence });
        }
        row.prune();
        Some(row)
    }

    /// Adds and removes the single-key shards whose moves are that far; returns what is to be
    /// placed.
    fn reshape(
        &self,
        base: &Base,
        mut row: ShardsRow,
        free: &BTreeSet<Shard>,
    ) -> (ShardsRow, BTreeSet<Shard>) {
        let mut placed = free.clone();
        row.top = row.top.next();
        let hashed = base
            .service
            .as_ref()
            .and_then(|service| service.keying.as_ref());
        let first = Shard(hashed.map_or(0, |keying| keying.shards));
        for moved in self.moves.iter().filter(|m| m.released) {
            match moved.purpose {
                Purpose::To(_) => {}
                Purpose::Carve(hash) => {
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

    /// Returns where a moving shard is to go, if that target can take it.
    fn wanted(&self, seats: &[Seat], shard: Shard) -> Option<TargetId> {
        match &self.moves.get(shard)?.purpose {
            Purpose::To(to) => seats
                .iter()
                .any(|seat| seat.target == *to)
                .then(|| to.clone()),
            _ => None,
        }
    }

    /// Returns the targets that may be given shards now.
    fn seats(&self, base: &Base, now: Instant) -> Vec<Seat> {
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
    fn fits(&self, base: &Base, now: Instant, at: &TargetBoot) -> bool {
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

    fn pieces(
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
    fn settled_pieces(&self, base: &Base, now: Instant) -> Vec<Piece> {
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

    fn planned_owner(&self, row: &ShardsRow, shard: Shard) -> Option<TargetId> {
        match self.moves.get(shard).map(|m| &m.purpose) {
            Some(Purpose::To(to)) => Some(to.clone()),
            _ => row.owners.get(&shard).map(|owner| owner.target.clone()),
        }
    }
}
