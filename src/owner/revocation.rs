//! Computes when the orders of an earlier term, or to a barred target, have no effect any more.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::VmId;
use crate::owner::authority::MAX_TABLE_OUTAGE;
use crate::owner::authority::VOUCH_VALIDITY;
use crate::owner::lease_bounds::max_lease;
use crate::owner::message::Member;
use crate::owner::message::Membership;

/// Returns the maximum time for which orders have an effect, counted from the vouch or write that
/// authorised them.
pub fn max_order_effect() -> Duration {
    VOUCH_VALIDITY + VOUCH_VALIDITY / 100 + max_lease()
}

/// The revocation of a term's authority to send orders, to all targets or to one barred target.
#[derive(Clone, Debug)]
pub struct Revocation {
    started: Instant,
    members: Vec<Member>,
    required_vouches: usize,
    reports: BTreeMap<VmId, StopReport>,
    /// Whether the table can still confirm the term to the members.
    is_current_term: bool,
    /// Writes of the holder that started later have no effect.
    last_write: Instant,
}

/// The report of a member that has stopped sending orders.
#[derive(Clone, Debug)]
pub struct StopReport {
    /// The time by which the member's own orders have no effect any more.
    pub end: Instant,
    /// When the member last vouched for each other member.
    pub vouched: BTreeMap<VmId, Instant>,
}

impl Revocation {
    /// Starts the revocation of an earlier term, which the table has confirmed to no member since
    /// `started`. Writes of its holder that started after `last_write` have no effect.
    pub fn of_term(started: Instant, membership: &Membership, last_write: Instant) -> Self {
        Self {
            started,
            members: membership.members.clone(),
            required_vouches: membership.required_vouches,
            reports: BTreeMap::new(),
            is_current_term: false,
            last_write,
        }
    }

    /// Starts the revocation of orders to one target in the current term, whose holder is the
    /// caller.
    pub fn of_target(started: Instant, membership: &Membership) -> Self {
        Self {
            is_current_term: true,
            ..Self::of_term(started, membership, started)
        }
    }

    /// Returns when the revocation started. Replies to earlier requests do not count.
    pub fn started_at(&self) -> Instant {
        self.started
    }

    /// Records the report of a member; reports of processes that are not members are ignored.
    pub fn record_stop(&mut self, member: &Member, report: StopReport) {
        if self.members.contains(member) {
            self.reports.entry(member.vm.clone()).or_insert(report);
        }
    }

    /// Returns the members that have not reported that they stopped.
    pub fn pending_members(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|m| !self.reports.contains_key(&m.vm))
    }

    /// Returns the time by which no order of any member has an effect, or `None` if it is not known
    /// yet.
    pub fn effect_end(&self) -> Option<Instant> {
        let reported = self.reports.values().map(|report| report.end).max();
        let reported = reported.unwrap_or(self.started).max(self.started);
        let pending = self.pending_members().count();
        if pending <= self.required_vouches {
            let authorised = self
                .pending_members()
                .filter_map(|member| self.last_authorised(member));
            let last = authorised.max().map(|last| last + max_order_effect());
            return Some(reported.max(last.unwrap_or(reported)));
        }
        let limit = self.started + MAX_TABLE_OUTAGE + max_order_effect();
        (!self.is_current_term).then_some(limit)
    }

    /// Returns when a pending member was last authorised to send orders. The other pending members
    /// are too few to vouch for it, so it needed a vouch of a member that has reported, or a write
    /// to the table.
    fn last_authorised(&self, member: &Member) -> Option<Instant> {
        let vouched = self.reports.values();
        let vouched = vouched.filter_map(|report| report.vouched.get(&member.vm).copied());
        let is_holder = self.members.first() == Some(member);
        vouched.max().max(is_holder.then_some(self.last_write))
    }

    /// Returns true if no order of any member can have an effect at `now`.
    pub fn is_complete(&self, now: Instant) -> bool {
        self.effect_end().is_some_and(|end| now >= end)
    }
}
