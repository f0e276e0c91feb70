//! Tells the other nodes which targets this node does not reach, and learns the same from them.

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

/// Time between two reports of all unreachable targets, per node and at least; changes are told at
/// once.
const REFRESH_PER_NODE: Duration = Duration::from_millis(10);
const MIN_REFRESH: Duration = Duration::from_millis(800);
/// How long a report holds, in periods of the refresh: some datagrams get lost.
const REFRESHES_PER_REPORT: u32 = 3;

impl Peers {
    /// Determines the nodes to which requests may be passed on.
    pub fn update_relays(&self, now: Instant) {
        let nodes = self.reaching_nodes(now, |_| true);
        self.state.relays.set(nodes, now);
    }

    /// Returns the other nodes that are alive and reach a process, as far as this node knows.
    pub fn reaching(&self, process: ProcessTag, now: Instant) -> Vec<RelayNode> {
        self.reaching_nodes(now, |node| {
            !self.state.reach.is_reported(node, process, now)
        })
    }

    fn reaching_nodes(&self, now: Instant, is_able: impl Fn(&VmId) -> bool) -> Vec<RelayNode> {
        let peers = self.peers.borrow();
        let able = peers
            .iter()
            .filter(|(name, peer)| peer.is_alive(now) && !peer.stranded && is_able(name));
        let nodes = able.map(|(name, peer)| RelayNode {
            name: name.clone(),
            address: peer.address,
            data_centre: peer.data_centre.clone(),
            rules: peer.rules,
        });
        nodes.collect()
    }

    /// Tells the other nodes what has changed, and from time to time of all unreachable targets. A
    /// stranded node does not: its heartbeats say so.
    pub fn send_reach(&self, now: Instant) {
        let refresh = REFRESH_PER_NODE * self.state.nodes.get() as u32;
        let refresh = refresh.max(MIN_REFRESH);
        let reach = &self.state.reach;
        let changes = reach.take_untold();
        if reach.is_stranded() {
            return;
        }
        let told = self.reach_told.get();
        let is_due = told.is_none_or(|at| now.saturating_duration_since(at) >= refresh);
        let reached = changes.iter().filter(|(_, is_unreachable)| !is_unreachable);
        let reached: Vec<_> = reached.map(|(process, _)| *process).collect();
        let unreachable = match is_due && reach.any_unreachable() {
            true => {
                self.reach_told.set(Some(now));
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
