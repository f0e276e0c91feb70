//! Orders that a leader sends by way of another node, to a target that only the other node reaches.
//!
//! The leader counts on an order arriving in time or not at all. The other node may stop for any time
//! with the order unread, so an order names the last moment, on that node's clock, at which it may
//! arrive. The leader derives it from a reading of that clock in a heartbeat: the reading is older than
//! its receipt, so the moment is never too late.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::ids::BootId;
use crate::ids::Fence;
use crate::ids::VmId;
use crate::node::datagram::Tag;
use crate::node::keys::leader::OrderOutcome;
use crate::node::keys::leader::OrderReply;
use crate::node::keys::map::KeyRange;

/// By how much one node's clock may run faster than another's.
const CLOCK_DRIFT_FACTOR: f64 = 1.03;

/// A reading of another node's clock, which counts while the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// What the clock showed when it was read.
    pub reading: Duration,
    /// What the clock of the receiving node showed when the reading was received.
    pub received: Duration,
}

impl ClockReading {
    /// Returns a time on the other node's clock that is no later than `at` on this node's.
    pub fn translate(&self, at: Duration) -> Duration {
        let ahead = at.saturating_sub(self.received);
        self.reading + ahead.div_f64(CLOCK_DRIFT_FACTOR)
    }
}

/// An order on its way to another node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PassedOrder {
    /// Identifies the order in the report about it.
    #[serde(rename = "q")]
    pub number: u64,
    /// The target that the order is meant for, and its incarnation.
    #[serde(rename = "p")]
    pub to: (Tag, u64),
    /// The keys that the order applies to.
    #[serde(rename = "r")]
    pub range: KeyRange,
    /// The fencing token of the order.
    #[serde(rename = "f")]
    pub fence: Fence,
    /// The instruction.
    #[serde(rename = "c")]
    pub command: PassedCommand,
    /// The time on the receiving node's clock from which the order may not be sent, in milliseconds.
    #[serde(rename = "e")]
    pub end_ms: u64,
}

/// The instruction of an order that is passed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PassedCommand {
    /// Own the keys for this many milliseconds, with the state that the previous owner left.
    #[serde(rename = "g")]
    Grant(u64, Option<String>),
    /// Release the keys.
    #[serde(rename = "r")]
    Release,
}

/// What a node reports about an order that it was to pass on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OrderReport {
    /// The target has executed the order; contains the state that a release leaves.
    #[serde(rename = "d")]
    Done(Option<String>),
    /// The target has seen a higher fence.
    #[serde(rename = "s")]
    StaleFence,
    /// Nothing was sent to the target.
    #[serde(rename = "n")]
    NotSent,
    /// The order was sent, but not answered, and its connection was reset.
    #[serde(rename = "u")]
    Unknown,
}

impl From<OrderOutcome> for OrderReport {
    fn from(outcome: OrderOutcome) -> Self {
        match outcome {
            OrderOutcome::Done(reply) => Self::Done(reply.handover),
            OrderOutcome::StaleFence => Self::StaleFence,
            OrderOutcome::NotSent | OrderOutcome::Reconnected => Self::NotSent,
            OrderOutcome::Unknown | OrderOutcome::Unreported => Self::Unknown,
        }
    }
}

impl From<OrderReport> for OrderOutcome {
    fn from(report: OrderReport) -> Self {
        match report {
            OrderReport::Done(handover) => Self::Done(OrderReply {
                handover,
                opened: None,
            }),
            OrderReport::StaleFence => Self::StaleFence,
            OrderReport::NotSent => Self::NotSent,
            OrderReport::Unknown => Self::Unknown,
        }
    }
}

/// The node that is to report about an order.
#[derive(Debug)]
struct Awaited {
    node: VmId,
    boot: BootId,
    report: oneshot::Sender<OrderReport>,
}

/// The orders of this node's leaders that other nodes are passing on.
#[derive(Debug, Default)]
pub struct Detours(RefCell<BTreeMap<u64, Awaited>>);

impl Detours {
    /// Returns a number for an order that a process passes on, and the report about it once it
    /// arrives.
    pub fn begin(&self, node: &VmId, boot: BootId) -> (u64, oneshot::Receiver<OrderReport>) {
        let (sender, receiver) = oneshot::channel();
        let awaited = Awaited {
            node: node.clone(),
            boot,
            report: sender,
        };
        // A later process on this node must not take a report for its own.
        let number = rand::random();
        self.0.borrow_mut().insert(number, awaited);
        (number, receiver)
    }

    /// Delivers a report, unless the order has ended or another process was to report.
    pub fn report(&self, node: &VmId, boot: BootId, number: u64, report: OrderReport) {
        let mut awaited = self.0.borrow_mut();
        let is_asked = |awaited: &Awaited| awaited.node == *node && awaited.boot == boot;
        if !awaited.get(&number).is_some_and(is_asked) {
            return;
        }
        if let Some(awaited) = awaited.remove(&number) {
            // The order may just have timed out.
            let _ = awaited.report.send(report);
        }
    }

    /// Ends the wait for a report; one that arrives later is ignored.
    pub fn end(&self, number: u64) {
        self.0.borrow_mut().remove(&number);
    }
}
