//! Requests that crash their targets are quarantined, and requests that only happen to be in flight
//! when a target crashes are not.

#[path = "support/route_fixtures.rs"]
mod fixtures;

use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::fixtures::*;
use gooseberryloft::route::Attempt;
use gooseberryloft::route::AttemptOutcome;
use gooseberryloft::route::CRASH_COLLECTION_TIME;
use gooseberryloft::route::CRASH_RETENTION;
use gooseberryloft::route::Call;
use gooseberryloft::route::CrashFact;
use gooseberryloft::route::CrashKind;
use gooseberryloft::route::CrashReport;
use gooseberryloft::route::QUARANTINE_DURATION;
use gooseberryloft::route::Refusal;
use gooseberryloft::route::Router;
use gooseberryloft::route::Step;

const OK: AttemptOutcome = AttemptOutcome::Responded { status: 200 };
const POISON: u64 = 666;

fn send(router: &Router, fingerprint: u64, now: Instant) -> Option<(Call, Attempt)> {
    let mut call = Call::new(request(now, fingerprint));
    match call.step(router, now, Waker::noop()) {
        Step::Send(attempt) => Some((call, attempt)),
        _ => None,
    }
}

fn finish(router: &Router, sent: (Call, Attempt), now: Instant, outcome: AttemptOutcome) {
    let (mut call, attempt) = sent;
    let _ = call.finish_attempt(router, now, attempt, outcome);
}

fn is_quarantined(router: &Router, fingerprint: u64, now: Instant) -> bool {
    let now = now + CRASH_COLLECTION_TIME;
    let mut call = Call::new(request(now, fingerprint));
    let step = call.step(router, now, Waker::noop());
    matches!(step, Step::Refuse(Refusal::Quarantined))
}

fn thread_cpu_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

#[test]
fn a_request_that_crashes_two_targets_is_quarantined_temporarily() {
    let router = router(view(3, 6));
    let mut now = Instant::now();
    for _ in 0..2 {
        assert!(!is_quarantined(&router, POISON, now));
        let companions: Vec<_> = (0..4).filter_map(|n| send(&router, n, now)).collect();
        let sent = send(&router, POISON, now).unwrap();
        let target = sent.1.target.clone();
        finish(&router, sent, now, AttemptOutcome::Broken);
        for other in companions {
            let same = other.1.target == target;
            let outcome = if same { AttemptOutcome::Broken } else { OK };
            finish(&router, other, now, outcome);
        }
        for n in 0..4 {
            let again = send(&router, n, now).unwrap();
            finish(&router, again, now, OK);
        }
        now += Duration::from_secs(3);
    }
    assert!(is_quarantined(&router, POISON, now));
    for innocent in 0..4 {
        assert!(!is_quarantined(&router, innocent, now));
    }
    assert!(!is_quarantined(&router, POISON, now + QUARANTINE_DURATION));
}

#[test]
fn crashes_observed_by_two_vms_quarantine_on_both() {
    let (one, other) = (
        router_with_rank(view(3, 6), 0, 2),
        router_with_rank(view(3, 6), 1, 2),
    );
    let now = Instant::now();
    finish(
        &one,
        send(&one, POISON, now).unwrap(),
        now,
        AttemptOutcome::Broken,
    );
    let later = now + Duration::from_secs(2);
    finish(
        &other,
        send(&other, POISON, later).unwrap(),
        later,
        AttemptOutcome::Broken,
    );
    other.merge_crash_report(&one.crash_report(later), later);
    one.merge_crash_report(&other.crash_report(later), later);
    assert!(is_quarantined(&one, POISON, later));
    assert!(is_quarantined(&other, POISON, later));
}

#[test]
fn a_duplicated_report_counts_once() {
    let (one, other) = (
        router_with_rank(view(3, 6), 0, 2),
        router_with_rank(view(3, 6), 1, 2),
    );
    let now = Instant::now();
    finish(
        &one,
        send(&one, POISON, now).unwrap(),
        now,
        AttemptOutcome::Broken,
    );
    for millis in [0, 10, 500, 900] {
        let at = now + Duration::from_millis(millis);
        other.merge_crash_report(&one.crash_report(at), at);
        one.merge_crash_report(&other.crash_report(at), at);
    }
    assert!(!is_quarantined(&other, POISON, now));
    assert!(!is_quarantined(&one, POISON, now));
}

#[test]
fn a_response_between_crashes_clears_a_request() {
    let router = router(view(3, 6));
    let mut now = Instant::now();
    for _ in 0..5 {
        finish(
            &router,
            send(&router, 1, now).unwrap(),
            now,
            AttemptOutcome::Broken,
        );
        now += Duration::from_secs(2);
        finish(&router, send(&router, 1, now).unwrap(), now, OK);
        now += Duration::from_secs(2);
    }
    assert!(!is_quarantined(&router, 1, now));
}

#[test]
fn requests_in_flight_at_the_same_two_crashes_are_not_quarantined() {
    let router = router(view(2, 6));
    let now = Instant::now();
    let mut running: Vec<_> = (0..3).filter_map(|n| send(&router, n, now)).collect();
    for millis in [0, 20] {
        let at = now + Duration::from_millis(millis);
        let mut calls = Vec::new();
        for (mut call, attempt) in std::mem::take(&mut running) {
            let _ = call.finish_attempt(&router, at, attempt, AttemptOutcome::Broken);
            calls.push(call);
        }
        for mut call in calls {
            if let Step::Send(attempt) =
                call.step(&router, at + CRASH_COLLECTION_TIME, Waker::noop())
            {
                running.push((call, attempt));
            }
        }
    }
    for innocent in 0..3 {
        assert!(!is_quarantined(&router, innocent, now), "{innocent}");
    }
}

proptest! {
    /// Targets crash at random with innocent requests in flight, which are then sent again and get
    /// a response. A poison request may be among them.
    #[test]
    fn random_crashes_quarantine_no_innocent_request(
        rounds in prop::collection::vec((0u64..12, any::<bool>(), 50u64..3_000), 1..60),
        poison_at in prop::option::of(0usize..60),
    ) {
        let router = router(view(4, 6));
        let mut now = Instant::now();
        for (round, (first, crash, pause)) in rounds.into_iter().enumerate() {
            now += Duration::from_millis(pause);
            let mut sent: Vec<_> = (0..4).filter_map(|n| send(&router, (first + n) % 12, now)).collect();
            if poison_at == Some(round) {
                sent.extend(send(&router, POISON, now));
            }
            let victim = sent.last().map(|(_, attempt)| attempt.target.clone()).filter(|_| crash);
            for (call, attempt) in sent {
                let crashes = Some(&attempt.target) == victim.as_ref();
                let outcome = if crashes { AttemptOutcome::Broken } else { OK };
                finish(&router, (call, attempt), now, outcome);
            }
            now += Duration::from_secs(1);
            for n in 0..12 {
                if let Some(again) = send(&router, n, now) {
                    finish(&router, again, now, OK);
                }
            }
        }
        for innocent in 0..12 {
            prop_assert!(!is_quarantined(&router, innocent, now));
        }
    }
}

#[test]
fn crash_reports_of_many_vms_cost_little_cpu_time() {
    let router = router(view(3, 6));
    let now = Instant::now();
    let facts = (0..512u64).map(|number| CrashFact {
        fingerprint: number / 4,
        age_ms: 0,
        kind: CrashKind::Crashed {
            service: "booking".into(),
            target: format!("t{}", (number + number / 4) % 64).as_str().into(),
        },
    });
    let report = CrashReport {
        facts: facts.collect(),
    };
    let started = thread_cpu_time();
    for _ in 0..4 {
        router.merge_crash_report(&report, now);
    }
    // A VM may use 4.2 % of a core for control; the facts are kept for a minute.
    let used = thread_cpu_time() - started;
    assert!(used < CRASH_RETENTION.mul_f64(0.042), "{used:?}");
}
