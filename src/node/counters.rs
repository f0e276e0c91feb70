//! A node's counters and latency histograms, rendered in the Prometheus text format.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use strum::Display;
use strum::EnumCount;
use strum::EnumIter;
use strum::IntoEnumIterator;

use crate::ids::ServiceId;
use crate::memory::Account;
use crate::memory::Share;

/// Upper bounds of the latency buckets, in milliseconds.
const LATENCY_BOUNDS_MS: [u64; 10] = [5, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400];

/// Counters without labels. The metric name is the variant name in snake case plus `_total`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumCount, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Retries sent.
    Repeats,
    /// Retries denied by the retry budget.
    RepeatsDenied,
    /// Calls to the platform's table store.
    TableCalls,
    /// Failed calls to the platform's table store.
    TableFailures,
    /// Grant and release orders sent to targets.
    Orders,
    /// Orders that failed or whose result is unknown.
    OrderFailures,
    /// Key moves announced to the other nodes.
    MovesAnnounced,
    /// Callers that disconnected before their response.
    CallersGone,
    /// Targets that announced in responses that they are shutting down, before the list showed it.
    LeavingAnnounced,
    /// Limits that targets began to name, changed or no longer name, as this node learned it.
    LimitChanges,
    /// Requests that were not sent to a target because of its limit.
    PermitsDenied,
    /// Requests for a permit that were not answered in time.
    PermitTimeouts,
    /// Reports that a target is cold, or for longer than was known, as this node learned it.
    TargetsCold,
    /// Requests that were not sent to a target because it is cold.
    ColdDenied,
    /// How often targets began to ask for a pause.
    Pauses,
    /// How often this node found that it reaches no target.
    Strandings,
    /// Targets that this node began to believe to be unreachable from it.
    ReachLost,
    /// Targets that this node ceased to believe to be unreachable from it.
    ReachRegained,
    /// Requests that a target did not run because it had no room.
    TargetRefusals,
    /// Requests passed on to another node, which reaches targets that this one does not.
    RequestsRelayed,
    /// Evacuations of data centres that this node learned of.
    EvacuationsBegun,
    /// Evacuations of data centres that have ended on this node.
    EvacuationsEnded,
    /// Log lines dropped because of the rate or buffer limit.
    LogLinesDropped,
}

/// Request counts and latencies of one service.
#[derive(Debug, Default)]
struct ServiceCounts {
    outcomes: BTreeMap<&'static str, u64>,
    /// Requests per latency bucket; the last bucket has no upper bound.
    latencies: [u64; LATENCY_BOUNDS_MS.len() + 1],
    total_latency_ms: u64,
}

/// All metrics of a node.
#[derive(Debug, Default)]
pub struct Counters {
    unlabelled: [Cell<u64>; Counter::COUNT],
    services: RefCell<BTreeMap<ServiceId, ServiceCounts>>,
}

impl Counters {
    /// Increments a counter by one.
    pub fn add(&self, counter: Counter) {
        let cell = &self.unlabelled[counter as usize];
        cell.set(cell.get() + 1);
    }

    /// Returns the value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.unlabelled[counter as usize].get()
    }

    /// Overwrites a counter whose value is counted elsewhere.
    pub fn set(&self, counter: Counter, value: u64) {
        self.unlabelled[counter as usize].set(value);
    }

    /// Counts a completed request by outcome and latency.
    pub fn request(&self, service: &ServiceId, outcome: &'static str, latency: Duration) {
        let mut services = self.services.borrow_mut();
        if !services.contains_key(service) {
            services.insert(service.clone(), ServiceCounts::default());
        }
        let Some(counts) = services.get_mut(service) else {
            return;
        };
        *counts.outcomes.entry(outcome).or_default() += 1;
        let ms = latency.as_millis() as u64;
        let bucket = LATENCY_BOUNDS_MS.partition_point(|bound| *bound < ms);
        counts.latencies[bucket] += 1;
        counts.total_latency_ms += ms;
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for counter in Counter::iter() {
            let value = self.unlabelled[counter as usize].get();
            line(&mut text, format_args!("{counter}_total {value}"));
        }
        for (service, counts) in &*self.services.borrow() {
            for (outcome, count) in &counts.outcomes {
                let labels = format!("service=\"{service}\",outcome=\"{outcome}\"");
                line(
                    &mut text,
                    format_args!("requests_total{{{labels}}} {count}"),
                );
            }
            render_latencies(&mut text, service, counts);
        }
        text
    }
}

/// Renders the gauges of the account of held bytes.
pub fn render_account(account: &Account) -> String {
    let mut text = String::new();
    for share in Share::iter() {
        let (name, used) = (<&str>::from(share), account.used_by(share));
        line(
            &mut text,
            format_args!("held_bytes{{share=\"{name}\"}} {used}"),
        );
    }
    let limit = account.limit();
    line(&mut text, format_args!("held_bytes_limit {limit}"));
    let readings = account.readings();
    line(&mut text, format_args!("bodies_being_read {readings}"));
    text
}

fn render_latencies(text: &mut String, service: &ServiceId, counts: &ServiceCounts) {
    let mut cumulative = 0;
    for (index, count) in counts.latencies.iter().enumerate() {
        cumulative += count;
        let bound = match LATENCY_BOUNDS_MS.get(index) {
            Some(bound) => bound.to_string(),
            None => "+Inf".to_owned(),
        };
        let labels = format!("service=\"{service}\",le=\"{bound}\"");
        line(
            text,
            format_args!("latency_ms_bucket{{{labels}}} {cumulative}"),
        );
    }
    let total = counts.total_latency_ms;
    line(
        text,
        format_args!("latency_ms_sum{{service=\"{service}\"}} {total}"),
    );
    line(
        text,
        format_args!("latency_ms_count{{service=\"{service}\"}} {cumulative}"),
    );
}

pub(super) fn line(text: &mut String, sample: std::fmt::Arguments<'_>) {
    writeln!(text, "gooseberryloft_{sample}").expect("writing to memory cannot fail");
}
