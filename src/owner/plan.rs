//! Which target each shard belongs to: balanced by capacity with the fewest moves.

use std::collections::BTreeMap;

use crate::ids::Shard;
use crate::ids::TargetId;

/// Moves are worth it when they lower the peak by this part of a target's share ...
const PEAK_GAIN: f64 = 0.06;
/// ... or fill up the emptiest target by this part.
const LOW_GAIN: f64 = 0.15;
/// Once moves go on, they go on until the gain is below this part of those.
const MOVING_PART: f64 = 0.1;
const ROUNDING: f64 = 1e-9;

/// Whether shards move already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RebalanceMode {
    /// Only what no seat owns is placed.
    Disabled,
    /// Nothing moves; small gains are left alone.
    Start,
    /// Moves are going on; they end when the load is even.
    Continue,
}

/// A target that may own shards.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSlots {
    /// The target.
    pub target: TargetId,
    /// Requests that the target runs at a time.
    pub slots: u32,
}

/// One shard as the plan sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardLoad {
    /// The shard.
    pub shard: Shard,
    /// Its part of the load, in any unit.
    pub weight: f64,
    /// The target that has it, or had it last.
    pub owner: Option<TargetId>,
}

/// One shard's new target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The shard.
    pub shard: Shard,
    /// The target that is to own it.
    pub to: TargetId,
}

/// Places the pieces that no seat owns, then evens out, with the fewest moves, where that gains
/// enough.
///
/// Without seats nothing can be placed and the plan is empty.
pub fn plan(seats: &[TargetSlots], pieces: &[ShardLoad], pace: RebalanceMode) -> Vec<Step> {
    if seats.is_empty() {
        return Vec::new();
    }
    let mut placed = Table::new(seats, pieces);
    placed.place();
    let part = match pace {
        RebalanceMode::Disabled => return placed.steps(),
        RebalanceMode::Start => 1.0,
        RebalanceMode::Continue => MOVING_PART,
    };
    let mut even = placed.clone();
    even.even_out();
    let lower = placed.peak() - even.peak() >= PEAK_GAIN * part;
    let fuller = even.low() - placed.low() >= LOW_GAIN * part;
    let best = if lower || fuller { even } else { placed };
    best.steps()
}

/// Returns the peak over the mean of the load per slot.
pub fn peak_to_mean(seats: &[TargetSlots], pieces: &[ShardLoad]) -> f64 {
    Table::new(seats, pieces).peak()
}

#[derive(Clone)]
struct Table<'a> {
    seats: &'a [TargetSlots],
    pieces: &'a [ShardLoad],
    /// The seat of each piece.
    at: Vec<Option<usize>>,
    /// The load of each seat.
    loads: Vec<f64>,
    /// The load that each seat should have.
    shares: Vec<f64>,
}

impl<'a> Table<'a> {
    fn new(seats: &'a [TargetSlots], pieces: &'a [ShardLoad]) -> Self {
        let index: BTreeMap<_, _> = seats
            .iter()
            .enumerate()
            .map(|(i, s)| (&s.target, i))
            .collect();
        let at: Vec<_> = pieces
            .iter()
            .map(|p| p.owner.as_ref().and_then(|o| index.get(o).copied()))
            .collect();
        let mut loads = vec![0.0; seats.len()];
        for (piece, seat) in pieces.iter().zip(&at) {
            if let Some(seat) = seat {
                loads[*seat] += piece.weight;
            }
        }
        let total: f64 = pieces.iter().map(|p| p.weight).sum();
        let slots: f64 = seats.iter().map(|s| f64::from(s.slots)).sum();
        let share = |seat: &TargetSlots| total * f64::from(seat.slots) / slots.max(1.0);
        let shares = seats.iter().map(share).collect();
        Self {
            seats,
            pieces,
            at,
            loads,
            shares,
        }
    }

    /// Places what has no seat, heaviest first, each where most is lacking.
    fn place(&mut self) {
        let mut free: Vec<usize> = (0..self.at.len())
            .filter(|i| self.at[*i].is_none())
            .collect();
        let weight = |i: &usize| self.pieces[*i].weight;
        free.sort_by(|a, b| weight(b).total_cmp(&weight(a)));
        for piece in free {
            let seat = self.poorest();
            self.put(piece, seat);
        }
    }

    fn even_out(&mut self) {
        for _ in 0..self.pieces.len() {
            let Some((piece, seat)) = self.best_move() else {
                return;
            };
            self.put(piece, seat);
        }
    }

    /// Returns the piece whose move to the poorest seat evens out most.
    fn best_move(&self) -> Option<(usize, usize)> {
        let to = self.poorest();
        let mut rich: Vec<usize> = (0..self.seats.len())
            .filter(|i| self.excess(*i) > 0.0)
            .collect();
        rich.sort_by(|a, b| self.excess(*b).total_cmp(&self.excess(*a)));
        let piece = rich
            .into_iter()
            .find_map(|from| self.best_piece(from, to))?;
        Some((piece, to))
    }

    /// A piece is worth moving when it is no heavier than what one side has too much or lacks.
    fn best_piece(&self, from: usize, to: usize) -> Option<usize> {
        let (over, under) = (self.excess(from), -self.excess(to));
        if under <= 0.0 {
            return None;
        }
        let weight = |i: usize| self.pieces[i].weight;
        let gain = |i: usize| weight(i) * (over + under - weight(i));
        let limit = over.max(under) * (1.0 + ROUNDING);
        (0..self.at.len())
            .filter(|i| self.at[*i] == Some(from) && weight(*i) > 0.0 && weight(*i) <= limit)
            .max_by(|a, b| gain(*a).total_cmp(&gain(*b)))
    }

    fn excess(&self, seat: usize) -> f64 {
        self.loads[seat] - self.shares[seat]
    }

    fn poorest(&self) -> usize {
        let seats = 0..self.seats.len();
        let order = |a: &usize, b: &usize| self.excess(*a).total_cmp(&self.excess(*b));
        seats.min_by(order).unwrap_or_default()
    }

    fn put(&mut self, piece: usize, seat: usize) {
        let weight = self.pieces[piece].weight;
        if let Some(from) = self.at[piece].replace(seat) {
            self.loads[from] -= weight;
        }
        self.loads[seat] += weight;
    }

    fn peak(&self) -> f64 {
        self.ratios().fold(0.0, f64::max)
    }

    fn low(&self) -> f64 {
        self.ratios().fold(f64::INFINITY, f64::min)
    }

    /// Returns the load of each seat as a part of its share.
    fn ratios(&self) -> impl Iterator<Item = f64> {
        let parts = self.loads.iter().zip(&self.shares);
        parts.map(|(load, share)| load / share.max(f64::MIN_POSITIVE))
    }

    fn steps(&self) -> Vec<Step> {
        let moved = |(piece, at): (&ShardLoad, &Option<usize>)| {
            let target = &self.seats[(*at)?].target;
            (piece.owner.as_ref() != Some(target)).then(|| Step {
                shard: piece.shard,
                to: target.clone(),
            })
        };
        self.pieces.iter().zip(&self.at).filter_map(moved).collect()
    }
}
