//! The holder: it renews its right, watches the targets and decides who owns what.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::events::Event;
use crate::ids::Shard;
use crate::ids::TargetId;
use crate::owner::assignment::Assignment;
use crate::owner::group::Action;
use crate::owner::group::GroupStatus;
use crate::owner::group::bars::closing;
use crate::owner::group::base::Base;
use crate::owner::group::orders;
use crate::owner::group::settle::Planned;
use crate::owner::group::show::Expect;
use crate::owner::message::Place;
use crate::owner::message::TargetBoot;
use crate::owner::moves::Moves;
use crate::owner::order::OrderReply;
use crate::owner::order::ShardFence;
use crate::owner::right::Right;
use crate::owner::takeover::Closing;

/// Time between two reads of the rows.
pub(super) const READ_PERIOD: Duration = Duration::from_secs(30);

pub(super) const MEMBERS_PERIOD: Duration = Duration::from_secs(1);
pub(super) const RENEW_AHEAD: Duration = Duration::from_millis(120);

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
    pub spared: bool,
    pub ask_due: Instant,
    pub members_due: Instant,
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
        let begun = std::mem::take(&mut before.prior);
        for known in begun {
            let same = |prior: &&mut Prior| prior.place.term == known.place.term;
            if let Some(prior) = self.prior.iter_mut().find(same) {
                *prior = known;
            }
        }
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
