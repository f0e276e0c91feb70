//! Reports to the other nodes which targets this node does not reach, and records their reports.

use std::time::Duration;
use std::time::Instant;

use crate::ids::BootId;
use crate::ids::VmId;
use crate::node::control::peers::Peers;
use crate::node::datagram::MAX_REPORTED_PROCESSES;
use crate::node::datagram::Message;
use crate::node::datagram::ReachReport;
use crate::node::limit::ProcessTag;
use crate::node::relays::RelayNode;

/// Time between two reports of all unreachable targets, per node and at least; changes are reported at
/// once.
const REFRESH_PER_NODE: Duration = Duration::from_millis(10);
const MIN_REFRESH: Duration = Duration::from_millis(800);
/// How long a report holds, in periods of the refresh: some datagrams get lost.
const REFRESHES_PER_REPORT: u32 = 3;

impl Peers {
    /// Determines the nodes to which requests may be passed on.
    pub fn update_relays(&self, now: Instant) {
        let peers = self.peers.borrow();
        let able = peers
            .iter()
            .filter(|(_, peer)| peer.is_alive(now) && !peer.stranded);
        let nodes = able.map(|(name, peer)| RelayNode {
            name: name.clone(),
            address: peer.address,
            data_centre: peer.data_centre.clone(),
            rules: peer.rules,
        });
        self.state.relays.set(nodes.collect(), now);
    }

    /// Sends the changes to the other nodes, and periodically all unreachable targets. A stranded node
    /// sends neither, since its heartbeats contain that it is stranded.
    pub fn send_reach(&self, now: Instant) {
        let refresh = REFRESH_PER_NODE * self.state.nodes.get() as u32;
        let refresh = refresh.max(MIN_REFRESH);
        let reach = &self.state.reach;
        let changes = reach.take_unsent();
        if reach.is_stranded() {
            return;
        }
        let reported = self.reach_reported.get();
        let is_due = reported.is_none_or(|at| now.saturating_duration_since(at) >= refresh);
        let reached = changes.iter().filter(|(_, is_unreachable)| !is_unreachable);
        let reached: Vec<_> = reached.map(|(process, _)| *process).collect();
        let unreachable = match is_due && reach.any_unreachable() {
            true => {
                self.reach_reported.set(Some(now));
                self.unreachable(now)
            }
            false => {
                let lost = changes.iter().filter(|(_, is_unreachable)| *is_unreachable);
                lost.map(|(process, _)| *process).collect()
            }
        };
        let valid_ms = (refresh * REFRESHES_PER_REPORT).as_millis();
        let valid_ms = valid_ms.min(u16::MAX.into()) as u16;
        let lost = unreachable.chunks(MAX_REPORTED_PROCESSES);
        let lost = lost.map(|processes| ReachReport {
            valid_ms,
            unreachable: processes.to_vec(),
            reached: Vec::new(),
        });
        let regained = reached.chunks(MAX_REPORTED_PROCESSES);
        let regained = regained.map(|processes| ReachReport {
            valid_ms,
            unreachable: Vec::new(),
            reached: processes.to_vec(),
        });
        for report in lost.chain(regained) {
            let bytes = self.datagram(Message::Reach(report));
            for peer in self.peers.borrow().values() {
                self.send_to(peer.address, &bytes);
            }
        }
    }

    fn unreachable(&self, now: Instant) -> Vec<ProcessTag> {
        let fleet = self.state.fleet.borrow();
        let targets = fleet.iter().filter(|t| t.link.is_unreachable(now));
        targets.map(|target| target.process_tag()).collect()
    }

    pub(super) fn handle_reach(
        &self,
        node: &VmId,
        boot: BootId,
        report: &ReachReport,
        now: Instant,
    ) {
        let is_current = |peer: &super::Peer| peer.boot == Some(boot);
        if !self.peers.borrow().get(node).is_some_and(is_current) {
            return;
        }
        let reach = &self.state.reach;
        let until = now + Duration::from_millis(report.valid_ms.into());
        for process in &report.unreachable {
            reach.record_report(node, *process, until);
        }
        for process in &report.reached {
            reach.withdraw_report(node, *process);
        }
    }
}
