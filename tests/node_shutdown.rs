//! The stages of a node's graceful shutdown.

use std::time::Duration;

use googletest::prelude::*;

use gooseberryloft::node::control::run::accepting_time;

#[googletest::test]
fn a_node_accepts_requests_for_half_of_a_short_grace_period() {
    let accepting = accepting_time(Duration::from_secs(4));
    expect_that!(accepting, eq(Duration::from_secs(2)));
}

#[googletest::test]
fn a_node_accepts_requests_for_no_longer_than_three_seconds() {
    for grace in [6, 10, 60].map(Duration::from_secs) {
        expect_that!(accepting_time(grace), eq(Duration::from_secs(3)));
    }
}
