//! The VMs presumed to run: the platform's list, which is updated late, minus the VMs to which a
//! link of this VM recently failed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::ids::VmId;
use crate::platform::VmEntry;

/// Time for which a VM is presumed dead after its first link failure; doubled with every further
/// failure until a link opens.
pub const FIRST_BACKOFF: Duration = Duration::from_secs(2);
/// Longest time for which a VM is presumed dead after a link failure.
pub const MAX_BACKOFF: Duration = Duration::from_secs(32);

/// The platform's list of VMs, indexed by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmDirectory {
    entries: BTreeMap<VmId, VmEntry>,
    data_centres: usize,
}

/// The platform's list of VMs and the link failures that one VM recorded.
#[derive(Clone, Debug, Default)]
pub struct Members {
    list: Arc<VmDirectory>,
    version: u64,
    suspects: BTreeMap<VmId, Suspect>,
}

/// Back-off of a VM to which a link failed.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    until: Instant,
    backoff: Duration,
}

impl VmDirectory {
    /// Indexes the entries of the platform's list.
    pub fn new(list: Vec<VmEntry>) -> Self {
        let by_name = list.into_iter().map(|entry| (entry.vm.clone(), entry));
        let entries: BTreeMap<VmId, VmEntry> = by_name.collect();
        let centres: BTreeSet<_> = entries.values().map(|entry| &entry.data_centre).collect();
        let data_centres = centres.len();
        Self {
            entries,
            data_centres,
        }
    }
}

impl Members {
    /// Replaces the platform's list. Returns true if it differs from the previous one.
    pub fn update_list(&mut self, list: Arc<VmDirectory>) -> bool {
        let differs = *self.list != *list;
        self.list = list;
        self.version += u64::from(differs);
        let entries = &self.list.entries;
        self.suspects.retain(|vm, _| entries.contains_key(vm));
        differs
    }

    /// Records that a link to the VM failed or could not be opened.
    pub fn record_failure(&mut self, now: Instant, vm: &VmId) {
        let previous = self.suspects.get(vm);
        let backoff = previous.map_or(FIRST_BACKOFF, |previous| previous.backoff * 2);
        let backoff = backoff.min(MAX_BACKOFF);
        let until = now + backoff;
        self.suspects.insert(vm.clone(), Suspect { until, backoff });
    }

    /// Records that a link to the VM opened. Returns true if an earlier link to it had failed.
    pub fn record_contact(&mut self, vm: &VmId) -> bool {
        self.suspects.remove(vm).is_some()
    }

    /// Returns true if a link to any VM failed and no link to it opened since.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Returns the entry of a VM in the platform's list.
    pub fn entry(&self, vm: &VmId) -> Option<&VmEntry> {
        self.list.entries.get(vm)
    }

    /// Returns a counter that increases whenever the platform's list changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of VMs in the platform's list.
    pub fn count(&self) -> usize {
        self.list.entries.len()
    }

    /// Returns the number of data centres in the platform's list.
    pub fn data_centres(&self) -> usize {
        self.list.data_centres
    }

    /// Returns all VMs of the platform's list, in order of their names.
    pub fn listed(&self) -> impl Iterator<Item = &VmEntry> {
        self.list.entries.values()
    }

    /// Returns the listed VMs, without those that are in back-off after a link failure.
    pub fn presumed_alive(&self, now: Instant) -> impl Iterator<Item = &VmEntry> {
        self.listed().filter(move |entry| {
            let suspect = self.suspects.get(&entry.vm);
            suspect.is_none_or(|suspect| now >= suspect.until)
        })
    }
}
