//! Updates of the list of targets: joining, leaving, and disappearing during an outage.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::ids::DataCentre;
use gooseberryloft::ids::ServiceId;
use gooseberryloft::ids::TargetId;
use gooseberryloft::node::fleet::Fleet;
use gooseberryloft::node::fleet::FleetChange;
use gooseberryloft::node::fleet::TargetEntry;
use gooseberryloft::node::fleet::TargetUpdate;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn entry(id: &str, incarnation: u64) -> TargetEntry {
    TargetEntry {
        id: TargetId::from(id),
        incarnation,
        service: ServiceId::from("desk"),
        address: "127.0.0.1:80".parse().expect("an address"),
        data_centre: DataCentre::from("a"),
        slots: 4,
        draining: false,
        warm_up: Duration::ZERO,
    }
}

fn removal(id: &str) -> Vec<TargetUpdate> {
    vec![TargetUpdate::Absent(TargetId::from(id))]
}

fn fleet(now: Instant) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.replace(vec![entry("a", 1), entry("b", 1)], now);
    fleet
}

fn contains(fleet: &Fleet, id: &str) -> bool {
    fleet.get(&TargetId::from(id)).is_some()
}

#[googletest::test]
fn a_target_removed_from_the_list_is_dropped_immediately() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let changes = fleet.update(removal("a"), now);
    expect_that!(
        changes,
        elements_are![eq(&(TargetId::from("a"), FleetChange::Gone))]
    );
    expect_that!(contains(&fleet, "a"), eq(false));
}

#[googletest::test]
fn a_target_that_disappeared_in_an_outage_stays_for_the_grace_period() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.record_list_failure(now);
    fleet.update(removal("a"), now + MS(500));
    expect_that!(contains(&fleet, "a"), eq(true));
    fleet.expire(now + MS(1_500));
    expect_that!(contains(&fleet, "a"), eq(true));
    fleet.expire(now + MS(2_100));
    expect_that!(contains(&fleet, "a"), eq(false));
}

#[googletest::test]
fn a_target_missing_late_after_an_outage_is_dropped_within_three_seconds_of_it() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.record_list_failure(now);
    fleet.update(removal("a"), now + MS(1_800));
    fleet.expire(now + MS(2_000));
    expect_that!(contains(&fleet, "a"), eq(false));
}

#[googletest::test]
fn a_target_listed_again_after_an_outage_stays() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.record_list_failure(now);
    fleet.update(removal("a"), now + MS(100));
    fleet.update(vec![TargetUpdate::Present(entry("a", 1))], now + MS(900));
    fleet.expire(now + MS(5_000));
    expect_that!(contains(&fleet, "a"), eq(true));
}

#[googletest::test]
fn a_leaving_target_that_disappears_in_an_outage_is_dropped() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let mut leaving = entry("a", 1);
    leaving.draining = true;
    fleet.update(vec![TargetUpdate::Present(leaving)], now);
    fleet.record_list_failure(now);
    fleet.update(removal("a"), now + MS(100));
    expect_that!(contains(&fleet, "a"), eq(false));
}

#[googletest::test]
fn a_restarted_target_starts_without_failures() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let old = fleet.get(&TargetId::from("a")).expect("a target").clone();
    old.record_failure(now);
    fleet.update(vec![TargetUpdate::Present(entry("a", 2))], now);
    let new = fleet.get(&TargetId::from("a")).expect("a target");
    expect_that!(new.failure_rate(), eq(0.0));
    expect_that!(old.leaving.get(), eq(true));
}

#[googletest::test]
fn digests_ignore_the_order_and_change_with_departures() {
    let now = Instant::now();
    let mut one = Fleet::default();
    let mut two = Fleet::default();
    one.replace(vec![entry("a", 1), entry("b", 1)], now);
    two.replace(vec![entry("b", 1), entry("a", 1)], now);
    expect_that!(one.digest(), eq(two.digest()));
    two.update(removal("a"), now);
    expect_that!(two.digest().staying, lt(one.digest().staying));
}

fn draining(id: &str, incarnation: u64) -> TargetEntry {
    TargetEntry {
        draining: true,
        ..entry(id, incarnation)
    }
}

fn is_usable(fleet: &Fleet, id: &str) -> bool {
    let target = fleet.get(&TargetId::from(id));
    target.is_some_and(|target| !target.leaving.get())
}

#[googletest::test]
fn a_process_that_is_leaving_does_not_return() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.update(vec![TargetUpdate::Present(draining("a", 1))], now);
    fleet.record_restore(now + MS(1_000));
    fleet.replace(vec![entry("a", 1), entry("b", 1)], now + MS(1_000));
    expect_that!(is_usable(&fleet, "a"), eq(false));
    // It was removed, and is back in restored data.
    fleet.update(removal("a"), now + MS(2_000));
    fleet.record_restore(now + MS(3_000));
    fleet.replace(vec![entry("a", 1), entry("b", 1)], now + MS(3_000));
    fleet.expire(now + MS(20_000));
    expect_that!(is_usable(&fleet, "a"), eq(false));
    // Another process under the same name is used.
    fleet.update(vec![TargetUpdate::Present(entry("a", 2))], now + MS(20_000));
    expect_that!(is_usable(&fleet, "a"), eq(true));
}

#[googletest::test]
fn a_target_that_left_is_used_again_only_if_restored_data_goes_on_listing_it() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.update(removal("a"), now);
    fleet.record_restore(now + MS(1_000));
    fleet.replace(vec![entry("a", 1), entry("b", 1)], now + MS(1_000));
    fleet.expire(now + MS(3_500));
    expect_that!(is_usable(&fleet, "a"), eq(false));
    fleet.expire(now + MS(6_000));
    expect_that!(is_usable(&fleet, "a"), eq(true));
}

#[googletest::test]
fn a_target_that_left_and_writes_its_entry_again_is_used_at_once() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.update(removal("a"), now);
    fleet.record_restore(now + MS(1_000));
    fleet.replace(vec![entry("a", 1), entry("b", 1)], now + MS(1_000));
    fleet.update(vec![TargetUpdate::Present(entry("a", 1))], now + MS(1_200));
    expect_that!(is_usable(&fleet, "a"), eq(true));
}

#[googletest::test]
fn an_entry_that_disappears_from_restored_data_is_never_used() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.update(removal("a"), now);
    fleet.record_restore(now + MS(1_000));
    fleet.replace(vec![entry("a", 1), entry("b", 1)], now + MS(1_000));
    fleet.update(removal("a"), now + MS(3_000));
    fleet.expire(now + MS(6_000));
    expect_that!(contains(&fleet, "a"), eq(false));
}

#[googletest::test]
fn an_earlier_process_in_restored_data_does_not_replace_a_later_one() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.update(vec![TargetUpdate::Present(entry("a", 5))], now);
    fleet.record_restore(now + MS(1_000));
    fleet.replace(vec![entry("a", 1), entry("b", 1)], now + MS(1_000));
    let later = fleet.get(&TargetId::from("a")).expect("a target").clone();
    expect_that!(later.entry.incarnation, eq(5));
    fleet.update(vec![TargetUpdate::Present(entry("a", 5))], now + MS(2_000));
    fleet.expire(now + MS(6_000));
    expect_that!(is_usable(&fleet, "a"), eq(true));
    expect_that!(later.leaving.get(), eq(false));
}

#[googletest::test]
fn a_target_that_restored_data_does_not_list_stays_for_the_grace_period() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    fleet.record_restore(now);
    fleet.replace(vec![entry("b", 1)], now);
    fleet.expire(now + MS(1_500));
    expect_that!(is_usable(&fleet, "a"), eq(true));
    fleet.expire(now + MS(2_000));
    expect_that!(contains(&fleet, "a"), eq(false));
    // It registers again late.
    fleet.replace(vec![entry("a", 1), entry("b", 1)], now + MS(3_000));
    expect_that!(is_usable(&fleet, "a"), eq(true));
}

#[googletest::test]
fn nodes_that_read_the_same_restored_list_have_the_same_digest() {
    let now = Instant::now();
    let mut old = fleet(now);
    old.update(
        vec![
            TargetUpdate::Present(draining("b", 1)),
            TargetUpdate::Absent(TargetId::from("a")),
        ],
        now,
    );
    old.record_restore(now);
    old.replace(vec![entry("a", 1), entry("b", 1)], now);
    expect_that!(old.digest(), eq(fleet(now).digest()));
}

#[googletest::test]
fn a_process_that_said_that_it_leaves_is_not_taken_back_by_a_list_that_says_ready() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let target = fleet.get(&TargetId::from("a")).expect("a target").clone();
    expect_that!(target.record_leaving(), eq(true));
    expect_that!(target.record_leaving(), eq(false));
    fleet.update(vec![TargetUpdate::Present(entry("a", 1))], now);
    fleet.replace(vec![entry("a", 1), entry("b", 1)], now);
    expect_that!(target.leaving.get(), eq(true));
    expect_that!(contains(&fleet, "a"), eq(true));
}

#[googletest::test]
fn a_later_process_with_the_id_of_one_that_said_that_it_leaves_is_used() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let old = fleet.get(&TargetId::from("a")).expect("a target").clone();
    old.record_leaving();
    fleet.update(vec![TargetUpdate::Present(entry("a", 2))], now);
    let new = fleet.get(&TargetId::from("a")).expect("a target");
    expect_that!(new.leaving.get(), eq(false));
    expect_that!(new.announced_leaving.get(), eq(false));
}

// Guards against a process that becomes cold again, and whose entry is ignored because it is listed already.
#[googletest::test]
fn a_listed_process_that_becomes_cold_again_is_cold() {
    let now = Instant::now();
    let mut fleet = fleet(now);
    let cold = |left| TargetEntry {
        warm_up: left,
        ..entry("a", 1)
    };
    let mut update = |left, at| fleet.update(vec![TargetUpdate::Present(cold(left))], now + at);
    let change = (TargetId::from("a"), FleetChange::Cold);
    expect_that!(update(MS(3_000), MS(0)), elements_are![eq(&change)]);
    expect_that!(update(MS(2_100), MS(870)), is_empty());
    expect_that!(update(MS(3_000), MS(6_000)), elements_are![eq(&change)]);
    let target = fleet.get(&TargetId::from("a")).expect("it is listed");
    expect_that!(target.is_warming_up(now + MS(8_999)), eq(true));
    expect_that!(target.is_warming_up(now + MS(9_000)), eq(false));
}
