//! Targets that are lost: barred from orders until their grants have certainly lapsed.

use std::time::Duration;
use std::time::Instant;

use crate::events::Event;
use crate::owner::bound::longest_lease;
use crate::owner::group::Action;
use crate::owner::group::fleet::REPLY_TIMEOUT;
use crate::owner::group::holder::Holder;
use crate::owner::group::members::stop_report;
use crate::owner::group::shared::SharedState;
use crate::owner::message::TargetBoot;
use crate::owner::takeover::Closing;

pub(super) const MAX_TABLE_AGE: Duration = Duration::from_secs(1);

impl Holder {
    pub fn barred_targets(&self) -> Vec<TargetBoot> {
        self.barred.keys().cloned().collect()
    }

    /// Returns whether a target's process has certainly lost its grants.
    pub fn has_lost_grants(&self, shared: &SharedState, now: Instant, at: &TargetBoot) -> bool {
        let closed = self
            .barred
            .get(at)
            .is_some_and(|closing| closing.is_over(now));
        closed && (self.prior_terms_ended(now) || self.rejects_prior_terms(shared, now, at))
    }

    /// A process that saw the present term and checks terms takes no order of an earlier one. What
    /// it took before it answered lasts for a lease from its answer at most.
    fn rejects_prior_terms(&self, shared: &SharedState, now: Instant, at: &TargetBoot) -> bool {
        let contact = shared.fleet.contacts.get(&at.target);
        let contact = contact.filter(|contact| contact.boot == Some(at.boot));
        contact.is_some_and(|contact| {
            let answered = contact.last_reply();
            let lapsed = answered.is_some_and(|at| now >= at + longest_lease());
            contact.term >= Some(shared.term()) && lapsed
        })
    }

    pub fn prior_terms_ended(&self, now: Instant) -> bool {
        self.prior.iter().all(|prior| prior.closing.is_over(now))
    }

    /// Returns whether the table answered within a time; asks it if that is open.
    pub fn table_answered_within(
        &self,
        shared: &mut SharedState,
        now: Instant,
        within: Duration,
    ) -> bool {
        let works = shared.store.answered_within(now, within);
        if !works && !shared.store.failed() {
            shared.read_due = shared.read_due.min(now);
        }
        works
    }

    /// Bars the targets that are lost and can be replaced; returns to normal those that came back.
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
            .filter(|at| self.is_lost(shared, now, at))
            .collect();
        let lost: Vec<_> = lost
            .into_iter()
            .filter(|at| !self.barred.contains_key(at))
            .collect();
        if lost.is_empty() {
            self.loss_deferred = false;
            return;
        }
        if !self.table_answered_within(shared, now, MAX_TABLE_AGE) {
            return;
        }
        let mut allowance = self.loss_allowance(shared, now);
        for at in lost {
            let restarted = shared
                .fleet
                .current_process(&at.target)
                .is_some_and(|p| p != at);
            let counts = !restarted && shared.serving().any(|(target, _)| *target == at.target);
            if !counts || allowance > 0 {
                allowance -= usize::from(counts);
                self.bar(shared, now, at, restarted, out);
            } else if !std::mem::replace(&mut self.loss_deferred, true) {
                let details = format!("group={} target={}", shared.conf.group, at.target);
                out.push(Action::Record(Event::LossSpared, details));
            }
        }
    }

    pub fn is_lost(&self, shared: &SharedState, now: Instant, at: &TargetBoot) -> bool {
        let Some(contact) = shared.fleet.contacts.get(&at.target) else {
            return now >= self.since + REPLY_TIMEOUT;
        };
        contact.is_unresponsive(now) || contact.boot.is_some_and(|boot| boot != at.boot)
    }

    /// Returns how many more targets may be given up as lost: at most half of those in service, and
    /// none while all are silent, for then this VM itself may be cut off.
    pub fn loss_allowance(&self, shared: &SharedState, now: Instant) -> usize {
        let mut alive = 0;
        let mut given_up = 0;
        let mut serving = 0;
        for (target, _) in shared.serving() {
            let contact = shared.fleet.contacts.get(target);
            let silent = contact.is_some_and(|c| c.is_unresponsive(now));
            let barred = self.barred.keys().any(|at| at.target == *target);
            let owns = shared
                .shards()
                .is_some_and(|row| row.boots.contains_key(target));
            serving += 1;
            alive += usize::from(contact.is_some_and(|c| c.is_alive(now)));
            given_up += usize::from(silent && (barred || !owns));
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
        at: TargetBoot,
        restarted: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(closing) = start_closing(shared, now, &at) else {
            return;
        };
        let event = if restarted {
            Event::TargetRestarted
        } else {
            Event::TargetLost
        };
        let details = format!("group={} target={}", shared.conf.group, at.target);
        out.push(Action::Record(event, details));
        self.barred.insert(at, closing);
        self.ask_due = now;
        self.dirty = true;
    }

    pub fn unbar(&mut self, shared: &SharedState, now: Instant) {
        let Some(row) = shared.shards() else {
            return;
        };
        let back = |at: &TargetBoot| {
            let contact = shared.fleet.contacts.get(&at.target);
            contact.is_some_and(|c| c.is_alive(now) && c.boot == Some(at.boot))
        };
        let owns = |at: &TargetBoot| row.boots.get(&at.target) == Some(&at.boot);
        let before = self.barred.len();
        self.barred.retain(|at, _| owns(at) && !back(at));
        self.dirty |= self.barred.len() != before;
    }
}

/// Starts to close the orders to a target; this process itself stops at once.
pub(super) fn start_closing(
    shared: &SharedState,
    now: Instant,
    at: &TargetBoot,
) -> Option<Closing> {
    let mut closing = Closing::of_target(now, shared.place.as_ref()?);
    let bounds = shared
        .fleet
        .bounds
        .left(now, Some(std::slice::from_ref(at)));
    closing.told(
        &shared.me(),
        stop_report(now, bounds.iter(), &shared.vouched(now)),
    );
    Some(closing)
}
