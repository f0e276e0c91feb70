//! Pauses that targets ask for by `Retry-After`.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::node::pause::MAX_PAUSE;
use gooseberryloft::node::pause::PauseState;
use gooseberryloft::node::pause::pause_from_field;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn decode(values: &[&str]) -> Option<Option<Duration>> {
    let values = values.iter().map(|value| value.as_bytes());
    pause_from_field(values).map(std::result::Result::ok)
}

#[googletest::test]
fn seconds_may_have_fractions_and_are_bounded() {
    expect_that!(decode(&["0.25"]), some(some(eq(MS(250)))));
    expect_that!(decode(&[" 2 "]), some(some(eq(MS(2_000)))));
    expect_that!(decode(&["86400"]), some(some(eq(MAX_PAUSE))));
    expect_that!(decode(&["1e300"]), some(some(eq(MAX_PAUSE))));
    expect_that!(decode(&[]), none());
    for values in [
        &["-1"][..],
        &["inf"],
        &["NaN"],
        &[""],
        &["soon"],
        &["1", "1"],
    ] {
        expect_that!(decode(values), some(none()), "{values:?}");
    }
}

#[googletest::test]
fn the_pause_that_ends_last_counts() {
    let now = Instant::now();
    let state = PauseState::default();
    expect_that!(state.record(MS(2_000), now, 0.0), eq(true));
    expect_that!(state.record(MS(500), now + MS(100), 0.0), eq(false));
    expect_that!(state.until(now + MS(1_999)), some(eq(now + MS(2_000))));
    expect_that!(state.take_end(now + MS(1_999)), eq(false));
    expect_that!(state.until(now + MS(2_000)), none());
    expect_that!(state.take_end(now + MS(2_000)), eq(true));
    expect_that!(state.take_end(now + MS(2_000)), eq(false));
}

#[googletest::test]
fn nodes_return_at_different_times_and_none_too_early() {
    let now = Instant::now();
    let ends = [0.0, 0.5, 1.0].map(|random| {
        let state = PauseState::default();
        state.record(MS(1_000), now, random);
        state.until(now).map(|until| until - now)
    });
    expect_that!(ends[0], some(eq(MS(1_000))));
    expect_that!(ends[1], some(all!(gt(MS(1_000)), lt(MS(1_250)))));
    expect_that!(ends[2], some(eq(MS(1_250))));
}
