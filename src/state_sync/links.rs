//! Opens and closes a VM's links, and subscribes to a feed over each link to a source of state.

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

/// Interval at which the topology is computed again while links to some VMs have failed.
const REPLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of the next attempt to open a link after a failed one.
const REDIAL_DELAY: Duration = Duration::from_secs(1);
/// Time after which an attempt to open a link without a result counts as lost.
const DIAL_TIMEOUT: Duration = Duration::from_secs(3);

impl StateSync {
    pub(super) fn on_link_opened(
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
        self.close_links_of_previous_process(&peer, out);
        if is_entry {
            self.send_missing_changes(link, &peer, out);
        } else {
            self.replan_at = Some(now);
            self.members.record_contact(&peer.vm);
        }
        self.links.insert(link, peer);
        self.close_duplicate_links(out);
        if is_entry {
            self.send_ranks(out);
        }
        self.send_crash_report(now, vec![link], out);
    }

    pub(super) fn on_link_closed(&mut self, now: Instant, link: LinkId) {
        let Some(peer) = self.links.remove(&link) else {
            return;
        };
        if peer.role == Role::Controller && self.link_to(&peer.vm).is_none() {
            self.members.record_failure(now, &peer.vm);
            self.replan_at = Some(now);
        }
    }

    pub(super) fn on_dial_failed(&mut self, now: Instant, vm: &VmId) {
        self.dialling.insert(vm.clone(), now + REDIAL_DELAY);
        if self.link_to(vm).is_none() {
            self.members.record_failure(now, vm);
            self.replan_at = Some(now);
        }
    }

    pub(super) fn on_subscribe(&mut self, now: Instant, link: LinkId, feed: Feed) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.sent_feed = feed;
            peer.summary_due = now;
        }
    }

    /// Computes the topology again if that is due, opens missing links, and closes unneeded ones
    /// once all sources of state are linked.
    pub(super) fn maintain_links(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.replan_at.is_some_and(|at| now >= at) {
            let has_suspects = self.members.has_suspects();
            self.replan_at = has_suspects.then_some(now + REPLAN_INTERVAL);
            let alive = self.members.presumed_alive(now);
            self.topology = Topology::new(&self.conf.vm, &self.conf.data_centre, alive);
        }
        let sources = self.sources();
        for (vm, feed) in &sources {
            self.subscribe(now, vm, *feed, out);
        }
        self.dial_missing_links(now, out);
        self.dial_seeds(now, out);
        let is_linked = |(vm, _): &(VmId, Feed)| self.link_to(vm).is_some();
        if sources.iter().all(is_linked) {
            self.close_unneeded_links(out);
        }
    }

    /// Returns the VMs to receive state from, with the feed to subscribe to at each.
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

    fn subscribe(&mut self, now: Instant, vm: &VmId, feed: Feed, out: &mut Vec<Action>) {
        let Some(link) = self.link_to(vm) else {
            return;
        };
        let Some(peer) = self.links.get_mut(&link) else {
            return;
        };
        if peer.needs_subscription(now, feed) {
            peer.received_feed = feed;
            peer.subscribed_at = now;
            let message = Message::Subscribe(feed);
            let links = vec![link];
            out.push(Action::Send { links, message });
        }
    }

    fn dial_missing_links(&mut self, now: Instant, out: &mut Vec<Action>) {
        let sources = self.sources().into_iter().map(|(vm, _)| vm);
        let required: BTreeSet<_> = sources.chain(self.required_links.iter().cloned()).collect();
        for vm in required {
            let is_dialling = self.dialling.get(&vm).is_some_and(|until| now < *until);
            if vm == self.conf.vm || is_dialling || self.link_to(&vm).is_some() {
                continue;
            }
            let Some(entry) = self.members.entry(&vm) else {
                continue;
            };
            let address = entry.address;
            self.dialling.insert(vm.clone(), now + DIAL_TIMEOUT);
            let vm = Some(vm);
            out.push(Action::Dial { vm, address });
        }
    }

    fn dial_seeds(&mut self, now: Instant, out: &mut Vec<Action>) {
        if self.members.count() > 0
            || now < self.next_seed_dial
            || self.linked_controllers().next().is_some()
        {
            return;
        }
        self.next_seed_dial = now + DIAL_TIMEOUT;
        for address in self.conf.seeds.iter().copied() {
            out.push(Action::Dial { vm: None, address });
        }
    }

    // Closes the links to previous processes of the peer's VM, which may never be closed by that
    // side.
    fn close_links_of_previous_process(&self, peer: &Peer, out: &mut Vec<Action>) {
        for (link, other) in &self.links {
            let same_role = other.vm == peer.vm && other.role == peer.role;
            if same_role && other.hello.boot != peer.hello.boot {
                out.push(Action::CloseLink(*link));
            }
        }
    }

    // Closes the links opened by this side to VMs for which `link_to` prefers another link.
    fn close_duplicate_links(&self, out: &mut Vec<Action>) {
        for (link, peer) in &self.links {
            let duplicate = peer.dialled && self.link_to(&peer.vm) != Some(*link);
            if duplicate && peer.role == Role::Controller {
                out.push(Action::CloseLink(*link));
            }
        }
    }

    // Unsubscribes from VMs that are no sources of state any more, then closes their links unless
    // the VM subscribes to this one or the link is required.
    fn close_unneeded_links(&mut self, out: &mut Vec<Action>) {
        let sources = self.sources().into_iter();
        let sources: BTreeSet<_> = sources.map(|(vm, _)| vm).collect();
        for (link, peer) in &mut self.links {
            if sources.contains(&peer.vm) || peer.role == Role::Entry {
                continue;
            }
            let links = vec![*link];
            if peer.received_feed != Feed::Off {
                peer.received_feed = Feed::Off;
                let message = Message::Subscribe(Feed::Off);
                out.push(Action::Send { links, message });
            } else if peer.dialled
                && peer.sent_feed == Feed::Off
                && !self.required_links.contains(&peer.vm)
            {
                out.push(Action::CloseLink(*link));
            }
        }
    }

    // Sends the changes that an entry lacked when it opened the link.
    fn send_missing_changes(&self, link: LinkId, peer: &Peer, out: &mut Vec<Action>) {
        let changes = self.recent.changes_for(&self.view, &peer.hello.digest);
        if !changes.is_empty() {
            let message = Message::Changes(changes);
            let links = vec![link];
            out.push(Action::Send { links, message });
        }
    }
}
