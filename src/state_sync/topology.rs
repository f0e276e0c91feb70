//! The fan-out tree of a data centre and the mesh between data centres.
//!
//! The VMs of a data centre stand in one order by rank. The first two are relays: they read the
//! table and link to the relays of the other data centres. Every later VM has the two VMs of one
//! earlier pair as parents, so the loss of one VM cuts nobody off, and no list that lags can close
//! a circle: a parent always ranks before its child.

use std::collections::BTreeMap;

use crate::ids::DataCentre;
use crate::ids::VmId;
use crate::member::ranked;
use crate::platform::VmEntry;
use crate::platform::VmState;

/// Relays per data centre, and parents per VM.
pub const RELAYS_PER_DATA_CENTRE: usize = 2;
/// Children of a pair of parents.
pub const FAN_OUT: usize = 6;

const PURPOSE: &str = "spread";

/// Whom a VM takes state from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    /// The parents, the one that sends whole changes first; none for a relay.
    pub parents: Vec<VmId>,
    /// For a relay: the other relay of its data centre and its like in each other data centre.
    pub mesh: Vec<VmId>,
}

impl Topology {
    /// Computes the plan of one VM from the VMs it believes to run.
    pub fn new<'a>(
        me: &VmId,
        data_centre: &DataCentre,
        believed: impl Iterator<Item = &'a VmEntry>,
    ) -> Self {
        let usable = |entry: &&VmEntry| entry.state == VmState::Live || entry.vm == *me;
        let (near, far): (Vec<_>, Vec<_>) = believed
            .filter(usable)
            .partition(|entry| entry.data_centre == *data_centre);
        let own = ranked(PURPOSE, near.into_iter());
        let own: Vec<_> = own.into_iter().map(|entry| &entry.vm).collect();
        let place = own.iter().position(|vm| *vm == me).unwrap_or(own.len());
        if place < RELAYS_PER_DATA_CENTRE {
            let mesh = mesh(place, &own, far);
            let parents = Vec::new();
            return Self { parents, mesh };
        }
        let pair = (place - RELAYS_PER_DATA_CENTRE) / FAN_OUT * RELAYS_PER_DATA_CENTRE;
        let mut parents: Vec<_> = own[pair..pair + RELAYS_PER_DATA_CENTRE]
            .iter()
            .map(|vm| (*vm).clone())
            .collect();
        parents.rotate_left(place % RELAYS_PER_DATA_CENTRE);
        let mesh = Vec::new();
        Self { parents, mesh }
    }

    /// Returns whether the VM reads the table for others.
    pub fn is_relay(&self) -> bool {
        self.parents.is_empty()
    }
}

fn mesh(place: usize, own: &[&VmId], far: Vec<&VmEntry>) -> Vec<VmId> {
    let sibling = own.iter().take(RELAYS_PER_DATA_CENTRE).enumerate();
    let sibling = sibling.filter(|(at, _)| *at != place);
    let mut mesh: Vec<_> = sibling.map(|(_, vm)| (*vm).clone()).collect();
    let mut centres: BTreeMap<&DataCentre, Vec<&VmId>> = BTreeMap::new();
    for entry in ranked(PURPOSE, far.into_iter()) {
        let centre = centres.entry(&entry.data_centre).or_default();
        centre.push(&entry.vm);
    }
    let alike = |vms: &Vec<&VmId>| vms.get(place).or(vms.first()).map(|vm| (*vm).clone());
    mesh.extend(centres.values().filter_map(alike));
    mesh
}
