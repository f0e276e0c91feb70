//! The control of one group on one VM: who holds it, who owns its shards, what to order.

mod bars;
mod base;
mod batch;
mod deputy;
mod elect;
mod fleet;
mod io;
mod lead;
mod members;
mod messages;
mod orders;
mod seats;
mod settle;
mod show;
mod store;
mod watch;

use std::time::Duration;
use std::time::Instant;

use crate::events::Event;
use crate::ids::TargetId;
use crate::ids::Term;
use crate::owner::group::base::Base;
use crate::owner::group::base::Pending;
use crate::owner::group::deputy::Deputy;
use crate::owner::group::fleet::Heard;
use crate::owner::group::lead::Lead;
use crate::owner::group::store::Outcome;
use crate::owner::group::watch::Watch;
use crate::owner::message::Place;
use crate::owner::order::OrderReply;
use crate::owner::order::Refusal;

pub use io::Action;
pub use io::GroupConf;
pub use io::GroupStatus;
pub use io::Input;
pub use io::Peer;

const SHORTEST_TICK: Duration = Duration::from_millis(10);
const LONGEST_TICK: Duration = Duration::from_secs(1);
const PAUSE_LIMIT: Duration = Duration::from_millis(150);

/// The control of one group on one VM.
#[derive(Debug)]
pub struct Group {
    base: Base,
    role: Role,
    last: Instant,
    next: Instant,
}

#[derive(Debug)]
enum Role {
    Watcher(Watch),
    Deputy(Box<Deputy>),
    Holder(Box<Lead>),
}

impl Group {
    /// Starts without knowing anything of the group; `seed` makes the draws of this process.
    pub fn new(now: Instant, conf: GroupConf, seed: u64) -> Self {
        Self {
            base: Base::new(now, conf, seed),
            role: Role::Watcher(Watch::default()),
            last: now,
            next: now,
        }
    }

    /// Takes one input and returns what follows from it.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        self.notice_pause(now);
        match input {
            Input::Tick | Input::OrderFailed { .. } => {}
            Input::Service(service) => self.base.set_service(now, service),
            Input::Vms(peers) => self.base.peers = peers,
            Input::Loads(loads) => self.on_loads(now, loads, &mut out),
            Input::Reply { target, reply } => self.on_reply(now, &target, &reply, &mut out),
            Input::Peer { from, message } => self.on_peer(now, &from, message, &mut out),
            Input::RowsRead { id, result } => {
                let outcome = self.base.store.on_read(now, id, result);
                self.on_outcome(now, outcome, &mut out);
            }
            Input::Committed { id, result } => {
                let outcome = self.base.store.on_committed(now, id, result, &mut out);
                self.on_outcome(now, outcome, &mut out);
            }
        }
        self.advance(now, &mut out);
        out
    }

    /// Returns when to send [`Input::Tick`], if nothing comes before.
    pub fn next_tick(&self) -> Instant {
        self.next
    }

    /// Prepares a planned stop: the others take over this VM's part. Send ticks until
    /// [`Group::may_stop`].
    pub fn hand_over(&mut self, now: Instant) -> Vec<Action> {
        self.base.leaving = true;
        self.handle(now, Input::Tick)
    }

    /// Returns whether this process can stop without a gap in the group's control.
    pub fn may_stop(&self) -> bool {
        match &self.role {
            Role::Watcher(_) => true,
            Role::Deputy(_) => false,
            Role::Holder(_) => !self.base.has_heir(),
        }
    }

    /// Returns what this VM knows of the group.
    pub fn status(&self) -> GroupStatus {
        let place = self.base.place.as_ref();
        let mut status = GroupStatus {
            term: self.base.term(),
            holder: place.and_then(Place::holder).map(|m| m.vm.clone()),
            deputies: place.map_or(Vec::new(), |p| {
                p.deputies().iter().map(|m| m.vm.clone()).collect()
            }),
            writing: self.base.store.writing(),
            ..GroupStatus::default()
        };
        match &self.role {
            Role::Watcher(_) => {}
            Role::Deputy(deputy) => status.ordering = deputy.orders(self.last),
            Role::Holder(lead) => lead.status(&self.base, self.last, &mut status),
        }
        status
    }

    fn advance(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.base.store.tick(now, out);
        match &mut self.role {
            Role::Watcher(watch) => watch.advance(&mut self.base, now, out),
            Role::Deputy(deputy) => deputy.advance(&mut self.base, now, out),
            Role::Holder(lead) => lead.advance(&mut self.base, now, out),
        }
        self.base.fleet.bounds.prune(now);
        let wake = match &self.role {
            Role::Watcher(watch) => watch.wake(&self.base, now),
            Role::Deputy(deputy) => deputy.wake(&self.base),
            Role::Holder(lead) => lead.wake(&self.base),
        };
        let wake = wake.into_iter().chain(self.base.store.next_tick()).min();
        let wake = wake.unwrap_or(now + LONGEST_TICK);
        self.next = wake.clamp(now + SHORTEST_TICK, now + LONGEST_TICK);
        self.last = now;
    }

    /// After a pause of this process the silence of others says nothing.
    fn notice_pause(&mut self, now: Instant) {
        if now <= self.next.max(self.last) + PAUSE_LIMIT {
            return;
        }
        for contact in self.base.fleet.contacts.values_mut() {
            contact.excuse(now);
        }
        match &mut self.role {
            Role::Watcher(watch) => *watch = Watch::default(),
            Role::Deputy(deputy) => deputy.excuse(now),
            Role::Holder(lead) => lead.excuse(now),
        }
    }

    fn on_outcome(&mut self, now: Instant, outcome: Outcome, out: &mut Vec<Action>) {
        match outcome {
            Outcome::Nothing => {}
            Outcome::Read { begun } => self.on_rows(now, begun, out),
            Outcome::Beaten { begun } => {
                self.base.pending = None;
                self.on_rows(now, begun, out);
            }
            Outcome::Written { begun } => self.on_written(now, begun, out),
            Outcome::Failed => self.base.read_due = now + self.base.store.pause(),
            Outcome::Malformed(error) => {
                self.base.read_due = now + self.base.store.pause();
                out.push(Action::Record(Event::RowMalformed, error.to_string()));
            }
        }
    }

    fn on_rows(&mut self, now: Instant, begun: Instant, out: &mut Vec<Action>) {
        let period = match &self.role {
            Role::Watcher(_) => watch::READ_PERIOD,
            Role::Deputy(_) => deputy::READ_PERIOD,
            Role::Holder(_) => lead::READ_PERIOD,
        };
        self.base.read_due = now + self.base.jitter(period);
        let row = self.base.store.rows().and_then(|rows| rows.group.as_ref());
        let Some(place) = row.map(|row| row.place.clone()) else {
            return;
        };
        if place.term > self.base.term() {
            self.adopt(now, place.clone(), out);
        }
        if place.term != self.base.term() {
            return;
        }
        match &mut self.role {
            Role::Watcher(_) => {}
            Role::Deputy(deputy) => deputy.confirmed(&mut self.base, now, begun, out),
            Role::Holder(lead) => lead.right.confirm(begun),
        }
    }

    fn on_written(&mut self, now: Instant, begun: Instant, out: &mut Vec<Action>) {
        let pending = self.base.pending.take();
        let row = self.base.store.rows().and_then(|rows| rows.group.as_ref());
        let Some(place) = row.map(|row| row.place.clone()) else {
            return;
        };
        match pending {
            Some(Pending::Take) if place.term > self.base.term() => {
                self.lead(now, begun, place, out);
            }
            Some(Pending::Shards(shards)) if place.term == self.base.term() => {
                if let Role::Holder(lead) = &mut self.role {
                    lead.right.wrote(begun);
                    lead.on_placed(&mut self.base, now, shards);
                }
            }
            _ if place.term == self.base.term() => {
                if let Role::Holder(lead) = &mut self.role {
                    lead.right.wrote(begun);
                }
            }
            _ => {}
        }
    }

    /// Becomes the holder under a term that the table holds.
    fn lead(&mut self, now: Instant, begun: Instant, place: Place, out: &mut Vec<Action>) {
        let details = format!("group={} term={}", self.base.conf.group, place.term);
        out.push(Action::Record(Event::GroupTaken, details));
        self.base.place = Some(place.clone());
        let mut lead = Lead::new(&self.base, now, &place);
        lead.right.wrote(begun);
        if let Role::Holder(before) = &mut self.role {
            lead.inherit(before, &self.base, now);
        }
        self.role = Role::Holder(Box::new(lead));
    }

    /// Takes a later term into account; the role follows from the members that it names.
    fn adopt(&mut self, now: Instant, place: Place, out: &mut Vec<Action>) {
        if let Role::Holder(_) = &self.role {
            let details = format!("group={} term={}", self.base.conf.group, place.term);
            out.push(Action::Record(Event::GroupLost, details));
        }
        let me = self.base.me();
        self.base.place = Some(place.clone());
        self.role = match place.members.iter().position(|m| *m == me) {
            None => Role::Watcher(Watch::default()),
            Some(0) => {
                let lead = Lead::new(&self.base, now, &place);
                Role::Holder(Box::new(lead))
            }
            Some(index) => {
                self.base.read_due = now + self.base.jitter(deputy::FIRST_READ);
                Role::Deputy(Box::new(Deputy::new(now, place.need, index)))
            }
        };
    }

    fn on_reply(
        &mut self,
        now: Instant,
        target: &TargetId,
        reply: &OrderReply,
        out: &mut Vec<Action>,
    ) {
        let Some(contact) = self.base.fleet.contacts.get_mut(target) else {
            return;
        };
        let heard = contact.heard(now, reply);
        if reply.refused == Some(Refusal::OldTerm) {
            self.base.read_due = self.base.read_due.min(now);
        }
        match &mut self.role {
            Role::Holder(lead) if heard != Heard::Stale => {
                lead.on_reply(&mut self.base, now, target, reply, out);
            }
            _ => {}
        }
    }
}

/// Returns the time since `at` in whole milliseconds, rounded up; the longest when it never was.
fn age_ms(now: Instant, at: Option<Instant>) -> u64 {
    at.map_or(u64::from(u32::MAX), |at| {
        now.saturating_duration_since(at).as_millis() as u64 + 1
    })
}

/// The first term of a group.
const FIRST_TERM: Term = Term(1);
