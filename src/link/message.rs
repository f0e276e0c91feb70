//! The messages between our processes. Unknown fields are ignored; new fields need a default.

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

/// One message between two of our processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The first message of either side.
    Hello(Hello),
    /// Newer state.
    Changes(Vec<ViewChange>),
    /// What the sender holds; the receiver answers with the changes it lacks, if any.
    Digest(ViewDigest),
    /// Counts that an entry gathered since its last report.
    Report(EntryReport),
    /// What the sender wants to be sent from now on.
    Subscribe(Feed),
    /// What the sender holds, in short.
    Summary(Summary),
    /// The numbers in force on the sender and the VMs below it.
    Census(Census),
    /// Asks for [`Message::Centres`] for a while.
    AskCentres,
    /// The numbers in force in every data centre.
    Centres(Vec<Census>),
    /// The receiving entry's position among all entries.
    Rank(EntryRank),
    /// What the sender knows of requests that crash targets.
    Crashes(CrashReport),
    /// Asks for a [`Message::Pong`] with the same number.
    Ping(u64),
    /// Answers a ping.
    Pong(u64),
    /// Concerns the control of one group.
    Owner {
        /// The group.
        group: GroupId,
        /// The message.
        message: PeerMessage,
    },
}

/// Who opens a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's VM.
    pub vm: VmId,
    /// The sender's process.
    pub boot: BootId,
    /// Where the sender runs.
    pub data_centre: DataCentre,
    /// What the sender is.
    pub role: Role,
    /// What the sender holds.
    pub digest: ViewDigest,
}

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Does control work.
    Controller,
}

/// What an entry tells its controller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryReport {
    /// The number in force on the entry.
    pub number: TicketNumber,
    /// The hottest keys of each keyed service, hottest first.
    #[serde(default)]
    pub hot_keys: Vec<HotKey>,
    /// Requests a second of each keyed service.
    #[serde(default)]
    pub rates: BTreeMap<ServiceId, f64>,
}

/// One hot key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HotKey {
    /// The keyed service.
    pub service: ServiceId,
    /// The hash of the key.
    pub hash: u64,
    /// Requests a second.
    pub rate: f64,
}
