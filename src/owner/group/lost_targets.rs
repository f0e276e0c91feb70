//! Detection of lost targets. A lost target is barred: no member extends its grants, and its shards
//! are placed elsewhere once all its grants must have expired.

use std::time::Duration;
use std::time::Instant;

use crate::events::Event;
use crate::owner::group::Action;
use crate::owner::group::fleet::REPLY_TIMEOUT;
use crate::owner::group::holder::Holder;
use crate::owner::group::members::stop_report;
use crate::owner::group::shared::SharedState;
use crate::owner::lease_bounds::max_lease;
use crate::owner::message::TargetBoot;
use crate::owner::revocation::Revocation;

/// Targets are barred, members changed and earlier terms removed only if the table answered within
/// this time.
pub(super) const MAX_TABLE_AGE: Duration = Duration::from_secs(1);

impl Holder {
    pub fn barred_targets(&self) -> Vec<TargetBoot> {
        self.barred.keys().cloned().collect()
    }

    /// Returns true if all grants of a target's process must have expired.
    pub fn has_lost_grants(
        &self,
        shared: &SharedState,
        now: Instant,
        process: &TargetBoot,
    ) -> bool {
        let closed = self
            .barred
            .get(process)
            .is_some_and(|revocation| revocation.is_complete(now));
        closed && (self.prior_terms_ended(now) || self.rejects_prior_terms(shared, now, process))
    }

    /// Returns true if the process has seen the current term and rejects orders of earlier ones,
    /// and the leases that it got from such orders before its last reply have expired.
    fn rejects_prior_terms(
        &self,
        shared: &SharedState,
        now: Instant,
        process: &TargetBoot,
    ) -> bool {
        let contact = shared.fleet.contacts.get(&process.target);
        let contact = contact.filter(|contact| contact.boot == Some(process.boot));
        contact.is_some_and(|contact| {
            let answered = contact.last_reply();
            let expired = answered.is_some_and(|at| now >= at + max_lease());
            contact.term >= Some(shared.term()) && expired
        })
    }

    /// Returns true if no order of an earlier term can have effect any more.
    pub fn prior_terms_ended(&self, now: Instant) -> bool {
        self.prior
            .iter()
            .all(|prior| prior.revocation.is_complete(now))
    }

    /// Returns true if the table answered within the given time; if not, schedules a read unless
    /// the last answer was a failure.
    pub fn table_answered_within(
        &self,
        shared: &mut SharedState,
        now: Instant,
        within: Duration,
    ) -> bool {
        let answered = shared.store.answered_within(now, within);
        if !answered && !shared.store.failed() {
            shared.read_due = shared.read_due.min(now);
        }
        answered
    }

    /// Bars lost targets as far as the loss allowance permits, and unbars those that answer again.
    pub fn check_targets(&mut self, shared: &mut SharedState, now: Instant, out: &mut Vec<Action>) {
        let Some((_, row)) = shared.rows() else {
            return;
        };
        let owners: Vec<_> = row
            .boots
            .iter()
            .map(|(target, &boot)| TargetBoot {
                target: target.clone(),
                boot,
            })
            .collect();
        if !shared.store.writing() {
            self.unbar(shared, now);
        }
        let lost: Vec<_> = owners
            .into_iter()
            .filter(|process| self.is_lost(shared, now, process))
            .collect();
        let lost: Vec<_> = lost
            .into_iter()
            .filter(|process| !self.barred.contains_key(process))
            .collect();
        if lost.is_empty() {
            self.loss_deferred = false;
            return;
        }
        if !self.table_answered_within(shared, now, MAX_TABLE_AGE) {
            return;
        }
        let mut allowance = self.loss_allowance(shared, now);
        for process in lost {
            let restarted = shared
                .fleet
                .current_process(&process.target)
                .is_some_and(|p| p != process);
            let counts = !restarted
                && shared
                    .serving()
                    .any(|(target, _)| *target == process.target);
            if !counts || allowance > 0 {
                allowance -= usize::from(counts);
                self.bar(shared, now, process, restarted, out);
            } else if !std::mem::replace(&mut self.loss_deferred, true) {
                let details = format!("group={} target={}", shared.conf.group, process.target);
                out.push(Action::Record(Event::LossSpared, details));
            }
        }
    }

    /// Returns true if a process does not answer or has been replaced by a restart.
    pub fn is_lost(&self, shared: &SharedState, now: Instant, process: &TargetBoot) -> bool {
        let Some(contact) = shared.fleet.contacts.get(&process.target) else {
            return now >= self.since + REPLY_TIMEOUT;
        };
        contact.is_unresponsive(now) || contact.boot.is_some_and(|boot| boot != process.boot)
    }

    /// Returns how many more targets may be treated as lost: at most half of those in service, and
    /// none while no target answers, since then this VM itself may be disconnected.
    pub fn loss_allowance(&self, shared: &SharedState, now: Instant) -> usize {
        let mut alive = 0;
        let mut given_up = 0;
        let mut serving = 0;
        for (target, _) in shared.serving() {
            let contact = shared.fleet.contacts.get(target);
            let unresponsive = contact.is_some_and(|c| c.is_unresponsive(now));
            let barred = self.barred.keys().any(|process| process.target == *target);
            let owns = shared
                .shards()
                .is_some_and(|row| row.boots.contains_key(target));
            serving += 1;
            alive += usize::from(contact.is_some_and(|c| c.is_alive(now)));
            given_up += usize::from(unresponsive && (barred || !owns));
        }
        if alive == 0 {
            return 0;
        }
        (serving / 2_usize).saturating_sub(given_up)
    }

    pub fn bar(
        &mut self,
        shared: &SharedState,
        now: Instant,
        process: TargetBoot,
        restarted: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(revocation) = start_revocation(shared, now, &process) else {
            return;
        };
        let event = if restarted {
            Event::TargetRestarted
        } else {
            Event::TargetLost
        };
        let details = format!("group={} target={}", shared.conf.group, process.target);
        out.push(Action::Record(event, details));
        self.barred.insert(process, revocation);
        self.ask_due = now;
        self.dirty = true;
    }

    /// Unbars the targets that answer again, and removes those that own no shard.
    pub fn unbar(&mut self, shared: &SharedState, now: Instant) {
        let Some(row) = shared.shards() else {
            return;
        };
        let has_returned = |process: &TargetBoot| {
            let contact = shared.fleet.contacts.get(&process.target);
            contact.is_some_and(|c| c.is_alive(now) && c.boot == Some(process.boot))
        };
        let owns = |process: &TargetBoot| row.boots.get(&process.target) == Some(&process.boot);
        let before = self.barred.len();
        self.barred
            .retain(|process, _| owns(process) && !has_returned(process));
        self.dirty |= self.barred.len() != before;
    }
}

/// Starts to wait until no member's orders to a target have effect; this process stops
/// extending its grants at once.
pub(super) fn start_revocation(
    shared: &SharedState,
    now: Instant,
    process: &TargetBoot,
) -> Option<Revocation> {
    let mut revocation = Revocation::of_target(now, shared.membership.as_ref()?);
    let bounds = shared
        .fleet
        .bounds
        .remaining(now, Some(std::slice::from_ref(process)));
    revocation.record_stop(
        &shared.me(),
        stop_report(now, bounds.iter(), &shared.vouched(now)),
    );
    Some(revocation)
}
