//! The data that entries route by: the state in force and the owner of every shard.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fence;
use crate::ids::GroupId;
use crate::ids::ServiceId;
use crate::ids::Shard;
use crate::ids::TargetId;
use crate::ids::TicketNumber;
use crate::ids::Version;
use crate::owner::assignment::Assignment;
use crate::owner::assignment::AssignmentDelta;
use crate::ticket::InForce;
use crate::ticket::Service;

/// The state in force and the assignments of its keyed services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The services and targets in force.
    pub state: InForce,
    /// The assignments of the keyed services' groups.
    pub groups: BTreeMap<GroupId, Arc<Assignment>>,
}

/// The shard of a key and the target that owns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardLocation<'a> {
    /// The shard that contains the key.
    pub shard: Shard,
    /// The fencing token of the shard's current assignment.
    pub fence: Fence,
    /// The owner of the shard; `None` while no target may serve it.
    pub target: Option<&'a TargetId>,
}

/// An update of a view, sent by controllers to entries and other controllers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewChange {
    /// The complete state in force.
    State(InForce),
    /// The services that one ticket changed.
    Services {
        /// The ticket number of the state that the change applies to.
        base: TicketNumber,
        /// The ticket number of the resulting state.
        number: TicketNumber,
        /// The new state of each changed service; `None` for a removed service.
        services: BTreeMap<ServiceId, Option<Service>>,
    },
    /// The complete assignment of a group.
    Group(Assignment),
    /// The difference between two versions of a group's assignment.
    Delta(AssignmentDelta),
}

/// The versions that a view contains; a peer compares them to find the missing changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDigest {
    /// The number of the newest ticket in the view.
    pub number: TicketNumber,
    /// The version of each group's assignment.
    pub groups: BTreeMap<GroupId, Version>,
}

impl View {
    /// Applies a change if it is newer than the view; numbers and versions never decrease.
    ///
    /// Returns false if the change builds on a state that the view has not received yet; the caller
    /// must then request the complete state.
    pub fn apply(&mut self, change: ViewChange) -> bool {
        match change {
            ViewChange::State(state) => {
                if state.number > self.state.number {
                    self.state = state;
                }
                true
            }
            ViewChange::Services {
                base,
                number,
                services,
            } => self.apply_services(base, number, services),
            ViewChange::Group(group) => {
                let current = self
                    .groups
                    .get(&group.group)
                    .map_or(Version(0), |g| g.version);
                if group.version > current {
                    self.groups.insert(group.group.clone(), Arc::new(group));
                }
                true
            }
            ViewChange::Delta(delta) => {
                let empty = || Arc::new(Assignment::empty(delta.group.clone()));
                let group = self.groups.entry(delta.group.clone()).or_insert_with(empty);
                delta.version <= group.version || Arc::make_mut(group).apply(&delta)
            }
        }
    }

    /// Returns the versions that the view contains.
    pub fn digest(&self) -> ViewDigest {
        let groups = self
            .groups
            .iter()
            .map(|(id, group)| (id.clone(), group.version));
        ViewDigest {
            number: self.state.number,
            groups: groups.collect(),
        }
    }

    /// Returns the changes that a view with the digest `have` needs to reach this view; every part
    /// that differs is sent complete.
    pub fn changes_since(&self, have: &ViewDigest) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        if have.number < self.state.number {
            changes.push(ViewChange::State(self.state.clone()));
        }
        let is_outdated =
            |group: &&Arc<Assignment>| have.groups.get(&group.group) < Some(&group.version);
        let outdated = self.groups.values().filter(is_outdated);
        changes.extend(outdated.map(|group| ViewChange::Group(Assignment::clone(group))));
        changes
    }

    fn apply_services(
        &mut self,
        base: TicketNumber,
        number: TicketNumber,
        services: BTreeMap<ServiceId, Option<Service>>,
    ) -> bool {
        if number <= self.state.number {
            return true;
        }
        if base != self.state.number {
            return false;
        }
        self.state.number = number;
        for (name, service) in services {
            match service {
                Some(service) => self.state.services.insert(name, service),
                None => self.state.services.remove(&name),
            };
        }
        true
    }
}
