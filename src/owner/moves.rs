//! Planned moves: the old owner releases a shard before another is granted it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Shard;
use crate::ids::TargetId;
use crate::owner::message::TargetBoot;
use crate::owner::order::ShardFence;

/// Time between two batches of moves.
pub const MOVE_BATCH_PERIOD: Duration = Duration::from_millis(250);
/// A target takes its whole share in this many batches, since it starts cold.
pub const RAMP_UP_BATCHES: usize = 16;

/// What a shard is released for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Another target is to own the shard.
    MoveTo(TargetId),
    /// A hot key leaves the hashed shard and becomes a shard of its own.
    Split(u64),
    /// A key cooled down: its shard goes back into the hashed one.
    Merge,
}

/// One shard on its way.
#[derive(Clone, Debug)]
pub struct Move {
    /// The owner that is to release the shard.
    pub from: TargetBoot,
    /// The shard and the fence to release.
    pub at: ShardFence,
    /// What the shard is released for.
    pub purpose: Purpose,
    /// Whether the owner confirmed the release.
    pub released: bool,
}

/// The shards on their way.
#[derive(Clone, Debug, Default)]
pub struct Moves {
    open: BTreeMap<Shard, Move>,
}

impl Moves {
    /// Starts to move a shard, unless it moves already.
    pub fn start(&mut self, from: TargetBoot, at: ShardFence, purpose: Purpose) {
        self.open.entry(at.shard).or_insert(Move {
            from,
            at,
            purpose,
            released: false,
        });
    }

    /// Takes a target's confirmation; returns whether it completes a release.
    pub fn record_release(&mut self, from: &TargetBoot, shards: &[ShardFence]) -> bool {
        let mut any = false;
        for at in shards {
            let known = self.open.get_mut(&at.shard);
            let fits = |m: &&mut Move| m.from == *from && m.at == *at && !m.released;
            if let Some(open) = known.filter(fits) {
                open.released = true;
                any = true;
            }
        }
        any
    }

    /// Returns what a target's process is still to release.
    pub fn pending_releases(&self, from: &TargetBoot) -> Vec<ShardFence> {
        let pending = self
            .open
            .values()
            .filter(|m| m.from == *from && !m.released);
        pending.map(|m| m.at).collect()
    }

    /// Returns the move of a shard.
    pub fn get(&self, shard: Shard) -> Option<&Move> {
        self.open.get(&shard)
    }

    /// Returns the number of shards on their way to a target.
    pub fn count_to(&self, target: &TargetId) -> usize {
        let to = |m: &&Move| matches!(&m.purpose, Purpose::MoveTo(to) if to == target);
        self.open.values().filter(to).count()
    }

    /// Returns all moves.
    pub fn iter(&self) -> impl Iterator<Item = &Move> {
        self.open.values()
    }

    /// Forgets the moves of shards that are not owned as the move began.
    pub fn retain(&mut self, owned: impl Fn(&Move) -> bool) {
        self.open.retain(|_, m| owned(m));
    }

    /// Returns the number of moves.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Returns whether no shard moves.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
