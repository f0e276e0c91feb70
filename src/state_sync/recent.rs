//! Keeps the last incremental changes of a view, so that a peer that is a few changes behind is
//! brought up to date without sending full states.

use std::collections::VecDeque;

use crate::ids::GroupId;
use crate::ids::TicketNumber;
use crate::ids::Version;
use crate::view::View;
use crate::view::ViewChange;
use crate::view::ViewDigest;

const MAX_CHANGES: usize = 32;

/// Last incremental changes applied to a view, oldest first.
#[derive(Clone, Debug, Default)]
pub struct RecentChanges {
    changes: VecDeque<ViewChange>,
}

impl RecentChanges {
    /// Stores a change that was applied to the view; full states are not stored.
    pub fn push(&mut self, change: &ViewChange) {
        match change {
            ViewChange::Services { .. } | ViewChange::Delta(_) => {}
            ViewChange::State(_) | ViewChange::Group(_) => return,
        }
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change.clone());
    }

    /// Returns the changes that bring a view with the digest `have` up to `view`: incremental ones
    /// if the stored changes reach back far enough, else full ones.
    pub fn changes_for(&self, view: &View, have: &ViewDigest) -> Vec<ViewChange> {
        let mut out = Vec::new();
        for full in view.changes_since(have) {
            let steps = match &full {
                ViewChange::State(state) => self.service_changes(have.number, state.number),
                ViewChange::Group(group) => {
                    let held = have.groups.get(&group.group).copied();
                    self.deltas(&group.group, held.unwrap_or_default(), group.version)
                }
                _ => None,
            };
            match steps {
                Some(steps) => out.extend(steps),
                None => out.push(full),
            }
        }
        out
    }

    // Returns the service changes that lead from one ticket number to another, if all are stored.
    fn service_changes(&self, mut at: TicketNumber, to: TicketNumber) -> Option<Vec<ViewChange>> {
        let mut steps = Vec::new();
        for change in &self.changes {
            if let ViewChange::Services { base, number, .. } = change
                && *base == at
            {
                at = *number;
                steps.push(change.clone());
            }
        }
        (at == to).then_some(steps)
    }

    // Returns the deltas of a group that lead from one version to another, if all are stored.
    fn deltas(&self, group: &GroupId, mut at: Version, to: Version) -> Option<Vec<ViewChange>> {
        let mut steps = Vec::new();
        for change in &self.changes {
            if let ViewChange::Delta(delta) = change
                && delta.group == *group
                && delta.base == at
            {
                at = delta.version;
                steps.push(change.clone());
            }
        }
        (at == to).then_some(steps)
    }
}
