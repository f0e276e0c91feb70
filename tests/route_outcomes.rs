//! Outcomes reported to callers: "not run" only if the request did not run, and only idempotent
//! requests run more than once.

#[path = "support/route_fixtures.rs"]
mod fixtures;

use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::fixtures::*;
use gooseberryloft::ids::ServiceId;
use gooseberryloft::route::AttemptOutcome;
use gooseberryloft::route::Call;
use gooseberryloft::route::NextAction;
use gooseberryloft::route::Refusal;
use gooseberryloft::route::RequestInfo;
use gooseberryloft::route::Router;
use gooseberryloft::route::Step;

fn attempt_outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        Just(AttemptOutcome::Responded { status: 200 }),
        Just(AttemptOutcome::Responded { status: 503 }),
        Just(AttemptOutcome::NotSent),
        Just(AttemptOutcome::NotRun),
        Just(AttemptOutcome::Broken),
        Just(AttemptOutcome::TimedOut),
        Just(AttemptOutcome::Superseded),
        Just(AttemptOutcome::Cancelled),
    ]
}

fn may_have_run(outcome: AttemptOutcome) -> bool {
    !matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::NotRun)
}

#[derive(Clone, Debug)]
struct Plan {
    keyed: bool,
    idempotent: bool,
    replayable: bool,
    body_consumed: bool,
    outcomes: Vec<AttemptOutcome>,
}

fn plan() -> impl Strategy<Value = Plan> {
    let outcomes = prop::collection::vec(attempt_outcome(), 8);
    (any::<[bool; 4]>(), outcomes).prop_map(|(flags, outcomes)| Plan {
        keyed: flags[0],
        idempotent: flags[1],
        replayable: flags[2],
        body_consumed: flags[3],
        outcomes,
    })
}

/// Drives a call to completion; returns the outcomes of its attempts and the refusal, if any.
fn drive(router: &Router, plan: &Plan, start: Instant) -> (Vec<AttemptOutcome>, Option<Refusal>) {
    let base = if plan.keyed {
        keyed_request(start, 3)
    } else {
        request(start, 9)
    };
    let mut call = Call::new(RequestInfo {
        idempotent: plan.idempotent,
        replayable: plan.replayable,
        ..base
    });
    let mut now = start;
    let mut attempted = Vec::new();
    let mut outcomes = plan.outcomes.iter().cycle();
    loop {
        match call.step(router, now, Waker::noop()) {
            Step::Refuse(refusal) => return (attempted, Some(refusal)),
            Step::Wait(until) => now = until.max(now + Duration::from_millis(1)),
            Step::Send(attempt) => {
                let outcome = *outcomes.next().unwrap();
                if plan.body_consumed {
                    call.mark_body_consumed();
                }
                now += Duration::from_millis(3);
                attempted.push(outcome);
                match call.finish_attempt(router, now, attempt, outcome) {
                    NextAction::Deliver => return (attempted, None),
                    NextAction::Retry => {}
                    NextAction::Refuse(refusal) => return (attempted, Some(refusal)),
                }
            }
        }
    }
}

proptest! {
    #[test]
    fn reported_outcomes_are_correct(plans in prop::collection::vec(plan(), 1..20)) {
        let router = router(view(3, 2));
        let mut start = Instant::now();
        for plan in &plans {
            start += Duration::from_millis(700);
            let (attempted, refusal) = drive(&router, plan, start);
            let ran = attempted.iter().filter(|outcome| may_have_run(**outcome)).count();
            if let Some(refusal) = refusal {
                let claims_not_run = refusal.outcome() == "not-run";
                prop_assert!(!(claims_not_run && ran > 0), "{:?} after {:?}", refusal, attempted);
            }
            if !plan.idempotent {
                prop_assert!(ran <= 1, "sent again after it may have run: {:?}", attempted);
            }
            if plan.body_consumed || !plan.replayable {
                prop_assert!(attempted.len() <= 1, "sent again without its body: {:?}", attempted);
            }
            for index in 0..3 {
                let name = if plan.keyed { LISTINGS } else { REPORTS };
                let in_flight = router.in_flight(&ServiceId::from(name), &target_id(index));
                prop_assert_eq!(in_flight, 0, "an attempt leaked");
            }
            prop_assert_eq!(router.waiting(), 0, "a queue position leaked");
        }
    }

    #[test]
    fn retries_stay_within_the_budget(outcomes in prop::collection::vec(attempt_outcome(), 500)) {
        let router = router(view(6, 6));
        let mut now = Instant::now();
        let (mut first, mut retries) = (0u32, 0u32);
        for outcome in outcomes.iter().filter(|outcome| **outcome != AttemptOutcome::NotRun) {
            now += Duration::from_millis(50);
            let mut call = Call::new(request(now, u64::from(first)));
            first += 1;
            while let Step::Send(attempt) = call.step(&router, now, Waker::noop()) {
                if call.finish_attempt(&router, now, attempt, *outcome) != NextAction::Retry {
                    break;
                }
                retries += 1;
            }
        }
        prop_assert!(retries <= 10 + first / 10, "{} retries of {} requests", retries, first);
    }
}

#[test]
fn a_call_past_its_deadline_is_not_run() {
    let router = router(view(1, 1));
    let now = Instant::now();
    let mut call = non_idempotent_call(now, 1);
    let late = now + Duration::from_secs(2);
    let step = call.step(&router, late, Waker::noop());
    assert!(matches!(step, Step::Refuse(Refusal::Expired)));
}

#[test]
fn an_idempotent_request_is_retried_on_another_target() {
    let router = router(view(2, 2));
    let now = Instant::now();
    let mut call = Call::new(request(now, 1));
    let Step::Send(attempt) = call.step(&router, now, Waker::noop()) else {
        panic!("not sent");
    };
    let first = attempt.target.clone();
    assert!(
        attempt.deadline < now + Duration::from_secs(1),
        "no time left for a retry"
    );
    assert_eq!(
        call.finish_attempt(&router, now, attempt, AttemptOutcome::Broken),
        NextAction::Retry
    );
    let Step::Send(attempt) = call.step(&router, now, Waker::noop()) else {
        panic!("not sent again");
    };
    assert_ne!(attempt.target, first);
}
