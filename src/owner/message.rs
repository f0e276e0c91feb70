//! Messages between the VMs that control a group.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::BootId;
use crate::ids::DataCentre;
use crate::ids::TargetId;
use crate::ids::Term;
use crate::ids::VmId;
use crate::owner::loads::Loads;

/// A process that controls a group, as holder or deputy, or may be chosen to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// Identifies the process; a restarted process is a different member.
    pub boot: BootId,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
}

/// The members that control a group during one term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The term; every new membership has a higher one.
    pub term: Term,
    /// The holder, followed by the deputies.
    pub members: Vec<Member>,
    /// The number of other members that must vouch for a member before it may send orders.
    #[serde(rename = "need")]
    pub required_vouches: usize,
}

/// A process of a target; a restarted target is a different process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetBoot {
    /// The target that the process belongs to.
    pub target: TargetId,
    /// Identifies the process.
    pub boot: BootId,
}

/// The maximum remaining time for which the sender's orders may keep the lease of a target process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBound {
    /// The target process.
    pub at: TargetBoot,
    /// Remaining time when the message was created, in microseconds.
    pub left_us: u64,
}

/// When the sender last vouched for a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vouched {
    /// The member that requested the vouch.
    pub vm: VmId,
    /// Time from the receipt of its request to the creation of this message, in microseconds.
    pub age_us: u64,
}

/// A message about a group, sent from one VM to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Requests a vouch for a term.
    Ask(Ask),
    /// Vouches for a term.
    Vouch(Vouch),
    /// Requests that a member of an earlier term stops vouching and sending orders for that term.
    Stop(Stop),
    /// Confirms that the sender has stopped.
    Stopped(Stopped),
    /// Refuses to vouch because the sender knows this later term.
    Newer(Term),
    /// Announces that the sender, a deputy of the term, is about to shut down.
    Leave(Term),
    /// Reports the load of the group's keys that an entry measured; sent to the holder.
    Loads(Loads),
    /// Asks a deputy to take over: the sender, the holder of the term, is about to shut down.
    Take(Term),
}

/// A vouch request: a member sends it to the others to renew its authority to send orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Sequence number of the sender's vouch requests.
    pub seq: u64,
    /// The term to vouch for.
    pub term: Term,
    /// The members of the term; `None` once the receiver has vouched for the term.
    #[serde(rename = "place", default, skip_serializing_if = "Option::is_none")]
    pub membership: Option<Membership>,
    /// Target processes whose leases must not be extended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub barred: Vec<TargetBoot>,
    /// Sum of the newest revisions of the rows that the sender knows.
    #[serde(default)]
    pub revision: u64,
    /// Whether the sender gets no answers from the table.
    #[serde(default)]
    pub cut: bool,
}

/// The reply to [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vouch {
    /// Sequence number of the vouch request.
    pub seq: u64,
    /// The term that the sender vouches for.
    pub term: Term,
    /// Target processes that the vouch does not cover.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub barred: Vec<TargetBoot>,
    /// The lease bounds of the sender's orders to the barred targets; for a target that is not
    /// listed, its orders have no remaining effect.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bounds: Vec<LeaseBound>,
    /// When the sender last vouched for other members.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub vouched: Vec<Vouched>,
    /// Time since the table confirmed the term to the sender, in milliseconds.
    pub table_ms: u64,
    /// Time since the sender received a message of the holder, in milliseconds.
    pub holder_ms: u64,
}

/// Requests that the receiver stops an earlier term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The term to stop.
    pub prior: Term,
    /// The current members.
    #[serde(rename = "place")]
    pub membership: Membership,
}

/// The reply to [`Stop`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stopped {
    /// The process that stopped; it cannot confirm this for a previous process of the same VM.
    pub boot: BootId,
    /// The term that the sender stopped.
    pub prior: Term,
    /// The lease bounds of the sender's orders; for a target that is not listed, its orders have no
    /// remaining effect.
    pub bounds: Vec<LeaseBound>,
    /// When the sender last vouched for other members.
    pub vouched: Vec<Vouched>,
}

impl Membership {
    /// Returns the holder, the first member.
    pub fn holder(&self) -> Option<&Member> {
        self.members.first()
    }

    /// Returns the deputies, in the order in which they take over.
    pub fn deputies(&self) -> &[Member] {
        self.members.get(1..).unwrap_or_default()
    }
}
