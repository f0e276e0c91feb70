//! When orders of members that must stop have certainly lost their effect.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::VmId;
use crate::owner::bound::longest_lease;
use crate::owner::message::Member;
use crate::owner::message::Place;
use crate::owner::right::OUTAGE_LIMIT;
use crate::owner::right::VOUCH_LEASE;

/// The longest time that an order given under a right lost just now may have effect.
pub fn longest_effect() -> Duration {
    VOUCH_LEASE + VOUCH_LEASE / 100 + longest_lease()
}

/// A set of members that are asked to stop ordering: all targets, or one target that is barred.
#[derive(Clone, Debug)]
pub struct Closing {
    since: Instant,
    members: Vec<Member>,
    need: usize,
    told: BTreeMap<VmId, Told>,
    /// Whether the table can still confirm the term to the members.
    current: bool,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    at: Instant,
    end: Instant,
}

impl Closing {
    /// Closes an earlier term, which the table confirms to nobody since `since`.
    pub fn of_term(since: Instant, place: &Place) -> Self {
        Self {
            since,
            members: place.members.clone(),
            need: place.need,
            told: BTreeMap::new(),
            current: false,
        }
    }

    /// Closes the orders to one target, under the term of the caller, which is its holder.
    pub fn of_target(since: Instant, place: &Place) -> Self {
        Self {
            current: true,
            ..Self::of_term(since, place)
        }
    }

    /// Returns when the closing began; answers to earlier questions do not count.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Takes that a member stopped, and when its orders have certainly lost their effect.
    pub fn told(&mut self, member: &Member, at: Instant, end: Instant) {
        if self.members.contains(member) {
            let told = self
                .told
                .entry(member.vm.clone())
                .or_insert(Told { at, end });
            told.end = told.end.max(end);
        }
    }

    /// Returns the members that did not tell yet.
    pub fn silent(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|m| !self.told.contains_key(&m.vm))
    }

    /// Returns when no order of any member has effect any more; `None` while that is open.
    pub fn end(&self) -> Option<Instant> {
        let told = self.told.values().map(|told| told.end).max();
        let told = told.unwrap_or(self.since).max(self.since);
        let silent = self.silent().count();
        if silent == 0 {
            return Some(told);
        }
        if silent - 1 < self.need {
            let last = self.told.values().map(|told| told.at).max();
            let last = last.unwrap_or(self.since).max(self.since);
            return Some(told.max(last + longest_effect()));
        }
        let limit = self.since + OUTAGE_LIMIT + longest_effect();
        (!self.current).then_some(limit)
    }

    /// Returns whether nothing ordered by a member can have effect at `now`.
    pub fn is_over(&self, now: Instant) -> bool {
        self.end().is_some_and(|end| now >= end)
    }
}
