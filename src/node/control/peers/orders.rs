//! Orders that leaders send to targets by way of another node.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::ids::BootId;
use crate::ids::ServiceId;
use crate::ids::VmId;
use crate::node::control::peers::Peers;
use crate::node::datagram::Message;
use crate::node::datagram::Tag;
use crate::node::datagram::target_tag;
use crate::node::detours::ClockReading;
use crate::node::detours::OrderReport;
use crate::node::detours::PassedCommand;
use crate::node::detours::PassedOrder;
use crate::node::fleet::Target;
use crate::node::keys::leader::Command;
use crate::node::keys::leader::LEASE_VALIDITY;
use crate::node::keys::leader::ORDER_TIMEOUT;
use crate::node::keys::leader::Order;
use crate::node::keys::leader::OrderOutcome;
use crate::node::keys::leader::RELEASE_TIMEOUT;

/// How often it is checked whether a silent node has ended its exchange.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How long after the end of an order the report about it may take.
const REPORT_DELAY: Duration = Duration::from_millis(100);

/// A node that has not reported about an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilentNode {
    name: VmId,
    boot: BootId,
    /// The reading of its clock by which it has ended its exchange with the target.
    until: Duration,
}

impl Peers {
    /// Sends an order by way of another node, and returns its outcome as that node reports it. The
    /// order may not arrive at the target once this node's [`boot_time`](crate::node::state::boot_time) is `end`.
    ///
    /// # Errors
    ///
    /// Returns an error if the node has not reported in time: it may have stopped with the exchange
    /// under way.
    pub async fn order_via(
        &self,
        node: &VmId,
        service: &ServiceId,
        order: &Order,
        end: Duration,
    ) -> Result<OrderOutcome, SilentNode> {
        let Some((address, boot, clock)) = self.clock_of(node) else {
            return Ok(OrderOutcome::NotSent);
        };
        let (command, timeout) = match &order.command {
            Command::Grant {
                duration, handover, ..
            } => {
                let duration = duration.as_millis() as u64;
                let command = PassedCommand::Grant(duration, handover.clone());
                (command, ORDER_TIMEOUT)
            }
            Command::Release => (PassedCommand::Release, RELEASE_TIMEOUT),
        };
        let (number, report) = self.state.detours.begin(node, boot);
        let passed = PassedOrder {
            number,
            to: (target_tag(&order.to.id), order.to.incarnation),
            range: order.range,
            fence: order.fence,
            command,
            end_ms: clock.translate(end).as_millis() as u64,
        };
        let tag = Tag::of(service.as_str());
        self.send_to(address, &self.datagram(Message::Order(tag, passed)));
        let report = tokio::time::timeout(timeout + REPORT_DELAY, report).await;
        self.state.detours.end(number);
        match report {
            Ok(Ok(report)) => Ok(report.into()),
            // No report in time.
            Ok(Err(_)) | Err(_) => Err(SilentNode {
                name: node.clone(),
                boot,
                until: clock.translate(end) + timeout,
            }),
        }
    }

    /// Waits until a node that has not reported about an order is known to have ended its exchange.
    /// Returns false if that is not known in time.
    pub async fn wait_for_end(&self, node: &SilentNode) -> bool {
        let give_up = Instant::now() + LEASE_VALIDITY;
        while Instant::now() < give_up {
            tokio::time::sleep(CHECK_PERIOD).await;
            let clock = self.clock_of(&node.name);
            let clock = clock.filter(|(_, boot, _)| *boot == node.boot);
            if clock.is_some_and(|(_, _, clock)| clock.reading >= node.until) {
                return true;
            }
        }
        false
    }

    /// Reports what became of an order that this node was to pass on; twice, since datagrams get lost.
    pub fn report_order(&self, to: SocketAddr, number: u64, report: OrderReport) {
        let bytes = self.datagram(Message::OrderReport(number, report));
        for _ in 0..2 {
            self.send_to(to, &bytes);
        }
    }

    /// Returns true if this is the current process of a node that this one knows.
    pub fn is_known(&self, node: &VmId, boot: BootId) -> bool {
        let peers = self.peers.borrow();
        peers.get(node).is_some_and(|peer| peer.boot == Some(boot))
    }

    /// Returns nodes that reach a target and may pass orders on, those of its data centre first.
    pub fn order_relays(&self, target: &Target, count: usize, now: Instant) -> Vec<VmId> {
        let mut able = self.reaching(target.process_tag(), now);
        able.retain(|node| self.clock_of(&node.name).is_some());
        able.sort_by_key(|node| node.data_centre != target.entry.data_centre);
        let nearest = able.into_iter().take(count);
        nearest.map(|node| node.name).collect()
    }

    /// Returns the address, process and clock of a node; `None` if it passes no orders on.
    fn clock_of(&self, node: &VmId) -> Option<(SocketAddr, BootId, ClockReading)> {
        let peers = self.peers.borrow();
        let peer = peers.get(node)?;
        let (reading, received) = peer.clock?;
        Some((peer.address, peer.boot?, ClockReading { reading, received }))
    }
}
