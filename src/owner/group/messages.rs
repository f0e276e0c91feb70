//! The messages of other VMs about the group.

use std::time::Instant;

use crate::ids::VmId;
use crate::owner::group::Action;
use crate::owner::group::Group;
use crate::owner::group::Role;
use crate::owner::loads::Loads;
use crate::owner::message::Ask;
use crate::owner::message::PeerMessage;
use crate::owner::message::Place;
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
                if let Role::Holder(lead) = &mut self.role {
                    lead.on_stopped(now, from, &stopped);
                }
            }
            PeerMessage::Newer(term) => {
                if term > self.base.term() {
                    self.base.read_due = self.base.read_due.min(now);
                }
            }
            PeerMessage::Loads(loads) => self.base.samples.take(now, from, loads),
            PeerMessage::Leave(term) => match &mut self.role {
                Role::Holder(lead) if term == self.base.term() => {
                    lead.on_leave(&mut self.base, now, from)
                }
                _ => {}
            },
            PeerMessage::Take(term) => match &mut self.role {
                Role::Deputy(deputy) if term == self.base.term() => {
                    deputy.told(&mut self.base, now)
                }
                _ => {}
            },
        }
    }

    pub(super) fn on_ask(&mut self, now: Instant, from: &VmId, ask: Ask, out: &mut Vec<Action>) {
        let seq = ask.seq;
        let term = ask.term;
        if term < self.base.term() {
            let message = PeerMessage::Newer(self.base.term());
            return self.base.send(from, message, out);
        }
        if term > self.base.term() {
            let Some(place) = ask.place.clone() else {
                return;
            };
            self.adopt(now, place, out);
        }
        let vouch = match &mut self.role {
            Role::Watcher(_) => None,
            Role::Deputy(deputy) => deputy.on_ask(&mut self.base, now, from, ask),
            Role::Holder(lead) => {
                self.base.vouched.insert(from.clone(), now);
                Some(lead.vouch(&self.base, now, seq, term))
            }
        };
        if let Some(vouch) = vouch {
            self.base.send(from, PeerMessage::Vouch(vouch), out);
        }
    }

    pub(super) fn on_vouch(&mut self, now: Instant, from: &VmId, vouch: Vouch) {
        if vouch.term != self.base.term() {
            return;
        }
        let Some(asked) = self.base.asks.asked(vouch.seq) else {
            return;
        };
        match &mut self.role {
            Role::Watcher(_) => {}
            Role::Deputy(deputy) => deputy.on_vouch(from, asked, &vouch),
            Role::Holder(lead) => lead.on_vouch(&self.base, now, from, asked, &vouch),
        }
    }

    /// The holder sums the samples; the others send theirs to it.
    pub(super) fn on_loads(&mut self, now: Instant, loads: Loads, out: &mut Vec<Action>) {
        let holder = self.base.place.as_ref().and_then(Place::holder);
        let Some(holder) = holder.map(|m| m.vm.clone()) else {
            return;
        };
        if holder == self.base.conf.me {
            self.base.samples.take(now, &holder, loads);
        } else {
            self.base.send(&holder, PeerMessage::Loads(loads), out);
        }
    }

    pub(super) fn on_stop(&mut self, now: Instant, from: &VmId, stop: Stop, out: &mut Vec<Action>) {
        if stop.place.term > self.base.term() {
            self.adopt(now, stop.place, out);
        }
        if self.base.term() <= stop.prior {
            return;
        }
        let stopped = Stopped {
            boot: self.base.conf.boot,
            prior: stop.prior,
            bounds: self.base.fleet.bounds.left(now, None),
            vouched: self.base.vouched(now),
        };
        self.base.send(from, PeerMessage::Stopped(stopped), out);
    }
}
