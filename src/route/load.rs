//! Load reports, with which entries inform each other of their requests at shared targets.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::VmId;
use crate::route::stats::TargetStats;

/// How long a report of another entry is valid.
pub const LOAD_REPORT_VALIDITY: Duration = Duration::from_secs(2);

/// The requests in flight from one entry to the targets of unkeyed services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The entry's VM.
    pub vm: VmId,
    /// A sequence number that increases with every report of a process.
    pub number: u64,
    /// The targets with at least one request in flight.
    pub busy: Vec<TargetLoad>,
}

/// The requests in flight from one entry to one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target's service.
    pub service: ServiceId,
    /// The identifier of the target.
    pub target: TargetId,
    /// The number of requests in flight.
    pub in_flight: u32,
}

/// The latest report of each other entry.
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    peers: BTreeMap<VmId, Peer>,
}

#[derive(Debug)]
struct Peer {
    number: u64,
    received_at: Instant,
    counted: Vec<(Arc<TargetStats>, u32)>,
}

impl PeerLoads {
    /// Applies a report to the targets' counts unless a newer one from the same VM was applied.
    pub(crate) fn apply(
        &mut self,
        report: &LoadReport,
        stats_by_target: &HashMap<(ServiceId, TargetId), Arc<TargetStats>>,
        now: Instant,
    ) {
        self.expire(now);
        let latest = self.peers.get(&report.vm);
        if latest.is_some_and(|peer| peer.number >= report.number) {
            return;
        }
        if let Some(old) = self.peers.remove(&report.vm) {
            old.subtract();
        }
        let mut counted = Vec::new();
        for load in &report.busy {
            let name = (load.service.clone(), load.target.clone());
            if let Some(stats) = stats_by_target.get(&name) {
                stats
                    .peer_in_flight
                    .fetch_add(load.in_flight, Ordering::Relaxed);
                counted.push((stats.clone(), load.in_flight));
            }
        }
        let peer = Peer {
            number: report.number,
            received_at: now,
            counted,
        };
        self.peers.insert(report.vm.clone(), peer);
    }

    /// Removes reports older than [`LOAD_REPORT_VALIDITY`] and subtracts them from the counts.
    pub(crate) fn expire(&mut self, now: Instant) {
        let is_expired =
            |peer: &Peer| now.saturating_duration_since(peer.received_at) >= LOAD_REPORT_VALIDITY;
        self.peers.retain(|_, peer| {
            let keep = !is_expired(peer);
            if !keep {
                peer.subtract();
            }
            keep
        });
    }
}

impl Peer {
    fn subtract(&self) {
        for (stats, count) in &self.counted {
            stats.peer_in_flight.fetch_sub(*count, Ordering::Relaxed);
        }
    }
}
