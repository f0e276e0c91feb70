//! Measures what one entry carries and what it adds, against going straight to the targets.
//!
//! `cargo run --release --example throughput` starts the entry program, stand-in targets and
//! callers on this machine, and prints one table.

#[path = "../../tests/traffic_support/mod.rs"]
mod traffic_support;

mod load;
mod process;

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::load::Load;
use crate::load::Measured;
use crate::process::Process;
use crate::traffic_support::read_head;
use crate::traffic_support::service;
use crate::traffic_support::target;
use crate::traffic_support::view_of;

const TARGETS: usize = 4;
const SLOTS: u16 = 64;
const CALLERS: usize = 32;
const GOAL_RATE: f64 = 5_500.0;
const GOAL_P99: Duration = Duration::from_millis(8);
const LARGE_BYTES: usize = 500 << 20;
const PART_BYTES: usize = 256 << 10;
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 64\r\n\r\n\
    0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde\n";

fn main() {
    let targets: Vec<SocketAddr> = (0..TARGETS).map(|_| target(serve)).collect();
    println!("{CALLERS} callers, {TARGETS} targets, small bodies");
    println!(
        "{:<28}{:>10}{:>10}{:>10}{:>10}{:>16}",
        "case", "req/s", "p50 µs", "p99 µs", "failed", "entry µs/req"
    );
    let mut at_goal = Vec::new();
    let mut most = Vec::new();
    for rate in [None, Some(GOAL_RATE)] {
        let load = Load {
            callers: CALLERS,
            rate,
        };
        let straight = load.run(&targets);
        print(&case("straight", rate), &straight, None);
        for threads in [1, 2] {
            let entry = Process::start(view(&targets), threads);
            let busy = entry.cpu();
            let measured = load.run(&[entry.callers]);
            let busy = entry.cpu() - busy;
            let cost = busy.as_secs_f64() * 1e6 / measured.sent as f64;
            print(
                &case(&format!("entry, {threads} threads"), rate),
                &measured,
                Some(cost),
            );
            match rate {
                None => most.push(measured),
                Some(_) => at_goal.push((measured, straight)),
            }
        }
    }
    verdict(&at_goal, &most);
    stream(&targets);
}

fn view(targets: &[SocketAddr]) -> gooseberryloft::view::View {
    let mut wide = service("/", targets);
    for target in wide.targets.values_mut() {
        target.slots = SLOTS;
        target.connections = 2 * SLOTS;
    }
    view_of(wide)
}

/// Answers every request with a small body, or a large one under `/large`.
fn serve(mut conn: BufReader<TcpStream>, _: usize) {
    let part = vec![b'x'; PART_BYTES];
    while let Some(head) = read_head(&mut conn) {
        let wtr = conn.get_mut();
        let done = if head.starts_with("GET /large") {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BYTES}\r\n\r\n");
            let parts = LARGE_BYTES / PART_BYTES;
            wtr.write_all(head.as_bytes())
                .and_then(|()| (0..parts).try_for_each(|_| wtr.write_all(&part)))
        } else {
            wtr.write_all(ANSWER)
        };
        if done.is_err() {
            return;
        }
    }
}

fn case(name: &str, rate: Option<f64>) -> String {
    match rate {
        None => format!("{name}, as fast as it goes"),
        Some(rate) => format!("{name}, {rate}/s"),
    }
}

fn print(case: &str, measured: &Measured, cost: Option<f64>) {
    println!(
        "{case:<28}{:>10.0}{:>10}{:>10}{:>10}{:>16}",
        measured.rate(),
        measured.p50.as_micros(),
        measured.p99.as_micros(),
        measured.failed,
        cost.map_or("-".into(), |cost| format!("{cost:.1}")),
    );
}

fn verdict(at_goal: &[(Measured, Measured)], most: &[Measured]) {
    for (threads, ((entry, straight), most)) in at_goal.iter().zip(most).enumerate() {
        let room = most.rate() / GOAL_RATE;
        let added = entry.p99.saturating_sub(straight.p99);
        let met = entry.p99 <= GOAL_P99 && entry.failed == 0 && room >= 1.0;
        println!(
            "{} threads: {} at {GOAL_RATE}/s, p99 {:?} of {GOAL_P99:?} (adds {added:?}); \
             carries {room:.1} times the goal",
            threads + 1,
            if met { "met" } else { "missed" },
            entry.p99,
        );
    }
}

fn stream(targets: &[SocketAddr]) {
    let entry = Process::start(view(targets), 1);
    let before = entry.resident_kb();
    let (bytes, took, peak) = load::download(entry.callers, || entry.resident_kb());
    println!(
        "streaming {} MB: whole {}, {:.0} MB/s, resident {} KB before, {} KB at most",
        LARGE_BYTES >> 20,
        bytes == LARGE_BYTES,
        bytes as f64 / 1e6 / took.as_secs_f64(),
        before,
        peak,
    );
}
