//! The targets of a group as one member knows them from their replies to its orders.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::ids::BootId;
use crate::ids::TargetId;
use crate::ids::Term;
use crate::owner::lease_bounds::LeaseBounds;
use crate::owner::message::TargetBoot;
use crate::owner::order::GRANT_LEASE;
use crate::owner::order::OrderReply;
use crate::owner::order::Refusal;
use crate::owner::order::Stamp;

/// Time between two orders to a target.
pub const ORDER_PERIOD: Duration = Duration::from_millis(125);
/// A target that leaves an order unanswered for this long counts as unresponsive.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// State of one target: its address, process and replies.
#[derive(Clone, Debug)]
pub struct Contact {
    /// Address on which the target listens for orders.
    pub address: SocketAddr,
    /// Boot id of the target's process, once it replied.
    pub boot: Option<BootId>,
    /// The newest term that the process has seen, if it rejects older ones.
    pub term: Option<Term>,
    /// Number of consecutive replies that report other grants than the process should hold.
    pub mismatches: u32,
    /// When the next order is due.
    pub due: Instant,
    stamp: Option<(Stamp, Instant)>,
    last_reply: Option<Instant>,
    unanswered_since: Option<Instant>,
}

/// Classification of a reply by the process that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyKind {
    /// The reply comes from a process that has been replaced since the order was sent.
    Stale,
    /// The known process replied.
    Fresh,
    /// A new process replied.
    Restarted,
}

/// The targets of a group.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Every target that a ticket in force contained since this process started.
    pub contacts: BTreeMap<TargetId, Contact>,
    /// Upper bounds of the leases granted by this member's orders.
    pub bounds: LeaseBounds,
}

impl Contact {
    /// Creates a contact without a reply; its first order is due at `now`.
    pub fn new(now: Instant, address: SocketAddr) -> Self {
        Self {
            address,
            boot: None,
            term: None,
            mismatches: 0,
            due: now,
            stamp: None,
            last_reply: None,
            unanswered_since: None,
        }
    }

    /// Returns true if an order has been unanswered for [`REPLY_TIMEOUT`].
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        self.unanswered_since
            .is_some_and(|since| now >= since + REPLY_TIMEOUT)
    }

    /// Returns true if the target has replied and is not unresponsive.
    pub fn is_alive(&self, now: Instant) -> bool {
        self.last_reply.is_some() && !self.is_unresponsive(now)
    }

    /// Returns when the target will count as unresponsive; `None` if no order is unanswered.
    pub fn timeout_at(&self) -> Option<Instant> {
        self.unanswered_since.map(|since| since + REPLY_TIMEOUT)
    }

    /// Returns when the last reply was received.
    pub fn last_reply(&self) -> Option<Instant> {
        self.last_reply
    }

    /// Returns the newest stamp and when it was received, until a lease from it would have expired.
    pub fn stamp(&self, now: Instant) -> Option<(Stamp, Instant)> {
        self.stamp
            .filter(|(_, received)| now < *received + GRANT_LEASE)
    }

    /// Records that an order was sent.
    pub fn on_order_sent(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
        self.due = now + ORDER_PERIOD;
    }

    /// Restarts the reply timeout after a pause of this process.
    pub fn reset_timeouts(&mut self, now: Instant) {
        if self.unanswered_since.is_some() {
            self.unanswered_since = Some(now);
        }
    }

    /// Records a reply and classifies it.
    pub fn on_reply(&mut self, now: Instant, reply: &OrderReply) -> ReplyKind {
        let restarted = self.boot.is_some_and(|boot| boot != reply.boot);
        if restarted && reply.refused != Some(Refusal::WrongBoot) {
            return ReplyKind::Stale;
        }
        self.boot = Some(reply.boot);
        if restarted {
            self.stamp = None;
            self.term = None;
        }
        self.term = self.term.max(reply.term);
        if self.stamp.is_none_or(|(stamp, _)| stamp < reply.stamp) {
            self.stamp = Some((reply.stamp, now));
        }
        self.last_reply = Some(now);
        self.unanswered_since = None;
        if restarted || reply.refused == Some(Refusal::OldStamp) {
            self.due = now;
        }
        if restarted {
            return ReplyKind::Restarted;
        }
        ReplyKind::Fresh
    }
}

impl Fleet {
    /// Returns the process that sent the last reply of a target.
    pub fn current_process(&self, target: &TargetId) -> Option<TargetBoot> {
        let boot = self.contacts.get(target)?.boot?;
        let target = target.clone();
        Some(TargetBoot { target, boot })
    }

    /// Sets the address of a target, and adds the target if it is new.
    pub fn set_address(&mut self, now: Instant, target: &TargetId, address: SocketAddr) {
        let new = || Contact::new(now, address);
        self.contacts
            .entry(target.clone())
            .or_insert_with(new)
            .address = address;
    }
}
