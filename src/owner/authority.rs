//! The right of a member to order targets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::ids::VmId;
use crate::owner::message::TargetBoot;

/// How long a vouch counts, from the moment the question was asked.
pub const VOUCH_VALIDITY: Duration = Duration::from_millis(250);
/// How long the right lasts without the table confirming the term.
pub const MAX_TABLE_OUTAGE: Duration = Duration::from_secs(2 * 60 * 60);

/// How many other members must vouch before a member may order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VouchPolicy {
    /// Nobody orders without a write of its own to the table.
    TableOnly,
    /// Every other member.
    AllOthers,
    /// One other member.
    #[default]
    OneOther,
}

/// The right to order that one member has under one term.
#[derive(Clone, Debug)]
pub struct OrderAuthority {
    required_vouches: usize,
    vouches: BTreeMap<VmId, Vouched>,
    written: Option<Instant>,
    confirmed: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Vouched {
    asked: Instant,
    barred: BTreeSet<TargetBoot>,
}

impl VouchPolicy {
    /// Returns the number of vouchers that a term with this many members needs.
    pub fn required_vouches(self, members: usize) -> usize {
        match self {
            Self::TableOnly => usize::MAX,
            Self::AllOthers => members.saturating_sub(1).max(1),
            Self::OneOther => 1,
        }
    }
}

impl OrderAuthority {
    /// Starts without the right; `need` other members must vouch.
    pub fn new(required_vouches: usize) -> Self {
        Self {
            required_vouches,
            vouches: BTreeMap::new(),
            written: None,
            confirmed: None,
        }
    }

    /// Takes a vouch in answer to a question asked at `asked`.
    pub fn record_vouch(&mut self, from: &VmId, asked: Instant, barred: &[TargetBoot]) {
        let known = self.vouches.get(from).is_some_and(|v| v.asked >= asked);
        if !known {
            let barred = barred.iter().cloned().collect();
            self.vouches.insert(from.clone(), Vouched { asked, barred });
        }
    }

    /// Takes the success of a write that was conditional on the term and begun at `begun`.
    pub fn record_write(&mut self, begun: Instant) {
        self.written = self.written.max(Some(begun));
        self.record_confirmation(begun);
    }

    /// Takes that the table held the term at `at` or later.
    pub fn record_confirmation(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Returns when the table was last known to hold the term.
    pub fn last_confirmation(&self) -> Option<Instant> {
        self.confirmed
    }

    /// Returns when the last write begun that succeeded.
    pub fn last_write(&self) -> Option<Instant> {
        self.written
    }

    /// Returns when the newest vouch of a member was asked for.
    pub fn last_vouch(&self, from: &VmId) -> Option<Instant> {
        self.vouches.get(from).map(|v| v.asked)
    }

    /// Returns until when some target may be ordered, as things stand.
    pub fn expires_at(&self) -> Option<Instant> {
        let mut asked: Vec<_> = self.vouches.values().map(|v| v.asked).collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        let vouched = self
            .required_vouches
            .checked_sub(1)
            .and_then(|n| asked.get(n).copied());
        self.written
            .max(vouched)
            .map(|since| since + VOUCH_VALIDITY)
    }

    /// Returns whether a target's process may be ordered now.
    pub fn permits(&self, now: Instant, at: Option<&TargetBoot>) -> bool {
        let fresh = |since: Instant, limit: Duration| now < since + limit;
        let confirmed = self.confirmed.is_some_and(|c| fresh(c, MAX_TABLE_OUTAGE));
        let written = self.written.is_some_and(|w| fresh(w, VOUCH_VALIDITY));
        let vouches = |v: &&Vouched| {
            fresh(v.asked, VOUCH_VALIDITY) && at.is_none_or(|at| !v.barred.contains(at))
        };
        let vouchers = self.vouches.values().filter(vouches).count();
        confirmed && (written || vouchers >= self.required_vouches)
    }
}
