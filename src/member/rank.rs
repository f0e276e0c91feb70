//! Rendezvous ranks: an order of VMs that every VM computes alike and that a join or a loss
//! disturbs only at one place.

use std::collections::BTreeMap;

use crate::ids::DataCentre;
use crate::ids::VmId;
use crate::platform::VmEntry;
use crate::platform::VmState;

/// Returns the rank value of a VM for a purpose; lower comes first.
pub fn score(purpose: &str, vm: &VmId) -> u64 {
    let text = format!("{purpose}\n{vm}");
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

/// Returns the VMs in the order of their rank for a purpose.
pub fn ranked<'a>(purpose: &str, vms: impl Iterator<Item = &'a VmEntry>) -> Vec<&'a VmEntry> {
    let mut ranked: Vec<_> = vms.collect();
    ranked.sort_by_cached_key(|entry| (score(purpose, &entry.vm), entry.vm.clone()));
    ranked
}

/// Returns up to `count` VMs that may control a group, best first.
///
/// No data centre comes again before every other one with a VM left came as often. VMs about to be
/// stopped are left out.
pub fn candidates<'a>(
    group: &str,
    vms: impl Iterator<Item = &'a VmEntry>,
    count: usize,
) -> Vec<&'a VmEntry> {
    let live = vms.filter(|entry| entry.state == VmState::Live);
    let mut rounds: BTreeMap<&DataCentre, usize> = BTreeMap::new();
    let mut placed = Vec::new();
    for (rank, entry) in ranked(group, live).into_iter().enumerate() {
        let round = rounds.entry(&entry.data_centre).or_default();
        placed.push((*round, rank, entry));
        *round += 1;
    }
    placed.sort_by_key(|(round, rank, _)| (*round, *rank));
    let best = placed.into_iter().take(count);
    best.map(|(_, _, entry)| entry).collect()
}
