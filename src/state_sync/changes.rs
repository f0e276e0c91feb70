//! Applies changes received from peers, forwards them, and requests missing ones.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Version;
use crate::link::Message;
use crate::link::Role;
use crate::state_sync::Action;
use crate::state_sync::LinkId;
use crate::state_sync::StateSync;
use crate::state_sync::Summary;
use crate::state_sync::peer::Forwarding;
use crate::state_sync::peer::Source;
use crate::view::View;
use crate::view::ViewChange;
use crate::view::ViewDigest;

/// Longest delay before a change is announced to peers that get a summary instead of the change.
const MAX_SUMMARY_DELAY: Duration = Duration::from_millis(100);
/// Time for a change to arrive unrequested after a summary that differs; then it is requested.
const MISMATCH_TIMEOUT: Duration = Duration::from_millis(250);
/// The same between relays, which have time to read the change from the table.
const MESH_MISMATCH_TIMEOUT: Duration = Duration::from_millis(1500);

impl StateSync {
    pub(super) fn on_changes(
        &mut self,
        now: Instant,
        link: LinkId,
        changes: Vec<ViewChange>,
        out: &mut Vec<Action>,
    ) {
        let Some(peer) = self.links.get(&link) else {
            return;
        };
        let source = peer.source();
        self.apply_changes(now, source, Some(link), changes, out);
    }

    /// Applies changes and forwards the new ones. If a change does not follow on from the view,
    /// sends a digest to the sender, which replies with the missing changes.
    pub(super) fn apply_changes(
        &mut self,
        now: Instant,
        source: Source,
        from: Option<LinkId>,
        changes: Vec<ViewChange>,
        out: &mut Vec<Action>,
    ) {
        let mut fresh = Vec::new();
        let mut gap = false;
        for change in changes {
            if contains(&self.view, &change) {
                continue;
            }
            if self.view.apply(change.clone()) {
                self.recent.push(&change);
                out.push(Action::ViewChanged(change.clone()));
                fresh.push(change);
            } else {
                gap = true;
            }
        }
        if gap && let Some(link) = from {
            let links = vec![link];
            let message = Message::Digest(self.view.digest());
            out.push(Action::Send { links, message });
        }
        if !fresh.is_empty() {
            self.schedule_census_soon(now);
            self.forward(now, source, from, fresh, out);
        }
    }

    fn forward(
        &mut self,
        now: Instant,
        source: Source,
        from: Option<LinkId>,
        fresh: Vec<ViewChange>,
        out: &mut Vec<Action>,
    ) {
        let ticket = fresh.iter().all(is_ticket_change);
        let mut links = Vec::new();
        for (link, peer) in &mut self.links {
            if Some(*link) == from {
                continue;
            }
            match peer.forwarding(source, &self.conf.data_centre, ticket) {
                Forwarding::Change => links.push(*link),
                Forwarding::Summary => {
                    peer.summary_due = peer.summary_due.min(now + MAX_SUMMARY_DELAY);
                }
                Forwarding::Nothing => {}
            }
        }
        if !links.is_empty() {
            let message = Message::Changes(fresh);
            out.push(Action::Send { links, message });
        }
    }

    pub(super) fn on_digest(&mut self, link: LinkId, have: &ViewDigest, out: &mut Vec<Action>) {
        let changes = self.recent.changes_for(&self.view, have);
        if !changes.is_empty() {
            let message = Message::Changes(changes);
            let links = vec![link];
            out.push(Action::Send { links, message });
        }
        if is_behind(&self.view, have) {
            let message = Message::Digest(self.view.digest());
            let links = vec![link];
            out.push(Action::Send { links, message });
        }
    }

    pub(super) fn on_summary(&mut self, now: Instant, link: LinkId, theirs: Summary) {
        let held = self.summary(now);
        let Some(peer) = self.links.get_mut(&link) else {
            return;
        };
        peer.record_summary(now, theirs, &held);
        if theirs.number > held.number {
            self.read_table_soon(now);
        }
        if let Some(age) = theirs.age_ms
            && theirs.number == held.number
        {
            self.readiness
                .record_peer_confirmation(now, Duration::from_millis(age));
        }
    }

    /// Sends the summaries that are due, and digests to the peers whose view has differed for too
    /// long.
    pub(super) fn send_summaries(&mut self, now: Instant, out: &mut Vec<Action>) {
        let held = self.summary(now);
        let mut due = Vec::new();
        let mut mismatched = Vec::new();
        for (link, peer) in &mut self.links {
            let gets_summaries = peer.is_child() || peer.is_mesh() || peer.role == Role::Entry;
            if gets_summaries && now >= peer.summary_due {
                peer.summary_due = now + peer.summary_interval();
                due.push(*link);
            }
            let timeout = match peer.is_mesh() {
                true => MESH_MISMATCH_TIMEOUT,
                false => MISMATCH_TIMEOUT,
            };
            if peer.mismatch_timed_out(now, &held, timeout) {
                peer.mismatch_since = None;
                mismatched.push(*link);
            }
        }
        if !due.is_empty() {
            let message = Message::Summary(held);
            out.push(Action::Send {
                links: due,
                message,
            });
        }
        if !mismatched.is_empty() {
            let message = Message::Digest(self.view.digest());
            let links = mismatched;
            out.push(Action::Send { links, message });
        }
    }
}

fn is_ticket_change(change: &ViewChange) -> bool {
    matches!(change, ViewChange::State(_) | ViewChange::Services { .. })
}

// Returns true if the view is at least as new as the change.
fn contains(view: &View, change: &ViewChange) -> bool {
    let version = |group| view.groups.get(group).map_or(Version(0), |g| g.version);
    match change {
        ViewChange::State(state) => state.number <= view.state.number,
        ViewChange::Services { number, .. } => *number <= view.state.number,
        ViewChange::Group(group) => group.version <= version(&group.group),
        ViewChange::Delta(delta) => delta.version <= version(&delta.group),
    }
}

// Returns true if the view with the digest `have` is newer than `view` in any part.
fn is_behind(view: &View, have: &ViewDigest) -> bool {
    let held = |group| view.groups.get(group).map(|g| g.version);
    let mut groups = have.groups.iter();
    have.number > view.state.number || groups.any(|(group, v)| held(group) < Some(*v))
}
