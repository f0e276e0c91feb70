//! How a leader moves keys out of an evacuated data centre.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::ids::TargetId;
use gooseberryloft::node::keys::key_load::KeyLoad;
use gooseberryloft::node::keys::leader::Action;
use gooseberryloft::node::keys::leader::Command;
use gooseberryloft::node::keys::leader::Inherited;
use gooseberryloft::node::keys::leader::Leader;
use gooseberryloft::node::keys::leader::Order;
use gooseberryloft::node::keys::leader::OrderOutcome;
use gooseberryloft::node::keys::leader::OrderReply;
use gooseberryloft::node::keys::map::Holder;
use gooseberryloft::node::keys::map::KeyMap;
use gooseberryloft::node::keys::map::KeyRange;
use gooseberryloft::node::keys::map::MapVersion;
use gooseberryloft::node::keys::map::Ownership;
use gooseberryloft::node::keys::plan::Candidate;
use gooseberryloft::node::keys::plan::GrantScope;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn process(target: &str) -> Holder {
    Holder {
        id: TargetId::from(target),
        incarnation: 1,
    }
}

fn candidate(target: &str, grants: GrantScope) -> Candidate {
    Candidate {
        holder: process(target),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        capacity: 4.0,
        leaving: grants != GrantScope::All,
        grants,
        on_probation: false,
        cold: false,
        proven: true,
    }
}

/// Returns the candidates t0, which may be given these grants, t1 and t2.
fn candidates(grants: GrantScope) -> [Candidate; 3] {
    let open = |target| candidate(target, GrantScope::All);
    [candidate("t0", grants), open("t1"), open("t2")]
}

/// Returns a leader that continues from a map in which t0 owns ranges that begin at these keys.
fn leader_of(starts: &[u16], now: Instant) -> Leader {
    let ends = starts[1..].iter().map(|start| start - 1).chain([u16::MAX]);
    let ranges = starts.iter().zip(ends).map(|(&first, last)| Ownership {
        range: KeyRange { first, last },
        owner: Some(process("t0")),
        prior: None,
    });
    let map = KeyMap {
        version: MapVersion { term: 1, number: 1 },
        max_grant_ms: Some(2_500),
        ranges: ranges.collect(),
    };
    Leader::new(2, Inherited::Map(&map), MS(10_000), now)
}

fn written(actions: &[Action]) -> Option<&KeyMap> {
    actions.iter().find_map(|action| match action {
        Action::Write(map) => Some(map),
        _ => None,
    })
}

fn orders(actions: Vec<Action>) -> Vec<Order> {
    let order = |action| match action {
        Action::Send(order) => Some(order),
        _ => None,
    };
    actions.into_iter().filter_map(order).collect()
}

/// Accepts the orders that the leader sends in a tick; returns whether they are grants.
fn accept(leader: &mut Leader, candidates: &[Candidate], now: Instant) -> Vec<bool> {
    let sent = orders(leader.tick(now, candidates, &KeyLoad::new(now)));
    for order in &sent {
        let reply = OrderReply {
            handover: None,
            opened: now,
        };
        leader.order_ended(order.id, OrderOutcome::Done(reply), now);
    }
    let is_grant = |order: &Order| order.command != Command::Release;
    sent.iter().map(is_grant).collect()
}

// In the order of the keys, t1 would get the first and the last range, and more than half of the load.
#[googletest::test]
fn the_busiest_ranges_get_the_targets_with_the_most_room() {
    let now = Instant::now() + MS(1_000_000);
    let mut load = KeyLoad::new(now);
    for (key, requests) in [(5, 10), (15, 50), (25, 100)] {
        load.add(key, requests);
    }
    let mut leader = leader_of(&[0, 10, 20], now);
    let actions = leader.tick(now, &candidates(GrantScope::Renewals), &load);
    let map = written(&actions).expect("a map");
    let owners = [5, 15, 25].map(|key| {
        let mut ranges = map.ranges.iter();
        let range = ranges.find(|entry| entry.range.first <= key && key <= entry.range.last);
        range.and_then(|entry| entry.owner.clone())
    });
    expect_that!(owners, eq(&["t2", "t2", "t1"].map(|id| Some(process(id)))));
    expect_that!(orders(actions), is_empty());
}

#[googletest::test]
fn moves_that_have_begun_are_finished_when_the_evacuation_is_withdrawn() {
    let now = Instant::now() + MS(1_000_000);
    let mut leader = leader_of(&[0], now);
    accept(&mut leader, &candidates(GrantScope::All)[..1], now);
    let actions = leader.tick(
        now,
        &candidates(GrantScope::Renewals)[..2],
        &KeyLoad::new(now),
    );
    let version = written(&actions).expect("a map").version;
    leader.map_write_ended(version, true);
    let open = candidates(GrantScope::All);
    expect_that!(accept(&mut leader, &open[..2], now), eq(&[false]));
    expect_that!(accept(&mut leader, &open[..2], now), eq(&[true]));
    expect_that!(leader.map().ranges[0].owner, some(eq(&process("t1"))));
}

#[googletest::test]
fn moves_that_have_not_begun_are_not_started_when_the_evacuation_is_withdrawn() {
    let now = Instant::now() + MS(1_000_000);
    let mut leader = leader_of(&[0], now);
    accept(&mut leader, &candidates(GrantScope::All)[..1], now);
    // No other target can take the keys while the evacuation lasts.
    accept(&mut leader, &candidates(GrantScope::Renewals)[..1], now);
    accept(&mut leader, &candidates(GrantScope::All)[..1], now);
    expect_that!(leader.map().ranges[0].owner, some(eq(&process("t0"))));
    expect_that!(leader.map().ranges[0].prior, none());
}

// The leader cannot write the map, so that the keys cannot move.
#[googletest::test]
fn only_accepted_grants_are_renewed_and_only_until_keyed_requests_end() {
    let now = Instant::now() + MS(1_000_000);
    let evacuated = candidates(GrantScope::Renewals);
    // Another target's process may have been granted the keys by the previous leader.
    let mut successor = leader_of(&[0], now);
    expect_that!(accept(&mut successor, &evacuated, now), is_empty());
    let mut leader = leader_of(&[0], now);
    accept(&mut leader, &candidates(GrantScope::All)[..1], now);
    let renewed = accept(&mut leader, &evacuated, now + MS(900));
    expect_that!(renewed, eq(&[true]));
    let ended = candidates(GrantScope::None);
    for ms in [1_800, 3_000, 5_000] {
        expect_that!(accept(&mut leader, &ended, now + MS(ms)), is_empty());
    }
}

// The leader dies after it stored the map; keyed requests to the data centre have ended meanwhile.
#[googletest::test]
fn the_next_leader_finishes_moves_out_of_the_data_centre() {
    let now = Instant::now() + MS(1_000_000);
    let ranges = vec![Ownership {
        range: KeyRange::ALL,
        owner: Some(process("t1")),
        prior: Some(process("t0")),
    }];
    let map = KeyMap {
        version: MapVersion { term: 1, number: 1 },
        max_grant_ms: Some(2_500),
        ranges,
    };
    let mut leader = Leader::new(2, Inherited::Map(&map), MS(10_000), now);
    let candidates = candidates(GrantScope::None);
    expect_that!(accept(&mut leader, &candidates, now), eq(&[false]));
    expect_that!(accept(&mut leader, &candidates, now), eq(&[true]));
    expect_that!(leader.map().ranges[0].owner, some(eq(&process("t1"))));
}
