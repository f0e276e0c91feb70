//! What goes into the spreading of state and what comes out.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::BootId;
use crate::ids::DataCentre;
use crate::ids::TicketNumber;
use crate::ids::VmId;
use crate::link::Hello;
use crate::link::Message;
use crate::member::VmDirectory;
use crate::ticket::InForce;
use crate::view::ViewChange;

/// Numbers the links of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Who and where a VM is.
#[derive(Clone, Debug)]
pub struct StateSyncConf {
    /// The VM.
    pub vm: VmId,
    /// The process on it.
    pub boot: BootId,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// How long a VM that can confirm its state from no one stays ready.
    pub stale_limit: Duration,
    /// Controllers to link to while the platform's list cannot be read.
    pub seeds: Vec<SocketAddr>,
}

/// What a read of the table found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableAnswer {
    /// The number in force is not above the one held.
    Held {
        /// The number read.
        number: TicketNumber,
        /// Whether a transaction proved that the read was not stale.
        verified: bool,
    },
    /// A newer state is in force.
    Newer {
        /// The state.
        state: InForce,
        /// Whether a transaction proved that the read was not stale.
        verified: bool,
    },
    /// The table did not answer.
    Failed,
}

/// What the spreading of state is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// The platform's list of VMs.
    Vms(Arc<VmDirectory>),
    /// The VMs that the control of groups needs links to.
    Want(BTreeSet<VmId>),
    /// A link is open and both sides said who they are.
    Linked {
        /// The link.
        link: LinkId,
        /// The other side.
        hello: Hello,
        /// Whether this side opened it.
        dialled: bool,
    },
    /// A link ended.
    Unlinked(LinkId),
    /// An attempt to open a link to a VM of the list failed.
    Unreachable(VmId),
    /// A message came over a link.
    Received {
        /// The link.
        link: LinkId,
        /// The message.
        message: Message,
    },
    /// This VM's own control of a group changed the assignment.
    Local(ViewChange),
    /// The answer to [`Action::ReadTable`].
    Table(TableAnswer),
    /// A ticket was accepted here; the table has it.
    Accepted(TicketNumber),
    /// An operator asks for the numbers in force of all data centres; answered by
    /// [`Action::Counted`].
    Count,
}

/// What the spreading of state asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message over each of the links; it may be lost.
    Send {
        /// The links.
        links: Vec<LinkId>,
        /// The message.
        message: Message,
    },
    /// Open a link; answer with [`Input::Linked`] or [`Input::Unreachable`].
    Dial {
        /// The VM; `None` takes whoever answers.
        vm: Option<VmId>,
        /// Where it takes links.
        address: SocketAddr,
    },
    /// Close a link.
    Hangup(LinkId),
    /// Read the state in force; answer with [`Input::Table`].
    ReadTable {
        /// The number held.
        held: TicketNumber,
        /// Whether to prove by a transaction that the read is not stale.
        verify: bool,
    },
    /// Read the platform's list; answer with [`Input::Vms`] if it can be read.
    ReadVms,
    /// The numbers in force of all data centres were told anew.
    Counted,
    /// The view holds more than before.
    Changed(ViewChange),
}
