//! Contents of the messages between VMs that keep their views up to date.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentre;
use crate::ids::TicketNumber;
use crate::ids::VmId;
use crate::view::View;

/// Maximum number of VMs that a census names; the others are only counted.
pub const MAX_CENSUS_VMS: usize = 4;

/// What a VM subscribes to at a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Feed {
    /// Every change, as soon as it is applied.
    Eager,
    /// A summary soon after every change; the subscriber requests the changes that it lacks.
    Lazy,
    /// Between relays: changes that come from the peer's own subtree, and summaries of the others.
    Mesh,
    /// Nothing.
    Off,
}

/// Short form of a view, by which two VMs detect that their views differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Ticket number of the state held.
    #[serde(rename = "n")]
    pub number: TicketNumber,
    /// Hash of the versions of all groups.
    #[serde(rename = "v")]
    pub versions: u64,
    /// Time since the ticket number was last confirmed, in milliseconds; `None` if it never was.
    #[serde(rename = "a")]
    pub age_ms: Option<u64>,
}

/// Ticket number of the state that a VM holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VmTicketNumber {
    /// Lowest ticket number held by the VM's controller and entries.
    pub number: TicketNumber,
    /// Name of the VM.
    pub vm: VmId,
}

/// Count of VMs and the ticket numbers they hold, over a subtree of VMs or a whole data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Census {
    /// Data centre of all VMs counted.
    #[serde(rename = "d")]
    pub data_centre: DataCentre,
    /// Number of VMs counted.
    #[serde(rename = "h")]
    pub vm_count: u32,
    /// Highest ticket number that any of them holds.
    #[serde(rename = "n")]
    pub number: TicketNumber,
    /// All VMs counted, lowest ticket number first; if there are more than `MAX_CENSUS_VMS`, only
    /// those below the highest number, and at most that many.
    pub vms: Vec<VmTicketNumber>,
}

impl Summary {
    /// Summarises a view.
    pub fn of(view: &View, age_ms: Option<u64>) -> Self {
        Self {
            number: view.state.number,
            versions: hash_versions(view),
            age_ms,
        }
    }

    /// Returns true if both views hold the same state and the same versions of groups.
    pub fn matches(&self, other: &Self) -> bool {
        self.number == other.number && self.versions == other.versions
    }
}

impl Census {
    /// Creates a census of one VM.
    pub fn of(data_centre: DataCentre, vm: VmId, number: TicketNumber) -> Self {
        Self {
            data_centre,
            vm_count: 1,
            number,
            vms: vec![VmTicketNumber { number, vm }],
        }
    }

    /// Adds the census of other VMs of the same data centre.
    pub fn add(&mut self, other: &Self) {
        self.vm_count += other.vm_count;
        self.number = self.number.max(other.number);
        self.vms.extend(other.vms.iter().cloned());
        self.vms.sort();
        if self.vm_count as usize > MAX_CENSUS_VMS {
            let highest = self.number;
            self.vms.retain(|vm| vm.number < highest);
        }
        self.vms.truncate(MAX_CENSUS_VMS);
    }
}

fn hash_versions(view: &View) -> u64 {
    view.groups.values().fold(0, |sum, group| {
        let text = format!("{}\n{}", group.group, group.version);
        sum ^ xxhash_rust::xxh3::xxh3_64(text.as_bytes())
    })
}
