//! Counts VMs by the ticket number that they hold. Counts flow from children up to relays, between
//! relays, and down again to VMs that query them.

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

/// Shortest interval between two censuses.
const CENSUS_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two censuses for each relay that receives them, if longer than the shortest
/// interval in total.
const CENSUS_INTERVAL_PER_RELAY: Duration = Duration::from_millis(200);
/// Interval at which an unchanged census is sent again.
const CENSUS_RESEND_INTERVAL: Duration = Duration::from_secs(15);
/// Time for which a received census is valid.
const CENSUS_VALIDITY: Duration = Duration::from_secs(50);
/// Time for which a VM that queried the census receives updates.
const QUERY_VALIDITY: Duration = Duration::from_secs(5);

impl StateSync {
    pub(super) fn on_entry_report(&mut self, link: LinkId, report: &EntryReport) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.entry_number = Some(report.number);
        }
    }

    pub(super) fn on_census(&mut self, now: Instant, link: LinkId, census: Census) {
        if let Some(peer) = self.links.get_mut(&link) {
            peer.census = Some((now, census));
        }
    }

    /// Handles a query for the census of all data centres, from an operator (`from` is `None`) or a
    /// child. A relay answers it; any other VM passes it on to its parent.
    pub(super) fn query_census(
        &mut self,
        now: Instant,
        from: Option<LinkId>,
        out: &mut Vec<Action>,
    ) {
        if let Some(peer) = from.and_then(|link| self.links.get_mut(&link)) {
            peer.census_queried_at = Some(now);
        }
        if self.is_relay() {
            let subtree = self.subtree_census(now);
            let own = self.data_centre_census(now, &subtree);
            self.census_by_data_centre = self.all_censuses(now, own);
            self.publish_census(now, out);
            return;
        }
        let parents = self.links_where(|peer| peer.received_feed == Feed::Eager);
        send(parents, Message::AskCentres, out);
    }

    /// Stores the census of all data centres received from a parent and publishes it.
    pub(super) fn on_census_by_data_centre(
        &mut self,
        now: Instant,
        censuses: Vec<Census>,
        out: &mut Vec<Action>,
    ) {
        if !self.is_relay() {
            self.census_by_data_centre = censuses;
            self.publish_census(now, out);
        }
    }

    // Sends the census of all data centres to the peers with a valid query, and to the caller.
    fn publish_census(&self, now: Instant, out: &mut Vec<Action>) {
        let is_valid = |at: Instant| now.saturating_duration_since(at) < QUERY_VALIDITY;
        let links = self.links_where(|peer| peer.census_queried_at.is_some_and(is_valid));
        send(
            links,
            Message::Centres(self.census_by_data_centre.clone()),
            out,
        );
        out.push(Action::CensusUpdated);
    }

    /// Sends the census to parents, or from a relay to other relays, if it is due.
    pub(super) fn send_due_census(&mut self, now: Instant, out: &mut Vec<Action>) {
        if now < self.next_census {
            return;
        }
        self.next_census = now + self.census_interval();
        let subtree = self.subtree_census(now);
        if !self.is_relay() {
            let parents = self.links_where(|peer| peer.received_feed == Feed::Eager);
            self.send_census(now, parents, subtree, out);
            return;
        }
        let own = self.conf.data_centre.clone();
        let sibling = self.links_where(|peer| peer.is_mesh() && peer.data_centre == own);
        let others = self.links_where(|peer| peer.is_mesh() && peer.data_centre != own);
        let total = self.data_centre_census(now, &subtree);
        self.send_census(now, sibling, subtree, out);
        self.send_census(now, others, total, out);
    }

    // The interval grows with the number of relays, which limits the traffic.
    fn census_interval(&self) -> Duration {
        let relays = self.topology.mesh.len() as u32;
        CENSUS_INTERVAL.max(CENSUS_INTERVAL_PER_RELAY * relays)
    }

    /// Brings the next census forward, after a change of the view.
    pub(super) fn schedule_census_soon(&mut self, now: Instant) {
        let soon = now + self.census_interval() / 4;
        self.next_census = self.next_census.min(soon);
    }

    // Sends the census over the links whose last census sent is different or due for resending.
    fn send_census(
        &mut self,
        now: Instant,
        to: Vec<LinkId>,
        census: Census,
        out: &mut Vec<Action>,
    ) {
        let mut links = Vec::new();
        for link in to {
            let Some(peer) = self.links.get_mut(&link) else {
                continue;
            };
            let is_current = peer.census_sent.as_ref().is_some_and(|(at, sent)| {
                *sent == census && now.saturating_duration_since(*at) < CENSUS_RESEND_INTERVAL
            });
            if !is_current {
                peer.census_sent = Some((now, census.clone()));
                links.push(link);
            }
        }
        send(links, Message::Census(census), out);
    }

    // Counts this VM and the VMs below it in the tree.
    fn subtree_census(&self, now: Instant) -> Census {
        let entries = self.links.values().filter(|peer| peer.vm == self.conf.vm);
        let lowest = entries.filter_map(|peer| peer.entry_number).min();
        let held = self.view.state.number;
        let number = lowest.map_or(held, |lowest| lowest.min(held));
        let own = self.conf.data_centre.clone();
        let mut sum = Census::of(own, self.conf.vm.clone(), number);
        let children = self
            .links
            .values()
            .filter(|peer| peer.sent_feed == Feed::Eager);
        let censuses = children.filter_map(|peer| valid_census(peer, now));
        // A VM that cannot read the platform's list may be a child in another data centre.
        let is_local = |census: &&Census| census.data_centre == self.conf.data_centre;
        censuses.filter(is_local).for_each(|census| sum.add(census));
        sum
    }

    // Adds the censuses of the other relays of this data centre to that of this VM's subtree.
    fn data_centre_census(&self, now: Instant, subtree: &Census) -> Census {
        let mut sum = subtree.clone();
        let own = &self.conf.data_centre;
        let siblings = self.links.values();
        let siblings = siblings.filter(|peer| peer.is_mesh() && peer.data_centre == *own);
        let mut seen = BTreeMap::new();
        for peer in siblings {
            if let Some(census) = valid_census(peer, now) {
                seen.insert(&peer.vm, census);
            }
        }
        seen.values().for_each(|census| sum.add(census));
        sum
    }

    // Returns one census per data centre: `local` for this one, the largest received for each
    // other.
    fn all_censuses(&self, now: Instant, local: Census) -> Vec<Census> {
        let mut censuses: BTreeMap<DataCentre, Census> = BTreeMap::new();
        let own = &self.conf.data_centre;
        let mesh = self.links.values();
        let mesh = mesh.filter(|peer| peer.is_mesh() && peer.data_centre != *own);
        for census in mesh.filter_map(|peer| valid_census(peer, now)) {
            let other = censuses.get(&census.data_centre);
            if other.is_none_or(|other| other.vm_count < census.vm_count) {
                censuses.insert(census.data_centre.clone(), census.clone());
            }
        }
        censuses.insert(own.clone(), local);
        censuses.into_values().collect()
    }

    fn links_where(&self, matches: impl Fn(&Peer) -> bool) -> Vec<LinkId> {
        let links = self.links.iter().filter(|(_, peer)| matches(peer));
        links.map(|(link, _)| *link).collect()
    }
}

// Returns the last census received from a peer, unless it expired.
fn valid_census(peer: &Peer, now: Instant) -> Option<&Census> {
    let (at, census) = peer.census.as_ref()?;
    (now.saturating_duration_since(*at) < CENSUS_VALIDITY).then_some(census)
}

fn send(links: Vec<LinkId>, message: Message, out: &mut Vec<Action>) {
    if !links.is_empty() {
        out.push(Action::Send { links, message });
    }
}
