//! Orders from a member to the group's targets.

use std::time::Instant;

use crate::ids::BootId;
use crate::ids::TargetId;
use crate::owner::authority::OrderAuthority;
use crate::owner::group::Action;
use crate::owner::group::shared::SharedState;
use crate::owner::message::TargetBoot;
use crate::owner::order::GRANT_LEASE;
use crate::owner::order::Order;
use crate::owner::order::ShardFence;

/// The shards that an order grants and releases.
#[derive(Debug, Default)]
pub(super) struct Shards {
    pub grant: Vec<ShardFence>,
    pub release: Vec<ShardFence>,
}

/// Sends an order that extends the grants to every target for which one is due.
pub(super) fn extend(
    shared: &mut SharedState,
    now: Instant,
    authority: &OrderAuthority,
    barred: &[TargetBoot],
    out: &mut Vec<Action>,
) {
    for target in due(shared, now) {
        send(
            shared,
            now,
            authority,
            barred,
            &target,
            Shards::default(),
            out,
        );
    }
}

/// Returns the targets for which an order is due.
pub(super) fn due(shared: &SharedState, now: Instant) -> Vec<TargetId> {
    let contacts = shared.fleet.contacts.iter();
    let due = contacts.filter(|(_, contact)| contact.due <= now);
    due.map(|(target, _)| target.clone()).collect()
}

/// Sends one order. Without the authority to extend the target's grants, it only requests a stamp.
pub(super) fn send(
    shared: &mut SharedState,
    now: Instant,
    authority: &OrderAuthority,
    barred: &[TargetBoot],
    target: &TargetId,
    shards: Shards,
    out: &mut Vec<Action>,
) {
    let process = shared.fleet.current_process(target);
    let term = shared.term();
    let Some(contact) = shared.fleet.contacts.get_mut(target) else {
        return;
    };
    let allowed =
        |process: &TargetBoot| !barred.contains(process) && authority.permits(now, Some(process));
    let stamp = contact.stamp(now);
    let extended = process
        .as_ref()
        .zip(stamp)
        .filter(|(process, _)| allowed(process));
    let mut order = Order {
        group: shared.conf.group.clone(),
        term,
        boot: contact.boot.unwrap_or(BootId(0)),
        stamp: None,
        grant: Vec::new(),
        release: Vec::new(),
        lease_ms: GRANT_LEASE.as_millis() as u64,
    };
    if let Some((process, (stamp, received))) = extended {
        shared.fleet.bounds.record_order(process, received);
        order.stamp = Some(stamp);
        order.grant = shards.grant;
        order.release = shards.release;
    }
    contact.on_order_sent(now);
    out.push(Action::Order {
        target: target.clone(),
        address: contact.address,
        order,
    });
}
