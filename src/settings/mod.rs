//! The settings of the programs: one INI file per VM, read and validated at startup.

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

/// The settings of one VM. All programs of the VM read the same file.
#[derive(Clone)]
pub struct Settings {
    /// `[vm]`: the name and location of this VM.
    pub vm: VmSettings,
    /// `[entry]`: the process that accepts callers' requests.
    pub entry: EntrySettings,
    /// `[controller]`: the process that manages tickets, targets and key owners.
    pub controller: ControllerSettings,
    /// `[platform]`: the addresses of the platform's services.
    pub platform: PlatformSettings,
    /// `[security]`: the shared token that operators and peers authenticate with.
    pub token: String,
    /// `[report]`: the service-level objective.
    pub report: ReportSettings,
    /// `[log]`: the destination and level of the log.
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

/// The name and location of a VM.
#[derive(Clone, Debug)]
pub struct VmSettings {
    /// The VM's name in the platform's list.
    pub name: VmId,
    /// The data centre that the VM runs in.
    pub data_centre: DataCentre,
}

/// Settings of a VM's entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The address that serves metrics, health and readiness.
    pub admin: SocketAddr,
    /// The controllers to receive the routing view from. The VM's own controller is first.
    pub controllers: Vec<SocketAddr>,
    /// The number of threads that proxy requests.
    pub threads: usize,
    /// The timeout of a graceful shutdown; `None` waits for all requests in flight.
    pub drain_limit: Option<Duration>,
    /// How long an entry continues to serve when no controller confirms its routing view.
    pub stale_limit: Duration,
}

/// Settings of a VM's controller.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
    /// The address that entries and other controllers connect to.
    pub peer: SocketAddr,
    /// The address that serves operators, metrics and health.
    pub admin: SocketAddr,
}

/// The addresses of the platform's services.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The address of the transactional table.
    pub table: SocketAddr,
    /// The address of the object store.
    pub objects: SocketAddr,
    /// The address of the list of VMs.
    pub vms: SocketAddr,
}

/// The service-level objective and the windows of its burn rates.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportSettings {
    /// The objective: the percentage of requests with a good response; at least 50 and below 100.
    pub objective: f64,
    /// The maximum latency of a good response.
    pub latency: Duration,
    /// The window pairs that the report computes burn rates for.
    pub windows: Vec<BurnWindow>,
    /// Admin addresses of the entries that the report collects metrics from.
    pub entries: Vec<SocketAddr>,
}

/// A pair of windows for multi-window burn-rate alerts. An alert fires if the burn rate of both
/// windows reaches the threshold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurnWindow {
    /// The shorter window, which shows that errors are still occurring.
    pub short: Duration,
    /// The longer window, which shows that the errors are significant.
    pub long: Duration,
    /// The burn rate from which the alert fires.
    pub threshold: f64,
}

/// The destination and level of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The minimum level of events that are logged.
    pub level: LevelFilter,
    /// The file to append to; `None` writes to standard error.
    pub file: Option<PathBuf>,
}
