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
    table_health.record_failure(now + MS(1_950));
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
fn a_leader_keeps_leading_when_another_node_is_first_to_read_after_an_outage() {
    let now = Instant::now();
    let mut table_health = TableHealth::default();
    table_health.record_failure(now);
    // This call began in the outage; the other node's read was answered meanwhile.
    table_health.record_failure(now + MS(8_000));
    expect_that!(
        table_health.should_step_down(Some(now + MS(7_900))),
        eq(false)
    );
    table_health.record_success();
    expect_that!(
        table_health.should_step_down(Some(now + MS(9_000))),
        eq(false)
    );
}

#[googletest::test]
fn reads_by_other_nodes_that_continue_do_not_put_off_the_step_down() {
    let now = Instant::now();
    let mut table_health = TableHealth::default();
    table_health.record_failure(now);
    for period in 0..10 {
        let at = now + MS(1_000 + 300 * period);
        table_health.record_failure(at);
        let steps_down = table_health.should_step_down(Some(at));
        expect_that!(steps_down, eq(period >= 3));
    }
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
