//! What a node counts for operators, in the text format of Prometheus.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use strum::Display;
use strum::EnumIter;
use strum::IntoEnumIterator;

use crate::ids::ServiceId;

/// Upper bounds of the latency buckets, in milliseconds.
const LATENCY_BOUNDS_MS: [u64; 10] = [5, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400];

/// Plain counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Counter {
    /// Requests sent again.
    Repeats,
    /// Repeats that the allowance did not permit.
    RepeatsDenied,
    /// Calls of the platform's table.
    TableCalls,
    /// Calls of the platform's table that failed.
    TableFailures,
    /// Orders to targets.
    Orders,
    /// Orders that were not carried out, as far as known.
    OrderFailures,
    /// Moves of keys announced.
    MovesAnnounced,
    /// Callers that left before their answer.
    CallersGone,
    /// Log lines left out.
    LogLinesDropped,
}

/// The counts of one service.
#[derive(Debug, Default)]
struct ServiceCounts {
    outcomes: BTreeMap<&'static str, u64>,
    latencies: [u64; LATENCY_BOUNDS_MS.len() + 1],
    sum_ms: u64,
}

/// The counters of a node.
#[derive(Debug, Default)]
pub struct Counters {
    plain: [Cell<u64>; 9],
    services: RefCell<BTreeMap<ServiceId, ServiceCounts>>,
}

impl Counters {
    /// Adds one.
    pub fn add(&self, counter: Counter) {
        let cell = &self.plain[counter as usize];
        cell.set(cell.get() + 1);
    }

    /// Sets a counter that is kept elsewhere.
    pub fn set(&self, counter: Counter, value: u64) {
        self.plain[counter as usize].set(value);
    }

    /// Counts a request that ended.
    pub fn request(&self, service: &ServiceId, outcome: &'static str, took: Duration) {
        let mut services = self.services.borrow_mut();
        if !services.contains_key(service) {
            services.insert(service.clone(), ServiceCounts::default());
        }
        let Some(counts) = services.get_mut(service) else {
            return;
        };
        *counts.outcomes.entry(outcome).or_default() += 1;
        let ms = took.as_millis() as u64;
        let bucket = LATENCY_BOUNDS_MS.partition_point(|bound| *bound < ms);
        counts.latencies[bucket] += 1;
        counts.sum_ms += ms;
    }

    /// Returns the counts as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for counter in Counter::iter() {
            let value = self.plain[counter as usize].get();
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

fn render_latencies(text: &mut String, service: &ServiceId, counts: &ServiceCounts) {
    let mut sum = 0;
    for (at, count) in counts.latencies.iter().enumerate() {
        sum += count;
        let bound = match LATENCY_BOUNDS_MS.get(at) {
            Some(bound) => bound.to_string(),
            None => "+Inf".to_owned(),
        };
        let labels = format!("service=\"{service}\",le=\"{bound}\"");
        line(text, format_args!("latency_ms_bucket{{{labels}}} {sum}"));
    }
    let total = counts.sum_ms;
    line(
        text,
        format_args!("latency_ms_sum{{service=\"{service}\"}} {total}"),
    );
    line(
        text,
        format_args!("latency_ms_count{{service=\"{service}\"}} {sum}"),
    );
}

fn line(text: &mut String, rest: std::fmt::Arguments<'_>) {
    writeln!(text, "gooseberryloft_{rest}").expect("writing to memory cannot fail");
}
