//! What one member knows of a group's targets from their answers to its orders.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::ids::BootId;
use crate::ids::TargetId;
use crate::ids::Term;
use crate::owner::bound::Bounds;
use crate::owner::message::TargetBoot;
use crate::owner::order::GRANT_LEASE;
use crate::owner::order::OrderReply;
use crate::owner::order::Refusal;
use crate::owner::order::Stamp;

/// Time between two orders to a target.
pub const ORDER_PERIOD: Duration = Duration::from_millis(125);
/// A target that did not answer for this long is suspected.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// One target.
#[derive(Clone, Debug)]
pub struct Contact {
    /// Where the target listens.
    pub address: SocketAddr,
    /// The target's process, once it answered.
    pub boot: Option<BootId>,
    /// The newest term seen by the process, if it refuses older ones.
    pub term: Option<Term>,
    /// Consecutive answers whose digest differs from what the process should hold.
    pub mismatches: u32,
    /// When the next order is due.
    pub due: Instant,
    stamp: Option<(Stamp, Instant)>,
    last_reply: Option<Instant>,
    unanswered_since: Option<Instant>,
}

/// What an answer shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyKind {
    /// The answer comes from a process that was replaced since the order went out.
    Stale,
    /// The target answered.
    Fresh,
    /// Another process answers than before.
    Restarted,
}

/// The targets of a group.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Each target that was ever named while this member ordered.
    pub contacts: BTreeMap<TargetId, Contact>,
    /// Upper bounds of the leases that this member's orders gave.
    pub bounds: Bounds,
}

impl Contact {
    /// Starts without an answer.
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

    /// Returns whether the target left an order unanswered for too long.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        self.unanswered_since
            .is_some_and(|since| now >= since + REPLY_TIMEOUT)
    }

    /// Returns whether the target answered and is not silent.
    pub fn is_alive(&self, now: Instant) -> bool {
        self.last_reply.is_some() && !self.is_unresponsive(now)
    }

    /// Returns when the silence of the target becomes suspect.
    pub fn timeout_at(&self) -> Option<Instant> {
        self.unanswered_since.map(|since| since + REPLY_TIMEOUT)
    }

    /// Returns when the target was heard last.
    pub fn last_reply(&self) -> Option<Instant> {
        self.last_reply
    }

    /// Returns the newest stamp and when it was received, while it is of use.
    pub fn stamp(&self, now: Instant) -> Option<(Stamp, Instant)> {
        self.stamp
            .filter(|(_, received)| now < *received + GRANT_LEASE)
    }

    /// Takes note that an order goes out.
    pub fn on_order_sent(&mut self, now: Instant) {
        self.unanswered_since.get_or_insert(now);
        self.due = now + ORDER_PERIOD;
    }

    /// Restarts the count of silence: this process itself did not run.
    pub fn reset_timeouts(&mut self, now: Instant) {
        if self.unanswered_since.is_some() {
            self.unanswered_since = Some(now);
        }
    }

    /// Takes an answer.
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
    /// Returns the process that a target answers with.
    pub fn current_process(&self, target: &TargetId) -> Option<TargetBoot> {
        let boot = self.contacts.get(target)?.boot?;
        let target = target.clone();
        Some(TargetBoot { target, boot })
    }

    /// Takes the address of a target.
    pub fn set_address(&mut self, now: Instant, target: &TargetId, address: SocketAddr) {
        let new = || Contact::new(now, address);
        self.contacts
            .entry(target.clone())
            .or_insert_with(new)
            .address = address;
    }
}
