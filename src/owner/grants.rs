//! The target's side of ownership: the shards that a target process holds and until when.
//!
//! The stand-in target uses this state machine, and it is the reference implementation for other
//! targets.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::BootId;
use crate::ids::Fence;
use crate::ids::GroupId;
use crate::ids::Shard;
use crate::ids::Term;
use crate::owner::order::Order;
use crate::owner::order::OrderReply;
use crate::owner::order::Refusal;
use crate::owner::order::ShardFence;
use crate::owner::order::Stamp;

/// Why a target must not run a keyed request; the response to the caller is "not run".
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotHeld {
    /// The lease expired, or the shard is not granted to this target.
    NoLease,
    /// The request carries another fence than the shard is held with.
    WrongFence {
        /// The fence that the shard is held with.
        held: Fence,
    },
}

/// The grants that one target process holds.
#[derive(Debug)]
pub struct Grants {
    boot: BootId,
    /// Time zero of the stamps.
    epoch: Instant,
    /// Whether orders of terms older than the newest known one are refused.
    checks_term: bool,
    groups: HashMap<GroupId, GroupGrants>,
}

#[derive(Debug, Default)]
struct GroupGrants {
    term: Term,
    held: HashMap<Shard, Fence>,
    expires: Option<Instant>,
    /// The lowest fence that may still be granted, for shards that were released or expired.
    min_fences: HashMap<Shard, Fence>,
    /// When shards were last released; orders with an older stamp are refused.
    last_release: Stamp,
}

impl Grants {
    /// Creates a state without grants; the target's stamps count from `epoch`.
    pub fn new(boot: BootId, epoch: Instant, checks_term: bool) -> Self {
        Self {
            boot,
            epoch,
            checks_term,
            groups: HashMap::new(),
        }
    }

    /// Applies an order. The caller must have finished all requests of the shards that the order
    /// releases.
    pub fn apply(&mut self, now: Instant, order: &Order) -> OrderReply {
        let stamp = self.stamp(now);
        let refused = self.check_order(now, order);
        let group = self.groups.entry(order.group.clone()).or_default();
        group.expire(now);
        let mut released = Vec::new();
        let mut granted = Vec::new();
        let mut denied = Vec::new();
        if refused.is_none() {
            group.term = group.term.max(order.term);
            released = group.release(stamp, &order.release);
            if let Some(echoed) = order.stamp {
                let lease = Duration::from_millis(order.lease_ms);
                group.extend(self.epoch + Duration::from_micros(echoed.0) + lease, now);
                (granted, denied) = group.grant(&order.grant);
            }
        }
        OrderReply {
            boot: self.boot,
            stamp,
            refused,
            released,
            granted,
            denied,
            term: self.checks_term.then_some(group.term),
            held: group.held.len() as u32,
            digest: digest(
                group
                    .held
                    .iter()
                    .map(|(&shard, &fence)| ShardFence { shard, fence }),
            ),
        }
    }

    /// Checks whether a request may run now. Call it again immediately before the request takes
    /// effect, as the lease may have expired in the meantime.
    pub fn check(&mut self, now: Instant, group: &GroupId, at: ShardFence) -> Result<(), NotHeld> {
        let group = self.groups.get_mut(group).ok_or(NotHeld::NoLease)?;
        group.expire(now);
        match group.held.get(&at.shard) {
            None => Err(NotHeld::NoLease),
            Some(&held) if held != at.fence => Err(NotHeld::WrongFence { held }),
            Some(_) => Ok(()),
        }
    }

    /// Returns the shards of a group that are held at `now`, with their fences.
    pub fn held(&mut self, now: Instant, group: &GroupId) -> Vec<ShardFence> {
        let Some(group) = self.groups.get_mut(group) else {
            return Vec::new();
        };
        group.expire(now);
        group
            .held
            .iter()
            .map(|(&shard, &fence)| ShardFence { shard, fence })
            .collect()
    }

    fn stamp(&self, now: Instant) -> Stamp {
        Stamp(now.saturating_duration_since(self.epoch).as_micros() as u64)
    }

    fn check_order(&self, now: Instant, order: &Order) -> Option<Refusal> {
        if order.boot != BootId(0) && order.boot != self.boot {
            return Some(Refusal::WrongBoot);
        }
        let group = self.groups.get(&order.group);
        if self.checks_term && group.is_some_and(|group| order.term < group.term) {
            return Some(Refusal::OldTerm);
        }
        if order.stamp.is_none() && !(order.release.is_empty() && order.grant.is_empty()) {
            return Some(Refusal::OldStamp);
        }
        let stamp = order.stamp?;
        let lease = Duration::from_millis(order.lease_ms);
        let expired = self.epoch + Duration::from_micros(stamp.0) + lease <= now;
        let before_release = group.is_some_and(|group| stamp < group.last_release);
        (expired || before_release || order.boot == BootId(0)).then_some(Refusal::OldStamp)
    }
}

impl GroupGrants {
    fn expire(&mut self, now: Instant) {
        if self.expires.is_some_and(|at| at > now) {
            return;
        }
        self.expires = None;
        for (shard, fence) in self.held.drain() {
            raise_min_fence(&mut self.min_fences, shard, fence);
        }
    }

    fn release(&mut self, stamp: Stamp, shards: &[ShardFence]) -> Vec<ShardFence> {
        if !shards.is_empty() {
            self.last_release = stamp;
        }
        for at in shards {
            raise_min_fence(&mut self.min_fences, at.shard, at.fence.next());
            if self
                .held
                .get(&at.shard)
                .is_some_and(|held| *held <= at.fence)
            {
                self.held.remove(&at.shard);
            }
        }
        shards.to_vec()
    }

    fn extend(&mut self, until: Instant, now: Instant) {
        if until > now && self.expires.is_none_or(|at| at < until) {
            self.expires = Some(until);
        }
    }

    fn grant(&mut self, shards: &[ShardFence]) -> (Vec<ShardFence>, Vec<ShardFence>) {
        shards.iter().partition(|at| {
            let min_fence = self.min_fences.get(&at.shard).copied().unwrap_or_default();
            let held = self.held.get(&at.shard).copied().unwrap_or_default();
            let allowed = at.fence >= min_fence.max(held);
            if allowed {
                self.held.insert(at.shard, at.fence);
            }
            allowed
        })
    }
}

fn raise_min_fence(min_fences: &mut HashMap<Shard, Fence>, shard: Shard, fence: Fence) {
    let min_fence = min_fences.entry(shard).or_default();
    *min_fence = (*min_fence).max(fence);
}

/// Returns a digest of a set of shards with their fences; the order of the items does not matter.
pub fn digest(shards: impl Iterator<Item = ShardFence>) -> u64 {
    shards.fold(0, |digest, at| {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&at.shard.0.to_le_bytes());
        bytes[4..].copy_from_slice(&at.fence.0.to_le_bytes());
        digest ^ xxhash_rust::xxh3::xxh3_64(&bytes)
    })
}
