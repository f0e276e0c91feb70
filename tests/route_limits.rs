//! Target selection and limits: connection shares, slots, queues, load shedding, ejection and slow
//! start.

#[path = "support/route_fixtures.rs"]
mod fixtures;

use std::sync::Arc;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use crate::fixtures::*;
use gooseberryloft::ids::ServiceId;
use gooseberryloft::route::Attempt;
use gooseberryloft::route::AttemptOutcome;
use gooseberryloft::route::Call;
use gooseberryloft::route::EntryRank;
use gooseberryloft::route::LoadReport;
use gooseberryloft::route::NextAction;
use gooseberryloft::route::Refusal;
use gooseberryloft::route::RequestInfo;
use gooseberryloft::route::Router;
use gooseberryloft::route::Step;
use gooseberryloft::route::TargetLoad;
use gooseberryloft::ticket::TargetState;

const OK: AttemptOutcome = AttemptOutcome::Responded { status: 200 };

fn step(router: &Router, call: &mut Call, now: Instant) -> Step {
    call.step(router, now, Waker::noop())
}

fn send(router: &Router, info: RequestInfo, now: Instant) -> Option<(Call, Attempt)> {
    let mut call = Call::new(info);
    match step(router, &mut call, now) {
        Step::Send(attempt) => Some((call, attempt)),
        _ => None,
    }
}

fn report(vm: &str, number: u64, target: usize, in_flight: u32) -> LoadReport {
    let load = TargetLoad {
        service: ServiceId::from(REPORTS),
        target: target_id(target),
        in_flight,
    };
    LoadReport {
        vm: vm.into(),
        number,
        busy: vec![load],
    }
}

proptest! {
    #[test]
    fn shares_of_all_entries_add_up_to_the_connections(
        connections in 0u16..200,
        entries in 1u32..5_000,
        target in any::<u64>(),
    ) {
        let share = |rank| EntryRank { rank, entries }.connection_share(connections, target);
        let sum: u32 = (0..entries).map(share).sum();
        prop_assert_eq!(sum, u32::from(connections));
    }

    #[test]
    fn requests_in_flight_never_exceed_slots_or_shares(
        slots in 1u16..7,
        entries in 1u32..100,
        rank in any::<prop::sample::Index>(),
        ends in prop::collection::vec(any::<Option<prop::sample::Index>>(), 1..200),
    ) {
        let rank = rank.index(entries as usize) as u32;
        let router = router_with_rank(view(5, slots), rank, entries);
        let now = Instant::now();
        let mut attempts = Vec::new();
        for end in ends {
            match end {
                Some(index) if !attempts.is_empty() => {
                    attempts.swap_remove(index.index(attempts.len()));
                }
                _ => attempts.extend(send(&router, request(now, 1), now)),
            }
            for index in 0..5 {
                let share = EntryRank { rank, entries }
                    .connection_share(45, gooseberryloft::ids::key_hash(target_id(index).as_str().as_bytes()));
                let held = router.in_flight(&ServiceId::from(REPORTS), &target_id(index));
                prop_assert!(held <= share.min(u32::from(slots)));
            }
        }
        drop(attempts);
        for index in 0..5 {
            prop_assert_eq!(router.in_flight(&ServiceId::from(REPORTS), &target_id(index)), 0);
        }
    }
}

#[test]
fn a_subset_of_4000_entries_connects_to_each_target() {
    let share = |rank| {
        EntryRank {
            rank,
            entries: 4_000,
        }
        .connection_share(45, 7)
    };
    let sharing = (0..4_000).filter(|&rank| share(rank) > 0).count();
    assert_eq!(sharing, 45);
}

#[test]
fn the_longest_matching_prefix_selects_the_service() {
    let mut view = view(1, 1);
    for prefix in ["/", "/a/", "/a/b/", "/a/b/c"] {
        let service = service(prefix, 1, 1, 1);
        view.state.services.insert(prefix.into(), service);
    }
    let router = router(view);
    let found = |path: &str| router.service_of(path).unwrap().to_string();
    assert_eq!(found("/a/b/d"), "/a/b/");
    assert_eq!(found("/a/b/cd"), "/a/b/c");
    assert_eq!(found("/a/z"), "/a/");
    assert_eq!(found("/zzz"), "/");
    assert_eq!(found("/reports/1"), REPORTS);
}

#[test]
fn local_targets_are_filled_before_remote_ones() {
    let router = router(view(4, 2));
    let now = Instant::now();
    let sent: Vec<_> = (0..6)
        .filter_map(|n| send(&router, request(now, n), now))
        .collect();
    let names: Vec<_> = sent
        .iter()
        .map(|(_, attempt)| attempt.target.as_str())
        .collect();
    assert!(
        names[..4].iter().all(|name| ["t0", "t2"].contains(name)),
        "{names:?}"
    );
    assert!(
        names[4..].iter().all(|name| ["t1", "t3"].contains(name)),
        "{names:?}"
    );
}

#[test]
fn load_reports_of_other_entries_count_until_they_expire() {
    let router = router(view(1, 2));
    let now = Instant::now();
    router.apply_load_report(&report("vm-7", 2, 0, 2), now);
    assert!(send(&router, request(now, 1), now).is_none());
    router.apply_load_report(&report("vm-7", 1, 0, 0), now);
    assert!(
        send(&router, request(now, 1), now).is_none(),
        "an older report replaced a newer one"
    );
    let later = now + Duration::from_secs(3);
    router.expire_load_reports(later);
    assert!(send(&router, request(later, 1), later).is_some());
}

#[test]
fn calls_wait_in_order_and_are_woken_by_a_free_slot() {
    let router = router(view(1, 1));
    let now = Instant::now();
    let (_, attempt) = send(&router, request(now, 0), now).unwrap();
    let wake_counters: Vec<Arc<WakeCounter>> = (0..2).map(|_| Arc::default()).collect();
    let mut calls: Vec<Call> = (1..3).map(|n| Call::new(request(now, n))).collect();
    for (call, wake_counter) in calls.iter_mut().zip(&wake_counters) {
        assert!(matches!(
            call.step(&router, now, &wake_counter.waker()),
            Step::Wait(_)
        ));
    }
    drop(attempt);
    assert_eq!((wake_counters[0].count(), wake_counters[1].count()), (1, 0));
    let second = calls[1].step(&router, now, &wake_counters[1].waker());
    assert!(
        matches!(second, Step::Wait(_)),
        "the second call is sent before the first"
    );
    let first = calls[0].step(&router, now, &wake_counters[0].waker());
    assert!(matches!(first, Step::Send(_)));
}

#[test]
fn a_dropped_call_passes_its_queue_position_to_the_next() {
    let router = router(view(1, 1));
    let now = Instant::now();
    let (_, attempt) = send(&router, request(now, 0), now).unwrap();
    let mut first = Call::new(request(now, 1));
    let mut second = Call::new(request(now, 2));
    let wake_counter = Arc::<WakeCounter>::default();
    assert!(matches!(step(&router, &mut first, now), Step::Wait(_)));
    assert!(matches!(
        second.step(&router, now, &wake_counter.waker()),
        Step::Wait(_)
    ));
    drop(first);
    drop(attempt);
    assert!(wake_counter.count() > 0);
    assert!(matches!(step(&router, &mut second, now), Step::Send(_)));
    assert_eq!(router.waiting(), 0);
}

#[test]
fn a_full_entry_sheds_the_lowest_priority_first() {
    let mut view = view(1, 1);
    let targets = view.state.services[&ServiceId::from(REPORTS)]
        .targets
        .clone();
    for index in 0..5 {
        let mut other = service(&format!("/low/{index}/"), 2 + index, 1, 1);
        other.targets = targets.clone();
        view.state
            .services
            .insert(format!("low-{index}").into(), other);
    }
    let router = router(view);
    let now = Instant::now();
    let of = |name: &str, n| RequestInfo {
        service: name.into(),
        ..request(now, n)
    };
    let mut held = Vec::new();
    let mut waiting = Vec::new();
    for name in [REPORTS, "low-0", "low-1", "low-2", "low-3"] {
        held.extend(send(&router, of(name, 0), now));
        for n in 0..2_048 {
            let mut call = Call::new(of(name, n));
            if matches!(step(&router, &mut call, now), Step::Wait(_)) {
                waiting.push(call);
            }
        }
    }
    assert_eq!(waiting.len(), 5 * 2_048);
    held.extend(send(&router, of("low-4", 0), now));
    let mut high_priority = Call::new(of("low-4", 1));
    assert!(matches!(
        step(&router, &mut high_priority, now),
        Step::Wait(_)
    ));
    let mut is_shed = |call: &mut Call| {
        let step = step(&router, call, now);
        matches!(step, Step::Refuse(Refusal::Overloaded))
    };
    let shed: Vec<bool> = waiting.iter_mut().map(&mut is_shed).collect();
    assert!(
        shed[..2_048].iter().all(|shed| *shed),
        "the service with the lowest priority"
    );
    assert!(shed[2 * 2_048 - 1], "the last call of the next service");
    assert!(!shed[2_048..2 * 2_048 - 1].contains(&true));
    assert!(!shed[2 * 2_048..].contains(&true));
    assert_eq!(router.waiting(), 8_192, "the limit over all queues");
}

#[test]
fn a_leaving_target_gets_no_new_unkeyed_requests() {
    let mut view = view(2, 2);
    let service = view
        .state
        .services
        .get_mut(&ServiceId::from(REPORTS))
        .unwrap();
    service.targets.get_mut(&target_id(0)).unwrap().state = TargetState::Leaving;
    let router = router(view);
    let now = Instant::now();
    let later = now + Duration::from_millis(100);
    let mut call = Call::new(request(now, 1));
    let _ = step(&router, &mut call, now);
    match step(&router, &mut call, later) {
        Step::Send(attempt) => assert_eq!(attempt.target, target_id(1)),
        other => panic!("{other:?}"),
    };
}

#[test]
fn statistics_survive_a_new_view() {
    let router = router(view(1, 1));
    let now = Instant::now();
    let (_, attempt) = send(&router, request(now, 0), now).unwrap();
    router.update(Arc::new(view(2, 1)));
    assert_eq!(
        router.in_flight(&ServiceId::from(REPORTS), &target_id(0)),
        1
    );
    drop(attempt);
    assert_eq!(
        router.in_flight(&ServiceId::from(REPORTS), &target_id(0)),
        0
    );
}

#[test]
fn a_new_target_starts_with_part_of_its_slots() {
    let router = router(view(2, 6));
    let now = Instant::now();
    router.update(Arc::new(view(3, 6)));
    let later = now + Duration::from_millis(500);
    let _all: Vec<_> = (0..30)
        .filter_map(|n| send(&router, request(later, n), later))
        .collect();
    assert_eq!(
        router.in_flight(&ServiceId::from(REPORTS), &target_id(2)),
        1
    );
    let warm = now + Duration::from_secs(12);
    let _more: Vec<_> = (0..30)
        .filter_map(|n| send(&router, request(warm, n), warm))
        .collect();
    assert_eq!(
        router.in_flight(&ServiceId::from(REPORTS), &target_id(2)),
        6
    );
}

#[test]
fn at_most_half_of_the_targets_are_ejected() {
    let router = router(view(4, 1));
    let mut now = Instant::now();
    for n in 0..200 {
        now += Duration::from_millis(1);
        if let Some((mut call, attempt)) = send(&router, request(now, n), now) {
            let _ = call.finish_attempt(&router, now, attempt, AttemptOutcome::NotSent);
        }
    }
    now += Duration::from_millis(100);
    let still: Vec<_> = (0..4)
        .filter_map(|n| send(&router, request(now, n), now))
        .collect();
    assert!(still.len() >= 2, "only {} targets are tried", still.len());
}

#[test]
fn a_single_timeout_does_not_eject_the_target() {
    let router = router(view(2, 6));
    let now = Instant::now();
    for n in 0..50 {
        let (mut call, attempt) = send(&router, request(now, n), now).unwrap();
        let next = call.finish_attempt(&router, now, attempt, AttemptOutcome::TimedOut);
        drop(call);
        if next == NextAction::Retry {
            let (mut call, attempt) = send(&router, request(now, n), now).unwrap();
            let _ = call.finish_attempt(&router, now, attempt, OK);
        }
        let (mut call, attempt) = send(&router, request(now, n), now).unwrap();
        assert_eq!(
            attempt.target,
            target_id(0),
            "the local target was ejected after {n} rounds"
        );
        let _ = call.finish_attempt(&router, now, attempt, OK);
    }
}

#[test]
fn a_wrong_load_hint_does_not_exclude_a_target() {
    let router = router(view(2, 2));
    let now = Instant::now();
    router.record_load_hint(&ServiceId::from(REPORTS), &target_id(0), 100, now);
    let (_, attempt) = send(&router, request(now, 0), now).unwrap();
    assert_eq!(
        attempt.target,
        target_id(0),
        "the local target is not selected"
    );
}

#[test]
fn a_keyed_call_waits_for_an_owner_and_is_sent_only_to_it() {
    let mut view = view(3, 2);
    set_owner(&mut view, 4, None, 2);
    let router = router(view.clone());
    let now = Instant::now();
    let wake_counter = Arc::<WakeCounter>::default();
    let mut call = Call::new(keyed_request(now, 4));
    assert!(matches!(
        call.step(&router, now, &wake_counter.waker()),
        Step::Wait(_)
    ));
    set_owner(&mut view, 4, Some(2), 3);
    router.update(Arc::new(view));
    assert_eq!(wake_counter.count(), 1);
    let Step::Send(attempt) = step(&router, &mut call, now) else {
        panic!("not sent");
    };
    assert_eq!(attempt.target, target_id(2));
    assert_eq!(attempt.shard.unwrap().fence.0, 3);
}

#[test]
fn after_a_refusal_of_its_fence_a_call_waits_for_a_newer_one() {
    let mut view = view(3, 2);
    let router = router(view.clone());
    let now = Instant::now();
    let (mut call, attempt) = send(&router, keyed_request(now, 4), now).unwrap();
    assert_eq!(
        call.finish_attempt(&router, now, attempt, AttemptOutcome::NotRun),
        NextAction::Retry
    );
    assert!(
        matches!(step(&router, &mut call, now), Step::Wait(_)),
        "the call is sent again to the same owner at once"
    );
    set_owner(&mut view, 4, Some(0), 2);
    router.update(Arc::new(view));
    assert!(matches!(step(&router, &mut call, now), Step::Send(_)));
}

#[test]
fn the_queue_of_one_shard_is_bounded() {
    let mut view = view(1, 1);
    set_owner(&mut view, 4, None, 2);
    let router = router(view);
    let now = Instant::now();
    let mut calls: Vec<Call> = (0..200).map(|_| Call::new(keyed_request(now, 4))).collect();
    let waits = calls
        .iter_mut()
        .map(|call| step(&router, call, now))
        .filter(|step| matches!(step, Step::Wait(_)))
        .count();
    assert_eq!(waits, 128);
    drop(calls);
    assert_eq!(router.waiting(), 0);
}
