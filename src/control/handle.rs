//! How the operators' HTTP requests the control thread.

use async_std::channel::Sender;
use async_std::channel::bounded;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::DataCentre;
use crate::ids::Fence;
use crate::ids::GroupId;
use crate::ids::ServiceId;
use crate::ids::Shard;
use crate::ids::TargetId;
use crate::ids::Term;
use crate::ids::TicketNumber;
use crate::ids::Version;
use crate::ids::VmId;
use crate::state_sync::VmTicketNumber;
use crate::ticket::InForce;

/// A question with the channel for its answer.
#[derive(Debug)]
pub enum ControlRequest {
    /// Asks for the state in force on this VM.
    Show(Sender<InForce>),
    /// Asks how the VMs and groups are.
    Status(Sender<Status>),
    /// Asks who owns a key.
    Owner {
        /// The keyed service.
        service: ServiceId,
        /// The hash of the key.
        key_hash: u64,
        /// Takes the answer; `None` for an unknown or unkeyed service.
        reply: Sender<Option<KeyOwner>>,
    },
    /// Tells that a ticket was accepted, so that the table is read at once.
    Accepted(TicketNumber),
    /// Asks whether this VM holds at least what was in force at its start.
    Ready(Sender<bool>),
}

/// The control thread is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the controller is stopping; ask another VM")]
pub struct Stopped;

/// Asks the control thread; clones ask the same one.
#[derive(Clone, Debug)]
pub struct Handle {
    requests: Sender<ControlRequest>,
}

/// How the VMs and groups are, as one controller knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The VM that answers.
    pub vm: VmId,
    /// The number in force on it.
    pub number: TicketNumber,
    /// Each data centre.
    pub data_centres: Vec<DataCentreStatus>,
    /// Each group.
    pub groups: Vec<GroupStatus>,
}

/// The VMs of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// The data centre.
    pub data_centre: DataCentre,
    /// VMs of the platform's list.
    pub listed: u32,
    /// VMs that told their number lately.
    pub heard: u32,
    /// The highest number that one of them told.
    pub number: TicketNumber,
    /// Where many VMs were heard, those that lag; else all. Lowest numbers first.
    pub vms: Vec<VmTicketNumber>,
}

/// One group's control and owners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// The term of its control, where this VM knows it.
    pub term: Option<Term>,
    /// The holder, where this VM knows it.
    pub holder: Option<VmId>,
    /// The deputies, where this VM knows them.
    pub deputies: Vec<VmId>,
    /// The version of the assignment.
    pub version: Version,
    /// Shards with each owner.
    pub owners: Vec<OwnerCount>,
    /// Shards that nobody may serve now: on the move or not yet granted.
    pub unowned: u32,
}

/// The shards of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerCount {
    /// The target.
    pub target: TargetId,
    /// Its shards.
    pub shards: u32,
}

/// Who owns a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyOwner {
    /// The group of the key.
    pub group: GroupId,
    /// The shard of the key.
    pub shard: Shard,
    /// The fence of the assignment.
    pub fence: Fence,
    /// The owner; `None` while nobody may serve the key.
    pub target: Option<TargetId>,
}

impl Handle {
    /// Creates a handle that requests through the channel.
    pub fn new(requests: Sender<ControlRequest>) -> Self {
        Self { requests }
    }

    /// Returns the state in force on this VM.
    pub async fn show(&self) -> Result<InForce, Stopped> {
        self.send(ControlRequest::Show).await
    }

    /// Returns how the VMs and groups are.
    pub async fn status(&self) -> Result<Status, Stopped> {
        self.send(ControlRequest::Status).await
    }

    /// Returns who owns a key; `None` for an unknown or unkeyed service.
    pub async fn owner(
        &self,
        service: ServiceId,
        key_hash: u64,
    ) -> Result<Option<KeyOwner>, Stopped> {
        let request = |reply| ControlRequest::Owner {
            service,
            key_hash,
            reply,
        };
        self.send(request).await
    }

    /// Tells that a ticket was accepted, so that it spreads without waiting for the next read.
    pub async fn accepted(&self, number: TicketNumber) -> Result<(), Stopped> {
        let sent = self.requests.send(ControlRequest::Accepted(number)).await;
        sent.map_err(|_| Stopped)
    }

    /// Returns whether this VM holds at least what was in force at its start.
    pub async fn ready(&self) -> Result<bool, Stopped> {
        self.send(ControlRequest::Ready).await
    }

    async fn send<T>(
        &self,
        request: impl FnOnce(Sender<T>) -> ControlRequest,
    ) -> Result<T, Stopped> {
        let (reply, answer) = bounded(1);
        self.requests
            .send(request(reply))
            .await
            .map_err(|_| Stopped)?;
        answer.recv().await.map_err(|_| Stopped)
    }
}
