//! The deputy role: while the holder sends nothing, a deputy extends the targets' grants, and after
//! a longer timeout it becomes the holder of a new term.

use std::time::Duration;
use std::time::Instant;

use crate::ids::VmId;
use crate::owner::authority::OrderAuthority;
use crate::owner::group::Action;
use crate::owner::group::age_ms;
use crate::owner::group::orders;
use crate::owner::group::shared::SharedState;
use crate::owner::message::Ask;
use crate::owner::message::Member;
use crate::owner::message::PeerMessage;
use crate::owner::message::TargetBoot;
use crate::owner::message::Vouch;

/// Time between two reads of the rows.
pub(super) const READ_PERIOD: Duration = Duration::from_secs(60);
/// A new deputy first reads the rows after about this time.
pub(super) const FIRST_READ: Duration = Duration::from_millis(500);
/// Time between two vouch requests to the other members.
pub(super) const ASK_PERIOD: Duration = Duration::from_millis(100);

/// A deputy sends orders in place of a holder that sent no vouch request for this long.
const ORDER_AFTER: Duration = Duration::from_millis(150);
/// The first deputy takes over from a holder that sent no vouch request for this long.
const TAKEOVER_AFTER: Duration = Duration::from_millis(400);
/// The first deputy takes over from a holder that cannot reach the table for this long.
const TABLE_LOSS_TIMEOUT: Duration = Duration::from_secs(3);
/// A member whose last vouch is older than this is not kept as a deputy of the new term.
const MAX_VOUCH_AGE: Duration = Duration::from_secs(1);
/// A deputy that is about to stop waits this many more steps, so that others take over first.
const LEAVING_DELAY_STEPS: usize = 3;
/// Each deputy waits this much longer than the deputy before it in the term's list.
const TAKEOVER_DELAY_STEP: Duration = Duration::from_millis(300);

/// A deputy of the newest term.
#[derive(Debug)]
pub(super) struct Deputy {
    authority: OrderAuthority,
    /// Position among the term's members; the first deputy has 1.
    index: usize,
    barred: Vec<TargetBoot>,
    /// Sequence number of the holder's newest vouch request.
    last_seq: u64,
    /// When the last vouch request of the holder was received.
    last_ask: Instant,
    /// The table revision in that request.
    revision: u64,
    /// When the holder last sent a request to another member, by that member's report.
    reported_ask: Option<Instant>,
    ask_due: Instant,
    /// Since when the holder reports that the table does not answer it.
    table_lost: Option<Instant>,
    /// Whether the holder asked this deputy to take over.
    takeover_requested: bool,
    /// Whether a takeover has started; it completes after a read of the rows.
    taking_over: bool,
}

impl Deputy {
    pub fn new(now: Instant, required_vouches: usize, index: usize) -> Self {
        Self {
            authority: OrderAuthority::new(required_vouches),
            index,
            barred: Vec::new(),
            last_seq: 0,
            last_ask: now,
            revision: 0,
            table_lost: None,
            reported_ask: None,
            ask_due: now,
            takeover_requested: false,
            taking_over: false,
        }
    }

    /// Restarts the timeout for the holder after a pause of this process.
    pub fn reset_timeouts(&mut self, now: Instant) {
        self.last_ask = now;
        self.taking_over = false;
    }

    /// Returns true if this deputy may send orders now.
    pub fn may_order(&self, now: Instant) -> bool {
        self.replaces_holder(now) && self.authority.permits(now, None)
    }

    pub fn advance(&mut self, shared: &mut SharedState, now: Instant, out: &mut Vec<Action>) {
        shared.read_if_due(now, out);
        if shared.leaving {
            self.send_leave(shared, now, out);
        }
        if !self.taking_over && self.should_take_over(shared, now) {
            self.taking_over = true;
            shared.read_due = now;
            shared.read_if_due(now, out);
        }
        if !self.replaces_holder(now) {
            self.taking_over &= self.holder_lost_table(shared, now);
            return;
        }
        if now >= self.ask_due {
            self.ask_due = now + ASK_PERIOD;
            shared.send_asks(now, &self.authority, &self.barred, out);
        }
        orders::extend(shared, now, &self.authority, &self.barred, out);
    }

    /// Records that the table held the term when a read started, and takes over if that is due.
    pub fn on_term_confirmed(
        &mut self,
        shared: &mut SharedState,
        now: Instant,
        started: Instant,
        out: &mut Vec<Action>,
    ) {
        self.authority.record_confirmation(started);
        if self.taking_over && self.should_take_over(shared, now) && !shared.store.writing() {
            let holder = shared.membership.as_ref().and_then(|p| p.holder()).cloned();
            if let Some(holder) = holder {
                shared.exclude(now, holder);
            }
            let is_recent = |m: &Member| {
                self.authority
                    .last_vouch(&m.vm)
                    .is_some_and(|at| now < at + MAX_VOUCH_AGE)
            };
            let kept: Vec<_> = shared.others().into_iter().filter(is_recent).collect();
            // A write that the holder started after its last request would have raised the
            // revision.
            let unchanged = shared.store.revision() == self.revision;
            let write_bound = if unchanged { self.last_ask } else { now };
            shared.write_new_term(now, &kept, Some(write_bound), out);
        }
        self.taking_over = false;
    }

    /// Handles the holder's request to take over.
    pub fn on_take(&mut self, shared: &mut SharedState, now: Instant) {
        self.takeover_requested = !shared.leaving;
        shared.read_due = shared.read_due.min(now);
    }

    /// Answers a vouch request. Returns `None` for an outdated request of the holder.
    pub fn on_ask(
        &mut self,
        shared: &mut SharedState,
        now: Instant,
        from: &VmId,
        ask: Ask,
    ) -> Option<Vouch> {
        let holder = shared.membership.as_ref().and_then(|p| p.holder());
        if holder.is_some_and(|holder| holder.vm == *from) {
            if ask.seq < self.last_seq {
                return None;
            }
            self.last_seq = ask.seq;
            self.last_ask = now;
            self.revision = ask.revision;
            self.table_lost = ask.cut.then(|| self.table_lost.unwrap_or(now));
            self.barred = ask.barred;
        }
        shared.vouched.insert(from.clone(), now);
        Some(Vouch {
            seq: ask.seq,
            term: ask.term,
            barred: self.barred.clone(),
            bounds: shared.fleet.bounds.remaining(now, Some(&self.barred)),
            vouched: shared.vouched(now),
            table_ms: age_ms(now, self.authority.last_confirmation()),
            holder_ms: age_ms(now, Some(self.last_ask)),
        })
    }

    pub fn on_vouch(&mut self, from: &VmId, asked: Instant, vouch: &Vouch) {
        self.authority.record_vouch(from, asked, &vouch.barred);
        if let Some(at) = asked.checked_sub(Duration::from_millis(vouch.table_ms)) {
            self.authority.record_confirmation(at);
        }
        let reported = asked.checked_sub(Duration::from_millis(vouch.holder_ms));
        self.reported_ask = self.reported_ask.max(reported);
    }

    pub fn next_wakeup(&self, shared: &SharedState) -> Option<Instant> {
        let order_at = self.last_ask + ORDER_AFTER;
        let due = shared.fleet.contacts.values().map(|contact| contact.due);
        let orders = due.min().map(|due| due.max(order_at));
        let asks = Some(self.ask_due.max(order_at));
        orders
            .into_iter()
            .chain(asks)
            .chain([shared.read_due])
            .min()
    }

    /// Returns true if this deputy sends orders in place of the holder.
    fn replaces_holder(&self, now: Instant) -> bool {
        self.takeover_requested || now >= self.last_ask + ORDER_AFTER
    }

    fn should_take_over(&self, shared: &SharedState, now: Instant) -> bool {
        if shared.service.is_none() {
            return false;
        }
        let delay = self.takeover_delay(shared);
        let seen = self
            .reported_ask
            .is_some_and(|at| now < at + TAKEOVER_AFTER + delay);
        let unresponsive = now >= self.last_ask + TAKEOVER_AFTER + delay && !seen;
        self.takeover_requested || unresponsive || self.holder_lost_table(shared, now)
    }

    /// Returns true if the holder has not reached the table for too long. The caller then reads the
    /// table itself, so it takes over only if the table answers this process.
    fn holder_lost_table(&self, shared: &SharedState, now: Instant) -> bool {
        let limit = TABLE_LOSS_TIMEOUT + self.takeover_delay(shared);
        self.table_lost.is_some_and(|since| now >= since + limit)
    }

    /// Returns how much longer this deputy waits than the first one does.
    fn takeover_delay(&self, shared: &SharedState) -> Duration {
        let steps = self.index - 1 + usize::from(shared.leaving) * LEAVING_DELAY_STEPS;
        TAKEOVER_DELAY_STEP * steps as u32
    }

    /// Asks the holder to name another deputy.
    fn send_leave(&mut self, shared: &mut SharedState, now: Instant, out: &mut Vec<Action>) {
        if now < self.ask_due {
            return;
        }
        self.ask_due = now + ASK_PERIOD;
        let Some(membership) = shared.membership.clone() else {
            return;
        };
        if let Some(holder) = membership.holder() {
            shared.send(&holder.vm, PeerMessage::Leave(membership.term), out);
        }
    }
}
