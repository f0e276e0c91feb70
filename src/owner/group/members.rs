//! The holder's exchanges with the other members: renews its authority to send orders, ends earlier
//! terms and chooses deputies.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Term;
use crate::ids::VmId;
use crate::owner::group::Action;
use crate::owner::group::age_ms;
use crate::owner::group::deputy::ASK_PERIOD;
use crate::owner::group::elect;
use crate::owner::group::holder::Holder;
use crate::owner::group::holder::MEMBERS_PERIOD;
use crate::owner::group::holder::Prior;
use crate::owner::group::holder::RENEWAL_MARGIN;
use crate::owner::group::lost_targets::MAX_TABLE_AGE;
use crate::owner::group::shared::Pending;
use crate::owner::group::shared::SharedState;
use crate::owner::lease_bounds::max_lease;
use crate::owner::message::LeaseBound;
use crate::owner::message::Member;
use crate::owner::message::Membership;
use crate::owner::message::PeerMessage;
use crate::owner::message::Stop;
use crate::owner::message::Stopped;
use crate::owner::message::Vouch;
use crate::owner::message::Vouched;
use crate::owner::revocation::Revocation;
use crate::owner::revocation::StopReport;

/// A deputy that has not vouched for this long is replaced.
const DEPUTY_TIMEOUT: Duration = Duration::from_secs(2);

impl Holder {
    /// Answers a deputy's vouch request.
    pub fn vouch(&self, shared: &SharedState, now: Instant, seq: u64, term: Term) -> Vouch {
        let barred = self.barred_targets();
        Vouch {
            seq,
            term,
            bounds: shared.fleet.bounds.remaining(now, Some(&barred)),
            vouched: shared.vouched(now),
            barred,
            table_ms: age_ms(now, self.authority.last_confirmation()),
            holder_ms: 0,
        }
    }

    /// Records a vouch, and that its sender stopped ordering the targets that it lists as barred.
    pub fn on_vouch(
        &mut self,
        shared: &SharedState,
        now: Instant,
        from: &VmId,
        asked: Instant,
        vouch: &Vouch,
    ) {
        self.authority.record_vouch(from, asked, &vouch.barred);
        if let Some(at) = asked.checked_sub(Duration::from_millis(vouch.table_ms)) {
            self.authority.record_confirmation(at);
        }
        let others = shared.others();
        let Some(member) = others.iter().find(|m| m.vm == *from) else {
            return;
        };
        for (process, revocation) in &mut self.barred {
            if asked >= revocation.started_at() && vouch.barred.contains(process) {
                let bounds = vouch.bounds.iter().filter(|bound| bound.at == *process);
                revocation.record_stop(member, stop_report(now, bounds, &vouch.vouched));
            }
        }
    }

    /// Records that a member of an earlier term stopped.
    pub fn on_stopped(&mut self, now: Instant, from: &VmId, stopped: &Stopped) {
        for prior in &mut self.prior {
            let senders = prior.membership.members.iter();
            let mut senders = senders.filter(|m| m.vm == *from && m.boot == stopped.boot);
            if let Some(member) = senders
                .next()
                .filter(|_| prior.membership.term == stopped.prior)
            {
                let report = stop_report(now, stopped.bounds.iter(), &stopped.vouched);
                prior.revocation.record_stop(member, report);
            }
        }
    }

    /// Replaces a deputy that is about to stop.
    pub fn on_leave(&mut self, shared: &mut SharedState, now: Instant, from: &VmId) {
        let leaving = shared.others().into_iter().find(|m| m.vm == *from);
        if let Some(member) = leaving {
            shared.exclude(now, member);
            self.members_due = now;
        }
    }

    /// Sends vouch requests, stop requests to members of earlier terms, and, before a planned stop,
    /// a request to the first deputy to take over.
    pub fn send_asks(&mut self, shared: &mut SharedState, now: Instant, out: &mut Vec<Action>) {
        if now < self.ask_due {
            return;
        }
        self.ask_due = now + ASK_PERIOD;
        shared.send_asks(now, &self.authority, &self.barred_targets(), out);
        let Some(membership) = shared.membership.clone() else {
            return;
        };
        for prior in &self.prior {
            for member in prior.revocation.pending_members() {
                let stop = Stop {
                    prior: prior.membership.term,
                    membership: membership.clone(),
                };
                shared.send(&member.vm, PeerMessage::Stop(stop), out);
            }
        }
        if let Some(deputy) = membership.deputies().first().filter(|_| shared.leaving) {
            shared.send(&deputy.vm, PeerMessage::Take(membership.term), out);
        }
    }

    /// Replaces deputies that are lost or rank lower than others, in a new term.
    pub fn change_members(
        &mut self,
        shared: &mut SharedState,
        now: Instant,
        out: &mut Vec<Action>,
    ) {
        if now < self.members_due || shared.store.writing() {
            return;
        }
        self.members_due = now + MEMBERS_PERIOD;
        let Some(membership) = shared.membership.clone() else {
            return;
        };
        let last_vouch = |m: &Member| self.authority.last_vouch(&m.vm).max(Some(self.since));
        for member in membership.deputies() {
            if last_vouch(member).is_some_and(|at| now >= at + DEPUTY_TIMEOUT) {
                shared.exclude(now, member.clone());
            }
        }
        let kept = membership.deputies();
        let wanted: BTreeSet<_> = elect::members(shared, now, kept).into_iter().collect();
        let current: BTreeSet<_> = membership.members.iter().cloned().collect();
        if wanted != current && self.table_answered_within(shared, now, MAX_TABLE_AGE) {
            shared.write_new_term(now, kept, None, out);
        }
    }

    /// Renews the authority to send orders by a write if the vouches do not suffice, and removes
    /// earlier terms that ended.
    pub fn renew(&mut self, shared: &mut SharedState, now: Instant, out: &mut Vec<Action>) {
        if shared.store.writing() {
            return;
        }
        let expiring = self
            .authority
            .expires_at()
            .is_none_or(|until| until < now + RENEWAL_MARGIN);
        let ended = !self.prior.is_empty() && self.prior_terms_ended(now);
        let removable = ended && shared.store.answered_within(now, MAX_TABLE_AGE);
        if !expiring && !removable {
            return;
        }
        let Some((row, _)) = shared.rows() else {
            return;
        };
        let mut row = row.clone();
        if ended {
            row.prior.clear();
            self.prior.clear();
        }
        shared.commit(now, Pending::Renewal, Some(row), None, out);
    }
}

impl Prior {
    /// Starts to close an earlier term, in which this process takes no further part.
    pub fn new(shared: &SharedState, now: Instant, membership: &Membership) -> Self {
        let mut revocation =
            Revocation::of_term(now, membership, shared.write_bound.unwrap_or(now));
        let bounds = shared.fleet.bounds.remaining(now, None);
        revocation.record_stop(
            &shared.me(),
            stop_report(now, bounds.iter(), &shared.vouched(now)),
        );
        Self {
            membership: membership.clone(),
            revocation,
        }
    }
}

/// Converts the bounds and vouches of a message received at `now` to the latest times that they
/// allow.
pub(super) fn stop_report<'a>(
    now: Instant,
    bounds: impl Iterator<Item = &'a LeaseBound>,
    vouched: &[Vouched],
) -> StopReport {
    let left = |bound: &LeaseBound| Duration::from_micros(bound.left_us).min(max_lease());
    let left = bounds.map(left).max();
    let at = |vouched: &Vouched| {
        let age = Duration::from_micros(vouched.age_us);
        (vouched.vm.clone(), now.checked_sub(age).unwrap_or(now))
    };
    StopReport {
        end: now + left.unwrap_or_default(),
        vouched: vouched.iter().map(at).collect(),
    }
}
