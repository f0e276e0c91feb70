//! What an entry needs to route: the state in force and the owners of every shard.

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
    /// The state in force.
    pub state: InForce,
    /// The assignment of each group.
    pub groups: BTreeMap<GroupId, Arc<Assignment>>,
}

/// The shard of a key and the target that owns it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardLocation<'a> {
    /// The shard of the key.
    pub shard: Shard,
    /// The fence of the shard's assignment.
    pub fence: Fence,
    /// The shard's owner; `None` while nobody may serve it.
    pub target: Option<&'a TargetId>,
}

/// One step from a view to a newer one; what a controller sends to entries and peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ViewChange {
    /// A newer state in force, whole.
    State(InForce),
    /// The services that one ticket changed.
    Services {
        /// The number that the change applies to.
        base: TicketNumber,
        /// The number that results.
        number: TicketNumber,
        /// The services as they are now; `None` for a removed one.
        services: BTreeMap<ServiceId, Option<Service>>,
    },
    /// A group's assignment, whole.
    Group(Assignment),
    /// The difference between two versions of a group's assignment.
    Delta(AssignmentDelta),
}

/// What a holder of a view has; sent to find out what it lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDigest {
    /// The number in force.
    pub number: TicketNumber,
    /// The version of each group.
    pub groups: BTreeMap<GroupId, Version>,
}

impl View {
    /// Takes a change if it is newer; returns whether the view holds at least what it carries.
    ///
    /// A number or version never falls. `false` means a gap: ask for the whole.
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
                let held = self
                    .groups
                    .get(&group.group)
                    .map_or(Version(0), |g| g.version);
                if group.version > held {
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

    /// Returns what the view holds.
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

    /// Returns the changes that bring a holder of `have` up to this view, whole where it lags.
    pub fn changes_since(&self, have: &ViewDigest) -> Vec<ViewChange> {
        let mut changes = Vec::new();
        if have.number < self.state.number {
            changes.push(ViewChange::State(self.state.clone()));
        }
        let lags = |group: &&Arc<Assignment>| have.groups.get(&group.group) < Some(&group.version);
        let lagging = self.groups.values().filter(lags);
        changes.extend(lagging.map(|group| ViewChange::Group(Assignment::clone(group))));
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
