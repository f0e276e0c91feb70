//! Counting the numbers in force: from children to relays, between relays, and down to whoever
//! asks.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::DataCentre;
use crate::link::EntryReport;
use crate::link::Message;
use crate::state_sync::Action;
use crate::state_sync::Census;
use crate::state_sync::Feed;
use crate::state_sync::LinkId;
use crate::state_sync::StateSync;
use crate::state_sync::peer::Peer;

/// How often numbers are counted.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// What each relay that is told adds to the interval, beyond the shortest one.
const COUNT_INTERVAL_PER_RELAY: Duration = Duration::from_millis(200);
/// How often a count that did not change is sent again.
const REPEAT_INTERVAL: Duration = Duration::from_secs(15);
/// How long a count is believed.
const COUNT_LIMIT: Duration = Duration::from_secs(50);
/// How long a question for the counts stands.
const ASK_LIMIT: Duration = Duration::from_secs(5);

impl StateSync {
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

    /// Somebody wants to know the numbers of all data centres: an operator here, or a child.
    pub(super) fn ask_centres(
        &mut self,
        now: Instant,
        from: Option<LinkId>,
        out: &mut Vec<Action>,
    ) {
        if let Some(peer) = from.and_then(|link| self.links.get_mut(&link)) {
            peer.curious = Some(now);
        }
        if self.is_relay() {
            let below = self.count_below(now);
            let whole = self.with_siblings(now, &below);
            self.centres = self.gather(now, whole);
            self.tell_centres(now, out);
            return;
        }
        let parents = self.links_where(|peer| peer.up == Feed::Eager);
        send(parents, Message::AskCentres, out);
    }

    /// Takes the counts of all data centres and hands them to those who asked.
    pub(super) fn take_centres(
        &mut self,
        now: Instant,
        centres: Vec<Census>,
        out: &mut Vec<Action>,
    ) {
        if !self.is_relay() {
            self.centres = centres;
            self.tell_centres(now, out);
        }
    }

    fn tell_centres(&self, now: Instant, out: &mut Vec<Action>) {
        let asked = |at: Instant| now.saturating_duration_since(at) < ASK_LIMIT;
        let curious = self.links_where(|peer| peer.curious.is_some_and(asked));
        send(curious, Message::Centres(self.centres.clone()), out);
        out.push(Action::CensusUpdated);
    }

    /// Counts and reports when due.
    pub(super) fn count(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now < self.count_at {
            return;
        }
        self.count_at = now + self.count_interval();
        let below = self.count_below(now);
        if !self.is_relay() {
            let parents = self.links_where(|peer| peer.up == Feed::Eager);
            self.report(now, parents, below, out);
            return;
        }
        let own = self.conf.data_centre.clone();
        let sibling = self.links_where(|peer| peer.is_mesh() && peer.data_centre == own);
        let others = self.links_where(|peer| peer.is_mesh() && peer.data_centre != own);
        let whole = self.with_siblings(now, &below);
        self.report(now, sibling, below, out);
        self.report(now, others, whole, out);
    }

    // The more relays, the fewer counts to each.
    fn count_interval(&self) -> Duration {
        let relays = self.topology.mesh.len() as u32;
        COUNT_INTERVAL.max(COUNT_INTERVAL_PER_RELAY * relays)
    }

    /// Counts soon, since something changed.
    pub(super) fn count_soon(&mut self, now: Instant) {
        let soon = now + self.count_interval() / 4;
        self.count_at = self.count_at.min(soon);
    }

    // Sends a count to those that were told another one, or none for long.
    fn report(&mut self, now: Instant, to: Vec<LinkId>, census: Census, out: &mut Vec<Action>) {
        let mut links = Vec::new();
        for link in to {
            let Some(peer) = self.links.get_mut(&link) else {
                continue;
            };
            let known = peer.counted.as_ref().is_some_and(|(at, told)| {
                *told == census && now.saturating_duration_since(*at) < REPEAT_INTERVAL
            });
            if !known {
                peer.counted = Some((now, census.clone()));
                links.push(link);
            }
        }
        send(links, Message::Census(census), out);
    }

    fn count_below(&self, now: Instant) -> Census {
        let entries = self.links.values().filter(|peer| peer.vm == self.conf.vm);
        let told = entries.filter_map(|peer| peer.number).min();
        let held = self.view.state.number;
        let number = told.map_or(held, |told| told.min(held));
        let own = self.conf.data_centre.clone();
        let mut sum = Census::of(own, self.conf.vm.clone(), number);
        let children = self.links.values().filter(|peer| peer.down == Feed::Eager);
        let counts = children.filter_map(|peer| recent(peer, now));
        // A VM that cannot read the list may take state from another data centre.
        let near = |census: &&Census| census.data_centre == self.conf.data_centre;
        counts.filter(near).for_each(|census| sum.add(census));
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
            if known.is_none_or(|known| known.vm_count < census.vm_count) {
                centres.insert(census.data_centre.clone(), census.clone());
            }
        }
        centres.insert(own.clone(), whole);
        centres.into_values().collect()
    }

    fn links_where(&self, fits: impl Fn(&Peer) -> bool) -> Vec<LinkId> {
        let links = self.links.iter().filter(|(_, peer)| fits(peer));
        links.map(|(link, _)| *link).collect()
    }
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
