//! What goes into a group's state machine and what comes out.

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

/// Who and where a group's state machine is.
#[derive(Clone, Debug)]
pub struct GroupConf {
    /// The group.
    pub group: GroupId,
    /// The VM.
    pub me: VmId,
    /// The process.
    pub boot: BootId,
    /// Where the VM runs.
    pub data_centre: DataCentre,
    /// How many other members must vouch before a member may order; see
    /// [`VouchPolicy`](crate::owner::right::VouchPolicy).
    pub policy: crate::owner::right::VouchPolicy,
}

/// One VM of our own that is known to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The VM's controller process.
    pub member: Member,
    /// Whether the VM is about to be stopped.
    pub leaving: bool,
}

/// What a group's state machine is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// The service as the ticket in force has it; `None` once it is removed.
    Service(Option<Service>),
    /// Our own VMs that run, this one included.
    Vms(Vec<Peer>),
    /// The answer to [`Action::Read`], in the order of its keys.
    RowsRead {
        /// The number of the read.
        id: u64,
        /// The rows; `None` for one that does not exist.
        result: Result<Vec<Option<Row>>, TableError>,
    },
    /// The answer to [`Action::Commit`].
    Committed {
        /// The transaction.
        id: WriteId,
        /// Its outcome.
        result: Result<(), TableError>,
    },
    /// The answer to [`Action::Order`].
    Reply {
        /// The target.
        target: TargetId,
        /// Its answer.
        reply: OrderReply,
    },
    /// An order could not be delivered or was not answered.
    OrderFailed {
        /// The target.
        target: TargetId,
    },
    /// A message from another VM.
    Peer {
        /// The sender.
        from: VmId,
        /// The message.
        message: PeerMessage,
    },
    /// The load of the group's keys that this VM's own entry saw; a sample of the whole.
    Loads(Loads),
}

/// What a group's state machine asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read rows of the table, strongly; answer with [`Input::RowsRead`].
    Read {
        /// Numbers the reads of this state machine.
        id: u64,
        /// The keys of the rows.
        keys: Vec<String>,
    },
    /// Apply a transaction; answer with [`Input::Committed`].
    Commit(Transaction),
    /// Send an order; answer with [`Input::Reply`] or [`Input::OrderFailed`]. Orders to one target
    /// overlap: where an earlier one is still open, send this one on a connection of its own.
    Order {
        /// The target.
        target: TargetId,
        /// Where it listens.
        address: SocketAddr,
        /// The order.
        order: Order,
    },
    /// Send a message to another VM; it may be lost.
    Send {
        /// The receiver.
        to: VmId,
        /// The message.
        message: PeerMessage,
    },
    /// Spread a change of the group's assignment to all entries and peers.
    Publish(ViewChange),
    /// Log an event with its details.
    Record(Event, String),
}

/// What one VM knows of a group, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupStatus {
    /// The newest term known.
    pub term: Term,
    /// The holder.
    pub holder: Option<VmId>,
    /// The deputies.
    pub deputies: Vec<VmId>,
    /// Whether this VM may order targets now.
    pub ordering: bool,
    /// Shards on their way from one target to another.
    pub moves: usize,
    /// Shards that nobody serves.
    pub unowned: usize,
    /// Targets that do not answer.
    pub lost: Vec<TargetId>,
    /// Earlier terms that may not have ended.
    pub prior: usize,
    /// Whether a write to the table waits for its outcome.
    pub writing: bool,
}
