//! The window of a target that refuses requests: several nodes that do not know each other's load
//! find its limit, follow a step of it, and do not oscillate.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use gooseberryloft::overload::window::SendWindow;

const MS: fn(u64) -> Duration = Duration::from_millis;
/// Slots of the target and the time that it takes for a request.
const SLOTS: u32 = 8;
const SERVICE_MS: u64 = 100;
/// Nodes that send as much as their windows allow.
const NODES: usize = 4;

#[derive(Clone, Copy, Debug, Default)]
struct Sender {
    window: SendWindow,
    in_flight: u32,
}

/// What happened in one period of 500 ms.
#[derive(Clone, Copy, Debug, Default)]
struct Period {
    sent: u32,
    refused: u32,
    served: u32,
}

/// Plays 12 s in which each node has a request ready every `gap_ms` on average; the target accepts
/// `limits(ms)` requests at a time. Returns what happened in each period, and the sum of the windows at
/// its end.
fn play(gap_ms: f64, limits: impl Fn(u64) -> usize) -> Vec<(Period, f64)> {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut senders = [Sender::default(); NODES];
    let mut running: Vec<(u64, usize)> = Vec::new();
    let mut period = Period::default();
    let mut periods = Vec::new();
    for ms in 1..=12_000 {
        let now = start + MS(ms);
        let (ended, left): (Vec<_>, Vec<_>) = running.into_iter().partition(|(at, _)| *at <= ms);
        running = left;
        for (_, node) in ended {
            senders[node].in_flight -= 1;
            senders[node].window.record_response(SLOTS);
            period.served += 1;
        }
        for (node, sender) in senders.iter_mut().enumerate() {
            let wants = rng.random::<f64>() < 1.0 / gap_ms;
            if !wants
                || !sender
                    .window
                    .allows(sender.in_flight, sender.in_flight, now)
            {
                continue;
            }
            period.sent += 1;
            if running.len() >= limits(ms) {
                period.refused += 1;
                sender.window.record_refusal(sender.in_flight, now, now);
                continue;
            }
            sender.in_flight += 1;
            let work = SERVICE_MS as f64 * (0.5 + rng.random::<f64>());
            running.push((ms + work as u64, node));
        }
        if ms % 500 == 0 {
            let sizes = senders.iter().filter_map(|s| s.window.size(now));
            periods.push((std::mem::take(&mut period), sizes.sum()));
        }
    }
    periods
}

fn print(name: &str, periods: &[(Period, f64)]) {
    println!("{name}: end of period, sent, refused, served, sum of windows");
    for (index, (period, windows)) in periods.iter().enumerate() {
        let Period {
            sent,
            refused,
            served,
        } = period;
        println!(
            "{:>6} ms {sent:>4} {refused:>4} {served:>4} {windows:>6.1}",
            (index + 1) * 500
        );
    }
}

fn refused_share(periods: &[(Period, f64)]) -> f64 {
    let refused: u32 = periods.iter().map(|(period, _)| period.refused).sum();
    let sent: u32 = periods.iter().map(|(period, _)| period.sent).sum();
    f64::from(refused) / f64::from(sent.max(1))
}

/// Guards against windows that overshoot in turn, and against targets that stay at a low load after an
/// overload has ended.
#[googletest::test]
fn step_response_settles_without_oscillation() {
    // The target accepts 12 requests at a time, 4 from 4 to 8 s, then 12 again.
    let limits = |ms| match ms {
        4_000..8_000 => 4,
        _ => 12,
    };
    let periods = play(20.0, limits);
    print("limit 12, 4, 12", &periods);
    // After 2 s for settling, the windows stay within a band.
    for range in [4..8, 12..16, 20..24] {
        let settled = &periods[range];
        let sizes: Vec<f64> = settled.iter().map(|(_, size)| *size).collect();
        let mean = sizes.iter().sum::<f64>() / sizes.len() as f64;
        expect_that!(sizes, each(all!(gt(&(0.7 * mean)), lt(&(1.3 * mean)))));
        expect_that!(refused_share(settled), lt(0.2));
    }
    // 12 in flight for 100 ms each are 60 a period, 4 are 20.
    let served = |range: std::ops::Range<usize>| {
        let count: u32 = periods[range].iter().map(|(period, _)| period.served).sum();
        f64::from(count) / 4.0
    };
    expect_that!(served(4..8), gt(0.75 * 60.0));
    expect_that!(served(12..16), gt(0.7 * 20.0));
    expect_that!(served(20..24), gt(0.75 * 60.0));
}

#[googletest::test]
fn a_target_that_refuses_nothing_has_no_window() {
    let periods = play(20.0, |_| usize::MAX);
    expect_that!(refused_share(&periods), eq(0.0));
    expect_that!(periods.iter().all(|(_, windows)| *windows == 0.0), eq(true));
}

#[googletest::test]
fn refusals_of_requests_sent_together_lower_the_window_once() {
    let start = Instant::now();
    let mut window = SendWindow::default();
    window.record_refusal(9, start, start + MS(5));
    let size = window.size(start + MS(5));
    window.record_refusal(8, start, start + MS(6));
    window.record_refusal(7, start + MS(1), start + MS(7));
    expect_that!(window.size(start + MS(7)), eq(size));
    expect_that!(size, some(eq(8.5)));
}

/// Guards against nodes that never send to a target again whose known load comes from other nodes.
#[googletest::test]
fn a_node_without_requests_in_flight_probes_ever_less_often() {
    let start = Instant::now();
    let mut window = SendWindow::default();
    let mut delays = Vec::new();
    let mut now = start;
    for _ in 0..4 {
        window.record_refusal(5, now, now);
        let delay = (0..4_000).find(|ms| window.allows(0, 20, now + MS(*ms)));
        let delay = delay.expect("it sends again");
        delays.push(delay);
        now += MS(delay);
    }
    expect_that!(delays, eq(&vec![60, 120, 240, 480]));
}
