//! Who runs: the platform's list, which lags, corrected by what this VM's own links show.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::ids::VmId;
use crate::platform::VmEntry;

/// How long a VM whose link failed is passed over before it is tried again; doubled with every
/// failure until it answers.
pub const FIRST_BACKOFF: Duration = Duration::from_secs(2);
/// The longest time for which a VM is passed over.
pub const MAX_BACKOFF: Duration = Duration::from_secs(32);

/// The platform's list of VMs by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VmDirectory {
    entries: BTreeMap<VmId, VmEntry>,
    data_centres: usize,
}

/// The VMs as one VM knows them.
#[derive(Clone, Debug, Default)]
pub struct Members {
    list: Arc<VmDirectory>,
    version: u64,
    suspects: BTreeMap<VmId, Suspect>,
}

/// A VM that did not answer.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    until: Instant,
    pause: Duration,
}

impl VmDirectory {
    /// Creates the list from the platform's answer.
    pub fn new(list: Vec<VmEntry>) -> Self {
        let named = list.into_iter().map(|entry| (entry.vm.clone(), entry));
        let entries: BTreeMap<VmId, VmEntry> = named.collect();
        let centres: BTreeSet<_> = entries.values().map(|entry| &entry.data_centre).collect();
        let data_centres = centres.len();
        Self {
            entries,
            data_centres,
        }
    }
}

impl Members {
    /// Takes the platform's list; returns whether it differs from the one before.
    pub fn update_list(&mut self, list: Arc<VmDirectory>) -> bool {
        let differs = *self.list != *list;
        self.list = list;
        self.version += u64::from(differs);
        let entries = &self.list.entries;
        self.suspects.retain(|vm, _| entries.contains_key(vm));
        differs
    }

    /// Takes note that a link to the VM failed.
    pub fn record_failure(&mut self, now: Instant, vm: &VmId) {
        let before = self.suspects.get(vm);
        let pause = before.map_or(FIRST_BACKOFF, |before| before.pause * 2);
        let pause = pause.min(MAX_BACKOFF);
        let until = now + pause;
        self.suspects.insert(vm.clone(), Suspect { until, pause });
    }

    /// Takes note that the VM answers; returns whether it was suspected.
    pub fn record_contact(&mut self, vm: &VmId) -> bool {
        self.suspects.remove(vm).is_some()
    }

    /// Returns whether any VM is passed over.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Returns the platform's entry for a VM.
    pub fn entry(&self, vm: &VmId) -> Option<&VmEntry> {
        self.list.entries.get(vm)
    }

    /// Returns a number that rises whenever the list differs from the one before.
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

    /// Returns every VM of the platform's list.
    pub fn listed(&self) -> impl Iterator<Item = &VmEntry> {
        self.list.entries.values()
    }

    /// Returns the VMs believed to run: listed, and without a link that failed lately.
    pub fn presumed_alive(&self, now: Instant) -> impl Iterator<Item = &VmEntry> {
        self.listed().filter(move |entry| {
            let suspect = self.suspects.get(&entry.vm);
            suspect.is_none_or(|suspect| now >= suspect.until)
        })
    }
}
