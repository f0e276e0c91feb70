//! The counters, gauges and histograms of a process.

use std::sync::Arc;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::StringValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::UpDownCounter;

use crate::ids::DataCentre;
use crate::ids::GroupId;
use crate::ids::ServiceId;
use crate::ids::Term;
use crate::ids::TicketNumber;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] = [
    0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 1.0, 5.0,
];

/// All metrics of a process, with one method per recorded occurrence.
#[derive(Debug)]
pub struct Instruments {
    requests: Counter<u64>,
    latency: Histogram<f64>,
    in_flight: UpDownCounter<i64>,
    retries: Counter<u64>,
    queued: Gauge<u64>,
    in_force: Gauge<u64>,
    terms: Gauge<u64>,
    orders: Counter<u64>,
    table_errors: Counter<u64>,
}

impl Instruments {
    /// Registers the metrics with `meter`.
    pub fn new(meter: &Meter) -> Self {
        let counter = |name, text| meter.u64_counter(name).with_description(text).build();
        let gauge = |name, text| meter.u64_gauge(name).with_description(text).build();
        Self {
            requests: counter("requests", "Requests by service, data centre and outcome"),
            latency: meter
                .f64_histogram("latency_seconds")
                .with_description("Time from a request's head to its answer's head")
                .with_boundaries(LATENCY_BOUNDS_S.to_vec())
                .build(),
            in_flight: meter
                .i64_up_down_counter("in_flight")
                .with_description("Requests in flight by service")
                .build(),
            retries: counter("retries", "Requests sent again, by service"),
            queued: gauge("queued", "Requests waiting for a target"),
            in_force: gauge("ticket_in_force", "The number in force on this VM"),
            terms: gauge("group_term", "The newest term known of each group"),
            orders: counter("orders", "Orders to targets by outcome"),
            table_errors: counter("table_errors", "Failed calls of the table service by kind"),
        }
    }

    /// Counts a completed request and its latency, the time to the response's head.
    pub fn request(
        &self,
        service: &ServiceId,
        data_centre: &DataCentre,
        outcome: &'static str,
        latency: Duration,
    ) {
        let labels = [
            label("service", service.to_arc()),
            label("data_centre", data_centre.to_arc()),
        ];
        self.latency.record(latency.as_secs_f64(), &labels);
        let [service, data_centre] = labels;
        let outcome = KeyValue::new("outcome", outcome);
        self.requests.add(1, &[service, data_centre, outcome]);
    }

    /// Changes the number of requests in flight of a service by `by`, which may be negative.
    pub fn in_flight(&self, service: &ServiceId, by: i64) {
        self.in_flight
            .add(by, &[label("service", service.to_arc())]);
    }

    /// Counts a retry of a request.
    pub fn retry(&self, service: &ServiceId) {
        self.retries.add(1, &[label("service", service.to_arc())]);
    }

    /// Sets the number of requests that wait for a target.
    pub fn queued(&self, length: usize) {
        self.queued.record(length as u64, &[]);
    }

    /// Sets the number of the ticket in force on this VM.
    pub fn in_force(&self, number: TicketNumber) {
        self.in_force.record(number.0, &[]);
    }

    /// Sets the newest known term of a group.
    pub fn term(&self, group: &GroupId, term: Term) {
        self.terms
            .record(term.0, &[label("group", group.to_string().into())]);
    }

    /// Counts an order to a target by its outcome.
    pub fn order(&self, outcome: &'static str) {
        self.orders.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a failed call of the table service by the kind of its error.
    pub fn table_error(&self, kind: &'static str) {
        self.table_errors.add(1, &[KeyValue::new("kind", kind)]);
    }
}

// Takes shared names so that recording a request copies no strings.
fn label(key: &'static str, value: Arc<str>) -> KeyValue {
    KeyValue::new(key, StringValue::from(value))
}
