//! Decisions about single requests: order, displacement, starvation, waits and `Retry-After`.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::overload::queue::Decision;
use gooseberryloft::overload::queue::MAX_WAITING;
use gooseberryloft::overload::queue::Request;
use gooseberryloft::overload::queue::Ticket;
use gooseberryloft::overload::queue::WaitQueue;
use gooseberryloft::overload::repeats::Repeats;

const MS: fn(u64) -> Duration = Duration::from_millis;
const OBJECTIVE: Duration = Duration::from_millis(600);
const TIMEOUT: Duration = Duration::from_millis(1_500);

fn request(priority: u8, arrived: Instant) -> Request {
    Request {
        priority,
        arrived,
        objective: OBJECTIVE,
        deadline: arrived + TIMEOUT,
        is_repeat: false,
    }
}

fn wait(queue: &mut WaitQueue, request: Request, now: Instant) -> Option<(Ticket, Option<Ticket>)> {
    match queue.arrive(request, false, now) {
        Decision::Wait {
            ticket, displaced, ..
        } => Some((ticket, displaced)),
        Decision::Start | Decision::Refuse => None,
    }
}

fn join(queue: &mut WaitQueue, request: Request, now: Instant) -> Ticket {
    wait(queue, request, now).expect("it waits").0
}

/// Starts all waiting requests in turn.
fn order(queue: &mut WaitQueue, now: Instant) -> Vec<Ticket> {
    let mut started = Vec::new();
    while let Some(ticket) = queue.next(now) {
        queue.start(ticket, now);
        started.push(ticket);
    }
    started
}

#[googletest::test]
fn a_request_with_a_free_slot_starts_unless_another_goes_first() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    expect_that!(
        queue.arrive(request(0, now), true, now),
        eq(Decision::Start)
    );
    join(&mut queue, request(1, now), now);
    expect_that!(
        queue.arrive(request(0, now), true, now),
        eq(Decision::Start)
    );
    expect_that!(
        queue.arrive(request(2, now), true, now),
        not(eq(Decision::Start))
    );
}

#[googletest::test]
fn urgent_classes_first_then_requests_that_can_meet_their_objective() {
    let start = Instant::now();
    let now = start + MS(550);
    let mut queue = WaitQueue::default();
    let late = join(&mut queue, request(1, start), start);
    let low = join(&mut queue, request(2, now), now);
    let in_time = join(&mut queue, request(1, now), now);
    let urgent = join(&mut queue, request(0, now), now);
    expect_that!(
        order(&mut queue, now),
        eq(&vec![urgent, in_time, late, low])
    );
}

#[googletest::test]
fn repeats_go_last_in_their_class() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    let repeat = Request {
        is_repeat: true,
        ..request(1, now)
    };
    let repeat = join(&mut queue, repeat, now);
    let first = join(&mut queue, request(1, now), now);
    let less_urgent = join(&mut queue, request(2, now), now);
    expect_that!(
        order(&mut queue, now),
        eq(&vec![first, repeat, less_urgent])
    );
}

#[googletest::test]
fn a_full_queue_refuses_the_least_urgent_request() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    let waiting: Vec<_> = (0..MAX_WAITING)
        .map(|_| join(&mut queue, request(3, now), now))
        .collect();
    expect_that!(
        queue.arrive(request(3, now), false, now),
        eq(Decision::Refuse)
    );
    let (_, displaced) = wait(&mut queue, request(1, now), now).expect("it waits");
    expect_that!(displaced, eq(waiting.last().copied()));
    expect_that!(queue.len(), eq(MAX_WAITING));
    let repeat = Request {
        is_repeat: true,
        ..request(0, now)
    };
    expect_that!(queue.arrive(repeat, false, now), eq(Decision::Refuse));
}

/// Guards against a class that gets nothing while a more urgent one takes all slots.
#[googletest::test]
fn no_class_is_served_less_than_a_quarter_as_often_as_all() {
    let start = Instant::now();
    let mut queue = WaitQueue::default();
    let (mut arrivals, mut starts) = ([0u32; 2], [0u32; 2]);
    let mut waiting = Vec::new();
    for step in 0..4_000u64 {
        let now = start + MS(10 * step);
        // Two requests for each slot, nine of ten of the urgent class.
        for number in 0..2 {
            let class = usize::from((2 * step + number) % 10 == 0);
            arrivals[class] += 1;
            if let Some((ticket, displaced)) = wait(&mut queue, request(class as u8, now), now) {
                waiting.push((ticket, class));
                waiting.retain(|(ticket, _)| Some(*ticket) != displaced);
            }
        }
        for ticket in queue.remove_expired(now) {
            waiting.retain(|(own, _)| *own != ticket);
        }
        if let Some(next) = queue.next(now) {
            queue.start(next, now);
            let index = waiting.iter().position(|(ticket, _)| *ticket == next);
            let (_, class) = waiting.swap_remove(index.expect("it waits"));
            starts[class] += 1;
        }
    }
    let share = |class: usize| f64::from(starts[class]) / f64::from(arrivals[class]);
    let all = f64::from(starts[0] + starts[1]) / f64::from(arrivals[0] + arrivals[1]);
    println!(
        "shares {:.3} and {:.3}, of all {all:.3}",
        share(0),
        share(1)
    );
    expect_that!(share(1), ge(0.25 * all));
    expect_that!(share(0), ge(share(1)));
}

/// Guards against waits that cannot end in an answer.
#[googletest::test]
fn a_request_that_cannot_be_answered_before_its_deadline_is_refused_at_once() {
    let start = Instant::now();
    let mut queue = WaitQueue::default();
    queue.record_response(MS(400));
    let near = Request {
        deadline: start + MS(500),
        ..request(0, start)
    };
    expect_that!(queue.arrive(near, false, start), eq(Decision::Refuse));
    // Nothing starts for a second, so that the queue counts as stuck.
    join(&mut queue, request(0, start), start);
    let now = start + MS(1_000);
    expect_that!(queue.remove_expired(now), len(eq(1)));
    join(&mut queue, request(0, now), now);
    let until = match queue.arrive(request(0, now), false, now) {
        Decision::Wait { until, .. } => until,
        decision => panic!("{decision:?}"),
    };
    expect_that!(until, lt(now + TIMEOUT));
}

#[googletest::test]
fn retry_after_is_at_most_a_third_of_the_time_left_and_spread() {
    let now = Instant::now();
    let mut queue = WaitQueue::default();
    expect_that!(queue.retry_after(TIMEOUT, OBJECTIVE, now, 0.5), none());
    for _ in 0..40 {
        join(&mut queue, request(0, now), now);
    }
    for _ in 0..20 {
        let next = queue.next(now).expect("some wait");
        queue.start(next, now);
    }
    for time_left in [MS(30), MS(90), MS(300), MS(1_500)] {
        let pauses = [0.0, 0.5, 1.0].map(|random| {
            let pause = queue.retry_after(time_left, OBJECTIVE, now + MS(200), random);
            pause.expect("some wait")
        });
        expect_that!(pauses, each(le(time_left / 3)));
        expect_that!(pauses[2], lt(pauses[0]));
    }
}

#[googletest::test]
fn only_the_same_request_before_its_time_is_a_repeat() {
    let now = Instant::now();
    let mut repeats = Repeats::default();
    repeats.record_refusal(7, now + MS(100));
    expect_that!(repeats.is_early(7, now + MS(99)), eq(true));
    expect_that!(repeats.is_early(7, now + MS(100)), eq(false));
    expect_that!(repeats.is_early(8, now), eq(false));
}
