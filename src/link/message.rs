//! Messages between controllers and entries, encoded as CBOR. Decoding ignores unknown fields, and
//! new fields need a default, so that adjacent releases understand each other.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

use crate::ids::BootId;
use crate::ids::DataCentre;
use crate::ids::GroupId;
use crate::ids::ServiceId;
use crate::ids::TicketNumber;
use crate::ids::VmId;
use crate::owner::message::PeerMessage;
use crate::route::CrashReport;
use crate::route::EntryRank;
use crate::state_sync::Census;
use crate::state_sync::Feed;
use crate::state_sync::Summary;
use crate::view::ViewChange;
use crate::view::ViewDigest;

/// A message between two controllers, or between an entry and its controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Identifies the sender; the first message in each direction.
    Hello(Hello),
    /// Parts of the view that are newer than those of the receiver.
    Changes(Vec<ViewChange>),
    /// The versions that the sender has; the receiver replies with the newer changes it has, if any.
    Digest(ViewDigest),
    /// Request rates that an entry measured since its last report.
    Report(EntryReport),
    /// Selects the feed that the receiver sends to the sender from now on.
    Subscribe(Feed),
    /// A short summary of the versions that the sender has.
    Summary(Summary),
    /// The ticket numbers in force on the sender and on the VMs below it in the relay tree.
    Census(Census),
    /// Requests [`Message::Centres`] for a limited time.
    AskCentres,
    /// The ticket numbers in force in every data centre.
    Centres(Vec<Census>),
    /// The receiving entry's rank among all entries.
    Rank(EntryRank),
    /// Requests that are known to the sender to crash targets.
    Crashes(CrashReport),
    /// Requests a [`Message::Pong`] with the same number.
    Ping(u64),
    /// The response to a ping, with its number.
    Pong(u64),
    /// A message between the controllers of one group.
    Owner {
        /// The group that the message is about.
        group: GroupId,
        /// The message for the group's state machine.
        message: PeerMessage,
    },
}

/// Identifies the sender at the start of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's VM.
    pub vm: VmId,
    /// The sender's run; a restarted process has another id.
    pub boot: BootId,
    /// The sender's data centre.
    pub data_centre: DataCentre,
    /// The sender's role.
    pub role: Role,
    /// The versions of the sender's view.
    pub digest: ViewDigest,
}

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// Proxies the requests of callers.
    Entry,
    /// Controls groups and distributes state.
    Controller,
}

/// Load that an entry reports to its controller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryReport {
    /// The ticket number in force on the entry.
    pub number: TicketNumber,
    /// The hottest keys of each keyed service, hottest first.
    #[serde(default)]
    pub hot_keys: Vec<HotKey>,
    /// Requests per second of each keyed service.
    #[serde(default)]
    pub rates: BTreeMap<ServiceId, f64>,
}

/// A key with a high request rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HotKey {
    /// The keyed service.
    pub service: ServiceId,
    /// Hash of the key.
    pub hash: u64,
    /// Requests per second.
    pub rate: f64,
}
