//! The settings of the programs: one INI file per VM, checked whole at start.

mod error;
mod read;

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use log::LevelFilter;

use crate::ids::DataCentre;
use crate::ids::VmId;

pub use error::SettingsError;

/// The settings of one VM; every program reads the same file.
#[derive(Clone)]
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
    /// `[report]`: the service-level objective.
    pub report: ReportSettings,
    /// `[log]`: where events go.
    pub log: LogSettings,
}

impl fmt::Debug for Settings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Settings")
            .field("vm", &self.vm)
            .field("entry", &self.entry)
            .field("controller", &self.controller)
            .field("platform", &self.platform)
            .field("report", &self.report)
            .field("log", &self.log)
            .finish_non_exhaustive()
    }
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

/// The service-level objective and the windows it is judged over.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportSettings {
    /// The share of requests to be answered in time, in percent; below 100.
    pub objective: f64,
    /// An answer counts as good within this time.
    pub latency: Duration,
    /// The windows of the burn report.
    pub windows: Vec<BurnWindow>,
    /// Admin addresses of the entries that the report is gathered from.
    pub entries: Vec<SocketAddr>,
}

/// A pair of windows that must both burn before an alert is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurnWindow {
    /// The window that shows whether it still burns.
    pub short: Duration,
    /// The window that shows whether it matters.
    pub long: Duration,
    /// The burn rate from which both windows mean an alert.
    pub threshold: f64,
}

/// Where the log goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Events below this level are left out.
    pub level: LevelFilter,
    /// The file to append to; `None` writes to standard error.
    pub file: Option<PathBuf>,
}
