//! The JSON messages in which an entry reports its request counts for the burn rate.

use serde::Deserialize;
use serde::Serialize;

use crate::burn::Counts;
use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::ids::VmId;

/// The request counts of one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryBurn {
    /// The VM that the entry runs on.
    pub vm: VmId,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// The time covered by each element of [`ServiceBurn::points`], in seconds.
    pub point_s: f64,
    /// The services that received requests.
    pub services: Vec<ServiceBurn>,
}

/// The request counts of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The service that the requests were for.
    pub service: ServiceId,
    /// The counts of each window, shortest first.
    pub windows: Vec<WindowCounts>,
    /// The time series over the longest window, oldest first.
    pub points: Vec<Counts>,
}

/// The request counts of one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The length of the window, which ends now, in milliseconds.
    pub window_ms: u64,
    /// The requests that completed in the window.
    pub counts: Counts,
}
