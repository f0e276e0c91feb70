//! Benchmarks of the decisions under overload. Their cost depends on the number of waiting requests, not
//! on the number of nodes.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use criterion::Criterion;

use gooseberryloft::overload::queue::Decision;
use gooseberryloft::overload::queue::MAX_WAITING;
use gooseberryloft::overload::queue::Request;
use gooseberryloft::overload::queue::WaitQueue;
use gooseberryloft::overload::window::SendWindow;

/// Priorities of the waiting requests.
const CLASSES: u8 = 4;

fn request(priority: u8, now: Instant) -> Request {
    Request {
        priority,
        arrived: now,
        objective: Duration::from_millis(600),
        deadline: now + Duration::from_millis(1_500),
        is_repeat: false,
    }
}

fn queue(waiting: usize, now: Instant) -> WaitQueue {
    let mut queue = WaitQueue::default();
    for index in 0..waiting {
        let decision = queue.arrive(request(index as u8 % CLASSES, now), false, now);
        assert!(matches!(decision, Decision::Wait { .. }), "{decision:?}");
    }
    queue
}

fn decisions(c: &mut Criterion) {
    let now = Instant::now();
    for waiting in [16, 64, MAX_WAITING] {
        let filled = queue(waiting, now);
        c.bench_function(&format!("next of {waiting} waiting"), |b| {
            b.iter(|| black_box(filled.next(black_box(now))));
        });
        // Refused, so that the number of waiting requests stays the same.
        let mut filled = queue(waiting, now);
        let hopeless = Request {
            deadline: now,
            ..request(1, now)
        };
        c.bench_function(&format!("arrival at {waiting} waiting"), |b| {
            b.iter(|| black_box(filled.arrive(black_box(hopeless), false, now)));
        });
    }
    let mut filled = queue(MAX_WAITING, now);
    c.bench_function(
        &format!("arrival at a full queue, {MAX_WAITING} waiting"),
        |b| {
            b.iter(|| black_box(filled.arrive(black_box(request(CLASSES, now)), false, now)));
        },
    );
    let mut window = SendWindow::default();
    window.record_refusal(9, now, now);
    c.bench_function("window", |b| {
        b.iter(|| {
            window.record_response(4);
            black_box(window.allows(3, black_box(9), now))
        });
    });
}

fn main() {
    let time = Duration::from_secs(1);
    let mut criterion = Criterion::default()
        .measurement_time(time)
        .warm_up_time(time / 2)
        .configure_from_args();
    decisions(&mut criterion);
    criterion.final_summary();
}
