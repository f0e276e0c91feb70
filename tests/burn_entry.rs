//! What an entry counts for the burn report and for its metrics.

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

// A request is counted just after its answer has left, so a count may be due for a moment.
fn counted(admin: SocketAddr, total: u64) -> Counts {
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

// The metrics are those of the process, so the parts run one after the other.
#[googletest::test]
fn requests_are_counted_for_burn_and_metrics() {
    answers_are_good_and_a_targets_own_failures_are_bad();
    callers_mistakes_do_not_burn();
    refusals_of_an_unconfirmed_entry_burn();
}

fn answers_are_good_and_a_targets_own_failures_are_bad() {
    let target = http_target(|request| match request.head.contains("/broken") {
        true => b"HTTP/1.1 500 Broken\r\ncontent-length: 0\r\n\r\n".to_vec(),
        false => ok_response("fine"),
    });
    let entry = start_entry(view(&[target]));
    for path in ["/a", "/b", "/broken", "/c"] {
        get(entry.address(), path);
    }
    expect_that!(counted(entry.admin(), 4), eq(Counts { good: 3, total: 4 }));
}

fn callers_mistakes_do_not_burn() {
    let entry = start_entry(view(&[http_target(|_| ok_response("fine"))]));
    get(entry.address(), "/a");
    let answer = traffic_support::exchange(
        entry.address(),
        b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
    );
    expect_that!(answer, starts_with("HTTP/1.1 400 "));
    expect_that!(counted(entry.admin(), 1), eq(Counts { good: 1, total: 1 }));
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

// The entry may confirm its view again at any moment, so the refusal is asked for until it comes.
fn refusals_of_an_unconfirmed_entry_burn() {
    let entry = start_entry(view(&[http_target(|_| ok_response("fine"))]));
    let mut asked = 0;
    loop {
        entry.shared().stale.store(true, Ordering::Relaxed);
        asked += 1;
        if get(entry.address(), "/a").starts_with("HTTP/1.1 503 ") {
            break;
        }
    }
    let good = asked - 1;
    expect_that!(
        counted(entry.admin(), asked),
        eq(Counts { good, total: asked })
    );
}
