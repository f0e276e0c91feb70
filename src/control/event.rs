//! Everything that the control thread reacts to.

use crate::control::ControlRequest;
use crate::ids::GroupId;
use crate::link::Hello;
use crate::link::Message;
use crate::link::Outbox;
use crate::owner::group;
use crate::state_sync;
use crate::state_sync::LinkId;

/// One thing for the control thread to react to.
#[derive(Debug)]
pub enum Event {
    /// An operator asks.
    Request(ControlRequest),
    /// A link is open and both sides said who they are.
    LinkOpened {
        /// The link.
        link: LinkId,
        /// The other side.
        hello: Hello,
        /// Whether this side opened it.
        dialled: bool,
        /// Takes what to send.
        outbox: Outbox,
    },
    /// A link ended.
    LinkClosed(LinkId),
    /// A message came over a link.
    Received {
        /// The link.
        link: LinkId,
        /// The message.
        message: Message,
    },
    /// For the spreading of state.
    StateSync(state_sync::Input),
    /// For the control of a group.
    Group {
        /// The group.
        group: GroupId,
        /// What it is told.
        input: group::Input,
    },
    /// The process was asked to stop.
    Stop,
}
