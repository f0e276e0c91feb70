//! A deputy: it extends the grants while the holder is silent and takes over if that stays so.

use std::time::Duration;
use std::time::Instant;

use crate::ids::VmId;
use crate::owner::group::Action;
use crate::owner::group::age_ms;
use crate::owner::group::base::Base;
use crate::owner::group::orders;
use crate::owner::message::Ask;
use crate::owner::message::Member;
use crate::owner::message::PeerMessage;
use crate::owner::message::TargetBoot;
use crate::owner::message::Vouch;
use crate::owner::right::Right;

/// Time between two reads of the rows.
pub(super) const READ_PERIOD: Duration = Duration::from_secs(60);
/// The first read comes within this time.
pub(super) const FIRST_READ: Duration = Duration::from_millis(500);
/// Time between two questions to the other members.
pub(super) const ASK_PERIOD: Duration = Duration::from_millis(100);

const COVER_AFTER: Duration = Duration::from_millis(150);
const TAKE_AFTER: Duration = Duration::from_millis(400);
/// A holder that the table does not answer for this long is relieved.
const CUT_AFTER: Duration = Duration::from_secs(3);
const KEEP: Duration = Duration::from_secs(1);
/// A deputy about to stop leaves this many others the time to take over.
const LEAVING_STEPS: usize = 3;
const STEP_APART: Duration = Duration::from_millis(300);

/// A deputy of the newest term.
#[derive(Debug)]
pub(super) struct Deputy {
    right: Right,
    /// The place in the order of deputies, from 1.
    index: usize,
    barred: Vec<TargetBoot>,
    /// The number of the holder's newest question.
    seen: u64,
    /// When the holder was heard last.
    heard: Instant,
    /// The revision that the holder knew of then.
    revision: u64,
    /// When another member heard the holder last.
    seen_alive: Option<Instant>,
    ask_due: Instant,
    /// Since when the table does not answer the holder.
    cut: Option<Instant>,
    /// Whether the holder asked to be relieved.
    told: bool,
    taking: bool,
}

impl Deputy {
    pub fn new(now: Instant, need: usize, index: usize) -> Self {
        Self {
            right: Right::new(need),
            index,
            barred: Vec::new(),
            seen: 0,
            heard: now,
            revision: 0,
            cut: None,
            seen_alive: None,
            ask_due: now,
            told: false,
            taking: false,
        }
    }

    pub fn excuse(&mut self, now: Instant) {
        self.heard = now;
        self.taking = false;
    }

    pub fn orders(&self, now: Instant) -> bool {
        self.covers(now) && self.right.covers(now, None)
    }

    pub fn advance(&mut self, base: &mut Base, now: Instant, out: &mut Vec<Action>) {
        base.read_if_due(now, out);
        if base.leaving {
            self.leave(base, now, out);
        }
        if !self.taking && self.wants(base, now) {
            self.taking = true;
            base.read_due = now;
            base.read_if_due(now, out);
        }
        if !self.covers(now) {
            self.taking &= self.is_cut(base, now);
            return;
        }
        if now >= self.ask_due {
            self.ask_due = now + ASK_PERIOD;
            base.ask(now, &self.right, &self.barred, out);
        }
        orders::extend(base, now, &self.right, &self.barred, out);
    }

    /// Takes that the table held the term when a read began, and takes over if that is due.
    pub fn confirmed(
        &mut self,
        base: &mut Base,
        now: Instant,
        begun: Instant,
        out: &mut Vec<Action>,
    ) {
        self.right.confirm(begun);
        if self.taking && self.wants(base, now) && !base.store.writing() {
            let holder = base.place.as_ref().and_then(|p| p.holder()).cloned();
            if let Some(holder) = holder {
                base.shun(now, holder);
            }
            let lately = |m: &Member| self.right.vouched(&m.vm).is_some_and(|at| now < at + KEEP);
            let kept: Vec<_> = base.others().into_iter().filter(lately).collect();
            // A write of the holder after it spoke last would have raised the revision.
            let unchanged = base.store.revision() == self.revision;
            let written = if unchanged { self.heard } else { now };
            base.take(now, &kept, Some(written), out);
        }
        self.taking = false;
    }

    pub fn told(&mut self, base: &mut Base, now: Instant) {
        self.told = !base.leaving;
        base.read_due = base.read_due.min(now);
    }

    pub fn on_ask(
        &mut self,
        base: &mut Base,
        now: Instant,
        from: &VmId,
        ask: Ask,
    ) -> Option<Vouch> {
        let holder = base.place.as_ref().and_then(|p| p.holder());
        if holder.is_some_and(|holder| holder.vm == *from) {
            if ask.seq < self.seen {
                return None;
            }
            self.seen = ask.seq;
            self.heard = now;
            self.revision = ask.revision;
            self.cut = ask.cut.then(|| self.cut.unwrap_or(now));
            self.barred = ask.barred;
        }
        base.vouched.insert(from.clone(), now);
        Some(Vouch {
            seq: ask.seq,
            term: ask.term,
            barred: self.barred.clone(),
            bounds: base.fleet.bounds.left(now, Some(&self.barred)),
            vouched: base.vouched(now),
            table_ms: age_ms(now, self.right.confirmed()),
            holder_ms: age_ms(now, Some(self.heard)),
        })
    }

    pub fn on_vouch(&mut self, from: &VmId, asked: Instant, vouch: &Vouch) {
        self.right.vouch(from, asked, &vouch.barred);
        if let Some(at) = asked.checked_sub(Duration::from_millis(vouch.table_ms)) {
            self.right.confirm(at);
        }
        let heard = asked.checked_sub(Duration::from_millis(vouch.holder_ms));
        self.seen_alive = self.seen_alive.max(heard);
    }

    pub fn wake(&self, base: &Base) -> Option<Instant> {
        let cover = self.heard + COVER_AFTER;
        let due = base.fleet.contacts.values().map(|contact| contact.due);
        let orders = due.min().map(|due| due.max(cover));
        let asks = Some(self.ask_due.max(cover));
        orders.into_iter().chain(asks).chain([base.read_due]).min()
    }

    fn covers(&self, now: Instant) -> bool {
        self.told || now >= self.heard + COVER_AFTER
    }

    fn wants(&self, base: &Base, now: Instant) -> bool {
        if base.service.is_none() {
            return false;
        }
        let late = self.late(base);
        let seen = self
            .seen_alive
            .is_some_and(|at| now < at + TAKE_AFTER + late);
        let silent = now >= self.heard + TAKE_AFTER + late && !seen;
        self.told || silent || self.is_cut(base, now)
    }

    /// Only the holder is cut off from the table, if this process can read it.
    fn is_cut(&self, base: &Base, now: Instant) -> bool {
        let limit = CUT_AFTER + self.late(base);
        self.cut.is_some_and(|since| now >= since + limit)
    }

    /// Returns the time that this process leaves to those before it.
    fn late(&self, base: &Base) -> Duration {
        let before_me = self.index - 1 + usize::from(base.leaving) * LEAVING_STEPS;
        STEP_APART * before_me as u32
    }

    /// Tells the holder to name another deputy.
    fn leave(&mut self, base: &mut Base, now: Instant, out: &mut Vec<Action>) {
        if now < self.ask_due {
            return;
        }
        self.ask_due = now + ASK_PERIOD;
        let Some(place) = base.place.clone() else {
            return;
        };
        if let Some(holder) = place.holder() {
            base.send(&holder.vm, PeerMessage::Leave(place.term), out);
        }
    }
}
