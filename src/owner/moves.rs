//! Moves in progress: the owner of a shard releases it before another target is granted it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Shard;
use crate::ids::TargetId;
use crate::owner::message::TargetBoot;
use crate::owner::order::ShardFence;

/// Interval between two batches of moves.
pub const MOVE_BATCH_PERIOD: Duration = Duration::from_millis(250);
/// Number of batches in which a target receives its full share of shards, so that a cold target
/// does not receive its full load at once.
pub const RAMP_UP_BATCHES: usize = 16;

/// The reason why a shard is released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// This target will own the shard.
    MoveTo(TargetId),
    /// The key with this hash is split off into a single-key shard.
    Split(u64),
    /// The key of a single-key shard is no longer hot; the shard is merged into its hashed shard.
    Merge,
}

/// The move of one shard.
#[derive(Clone, Debug)]
pub struct Move {
    /// The current owner, which must release the shard.
    pub from: TargetBoot,
    /// The shard to release, with the fence that the owner holds it with.
    pub at: ShardFence,
    /// The reason of the move.
    pub purpose: Purpose,
    /// Whether the owner has confirmed the release.
    pub released: bool,
}

/// The moves in progress, by shard.
#[derive(Clone, Debug, Default)]
pub struct Moves {
    by_shard: BTreeMap<Shard, Move>,
}

impl Moves {
    /// Starts to move a shard. Does nothing if a move of the shard is in progress.
    pub fn start(&mut self, from: TargetBoot, at: ShardFence, purpose: Purpose) {
        self.by_shard.entry(at.shard).or_insert(Move {
            from,
            at,
            purpose,
            released: false,
        });
    }

    /// Records a target's confirmation. Returns true if it completes the release of any shard.
    pub fn record_release(&mut self, from: &TargetBoot, shards: &[ShardFence]) -> bool {
        let mut any = false;
        for at in shards {
            let found = self.by_shard.get_mut(&at.shard);
            let matches = |m: &&mut Move| m.from == *from && m.at == *at && !m.released;
            if let Some(found) = found.filter(matches) {
                found.released = true;
                any = true;
            }
        }
        any
    }

    /// Returns the shards that a target process has not released yet.
    pub fn pending_releases(&self, from: &TargetBoot) -> Vec<ShardFence> {
        let pending = self
            .by_shard
            .values()
            .filter(|m| m.from == *from && !m.released);
        pending.map(|m| m.at).collect()
    }

    /// Returns the move of a shard, if one is in progress.
    pub fn get(&self, shard: Shard) -> Option<&Move> {
        self.by_shard.get(&shard)
    }

    /// Returns the number of moves to a target.
    pub fn count_to(&self, target: &TargetId) -> usize {
        let to = |m: &&Move| matches!(&m.purpose, Purpose::MoveTo(to) if to == target);
        self.by_shard.values().filter(to).count()
    }

    /// Returns the moves in progress, ordered by shard.
    pub fn iter(&self) -> impl Iterator<Item = &Move> {
        self.by_shard.values()
    }

    /// Removes the moves for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Move) -> bool) {
        self.by_shard.retain(|_, m| keep(m));
    }

    /// Returns the number of moves in progress.
    pub fn len(&self) -> usize {
        self.by_shard.len()
    }

    /// Returns true if no move is in progress.
    pub fn is_empty(&self) -> bool {
        self.by_shard.is_empty()
    }
}
