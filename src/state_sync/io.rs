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
pub enum StateRead {
    /// The number in force is not above the one held.
    NotNewer {
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
    VmList(Arc<VmDirectory>),
    /// The VMs that the control of groups needs links to.
    RequireLinks(BTreeSet<VmId>),
    /// A link is open and both sides said who they are.
    LinkOpened {
        /// The link.
        link: LinkId,
        /// The other side.
        hello: Hello,
        /// Whether this side opened it.
        dialled: bool,
    },
    /// A link ended.
    LinkClosed(LinkId),
    /// An attempt to open a link to a VM of the list failed.
    DialFailed(VmId),
    /// A message came over a link.
    Received {
        /// The link.
        link: LinkId,
        /// The message.
        message: Message,
    },
    /// This VM's own control of a group changed the assignment.
    LocalChange(ViewChange),
    /// The answer to [`Action::ReadState`].
    StateRead(StateRead),
    /// A ticket was accepted here; the table has it.
    TicketAccepted(TicketNumber),
    /// An operator asks for the numbers in force of all data centres; answered by
    /// [`Action::CensusUpdated`].
    QueryCensus,
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
    /// Open a link; answer with [`Input::LinkOpened`] or [`Input::DialFailed`].
    Dial {
        /// The VM; `None` takes whoever answers.
        vm: Option<VmId>,
        /// Where it takes links.
        address: SocketAddr,
    },
    /// Close a link.
    CloseLink(LinkId),
    /// Read the state in force; answer with [`Input::StateRead`].
    ReadState {
        /// The number held.
        held: TicketNumber,
        /// Whether to prove by a transaction that the read is not stale.
        verify: bool,
    },
    /// Read the platform's list; answer with [`Input::VmList`] if it can be read.
    ReadVmList,
    /// The numbers in force of all data centres were told anew.
    CensusUpdated,
    /// The view holds more than before.
    ViewChanged(ViewChange),
}
