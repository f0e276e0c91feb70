//! Selection of the target for a request.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::ids::DataCentre;
use gooseberryloft::ids::ServiceId;
use gooseberryloft::ids::TargetId;
use gooseberryloft::node::fleet::Fleet;
use gooseberryloft::node::fleet::Target;
use gooseberryloft::node::fleet::TargetEntry;
use gooseberryloft::node::pick::PickContext;
use gooseberryloft::node::pick::choose;
use gooseberryloft::node::rules::RequestKind;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn fleet(targets: &[(&str, &str)]) -> Fleet {
    let entry = |(id, data_centre): &(&str, &str)| TargetEntry {
        id: TargetId::from(*id),
        incarnation: 1,
        service: ServiceId::from("desk"),
        address: "127.0.0.1:80".parse().expect("an address"),
        data_centre: DataCentre::from(*data_centre),
        slots: 2,
        draining: false,
        warm_up: Duration::ZERO,
    };
    let mut fleet = Fleet::default();
    fleet.replace(targets.iter().map(entry).collect(), Instant::now());
    fleet
}

fn targets(fleet: &Fleet) -> &[Rc<Target>] {
    fleet.of(&ServiceId::from("desk"))
}

fn pick(fleet: &Fleet, kind: RequestKind, tried: &[TargetId]) -> Option<String> {
    pick_with(fleet, kind, tried, false)
}

fn pick_with(
    fleet: &Fleet,
    kind: RequestKind,
    tried: &[TargetId],
    has_cold_start: bool,
) -> Option<String> {
    let home = DataCentre::from("a");
    let context = PickContext {
        now: Instant::now(),
        data_centre: &home,
        kind,
        objective: MS(600),
        tried,
        has_cold_start,
        max_connections: 10,
    };
    let chosen = choose(targets(fleet), &context, || 0.0)?;
    Some(chosen.entry.id.as_str().to_owned())
}

#[googletest::test]
fn a_target_without_latency_samples_is_tried() {
    let fleet = fleet(&[("old", "a"), ("new", "a")]);
    targets(&fleet)[0].record_response(MS(100), false);
    expect_that!(pick(&fleet, RequestKind::Safe, &[]), some(eq("new")));
}

#[googletest::test]
fn downloads_stay_in_the_data_centre_while_there_is_capacity() {
    let fleet = fleet(&[("near", "a"), ("far", "b")]);
    targets(&fleet)[0].in_flight.set(2);
    expect_that!(pick(&fleet, RequestKind::Download, &[]), some(eq("near")));
    expect_that!(pick(&fleet, RequestKind::Safe, &[]), some(eq("far")));
}

#[googletest::test]
fn a_target_is_not_selected_twice() {
    let fleet = fleet(&[("one", "a"), ("two", "a")]);
    let tried = [TargetId::from("one")];
    expect_that!(pick(&fleet, RequestKind::Safe, &tried), some(eq("two")));
    let both = [TargetId::from("one"), TargetId::from("two")];
    expect_that!(pick(&fleet, RequestKind::Safe, &both), none());
}

#[googletest::test]
fn unsafe_requests_avoid_ejected_targets() {
    let fleet = fleet(&[("one", "a")]);
    let target = &targets(&fleet)[0];
    target.record_failure(Instant::now());
    target.record_failure(Instant::now());
    expect_that!(pick(&fleet, RequestKind::Unsafe, &[]), none());
    expect_that!(pick(&fleet, RequestKind::Safe, &[]), some(eq("one")));
}

#[googletest::test]
fn a_full_target_gets_no_requests() {
    let fleet = fleet(&[("one", "a")]);
    targets(&fleet)[0].peer_in_flight.set(3);
    expect_that!(pick(&fleet, RequestKind::Safe, &[]), none());
}

// Guards against a retry or a hedged request that goes to a target which tolerates few, because it costs less.
#[googletest::test]
fn a_repeat_goes_to_a_cold_target_only_if_no_warm_one_has_capacity() {
    let fleet = fleet(&[("warm", "b"), ("cold", "a"), ("tried", "a")]);
    targets(&fleet)[0].record_response(MS(900), false);
    targets(&fleet)[1].record_response(MS(100), false);
    targets(&fleet)[1].record_cold(Instant::now() + MS(60_000));
    let tried = [TargetId::from("tried")];
    let repeat = |has_cold_start| pick_with(&fleet, RequestKind::Safe, &tried, has_cold_start);
    expect_that!(repeat(false), some(eq("cold")));
    expect_that!(repeat(true), some(eq("warm")));
    targets(&fleet)[0].peer_in_flight.set(9);
    expect_that!(repeat(true), some(eq("cold")));
}
