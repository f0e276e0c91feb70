//! Which node tries to take a lease and when, and which previous leaders a new lease lists.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::ids::BootId;
use gooseberryloft::ids::ServiceId;
use gooseberryloft::ids::VmId;
use gooseberryloft::node::keys::election::CpuCapacity;
use gooseberryloft::node::keys::election::Election;
use gooseberryloft::node::keys::election::Lease;
use gooseberryloft::node::keys::election::PreviousLeader;
use gooseberryloft::platform::Generation;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn start() -> Instant {
    Instant::now() + Duration::from_secs(100)
}

fn lease(term: u64, node: &str, boot: u64) -> Lease {
    Lease {
        term,
        node: VmId::from(node),
        boot: BootId(boot),
        maybe_active: Vec::new(),
        handover: None,
    }
}

#[googletest::test]
fn a_leader_without_heartbeats_is_replaced_in_the_order_of_ranks() {
    let now = start();
    let mut election = Election::new(ServiceId::from("search"), now);
    election.record_leader(3, &VmId::from("a"), BootId(1), now);
    expect_that!(election.should_campaign(0, now + MS(600)), eq(false));
    expect_that!(election.should_campaign(0, now + MS(660)), eq(true));
    expect_that!(election.should_campaign(1, now + MS(660)), eq(false));
    expect_that!(election.should_campaign(1, now + MS(910)), eq(true));
}

#[googletest::test]
fn a_leader_that_stopped_is_replaced_at_once() {
    let now = start();
    let mut election = Election::new(ServiceId::from("search"), now);
    election.record_leader(3, &VmId::from("a"), BootId(1), now);
    election.record_end(3, now + MS(10));
    expect_that!(election.should_campaign(0, now + MS(11)), eq(true));
}

#[googletest::test]
fn a_lease_that_a_restore_lost_is_not_taken_for_one_that_was_never_written() {
    let now = start();
    let mut election = Election::new(ServiceId::from("search"), now);
    expect_that!(election.missing_lease(true, false), none());
    expect_that!(election.missing_lease(true, true), some(eq(&Lease::lost())));
    expect_that!(election.missing_lease(false, false), some(anything()));
    election.record_leader(3, &VmId::from("a"), BootId(1), now);
    expect_that!(election.missing_lease(true, false), some(anything()));
    let lost = election.missing_lease(true, true);
    let next = election.next_lease(lost.as_ref(), Generation(2), &VmId::from("b"), BootId(9));
    expect_that!(next.lost_term(), some(anything()));
}

#[googletest::test]
fn a_later_process_on_its_node_ends_a_leader() {
    let now = start();
    let mut election = Election::new(ServiceId::from("search"), now);
    election.record_leader(3, &VmId::from("a"), BootId(1), now);
    election.record_process(&VmId::from("a"), BootId(2), 3, now + MS(10));
    expect_that!(election.should_campaign(0, now + MS(11)), eq(true));
    let next = election.next_lease(
        Some(&lease(3, "a", 1)),
        Generation::default(),
        &VmId::from("b"),
        BootId(9),
    );
    expect_that!(next.term, eq(4));
    expect_that!(next.maybe_active, is_empty());
}

#[googletest::test]
fn a_delayed_heartbeat_of_an_earlier_process_ends_no_leader() {
    let now = start();
    let mut election = Election::new(ServiceId::from("search"), now);
    election.record_lease(&lease(3, "a", 2), now);
    election.record_process(&VmId::from("a"), BootId(1), 2, now + MS(10));
    expect_that!(election.should_campaign(0, now + MS(11)), eq(false));
    let next = election.next_lease(
        Some(&lease(3, "a", 2)),
        Generation::default(),
        &VmId::from("b"),
        BootId(9),
    );
    expect_that!(next.maybe_active.len(), eq(1));
}

#[googletest::test]
fn a_lease_lists_the_previous_leaders_that_may_still_send_orders() {
    let now = start();
    let election = Election::new(ServiceId::from("search"), now);
    let first = election.next_lease(
        Some(&lease(3, "a", 1)),
        Generation::default(),
        &VmId::from("b"),
        BootId(9),
    );
    expect_that!(first.maybe_active.len(), eq(1));
    let second = election.next_lease(
        Some(&first),
        Generation::default(),
        &VmId::from("c"),
        BootId(8),
    );
    let terms: Vec<u64> = second
        .maybe_active
        .iter()
        .map(|previous| previous.term)
        .collect();
    expect_that!(terms, elements_are![eq(&3), eq(&4)]);
}

#[googletest::test]
fn a_heartbeat_of_an_earlier_term_is_ignored() {
    let now = start();
    let mut election = Election::new(ServiceId::from("search"), now);
    election.record_leader(5, &VmId::from("a"), BootId(1), now);
    expect_that!(
        election.record_leader(4, &VmId::from("b"), BootId(2), now),
        eq(false)
    );
    expect_that!(election.term(), eq(5));
}

#[googletest::test]
fn nodes_with_most_cpu_come_first_and_all_ranks_differ() {
    let election = Election::new(ServiceId::from("search"), start());
    let names: Vec<VmId> = ["a", "b", "c", "d"].map(VmId::from).to_vec();
    let cpu = |at: usize| CpuCapacity(if at == 2 { 50 } else { 10 });
    let all = || names.iter().enumerate().map(|(at, name)| (name, cpu(at)));
    let ranks: Vec<u32> = all().map(|own| election.rank(own, all())).collect();
    expect_that!(ranks[2], eq(0));
    let mut sorted = ranks.clone();
    sorted.sort_unstable();
    expect_that!(sorted, elements_are![eq(&0), eq(&1), eq(&2), eq(&3)]);
}

#[googletest::test]
fn repeated_reports_of_a_leaders_end_do_not_delay_its_replacement() {
    let now = Instant::now();
    let mut election = Election::new(ServiceId::from("search"), now);
    election.record_leader(1, &VmId::from("a"), BootId(1), now);
    for repeat in 0..10 {
        election.record_end(1, now + MS(100 * repeat));
    }
    expect_that!(election.should_campaign(1, now + MS(1_000)), eq(true));
}

#[googletest::test]
fn a_previous_leader_counts_as_ended_once_its_lease_has_expired() {
    let now = Instant::now();
    let mut election = Election::new(ServiceId::from("search"), now);
    let removed = PreviousLeader {
        term: 1,
        node: VmId::from("removed"),
        boot: BootId(1),
    };
    let lease = Lease {
        term: 2,
        node: VmId::from("n1"),
        boot: BootId(2),
        maybe_active: vec![removed.clone()],
        handover: None,
    };
    let own = VmId::from("n1");
    election.record_expiry(&lease, now, now + Duration::from_secs(19));
    expect_that!(election.has_ended(&removed, &own), eq(false));
    election.record_expiry(&lease, now, now + Duration::from_secs(20));
    expect_that!(election.has_ended(&removed, &own), eq(true));
    let next = election.next_lease(Some(&lease), Generation::default(), &own, BootId(2));
    expect_that!(next.maybe_active, is_empty());
}

#[googletest::test]
fn a_term_that_a_restore_lost_is_not_given_out_again() {
    let now = start();
    let election = Election::new(ServiceId::from("search"), now);
    let (a, b) = (VmId::from("a"), VmId::from("b"));
    let generation = Generation(1);
    let backup = election.next_lease(None, generation, &a, BootId(1));
    let lost = election.next_lease(Some(&backup), generation, &b, BootId(2));
    let next = election.next_lease(Some(&backup), Generation(2), &a, BootId(3));
    expect_that!(next.term, gt(lost.term));
    expect_that!(next.lost_term(), some(ge(lost.term)));
    expect_that!(next.lost_term(), some(lt(next.term)));
}

#[googletest::test]
fn a_leader_that_recovers_from_a_restore_is_not_replaced() {
    let now = start();
    let mut election = Election::new(ServiceId::from("search"), now);
    let a = VmId::from("a");
    election.record_lease(&lease(7, "a", 1), now);
    election.record_leader(3, &a, BootId(1), now + MS(600));
    expect_that!(election.should_campaign(0, now + MS(700)), eq(false));
    election.record_leader(3, &a, BootId(2), now + MS(1_200));
    expect_that!(election.should_campaign(0, now + MS(1_300)), eq(true));
}
