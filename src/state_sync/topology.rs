//! Fan-out tree within a data centre, and mesh of relays between data centres.
//!
//! The VMs of a data centre are sorted by rank. The first two are relays: they read the table and
//! link to the relays of the other data centres. Every later VM has the two VMs of one earlier pair
//! as parents, so that the loss of one VM disconnects no other. A parent always ranks before its
//! child, so that VMs with different, outdated lists cannot form a cycle.

use std::collections::BTreeMap;

use crate::ids::DataCentre;
use crate::ids::VmId;
use crate::member::ranked;
use crate::platform::VmEntry;
use crate::platform::VmState;

/// Number of relays in a data centre, and of parents of any other VM.
pub const RELAYS_PER_DATA_CENTRE: usize = 2;
/// Number of children that share one pair of parents.
pub const FAN_OUT: usize = 6;

// Hashed into the ranks: all VMs must use the same text.
const RANK_PURPOSE: &str = "spread";

/// The VMs from which one VM receives state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    /// The two parents, the one that sends full changes first; empty for a relay.
    pub parents: Vec<VmId>,
    /// For a relay: the other relay of its data centre, and the relay of the same position in each
    /// other data centre; empty for other VMs.
    pub mesh: Vec<VmId>,
}

impl Topology {
    /// Computes the topology as seen by VM `me` from the VMs that it presumes alive.
    pub fn new<'a>(
        me: &VmId,
        data_centre: &DataCentre,
        alive: impl Iterator<Item = &'a VmEntry>,
    ) -> Self {
        let usable = |entry: &&VmEntry| entry.state == VmState::Live || entry.vm == *me;
        let (local, remote): (Vec<_>, Vec<_>) = alive
            .filter(usable)
            .partition(|entry| entry.data_centre == *data_centre);
        let own = ranked(RANK_PURPOSE, local.into_iter());
        let own: Vec<_> = own.into_iter().map(|entry| &entry.vm).collect();
        let position = own.iter().position(|vm| *vm == me).unwrap_or(own.len());
        if position < RELAYS_PER_DATA_CENTRE {
            let mesh = mesh(position, &own, remote);
            let parents = Vec::new();
            return Self { parents, mesh };
        }
        let pair = (position - RELAYS_PER_DATA_CENTRE) / FAN_OUT * RELAYS_PER_DATA_CENTRE;
        let mut parents: Vec<_> = own[pair..pair + RELAYS_PER_DATA_CENTRE]
            .iter()
            .map(|vm| (*vm).clone())
            .collect();
        parents.rotate_left(position % RELAYS_PER_DATA_CENTRE);
        let mesh = Vec::new();
        Self { parents, mesh }
    }

    /// Returns true if the VM is a relay, which reads the table on behalf of other VMs.
    pub fn is_relay(&self) -> bool {
        self.parents.is_empty()
    }
}

fn mesh(position: usize, own: &[&VmId], remote: Vec<&VmEntry>) -> Vec<VmId> {
    let sibling = own.iter().take(RELAYS_PER_DATA_CENTRE).enumerate();
    let sibling = sibling.filter(|(at, _)| *at != position);
    let mut mesh: Vec<_> = sibling.map(|(_, vm)| (*vm).clone()).collect();
    let mut centres: BTreeMap<&DataCentre, Vec<&VmId>> = BTreeMap::new();
    for entry in ranked(RANK_PURPOSE, remote.into_iter()) {
        let centre = centres.entry(&entry.data_centre).or_default();
        centre.push(&entry.vm);
    }
    let relay = |vms: &Vec<&VmId>| vms.get(position).or(vms.first()).map(|vm| (*vm).clone());
    mesh.extend(centres.values().filter_map(relay));
    mesh
}
