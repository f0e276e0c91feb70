//! A range of keys and what is going on with it.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Fence;
use crate::node::keys::leader::OrderId;
use crate::node::keys::map::Holder;
use crate::node::keys::map::KeyRange;
use crate::node::keys::view::RangeLocation;

/// A range and what is going on with it.
#[derive(Debug)]
pub(super) struct Span {
    pub(super) range: KeyRange,
    pub(super) owner: Option<Holder>,
    pub(super) next: Option<Holder>,
    pub(super) stage: Stage,
    pub(super) fence: Fence,
    pub(super) handover: Option<String>,
    /// When the connection was opened by which the owner took the fence.
    pub(super) opened: Option<Instant>,
    /// Nobody but the owner holds the keys, and the owner not after this unless renewed.
    pub(super) bound: Instant,
    pub(super) order: Option<OrderId>,
    pub(super) bound_before: Instant,
    /// The time of the last grant sent.
    pub(super) granted: Duration,
    pub(super) due: Instant,
    pub(super) misses: u32,
    pub(super) refused: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The owner is to be granted the keys for the first time in this term.
    Granting,
    /// The owner holds the keys.
    Held,
    /// The owner holds the keys; the map that names the next one is being written.
    Naming(u64),
    /// The owner is to release the keys, or its hold to run out.
    Releasing,
    /// Nobody holds the keys and no target is left to own them.
    Vacant,
}

impl Span {
    /// Gives the span another fence, under which the owner is granted the keys anew.
    pub(super) fn renumber(&mut self, fence: Fence) {
        self.fence = fence;
        self.opened = None;
    }

    /// Returns a part of a held span under the same fence.
    pub(super) fn part(&self, range: KeyRange) -> Self {
        Self {
            range,
            owner: self.owner.clone(),
            next: None,
            stage: self.stage,
            fence: self.fence,
            handover: None,
            opened: self.opened,
            bound: self.bound,
            order: None,
            bound_before: self.bound,
            granted: self.granted,
            due: self.due,
            misses: self.misses,
            refused: self.refused,
        }
    }
}

pub(super) fn place(span: &Span) -> Option<RangeLocation> {
    let owner = span.next.as_ref().or(span.owner.as_ref())?;
    Some(RangeLocation {
        range: span.range,
        owner: Some(owner.id.clone()),
        pending: span.stage != Stage::Held,
    })
}
