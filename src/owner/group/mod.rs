//! State machine that controls one group on one VM: elects the holder, assigns shards to targets
//! and sends orders. It does no I/O and reads no clock, so tests can drive it with a virtual clock.

mod deputy;
mod elect;
mod fleet;
mod holder;
mod io;
mod lost_targets;
mod members;
mod messages;
mod orders;
mod placement;
mod plan_input;
mod planned_moves;
mod publish;
mod shared;
mod store;
mod watcher;

use std::time::Duration;
use std::time::Instant;

use crate::events::Event;
use crate::ids::TargetId;
use crate::ids::Term;
use crate::owner::group::deputy::Deputy;
use crate::owner::group::fleet::ReplyKind;
use crate::owner::group::holder::Holder;
use crate::owner::group::shared::Pending;
use crate::owner::group::shared::SharedState;
use crate::owner::group::store::Outcome;
use crate::owner::group::watcher::Watcher;
use crate::owner::message::Membership;
use crate::owner::order::OrderReply;
use crate::owner::order::Refusal;

pub use io::Action;
pub use io::GroupConf;
pub use io::GroupStatus;
pub use io::Input;
pub use io::Peer;

/// Shortest time until the next tick.
const MIN_TICK: Duration = Duration::from_millis(10);
/// Longest time until the next tick.
const MAX_TICK: Duration = Duration::from_secs(1);
/// An input that comes later than this after the due tick shows that the process was paused.
const MAX_TICK_DELAY: Duration = Duration::from_millis(150);

/// State machine for one group on one VM.
#[derive(Debug)]
pub struct Group {
    shared: SharedState,
    role: Role,
    last_run: Instant,
    next_wakeup: Instant,
}

#[derive(Debug)]
enum Role {
    Watcher(Watcher),
    Deputy(Box<Deputy>),
    Holder(Box<Holder>),
}

impl Group {
    /// Creates the state machine without any knowledge of the group; `seed` seeds its random
    /// numbers.
    pub fn new(now: Instant, conf: GroupConf, seed: u64) -> Self {
        Self {
            shared: SharedState::new(now, conf, seed),
            role: Role::Watcher(Watcher::default()),
            last_run: now,
            next_wakeup: now,
        }
    }

    /// Processes one input and returns the actions to carry out.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Action> {
        let mut out = Vec::new();
        self.detect_pause(now);
        match input {
            Input::Tick | Input::OrderFailed { .. } => {}
            Input::Service(service) => self.shared.set_service(now, service),
            Input::Vms(peers) => self.shared.peers = peers,
            Input::Loads(loads) => self.on_loads(now, loads, &mut out),
            Input::Reply { target, reply } => self.on_reply(now, &target, &reply, &mut out),
            Input::Peer { from, message } => self.on_peer(now, &from, message, &mut out),
            Input::RowsRead { id, result } => {
                let outcome = self.shared.store.on_read(now, id, result);
                self.on_outcome(now, outcome, &mut out);
            }
            Input::Committed { id, result } => {
                let outcome = self.shared.store.on_committed(now, id, result, &mut out);
                self.on_outcome(now, outcome, &mut out);
            }
        }
        self.advance(now, &mut out);
        out
    }

    /// Returns when to send [`Input::Tick`] unless another input comes first.
    pub fn next_tick(&self) -> Instant {
        self.next_wakeup
    }

    /// Prepares a planned stop: asks other members to take over this VM's role. Send ticks until
    /// [`Group::may_stop`] returns true.
    pub fn hand_over(&mut self, now: Instant) -> Vec<Action> {
        self.shared.leaving = true;
        self.handle(now, Input::Tick)
    }

    /// Returns true if this process can stop without interrupting the control of the group.
    pub fn may_stop(&self) -> bool {
        match &self.role {
            Role::Watcher(_) => true,
            Role::Deputy(_) => false,
            Role::Holder(_) => !self.shared.has_other_members(),
        }
    }

    /// Returns the group's status as this VM knows it.
    pub fn status(&self) -> GroupStatus {
        let membership = self.shared.membership.as_ref();
        let mut status = GroupStatus {
            term: self.shared.term(),
            holder: membership
                .and_then(Membership::holder)
                .map(|m| m.vm.clone()),
            deputies: membership.map_or(Vec::new(), |p| {
                p.deputies().iter().map(|m| m.vm.clone()).collect()
            }),
            writing: self.shared.store.writing(),
            ..GroupStatus::default()
        };
        match &self.role {
            Role::Watcher(_) => {}
            Role::Deputy(deputy) => status.ordering = deputy.may_order(self.last_run),
            Role::Holder(holder) => holder.status(&self.shared, self.last_run, &mut status),
        }
        status
    }

    fn advance(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.shared.store.tick(now, out);
        match &mut self.role {
            Role::Watcher(watcher) => watcher.advance(&mut self.shared, now, out),
            Role::Deputy(deputy) => deputy.advance(&mut self.shared, now, out),
            Role::Holder(holder) => holder.advance(&mut self.shared, now, out),
        }
        self.shared.fleet.bounds.prune(now);
        let wakeup = match &self.role {
            Role::Watcher(watcher) => watcher.next_wakeup(&self.shared, now),
            Role::Deputy(deputy) => deputy.next_wakeup(&self.shared),
            Role::Holder(holder) => holder.next_wakeup(&self.shared),
        };
        let wakeup = wakeup
            .into_iter()
            .chain(self.shared.store.next_tick())
            .min();
        let wakeup = wakeup.unwrap_or(now + MAX_TICK);
        self.next_wakeup = wakeup.clamp(now + MIN_TICK, now + MAX_TICK);
        self.last_run = now;
    }

    /// Restarts all timeouts after a pause of this process, during which it received no messages.
    fn detect_pause(&mut self, now: Instant) {
        if now <= self.next_wakeup.max(self.last_run) + MAX_TICK_DELAY {
            return;
        }
        for contact in self.shared.fleet.contacts.values_mut() {
            contact.reset_timeouts(now);
        }
        match &mut self.role {
            Role::Watcher(watcher) => *watcher = Watcher::default(),
            Role::Deputy(deputy) => deputy.reset_timeouts(now),
            Role::Holder(holder) => holder.reset_timeouts(now),
        }
    }

    fn on_outcome(&mut self, now: Instant, outcome: Outcome, out: &mut Vec<Action>) {
        match outcome {
            Outcome::Nothing => {}
            Outcome::Read { started } => self.on_rows(now, started, out),
            Outcome::Superseded { started } => {
                self.shared.pending = None;
                self.on_rows(now, started, out);
            }
            Outcome::Written { started } => self.on_written(now, started, out),
            Outcome::Failed => self.shared.read_due = now + self.shared.store.backoff(),
            Outcome::Malformed(error) => {
                self.shared.read_due = now + self.shared.store.backoff();
                out.push(Action::Record(Event::RowMalformed, error.to_string()));
            }
        }
    }

    fn on_rows(&mut self, now: Instant, started: Instant, out: &mut Vec<Action>) {
        let period = match &self.role {
            Role::Watcher(_) => watcher::READ_PERIOD,
            Role::Deputy(_) => deputy::READ_PERIOD,
            Role::Holder(_) => holder::READ_PERIOD,
        };
        self.shared.read_due = now + self.shared.jitter(period);
        let row = self
            .shared
            .store
            .rows()
            .and_then(|rows| rows.group.as_ref());
        let Some(membership) = row.map(|row| row.membership.clone()) else {
            return;
        };
        if membership.term > self.shared.term() {
            self.adopt_term(now, membership.clone(), out);
        }
        if membership.term != self.shared.term() {
            return;
        }
        match &mut self.role {
            Role::Watcher(_) => {}
            Role::Deputy(deputy) => deputy.on_term_confirmed(&mut self.shared, now, started, out),
            Role::Holder(holder) => holder.authority.record_confirmation(started),
        }
    }

    fn on_written(&mut self, now: Instant, started: Instant, out: &mut Vec<Action>) {
        let pending = self.shared.pending.take();
        let row = self
            .shared
            .store
            .rows()
            .and_then(|rows| rows.group.as_ref());
        let Some(membership) = row.map(|row| row.membership.clone()) else {
            return;
        };
        match pending {
            Some(Pending::NewTerm) if membership.term > self.shared.term() => {
                self.become_holder(now, started, membership, out);
            }
            Some(Pending::Placement(shards)) if membership.term == self.shared.term() => {
                if let Role::Holder(holder) = &mut self.role {
                    holder.authority.record_write(started);
                    holder.on_placed(&mut self.shared, now, shards);
                }
            }
            _ if membership.term == self.shared.term() => {
                if let Role::Holder(holder) = &mut self.role {
                    holder.authority.record_write(started);
                }
            }
            _ => {}
        }
    }

    /// Becomes the holder of a term that this process wrote to the table.
    fn become_holder(
        &mut self,
        now: Instant,
        started: Instant,
        membership: Membership,
        out: &mut Vec<Action>,
    ) {
        let details = format!("group={} term={}", self.shared.conf.group, membership.term);
        out.push(Action::Record(Event::GroupTaken, details));
        self.shared.membership = Some(membership.clone());
        let mut holder = Holder::new(&self.shared, now, &membership);
        holder.authority.record_write(started);
        if let Role::Holder(before) = &mut self.role {
            holder.inherit(before, &self.shared, now);
        }
        self.role = Role::Holder(Box::new(holder));
    }

    /// Adopts a later term and takes the role that its list of members gives this process.
    fn adopt_term(&mut self, now: Instant, membership: Membership, out: &mut Vec<Action>) {
        if let Role::Holder(_) = &self.role {
            let details = format!("group={} term={}", self.shared.conf.group, membership.term);
            out.push(Action::Record(Event::GroupLost, details));
        }
        let me = self.shared.me();
        self.shared.membership = Some(membership.clone());
        self.role = match membership.members.iter().position(|m| *m == me) {
            None => Role::Watcher(Watcher::default()),
            Some(0) => {
                let holder = Holder::new(&self.shared, now, &membership);
                Role::Holder(Box::new(holder))
            }
            Some(index) => {
                self.shared.read_due = now + self.shared.jitter(deputy::FIRST_READ);
                Role::Deputy(Box::new(Deputy::new(
                    now,
                    membership.required_vouches,
                    index,
                )))
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
        let Some(contact) = self.shared.fleet.contacts.get_mut(target) else {
            return;
        };
        let kind = contact.on_reply(now, reply);
        if reply.refused == Some(Refusal::OldTerm) {
            self.shared.read_due = self.shared.read_due.min(now);
        }
        match &mut self.role {
            Role::Holder(holder) if kind != ReplyKind::Stale => {
                holder.on_reply(&mut self.shared, now, target, reply, out);
            }
            _ => {}
        }
    }
}

/// Returns the time since `at` in whole milliseconds, rounded up; `u32::MAX` if `at` is `None`.
fn age_ms(now: Instant, at: Option<Instant>) -> u64 {
    at.map_or(u64::from(u32::MAX), |at| {
        now.saturating_duration_since(at).as_millis() as u64 + 1
    })
}

/// Term of a group's first holder.
const FIRST_TERM: Term = Term(1);
