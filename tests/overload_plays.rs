//! Loads beyond what the slots serve, played through the decisions of `src/overload` and through the
//! rule before them: what the callers of each class get.

#[path = "support/overload_simulation.rs"]
mod overload_simulation;

use std::time::Duration;

use googletest::prelude::*;

use crate::overload_simulation::Class;
use crate::overload_simulation::Play;
use crate::overload_simulation::Rule;
use crate::overload_simulation::Served;
use crate::overload_simulation::play_seeds;

const CLASS: Class = Class {
    priority: 0,
    rate: 10.0,
    burst: 1.0,
    objective: Duration::from_millis(600),
    timeout: Duration::from_millis(1_500),
    is_storm: false,
};

/// Six slots that serve 60 requests per second.
const PLAY: Play = Play {
    classes: Vec::new(),
    slots: 6,
    in_flight: 9,
    service_ms: 100.0,
    slow_down: 1.0,
    seconds: 18,
};

/// Error of a share in a play.
const NOISE: f64 = 0.02;

/// Plays a load by both rules, prints what callers get, and returns it.
fn compare(name: &str, play: &Play) -> (Vec<Served>, Vec<Served>) {
    let before = play_seeds(play, Rule::Before);
    let queue = play_seeds(play, Rule::Queue);
    for (class, (before, queue)) in before.iter().zip(&queue).enumerate() {
        println!(
            "{name}, class {class}: in time {:.3} -> {:.3}, late {:.3} -> {:.3}, refused {:.3} -> {:.3}",
            before.in_time_share(),
            queue.in_time_share(),
            before.share() - before.in_time_share(),
            queue.share() - queue.in_time_share(),
            1.0 - before.share(),
            1.0 - queue.share(),
        );
    }
    (before, queue)
}

/// Checks that no class gets less without a more urgent one getting more, and that none starves.
/// The classes are ordered from the most urgent one.
fn expect_no_loss(before: &[Served], queue: &[Served]) {
    let mut total = Served::default();
    queue.iter().for_each(|served| total.add(served));
    let mut urgent_gains = false;
    for (before, queue) in before.iter().zip(queue) {
        let gain = queue.in_time_share() - before.in_time_share();
        expect_that!(
            urgent_gains || gain >= -NOISE,
            eq(true),
            "{before:?} {queue:?}"
        );
        urgent_gains |= gain > 0.0;
        expect_that!(queue.share(), ge(total.share() / 4.0), "{queue:?}");
    }
    let shares: Vec<_> = queue.iter().map(Served::share).collect();
    let is_ordered = shares.windows(2).all(|pair| pair[0] >= pair[1] - NOISE);
    expect_that!(is_ordered, eq(true), "{shares:?}");
}

#[googletest::test]
fn burst_of_one_class() {
    for burst_class in 0..3 {
        let class = |priority: u8| Class {
            priority,
            rate: 16.0,
            burst: if priority == burst_class { 2.5 } else { 1.0 },
            ..CLASS
        };
        let play = Play {
            classes: (0..3).map(class).collect(),
            ..PLAY
        };
        let (before, queue) = compare(&format!("burst of class {burst_class}"), &play);
        expect_no_loss(&before, &queue);
    }
}

#[googletest::test]
fn hot_owner() {
    // The mean load of an owner is 0.6 of its slots.
    let play = Play {
        classes: vec![Class {
            rate: 0.6 * 2.4 * 20.0,
            ..CLASS
        }],
        slots: 2,
        in_flight: 3,
        ..PLAY
    };
    let (before, queue) = compare("hot owner", &play);
    expect_no_loss(&before, &queue);
}

#[googletest::test]
fn callers_that_send_again_at_once_do_not_lower_the_service_of_others() {
    let calm = Class {
        rate: 40.0,
        ..CLASS
    };
    let storm = |is_storm: bool| Play {
        classes: vec![
            calm,
            Class {
                is_storm,
                rate: 40.0,
                ..CLASS
            },
        ],
        ..PLAY
    };
    let (_, polite) = compare("all wait for Retry-After", &storm(false));
    let (before, queue) = compare("second class repeats at once", &storm(true));
    expect_that!(
        queue[0].in_time_share(),
        ge(before[0].in_time_share() - NOISE)
    );
    expect_that!(
        queue[0].in_time_share(),
        ge(polite[0].in_time_share() - NOISE)
    );
}

#[googletest::test]
fn mixed_priorities() {
    for load in [0.9, 1.3, 2.0, 3.0] {
        let class = |priority: u8| Class {
            priority,
            rate: load * 60.0 / 4.0,
            ..CLASS
        };
        let play = Play {
            classes: (0..4).map(class).collect(),
            ..PLAY
        };
        let (before, queue) = compare(&format!("four classes at {load}"), &play);
        expect_no_loss(&before, &queue);
    }
}

#[googletest::test]
fn one_priority() {
    for load in [0.9, 1.1, 1.5, 2.5] {
        let play = Play {
            classes: vec![Class {
                rate: load * 60.0,
                ..CLASS
            }],
            ..PLAY
        };
        let (before, queue) = compare(&format!("one class at {load}"), &play);
        expect_no_loss(&before, &queue);
    }
}

#[googletest::test]
fn slow_targets() {
    let class = |priority: u8| Class {
        priority,
        rate: 25.0,
        ..CLASS
    };
    let play = Play {
        classes: vec![class(0), class(1)],
        slow_down: 3.0,
        ..PLAY
    };
    let (before, queue) = compare("slow targets", &play);
    expect_no_loss(&before, &queue);
}
