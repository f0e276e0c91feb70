//! Exchanges limits of targets and permits with the other nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::cold_start::Audience;
use crate::cold_start::MAX_COLD_TIME;
use crate::cold_start::Source;
use crate::ids::VmId;
use crate::node::cold;
use crate::node::control::peers::Peer;
use crate::node::control::peers::Peers;
use crate::node::datagram::ColdReport;
use crate::node::datagram::ColdRequest;
use crate::node::datagram::LimitReport;
use crate::node::datagram::Message;
use crate::node::datagram::PermitRequest;
use crate::node::datagram::Tag;
use crate::node::fleet::Target;
use crate::node::limit::ColdLimit;
use crate::node::limit::Evidence;
use crate::node::limit::PERMIT_TIMEOUT;
use crate::node::limit::ProcessTag;
use crate::node::limit::QueuedRequest;
use crate::node::limit::RequestRate;
use crate::node::limit::Verdict;
use crate::node::limit::issue_rate;
use crate::node::limit::issuer;
use crate::node::limit::issuer_rank;
use crate::node::notices::NoticeSource;
use crate::node::notices::record_limit;

/// Maximum number of limits in one datagram.
const LIMITS_PER_DATAGRAM: usize = 24;
/// Time after which a node that has not read the rows of the other nodes asks again for a permit.
const UNKNOWN_NODES_WAIT: Duration = Duration::from_millis(200);
/// Time after which a node asks again for a permit for a cold target that this node may not issue.
const NO_ISSUER_WAIT: Duration = Duration::from_millis(200);
/// Maximum number of cold targets in one datagram.
const COLD_PER_DATAGRAM: usize = 40;
/// How long the answer to whether this node issues the permits for a cold target is kept. All nodes may ask
/// it for the same target, and the answer takes a hash of each node's name.
const ISSUER_CHECK_TIME: Duration = Duration::from_millis(100);

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
            cold,
        } = request;
        let limits = &self.state.limits;
        if !self.rows_read.get() {
            limits.answer(number, Verdict::Denied(UNKNOWN_NODES_WAIT));
            return;
        }
        let Some(name) = self.issuer(process.target, now) else {
            let rate = evidence.and_then(|evidence| evidence.rate);
            let rate = rate.map(issue_rate);
            limits.answer(number, self.issue(process, rate, cold, now));
            return;
        };
        let mut peers = self.peers.borrow_mut();
        let peer = peers.get_mut(&name).expect("the issuer is a known node");
        let asked = *peer.asked_since.get_or_insert(now);
        if now.saturating_duration_since(asked) > PERMIT_TIMEOUT {
            let nodes = self.state.nodes.get();
            limits.answer(
                number,
                limits.replace_answer(process, evidence, cold, nodes),
            );
            // Without a share of the rate of a cold target, its issuer is asked again.
            peer.asked_since = cold.map_or(Some(asked), |_| None);
            return;
        }
        let limit = match evidence {
            Some(evidence) => LimitReport::new(process, evidence, now),
            None => LimitReport {
                process,
                rate: None,
                age_ms: u32::MAX,
            },
        };
        let request = PermitRequest {
            number,
            limit,
            cold: cold.map(|cold| ColdRequest {
                rate: cold.rate,
                left_ms: millis(cold.left),
            }),
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

    /// Issues a permit at the rate of a limit that the target names, or at a lower one if it is cold.
    fn issue(
        &self,
        process: ProcessTag,
        rate: Option<f64>,
        cold: Option<ColdLimit>,
        now: Instant,
    ) -> Verdict {
        let Some(cold) = cold else {
            return self.state.limits.issue(process, rate, now);
        };
        if !self.may_issue_cold(process.target, now) {
            return Verdict::Denied(NO_ISSUER_WAIT);
        }
        let cold_rate = cold.rate.per_second();
        let rate = rate.map_or(cold_rate, |rate| rate.min(cold_rate));
        self.state.limits.issue(process, Some(rate), now)
    }

    /// Returns true if this node issues the permits for a cold target.
    fn may_issue_cold(&self, target: Tag, now: Instant) -> bool {
        let mut checks = self.issuer_checks.borrow_mut();
        if let Some((at, may_issue)) = checks.get(&target)
            && now.saturating_duration_since(*at) < ISSUER_CHECK_TIME
        {
            return *may_issue;
        }
        let rank = |node: &VmId| issuer_rank(target, node);
        let members = self.members.borrow();
        let may_issue = members.may_issue(&self.state.conf.name, rank, now);
        checks.insert(target, (now, may_issue));
        may_issue
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
            cold,
            origin,
        } = request;
        let rate = match limit.rate {
            Some(_) => self.merge_limit(limit, now).rate,
            None => self.named_rate(limit.process),
        };
        let cold = self.merge_cold(limit.process, cold, now);
        let is_issuer = cold.is_some() && self.may_issue_cold(limit.process.target, now);
        if !is_issuer && let (None, Some(name)) = (origin, self.issuer(limit.process.target, now)) {
            let peers = self.peers.borrow();
            let peer = peers.get(&name).expect("the issuer is a known node");
            let passed_on = PermitRequest {
                origin: Some(from),
                ..request
            };
            let bytes = self.datagram(Message::PermitRequest(passed_on));
            return self.send_to(peer.address, &bytes);
        }
        let verdict = self.issue(limit.process, rate.map(issue_rate), cold, now);
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
        let Some(target) = self.find_process(report.process) else {
            return evidence;
        };
        record_limit(&self.state, &target, evidence, NoticeSource::OtherNode);
        target.limit.evidence().unwrap_or(evidence)
    }

    /// Records what another node knows of a cold target; returns the lower one of its rate and of that
    /// which this node knows.
    fn merge_cold(
        &self,
        process: ProcessTag,
        cold: Option<ColdRequest>,
        now: Instant,
    ) -> Option<ColdLimit> {
        let target = self.find_process(process);
        let asked = cold.map(|cold| ColdLimit {
            rate: cold.rate,
            left: time_left(cold.left_ms),
        });
        if let (Some(target), Some(asked)) = (&target, asked) {
            cold::record(&self.state, target, asked.left, Source::OtherNode, now);
        }
        let own = target.and_then(|target| cold::limit(&self.state, &target, now));
        match (asked, own) {
            (Some(asked), Some(own)) if own.rate < asked.rate => Some(own),
            (Some(asked), _) => Some(asked),
            (None, own) => own,
        }
    }

    pub(super) fn handle_cold(&self, reports: &[ColdReport], now: Instant) {
        for report in reports {
            if let Some(target) = self.find_process(report.process) {
                let left = time_left(report.left_ms);
                cold::record(&self.state, &target, left, Source::OtherNode, now);
            }
        }
    }

    fn named_rate(&self, process: ProcessTag) -> Option<RequestRate> {
        let target = self.find_process(process)?;
        target.limit.rate()
    }

    fn find_process(&self, process: ProcessTag) -> Option<Rc<Target>> {
        let target = self.state.fleet.borrow().by_tag(process.target).cloned();
        target.filter(|target| target.entry.incarnation == process.incarnation)
    }

    /// Sends the cold targets that are due to the nodes that do not learn of them otherwise.
    pub(super) fn send_cold_reports(&self, now: Instant) {
        self.issuer_checks.borrow_mut().clear();
        let due = self.state.limits.take_cold_reports(now);
        let own = &self.state.conf.data_centre;
        for audience in [Audience::DataCentre, Audience::All] {
            let reports = due.iter().filter(|(.., of)| *of == audience);
            let reports: Vec<_> = reports
                .map(|(process, left, _)| ColdReport {
                    process: *process,
                    left_ms: millis(*left),
                })
                .collect();
            for chunk in reports.chunks(COLD_PER_DATAGRAM) {
                let bytes = self.datagram(Message::Cold(chunk.to_vec()));
                let peers = self.peers.borrow();
                let informed = peers
                    .values()
                    .filter(|peer| audience == Audience::All || peer.data_centre == *own);
                informed.for_each(|peer| self.send_to(peer.address, &bytes));
            }
        }
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

fn millis(time: Duration) -> u32 {
    time.as_millis().min(u32::MAX.into()) as u32
}

/// Returns the time that another node reports, at most as long as an entry may state.
fn time_left(ms: u32) -> Duration {
    Duration::from_millis(ms.into()).min(MAX_COLD_TIME)
}
