//! Which links a VM keeps open, and what it asks for over each.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::ids::VmId;
use crate::link::Hello;
use crate::link::Message;
use crate::link::Role;
use crate::state_sync::Action;
use crate::state_sync::Feed;
use crate::state_sync::LinkId;
use crate::state_sync::RELAYS_PER_DATA_CENTRE;
use crate::state_sync::StateSync;
use crate::state_sync::Topology;
use crate::state_sync::peer::Peer;

const REPLAN_INTERVAL: Duration = Duration::from_secs(1);
const DIAL_INTERVAL: Duration = Duration::from_secs(1);
const DIAL_LIMIT: Duration = Duration::from_secs(3);

impl StateSync {
    pub(super) fn linked_up(
        &mut self,
        now: Instant,
        link: LinkId,
        hello: Hello,
        dialled: bool,
        out: &mut Vec<Action>,
    ) {
        let is_entry = hello.role == Role::Entry;
        let peer = Peer::new(now, hello, dialled);
        if dialled {
            self.dialling.remove(&peer.vm);
        }
        self.close_of_earlier(&peer, out);
        if is_entry {
            self.catch_up(link, &peer, out);
        } else {
            self.replan_at = Some(now);
            self.members.record_contact(&peer.vm);
        }
        self.links.insert(link, peer);
        self.close_doubled(out);
        if is_entry {
            self.tell_ranks(out);
        }
        self.send_crashes(now, vec![link], out);
    }

    pub(super) fn unlinked(&mut self, now: Instant, link: LinkId) {
        let Some(peer) = self.links.remove(&link) else {
            return;
        };
        if peer.role == Role::Controller && self.link_to(&peer.vm).is_none() {
            self.members.record_failure(now, &peer.vm);
            self.replan_at = Some(now);
        }
    }

    pub(super) fn unreachable(&mut self, now: Instant, vm: &VmId) {
        self.dialling.insert(vm.clone(), now + DIAL_INTERVAL);
        if self.link_to(vm).is_none() {
            self.members.record_failure(now, vm);
            self.replan_at = Some(now);
        }
    }

    pub(super) fn subscribed(&mut self, now: Instant, link: LinkId, feed: Feed) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.down = feed;
            peer.due = now;
        }
    }

    /// Replans when due, opens what is missing and closes what is no longer wanted.
    pub(super) fn maintain_links(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.replan_at.is_some_and(|at| now >= at) {
            let suspects = self.members.has_suspects();
            self.replan_at = suspects.then_some(now + REPLAN_INTERVAL);
            let believed = self.members.presumed_alive(now);
            self.topology = Topology::new(&self.conf.vm, &self.conf.data_centre, believed);
        }
        let sources = self.sources();
        for (vm, feed) in &sources {
            self.ask_feed(now, vm, *feed, out);
        }
        self.dial_missing(now, out);
        self.dial_seeds(now, out);
        let is_linked = |(vm, _): &(VmId, Feed)| self.link_to(vm).is_some();
        if sources.iter().all(is_linked) {
            self.close_surplus(out);
        }
    }

    /// Returns everybody to take state from, with what to ask for.
    pub(super) fn sources(&self) -> Vec<(VmId, Feed)> {
        let mesh = self.topology.mesh.iter().map(|vm| (vm.clone(), Feed::Mesh));
        let parents = match self.members.count() {
            0 => self
                .linked_controllers()
                .map(|hello| hello.vm.clone())
                .collect(),
            _ => self.topology.parents.clone(),
        };
        let parents = parents.into_iter().take(RELAYS_PER_DATA_CENTRE).enumerate();
        let parents = parents.map(|(at, vm)| match at {
            0 => (vm, Feed::Eager),
            _ => (vm, Feed::Lazy),
        });
        parents.chain(mesh).collect()
    }

    fn ask_feed(&mut self, now: Instant, vm: &VmId, feed: Feed, out: &mut Vec<Action>) {
        let Some(link) = self.link_to(vm) else {
            return;
        };
        let Some(peer) = self.links.get_mut(&link) else {
            return;
        };
        if peer.is_to_ask(now, feed) {
            peer.up = feed;
            peer.asked = now;
            let message = Message::Subscribe(feed);
            let links = vec![link];
            out.push(Action::Send { links, message });
        }
    }

    fn dial_missing(&mut self, now: Instant, out: &mut Vec<Action>) {
        let sources = self.sources().into_iter().map(|(vm, _)| vm);
        let wanted: BTreeSet<_> = sources.chain(self.wanted.iter().cloned()).collect();
        for vm in wanted {
            let waits = self.dialling.get(&vm).is_some_and(|until| now < *until);
            if vm == self.conf.vm || waits || self.link_to(&vm).is_some() {
                continue;
            }
            let Some(entry) = self.members.entry(&vm) else {
                continue;
            };
            let address = entry.address;
            self.dialling.insert(vm.clone(), now + DIAL_LIMIT);
            let vm = Some(vm);
            out.push(Action::Dial { vm, address });
        }
    }

    fn dial_seeds(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.members.count() > 0
            || now < self.seeds_at
            || self.linked_controllers().next().is_some()
        {
            return;
        }
        self.seeds_at = now + DIAL_LIMIT;
        for address in self.conf.seeds.iter().copied() {
            out.push(Action::Dial { vm: None, address });
        }
    }

    // Closes the links to an earlier process of the same VM, which may be silent for good.
    fn close_of_earlier(&self, peer: &Peer, out: &mut Vec<Action>) {
        for (link, other) in &self.links {
            let same = other.vm == peer.vm && other.role == peer.role;
            if same && other.hello.boot != peer.hello.boot {
                out.push(Action::CloseLink(*link));
            }
        }
    }

    // Closes the links that this side opened beside a better one to the same VM.
    fn close_doubled(&self, out: &mut Vec<Action>) {
        for (link, peer) in &self.links {
            let doubled = peer.dialled && self.link_to(&peer.vm) != Some(*link);
            if doubled && peer.role == Role::Controller {
                out.push(Action::CloseLink(*link));
            }
        }
    }

    fn close_surplus(&mut self, out: &mut Vec<Action>) {
        let sources = self.sources().into_iter();
        let sources: BTreeSet<_> = sources.map(|(vm, _)| vm).collect();
        for (link, peer) in &mut self.links {
            if sources.contains(&peer.vm) || peer.role == Role::Entry {
                continue;
            }
            let links = vec![*link];
            if peer.up != Feed::Off {
                peer.up = Feed::Off;
                let message = Message::Subscribe(Feed::Off);
                out.push(Action::Send { links, message });
            } else if peer.dialled && peer.down == Feed::Off && !self.wanted.contains(&peer.vm) {
                out.push(Action::CloseLink(*link));
            }
        }
    }

    fn catch_up(&self, link: LinkId, peer: &Peer, out: &mut Vec<Action>) {
        let changes = self.recent.changes_for(&self.view, &peer.hello.digest);
        if !changes.is_empty() {
            let message = Message::Changes(changes);
            let links = vec![link];
            out.push(Action::Send { links, message });
        }
    }
}
