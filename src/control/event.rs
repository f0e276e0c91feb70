//! Events that the control thread handles.

use crate::control::ControlRequest;
use crate::ids::GroupId;
use crate::link::Hello;
use crate::link::Message;
use crate::link::Outbox;
use crate::owner::group;
use crate::state_sync;
use crate::state_sync::LinkId;

/// An event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// An operator's request.
    Request(ControlRequest),
    /// A link is open and both sides have sent [`Hello`].
    LinkOpened {
        /// Id of the link in this process.
        link: LinkId,
        /// Identifies the peer.
        hello: Hello,
        /// True if this process opened the link.
        dialled: bool,
        /// Queue of frames to send.
        outbox: Outbox,
    },
    /// A link was closed, or failed.
    LinkClosed(LinkId),
    /// A message was received over a link.
    Received {
        /// The link that received it.
        link: LinkId,
        /// The decoded message.
        message: Message,
    },
    /// Input for the synchronisation of state between controllers.
    StateSync(state_sync::Input),
    /// Input for a group's state machine.
    Group {
        /// The group that receives the input.
        group: GroupId,
        /// The input passed to the group's state machine.
        input: group::Input,
    },
    /// SIGTERM or SIGINT was received.
    Stop,
}
