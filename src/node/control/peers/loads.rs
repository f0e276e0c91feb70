//! Exchanges the loads that targets state between the nodes of a data centre.

use std::time::Duration;
use std::time::Instant;

use crate::node::control::peers::Peers;
use crate::node::datagram::LoadReport;
use crate::node::datagram::Message;
use crate::node::datagram::target_tag;

/// Maximum number of loads that a node reports in one period, in one datagram. In most periods a node
/// reads far fewer responses.
const MAX_LOADS: usize = 40;

impl Peers {
    /// Sends the loads that targets stated to this node since the last call to the nodes of this data
    /// centre. They are not repeated, since newer ones follow soon.
    pub(super) fn send_stated_loads(&self, now: Instant) {
        let fleet = self.state.fleet.borrow();
        let reports = fleet.iter().filter_map(|target| {
            let (load, age) = target.stated.take_unsent(now)?;
            Some(LoadReport {
                target: target_tag(&target.entry.id),
                load,
                age_ms: age.as_millis() as u16,
            })
        });
        let reports: Vec<_> = reports.take(MAX_LOADS).collect();
        if reports.is_empty() {
            return;
        }
        let bytes = self.datagram(Message::StatedLoads(reports));
        let own = &self.state.conf.data_centre;
        let peers = self.peers.borrow();
        let local = peers.values().filter(|peer| peer.data_centre == *own);
        for peer in local.filter(|peer| peer.is_alive(now)) {
            self.send_to(peer.address, &bytes);
        }
    }

    /// Records loads that another node reports.
    pub(super) fn handle_stated_loads(&self, reports: &[LoadReport], now: Instant) {
        let fleet = self.state.fleet.borrow();
        for report in reports {
            let age = Duration::from_millis(report.age_ms.into());
            let target = fleet.by_tag(report.target);
            if let (Some(target), Some(at)) = (target, now.checked_sub(age)) {
                target.stated.merge(report.load, at);
            }
        }
    }
}
