//! What a leader tells targets, and what becomes of it.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Fence;
use crate::node::keys::map::Holder;
use crate::node::keys::map::KeyMap;
use crate::node::keys::map::KeyRange;
use crate::node::keys::view::RangeLocation;
use crate::node::keys::view::Sequence;

/// Names an order until its end is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub(super) u64);

/// What a target is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Hold these keys from now on, for this long.
    Grant {
        /// The time from the order's arrival.
        duration: Duration,
        /// What the former owner left for the new one.
        handover: Option<String>,
        /// For a renewal: when the connection was opened by which the target took this fence. Only
        /// one as old leads to the same process for certain.
        opened: Option<Instant>,
    },
    /// Take no new work on these keys.
    Release,
}

/// An order to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Names the order.
    pub id: OrderId,
    /// The target's process.
    pub to: Holder,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// The keys.
    pub range: KeyRange,
    /// The fence.
    pub fence: Fence,
    /// What to do.
    pub command: Command,
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target has done it.
    Done(OrderReply),
    /// The target has seen a higher fence.
    StaleFence,
    /// Nothing was sent: nobody listens, or no connection could be made.
    NotSent,
    /// Nothing was sent: the connection of the grant is gone, and another process may listen at
    /// the address by now.
    Reconnected,
    /// It was sent, and may be carried out late.
    Unknown,
}

/// An order that a target has carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderReply {
    /// What a release leaves for the next owner.
    pub handover: Option<String>,
    /// When the connection was opened that carried the order.
    pub opened: Instant,
}

/// What the leader wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write the map, under the condition that the lease is unchanged.
    Write(KeyMap),
    /// Send an order.
    Send(Order),
    /// Tell all nodes where keys are.
    Announce(Sequence, Vec<RangeLocation>),
    /// Find out whether the lease is still held: a target has seen a higher fence.
    CheckLease,
}
