//! Messages from controllers to entries besides the view: the rank of each entry, and reports of
//! requests that crash targets.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::ids::BootId;
use gooseberryloft::ids::VmId;
use gooseberryloft::link::Hello;
use gooseberryloft::link::Message;
use gooseberryloft::link::Role;
use gooseberryloft::member::VmDirectory;
use gooseberryloft::platform::VmEntry;
use gooseberryloft::platform::VmState;
use gooseberryloft::route::CrashFact;
use gooseberryloft::route::CrashKind;
use gooseberryloft::route::CrashReport;
use gooseberryloft::route::EntryRank;
use gooseberryloft::state_sync::Action;
use gooseberryloft::state_sync::Input;
use gooseberryloft::state_sync::LinkId;
use gooseberryloft::state_sync::StateSync;
use gooseberryloft::state_sync::StateSyncConf;
use gooseberryloft::view::ViewDigest;

fn name(n: usize) -> VmId {
    VmId::from(format!("entry-{n:02}"))
}

fn list(vms: impl Iterator<Item = usize>) -> Input {
    let entry = |n| VmEntry {
        vm: name(n),
        data_centre: "ikeja".into(),
        address: ([127, 0, 0, 1], n as u16 + 1).into(),
        state: VmState::Live,
    };
    Input::VmList(Arc::new(VmDirectory::new(vms.map(entry).collect())))
}

fn controller(now: Instant) -> StateSync {
    let conf = StateSyncConf {
        vm: name(0),
        boot: BootId(1),
        data_centre: "ikeja".into(),
        stale_limit: Duration::from_secs(30),
        seeds: Vec::new(),
    };
    StateSync::new(conf, now)
}

fn entry_links(vm: usize) -> Input {
    let hello = Hello {
        vm: name(vm),
        boot: BootId(2),
        data_centre: "ikeja".into(),
        role: Role::Entry,
        digest: ViewDigest::default(),
    };
    Input::LinkOpened {
        link: LinkId(vm as u64),
        hello,
        dialled: false,
    }
}

fn ranks(actions: &[Action]) -> Vec<EntryRank> {
    let rank = |action: &Action| match action {
        Action::Send {
            message: Message::Rank(rank),
            ..
        } => Some(*rank),
        _ => None,
    };
    actions.iter().filter_map(rank).collect()
}

#[googletest::test]
fn every_listed_entry_has_a_unique_rank() {
    let now = Instant::now();
    let mut assigned = BTreeSet::new();
    for vm in 0..12 {
        let mut controller = controller(now);
        controller.handle(now, list(0..12));
        let ranks = ranks(&controller.handle(now, entry_links(vm)));
        assert_that!(ranks, len(eq(1)));
        expect_that!(ranks[0].entries, eq(12));
        assigned.insert(ranks[0].rank);
    }
    expect_that!(assigned, len(eq(12)));
}

#[googletest::test]
fn the_rank_changes_with_the_list() {
    let now = Instant::now();
    let mut controller = controller(now);
    expect_that!(ranks(&controller.handle(now, entry_links(5))), is_empty());
    let sent = ranks(&controller.handle(now, list(0..12)));
    expect_that!(
        sent,
        elements_are![eq(&EntryRank {
            rank: 5,
            entries: 12
        })]
    );
    let sent = ranks(&controller.handle(now, list(4..12)));
    expect_that!(
        sent,
        elements_are![eq(&EntryRank {
            rank: 1,
            entries: 8
        })]
    );
    expect_that!(ranks(&controller.handle(now, list(4..12))), is_empty());
    // An entry that is missing in the list is counted in addition.
    let sent = ranks(&controller.handle(now, list(6..12)));
    expect_that!(
        sent,
        elements_are![eq(&EntryRank {
            rank: 0,
            entries: 7
        })]
    );
}

/// Returns the crash reports sent to links other than `from`, with the link of each.
fn crash_reports(actions: Vec<Action>, from: u64) -> Vec<(u64, CrashReport)> {
    let mut sent = Vec::new();
    for action in actions {
        if let Action::Send {
            links,
            message: Message::Crashes(report),
        } = action
        {
            sent.extend(links.iter().map(|to| (to.0, report.clone())));
        }
    }
    expect_that!(sent.iter().any(|(to, _)| *to == from), eq(true));
    sent.retain(|(to, _)| *to != from);
    sent
}

#[googletest::test]
fn a_crash_report_is_forwarded_once_to_every_other_entry() {
    let now = Instant::now();
    let mut controller = controller(now);
    for vm in 0..3 {
        controller.handle(now, entry_links(vm));
    }
    let crash = CrashFact {
        fingerprint: 7,
        age_ms: 20,
        kind: CrashKind::Crashed {
            service: "jobs".into(),
            target: "jobs-1".into(),
        },
    };
    let report = CrashReport { facts: vec![crash] };
    let receive_report = |controller: &mut StateSync, at: Instant| {
        let message = Message::Crashes(report.clone());
        controller.handle(
            at,
            Input::Received {
                link: LinkId(1),
                message,
            },
        );
        controller.handle(at + Duration::from_secs(1), Input::Tick)
    };
    let actions = receive_report(&mut controller, now);
    let forwarded = crash_reports(actions, 1);
    expect_that!(forwarded, len(eq(2)));
    expect_that!(forwarded[0].1.facts[0].fingerprint, eq(7));
    expect_that!(forwarded[0].1.facts[0].age_ms, eq(1020));
    // A report that contains nothing new is not forwarded.
    let repeated = receive_report(&mut controller, now + Duration::from_millis(10));
    let is_crash_report = |action: &Action| {
        matches!(
            action,
            Action::Send {
                message: Message::Crashes(_),
                ..
            }
        )
    };
    expect_that!(repeated.iter().any(is_crash_report), eq(false));
    // An entry that connects later receives the report.
    let joined = controller.handle(now + Duration::from_secs(2), entry_links(3));
    expect_that!(joined.iter().any(is_crash_report), eq(true));
}
