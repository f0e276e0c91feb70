//! The platform's list of VMs. The list is eventually consistent: it may contain stopped VMs and miss
//! new ones.

use std::future::Future;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use crate::ids::DataCentre;
use crate::ids::VmId;
use crate::platform::TableError;

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The VM's name, as in the `[vm]` section of its settings.
    pub vm: VmId,
    /// The data centre that the VM runs in.
    pub data_centre: DataCentre,
    /// The address at which its controller accepts connections from other controllers.
    pub address: SocketAddr,
    /// The state that the platform last observed.
    pub state: VmState,
}

/// The state of a VM that the platform last observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be stopped.
    Leaving,
}

/// The platform's list of VMs.
pub trait VmList: Send + Sync {
    /// Reads the current list. It may be out of date.
    fn vms(&self) -> impl Future<Output = Result<Vec<VmEntry>, TableError>> + Send;
}
