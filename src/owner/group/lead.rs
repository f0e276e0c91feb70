//! The holder: it renews its right, watches the targets and decides who owns what.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::events::Event;
use crate::ids::Shard;
use crate::ids::TargetId;
use crate::ids::Term;
use crate::ids::VmId;
use crate::owner::assignment::Assignment;
use crate::owner::bound::longest_lease;
use crate::owner::group::Action;
use crate::owner::group::GroupStatus;
use crate::owner::group::age_ms;
use crate::owner::group::base::Base;
use crate::owner::group::base::Pending;
use crate::owner::group::deputy::ASK_PERIOD;
use crate::owner::group::elect;
use crate::owner::group::fleet::SUSPECT_AFTER;
use crate::owner::group::orders;
use crate::owner::group::settle::Planned;
use crate::owner::group::show::Expect;
use crate::owner::message::Bound;
use crate::owner::message::Member;
use crate::owner::message::PeerMessage;
use crate::owner::message::Place;
use crate::owner::message::Stop;
use crate::owner::message::Stopped;
use crate::owner::message::TargetBoot;
use crate::owner::message::Vouch;
use crate::owner::moves::Moves;
use crate::owner::order::OrderReply;
use crate::owner::order::ShardFence;
use crate::owner::right::Right;
use crate::owner::takeover::Closing;

/// Time between two reads of the rows.
pub(super) const READ_PERIOD: Duration = Duration::from_secs(30);

const DEPUTY_LOST: Duration = Duration::from_secs(2);
const MEMBERS_PERIOD: Duration = Duration::from_secs(1);
const RENEW_AHEAD: Duration = Duration::from_millis(120);
const TABLE_FRESH: Duration = Duration::from_secs(1);

/// The holder of the newest term.
#[derive(Debug)]
pub(super) struct Lead {
    pub right: Right,
    pub since: Instant,
    /// Earlier terms that may not have ended.
    pub prior: Vec<Prior>,
    /// Targets' processes that must lose their grants.
    pub bars: BTreeMap<TargetBoot, Closing>,
    pub moves: Moves,
    /// Shards that their owner did not confirm yet.
    pub ungranted: BTreeSet<Shard>,
    /// Shards whose fence their owner finds too low.
    pub denied: BTreeSet<Shard>,
    /// What was published last.
    pub shown: Option<Assignment>,
    pub expect: BTreeMap<TargetId, Expect>,
    /// Whether what is published may differ from what is so.
    pub dirty: bool,
    pub unowned: usize,
    pub plan_due: Instant,
    pub planned: Option<Planned>,
    spared: bool,
    ask_due: Instant,
    members_due: Instant,
}

/// An earlier term.
#[derive(Debug)]
pub(super) struct Prior {
    pub place: Place,
    pub closing: Closing,
}

impl Lead {
    pub fn new(base: &Base, now: Instant, place: &Place) -> Self {
        let row = base.store.rows().and_then(|rows| rows.group.as_ref());
        let prior = row.map_or(&[][..], |row| &row.prior);
        Self {
            right: Right::new(place.need),
            since: now,
            prior: prior
                .iter()
                .map(|place| Prior::new(base, now, place))
                .collect(),
            bars: BTreeMap::new(),
            moves: Moves::default(),
            ungranted: BTreeSet::new(),
            denied: BTreeSet::new(),
            shown: None,
            expect: BTreeMap::new(),
            dirty: true,
            unowned: 0,
            plan_due: now,
            planned: None,
            spared: false,
            ask_due: now,
            members_due: now + MEMBERS_PERIOD,
        }
    }

    /// Goes on from the same process's term before.
    pub fn inherit(&mut self, before: &mut Self, base: &Base, now: Instant) {
        self.moves = std::mem::take(&mut before.moves);
        self.ungranted = std::mem::take(&mut before.ungranted);
        self.denied = std::mem::take(&mut before.denied);
        self.shown = before.shown.take();
        self.spared = before.spared;
        for at in std::mem::take(&mut before.bars).into_keys() {
            self.bars
                .extend(closing(base, now, &at).map(|closing| (at, closing)));
        }
    }

    /// After a pause of this process the silence of others says nothing.
    pub fn excuse(&mut self, now: Instant) {
        self.since = now;
    }

    pub fn advance(&mut self, base: &mut Base, now: Instant, out: &mut Vec<Action>) {
        base.read_if_due(now, out);
        if base.service.is_none() {
            return;
        }
        self.watch_targets(base, now, out);
        self.ask(base, now, out);
        self.settle(base, now, out);
        self.change_members(base, now, out);
        self.renew(base, now, out);
        self.start_moves(base, now, out);
        self.order(base, now, out);
        self.show(base, now, out);
    }

    pub fn vouch(&self, base: &Base, now: Instant, seq: u64, term: Term) -> Vouch {
        let barred = self.barred();
        Vouch {
            seq,
            term,
            bounds: base.fleet.bounds.left(now, Some(&barred)),
            barred,
            table_ms: age_ms(now, self.right.confirmed()),
            holder_ms: 0,
        }
    }

    pub fn on_vouch(
        &mut self,
        base: &Base,
        now: Instant,
        from: &VmId,
        asked: Instant,
        vouch: &Vouch,
    ) {
        self.right.vouch(from, asked, &vouch.barred);
        if let Some(at) = asked.checked_sub(Duration::from_millis(vouch.table_ms)) {
            self.right.confirm(at);
        }
        let others = base.others();
        let Some(member) = others.iter().find(|m| m.vm == *from) else {
            return;
        };
        for (at, closing) in &mut self.bars {
            if asked >= closing.since() && vouch.barred.contains(at) {
                let bounds = vouch.bounds.iter().filter(|bound| bound.at == *at);
                closing.told(member, now, latest(now, bounds));
            }
        }
    }

    pub fn on_stopped(&mut self, now: Instant, from: &VmId, stopped: &Stopped) {
        for prior in &mut self.prior {
            let named = prior.place.members.iter();
            let mut named = named.filter(|m| m.vm == *from && m.boot == stopped.boot);
            if let Some(member) = named.next().filter(|_| prior.place.term == stopped.prior) {
                prior
                    .closing
                    .told(member, now, latest(now, stopped.bounds.iter()));
            }
        }
    }

    pub fn on_leave(&mut self, base: &mut Base, now: Instant, from: &VmId) {
        let named = base.others().into_iter().find(|m| m.vm == *from);
        if let Some(member) = named {
            base.shun(now, member);
            self.members_due = now;
        }
    }

    pub fn on_reply(
        &mut self,
        base: &mut Base,
        now: Instant,
        target: &TargetId,
        reply: &OrderReply,
        out: &mut Vec<Action>,
    ) {
        let Some(at) = base.fleet.process(target) else {
            return;
        };
        if self.moves.released(&at, &reply.released) {
            self.dirty = true;
        }
        self.take_grants(base, &at, reply, out);
        let expected = self
            .expect
            .get(target)
            .filter(|expect| expect.boot == at.boot);
        let strays =
            expected.is_some_and(|expect| expect.differs(reply)) && !self.is_changing(base, &at);
        if let Some(contact) = base.fleet.contacts.get_mut(target) {
            contact.strays = if strays { contact.strays + 1 } else { 0 };
            if contact.strays == 1 {
                contact.due = now;
            }
        }
    }

    pub fn status(&self, base: &Base, now: Instant, status: &mut GroupStatus) {
        status.ordering = self.right.covers(now, None);
        status.moves = self.moves.len();
        status.unowned = self.unowned;
        status.prior = self.prior.len();
        let silent = base.fleet.contacts.iter().filter(|(_, c)| c.is_silent(now));
        status.lost = silent.map(|(target, _)| target.clone()).collect();
    }

    pub fn wake(&self, base: &Base) -> Option<Instant> {
        let contacts = base.fleet.contacts.values();
        let orders = contacts
            .flat_map(|c| [Some(c.due), c.suspect_at()])
            .flatten();
        let closings = self
            .bars
            .values()
            .chain(self.prior.iter().map(|prior| &prior.closing));
        let ends = closings.filter_map(Closing::end);
        let right = self.right.until().map(|until| until - RENEW_AHEAD);
        let own = [self.ask_due, self.plan_due, base.read_due];
        orders.chain(ends).chain(right).chain(own).min()
    }

    pub fn barred(&self) -> Vec<TargetBoot> {
        self.bars.keys().cloned().collect()
    }

    /// Returns whether a target's process has certainly lost its grants.
    pub fn is_out(&self, base: &Base, now: Instant, at: &TargetBoot) -> bool {
        let closed = self
            .bars
            .get(at)
            .is_some_and(|closing| closing.is_over(now));
        closed && (self.priors_over(now) || self.refuses_priors(base, at))
    }

    /// A process that saw the present term and checks terms takes no order of an earlier one.
    fn refuses_priors(&self, base: &Base, at: &TargetBoot) -> bool {
        let contact = base.fleet.contacts.get(&at.target);
        let contact = contact.filter(|contact| contact.boot == Some(at.boot));
        contact.is_some_and(|contact| contact.term >= Some(base.term()))
    }

    fn priors_over(&self, now: Instant) -> bool {
        self.prior.iter().all(|prior| prior.closing.is_over(now))
    }

    /// Returns whether the table answered lately; asks it if that is open.
    pub fn table_works(&self, base: &mut Base, now: Instant) -> bool {
        let works = base.store.works(now, TABLE_FRESH);
        if !works && !base.store.failed() {
            base.read_due = base.read_due.min(now);
        }
        works
    }

    fn is_changing(&self, base: &Base, at: &TargetBoot) -> bool {
        let moves = self.moves.iter().any(|m| m.from == *at);
        let owner = |shard: &Shard| base.shards().and_then(|row| row.owner(*shard));
        moves
            || self
                .ungranted
                .iter()
                .any(|shard| owner(shard).as_ref() == Some(at))
    }

    fn take_grants(
        &mut self,
        base: &Base,
        at: &TargetBoot,
        reply: &OrderReply,
        out: &mut Vec<Action>,
    ) {
        let Some(row) = base.shards() else {
            return;
        };
        let names = |given: &ShardFence| {
            let fence = row.owners.get(&given.shard).map(|owner| owner.fence);
            fence == Some(given.fence) && row.owner(given.shard).as_ref() == Some(at)
        };
        for given in reply.granted.iter().filter(|given| names(given)) {
            self.dirty |= self.ungranted.remove(&given.shard);
        }
        for given in reply.denied.iter().filter(|given| names(given)) {
            if self.moves.get(given.shard).is_none() && self.denied.insert(given.shard) {
                let details = format!(
                    "target={} shard={} fence={}",
                    at.target, given.shard, given.fence
                );
                out.push(Action::Record(Event::GrantDenied, details));
            }
        }
    }

    fn ask(&mut self, base: &mut Base, now: Instant, out: &mut Vec<Action>) {
        if now < self.ask_due {
            return;
        }
        self.ask_due = now + ASK_PERIOD;
        base.ask(now, &self.barred(), out);
        let Some(place) = base.place.clone() else {
            return;
        };
        for prior in &self.prior {
            for member in prior.closing.silent() {
                let stop = Stop {
                    prior: prior.place.term,
                    place: place.clone(),
                };
                base.send(&member.vm, PeerMessage::Stop(stop), out);
            }
        }
        if let Some(heir) = place.deputies().first().filter(|_| base.leaving) {
            base.send(&heir.vm, PeerMessage::Take(place.term), out);
        }
    }

    /// Bars the targets that are lost and can be replaced; returns to normal those that came back.
    fn watch_targets(&mut self, base: &mut Base, now: Instant, out: &mut Vec<Action>) {
        let Some((_, row)) = base.rows() else {
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
        if !base.store.writing() {
            self.unbar(base, now);
        }
        let lost: Vec<_> = owners
            .into_iter()
            .filter(|at| self.is_lost(base, now, at))
            .collect();
        let lost: Vec<_> = lost
            .into_iter()
            .filter(|at| !self.bars.contains_key(at))
            .collect();
        if lost.is_empty() || !self.table_works(base, now) {
            return;
        }
        let mut room = self.room(base, now);
        for at in lost {
            let restarted = base.fleet.process(&at.target).is_some_and(|p| p != at);
            let counts = !restarted && base.serving().any(|(target, _)| *target == at.target);
            if !counts || room > 0 {
                room -= usize::from(counts);
                self.bar(base, now, at, restarted, out);
            } else if !std::mem::replace(&mut self.spared, true) {
                let details = format!("group={} target={}", base.conf.group, at.target);
                out.push(Action::Record(Event::LossSpared, details));
            }
        }
    }

    fn is_lost(&self, base: &Base, now: Instant, at: &TargetBoot) -> bool {
        let Some(contact) = base.fleet.contacts.get(&at.target) else {
            return now >= self.since + SUSPECT_AFTER;
        };
        contact.is_silent(now) || contact.boot.is_some_and(|boot| boot != at.boot)
    }

    /// Returns how many more targets may be given up as lost: at most half of those in service, and
    /// none while all are silent, for then this VM itself may be cut off.
    fn room(&self, base: &Base, now: Instant) -> usize {
        let mut alive = 0;
        let mut given_up = 0;
        let mut serving = 0;
        for (target, _) in base.serving() {
            let contact = base.fleet.contacts.get(target);
            let silent = contact.is_some_and(|c| c.is_silent(now));
            let barred = self.bars.keys().any(|at| at.target == *target);
            let owns = base
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

    fn bar(
        &mut self,
        base: &Base,
        now: Instant,
        at: TargetBoot,
        restarted: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(closing) = closing(base, now, &at) else {
            return;
        };
        let event = if restarted {
            Event::TargetRestarted
        } else {
            Event::TargetLost
        };
        let details = format!("group={} target={}", base.conf.group, at.target);
        out.push(Action::Record(event, details));
        self.bars.insert(at, closing);
        self.ask_due = now;
        self.dirty = true;
    }

    fn unbar(&mut self, base: &Base, now: Instant) {
        let Some(row) = base.shards() else {
            return;
        };
        let back = |at: &TargetBoot| {
            let contact = base.fleet.contacts.get(&at.target);
            contact.is_some_and(|c| c.is_alive(now) && c.boot == Some(at.boot))
        };
        let owns = |at: &TargetBoot| row.boots.get(&at.target) == Some(&at.boot);
        let before = self.bars.len();
        self.bars.retain(|at, _| owns(at) && !back(at));
        self.dirty |= self.bars.len() != before;
        self.spared &= !self.bars.is_empty();
    }

    /// Names other deputies where some are lost or better ones are to be had.
    fn change_members(&mut self, base: &mut Base, now: Instant, out: &mut Vec<Action>) {
        if now < self.members_due || base.store.writing() {
            return;
        }
        self.members_due = now + MEMBERS_PERIOD;
        let Some(place) = base.place.clone() else {
            return;
        };
        let heard = |m: &Member| self.right.vouched(&m.vm).max(Some(self.since));
        for member in place.deputies() {
            if heard(member).is_some_and(|at| now >= at + DEPUTY_LOST) {
                base.shun(now, member.clone());
            }
        }
        let kept = place.deputies();
        let wanted: BTreeSet<_> = elect::members(base, now, kept).into_iter().collect();
        let named: BTreeSet<_> = place.members.iter().cloned().collect();
        if wanted != named && self.table_works(base, now) {
            base.take(now, kept, out);
        }
    }

    /// Proves the term by a write where the vouches do not suffice, and forgets ended terms.
    fn renew(&mut self, base: &mut Base, now: Instant, out: &mut Vec<Action>) {
        if base.store.writing() {
            return;
        }
        let lacking = self
            .right
            .until()
            .is_none_or(|until| until < now + RENEW_AHEAD);
        let ended = !self.prior.is_empty() && self.priors_over(now);
        let tidy = ended && base.store.works(now, TABLE_FRESH);
        if !lacking && !tidy {
            return;
        }
        let Some((row, _)) = base.rows() else {
            return;
        };
        let mut row = row.clone();
        if ended {
            row.prior.clear();
            self.prior.clear();
        }
        base.commit(now, Pending::Touch, Some(row), None, out);
    }

    fn order(&mut self, base: &mut Base, now: Instant, out: &mut Vec<Action>) {
        let barred = self.barred();
        for target in orders::due(base, now) {
            let shards = self.shards_for(base, &target);
            orders::send(base, now, &self.right, &barred, &target, shards, out);
        }
    }

    fn shards_for(&self, base: &Base, target: &TargetId) -> orders::Shards {
        let Some(at) = base.fleet.process(target) else {
            return orders::Shards::default();
        };
        let strays = base
            .fleet
            .contacts
            .get(target)
            .is_some_and(|c| c.strays > 0);
        let owned = base.shards().map_or(Vec::new(), |row| row.shards_of(&at));
        let wanted = |given: &ShardFence| {
            let due = strays || self.ungranted.contains(&given.shard);
            due && self.moves.get(given.shard).is_none() && !self.denied.contains(&given.shard)
        };
        orders::Shards {
            grant: owned.into_iter().filter(wanted).collect(),
            release: self.moves.pending(&at),
        }
    }
}

impl Prior {
    fn new(base: &Base, now: Instant, place: &Place) -> Self {
        let mut closing = Closing::of_term(now, place);
        let bounds = base.fleet.bounds.left(now, None);
        closing.told(&base.me(), now, latest(now, bounds.iter()));
        Self {
            place: place.clone(),
            closing,
        }
    }
}

/// Starts to close the orders to a target; this process itself stops at once.
fn closing(base: &Base, now: Instant, at: &TargetBoot) -> Option<Closing> {
    let mut closing = Closing::of_target(now, base.place.as_ref()?);
    let end = base.fleet.bounds.end(at).unwrap_or(now);
    closing.told(&base.me(), now, end);
    Some(closing)
}

/// Returns the latest moment that some bounds received at `now` allow.
fn latest<'a>(now: Instant, bounds: impl Iterator<Item = &'a Bound>) -> Instant {
    let left = |bound: &Bound| Duration::from_micros(bound.left_us).min(longest_lease());
    let left = bounds.map(left).max();
    now + left.unwrap_or_default()
}
