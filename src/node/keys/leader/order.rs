//! Orders that a leader sends to targets, their outcomes, and the leader's other actions.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Fence;
use crate::node::keys::map::Holder;
use crate::node::keys::map::KeyMap;
use crate::node::keys::map::KeyRange;
use crate::node::keys::view::RangeLocation;
use crate::node::keys::view::Sequence;

/// Identifies an order until its outcome is known, also among those of a process's former terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId {
    /// The term in which the order was sent.
    pub(super) term: u64,
    /// Increases with every order of the leader.
    pub(super) number: u64,
}

/// The instruction of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Own the keys for `duration`; grants them or renews their grant.
    Grant {
        /// How long the grant lasts, counted from the order's arrival.
        duration: Duration,
        /// The state that the previous owner left for the new one.
        handover: Option<String>,
        /// For a renewal: when the connection was opened over which the target accepted this
        /// fence. Only a connection that is at least as old is known to reach the same process.
        opened: Option<Instant>,
    },
    /// Accept no new work on the keys, and answer once the current work has ended.
    Release,
}

/// A command to a target about a range of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Identifies the order in [`OrderOutcome`] reports to the leader.
    pub id: OrderId,
    /// The target's process that the order is meant for.
    pub to: Holder,
    /// The address of the target's process.
    pub address: std::net::SocketAddr,
    /// The keys that the order applies to.
    pub range: KeyRange,
    /// The fencing token of the order; targets refuse one below the highest that they have seen.
    pub fence: Fence,
    /// What the target should do.
    pub command: Command,
}

/// The outcome of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target has executed the order.
    Done(OrderReply),
    /// The target refused the order, because it has seen a higher fence.
    StaleFence,
    /// Nothing was sent, because no connection could be established.
    NotSent,
    /// Nothing was sent, because the connection of the grant is closed and another process may
    /// listen at the address.
    Reconnected,
    /// Nothing was sent, because a process of another target listens at the address.
    OtherTarget,
    /// Nothing was sent, because the process that listens at the address did not name itself in time.
    Unidentified,
    /// The order was sent, but not answered; the target may still execute it later.
    Unknown,
}

/// A target's reply to an order that it has executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderReply {
    /// The state that a release leaves for the next owner.
    pub handover: Option<String>,
    /// When the connection that carried the order was opened.
    pub opened: Instant,
}

/// An action that the leader requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Store the map, on condition that the lease is unchanged.
    Write(KeyMap),
    /// Send an order to a target and report its outcome.
    Send(Order),
    /// Announce new locations of keys to all nodes.
    Announce(Sequence, Vec<RangeLocation>),
    /// Read the lease row to check that this leader still holds it, because a target has seen a
    /// higher fence.
    CheckLease,
}
