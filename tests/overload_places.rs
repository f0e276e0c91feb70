//! Places in a node's queues: which waiting request is woken, and what the end of a wait leaves behind.

use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use googletest::prelude::*;

use gooseberryloft::ids::ServiceId;
use gooseberryloft::node::queues::QueuePlace;
use gooseberryloft::node::queues::Queues;
use gooseberryloft::node::queues::Resource;
use gooseberryloft::overload::queue::MAX_WAITING;
use gooseberryloft::overload::queue::Request;

fn resource() -> Resource {
    Resource::Service(ServiceId::from("desk"))
}

fn request(priority: u8, now: Instant) -> Request {
    Request {
        priority,
        arrived: now,
        objective: Duration::from_millis(600),
        deadline: now + Duration::from_millis(1_500),
        is_repeat: false,
    }
}

fn join(queues: &Queues, priority: u8, now: Instant) -> QueuePlace<'_> {
    let place = queues.join(resource(), request(priority, now), now);
    place.expect("it waits")
}

fn is_woken(place: &QueuePlace<'_>) -> bool {
    place.woken().now_or_never().is_some()
}

/// Guards against all waiting requests trying again on each free slot.
#[googletest::test]
fn a_free_slot_wakes_the_next_request_only() {
    let now = Instant::now();
    let queues = Queues::default();
    let places = [2, 1, 3].map(|priority| join(&queues, priority, now));
    queues.wake_next(&resource(), now);
    let woken = places.each_ref().map(is_woken);
    expect_that!(woken, eq([false, true, false]));
    expect_that!(queues.may_start(&resource(), None, now), eq(false));
    expect_that!(places[1].is_next(now), eq(true));
}

/// Guards against a queue that stands still because the next request ended without a start.
#[googletest::test]
fn a_request_that_ends_leaves_its_place_and_wakes_the_next() {
    let now = Instant::now();
    let queues = Queues::default();
    let first = join(&queues, 0, now);
    let second = join(&queues, 1, now);
    expect_that!(is_woken(&second), eq(false));
    drop(first);
    expect_that!(is_woken(&second), eq(true));
    expect_that!(queues.waiting(&resource()), eq(1));
    second.start(now);
    expect_that!(queues.waiting(&resource()), eq(0));
    expect_that!(queues.may_start(&resource(), None, now), eq(true));
}

#[googletest::test]
fn a_displaced_request_is_woken_and_counted() {
    let now = Instant::now();
    let queues = Queues::default();
    let mut places: Vec<_> = (0..MAX_WAITING).map(|_| join(&queues, 3, now)).collect();
    let urgent = join(&queues, 0, now);
    let displaced = places.pop().expect("some wait");
    expect_that!(displaced.is_over(now), eq(true));
    expect_that!(is_woken(&displaced), eq(true));
    expect_that!(urgent.is_over(now), eq(false));
    expect_that!(queues.waiting(&resource()), eq(MAX_WAITING));
    drop(displaced);
    expect_that!(queues.waiting(&resource()), eq(MAX_WAITING));
    let text = queues.render();
    expect_that!(
        text,
        contains_substring("gooseberryloft_queue_displaced_total{priority=\"3\"} 1\n")
    );
    expect_that!(
        text,
        contains_substring("gooseberryloft_queue_length 128\n")
    );
}

/// Guards against a first request that no free target may serve keeping the others from starting.
#[googletest::test]
fn a_request_without_a_target_lets_others_go_first_for_a_moment() {
    let now = Instant::now();
    let queues = Queues::default();
    let first = join(&queues, 0, now);
    let second = join(&queues, 0, now);
    first.pass_over(now);
    expect_that!(is_woken(&second), eq(true));
    expect_that!(second.is_next(now), eq(true));
    expect_that!(first.is_next(now + Duration::from_millis(20)), eq(true));
}
