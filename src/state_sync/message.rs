//! The messages that keep every VM's view up to date.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentre;
use crate::ids::TicketNumber;
use crate::ids::VmId;
use crate::view::View;

/// VMs that one report names; the rest is only counted.
pub const REPORT_VMS: usize = 4;

/// What a VM wants to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Feed {
    /// Whole changes at once.
    Eager,
    /// A summary at every change; the subscriber asks for what it still lacks.
    Lazy,
    /// As a relay: whole changes from below, summaries of the rest.
    Mesh,
    /// Nothing any more.
    Off,
}

/// What a view holds, in short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The number in force.
    #[serde(rename = "n")]
    pub number: TicketNumber,
    /// A digest of the versions of all groups.
    #[serde(rename = "v")]
    pub versions: u64,
    /// Time since the number was confirmed, in milliseconds; `None` if it never was.
    #[serde(rename = "a")]
    pub age_ms: Option<u64>,
}

/// The number in force on a VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VmTicketNumber {
    /// The number.
    pub number: TicketNumber,
    /// The VM.
    pub vm: VmId,
}

/// The numbers in force on a VM and all below it, or in a whole data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Census {
    /// The data centre.
    #[serde(rename = "d")]
    pub data_centre: DataCentre,
    /// How many VMs are counted.
    #[serde(rename = "h")]
    pub vm_count: u32,
    /// The highest number among them.
    #[serde(rename = "n")]
    pub number: TicketNumber,
    /// Where many VMs are counted, those that lag; else all. Lowest numbers first.
    pub vms: Vec<VmTicketNumber>,
}

impl Summary {
    /// Sums up a view.
    pub fn of(view: &View, age_ms: Option<u64>) -> Self {
        Self {
            number: view.state.number,
            versions: versions(view),
            age_ms,
        }
    }

    /// Returns whether two views hold the same.
    pub fn matches(&self, other: &Self) -> bool {
        self.number == other.number && self.versions == other.versions
    }
}

impl Census {
    /// Counts one VM.
    pub fn of(data_centre: DataCentre, vm: VmId, number: TicketNumber) -> Self {
        Self {
            data_centre,
            vm_count: 1,
            number,
            vms: vec![VmTicketNumber { number, vm }],
        }
    }

    /// Adds the count of other VMs of the same data centre.
    pub fn add(&mut self, other: &Self) {
        self.vm_count += other.vm_count;
        self.number = self.number.max(other.number);
        self.vms.extend(other.vms.iter().cloned());
        self.vms.sort();
        if self.vm_count as usize > REPORT_VMS {
            let highest = self.number;
            self.vms.retain(|vm| vm.number < highest);
        }
        self.vms.truncate(REPORT_VMS);
    }
}

fn versions(view: &View) -> u64 {
    view.groups.values().fold(0, |sum, group| {
        let text = format!("{}\n{}", group.group, group.version);
        sum ^ xxhash_rust::xxh3::xxh3_64(text.as_bytes())
    })
}
