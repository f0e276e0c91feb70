//! The time of one routing decision, on the machine's clock.

use std::sync::Arc;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use crate::report::Report;
use crate::view::full_view;
use gooseberryloft::ids::key_hash;
use gooseberryloft::route::AttemptOutcome;
use gooseberryloft::route::Call;
use gooseberryloft::route::RequestInfo;
use gooseberryloft::route::Router;
use gooseberryloft::route::Step;

const SHARDS: u32 = 65_536;
const TARGETS: usize = 4_000;
const DECISIONS: u64 = 200_000;
const ROUNDS: usize = 5;
const LIMIT_NANOS: f64 = 1_000.0;

/// Routes calls to the owners of random keys; the fastest round counts, since others share the
/// machine.
pub fn decision(report: &mut Report) {
    let router = Router::new(Arc::new(full_view(SHARDS, TARGETS)));
    let nanos = (0..ROUNDS).map(|_| round(&router)).fold(f64::MAX, f64::min);
    report.judge(
        "routing decision (real time)",
        "at most 1 µs with 65,536 shards and 4,000 targets",
        format!("{nanos:.0} ns for a call's whole way, its end included"),
        nanos <= LIMIT_NANOS,
    );
}

fn round(router: &Router) -> f64 {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(60);
    for key in 0..DECISIONS {
        let mut call = Call::new(RequestInfo {
            service: "status".into(),
            key_hash: Some(key_hash(&key.to_le_bytes())),
            idempotent: true,
            replayable: true,
            deadline,
            fingerprint: key,
        });
        if let Step::Send(attempt) = call.step(router, now, Waker::noop()) {
            call.finish_attempt(
                router,
                now,
                attempt,
                AttemptOutcome::Responded { status: 200 },
            );
        }
    }
    now.elapsed().as_secs_f64() * 1e9 / DECISIONS as f64
}
