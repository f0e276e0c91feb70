//! Inputs and actions of the state machine [`StateSync`](crate::state_sync::StateSync), and its
//! configuration.

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

/// Identifies a link within one process; later links have higher numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Identity and limits of one VM's state machine.
#[derive(Clone, Debug)]
pub struct StateSyncConf {
    /// Name of this VM.
    pub vm: VmId,
    /// Identifies this process among those that ran on the VM.
    pub boot: BootId,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Time for which the VM stays ready after its state was last confirmed.
    pub stale_limit: Duration,
    /// Addresses of controllers to connect to until the platform's list of VMs is read.
    pub seeds: Vec<SocketAddr>,
}

/// Result of a read of the state in force from the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StateRead {
    /// The ticket number read is not above the one held.
    NotNewer {
        /// Ticket number read from the table.
        number: TicketNumber,
        /// Whether a transaction proved that the read was not stale.
        verified: bool,
    },
    /// A newer state is in force.
    Newer {
        /// State read from the table.
        state: InForce,
        /// Whether a transaction proved that the read was not stale.
        verified: bool,
    },
    /// The read failed or timed out.
    Failed,
}

/// Event that the state machine handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// Periodic tick, on which due work is done.
    Tick,
    /// The platform's list of VMs was read.
    VmList(Arc<VmDirectory>),
    /// Replaces the set of VMs that the controllers of groups on this VM need links to.
    RequireLinks(BTreeSet<VmId>),
    /// A link opened and both sides sent a [`Hello`].
    LinkOpened {
        /// Identifies the link from now on.
        link: LinkId,
        /// Hello received from the peer.
        hello: Hello,
        /// Whether this side opened the link.
        dialled: bool,
    },
    /// A link was closed or lost.
    LinkClosed(LinkId),
    /// Opening a link to a listed VM failed.
    DialFailed(VmId),
    /// A message was received.
    Received {
        /// Link over which the message was received.
        link: LinkId,
        /// Message as decoded.
        message: Message,
    },
    /// The controller of a group on this VM changed the group's assignment.
    LocalChange(ViewChange),
    /// Result of [`Action::ReadState`].
    StateRead(StateRead),
    /// A ticket with this number was accepted on this VM and written to the table.
    TicketAccepted(TicketNumber),
    /// An operator queries the census of all data centres; [`Action::CensusUpdated`] follows.
    QueryCensus,
}

/// Action that the state machine requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message over each of the links; delivery is not guaranteed.
    Send {
        /// Links to send over.
        links: Vec<LinkId>,
        /// Message to send.
        message: Message,
    },
    /// Open a link; respond with [`Input::LinkOpened`] or [`Input::DialFailed`].
    Dial {
        /// Expected VM; `None` accepts any VM at the address.
        vm: Option<VmId>,
        /// Address at which the VM accepts links.
        address: SocketAddr,
    },
    /// Close a link.
    CloseLink(LinkId),
    /// Read the state in force from the table; respond with [`Input::StateRead`].
    ReadState {
        /// Ticket number held; a state with a higher one is newer.
        held: TicketNumber,
        /// Whether to prove by a transaction that the read was not stale.
        verify: bool,
    },
    /// Read the platform's list of VMs; respond with [`Input::VmList`] if the read succeeds.
    ReadVmList,
    /// The census of all data centres was updated.
    CensusUpdated,
    /// This change was applied to the view.
    ViewChanged(ViewChange),
}
