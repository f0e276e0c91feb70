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
pub const SUSPECT_AFTER: Duration = Duration::from_millis(250);

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
    pub strays: u32,
    /// When the next order is due.
    pub due: Instant,
    stamp: Option<(Stamp, Instant)>,
    heard: Option<Instant>,
    waiting: Option<Instant>,
}

/// What an answer shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
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
            strays: 0,
            due: now,
            stamp: None,
            heard: None,
            waiting: None,
        }
    }

    /// Returns whether the target left an order unanswered for too long.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.waiting
            .is_some_and(|since| now >= since + SUSPECT_AFTER)
    }

    /// Returns whether the target answered and is not silent.
    pub fn is_alive(&self, now: Instant) -> bool {
        self.heard.is_some() && !self.is_silent(now)
    }

    /// Returns when the silence of the target becomes suspect.
    pub fn suspect_at(&self) -> Option<Instant> {
        self.waiting.map(|since| since + SUSPECT_AFTER)
    }

    /// Returns when the target was heard last.
    pub fn heard_at(&self) -> Option<Instant> {
        self.heard
    }

    /// Returns the newest stamp and when it was received, while it is of use.
    pub fn stamp(&self, now: Instant) -> Option<(Stamp, Instant)> {
        self.stamp
            .filter(|(_, received)| now < *received + GRANT_LEASE)
    }

    /// Takes note that an order goes out.
    pub fn sent(&mut self, now: Instant) {
        self.waiting.get_or_insert(now);
        self.due = now + ORDER_PERIOD;
    }

    /// Restarts the count of silence: this process itself did not run.
    pub fn excuse(&mut self, now: Instant) {
        if self.waiting.is_some() {
            self.waiting = Some(now);
        }
    }

    /// Takes an answer.
    pub fn heard(&mut self, now: Instant, reply: &OrderReply) -> Heard {
        let restarted = self.boot.is_some_and(|boot| boot != reply.boot);
        if restarted && reply.refused != Some(Refusal::WrongBoot) {
            return Heard::Stale;
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
        self.heard = Some(now);
        self.waiting = None;
        if restarted || reply.refused == Some(Refusal::OldStamp) {
            self.due = now;
        }
        if restarted {
            return Heard::Restarted;
        }
        Heard::Fresh
    }
}

impl Fleet {
    /// Returns the process that a target answers with.
    pub fn process(&self, target: &TargetId) -> Option<TargetBoot> {
        let boot = self.contacts.get(target)?.boot?;
        let target = target.clone();
        Some(TargetBoot { target, boot })
    }

    /// Takes the address of a target.
    pub fn name(&mut self, now: Instant, target: &TargetId, address: SocketAddr) {
        let new = || Contact::new(now, address);
        self.contacts
            .entry(target.clone())
            .or_insert_with(new)
            .address = address;
    }
}
