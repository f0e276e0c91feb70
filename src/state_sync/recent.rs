//! The last changes of a view, to bring those who lag a little up to date without sending wholes.

use std::collections::VecDeque;

use crate::ids::GroupId;
use crate::ids::TicketNumber;
use crate::ids::Version;
use crate::view::View;
use crate::view::ViewChange;
use crate::view::ViewDigest;

const KEPT_CHANGES: usize = 32;

/// The last differences that a view took, oldest first.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    changes: VecDeque<ViewChange>,
}

impl Recent {
    /// Takes note of a change that the view took.
    pub fn push(&mut self, change: &ViewChange) {
        match change {
            ViewChange::Services { .. } | ViewChange::Delta(_) => {}
            ViewChange::State(_) | ViewChange::Group(_) => return,
        }
        if self.changes.len() == KEPT_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change.clone());
    }

    /// Returns what brings a holder of `have` up to the view: differences where they reach, else
    /// wholes.
    pub fn changes_for(&self, view: &View, have: &ViewDigest) -> Vec<ViewChange> {
        let mut out = Vec::new();
        for whole in view.changes_since(have) {
            let steps = match &whole {
                ViewChange::State(state) => self.tickets(have.number, state.number),
                ViewChange::Group(group) => {
                    let held = have.groups.get(&group.group).copied();
                    self.deltas(&group.group, held.unwrap_or_default(), group.version)
                }
                _ => None,
            };
            match steps {
                Some(steps) => out.extend(steps),
                None => out.push(whole),
            }
        }
        out
    }

    fn tickets(&self, mut at: TicketNumber, to: TicketNumber) -> Option<Vec<ViewChange>> {
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
