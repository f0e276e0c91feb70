//! Builds the status and key lookups that are returned to operators.

use std::collections::BTreeMap;

use crate::control::DataCentreStatus;
use crate::control::GroupStatus;
use crate::control::KeyOwner;
use crate::control::OwnerCount;
use crate::control::Status;
use crate::control::groups::Groups;
use crate::ids::DataCentre;
use crate::ids::GroupId;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::VmId;
use crate::owner::assignment::Assignment;
use crate::state_sync::StateSync;
use crate::view::View;

/// Builds the status of the VMs and groups.
pub fn status(me: &VmId, state_sync: &StateSync, groups: &Groups) -> Status {
    let view = state_sync.view();
    let assignments = view.groups.values();
    Status {
        vm: me.clone(),
        number: view.state.number,
        data_centres: data_centres(state_sync),
        groups: assignments
            .map(|assignment| group(assignment, groups))
            .collect(),
    }
}

/// Returns the owner of a key, or `None` if the service is unknown or not keyed.
pub fn owner(view: &View, service: &ServiceId, key_hash: u64) -> Option<KeyOwner> {
    let keying = view.state.services.get(service)?.keying.as_ref()?;
    let hashed_shard = keying.shard_of(key_hash);
    let group = GroupId {
        service: service.clone(),
        index: keying.group_of(hashed_shard),
    };
    let assignment = view.groups.get(&group);
    let hot = assignment.and_then(|assignment| assignment.hot_keys.get(&key_hash));
    let shard = hot.copied().unwrap_or(hashed_shard);
    let owner = assignment.and_then(|assignment| assignment.owners.get(&shard));
    Some(KeyOwner {
        group,
        shard,
        fence: owner.map(|owner| owner.fence).unwrap_or_default(),
        target: owner.and_then(|owner| owner.target.clone()),
    })
}

fn data_centres(state_sync: &StateSync) -> Vec<DataCentreStatus> {
    let mut listed: BTreeMap<&DataCentre, u32> = BTreeMap::new();
    for entry in state_sync.members().listed() {
        *listed.entry(&entry.data_centre).or_default() += 1;
    }
    for census in state_sync.census_by_data_centre() {
        listed.entry(&census.data_centre).or_default();
    }
    let census_of = |data_centre: &DataCentre| {
        let mut centres = state_sync.census_by_data_centre().iter();
        centres.find(|census| census.data_centre == *data_centre)
    };
    let centres = listed.into_iter().map(|(data_centre, listed)| {
        let census = census_of(data_centre);
        DataCentreStatus {
            data_centre: data_centre.clone(),
            listed,
            heard: census.map_or(0, |census| census.vm_count),
            number: census.map(|census| census.number).unwrap_or_default(),
            vms: census.map(|census| census.vms.clone()).unwrap_or_default(),
        }
    });
    centres.collect()
}

fn group(assignment: &Assignment, groups: &Groups) -> GroupStatus {
    let control = groups
        .get(&assignment.group)
        .map(|machine| machine.status());
    let mut owners: BTreeMap<&TargetId, u32> = BTreeMap::new();
    let mut unowned = 0;
    for owner in assignment.owners.values() {
        match &owner.target {
            Some(target) => *owners.entry(target).or_default() += 1,
            None => unowned += 1,
        }
    }
    let owners = owners.into_iter().map(|(target, shards)| OwnerCount {
        target: target.clone(),
        shards,
    });
    GroupStatus {
        group: assignment.group.clone(),
        term: control.as_ref().map(|status| status.term),
        holder: control.as_ref().and_then(|status| status.holder.clone()),
        deputies: control.map(|status| status.deputies).unwrap_or_default(),
        version: assignment.version,
        owners: owners.collect(),
        unowned,
    }
}
