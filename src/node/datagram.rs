//! Datagrams between nodes: heartbeats, load of targets and keys, and locations of moved keys. Any
//! datagram may be lost, so state that must survive is kept in the table store.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use ciborium::de::from_reader;
use ciborium::ser::into_writer;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::evacuation::Report;
use crate::ids::BootId;
use crate::ids::DataCentre;
use crate::ids::TargetId;
use crate::ids::VmId;
use crate::node::fleet::TargetUpdate;
use crate::node::keys::election::CpuCapacity;
use crate::node::keys::view::RangeLocation;
use crate::node::keys::view::Sequence;
use crate::node::limit::Evidence;
use crate::node::limit::ProcessTag;
use crate::node::limit::RequestRate;
use crate::node::platform::Cursor;
use crate::route::CrashReport;
use crate::target_load::StatedLoad;

/// Maximum size of a sent datagram, in bytes; below the usual packet size of networks.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Maximum number of processes in one [`ReachReport`].
pub const MAX_REPORTED_PROCESSES: usize = 40;

/// A 32-bit hash that stands for a name in datagrams. Collisions within a deployment are unlikely,
/// and a collision only makes a load hint inaccurate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag(pub u32);

impl Tag {
    /// Hashes a name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// A message with its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// Name of the sending node.
    #[serde(rename = "n")]
    pub node: VmId,
    /// Identifies the sending process; changes with every start.
    #[serde(rename = "b")]
    pub boot: BootId,
    /// The payload.
    #[serde(rename = "m")]
    pub message: Message,
}

/// The payload of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender is alive.
    #[serde(rename = "p")]
    Heartbeat(Heartbeat),
    /// Load of a service: its tag, the requests per key since the previous message of this kind,
    /// and the service time of its targets in milliseconds.
    #[serde(rename = "h")]
    KeyLoad(Tag, Vec<(u16, u16)>, Vec<(Tag, u16)>),
    /// New locations of keys of a service.
    #[serde(rename = "k")]
    Moved(Tag, Sequence, Vec<RangeLocation>),
    /// Fingerprints of requests that crashed targets.
    #[serde(rename = "c")]
    Crashes(CrashReport),
    /// Changes of the list of targets; they apply only to a list with the given digest.
    #[serde(rename = "l")]
    TargetUpdates(ListDigest, Vec<TargetUpdate>),
    /// Targets that announced in responses that they are shutting down, with their incarnations.
    #[serde(rename = "g")]
    Leaving(Vec<(Tag, u64)>),
    /// Limits that targets named, or that they no longer name.
    #[serde(rename = "n")]
    Limits(Vec<LimitReport>),
    /// A request for a permit.
    #[serde(rename = "a")]
    PermitRequest(PermitRequest),
    /// The answer to the request for a permit with this number: 0, or the time in milliseconds after
    /// which the next permit is expected.
    #[serde(rename = "y")]
    Permit(u64, u32),
    /// Targets that the sender does not reach, or reaches again.
    #[serde(rename = "u")]
    Reach(ReachReport),
    /// The evacuated data centres, sent when they change.
    #[serde(rename = "e")]
    Evacuations(Report),
    /// Targets that are cold.
    #[serde(rename = "w")]
    Cold(Vec<ColdReport>),
    /// Loads that targets stated in responses; sent only within a data centre.
    #[serde(rename = "s")]
    StatedLoads(Vec<LoadReport>),
}

/// How much longer a target is cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdReport {
    /// The target's process.
    #[serde(rename = "p")]
    pub process: ProcessTag,
    /// The time left, in milliseconds.
    #[serde(rename = "w")]
    pub left_ms: u32,
}

/// The limit of a cold target in a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdRequest {
    /// The rate at which permits are issued.
    #[serde(rename = "r")]
    pub rate: RequestRate,
    /// How much longer the target is cold, in milliseconds.
    #[serde(rename = "w")]
    pub left_ms: u32,
}

/// What a node believes of its links to targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReachReport {
    /// How long the report holds unless it is repeated, in milliseconds.
    #[serde(rename = "v")]
    pub valid_ms: u16,
    /// Processes that the node does not reach.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub unreachable: Vec<ProcessTag>,
    /// Processes that the node reaches again.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub reached: Vec<ProcessTag>,
}

/// The load that a target stated in a response.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Tag of the target's id.
    #[serde(rename = "t")]
    pub target: Tag,
    /// What the target stated.
    #[serde(rename = "l")]
    pub load: StatedLoad,
    /// Time since the response was read, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u16,
}

/// What a node knows of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The target's process.
    #[serde(rename = "p")]
    pub process: ProcessTag,
    /// The limit, or `None` if the target names none any more.
    #[serde(rename = "r")]
    pub rate: Option<RequestRate>,
    /// Time since the observation, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

/// A request for a permit to send one request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Identifies the request within the node that asks.
    #[serde(rename = "q")]
    pub number: u64,
    /// The target's process, with the limit that it names as the asking node knows it.
    #[serde(rename = "l")]
    pub limit: LimitReport,
    /// The limit of the target if it is cold. The node that issues permits may not know it yet.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdRequest>,
    /// The node that asks, if another one has passed the request on.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<SocketAddr>,
}

/// Upper bound of the time that a datagram takes, which is not part of the ages that it reports.
const MAX_DELAY: Duration = Duration::from_millis(100);

impl LimitReport {
    /// Reports an observation.
    pub fn new(process: ProcessTag, evidence: Evidence, now: Instant) -> Self {
        let age = now.saturating_duration_since(evidence.at).as_millis();
        Self {
            process,
            rate: evidence.rate,
            age_ms: age.min(u32::MAX.into()) as u32,
        }
    }

    /// Returns the reported observation. The end of a limit may have been observed earlier than its
    /// age says, and must not hide a later observation of the limit.
    pub fn evidence(&self, now: Instant) -> Evidence {
        let age = Duration::from_millis(self.age_ms.into());
        let age = match self.rate {
            Some(_) => age,
            None => age + MAX_DELAY,
        };
        Evidence {
            rate: self.rate,
            at: now.checked_sub(age).unwrap_or(now),
        }
    }
}

/// The periodic heartbeat of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Data centre of the node.
    #[serde(rename = "d")]
    pub data_centre: DataCentre,
    /// CPU capacity of the node.
    #[serde(rename = "s")]
    pub cpu_capacity: CpuCapacity,
    /// Version of the rules in force on the node.
    #[serde(rename = "r")]
    pub rules: u64,
    /// The list of targets as the node last read it.
    #[serde(rename = "i")]
    pub list: ListPosition,
    /// Whether the node's calls to the table fail.
    #[serde(rename = "x", default, skip_serializing_if = "std::ops::Not::not")]
    pub table_fails: bool,
    /// Whether the node reaches no target.
    #[serde(rename = "z", default, skip_serializing_if = "std::ops::Not::not")]
    pub stranded: bool,
    /// Leader terms of the services whose leader the node knows.
    #[serde(rename = "l")]
    pub terms: Vec<ServiceTerm>,
    /// Requests in flight from the node, by target; sent only within its own data centre.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<(Tag, u16)>,
    /// The evacuated data centres, if the node reports them.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<Report>,
}

/// Version and age of a node's list of targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPosition {
    /// Position in the platform's change history.
    #[serde(rename = "c")]
    pub cursor: Cursor,
    /// Digest of the list's contents.
    #[serde(rename = "d")]
    pub digest: ListDigest,
    /// Time since the read, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u16,
}

/// A digest of a list of targets, independent of their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDigest {
    /// XOR of the hashes of all targets.
    #[serde(rename = "a")]
    pub all: u32,
    /// XOR of the hashes of the leaving targets.
    #[serde(rename = "l")]
    pub leaving: u32,
    /// Number of targets that are not leaving.
    #[serde(rename = "n")]
    pub staying: u32,
}

/// What a node knows about one service's leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTerm {
    /// Tag of the service's name.
    #[serde(rename = "s")]
    pub service: Tag,
    /// Highest known term.
    #[serde(rename = "t")]
    pub term: u64,
    /// Number of the latest announcement, if the sender is the leader.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub leads: Option<u64>,
    /// The last term that the sender led, once it has stopped sending orders in it.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<u64>,
    /// Whether the sender waits until other nodes report that they do not lead.
    #[serde(rename = "r", default, skip_serializing_if = "std::ops::Not::not")]
    pub awaits_reports: bool,
}

impl Datagram {
    /// Encodes the datagram as CBOR.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(128);
        into_writer(self, &mut bytes).expect("writing to memory cannot fail");
        bytes
    }

    /// Decodes a datagram; returns `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        from_reader(bytes).ok()
    }
}

/// Returns the tag of a target's id.
pub fn target_tag(id: &TargetId) -> Tag {
    Tag::of(id.as_str())
}
