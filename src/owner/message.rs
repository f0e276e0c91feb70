//! The messages between the VMs that control one group.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::BootId;
use crate::ids::DataCentre;
use crate::ids::TargetId;
use crate::ids::Term;
use crate::ids::VmId;
use crate::owner::loads::Loads;

/// One process that may control a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: VmId,
    /// The process on it; a restarted process is another member.
    pub boot: BootId,
    /// Where the VM runs.
    pub data_centre: DataCentre,
}

/// Who controls a group under one term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The term.
    pub term: Term,
    /// The holder, then the deputies.
    pub members: Vec<Member>,
    /// How many other members must vouch before a member may order.
    #[serde(rename = "need")]
    pub required_vouches: usize,
}

/// One process of a target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetBoot {
    /// The target.
    pub target: TargetId,
    /// The target's process.
    pub boot: BootId,
}

/// The longest time for which the sender's orders may still keep a target's grants alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseBound {
    /// The target's process.
    pub at: TargetBoot,
    /// Time left when the message was made, in microseconds.
    pub left_us: u64,
}

/// When the sender last vouched to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vouched {
    /// The member that asked.
    pub vm: VmId,
    /// Time since its question came, when the message was made, in microseconds.
    pub age_us: u64,
}

/// One message about a group between two VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks a member whether it still vouches for a term.
    Ask(Ask),
    /// Vouches for a term.
    Vouch(Vouch),
    /// Asks a member of an earlier term to stop vouching for it and ordering under it.
    Stop(Stop),
    /// Confirms that the sender stopped.
    Stopped(Stopped),
    /// Refuses to vouch: the sender knows a later term.
    Newer(Term),
    /// A deputy of the term is about to stop as planned.
    Leave(Term),
    /// What an entry saw of the load of the group's keys; sent to the holder.
    Loads(Loads),
    /// The holder of the term is about to stop as planned and asks a deputy to take over.
    Take(Term),
}

/// The question that a right to order is renewed with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Numbers the sender's questions.
    pub seq: u64,
    /// The term.
    pub term: Term,
    /// Who controls the group; left out once the receiver vouched for the term.
    #[serde(rename = "place", default, skip_serializing_if = "Option::is_none")]
    pub membership: Option<Membership>,
    /// Targets that must not be extended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub barred: Vec<TargetBoot>,
    /// The sum of the rows' revisions that the sender knows of.
    #[serde(default)]
    pub revision: u64,
    /// Whether the table does not answer the sender.
    #[serde(default)]
    pub cut: bool,
}

/// The answer to [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vouch {
    /// The number of the question.
    pub seq: u64,
    /// The term.
    pub term: Term,
    /// Targets that the sender does not vouch for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub barred: Vec<TargetBoot>,
    /// The sender's bounds for the barred targets; a target without one has none left.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub bounds: Vec<LeaseBound>,
    /// The other members that the sender vouched to lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub vouched: Vec<Vouched>,
    /// Time since the table confirmed the term to the sender, in milliseconds.
    pub table_ms: u64,
    /// Time since the sender heard from the holder, in milliseconds.
    pub holder_ms: u64,
}

/// Asks to stop an earlier term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The term to stop.
    pub prior: Term,
    /// Who controls the group now.
    #[serde(rename = "place")]
    pub membership: Membership,
}

/// The answer to [`Stop`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stopped {
    /// The process that stopped; a restarted one does not speak for its predecessor.
    pub boot: BootId,
    /// The term that the sender stopped.
    pub prior: Term,
    /// The sender's bounds; a target without one has none left.
    pub bounds: Vec<LeaseBound>,
    /// The other members that the sender vouched to lately.
    pub vouched: Vec<Vouched>,
}

impl Membership {
    /// Returns the holder.
    pub fn holder(&self) -> Option<&Member> {
        self.members.first()
    }

    /// Returns the deputies.
    pub fn deputies(&self) -> &[Member] {
        self.members.get(1..).unwrap_or_default()
    }
}
