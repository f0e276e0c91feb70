//! Confirmation by other VMs that the ticket number held is the one in force, for when the table is
//! down.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::ids::DataCentre;
use crate::state_sync::LinkId;
use crate::state_sync::StateSync;

impl StateSync {
    /// Confirms the number if the relays of a majority of the data centres, including this one,
    /// report the same number. The confirmation dates from the oldest of the latest summaries that
    /// make up the majority.
    pub(super) fn confirm_by_relays(&mut self, now: Instant) {
        if !self.is_relay() || self.members.count() == 0 {
            return;
        }
        let number = self.view.state.number;
        let mut last_summaries: BTreeMap<&DataCentre, Instant> = BTreeMap::new();
        for peer in self.links.values().filter(|peer| peer.is_mesh()) {
            let Some((at, summary)) = peer.recent_summary(now) else {
                continue;
            };
            if summary.number == number && summary.age_ms.is_some() {
                let latest = last_summaries.entry(&peer.data_centre).or_insert(at);
                *latest = at.max(*latest);
            }
        }
        if last_summaries.is_empty() {
            return;
        }
        last_summaries.insert(&self.conf.data_centre, now);
        let majority_index = self.members.data_centres() / 2;
        let mut times: Vec<_> = last_summaries.into_values().collect();
        times.sort_by(|a, b| b.cmp(a));
        if let Some(at) = times.get(majority_index) {
            self.readiness.record_peer_confirmation(now, now - *at);
        }
    }

    /// During the start: records whether every linked source of state has sent a summary and none
    /// holds a newer number.
    pub(super) fn check_sources(&mut self, now: Instant) {
        let number = self.view.state.number;
        if self.readiness.is_started() {
            return;
        }
        let sources = self.sources().into_iter();
        let linked: Vec<_> = sources.filter_map(|(vm, _)| self.link_to(&vm)).collect();
        let is_not_newer = |link: &LinkId| {
            let summary = self.links[link].summary;
            summary.is_some_and(|(_, summary)| summary.number <= number)
        };
        let agree = !linked.is_empty() && linked.iter().all(is_not_newer);
        self.readiness.record_agreement(now, agree);
    }
}
