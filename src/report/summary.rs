//! Merges the request counts of the entries into burn rates and alerts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;

use crate::burn::Counts;
use crate::burn::EntryBurn;
use crate::burn::ServiceBurn;
use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::settings::BurnWindow;
use crate::settings::ReportSettings;

/// The burn rates of all services in all data centres.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The required share of good requests, in percent.
    pub objective: f64,
    /// The number of entries that responded.
    pub entries: usize,
    /// Entries that did not respond; their requests are not counted.
    pub missing: Vec<Missing>,
    /// One line for each service in each data centre, sorted by both.
    pub lines: Vec<Line>,
}

/// An entry whose request counts could not be fetched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Missing {
    /// The admin address that was queried.
    pub entry: SocketAddr,
    /// The cause and, where known, the remedy.
    pub reason: String,
}

/// The burn rates of one service in one data centre.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The service that the requests were for.
    pub service: ServiceId,
    /// The data centre of the entries that received the requests.
    pub data_centre: DataCentre,
    /// The burn rates of each configured pair of windows.
    pub windows: Vec<WindowBurn>,
    /// The burn rate over time.
    pub course: Series,
}

/// The burn rates of a pair of windows and its alert.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// The length of the short window, in milliseconds.
    pub short_ms: u64,
    /// The length of the long window, in milliseconds.
    pub long_ms: u64,
    /// The burn rate over the short window.
    pub short_rate: f64,
    /// The burn rate over the long window.
    pub long_rate: f64,
    /// The request counts of the long window.
    pub counts: Counts,
    /// The burn rate that both windows must reach for an alert.
    pub threshold: f64,
    /// True if both rates reach the threshold.
    pub alert: bool,
}

/// A time series of burn rates at equal intervals, oldest first; the last point ends now.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Series {
    /// The time covered by each point, in seconds.
    pub point_s: f64,
    /// The burn rate of each point; 1 uses up the error budget exactly.
    pub rates: Vec<f64>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SeriesKey {
    service: ServiceId,
    data_centre: DataCentre,
}

#[derive(Debug, Default)]
struct Totals {
    windows: BTreeMap<u64, Counts>,
    points: Vec<Counts>,
    point_s: f64,
}

impl Report {
    /// Merges the responses of the entries; `missing` lists those that did not respond.
    pub fn new(conf: &ReportSettings, responses: &[EntryBurn], missing: Vec<Missing>) -> Self {
        let mut totals: BTreeMap<SeriesKey, Totals> = BTreeMap::new();
        for entry in responses {
            for burn in &entry.services {
                let key = SeriesKey {
                    service: burn.service.clone(),
                    data_centre: entry.data_centre.clone(),
                };
                totals.entry(key).or_default().add(burn, entry.point_s);
            }
        }
        let lines = totals.into_iter();
        Self {
            objective: conf.objective,
            entries: responses.len(),
            missing,
            lines: lines
                .map(|(key, totals)| report_line(conf, key, &totals))
                .collect(),
        }
    }

    /// Returns true if any pair of windows has an alert.
    pub fn alert(&self) -> bool {
        let mut windows = self.lines.iter().flat_map(|line| &line.windows);
        windows.any(|window| window.alert)
    }
}

impl Totals {
    fn add(&mut self, burn: &ServiceBurn, point_s: f64) {
        for window in &burn.windows {
            *self.windows.entry(window.window_ms).or_default() += window.counts;
        }
        // Recently started entries have fewer points. All series end now, so shorter ones are padded
        // at the front.
        let len = self.points.len().max(burn.points.len());
        let missing = len - self.points.len();
        self.points.splice(0..0, vec![Counts::default(); missing]);
        for (sum, point) in self.points.iter_mut().rev().zip(burn.points.iter().rev()) {
            *sum += *point;
        }
        self.point_s = point_s;
    }
}

fn report_line(conf: &ReportSettings, key: SeriesKey, totals: &Totals) -> Line {
    let windows = conf.windows.iter();
    let rates = totals
        .points
        .iter()
        .map(|point| point.burn_rate(conf.objective));
    Line {
        service: key.service,
        data_centre: key.data_centre,
        windows: windows
            .map(|pair| window_burn(conf.objective, *pair, totals))
            .collect(),
        course: Series {
            point_s: totals.point_s,
            rates: rates.collect(),
        },
    }
}

fn window_burn(objective: f64, pair: BurnWindow, totals: &Totals) -> WindowBurn {
    let short_ms = millis(pair.short);
    let long_ms = millis(pair.long);
    let counts = |window: &u64| totals.windows.get(window).copied().unwrap_or_default();
    let short_rate = counts(&short_ms).burn_rate(objective);
    let long_rate = counts(&long_ms).burn_rate(objective);
    WindowBurn {
        short_ms,
        long_ms,
        short_rate,
        long_rate,
        counts: counts(&long_ms),
        threshold: pair.threshold,
        alert: short_rate >= pair.threshold && long_rate >= pair.threshold,
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
