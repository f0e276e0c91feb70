//! A node's view of key owners follows the leaders' announcements, across terms and without reading
//! the table.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::ids::TargetId;
use gooseberryloft::node::keys::map::Holder;
use gooseberryloft::node::keys::map::KeyMap;
use gooseberryloft::node::keys::map::KeyRange;
use gooseberryloft::node::keys::map::MapVersion;
use gooseberryloft::node::keys::map::Ownership;
use gooseberryloft::node::keys::view::KeyView;
use gooseberryloft::node::keys::view::RangeLocation;
use gooseberryloft::node::keys::view::Sequence;

const HALF: u16 = 1 << 15;

fn seq(term: u64, number: u64) -> Sequence {
    Sequence { term, number }
}

fn location(first: u16, last: u16, owner: &str) -> RangeLocation {
    RangeLocation {
        range: KeyRange { first, last },
        owner: Some(TargetId::from(owner)),
        pending: false,
    }
}

/// Returns a view after the third announcement of term 1, in which `a` owns all keys.
fn loaded_view() -> KeyView {
    let map = KeyMap {
        version: MapVersion { term: 1, number: 1 },
        max_grant_ms: None,
        ranges: vec![Ownership {
            range: KeyRange::ALL,
            owner: Some(Holder {
                id: TargetId::from("a"),
                incarnation: 1,
            }),
            prior: None,
        }],
    };
    let mut view = KeyView::default();
    assert!(view.load(&map, seq(1, 3)));
    view
}

fn owner(view: &KeyView, key: u16) -> Option<&str> {
    view.find(key)?.owner.as_ref().map(TargetId::as_str)
}

const MS: fn(u64) -> Duration = Duration::from_millis;

#[googletest::test]
fn keys_that_their_owner_refuses_are_asked_for_only_from_time_to_time() {
    let mut view = loaded_view();
    let start = Instant::now();
    let a = TargetId::from("a");
    let mut sent = 0;
    for at in (0..10_000).step_by(10).map(|ms| start + MS(ms)) {
        if view.permit_send(5, at).is_ok() {
            view.record_refusal(5, &a, at, at + MS(1));
            sent += 1;
        }
    }
    expect_that!(sent, le(30));
    expect_that!(view.next_send(5), some(gt(start + MS(9_990))));
    // An announcement that gives the keys to the same owner again ends it.
    expect_that!(view.apply(seq(1, 4), &[location(0, 9, "a")]), eq(true));
    expect_that!(view.permit_send(5, start + MS(10_000)), ok(anything()));
    expect_that!(view.next_send(5), none());
}

#[googletest::test]
fn a_refusal_during_a_move_withholds_no_requests() {
    let mut view = loaded_view();
    let start = Instant::now();
    let a = TargetId::from("a");
    for at in (0..100).step_by(10).map(|ms| start + MS(ms)) {
        expect_that!(view.permit_send(5, at), ok(anything()));
        view.record_refusal(5, &a, at, at + MS(1));
    }
    view.record_served(5);
    view.record_refusal(5, &TargetId::from("b"), start + MS(500), start + MS(501));
    expect_that!(view.permit_send(5, start + MS(600)), ok(anything()));
    expect_that!(view.next_send(5), none());
}

#[googletest::test]
fn announcements_of_a_term_are_applied_in_order() {
    let mut view = loaded_view();
    expect_that!(view.apply(seq(1, 5), &[location(0, 9, "c")]), eq(false));
    expect_that!(owner(&view, 5), some(eq("a")));
    expect_that!(view.apply(seq(1, 4), &[location(0, 9, "b")]), eq(true));
    expect_that!(owner(&view, 5), some(eq("c")));
    expect_that!(view.sequence(), eq(seq(1, 5)));
}

#[googletest::test]
fn a_new_leader_is_followed_without_the_stored_map() {
    let mut view = loaded_view();
    expect_that!(
        view.apply(seq(2, 2), &[location(HALF, u16::MAX, "c")]),
        eq(false)
    );
    expect_that!(
        view.apply(seq(2, 1), &[location(0, HALF - 1, "b")]),
        eq(true)
    );
    expect_that!(owner(&view, 0), some(eq("b")));
    expect_that!(owner(&view, u16::MAX), some(eq("c")));
    expect_that!(view.sequence(), eq(seq(2, 2)));
    expect_that!(view.apply(seq(1, 4), &[location(0, 9, "d")]), eq(false));
    expect_that!(owner(&view, 0), some(eq("b")));
}

#[googletest::test]
fn announcements_of_a_new_term_are_not_applied_without_its_first_one() {
    let mut view = loaded_view();
    expect_that!(view.apply(seq(2, 3), &[location(0, 9, "b")]), eq(false));
    expect_that!(owner(&view, 0), some(eq("a")));
}
