//! A leader whose calls to the table fail gives way to a node whose calls succeed, but keeps
//! leading while the table is unavailable to all nodes.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::node::keys::table_health::TableHealth;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[googletest::test]
fn a_leader_gives_way_once_another_node_reads_the_table_and_it_cannot() {
    let now = Instant::now();
    let mut table_health = TableHealth::default();
    table_health.record_failure(now);
    table_health.record_failure(now + MS(700));
    expect_that!(
        table_health.should_step_down(Some(now + MS(999))),
        eq(false)
    );
    expect_that!(
        table_health.should_step_down(Some(now + MS(1_000))),
        eq(true)
    );
}

#[googletest::test]
fn a_leader_keeps_leading_while_no_node_reaches_the_table() {
    let now = Instant::now();
    let mut table_health = TableHealth::default();
    table_health.record_failure(now);
    expect_that!(table_health.should_step_down(None), eq(false));
    expect_that!(table_health.should_step_down(Some(now)), eq(false));
}

#[googletest::test]
fn a_single_successful_call_resets_the_failures() {
    let now = Instant::now();
    let mut table_health = TableHealth::default();
    table_health.record_failure(now);
    table_health.record_success();
    expect_that!(table_health.is_failing(), eq(false));
    expect_that!(
        table_health.should_step_down(Some(now + MS(5_000))),
        eq(false)
    );
    table_health.record_failure(now + MS(4_500));
    expect_that!(
        table_health.should_step_down(Some(now + MS(5_000))),
        eq(false)
    );
}
