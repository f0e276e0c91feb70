//! The target's side of ownership: which shards it holds after delayed, duplicated or outdated
//! orders.

use std::time::Duration;
use std::time::Instant;

use googletest::assert_that;
use googletest::matchers::elements_are;
use googletest::matchers::eq;
use googletest::matchers::err;
use googletest::matchers::ok;
use googletest::matchers::some;

use gooseberryloft::ids::BootId;
use gooseberryloft::ids::Fence;
use gooseberryloft::ids::GroupId;
use gooseberryloft::ids::Shard;
use gooseberryloft::ids::Term;
use gooseberryloft::owner::grants::Grants;
use gooseberryloft::owner::grants::NotHeld;
use gooseberryloft::owner::order::Order;
use gooseberryloft::owner::order::Refusal;
use gooseberryloft::owner::order::ShardFence;
use gooseberryloft::owner::order::Stamp;

const BOOT: BootId = BootId(7);

fn group() -> GroupId {
    GroupId {
        service: "status".into(),
        index: 0,
    }
}

fn at(shard: u32, fence: u64) -> ShardFence {
    ShardFence {
        shard: Shard(shard),
        fence: Fence(fence),
    }
}

fn order(term: u64, stamp: Option<Stamp>) -> Order {
    Order {
        group: group(),
        term: Term(term),
        boot: BOOT,
        stamp,
        grant: Vec::new(),
        release: Vec::new(),
        lease_ms: 500,
    }
}

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Returns a target that was granted shard 1 with fence 3, the time of the grant, and the stamp of
/// that time.
fn granted(checks_term: bool) -> (Grants, Instant, Stamp) {
    let start = Instant::now();
    let mut grants = Grants::new(BOOT, start, checks_term);
    let stamp = grants.apply(start, &order(1, None)).stamp;
    let mut grant = order(1, Some(stamp));
    grant.grant = vec![at(1, 3)];
    let reply = grants.apply(start, &grant);
    assert_that!(reply.granted, elements_are![eq(&at(1, 3))]);
    (grants, start, stamp)
}

/// Checks whether the target may serve shard 1 with fence 3.
fn check_shard(grants: &mut Grants, now: Instant) -> Result<(), NotHeld> {
    grants.check(now, &group(), at(1, 3))
}

#[test]
fn a_lease_counts_from_the_stamp() {
    let (mut grants, start, stamp) = granted(true);
    // A later order that echoes the same stamp does not extend the lease.
    grants.apply(start + ms(400), &order(1, Some(stamp)));
    assert_that!(check_shard(&mut grants, start + ms(499)), ok(eq(())));
    assert_that!(
        check_shard(&mut grants, start + ms(500)),
        err(eq(NotHeld::NoLease))
    );
}

#[test]
fn an_order_is_refused_when_its_lease_has_expired() {
    let (mut grants, start, stamp) = granted(true);
    let mut late = order(1, Some(stamp));
    late.grant = vec![at(2, 3)];
    let reply = grants.apply(start + ms(501), &late);
    assert_that!(reply.refused, some(eq(Refusal::OldStamp)));
    assert_that!(reply.held, eq(0));
}

#[test]
fn a_released_fence_is_not_granted_again() {
    let (mut grants, start, _) = granted(true);
    let stamp = grants.apply(start + ms(10), &order(1, None)).stamp;
    let mut release = order(1, Some(stamp));
    release.release = vec![at(1, 3)];
    let reply = grants.apply(start + ms(20), &release);
    assert_that!(reply.released, elements_are![eq(&at(1, 3))]);
    let stamp = grants.apply(start + ms(30), &order(1, None)).stamp;
    let mut again = order(1, Some(stamp));
    again.grant = vec![at(1, 3)];
    let reply = grants.apply(start + ms(40), &again);
    assert_that!(reply.denied, elements_are![eq(&at(1, 3))]);
    assert_that!(reply.held, eq(0));
    again.grant = vec![at(1, 4)];
    assert_that!(grants.apply(start + ms(50), &again).held, eq(1));
}

#[test]
fn an_order_with_a_stamp_from_before_a_release_is_refused() {
    let (mut grants, start, stamp) = granted(true);
    let mut release = order(1, Some(stamp));
    release.release = vec![at(1, 3)];
    grants.apply(start + ms(20), &release);
    let mut late = order(1, Some(stamp));
    late.grant = vec![at(5, 9)];
    let reply = grants.apply(start + ms(30), &late);
    assert_that!(reply.refused, some(eq(Refusal::OldStamp)));
}

#[test]
fn grants_and_releases_without_a_stamp_are_refused() {
    let (mut grants, start, _) = granted(false);
    let mut release = order(1, None);
    release.release = vec![at(1, 3)];
    let reply = grants.apply(start + ms(10), &release);
    assert_that!(reply.refused, some(eq(Refusal::OldStamp)));
    assert_that!(check_shard(&mut grants, start + ms(11)), ok(eq(())));
}

#[test]
fn a_target_that_checks_terms_refuses_older_ones() {
    for (checks, refused) in [(true, Some(Refusal::OldTerm)), (false, None)] {
        let (mut grants, start, stamp) = granted(checks);
        grants.apply(start + ms(10), &order(2, Some(stamp)));
        let reply = grants.apply(start + ms(20), &order(1, Some(stamp)));
        assert_that!(reply.refused, eq(refused));
        assert_that!(reply.term, eq(checks.then_some(Term(2))));
    }
}

#[test]
fn an_order_for_an_earlier_process_is_refused() {
    let (mut grants, start, stamp) = granted(true);
    let mut other = order(1, Some(stamp));
    other.boot = BootId(6);
    other.release = vec![at(1, 3)];
    let reply = grants.apply(start + ms(10), &other);
    assert_that!(reply.refused, some(eq(Refusal::WrongBoot)));
    assert_that!(reply.held, eq(1));
}
