//! Confirming the number in force by other VMs.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::DataCentre;
use crate::state_sync::LinkId;
use crate::state_sync::StateSync;

impl StateSync {
    /// Without the table, relays of most data centres that hold the same confirm each other, as of
    /// the time when the last of them was heard.
    pub(super) fn confirm_by_relays(&mut self, now: Instant) {
        if !self.is_relay() || self.members.count() == 0 {
            return;
        }
        let number = self.view.state.number;
        let mut heard: BTreeMap<&DataCentre, Instant> = BTreeMap::new();
        for peer in self.links.values().filter(|peer| peer.is_mesh()) {
            let Some((at, summary)) = peer.recent_summary(now) else {
                continue;
            };
            if summary.number == number && summary.age_ms.is_some() {
                let latest = heard.entry(&peer.data_centre).or_insert(at);
                *latest = at.max(*latest);
            }
        }
        if heard.is_empty() {
            return;
        }
        heard.insert(&self.conf.data_centre, now);
        let most = self.members.data_centres() / 2;
        let mut times: Vec<_> = heard.into_values().collect();
        times.sort_by(|a, b| b.cmp(a));
        if let Some(at) = times.get(most) {
            self.ready.peer_confirms(now, now - *at);
        }
    }

    /// At the start: whether everybody to take state from was heard and holds nothing newer.
    pub(super) fn check_peers(&mut self, now: Instant) {
        let number = self.view.state.number;
        if self.ready.is_started() {
            return;
        }
        let sources = self.sources().into_iter();
        let linked: Vec<_> = sources.filter_map(|(vm, _)| self.link_to(&vm)).collect();
        let agrees = |link: &LinkId| {
            let summary = self.links[link].summary;
            summary.is_some_and(|(_, summary)| summary.number <= number)
        };
        let agree = !linked.is_empty() && linked.iter().all(agrees);
        self.ready.peers_agree(now, agree);
    }
}
