//! A member's authority to send orders to targets, obtained through vouches of other members or
//! writes to the table.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::ids::VmId;
use crate::owner::message::TargetBoot;

/// How long a vouch or a write is valid, counted from when it was requested or started.
pub const VOUCH_VALIDITY: Duration = Duration::from_millis(250);
/// How long a member may send orders without a confirmation of its term by the table.
pub const MAX_TABLE_OUTAGE: Duration = Duration::from_secs(2 * 60 * 60);

/// The number of other members that must vouch for a member before it may send orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VouchPolicy {
    /// Vouches do not suffice: a member needs its own write to the table.
    TableOnly,
    /// All other members must vouch.
    AllOthers,
    /// One other member must vouch.
    #[default]
    OneOther,
}

/// A member's authority to send orders in one term.
#[derive(Clone, Debug)]
pub struct OrderAuthority {
    required_vouches: usize,
    vouches: BTreeMap<VmId, ReceivedVouch>,
    last_write: Option<Instant>,
    last_confirmation: Option<Instant>,
}

#[derive(Clone, Debug)]
struct ReceivedVouch {
    requested: Instant,
    /// Target processes that the vouch does not cover.
    barred: BTreeSet<TargetBoot>,
}

impl VouchPolicy {
    /// Returns the number of vouches that each member of a term needs, given the term's number of
    /// members.
    pub fn required_vouches(self, members: usize) -> usize {
        match self {
            Self::TableOnly => usize::MAX,
            Self::AllOthers => members.saturating_sub(1).max(1),
            Self::OneOther => 1,
        }
    }
}

impl OrderAuthority {
    /// Creates an authority without vouches and writes, which permits no orders.
    pub fn new(required_vouches: usize) -> Self {
        Self {
            required_vouches,
            vouches: BTreeMap::new(),
            last_write: None,
            last_confirmation: None,
        }
    }

    /// Records a vouch that was requested at `requested`; it does not cover the `barred` targets.
    pub fn record_vouch(&mut self, from: &VmId, requested: Instant, barred: &[TargetBoot]) {
        let outdated = self
            .vouches
            .get(from)
            .is_some_and(|v| v.requested >= requested);
        if !outdated {
            let barred = barred.iter().cloned().collect();
            self.vouches
                .insert(from.clone(), ReceivedVouch { requested, barred });
        }
    }

    /// Records a successful write that was conditional on the term and started at `started`.
    pub fn record_write(&mut self, started: Instant) {
        self.last_write = self.last_write.max(Some(started));
        self.record_confirmation(started);
    }

    /// Records that the table contained the term at `at` or later.
    pub fn record_confirmation(&mut self, at: Instant) {
        self.last_confirmation = self.last_confirmation.max(Some(at));
    }

    /// Returns the latest time at which the table is known to have contained the term.
    pub fn last_confirmation(&self) -> Option<Instant> {
        self.last_confirmation
    }

    /// Returns when the last successful write started.
    pub fn last_write(&self) -> Option<Instant> {
        self.last_write
    }

    /// Returns when the newest vouch of a member was requested.
    pub fn last_vouch(&self, from: &VmId) -> Option<Instant> {
        self.vouches.get(from).map(|v| v.requested)
    }

    /// Returns when the authority expires unless it is renewed. Barred targets and the confirmation
    /// by the table are not considered.
    pub fn expires_at(&self) -> Option<Instant> {
        let mut requested: Vec<_> = self.vouches.values().map(|v| v.requested).collect();
        requested.sort_unstable_by(|a, b| b.cmp(a));
        let vouched = self
            .required_vouches
            .checked_sub(1)
            .and_then(|n| requested.get(n).copied());
        self.last_write
            .max(vouched)
            .map(|since| since + VOUCH_VALIDITY)
    }

    /// Returns true if orders to a target process are permitted at `now`. With `None`, vouches
    /// count whichever targets they bar.
    pub fn permits(&self, now: Instant, at: Option<&TargetBoot>) -> bool {
        let is_recent = |since: Instant, limit: Duration| now < since + limit;
        let confirmed = self
            .last_confirmation
            .is_some_and(|c| is_recent(c, MAX_TABLE_OUTAGE));
        let written = self
            .last_write
            .is_some_and(|w| is_recent(w, VOUCH_VALIDITY));
        let covers = |v: &&ReceivedVouch| {
            is_recent(v.requested, VOUCH_VALIDITY) && at.is_none_or(|at| !v.barred.contains(at))
        };
        let vouches = self.vouches.values().filter(covers).count();
        confirmed && (written || vouches >= self.required_vouches)
    }
}
