//! A node with outdated rules requests newer ones, even if other nodes are outdated too.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::node::rules_lag::RulesLag;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[googletest::test]
fn a_node_requests_rules_once_peers_have_been_ahead_for_a_while() {
    let now = Instant::now();
    let mut lag = RulesLag::default();
    expect_that!(lag.observe(5, 4, true, now), eq(false));
    expect_that!(lag.observe(5, 4, true, now + MS(450)), eq(true));
    expect_that!(lag.observe(5, 4, true, now + MS(500)), eq(false));
    expect_that!(lag.observe(5, 4, true, now + MS(900)), eq(true));
}

#[googletest::test]
fn a_peer_with_outdated_rules_does_not_reset_the_lag() {
    let now = Instant::now();
    let mut lag = RulesLag::default();
    expect_that!(lag.observe(5, 4, true, now), eq(false));
    expect_that!(lag.observe(4, 4, true, now + MS(200)), eq(false));
    expect_that!(lag.observe(5, 4, true, now + MS(450)), eq(true));
}

#[googletest::test]
fn a_node_with_the_newest_rules_requests_nothing() {
    let now = Instant::now();
    let mut lag = RulesLag::default();
    lag.observe(5, 4, true, now);
    expect_that!(lag.observe(5, 5, true, now + MS(300)), eq(false));
    expect_that!(lag.observe(4, 5, true, now + MS(900)), eq(false));
}

#[googletest::test]
fn a_node_without_a_pending_call_requests_rules_sooner() {
    let now = Instant::now();
    let mut lag = RulesLag::default();
    expect_that!(lag.observe(5, 4, false, now), eq(false));
    expect_that!(lag.observe(5, 4, false, now + MS(150)), eq(true));
    expect_that!(lag.observe(5, 4, false, now + MS(200)), eq(false));
}
