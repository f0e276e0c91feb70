//! Handle with which the operators' HTTP server sends requests to the control thread.

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

/// A request to the control thread, with the channel for its reply.
#[derive(Debug)]
pub enum ControlRequest {
    /// Reads the state in force on this VM.
    Show(Sender<InForce>),
    /// Reads the status of the VMs and groups.
    Status(Sender<Status>),
    /// Looks up the owner of a key.
    Owner {
        /// The keyed service.
        service: ServiceId,
        /// Hash of the key.
        key_hash: u64,
        /// Receives the owner; `None` if the service is unknown or not keyed.
        reply: Sender<Option<KeyOwner>>,
    },
    /// Reports that a ticket was accepted, so that the table is read immediately.
    Accepted(TicketNumber),
    /// Checks whether this VM has at least the state that was in force when it started.
    Ready(Sender<bool>),
}

/// The control thread has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the controller is stopping; ask another VM")]
pub struct Stopped;

/// Sends requests to the control thread; clones share its queue.
#[derive(Clone, Debug)]
pub struct Handle {
    requests: Sender<ControlRequest>,
}

/// Status of the VMs and groups, as seen by one controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The VM that reports this status.
    pub vm: VmId,
    /// The ticket number in force on this VM.
    pub number: TicketNumber,
    /// Status of each data centre.
    pub data_centres: Vec<DataCentreStatus>,
    /// Status of each group.
    pub groups: Vec<GroupStatus>,
}

/// Status of the VMs of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreStatus {
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// Number of VMs in the platform's list.
    pub listed: u32,
    /// Number of VMs that recently reported their ticket number.
    pub heard: u32,
    /// The highest ticket number that these VMs reported.
    pub number: TicketNumber,
    /// Ticket numbers of the VMs that reported, lowest first; only those behind the highest number
    /// if many VMs reported.
    pub vms: Vec<VmTicketNumber>,
}

/// Status of one group: its controllers and the owners of its shards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Id of the group.
    pub group: GroupId,
    /// The current holder's term; `None` if this VM does not run the group.
    pub term: Option<Term>,
    /// The VM that controls the group; `None` if unknown to this VM.
    pub holder: Option<VmId>,
    /// The holder's deputies; empty if unknown to this VM.
    pub deputies: Vec<VmId>,
    /// Version of the assignment of shards.
    pub version: Version,
    /// Number of shards of each owner.
    pub owners: Vec<OwnerCount>,
    /// Number of shards that no target may serve now, as they are being moved or not yet granted.
    pub unowned: u32,
}

/// Number of shards that one target owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerCount {
    /// Id of the target.
    pub target: TargetId,
    /// Number of its shards.
    pub shards: u32,
}

/// The owner of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyOwner {
    /// Group of the key.
    pub group: GroupId,
    /// Shard of the key.
    pub shard: Shard,
    /// Fencing token of the shard's assignment; 0 if the shard is not assigned.
    pub fence: Fence,
    /// The owner; `None` while no target may serve the key.
    pub target: Option<TargetId>,
}

impl Handle {
    /// Creates a handle that sends requests to the channel.
    pub fn new(requests: Sender<ControlRequest>) -> Self {
        Self { requests }
    }

    /// Returns the state in force on this VM.
    pub async fn show(&self) -> Result<InForce, Stopped> {
        self.send(ControlRequest::Show).await
    }

    /// Returns the status of the VMs and groups.
    pub async fn status(&self) -> Result<Status, Stopped> {
        self.send(ControlRequest::Status).await
    }

    /// Returns the owner of a key, or `None` if the service is unknown or not keyed.
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

    /// Reports that a ticket was accepted, so that it is distributed before the next scheduled read.
    pub async fn accepted(&self, number: TicketNumber) -> Result<(), Stopped> {
        let sent = self.requests.send(ControlRequest::Accepted(number)).await;
        sent.map_err(|_| Stopped)
    }

    /// Returns true if this VM has at least the state that was in force when it started.
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
