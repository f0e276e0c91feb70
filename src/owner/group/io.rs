//! Inputs, outputs and settings of a group's state machine, which does no I/O itself.

use std::net::SocketAddr;

use crate::events::Event;
use crate::ids::BootId;
use crate::ids::DataCentre;
use crate::ids::GroupId;
use crate::ids::TargetId;
use crate::ids::Term;
use crate::ids::VmId;
use crate::owner::loads::Loads;
use crate::owner::message::Member;
use crate::owner::message::PeerMessage;
use crate::owner::order::Order;
use crate::owner::order::OrderReply;
use crate::platform::Row;
use crate::platform::TableError;
use crate::platform::Transaction;
use crate::platform::WriteId;
use crate::ticket::Service;
use crate::view::ViewChange;

/// Identity and settings of a group's state machine.
#[derive(Clone, Debug)]
pub struct GroupConf {
    /// The group that the state machine controls.
    pub group: GroupId,
    /// The VM on which the state machine runs.
    pub me: VmId,
    /// Boot id of the controller process; new at each start.
    pub boot: BootId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// How many other members must vouch before a member may send orders.
    pub policy: crate::owner::authority::VouchPolicy,
}

/// One of the VMs that run controllers, known to be running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The VM's controller process.
    pub member: Member,
    /// Whether the VM is about to be stopped.
    pub leaving: bool,
}

/// An input of a group's state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; due at [`Group::next_tick`](super::Group::next_tick).
    Tick,
    /// The service in the ticket in force; `None` once it is removed.
    Service(Option<Service>),
    /// All running controller VMs, including this one.
    Vms(Vec<Peer>),
    /// Result of [`Action::Read`].
    RowsRead {
        /// Id of the read.
        id: u64,
        /// The rows in the order of the keys; `None` for a row that does not exist.
        result: Result<Vec<Option<Row>>, TableError>,
    },
    /// Result of [`Action::Commit`].
    Committed {
        /// Id of the transaction.
        id: WriteId,
        /// Whether it was applied, or why not.
        result: Result<(), TableError>,
    },
    /// Reply to [`Action::Order`].
    Reply {
        /// The target that replied.
        target: TargetId,
        /// Its reply.
        reply: OrderReply,
    },
    /// An order could not be delivered or was not answered.
    OrderFailed {
        /// The target that did not reply.
        target: TargetId,
    },
    /// A message from another VM.
    Peer {
        /// The VM that sent it.
        from: VmId,
        /// Content of the message.
        message: PeerMessage,
    },
    /// Load of the group's keys measured by the entry on this VM; a sample of the total.
    Loads(Loads),
}

/// An action that the caller must carry out for a group's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read rows of the table with strong consistency; answer with [`Input::RowsRead`].
    Read {
        /// Sequence number of the read, returned in the answer.
        id: u64,
        /// Keys of the rows to read.
        keys: Vec<String>,
    },
    /// Apply a transaction; answer with [`Input::Committed`].
    Commit(Transaction),
    /// Send an order; answer with [`Input::Reply`] or [`Input::OrderFailed`]. Orders to one target
    /// overlap: while an earlier one is unanswered, use another connection.
    Order {
        /// The target to send it to.
        target: TargetId,
        /// Address on which the target listens for orders.
        address: SocketAddr,
        /// Content of the order.
        order: Order,
    },
    /// Send a message to another VM; it may be lost.
    Send {
        /// The VM to send it to.
        to: VmId,
        /// Content of the message.
        message: PeerMessage,
    },
    /// Send a change of the group's assignment to all entries and peers.
    Publish(ViewChange),
    /// Log an event with its details.
    Record(Event, String),
}

/// Status of a group as one VM knows it, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupStatus {
    /// The newest known term; 0 if none is known.
    pub term: Term,
    /// The holder of the term.
    pub holder: Option<VmId>,
    /// The deputies of the term, in the order in which they take over.
    pub deputies: Vec<VmId>,
    /// Whether this VM may send orders to targets now.
    pub ordering: bool,
    /// Number of shards that are moving, or being split or merged; known to the holder only.
    pub moves: usize,
    /// Number of shards without a published owner; known to the holder only.
    pub unowned: usize,
    /// Unresponsive targets; known to the holder only.
    pub lost: Vec<TargetId>,
    /// Number of earlier terms whose orders may still have effect; known to the holder only.
    pub prior: usize,
    /// Whether a write to the table is in progress.
    pub writing: bool,
}
