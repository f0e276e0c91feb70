//! Burn rates: request counts of the entries, merged into rates and alerts by the report.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use googletest::prelude::*;
use proptest::prelude::*;
use tide::Body;

use gooseberryloft::burn::Counts;
use gooseberryloft::burn::EntryBurn;
use gooseberryloft::burn::Recorder;
use gooseberryloft::burn::Ring;
use gooseberryloft::ids::ServiceId;
use gooseberryloft::report::Report;
use gooseberryloft::settings::Settings;

const LATE: Duration = Duration::from_millis(501);
const IN_TIME: Duration = Duration::from_millis(500);

fn settings_text(name: &str) -> String {
    format!(
        "[vm]\nname = {name}\ndata_centre = ikeja\n[entry]\nlisten = 127.0.0.1:1\n\
         admin = 127.0.0.1:2\ncontrollers = 127.0.0.1:3\n[controller]\npeer = 127.0.0.1:3\n\
         admin = 127.0.0.1:7\n[platform]\ntable = 127.0.0.1:4\nobjects = 127.0.0.1:5\n\
         vms = 127.0.0.1:6\n[security]\ntoken = 0123456789abcdef\n"
    )
}

fn settings(name: &str) -> Settings {
    Settings::parse("vm.ini", &settings_text(name)).expect("the settings are valid")
}

// Returns the counts of an hour with one request per second. In the last `late_minutes`, one of
// `late_every` requests is late.
fn record_hour(name: &str, late_minutes: u32, late_every: u32) -> EntryBurn {
    let start = Instant::now();
    let recorder = Recorder::new(&settings(name), start);
    let service = ServiceId::from("jobs");
    for second in 0..3_600 {
        let late = second >= 3_600 - late_minutes * 60 && second % late_every == 0;
        let latency = if late { LATE } else { IN_TIME };
        let now = start + Duration::from_secs(second.into());
        recorder.record(&service, Some(latency), now);
    }
    recorder.report(start + Duration::from_secs(3_599))
}

fn build_report(entries: &[EntryBurn]) -> Report {
    Report::new(&settings("vm-1").report, entries, Vec::new())
}

#[googletest::test]
fn burn_rate_is_the_bad_share_over_the_allowed_share() {
    let counts = Counts {
        good: 986,
        total: 1_000,
    };
    expect_that!(counts.burn_rate(99.0), approx_eq(1.4));
    expect_that!(Counts::default().burn_rate(99.0), approx_eq(0.0));
    expect_that!(
        Counts { good: 0, total: 9 }.burn_rate(99.9),
        near(1_000.0, 1e-6)
    );
}

#[googletest::test]
fn an_alert_needs_both_windows() {
    expect_that!(
        build_report(&[record_hour("vm-1", 60, 50)]).alert(),
        eq(true)
    );
    let spike = build_report(&[record_hour("vm-1", 1, 10)]);
    expect_that!(spike.lines[0].windows[0].short_rate, gt(14.4));
    expect_that!(spike.alert(), eq(false));
    expect_that!(
        build_report(&[record_hour("vm-1", 60, 4_000)]).alert(),
        eq(false)
    );
}

#[googletest::test]
fn entries_of_a_data_centre_are_merged() {
    let report = build_report(&[record_hour("vm-1", 60, 100), record_hour("vm-2", 0, 1)]);
    expect_that!(report.lines, len(eq(1)));
    expect_that!(report.lines[0].windows[0].counts.total, eq(7_200));
    expect_that!(report.lines[0].windows[0].long_rate, near(5.0, 0.1));
    expect_that!(report.lines[0].course.rates.len(), le(120));
}

#[googletest::test]
fn refusals_and_unanswered_requests_are_bad() {
    let now = Instant::now();
    let recorder = Recorder::new(&settings("vm-1"), now);
    recorder.record(&"jobs".into(), None, now);
    recorder.record(&"jobs".into(), Some(IN_TIME), now);
    let counts = recorder.report(now).services[0].windows[0].counts;
    expect_that!(counts, eq(Counts { good: 1, total: 2 }));
}

#[googletest::test]
fn number_of_services_is_limited() {
    let now = Instant::now();
    let recorder = Recorder::new(&settings("vm-1"), now);
    for i in 0..2_000 {
        recorder.record(&format!("s{i}").into(), None, now);
    }
    expect_that!(recorder.report(now).services, len(eq(1_000)));
}

proptest! {
    #[test]
    fn ring_counts_equal_those_of_a_list(
        events in prop::collection::vec((0..20_000u64, any::<bool>()), 0..200),
        window in 1..60u64,
    ) {
        const WIDTH: Duration = Duration::from_secs(1);
        let start = Instant::now();
        let mut ring = Ring::new(WIDTH, 60, start);
        let mut now_ms = 0;
        let mut recorded = Vec::new();
        for (gap_ms, good) in events {
            now_ms += gap_ms;
            ring.add(good, start + Duration::from_millis(now_ms));
            recorded.push((now_ms / 1_000, good));
        }
        let first = (now_ms / 1_000 + 1).saturating_sub(window);
        let recent: Vec<bool> = recorded.iter().filter(|(second, _)| *second >= first).map(|(_, good)| *good).collect();
        let good = recent.iter().filter(|good| **good).count() as u64;
        let total = recent.len() as u64;
        let sum = ring.sum(WIDTH * window as u32, start + Duration::from_millis(now_ms));
        prop_assert_eq!(sum, Counts { good, total });
    }
}

fn serve_burn(burn: EntryBurn) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("bound");
    let mut app = tide::with_state(Arc::new(burn));
    app.at("/burn")
        .get(|request: tide::Request<Arc<EntryBurn>>| async move {
            Body::from_json(&**request.state())
        });
    task::spawn(app.listen(async_std::net::TcpListener::from(listener)));
    address
}

fn run_report(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gooseberryloft-report"))
        .args(args)
        .output()
        .expect("the program runs")
}

#[googletest::test]
fn the_program_reports_alerts_charts_and_missing_entries() {
    let folder = std::env::temp_dir().join(format!("gooseberryloft-report-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let conf = folder.join("vm.ini");
    std::fs::write(&conf, settings_text("vm-1")).expect("the settings are written");
    let conf = conf.to_str().expect("the path is text");
    let svg = folder.join("burn.svg");
    let healthy = serve_burn(record_hour("vm-1", 0, 1)).to_string();
    let burning = serve_burn(record_hour("vm-2", 60, 10)).to_string();
    let no_alert = run_report(&["--settings", conf, &healthy]);
    let alert = run_report(&[
        "--settings",
        conf,
        &burning,
        "--svg",
        svg.to_str().expect("text"),
    ]);
    let partial = run_report(&["--settings", conf, &healthy, "127.0.0.1:1", "--json"]);
    let chart = std::fs::read_to_string(&svg).expect("the chart was written");
    let _ = std::fs::remove_dir_all(&folder);
    expect_that!(no_alert.status.code(), some(eq(0)));
    expect_that!(alert.status.code(), some(eq(1)));
    expect_that!(
        String::from_utf8_lossy(&alert.stdout),
        contains_substring("ALERT")
    );
    expect_that!(chart, contains_substring("burn rate of jobs"));
    expect_that!(partial.status.code(), some(eq(3)));
    let json: serde_json::Value = serde_json::from_slice(&partial.stdout).expect("JSON");
    expect_that!(json["missing"].as_array().map(Vec::len), some(eq(1)));
}
