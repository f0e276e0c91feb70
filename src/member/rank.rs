//! Rendezvous hashing: an order of VMs that every VM computes identically. Adding or removing a VM
//! does not change the order of the others.

use std::collections::BTreeMap;

use crate::ids::DataCentre;
use crate::ids::VmId;
use crate::platform::VmEntry;
use crate::platform::VmState;

/// Returns the hash by which a VM is ranked for a purpose; the lowest ranks first.
pub fn score(purpose: &str, vm: &VmId) -> u64 {
    let text = format!("{purpose}\n{vm}");
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

/// Returns the VMs sorted by rank for a purpose; ties are broken by name.
pub fn ranked<'a>(purpose: &str, vms: impl Iterator<Item = &'a VmEntry>) -> Vec<&'a VmEntry> {
    let mut ranked: Vec<_> = vms.collect();
    ranked.sort_by_cached_key(|entry| (score(purpose, &entry.vm), entry.vm.clone()));
    ranked
}

/// Returns up to `count` VMs that may control a group, best first.
///
/// Data centres alternate: a data centre is chosen again only after every other one that has VMs
/// left was chosen as often. VMs that are about to be stopped are excluded.
pub fn candidates<'a>(
    group: &str,
    vms: impl Iterator<Item = &'a VmEntry>,
    count: usize,
) -> Vec<&'a VmEntry> {
    let live = vms.filter(|entry| entry.state == VmState::Live);
    let mut rounds: BTreeMap<&DataCentre, usize> = BTreeMap::new();
    let mut by_round = Vec::new();
    for (rank, entry) in ranked(group, live).into_iter().enumerate() {
        let round = rounds.entry(&entry.data_centre).or_default();
        by_round.push((*round, rank, entry));
        *round += 1;
    }
    by_round.sort_by_key(|(round, rank, _)| (*round, *rank));
    let best = by_round.into_iter().take(count);
    best.map(|(_, _, entry)| entry).collect()
}
