//! The requests that an entry counts for the burn report and its metrics.

mod traffic_support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use async_std::task;
use googletest::prelude::*;

use crate::traffic_support::get;
use crate::traffic_support::http_target;
use crate::traffic_support::ok_response;
use crate::traffic_support::settings;
use crate::traffic_support::start_entry;
use crate::traffic_support::view;
use gooseberryloft::burn::Counts;
use gooseberryloft::report;
use gooseberryloft::settings::Settings;

// Returns the counts of the burn report once they include `total` requests. An entry counts a
// request just after it sent the response, so the count may lag behind.
fn wait_for_counts(admin: SocketAddr, total: u64) -> Counts {
    let conf = Settings::parse("test.ini", &settings(&[admin], 1, "")).expect("valid");
    let mut counts = Counts::default();
    for _ in 0..200 {
        let report = task::block_on(report::gather(&conf.report, &[admin]));
        assert!(report.missing.is_empty(), "{:?}", report.missing);
        let line = report.lines.first();
        counts = line.map_or_else(Counts::default, |line| line.windows[0].counts);
        if counts.total >= total {
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    counts
}

// All entries of the process share its metrics, so these cases run one after the other.
#[googletest::test]
fn requests_are_counted_for_burn_and_metrics() {
    responses_are_good_and_target_errors_are_bad();
    invalid_requests_are_not_counted();
    refusals_by_a_stale_entry_are_bad();
}

fn responses_are_good_and_target_errors_are_bad() {
    let target = http_target(|request| match request.head.contains("/broken") {
        true => b"HTTP/1.1 500 Broken\r\ncontent-length: 0\r\n\r\n".to_vec(),
        false => ok_response("fine"),
    });
    let entry = start_entry(view(&[target]));
    for path in ["/a", "/b", "/broken", "/c"] {
        get(entry.address(), path);
    }
    expect_that!(
        wait_for_counts(entry.admin(), 4),
        eq(Counts { good: 3, total: 4 })
    );
}

fn invalid_requests_are_not_counted() {
    let entry = start_entry(view(&[http_target(|_| ok_response("fine"))]));
    get(entry.address(), "/a");
    let response = traffic_support::exchange(
        entry.address(),
        b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
    );
    expect_that!(response, starts_with("HTTP/1.1 400 "));
    expect_that!(
        wait_for_counts(entry.admin(), 1),
        eq(Counts { good: 1, total: 1 })
    );
    let metrics = get(entry.admin(), "/metrics");
    expect_that!(
        metrics,
        contains_substring("outcome=\"whole\",service=\"roster\"} 5")
    );
    expect_that!(
        metrics,
        contains_substring("gooseberryloft_in_flight{service=\"roster\"} 0")
    );
    expect_that!(metrics, contains_substring("\ngooseberryloft_queued 0\n"));
}

// The entry may confirm its view again at any time, so requests are repeated until one is refused.
fn refusals_by_a_stale_entry_are_bad() {
    let entry = start_entry(view(&[http_target(|_| ok_response("fine"))]));
    let mut requests = 0;
    loop {
        entry.shared().stale.store(true, Ordering::Relaxed);
        requests += 1;
        if get(entry.address(), "/a").starts_with("HTTP/1.1 503 ") {
            break;
        }
    }
    let good = requests - 1;
    expect_that!(
        wait_for_counts(entry.admin(), requests),
        eq(Counts {
            good,
            total: requests
        })
    );
}
