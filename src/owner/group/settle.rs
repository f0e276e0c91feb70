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
use crate::owner::group::lead::Lead;
use crate::owner::message::TargetBoot;
use crate::owner::moves::MOVE_BATCHES;
use crate::owner::moves::MOVE_PERIOD;
use crate::owner::moves::Purpose;
use crate::owner::order::ShardFence;
use crate::owner::plan;
use crate::owner::plan::Piece;
use crate::owner::plan::Seat;
use crate::owner::plan::Step;
use crate::owner::rows::RowOwner;
use crate::owner::rows::ShardsRow;

const FIRST_ANSWERS: Duration = Duration::from_secs(1);

/// What the last plan was made on; the same again needs no plan.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Planned {
    seats: Vec<Seat>,
    revision: u64,
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
        let placed: Vec<Shard> = free.into_iter().collect();
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
        let revision = base.store.rows().map_or(0, |rows| rows.shards_revision);
        let planned = Planned { seats, revision };
        if self.planned.as_ref() == Some(&planned) && self.moves.is_empty() {
            return;
        }
        let pieces = self.settled_pieces(base, now);
        let steps = plan::plan(&planned.seats, &pieces);
        let opened = self.open_moves(base, now, &planned.seats, steps);
        if opened > 0 {
            let details = format!("group={} shards={opened}", base.conf.group);
            out.push(Action::Record(Event::MovesStarted, details));
        }
        self.planned = (opened == 0).then_some(planned);
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
        let mut opened = 0;
        let mut due = BTreeSet::new();
        for step in steps {
            let Some(from) = row.owner(step.shard) else {
                continue;
            };
            if self.moves.toward(&step.to) >= batch || self.ungranted.contains(&step.shard) {
                continue;
            }
            let at = ShardFence {
                shard: step.shard,
                fence: row.owners[&step.shard].fence,
            };
            due.insert(from.target.clone());
            self.moves.open(from, at, Purpose::To(step.to));
            opened += 1;
        }
        for target in due {
            if let Some(contact) = base.fleet.contacts.get_mut(&target) {
                contact.due = now;
            }
        }
        self.dirty |= opened > 0;
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
        let pieces = self.pieces(base, free);
        let steps = plan::plan(&seats, &pieces);
        let steps: BTreeMap<_, _> = steps
            .into_iter()
            .map(|step| (step.shard, step.to))
            .collect();
        let mut row = row.clone();
        row.top = row.top.next();
        for shard in free {
            let before = row.owners.get(shard).map(|owner| owner.target.clone());
            let to = self
                .wanted(&seats, *shard)
                .or_else(|| steps.get(shard).cloned())
                .or(before)?;
            let boot = base.fleet.process(&to)?.boot;
            row.boots.insert(to.clone(), boot);
            row.owners.insert(
                *shard,
                RowOwner {
                    target: to,
                    fence: row.top,
                },
            );
        }
        row.prune();
        Some(row)
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

    fn pieces(&self, base: &Base, free: &BTreeSet<Shard>) -> Vec<Piece> {
        let Some((_, row)) = base.rows() else {
            return Vec::new();
        };
        let shards: BTreeSet<_> = row.owners.keys().chain(free).copied().collect();
        let piece = |shard: Shard| Piece {
            shard,
            weight: 1.0,
            owner: self.planned_owner(row, shard),
        };
        shards.into_iter().map(piece).collect()
    }

    /// Returns the pieces whose owner answers; the others wait for their owner's end.
    fn settled_pieces(&self, base: &Base, now: Instant) -> Vec<Piece> {
        let mut pieces = self.pieces(base, &BTreeSet::new());
        let Some((_, row)) = base.rows() else {
            return pieces;
        };
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
