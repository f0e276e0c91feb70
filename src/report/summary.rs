//! Joining what the entries told into one report.

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

/// The burn of all services.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The share of requests to be answered in time, in percent.
    pub objective: f64,
    /// Entries that answered.
    pub entries: usize,
    /// Entries that did not; the figures lack their requests.
    pub missing: Vec<Missing>,
    /// Each service in each data centre.
    pub lines: Vec<Line>,
}

/// An entry that did not answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Missing {
    /// Where it was asked.
    pub entry: SocketAddr,
    /// Why there is no answer, and what to do.
    pub reason: String,
}

/// One service in one data centre.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The service.
    pub service: ServiceId,
    /// The data centre of the entries that took the requests.
    pub data_centre: DataCentre,
    /// Each pair of windows.
    pub windows: Vec<WindowBurn>,
    /// The course of the burn rate.
    pub course: Series,
}

/// One pair of windows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// The pair's short window, in milliseconds.
    pub short_ms: u64,
    /// The pair's long window, in milliseconds.
    pub long_ms: u64,
    /// The burn rate over the short window.
    pub short_rate: f64,
    /// The burn rate over the long window.
    pub long_rate: f64,
    /// The requests of the long window.
    pub counts: Counts,
    /// The rate from which both windows mean an alert.
    pub threshold: f64,
    /// Whether an alert is due.
    pub alert: bool,
}

/// Burn rates at equal distances, oldest first, the last one now.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Series {
    /// The distance, in seconds.
    pub point_s: f64,
    /// The rates.
    pub rates: Vec<f64>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    service: ServiceId,
    data_centre: DataCentre,
}

#[derive(Debug, Default)]
struct Sum {
    windows: BTreeMap<u64, Counts>,
    points: Vec<Counts>,
    point_s: f64,
}

impl Report {
    /// Joins the answers of the entries.
    pub fn new(conf: &ReportSettings, answers: &[EntryBurn], missing: Vec<Missing>) -> Self {
        let mut sums: BTreeMap<Place, Sum> = BTreeMap::new();
        for entry in answers {
            for burn in &entry.services {
                let place = Place {
                    service: burn.service.clone(),
                    data_centre: entry.data_centre.clone(),
                };
                sums.entry(place).or_default().add(burn, entry.point_s);
            }
        }
        let lines = sums.into_iter();
        Self {
            objective: conf.objective,
            entries: answers.len(),
            missing,
            lines: lines.map(|(place, sum)| line(conf, place, &sum)).collect(),
        }
    }

    /// Returns whether an alert is due.
    pub fn alert(&self) -> bool {
        let mut windows = self.lines.iter().flat_map(|line| &line.windows);
        windows.any(|window| window.alert)
    }
}

impl Sum {
    fn add(&mut self, burn: &ServiceBurn, point_s: f64) {
        for window in &burn.windows {
            *self.windows.entry(window.window_ms).or_default() += window.counts;
        }
        // Entries that started lately have fewer points; all series end now.
        let len = self.points.len().max(burn.points.len());
        let lack = len - self.points.len();
        self.points.splice(0..0, vec![Counts::default(); lack]);
        for (sum, point) in self.points.iter_mut().rev().zip(burn.points.iter().rev()) {
            *sum += *point;
        }
        self.point_s = point_s;
    }
}

fn line(conf: &ReportSettings, place: Place, sum: &Sum) -> Line {
    let windows = conf.windows.iter();
    let rates = sum
        .points
        .iter()
        .map(|point| point.burn_rate(conf.objective));
    Line {
        service: place.service,
        data_centre: place.data_centre,
        windows: windows
            .map(|pair| burn(conf.objective, *pair, sum))
            .collect(),
        course: Series {
            point_s: sum.point_s,
            rates: rates.collect(),
        },
    }
}

fn burn(objective: f64, pair: BurnWindow, sum: &Sum) -> WindowBurn {
    let short_ms = millis(pair.short);
    let long_ms = millis(pair.long);
    let counts = |window: &u64| sum.windows.get(window).copied().unwrap_or_default();
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
