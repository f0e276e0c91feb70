//! Taking changes, telling them on, and repairing gaps.

use std::time::Duration;
use std::time::Instant;

use crate::ids::Version;
use crate::link::Message;
use crate::link::Role;
use crate::state_sync::Action;
use crate::state_sync::LinkId;
use crate::state_sync::StateSync;
use crate::state_sync::Summary;
use crate::state_sync::peer::Source;
use crate::state_sync::peer::Telling;
use crate::view::View;
use crate::view::ViewChange;
use crate::view::ViewDigest;

/// How soon a change is summed up to those that are not told it whole.
const SUMMARY_SOON: Duration = Duration::from_millis(100);
/// How long the whole change may still come by itself from a parent.
const DOUBT_WAIT: Duration = Duration::from_millis(250);
/// How long a relay may still read the change from the table.
const MESH_DOUBT_WAIT: Duration = Duration::from_millis(1500);

impl StateSync {
    pub(super) fn take_changes(
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
        self.learn(now, source, Some(link), changes, out);
    }

    /// Applies changes; tells on what was new and asks the sender where there is a gap.
    pub(super) fn learn(
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
            if holds(&self.view, &change) {
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
            self.count_soon(now);
            self.tell(now, source, from, fresh, out);
        }
    }

    fn tell(
        &mut self,
        now: Instant,
        source: Source,
        from: Option<LinkId>,
        fresh: Vec<ViewChange>,
        out: &mut Vec<Action>,
    ) {
        let ticket = fresh.iter().all(is_of_ticket);
        let mut links = Vec::new();
        for (link, peer) in &mut self.links {
            if Some(*link) == from {
                continue;
            }
            match peer.telling(source, &self.conf.data_centre, ticket) {
                Telling::Whole => links.push(*link),
                Telling::Short => peer.due = peer.due.min(now + SUMMARY_SOON),
                Telling::Nothing => {}
            }
        }
        if !links.is_empty() {
            let message = Message::Changes(fresh);
            out.push(Action::Send { links, message });
        }
    }

    pub(super) fn take_digest(&mut self, link: LinkId, have: &ViewDigest, out: &mut Vec<Action>) {
        let changes = self.recent.changes_for(&self.view, have);
        if !changes.is_empty() {
            let message = Message::Changes(changes);
            let links = vec![link];
            out.push(Action::Send { links, message });
        }
        if lacks(&self.view, have) {
            let message = Message::Digest(self.view.digest());
            let links = vec![link];
            out.push(Action::Send { links, message });
        }
    }

    pub(super) fn take_summary(&mut self, now: Instant, link: LinkId, theirs: Summary) {
        let held = self.summary(now);
        let Some(peer) = self.links.get_mut(&link) else {
            return;
        };
        peer.summed_up(now, theirs, &held);
        if theirs.number > held.number {
            self.read_table_soon(now);
        }
        if let Some(age) = theirs.age_ms
            && theirs.number == held.number
        {
            self.ready.peer_confirms(now, Duration::from_millis(age));
        }
    }

    /// Sends the summaries that are due and asks those whose view stays different.
    pub(super) fn sum_up(&mut self, now: Instant, out: &mut Vec<Action>) {
        let held = self.summary(now);
        let mut due = Vec::new();
        let mut doubtful = Vec::new();
        for (link, peer) in &mut self.links {
            let feeds = peer.is_child() || peer.is_mesh() || peer.role == Role::Entry;
            if feeds && now >= peer.due {
                peer.due = now + peer.interval();
                due.push(*link);
            }
            let wait = match peer.is_mesh() {
                true => MESH_DOUBT_WAIT,
                false => DOUBT_WAIT,
            };
            if peer.is_doubtful(now, &held, wait) {
                peer.doubt = None;
                doubtful.push(*link);
            }
        }
        if !due.is_empty() {
            let message = Message::Summary(held);
            out.push(Action::Send {
                links: due,
                message,
            });
        }
        if !doubtful.is_empty() {
            let message = Message::Digest(self.view.digest());
            let links = doubtful;
            out.push(Action::Send { links, message });
        }
    }
}

fn is_of_ticket(change: &ViewChange) -> bool {
    matches!(change, ViewChange::State(_) | ViewChange::Services { .. })
}

// Whether a view holds at least what a change carries.
fn holds(view: &View, change: &ViewChange) -> bool {
    let version = |group| view.groups.get(group).map_or(Version(0), |g| g.version);
    match change {
        ViewChange::State(state) => state.number <= view.state.number,
        ViewChange::Services { number, .. } => *number <= view.state.number,
        ViewChange::Group(group) => group.version <= version(&group.group),
        ViewChange::Delta(delta) => delta.version <= version(&delta.group),
    }
}

// Whether another view holds what this one does not.
fn lacks(view: &View, have: &ViewDigest) -> bool {
    let older = |group| view.groups.get(group).map(|g| g.version);
    let mut groups = have.groups.iter();
    have.number > view.state.number || groups.any(|(group, v)| older(group) < Some(*v))
}
