//! Publication of the assignment: the owners to which entries may send requests now.

use std::time::Instant;

use crate::ids::BootId;
use crate::ids::Shard;
use crate::ids::Term;
use crate::ids::Version;
use crate::owner::assignment::Assignment;
use crate::owner::assignment::Owner;
use crate::owner::grants;
use crate::owner::group::Action;
use crate::owner::group::holder::Holder;
use crate::owner::group::shared::SharedState;
use crate::owner::message::TargetBoot;
use crate::owner::order::OrderReply;
use crate::owner::rows::RowOwner;
use crate::owner::rows::ShardsRow;
use crate::view::ViewChange;

/// The upper 32 bits of an assignment's version are the term.
const TERM_SHIFT: u32 = 32;

/// Count and digest of the grants that a target's process should hold by the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ExpectedGrants {
    pub boot: BootId,
    held: u32,
    digest: u64,
}

impl ExpectedGrants {
    fn new(row: &ShardsRow, process: &TargetBoot) -> Self {
        let shards = row.shards_of(process);
        Self {
            boot: process.boot,
            held: shards.len() as u32,
            digest: grants::digest(shards.into_iter()),
        }
    }

    /// Returns true if the reply reports other grants.
    pub fn differs(&self, reply: &OrderReply) -> bool {
        reply.held != self.held || reply.digest != self.digest
    }
}

impl Holder {
    /// Publishes the changes since the last publication.
    pub fn publish_changes(&mut self, shared: &SharedState, _now: Instant, out: &mut Vec<Action>) {
        if !std::mem::take(&mut self.dirty) {
            return;
        }
        let Some((_, row)) = shared.rows() else {
            self.dirty = true;
            return;
        };
        let boots = row.boots.iter().map(|(target, &boot)| TargetBoot {
            target: target.clone(),
            boot,
        });
        self.expected_grants = boots
            .map(|process| (process.target.clone(), ExpectedGrants::new(row, &process)))
            .collect();
        let mut next = Assignment::empty(shared.conf.group.clone());
        next.owners = row
            .owners
            .iter()
            .map(|(&shard, owner)| (shard, self.published_owner(row, shard, owner)))
            .collect();
        next.hot_keys = row.hot_keys.clone();
        self.unowned = next
            .owners
            .values()
            .filter(|owner| owner.target.is_none())
            .count();
        self.publish(shared.term(), next, out);
    }

    /// Returns the owner to publish: without a target while the owner is barred, has not confirmed
    /// the grant, or the shard moves.
    fn published_owner(&self, row: &ShardsRow, shard: Shard, owner: &RowOwner) -> Owner {
        let barred = row
            .owner(shard)
            .is_none_or(|process| self.barred.contains_key(&process));
        let hidden = barred || self.ungranted.contains(&shard) || self.moves.get(shard).is_some();
        Owner {
            target: (!hidden).then(|| owner.target.clone()),
            fence: owner.fence,
        }
    }

    fn publish(&mut self, term: Term, mut next: Assignment, out: &mut Vec<Action>) {
        if next.owners.is_empty() {
            return;
        }
        let first = Version(term.0 << TERM_SHIFT);
        let Some(published) = &self.published else {
            next.version = first.next();
            self.published = Some(next.clone());
            out.push(Action::Publish(ViewChange::Group(next)));
            return;
        };
        if published.owners == next.owners && published.hot_keys == next.hot_keys {
            return;
        }
        next.version = published.version.max(first).next();
        let delta = published.delta_to(&next);
        self.published = Some(next);
        out.push(Action::Publish(ViewChange::Delta(delta)));
    }
}
