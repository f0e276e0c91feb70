//! The platform's list of VMs, which lags behind what runs.

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
    /// The VM's name.
    pub vm: VmId,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Where its controller takes peer links.
    pub address: SocketAddr,
    /// What the platform last saw.
    pub state: VmState,
}

/// What the platform last saw of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is about to be stopped.
    Leaving,
}

/// The platform's list of VMs.
pub trait VmList: Send + Sync {
    /// Reads the list as the platform has it now; it may lag.
    fn vms(&self) -> impl Future<Output = Result<Vec<VmEntry>, TableError>> + Send;
}
