//! Exchanges limits of targets and permits with the other nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::ids::VmId;
use crate::node::control::peers::Peer;
use crate::node::control::peers::Peers;
use crate::node::datagram::LimitReport;
use crate::node::datagram::Message;
use crate::node::datagram::PermitRequest;
use crate::node::datagram::Tag;
use crate::node::limit::Evidence;
use crate::node::limit::PERMIT_TIMEOUT;
use crate::node::limit::ProcessTag;
use crate::node::limit::QueuedRequest;
use crate::node::limit::Verdict;
use crate::node::limit::issuer;
use crate::node::notices::NoticeSource;
use crate::node::notices::record_limit;

/// Maximum number of limits in one datagram.
const LIMITS_PER_DATAGRAM: usize = 24;
/// Time after which a node that has not read the rows of the other nodes asks again for a permit.
const UNKNOWN_NODES_WAIT: Duration = Duration::from_millis(200);

impl Peers {
    /// Passes requests for permits on to the nodes that issue them, until the process ends.
    pub async fn forward_permit_requests(self: Rc<Self>) {
        loop {
            let queued = self.state.limits.queued.notified();
            while let Some(request) = self.state.limits.next_request() {
                self.forward_permit_request(request, Instant::now());
            }
            queued.await;
        }
    }

    fn forward_permit_request(&self, request: QueuedRequest, now: Instant) {
        let QueuedRequest {
            number,
            process,
            evidence,
        } = request;
        let limits = &self.state.limits;
        if !self.rows_read.get() {
            limits.answer(number, Verdict::Denied(UNKNOWN_NODES_WAIT));
            return;
        }
        let Some(name) = self.issuer(process.target, now) else {
            limits.answer(number, limits.issue(process, evidence, now));
            return;
        };
        let mut peers = self.peers.borrow_mut();
        let peer = peers.get_mut(&name).expect("the issuer is a known node");
        let asked = *peer.asked_since.get_or_insert(now);
        if now.saturating_duration_since(asked) > PERMIT_TIMEOUT {
            let nodes = self.state.nodes.get();
            limits.answer(number, limits.take_own_share(process, evidence, nodes));
            return;
        }
        let request = PermitRequest {
            number,
            limit: LimitReport::new(process, evidence, now),
            origin: None,
        };
        let bytes = self.datagram(Message::PermitRequest(request));
        self.send_to(peer.address, &bytes);
        limits.record_asked(number, name);
    }

    /// Returns the node that issues the permits for a target, or `None` if it is this one.
    fn issuer(&self, target: Tag, now: Instant) -> Option<VmId> {
        let own = &self.state.conf.name;
        let peers = self.peers.borrow();
        let others = peers.iter().filter(|(_, peer)| peer.may_be_alive(now));
        let others = others.map(|(name, _)| name);
        let issuer = issuer(target, others.chain([own]));
        issuer.filter(|name| *name != own).cloned()
    }

    /// Issues a permit for another node, or passes the request on to the node that issues them.
    pub(super) fn handle_permit_request(
        &self,
        request: PermitRequest,
        from: SocketAddr,
        now: Instant,
    ) {
        let PermitRequest {
            number,
            limit,
            origin,
        } = request;
        let evidence = self.merge_limit(limit, now);
        if let (None, Some(name)) = (origin, self.issuer(limit.process.target, now)) {
            let peers = self.peers.borrow();
            let peer = peers.get(&name).expect("the issuer is a known node");
            let passed_on = PermitRequest {
                origin: Some(from),
                ..request
            };
            let bytes = self.datagram(Message::PermitRequest(passed_on));
            return self.send_to(peer.address, &bytes);
        }
        let verdict = self.state.limits.issue(limit.process, evidence, now);
        let wait_ms = match verdict {
            Verdict::Granted => 0,
            Verdict::Denied(wait) => wait.as_millis().clamp(1, u32::MAX.into()) as u32,
        };
        let bytes = self.datagram(Message::Permit(number, wait_ms));
        self.send_to(origin.unwrap_or(from), &bytes);
    }

    pub(super) fn handle_permit(&self, number: u64, wait_ms: u32) {
        let verdict = match wait_ms {
            0 => Verdict::Granted,
            wait => Verdict::Denied(Duration::from_millis(wait.into())),
        };
        let asked = self.state.limits.answer(number, verdict);
        // The node that was asked may have passed the request on to the one that answers.
        let mut peers = self.peers.borrow_mut();
        if let Some(peer) = asked.and_then(|name| peers.get_mut(&name)) {
            peer.asked_since = None;
        }
    }

    pub(super) fn handle_limits(&self, reports: &[LimitReport], now: Instant) {
        for report in reports {
            self.merge_limit(*report, now);
        }
    }

    /// Records what another node knows of a limit; returns the newest known.
    fn merge_limit(&self, report: LimitReport, now: Instant) -> Evidence {
        let evidence = report.evidence(now);
        let ProcessTag {
            target,
            incarnation,
        } = report.process;
        let target = self.state.fleet.borrow().by_tag(target).cloned();
        let Some(target) = target.filter(|t| t.entry.incarnation == incarnation) else {
            return evidence;
        };
        record_limit(&self.state, &target, evidence, NoticeSource::OtherNode);
        target.limit.evidence().unwrap_or(evidence)
    }

    /// Sends the changes of limits that this node has observed to all nodes.
    pub(super) fn send_limits(&self, now: Instant) {
        let changes = self.state.limits.take_changes();
        for chunk in changes.chunks(LIMITS_PER_DATAGRAM) {
            let reports = chunk
                .iter()
                .map(|(process, evidence)| LimitReport::new(*process, *evidence, now));
            let bytes = self.datagram(Message::Limits(reports.collect()));
            for peer in self.peers.borrow().values() {
                self.send_to(peer.address, &bytes);
            }
        }
    }
}

impl Peer {
    /// Returns true if the node is alive, or if it has been known for so short a time that its first
    /// heartbeat may still arrive.
    fn may_be_alive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_seen()) < super::ALIVE_TIMEOUT
    }
}
