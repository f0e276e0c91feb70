//! What nodes tell each other, in datagrams: that they live, how busy targets are, how busy keys
//! are, and where keys went. All of it may be lost; what must not be lost is in the table.

use ciborium::de::from_reader;
use ciborium::ser::into_writer;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::BootId;
use crate::ids::DataCentre;
use crate::ids::TargetId;
use crate::ids::VmId;
use crate::node::fleet::TargetUpdate;
use crate::node::keys::election::CpuCapacity;
use crate::node::keys::view::RangeLocation;
use crate::node::keys::view::Sequence;
use crate::node::platform::Cursor;
use crate::route::CrashReport;

/// The longest datagram that is sent, in bytes; below the usual size of a packet.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Short for a name in datagrams; two names of one deployment do not share one in practice, and a
/// clash only skews a hint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag(pub u32);

impl Tag {
    /// Returns the tag of a name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender's node.
    #[serde(rename = "n")]
    pub node: VmId,
    /// The sender's process.
    #[serde(rename = "b")]
    pub boot: BootId,
    /// What it says.
    #[serde(rename = "m")]
    pub message: Message,
}

/// What a node says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// It lives.
    #[serde(rename = "p")]
    Heartbeat(Heartbeat),
    /// How many requests keys of a service got since the last such message, and how many
    /// milliseconds its targets take.
    #[serde(rename = "h")]
    KeyLoad(Tag, Vec<(u16, u16)>, Vec<(Tag, u16)>),
    /// Where keys are from now on.
    #[serde(rename = "k")]
    Moved(Tag, Sequence, Vec<RangeLocation>),
    /// Requests that crash targets.
    #[serde(rename = "c")]
    Crashes(CrashReport),
    /// What changed in the list of targets, for nodes whose list has the digest given.
    #[serde(rename = "l")]
    TargetUpdates(ListDigest, Vec<TargetUpdate>),
}

/// The regular sign of life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Where the node runs.
    #[serde(rename = "d")]
    pub data_centre: DataCentre,
    /// Its processing power.
    #[serde(rename = "s")]
    pub strength: CpuCapacity,
    /// The version of the rules in force there.
    #[serde(rename = "r")]
    pub rules: u64,
    /// The list of targets that it has read.
    #[serde(rename = "i")]
    pub list: ListPosition,
    /// The services that it knows a leader of, with the term.
    #[serde(rename = "l")]
    pub terms: Vec<ServiceTerm>,
    /// Requests in flight from it, by target; to nodes of its own data centre only.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<(Tag, u16)>,
}

/// The list of targets as a node has read it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListPosition {
    /// How far it has read.
    #[serde(rename = "c")]
    pub cursor: Cursor,
    /// The list.
    #[serde(rename = "d")]
    pub digest: ListDigest,
    /// How long ago that was, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u16,
}

/// A digest of a list of targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDigest {
    /// Of all targets.
    #[serde(rename = "a")]
    pub all: u32,
    /// Of those that are leaving.
    #[serde(rename = "l")]
    pub leaving: u32,
    /// The number of targets that are not leaving.
    #[serde(rename = "n")]
    pub staying: u32,
}

/// What a node knows of one service's leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTerm {
    /// The service.
    #[serde(rename = "s")]
    pub service: Tag,
    /// The newest term known.
    #[serde(rename = "t")]
    pub term: u64,
    /// The newest announcement, if the sender leads.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub leads: Option<u64>,
    /// The sender's own last term, if it gives no more orders in it.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub ended: Option<u64>,
}

impl Datagram {
    /// Returns the bytes of the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(128);
        into_writer(self, &mut bytes).expect("writing to memory cannot fail");
        bytes
    }

    /// Reads a datagram; `None` when it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        from_reader(bytes).ok()
    }
}

/// Returns the tag of a target.
pub fn target_tag(id: &TargetId) -> Tag {
    Tag::of(id.as_str())
}
