//! Orders by way of another node: passes on those of other nodes' leaders, and decides by which way
//! this node's own go.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::clock::Clock;
use crate::events::Event;
use crate::ids::BootId;
use crate::ids::TargetId;
use crate::ids::VmId;
use crate::node::control::group::Group;
use crate::node::control::group::lead::carry_out;
use crate::node::counters::Counter;
use crate::node::detours::OrderReport;
use crate::node::detours::PassedCommand;
use crate::node::detours::PassedOrder;
use crate::node::fleet::Target;
use crate::node::keys::leader::Command;
use crate::node::keys::leader::Order;
use crate::node::keys::leader::OrderId;
use crate::node::keys::leader::OrderOutcome;
use crate::node::keys::map::Holder;
use crate::node::keys::plan::Candidate;
use crate::node::platform::Platform;
use crate::platform::Table;

/// How long after a failed order other nodes are still asked to pass orders to the target on.
const MEMORY: Duration = Duration::from_millis(3_000);
/// Maximum number of nodes that take turns in passing orders to a target on.
const MAX_RELAYS: usize = 4;

/// A target that a leader's orders do not reach directly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Indirect {
    /// When an order last failed or was passed on.
    last: Instant,
    /// Since when other nodes have passed orders on.
    since: Option<Instant>,
}

impl<T: Table + 'static, P: Platform> Group<T, P> {
    /// Passes on an order of another node's leader, and reports its outcome.
    pub(super) fn pass_on(
        &self,
        node: &VmId,
        boot: BootId,
        from: SocketAddr,
        passed: &PassedOrder,
    ) {
        let known = self.peers.is_known(node, boot);
        let Some(order) = known.then(|| self.order(passed)).flatten() else {
            let report = OrderReport::NotSent;
            return self.peers.report_order(from, passed.number, report);
        };
        self.state.counters.add(Counter::OrdersPassedOn);
        let (state, platform) = (self.state.clone(), self.platform.clone());
        let (peers, number) = (self.peers.clone(), passed.number);
        let end = Duration::from_millis(passed.end_ms);
        tokio::task::spawn_local(async move {
            let outcome = carry_out(&state, &*platform, &order, end).await;
            peers.report_order(from, number, outcome.into());
        });
    }

    /// Returns the order to a target as this node knows it; `None` if this node knows another process.
    fn order(&self, passed: &PassedOrder) -> Option<Order> {
        let (tag, incarnation) = passed.to;
        let fleet = self.state.fleet.borrow();
        let target = fleet.by_tag(tag)?;
        let is_meant =
            target.entry.incarnation == incarnation && target.entry.service == self.service;
        let command = match &passed.command {
            PassedCommand::Grant(ms, handover) => Command::Grant {
                duration: Duration::from_millis(*ms),
                handover: handover.clone(),
                opened: None,
            },
            PassedCommand::Release => Command::Release,
        };
        is_meant.then(|| Order {
            id: OrderId(passed.number),
            to: Holder {
                id: target.entry.id.clone(),
                incarnation,
            },
            address: target.entry.address,
            range: passed.range,
            via: None,
            end: self.clock.now(),
            fence: passed.fence,
            command,
        })
    }

    /// Adds to a candidate the ways by which it is reached.
    pub(super) fn with_ways(&self, candidate: Candidate, target: &Target) -> Candidate {
        let now = Instant::now();
        let reached = !target.link.is_unreachable(now) || target.link.is_carrying(now);
        if reached && !self.indirect.contains_key(&target.entry.id) {
            return candidate;
        }
        Candidate {
            reached,
            relays: self.peers.order_relays(target, MAX_RELAYS, now),
            ..candidate
        }
    }

    /// Records by which way an order reached its target, or that it did not.
    pub(super) fn record_way(
        &mut self,
        target: &TargetId,
        via: Option<VmId>,
        outcome: &OrderOutcome,
        now: Instant,
    ) {
        match (outcome, via) {
            (OrderOutcome::Done(_), None) => self.end_detour(target, "direct", now),
            (OrderOutcome::Done(_), Some(node)) => {
                let indirect = self.indirect.entry(target.clone()).or_insert(Indirect {
                    last: now,
                    since: None,
                });
                indirect.last = now;
                if indirect
                    .since
                    .replace(indirect.since.unwrap_or(now))
                    .is_none()
                {
                    self.state.log.record(Event::DetourBegun, |line| {
                        line.text("service", self.service.as_str());
                        line.text("target", target.as_str());
                        line.text("via", node.as_str());
                    });
                }
            }
            (OrderOutcome::NotSent | OrderOutcome::Unknown | OrderOutcome::Unreported, _) => {
                let indirect = self.indirect.entry(target.clone()).or_insert(Indirect {
                    last: now,
                    since: None,
                });
                indirect.last = now;
            }
            (OrderOutcome::StaleFence | OrderOutcome::Reconnected, _) => {}
        }
    }

    /// Forgets the targets that no order has failed to reach for some time.
    pub(super) fn forget_ways(&mut self, now: Instant) {
        let is_old = |indirect: &Indirect| now.saturating_duration_since(indirect.last) >= MEMORY;
        let old = self
            .indirect
            .iter()
            .filter(|(_, indirect)| is_old(indirect));
        let old: Vec<TargetId> = old.map(|(target, _)| target.clone()).collect();
        for target in old {
            self.end_detour(&target, "unused", now);
        }
    }

    fn end_detour(&mut self, target: &TargetId, end: &str, now: Instant) {
        let indirect = self.indirect.remove(target);
        let Some(since) = indirect.and_then(|indirect| indirect.since) else {
            return;
        };
        self.state.log.record(Event::DetourEnded, |line| {
            line.text("service", self.service.as_str());
            line.text("target", target.as_str());
            line.text("end", end);
            let took = now.saturating_duration_since(since);
            line.number("took_ms", took.as_millis() as u64);
        });
    }
}
