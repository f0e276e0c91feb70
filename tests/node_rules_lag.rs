//! A node with outdated rules requests newer ones, even if other nodes are outdated too.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::node::rules_lag::RereadPause;
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

#[googletest::test]
fn a_node_does_not_use_up_the_tables_calls_while_the_table_has_no_newer_rules() {
    // 2,000 calls a second for 295 nodes.
    const MAX_READS_PER_SECOND: usize = 6;
    let now = Instant::now();
    let mut lag = RulesLag::default();
    let mut pause = RereadPause::default();
    let mut reads = Vec::new();
    for ms in (0..10_000).step_by(20) {
        let at = now + MS(ms);
        if lag.observe(5, 4, false, at) && pause.is_over(at) {
            pause.record_read(false, at);
            reads.push(ms);
        }
    }
    expect_that!(reads.len(), le(10 * MAX_READS_PER_SECOND));
    // `config_apply_ms`: rules that are published again are in force in time.
    let longest = reads.windows(2).map(|pair| pair[1] - pair[0]).max();
    expect_that!(longest, some(lt(2_000)));
    pause.record_read(true, now);
    expect_that!(pause.is_over(now), eq(true));
}
