//! Handling of messages from other VMs.

use std::time::Instant;

use crate::ids::VmId;
use crate::owner::group::Action;
use crate::owner::group::Group;
use crate::owner::group::Role;
use crate::owner::loads::Loads;
use crate::owner::message::Ask;
use crate::owner::message::Membership;
use crate::owner::message::PeerMessage;
use crate::owner::message::Stop;
use crate::owner::message::Stopped;
use crate::owner::message::Vouch;

impl Group {
    pub(super) fn on_peer(
        &mut self,
        now: Instant,
        from: &VmId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        match message {
            PeerMessage::Ask(ask) => self.on_ask(now, from, ask, out),
            PeerMessage::Vouch(vouch) => self.on_vouch(now, from, vouch),
            PeerMessage::Stop(stop) => self.on_stop(now, from, stop, out),
            PeerMessage::Stopped(stopped) => {
                if let Role::Holder(holder) = &mut self.role {
                    holder.on_stopped(now, from, &stopped);
                }
            }
            PeerMessage::Newer(term) => {
                if term > self.shared.term() {
                    self.shared.read_due = self.shared.read_due.min(now);
                }
            }
            PeerMessage::Loads(loads) => self.shared.samples.record(now, from, loads),
            PeerMessage::Leave(term) => match &mut self.role {
                Role::Holder(holder) if term == self.shared.term() => {
                    holder.on_leave(&mut self.shared, now, from)
                }
                _ => {}
            },
            PeerMessage::Take(term) => match &mut self.role {
                Role::Deputy(deputy) if term == self.shared.term() => {
                    deputy.on_take(&mut self.shared, now)
                }
                _ => {}
            },
        }
    }

    /// Answers a vouch request, and adopts the term in it if it is newer.
    pub(super) fn on_ask(&mut self, now: Instant, from: &VmId, ask: Ask, out: &mut Vec<Action>) {
        let seq = ask.seq;
        let term = ask.term;
        if term < self.shared.term() {
            let message = PeerMessage::Newer(self.shared.term());
            return self.shared.send(from, message, out);
        }
        if term > self.shared.term() {
            let Some(membership) = ask.membership.clone() else {
                return;
            };
            self.adopt_term(now, membership, out);
        }
        let vouch = match &mut self.role {
            Role::Watcher(_) => None,
            Role::Deputy(deputy) => deputy.on_ask(&mut self.shared, now, from, ask),
            Role::Holder(holder) => {
                self.shared.vouched.insert(from.clone(), now);
                Some(holder.vouch(&self.shared, now, seq, term))
            }
        };
        if let Some(vouch) = vouch {
            self.shared.send(from, PeerMessage::Vouch(vouch), out);
        }
    }

    pub(super) fn on_vouch(&mut self, now: Instant, from: &VmId, vouch: Vouch) {
        if vouch.term != self.shared.term() {
            return;
        }
        let Some(asked) = self.shared.asks.sent_at(vouch.seq) else {
            return;
        };
        match &mut self.role {
            Role::Watcher(_) => {}
            Role::Deputy(deputy) => deputy.on_vouch(from, asked, &vouch),
            Role::Holder(holder) => holder.on_vouch(&self.shared, now, from, asked, &vouch),
        }
    }

    /// Adds a load sample on the holder; on other VMs, sends it to the holder.
    pub(super) fn on_loads(&mut self, now: Instant, loads: Loads, out: &mut Vec<Action>) {
        let holder = self.shared.membership.as_ref().and_then(Membership::holder);
        let Some(holder) = holder.map(|m| m.vm.clone()) else {
            return;
        };
        if holder == self.shared.conf.me {
            self.shared.samples.record(now, &holder, loads);
        } else {
            self.shared.send(&holder, PeerMessage::Loads(loads), out);
        }
    }

    /// Confirms that this process takes no further part in an earlier term.
    pub(super) fn on_stop(&mut self, now: Instant, from: &VmId, stop: Stop, out: &mut Vec<Action>) {
        if stop.membership.term > self.shared.term() {
            self.adopt_term(now, stop.membership, out);
        }
        if self.shared.term() <= stop.prior {
            return;
        }
        let stopped = Stopped {
            boot: self.shared.conf.boot,
            prior: stop.prior,
            bounds: self.shared.fleet.bounds.remaining(now, None),
            vouched: self.shared.vouched(now),
        };
        self.shared.send(from, PeerMessage::Stopped(stopped), out);
    }
}
