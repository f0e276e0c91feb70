//! The state of one range of keys: its owner, its grant and the step of its current move.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::ids::Fence;
use crate::node::keys::leader::OrderId;
use crate::node::keys::map::Holder;
use crate::node::keys::map::KeyRange;
use crate::node::keys::view::RangeLocation;

/// A key range with its owner, its grant and its pending order.
#[derive(Debug)]
pub(super) struct RangeState {
    pub(super) range: KeyRange,
    pub(super) owner: Option<Holder>,
    /// The owner to be, while the range moves.
    pub(super) next: Option<Holder>,
    pub(super) stage: Stage,
    pub(super) fence: Fence,
    /// The state that the previous owner left for the next one, until it is delivered.
    pub(super) handover: Option<String>,
    /// When the connection was opened over which the owner accepted `fence`; `None` until it has.
    pub(super) opened: Option<Instant>,
    /// Until when the owner may hold the keys unless its grant is renewed; no other target holds
    /// them.
    pub(super) held_until: Instant,
    /// Until when the next owner may hold the keys by a grant of a previous leader, which may have
    /// finished the move; `None` for moves that this leader began.
    pub(super) next_held_until: Option<Instant>,
    pub(super) pending_order: Option<OrderId>,
    /// The value of `held_until` before the pending grant, restored if the grant has no effect.
    pub(super) held_until_before_order: Instant,
    /// The duration of the last grant sent.
    pub(super) grant_duration: Duration,
    /// When the next order may be sent.
    pub(super) next_order_at: Instant,
    /// Consecutive orders without an answer.
    pub(super) unanswered: u32,
    /// Consecutive orders that could not be sent.
    pub(super) not_sent: u32,
    /// The last address at which the owner is known to have responded under its id.
    pub(super) proven_address: Option<SocketAddr>,
    /// Whether a process at the owner's address named itself as that of another target.
    pub(super) replaced: bool,
    /// Whether the owner has accepted a grant since confirmations were last required.
    pub(super) confirmed: bool,
}

/// The step of a range between one owner and the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The owner is to be granted the keys, for the first time in this term or after a move.
    Granting,
    /// The owner holds the keys.
    Held,
    /// The owner holds the keys; the range moves once the map with this number, which names the
    /// next owner, is stored.
    StoringMap(u64),
    /// The owner is to release the keys, or its grant to expire.
    Releasing,
    /// No target holds the keys, and there was none to grant them to.
    Vacant,
}

impl RangeState {
    /// Sets a new fence, under which the owner is granted the keys again.
    pub(super) fn set_fence(&mut self, fence: Fence) {
        self.fence = fence;
        self.opened = None;
    }

    /// Returns the state of a part of a held range, under the same fence.
    pub(super) fn with_range(&self, range: KeyRange) -> Self {
        Self {
            range,
            owner: self.owner.clone(),
            next: None,
            stage: self.stage,
            fence: self.fence,
            handover: None,
            opened: self.opened,
            held_until: self.held_until,
            next_held_until: self.next_held_until,
            pending_order: None,
            held_until_before_order: self.held_until,
            grant_duration: self.grant_duration,
            next_order_at: self.next_order_at,
            unanswered: self.unanswered,
            not_sent: self.not_sent,
            proven_address: self.proven_address,
            replaced: self.replaced,
            confirmed: self.confirmed,
        }
    }
}

/// Returns the location to announce for a range; `None` if it has neither owner nor next owner.
pub(super) fn location(state: &RangeState) -> Option<RangeLocation> {
    let owner = state.next.as_ref().or(state.owner.as_ref())?;
    Some(RangeLocation {
        range: state.range,
        owner: Some(owner.id.clone()),
        pending: state.stage != Stage::Held,
    })
}
