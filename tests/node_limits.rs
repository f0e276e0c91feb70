//! Limits that targets name: which observation counts, and how permits are issued.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use proptest::prelude::*;

use gooseberryloft::ids::VmId;
use gooseberryloft::node::datagram::LimitReport;
use gooseberryloft::node::datagram::Tag;
use gooseberryloft::node::limit::Evidence;
use gooseberryloft::node::limit::Permits;
use gooseberryloft::node::limit::ProcessTag;
use gooseberryloft::node::limit::RequestRate;
use gooseberryloft::node::limit::TargetLimit;
use gooseberryloft::node::limit::Verdict;
use gooseberryloft::node::limit::issue_rate;
use gooseberryloft::node::limit::issuer;

const MS: fn(u64) -> Duration = Duration::from_millis;
const TARGET: ProcessTag = ProcessTag {
    target: Tag(7),
    incarnation: 1,
};

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).expect("a valid rate")
}

fn named(per_second: f64, at: Instant) -> Evidence {
    Evidence {
        rate: Some(rate(per_second)),
        at,
    }
}

fn not_named(at: Instant) -> Evidence {
    Evidence { rate: None, at }
}

#[googletest::test]
fn a_response_to_a_request_sent_before_the_limit_was_named_does_not_end_it() {
    let now = Instant::now();
    let limit = TargetLimit::default();
    limit.merge(named(4.0, now + MS(100)));
    expect_that!(limit.merge(not_named(now + MS(90))), eq(false));
    expect_that!(limit.rate(), some(eq(rate(4.0))));
    expect_that!(limit.merge(not_named(now + MS(110))), eq(true));
    expect_that!(limit.rate(), none());
}

#[googletest::test]
fn an_old_report_of_another_node_does_not_bring_a_limit_back() {
    let now = Instant::now();
    let limit = TargetLimit::default();
    limit.merge(not_named(now + MS(900)));
    let report = LimitReport::new(TARGET, named(4.0, now), now + MS(500));
    expect_that!(limit.merge(report.evidence(now + MS(800))), eq(false));
    expect_that!(limit.rate(), none());
}

#[googletest::test]
fn a_report_that_was_long_under_way_does_not_end_a_limit_named_since() {
    let now = Instant::now();
    let limit = TargetLimit::default();
    limit.merge(named(4.0, now + MS(50)));
    let report = LimitReport::new(TARGET, not_named(now), now);
    expect_that!(limit.merge(report.evidence(now + MS(90))), eq(false));
    expect_that!(limit.rate(), some(eq(rate(4.0))));
}

#[googletest::test]
fn values_that_are_no_rate_are_not_taken_for_one() {
    for text in ["", "-1", "nan", "inf", "1e999", "4 a second", "4,5"] {
        expect_that!(text.parse::<RequestRate>(), err(anything()), "{text}");
    }
    expect_that!(" 4.5 ".parse::<RequestRate>(), ok(eq(&rate(4.5))));
    expect_that!("0".parse::<RequestRate>(), ok(eq(&rate(0.0))));
}

#[googletest::test]
fn a_target_that_takes_nothing_gets_a_request_now_and_then() {
    let start = Instant::now();
    let mut permits = Permits::default();
    let polls = (0..600).map(|step| start + MS(100) * step);
    let granted = polls
        .map(|now| permits.take(TARGET, issue_rate(rate(0.0)), now))
        .filter(|verdict| *verdict == Verdict::Granted);
    expect_that!(granted.count(), all![ge(20), le(31)]);
}

#[googletest::test]
fn a_new_issuer_has_no_permit_left_over() {
    let mut permits = Permits::default();
    let verdict = permits.take(TARGET, 10.0, Instant::now());
    expect_that!(verdict, eq(Verdict::Denied(MS(100))));
}

#[googletest::test]
fn a_lost_node_changes_the_issuer_of_its_targets_only() {
    let nodes: Vec<_> = (0..12).map(|n| VmId::from(format!("vm-{n}"))).collect();
    let lost = &nodes[5];
    let mut issuers = BTreeSet::new();
    for target in (0..200).map(|n| Tag::of(&format!("t{n}"))) {
        let before = issuer(target, nodes.iter()).expect("there are nodes");
        let after = issuer(target, nodes.iter().rev().filter(|node| *node != lost));
        issuers.insert(before);
        if before != lost {
            expect_that!(after, some(eq(before)));
        }
    }
    expect_that!(issuers.len(), eq(12));
}

proptest! {
    #[test]
    fn permits_stay_below_the_limit_in_every_span(
        limit in 0.0..60.0f64,
        pauses in proptest::collection::vec(0u64..400, 1..400),
    ) {
        let mut permits = Permits::default();
        let mut now = Instant::now();
        let mut granted = Vec::new();
        for pause in pauses {
            now += MS(pause);
            if permits.take(TARGET, issue_rate(rate(limit)), now) == Verdict::Granted {
                granted.push(now);
            }
        }
        for first in &granted {
            let span = granted.iter().filter(|at| *at >= first && **at < *first + MS(4_000));
            let count = span.count() as f64;
            prop_assert!(count <= 1.5 * 4.0 * limit + 5.0, "{count} permits in 4 s");
        }
    }
}
