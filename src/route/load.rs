//! What entries tell each other of the work they have at shared targets.

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
use crate::route::stats::Stats;

/// How long a report of another entry counts.
pub const LOAD_REPORT_VALIDITY: Duration = Duration::from_secs(2);

/// The requests that one entry has at the targets of unkeyed services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The entry's VM.
    pub vm: VmId,
    /// Rises with every report of a process.
    pub number: u64,
    /// The targets with work; all others have none.
    pub busy: Vec<TargetLoad>,
}

/// The requests that one entry has at one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target's service.
    pub service: ServiceId,
    /// The target.
    pub target: TargetId,
    /// The number of requests.
    pub in_flight: u32,
}

/// The newest report of each other entry.
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    peers: BTreeMap<VmId, Peer>,
}

#[derive(Debug)]
struct Peer {
    number: u64,
    at: Instant,
    added: Vec<(Arc<Stats>, u32)>,
}

impl PeerLoads {
    /// Takes a report if it is newer than the one held.
    pub(crate) fn learn(
        &mut self,
        report: &LoadReport,
        known: &HashMap<(ServiceId, TargetId), Arc<Stats>>,
        now: Instant,
    ) {
        self.expire(now);
        let held = self.peers.get(&report.vm);
        if held.is_some_and(|peer| peer.number >= report.number) {
            return;
        }
        if let Some(old) = self.peers.remove(&report.vm) {
            old.withdraw();
        }
        let mut added = Vec::new();
        for load in &report.busy {
            let name = (load.service.clone(), load.target.clone());
            if let Some(stats) = known.get(&name) {
                stats.peers.fetch_add(load.in_flight, Ordering::Relaxed);
                added.push((stats.clone(), load.in_flight));
            }
        }
        let peer = Peer {
            number: report.number,
            at: now,
            added,
        };
        self.peers.insert(report.vm.clone(), peer);
    }

    /// Forgets reports that are too old.
    pub(crate) fn expire(&mut self, now: Instant) {
        let old = |peer: &Peer| now.saturating_duration_since(peer.at) >= LOAD_REPORT_VALIDITY;
        self.peers.retain(|_, peer| {
            let keep = !old(peer);
            if !keep {
                peer.withdraw();
            }
            keep
        });
    }
}

impl Peer {
    fn withdraw(&self) {
        for (stats, count) in &self.added {
            stats.peers.fetch_sub(*count, Ordering::Relaxed);
        }
    }
}
