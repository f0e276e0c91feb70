//! What a node believes of its links to targets, and what it knows of those of other nodes.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::ids::BootId;
use gooseberryloft::ids::VmId;
use gooseberryloft::node::datagram::Datagram;
use gooseberryloft::node::datagram::MAX_DATAGRAM_BYTES;
use gooseberryloft::node::datagram::MAX_REPORTED_PROCESSES;
use gooseberryloft::node::datagram::Message;
use gooseberryloft::node::datagram::ReachReport;
use gooseberryloft::node::datagram::Tag;
use gooseberryloft::node::limit::ProcessTag;
use gooseberryloft::node::reach::BELIEF_AGE;
use gooseberryloft::node::reach::BeliefChange;
use gooseberryloft::node::reach::BeliefEnd;
use gooseberryloft::node::reach::Evidence;
use gooseberryloft::node::reach::Link;
use gooseberryloft::node::reach::Reach;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn process(name: &str, incarnation: u64) -> ProcessTag {
    ProcessTag {
        target: Tag::of(name),
        incarnation,
    }
}

fn gained(change: Option<BeliefChange>) -> Option<Evidence> {
    match change {
        Some(BeliefChange::Gained(belief)) => Some(belief.evidence),
        _ => None,
    }
}

fn end(change: Option<BeliefChange>) -> Option<BeliefEnd> {
    match change {
        Some(BeliefChange::Ended(_, end)) => Some(end),
        _ => None,
    }
}

// Lets a check of the link hang that begins at `begun`; returns the evidence of a new belief.
fn hang(link: &Link, begun: Instant) -> Option<Evidence> {
    link.begin_check(begun);
    gained(link.record_failure(false, begun, begun + CONNECT_TIMEOUT))
}

#[googletest::test]
fn a_refused_connection_makes_a_target_unreachable_until_a_check_connects() {
    let (link, start) = (Link::default(), Instant::now());
    let change = link.record_failure(true, start, start);
    expect_that!(gained(change), some(eq(Evidence::Refused)));
    expect_true!(link.is_unreachable(start));
    expect_true!(link.is_check_due(None, start));
    expect_that!(
        end(link.record_connected(start + ms(300))),
        some(eq(BeliefEnd::Connected))
    );
    expect_false!(link.is_unreachable(start + ms(300)));
    expect_false!(link.is_check_due(None, start + ms(900)));
}

#[googletest::test]
fn a_link_without_any_sign_of_life_is_unreachable_after_one_connection_that_hangs() {
    let (link, start) = (Link::default(), Instant::now());
    link.record_response(start);
    expect_that!(hang(&link, start + ms(50)), some(eq(Evidence::Hung)));
}

#[googletest::test]
fn on_a_lossy_path_one_connection_that_hangs_does_not_make_a_target_unreachable() {
    let (link, start) = (Link::default(), Instant::now());
    link.record_sent(start);
    link.record_response(start + ms(100));
    expect_that!(hang(&link, start), none());
    expect_true!(link.is_check_due(None, start + ms(300)));
    link.record_connected(start + ms(350));
    link.record_response(start + ms(500));
    expect_that!(hang(&link, start + ms(400)), none());
    expect_false!(link.is_unreachable(start + ms(700)));
}

#[googletest::test]
fn requests_without_response_only_cause_a_check_of_a_slow_target() {
    let (link, start) = (Link::default(), Instant::now());
    link.record_sent(start);
    expect_false!(link.is_check_due(None, start + ms(100)));
    expect_true!(link.is_check_due(None, start + ms(400)));
    expect_false!(link.is_unreachable(start + ms(400)));
    expect_false!(link.is_check_due(Some(ms(200)), start + ms(400)));
    expect_true!(link.is_check_due(Some(ms(200)), start + ms(600)));
    link.begin_check(start + ms(600));
    expect_that!(end(link.record_connected(start + ms(601))), none());
    expect_false!(link.is_check_due(None, start + ms(1_100)));
}

#[googletest::test]
fn a_one_way_path_on_which_requests_are_lost_is_unreachable_until_one_is_answered() {
    let (link, start) = (Link::default(), Instant::now());
    link.record_response(start);
    link.record_sent(start);
    expect_true!(link.is_carrying(start + ms(200)));
    expect_false!(link.is_carrying(start + ms(400)));
    expect_that!(hang(&link, start + ms(400)), some(eq(Evidence::Silent)));
    expect_false!(link.is_carrying(start + ms(700)));
    expect_that!(
        end(link.record_response(start + ms(800))),
        some(eq(BeliefEnd::Answered))
    );
    expect_false!(link.is_unreachable(start + ms(800)));
}

#[googletest::test]
fn a_path_that_lives_on_while_new_connections_are_refused_carries_requests() {
    let (link, start) = (Link::default(), Instant::now());
    link.record_response(start);
    let change = link.record_failure(true, start + ms(10), start + ms(10));
    expect_that!(gained(change), some(eq(Evidence::Refused)));
    expect_that!(link.record_response(start + ms(300)), none());
    expect_true!(link.is_unreachable(start + ms(400)));
    expect_true!(link.is_carrying(start + ms(400)));
    expect_true!(link.takes_requests(start + ms(400)));
    // The target has not responded for a while.
    expect_false!(link.takes_requests(start + ms(1_000)));
}

#[googletest::test]
fn a_belief_without_new_evidence_expires() {
    let (link, start) = (Link::default(), Instant::now());
    link.record_failure(true, start, start);
    let renewed = start + ms(1_000);
    expect_that!(link.record_failure(true, renewed, renewed), none());
    expect_that!(link.expire(start + BELIEF_AGE), none());
    expect_true!(link.is_unreachable(start + BELIEF_AGE));
    expect_false!(link.is_unreachable(renewed + BELIEF_AGE));
    expect_that!(
        end(link.expire(renewed + BELIEF_AGE)),
        some(eq(BeliefEnd::Expired))
    );
    expect_that!(link.expire(renewed + BELIEF_AGE), none());
}

#[googletest::test]
fn checks_of_an_unreachable_target_become_rarer_but_renew_the_belief() {
    let (link, start) = (Link::default(), Instant::now());
    link.record_failure(true, start, start);
    let (mut checks, mut now) = (0, start);
    while now < start + ms(20_000) {
        now += ms(100);
        if link.is_check_due(None, now) {
            link.begin_check(now);
            link.record_failure(true, now, now);
            checks += 1;
        }
        expect_true!(link.is_unreachable(now));
    }
    expect_that!(checks, le(30));
    expect_that!(link.belief(now).map(|belief| belief.since), some(eq(start)));
}

#[googletest::test]
fn a_report_of_another_node_holds_until_it_is_withdrawn_or_too_old() {
    let (reach, start) = (Reach::default(), Instant::now());
    let (a, b) = (VmId::from("a"), VmId::from("b"));
    let target = process("t", 1);
    reach.record_report(&a, target, start + ms(1_000));
    expect_true!(reach.is_reported(&a, target, start));
    expect_false!(reach.is_reported(&b, target, start));
    expect_false!(reach.is_reported(&a, process("t", 2), start));
    expect_false!(reach.is_reported(&a, target, start + ms(1_000)));
    reach.withdraw_report(&a, target);
    expect_false!(reach.is_reported(&a, target, start));
    reach.record_report(&a, target, start + ms(1_000));
    reach.forget_node(&a);
    expect_false!(reach.is_reported(&a, target, start));
}

#[googletest::test]
fn each_change_is_told_twice_and_only_the_last_one_of_a_target() {
    let (reach, start) = (Reach::default(), Instant::now());
    let (link, target) = (Link::default(), process("t", 1));
    let lost = link.record_failure(true, start, start);
    reach.record_change(target, lost.expect("a belief is gained"));
    expect_that!(reach.take_unsent(), elements_are![eq(&(target, true))]);
    let regained = link.record_connected(start);
    reach.record_change(target, regained.expect("the belief ends"));
    for _ in 0..2 {
        expect_that!(reach.take_unsent(), elements_are![eq(&(target, false))]);
    }
    expect_that!(reach.take_unsent(), is_empty());
}

#[googletest::test]
fn a_full_report_fits_into_a_datagram() {
    let process = ProcessTag {
        target: Tag(u32::MAX),
        incarnation: u64::MAX,
    };
    let datagram = Datagram {
        node: VmId::from("n".repeat(64).as_str()),
        boot: BootId(u64::MAX),
        message: Message::Reach(ReachReport {
            valid_ms: u16::MAX,
            unreachable: vec![process; MAX_REPORTED_PROCESSES],
            reached: Vec::new(),
        }),
    };
    let bytes = datagram.encode();
    expect_that!(bytes.len(), le(MAX_DATAGRAM_BYTES));
    expect_that!(Datagram::decode(&bytes), some(eq(&datagram)));
}
