//! The settings of the programs: one INI file per VM, checked whole at start.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::DataCentre;
use crate::ids::VmId;

/// The settings of one VM; every program reads the same file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// `[vm]`: who and where this VM is.
    pub vm: VmSettings,
    /// `[entry]`: the callers' side.
    pub entry: EntrySettings,
    /// `[controller]`: the control side.
    pub controller: ControllerSettings,
    /// `[platform]`: the services of the platform.
    pub platform: PlatformSettings,
    /// `[security]`: the token of operators and peers.
    pub token: String,
}

/// Who and where a VM is.
#[derive(Clone, Debug)]
pub struct VmSettings {
    /// The VM's name in the platform's list.
    pub name: VmId,
    /// Where the VM runs.
    pub data_centre: DataCentre,
}

/// The callers' side of a VM.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where metrics, health and readiness are served.
    pub admin: SocketAddr,
    /// Controllers to take the view from, the VM's own first.
    pub controllers: Vec<SocketAddr>,
    /// The number of traffic threads.
    pub threads: usize,
    /// The longest graceful shutdown; `None` waits for all work in flight.
    pub drain_limit: Option<Duration>,
    /// How long an entry that can confirm its view from no one goes on serving.
    pub stale_limit: Duration,
}

/// The control side of a VM.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// Where entries and peers link.
    pub peer: SocketAddr,
    /// Where operators, metrics and health are served.
    pub admin: SocketAddr,
}

/// The services of the platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The transactional table.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The list of VMs.
    pub vms: SocketAddr,
}
