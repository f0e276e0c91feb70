//! Counting the numbers in force: from children to relays, between relays, and back down.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::DataCentre;
use crate::link::EntryReport;
use crate::link::Message;
use crate::link::Role;
use crate::spread::Action;
use crate::spread::Census;
use crate::spread::Feed;
use crate::spread::LinkId;
use crate::spread::Spread;
use crate::spread::peer::Peer;

const COUNT_INTERVAL: Duration = Duration::from_secs(1);
const COUNT_LIMIT: Duration = Duration::from_secs(5);

impl Spread {
    pub(super) fn take_report(&mut self, link: LinkId, report: &EntryReport) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.number = Some(report.number);
        }
    }

    pub(super) fn take_census(&mut self, now: Instant, link: LinkId, census: Census) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.census = Some((now, census));
        }
    }

    /// Takes the counts of all data centres from a parent and hands them down.
    pub(super) fn take_centres(
        &mut self,
        link: LinkId,
        centres: Vec<Census>,
        out: &mut Vec<Action>,
    ) {
        let from_parent = self.links.get(&link).is_some_and(Peer::is_parent);
        if from_parent && !self.is_relay() {
            self.set_centres(centres, out);
        }
    }

    /// Counts and reports when due.
    pub(super) fn count(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now < self.count_at {
            return;
        }
        self.count_at = now + COUNT_INTERVAL;
        let below = self.count_below(now);
        if !self.is_relay() {
            let parents = self.links_where(|peer| peer.up == Feed::Eager);
            send(parents, Message::Census(below), out);
            return;
        }
        let own = self.conf.data_centre.clone();
        let sibling = self.links_where(|peer| peer.is_mesh() && peer.data_centre == own);
        let whole = self.with_siblings(now, &below);
        let others = self.links_where(|peer| peer.is_mesh() && peer.data_centre != own);
        send(sibling, Message::Census(below), out);
        send(others, Message::Census(whole.clone()), out);
        let centres = self.gather(now, whole);
        self.set_centres(centres, out);
    }

    fn count_below(&self, now: Instant) -> Census {
        let entries = self.links.values().filter(|peer| peer.vm == self.conf.vm);
        let told = entries.filter_map(|peer| peer.number).min();
        let held = self.view.state.number;
        let number = told.map_or(held, |told| told.min(held));
        let own = self.conf.data_centre.clone();
        let mut sum = Census::of(own, self.conf.vm.clone(), number);
        let children = self.links.values().filter(|peer| peer.down == Feed::Eager);
        let near = |census: &&Census| census.data_centre == sum.data_centre;
        let counts = children.filter_map(|peer| recent(peer, now));
        for census in counts.filter(near).cloned().collect::<Vec<_>>() {
            sum.add(&census);
        }
        sum
    }

    fn with_siblings(&self, now: Instant, below: &Census) -> Census {
        let mut sum = below.clone();
        let own = &self.conf.data_centre;
        let siblings = self.links.values();
        let siblings = siblings.filter(|peer| peer.is_mesh() && peer.data_centre == *own);
        let mut seen = BTreeMap::new();
        for peer in siblings {
            if let Some(census) = recent(peer, now) {
                seen.insert(&peer.vm, census);
            }
        }
        seen.values().for_each(|census| sum.add(census));
        sum
    }

    fn gather(&self, now: Instant, whole: Census) -> Vec<Census> {
        let mut centres: BTreeMap<DataCentre, Census> = BTreeMap::new();
        let own = &self.conf.data_centre;
        let mesh = self.links.values();
        let mesh = mesh.filter(|peer| peer.is_mesh() && peer.data_centre != *own);
        for census in mesh.filter_map(|peer| recent(peer, now)) {
            let known = centres.get(&census.data_centre);
            if known.is_none_or(|known| known.heard < census.heard) {
                centres.insert(census.data_centre.clone(), census.clone());
            }
        }
        centres.insert(own.clone(), whole);
        centres.into_values().collect()
    }

    fn set_centres(&mut self, centres: Vec<Census>, out: &mut Vec<Action>) {
        if centres == self.centres {
            return;
        }
        self.centres = centres;
        let children = self.links_where(is_child_vm);
        send(children, Message::Centres(self.centres.clone()), out);
    }

    fn links_where(&self, fits: impl Fn(&Peer) -> bool) -> Vec<LinkId> {
        let links = self.links.iter().filter(|(_, peer)| fits(peer));
        links.map(|(link, _)| *link).collect()
    }
}

fn is_child_vm(peer: &Peer) -> bool {
    peer.down == Feed::Eager && peer.role == Role::Controller
}

fn recent(peer: &Peer, now: Instant) -> Option<&Census> {
    let (at, census) = peer.census.as_ref()?;
    (now.saturating_duration_since(*at) < COUNT_LIMIT).then_some(census)
}

fn send(links: Vec<LinkId>, message: Message, out: &mut Vec<Action>) {
    if !links.is_empty() {
        out.push(Action::Send { links, message });
    }
}
