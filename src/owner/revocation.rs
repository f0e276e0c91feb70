//! When orders of members that must stop have certainly lost their effect.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::VmId;
use crate::owner::authority::MAX_TABLE_OUTAGE;
use crate::owner::authority::VOUCH_VALIDITY;
use crate::owner::lease_bounds::max_lease;
use crate::owner::message::Member;
use crate::owner::message::Membership;

/// The longest time that an order given under a right lost just now may have effect.
pub fn max_order_effect() -> Duration {
    VOUCH_VALIDITY + VOUCH_VALIDITY / 100 + max_lease()
}

/// A set of members that are asked to stop ordering: all targets, or one target that is barred.
#[derive(Clone, Debug)]
pub struct Revocation {
    since: Instant,
    members: Vec<Member>,
    required_vouches: usize,
    told: BTreeMap<VmId, StopReport>,
    /// Whether the table can still confirm the term to the members.
    current: bool,
    /// No write of the holder that began later has effect.
    written: Instant,
}

/// What a member tells once it stopped.
#[derive(Clone, Debug)]
pub struct StopReport {
    /// When its own orders have certainly lost their effect.
    pub end: Instant,
    /// When it answered the last question of each other member that it vouched to.
    pub vouched: BTreeMap<VmId, Instant>,
}

impl Revocation {
    /// Closes an earlier term, which the table confirms to nobody since `since`. No write of its
    /// holder that began after `written` has effect.
    pub fn of_term(since: Instant, membership: &Membership, written: Instant) -> Self {
        Self {
            since,
            members: membership.members.clone(),
            required_vouches: membership.required_vouches,
            told: BTreeMap::new(),
            current: false,
            written,
        }
    }

    /// Closes the orders to one target, under the term of the caller, which is its holder.
    pub fn of_target(since: Instant, membership: &Membership) -> Self {
        Self {
            current: true,
            ..Self::of_term(since, membership, since)
        }
    }

    /// Returns when the closing began; answers to earlier questions do not count.
    pub fn started_at(&self) -> Instant {
        self.since
    }

    /// Takes what a member told.
    pub fn record_stop(&mut self, member: &Member, told: StopReport) {
        if self.members.contains(member) {
            self.told.entry(member.vm.clone()).or_insert(told);
        }
    }

    /// Returns the members that did not tell yet.
    pub fn pending_members(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|m| !self.told.contains_key(&m.vm))
    }

    /// Returns when no order of any member has effect any more; `None` while that is open.
    pub fn effect_end(&self) -> Option<Instant> {
        let told = self.told.values().map(|told| told.end).max();
        let told = told.unwrap_or(self.since).max(self.since);
        let silent = self.pending_members().count();
        if silent <= self.required_vouches {
            let rights = self
                .pending_members()
                .filter_map(|member| self.last_right(member));
            let last = rights.max().map(|last| last + max_order_effect());
            return Some(told.max(last.unwrap_or(told)));
        }
        let limit = self.since + MAX_TABLE_OUTAGE + max_order_effect();
        (!self.current).then_some(limit)
    }

    /// Returns when a silent member's last right to order began. The other silent ones are too few
    /// to vouch for it, so it had a vouch of a member that told, or wrote to the table.
    fn last_right(&self, member: &Member) -> Option<Instant> {
        let vouched = self.told.values();
        let vouched = vouched.filter_map(|told| told.vouched.get(&member.vm).copied());
        let holds = self.members.first() == Some(member);
        vouched.max().max(holds.then_some(self.written))
    }

    /// Returns whether nothing ordered by a member can have effect at `now`.
    pub fn is_complete(&self, now: Instant) -> bool {
        self.effect_end().is_some_and(|end| now >= end)
    }
}
