//! What an entry serves of its burn, as JSON.

use serde::Deserialize;
use serde::Serialize;

use crate::burn::Counts;
use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::ids::VmId;

/// The requests of one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryBurn {
    /// The entry's VM.
    pub vm: VmId,
    /// Where the entry runs.
    pub data_centre: DataCentre,
    /// The length of one point of each service's course, in seconds.
    pub point_s: f64,
    /// Each service that had requests.
    pub services: Vec<ServiceBurn>,
}

/// The requests of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: ServiceId,
    /// The counts of each window, shortest first.
    pub windows: Vec<WindowCounts>,
    /// The course over the longest window, oldest first.
    pub points: Vec<Counts>,
}

/// The requests of one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window's length up to now, in milliseconds.
    pub window_ms: u64,
    /// The requests that ended in it.
    pub counts: Counts,
}
