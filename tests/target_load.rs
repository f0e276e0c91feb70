//! The load that targets report: parsing, age, and the step response of nodes that use it.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::target_load::LOAD_VALIDITY;
use gooseberryloft::target_load::ObservedLoad;
use gooseberryloft::target_load::PACE_VALIDITY;
use gooseberryloft::target_load::StatedLoad;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn load(requests: u16) -> StatedLoad {
    StatedLoad {
        requests,
        pace: 100,
    }
}

#[googletest::test]
fn a_load_has_three_or_four_figures() {
    let parsed = "3, 2,4,250".parse::<StatedLoad>();
    expect_that!(
        parsed,
        ok(eq(&StatedLoad {
            requests: 5,
            pace: 250
        }))
    );
    expect_that!("1,0,4".parse::<StatedLoad>(), ok(eq(&load(1))));
    for invalid in [
        "",
        "3",
        "1,2",
        "1,2,3,4,5",
        "a,0,4",
        "-1,0,4",
        "1,0,4,nan",
        "1,0,inf",
    ] {
        expect_that!(invalid.parse::<StatedLoad>(), err(anything()), "{invalid}");
    }
}

#[googletest::test]
fn a_value_that_occurs_twice_is_invalid() {
    let fields = |values: &'static [&'static str]| {
        StatedLoad::from_field(values.iter().map(|value| value.as_bytes()))
    };
    expect_that!(fields(&[]), none());
    expect_that!(fields(&["1,0,4"]), some(ok(anything())));
    expect_that!(fields(&["1,0,4", "1,0,4"]), some(err(anything())));
}

#[googletest::test]
fn requests_sent_since_a_report_count() {
    let (observed, now) = (ObservedLoad::default(), Instant::now());
    observed.record_sent(now);
    observed.record(load(3), now + MS(10));
    expect_that!(observed.requests(now + MS(20)), some(eq(3)));
    observed.record_sent(now + MS(30));
    expect_that!(observed.requests(now + MS(40)), some(eq(4)));
}

#[googletest::test]
fn an_old_report_is_not_used() {
    let (observed, now) = (ObservedLoad::default(), Instant::now());
    observed.record(load(3), now);
    expect_that!(observed.pace(now + PACE_VALIDITY), none());
    expect_that!(observed.requests(now + PACE_VALIDITY), some(anything()));
    expect_that!(observed.requests(now + LOAD_VALIDITY), none());
}

#[googletest::test]
fn an_older_report_of_another_node_replaces_nothing() {
    let (observed, now) = (ObservedLoad::default(), Instant::now());
    observed.record(load(3), now);
    observed.merge(load(9), now - MS(1));
    expect_that!(observed.requests(now), some(eq(3)));
    observed.merge(load(9), now + MS(1));
    expect_that!(observed.requests(now + MS(1)), some(eq(9)));
}

#[googletest::test]
fn each_report_is_passed_on_once_and_only_by_its_reader() {
    let (observed, now) = (ObservedLoad::default(), Instant::now());
    observed.merge(load(9), now);
    expect_that!(observed.take_unsent(now), none());
    observed.record(load(3), now + MS(1));
    expect_that!(
        observed.take_unsent(now + MS(5)),
        some(eq((load(3), MS(4))))
    );
    expect_that!(observed.take_unsent(now + MS(5)), none());
}

const NODES: usize = 20;
const SLOTS: usize = 3;
/// Requests that the target queues before it refuses.
const QUEUE: usize = 12;
/// Load up to which nodes send.
const ROOM: u32 = 7;
const SERVICE_TIME: Duration = Duration::from_millis(110);
/// Period in which nodes pass reports on.
const PERIOD_MS: u64 = 300;

/// What the target did in one second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    served: usize,
    refused: usize,
    max_load: usize,
}

/// Plays a target to which nodes send by its reports, with `demand` requests a second in each second.
fn play(demand: &[u64]) -> Vec<Second> {
    let start = Instant::now();
    let nodes: Vec<_> = (0..NODES).map(|_| ObservedLoad::default()).collect();
    let mut requests: VecDeque<(usize, Option<Instant>)> = VecDeque::new();
    let mut seconds = vec![Second::default(); demand.len()];
    let (mut arrivals, mut next_node) = (0, 0);
    for ms in 0..1_000 * demand.len() as u64 {
        let now = start + MS(ms);
        let second = &mut seconds[(ms / 1_000) as usize];
        while let Some((node, Some(end))) = requests.front().copied()
            && end <= now
        {
            requests.pop_front();
            second.served += 1;
            nodes[node].record(load(requests.len() as u16), now);
        }
        for (_, end) in requests.iter_mut().take(SLOTS) {
            end.get_or_insert(now + SERVICE_TIME);
        }
        arrivals += demand[(ms / 1_000) as usize];
        while arrivals >= 1_000 {
            arrivals -= 1_000;
            next_node = (next_node + 7) % NODES;
            let node = &nodes[next_node];
            if node.requests(now).is_some_and(|load| load >= ROOM) {
                continue;
            }
            node.record_sent(now);
            if requests.len() >= SLOTS + QUEUE {
                second.refused += 1;
                node.record(load(requests.len() as u16), now);
            } else {
                requests.push_back((next_node, None));
            }
        }
        second.max_load = second.max_load.max(requests.len());
        if ms % PERIOD_MS == 0 {
            exchange(&nodes, now);
        }
    }
    seconds
}

fn exchange(nodes: &[ObservedLoad], now: Instant) {
    for (at, node) in nodes.iter().enumerate() {
        let Some((load, age)) = node.take_unsent(now) else {
            continue;
        };
        let others = nodes.iter().enumerate().filter(|(other, _)| *other != at);
        others.for_each(|(_, other)| other.merge(load, now - age));
    }
}

// Nodes that all react to the same outdated report would send in bursts and stop in turn.
#[googletest::test]
fn a_load_step_of_three_times_neither_idles_nor_floods_the_target() {
    let capacity = SLOTS as f64 / SERVICE_TIME.as_secs_f64();
    let seconds = play(&[20, 20, 60, 60, 60, 60, 20, 20]);
    for (number, second) in seconds.iter().enumerate() {
        println!("second {number}: {second:?}");
    }
    for second in &seconds[3..6] {
        expect_that!(second.served as f64, ge(0.9 * capacity));
    }
    for second in &seconds[..2] {
        expect_that!(second.refused, eq(0));
    }
    let refused: usize = seconds[3..6].iter().map(|second| second.refused).sum();
    let served: usize = seconds[3..6].iter().map(|second| second.served).sum();
    expect_that!(refused as f64, le(0.1 * served as f64));
    expect_that!(seconds[7].max_load, le(ROOM as usize));
}
