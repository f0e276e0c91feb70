//! Plans the assignment of shards to targets: balanced by capacity, with as few moves as possible.

use std::collections::BTreeMap;

use crate::ids::Shard;
use crate::ids::TargetId;

/// Shards move if this lowers the maximum utilisation by at least this much, where the utilisation
/// of a target is its load divided by its share ...
const MIN_PEAK_GAIN: f64 = 0.06;
/// ... or raises the minimum utilisation by at least this much.
const MIN_LOW_GAIN: f64 = 0.15;
/// Once shards are moving, moves continue until the gain is below this fraction of the thresholds.
const CONTINUE_FRACTION: f64 = 0.1;
/// Relative tolerance for rounding errors.
const TOLERANCE: f64 = 1e-9;

/// Whether a plan moves shards that already have an eligible owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RebalanceMode {
    /// Never; only shards without an eligible owner are placed.
    Disabled,
    /// No moves are in progress: moves start if the gain is large enough.
    Start,
    /// Moves are in progress: they continue until the load is balanced.
    Continue,
}

/// A target that may own shards, with its capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSlots {
    /// The target's id.
    pub target: TargetId,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
}

/// A shard with its load and owner, as input of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardLoad {
    /// The shard's number.
    pub shard: Shard,
    /// The load of the shard, in any unit common to all shards.
    pub weight: f64,
    /// The target that owns the shard, or owned it last.
    pub owner: Option<TargetId>,
}

/// One step of a plan: assigns a shard to another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The shard to assign.
    pub shard: Shard,
    /// The new owner.
    pub to: TargetId,
}

/// Places the shards that none of `targets` owns, then rebalances with as few moves as possible if
/// `mode` allows it and the gain is large enough.
///
/// Without targets the plan is empty.
pub fn plan(targets: &[TargetSlots], shards: &[ShardLoad], mode: RebalanceMode) -> Vec<Step> {
    if targets.is_empty() {
        return Vec::new();
    }
    let mut placed = Layout::new(targets, shards);
    placed.place_unassigned();
    let fraction = match mode {
        RebalanceMode::Disabled => return placed.steps(),
        RebalanceMode::Start => 1.0,
        RebalanceMode::Continue => CONTINUE_FRACTION,
    };
    let mut balanced = placed.clone();
    balanced.rebalance();
    let lowers_peak =
        placed.max_utilisation() - balanced.max_utilisation() >= MIN_PEAK_GAIN * fraction;
    let raises_low =
        balanced.min_utilisation() - placed.min_utilisation() >= MIN_LOW_GAIN * fraction;
    let best = if lowers_peak || raises_low {
        balanced
    } else {
        placed
    };
    best.steps()
}

/// Returns the maximum load per slot, divided by the mean load per slot.
pub fn peak_to_mean(targets: &[TargetSlots], shards: &[ShardLoad]) -> f64 {
    Layout::new(targets, shards).max_utilisation()
}

/// An assignment of shards to targets, with the resulting loads.
#[derive(Clone)]
struct Layout<'a> {
    targets: &'a [TargetSlots],
    shards: &'a [ShardLoad],
    /// The index in `targets` of the owner of each shard.
    assigned: Vec<Option<usize>>,
    /// The current load of each target.
    loads: Vec<f64>,
    /// The load of each target if balanced by capacity.
    shares: Vec<f64>,
}

impl<'a> Layout<'a> {
    fn new(targets: &'a [TargetSlots], shards: &'a [ShardLoad]) -> Self {
        let index: BTreeMap<_, _> = targets
            .iter()
            .enumerate()
            .map(|(i, t)| (&t.target, i))
            .collect();
        let assigned: Vec<_> = shards
            .iter()
            .map(|s| s.owner.as_ref().and_then(|o| index.get(o).copied()))
            .collect();
        let mut loads = vec![0.0; targets.len()];
        for (shard, target) in shards.iter().zip(&assigned) {
            if let Some(target) = target {
                loads[*target] += shard.weight;
            }
        }
        let total: f64 = shards.iter().map(|s| s.weight).sum();
        let slots: f64 = targets.iter().map(|t| f64::from(t.slots)).sum();
        let share = |target: &TargetSlots| total * f64::from(target.slots) / slots.max(1.0);
        let shares = targets.iter().map(share).collect();
        Self {
            targets,
            shards,
            assigned,
            loads,
            shares,
        }
    }

    /// Places the shards without a target, highest load first, each on the most underloaded target.
    fn place_unassigned(&mut self) {
        let mut unassigned: Vec<usize> = (0..self.assigned.len())
            .filter(|i| self.assigned[*i].is_none())
            .collect();
        let weight = |i: &usize| self.shards[*i].weight;
        unassigned.sort_by(|a, b| weight(b).total_cmp(&weight(a)));
        for shard in unassigned {
            let target = self.most_underloaded();
            self.assign(shard, target);
        }
    }

    fn rebalance(&mut self) {
        for _ in 0..self.shards.len() {
            let Some((shard, target)) = self.best_move() else {
                return;
            };
            self.assign(shard, target);
        }
    }

    /// Returns the shard whose move to the most underloaded target improves the balance most, and
    /// that target. The shard comes from the most overloaded target that has a suitable one.
    fn best_move(&self) -> Option<(usize, usize)> {
        let to = self.most_underloaded();
        let mut overloaded: Vec<usize> = (0..self.targets.len())
            .filter(|i| self.excess(*i) > 0.0)
            .collect();
        overloaded.sort_by(|a, b| self.excess(*b).total_cmp(&self.excess(*a)));
        let shard = overloaded
            .into_iter()
            .find_map(|from| self.best_shard(from, to))?;
        Some((shard, to))
    }

    /// Returns the shard of target `from` whose move to `to` improves the balance most. The load of
    /// the shard must not exceed the larger of the excess of `from` and the deficit of `to`.
    fn best_shard(&self, from: usize, to: usize) -> Option<usize> {
        let (excess, deficit) = (self.excess(from), -self.excess(to));
        if deficit <= 0.0 {
            return None;
        }
        let weight = |i: usize| self.shards[i].weight;
        let gain = |i: usize| weight(i) * (excess + deficit - weight(i));
        let limit = excess.max(deficit) * (1.0 + TOLERANCE);
        (0..self.assigned.len())
            .filter(|i| self.assigned[*i] == Some(from) && weight(*i) > 0.0 && weight(*i) <= limit)
            .max_by(|a, b| gain(*a).total_cmp(&gain(*b)))
    }

    /// Returns by how much the load of a target exceeds its share; negative if it is below.
    fn excess(&self, target: usize) -> f64 {
        self.loads[target] - self.shares[target]
    }

    fn most_underloaded(&self) -> usize {
        let targets = 0..self.targets.len();
        let order = |a: &usize, b: &usize| self.excess(*a).total_cmp(&self.excess(*b));
        targets.min_by(order).unwrap_or_default()
    }

    fn assign(&mut self, shard: usize, target: usize) {
        let weight = self.shards[shard].weight;
        if let Some(from) = self.assigned[shard].replace(target) {
            self.loads[from] -= weight;
        }
        self.loads[target] += weight;
    }

    fn max_utilisation(&self) -> f64 {
        self.utilisations().fold(0.0, f64::max)
    }

    fn min_utilisation(&self) -> f64 {
        self.utilisations().fold(f64::INFINITY, f64::min)
    }

    /// Returns the load of each target divided by its share.
    fn utilisations(&self) -> impl Iterator<Item = f64> {
        let loads = self.loads.iter().zip(&self.shares);
        loads.map(|(load, share)| load / share.max(f64::MIN_POSITIVE))
    }

    fn steps(&self) -> Vec<Step> {
        let moved = |(shard, target): (&ShardLoad, &Option<usize>)| {
            let target = &self.targets[(*target)?].target;
            (shard.owner.as_ref() != Some(target)).then(|| Step {
                shard: shard.shard,
                to: target.clone(),
            })
        };
        self.shards
            .iter()
            .zip(&self.assigned)
            .filter_map(moved)
            .collect()
    }
}
