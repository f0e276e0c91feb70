//! Targets that announce in their own responses that they are shutting down. The list may show it
//! later, or not at all while the store is unavailable.

use strum::IntoStaticStr;

use crate::events::Event;
use crate::node::counters::Counter;
use crate::node::fleet::Target;
use crate::node::state::State;

/// Where a node learned that a target is shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LeavingSource {
    /// A response to a request.
    Response,
    /// A reply to a grant or release.
    OrderReply,
    /// Another node that read such a response.
    OtherNode,
}

/// Sends no more requests to a target that announced that it is shutting down. This holds for its
/// process until that is removed from the list; another process with its id or address is another
/// target.
pub fn record_leaving(state: &State, target: &Target, source: LeavingSource) {
    if !target.record_leaving() {
        return;
    }
    state.pool.remove_target(target);
    state.counters.add(Counter::LeavingAnnounced);
    state.log.record(Event::LeavingAnnounced, |line| {
        line.text("target", target.entry.id.as_str());
        line.number("incarnation", target.entry.incarnation);
        line.text("service", target.entry.service.as_str());
        line.text("source", source.into());
    });
    state.routing_changed.notify_waiters();
}
