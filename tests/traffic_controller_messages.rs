//! What controllers tell entries besides the view: their ranks, and requests that crash targets.

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
    let told = |action: &Action| match action {
        Action::Send {
            message: Message::Rank(rank),
            ..
        } => Some(*rank),
        _ => None,
    };
    actions.iter().filter_map(told).collect()
}

#[googletest::test]
fn every_listed_entry_has_a_rank_of_its_own() {
    let now = Instant::now();
    let mut told = BTreeSet::new();
    for vm in 0..12 {
        let mut controller = controller(now);
        controller.handle(now, list(0..12));
        let ranks = ranks(&controller.handle(now, entry_links(vm)));
        assert_that!(ranks, len(eq(1)));
        expect_that!(ranks[0].entries, eq(12));
        told.insert(ranks[0].rank);
    }
    expect_that!(told, len(eq(12)));
}

#[googletest::test]
fn the_rank_follows_the_list() {
    let now = Instant::now();
    let mut controller = controller(now);
    expect_that!(ranks(&controller.handle(now, entry_links(5))), is_empty());
    let told = ranks(&controller.handle(now, list(0..12)));
    expect_that!(
        told,
        elements_are![eq(&EntryRank {
            rank: 5,
            entries: 12
        })]
    );
    let told = ranks(&controller.handle(now, list(4..12)));
    expect_that!(
        told,
        elements_are![eq(&EntryRank {
            rank: 1,
            entries: 8
        })]
    );
    expect_that!(ranks(&controller.handle(now, list(4..12))), is_empty());
    // A VM that the list lacks counts as one more.
    let told = ranks(&controller.handle(now, list(6..12)));
    expect_that!(
        told,
        elements_are![eq(&EntryRank {
            rank: 0,
            entries: 7
        })]
    );
}

fn told_crashes(actions: Vec<Action>, from: u64) -> Vec<(u64, CrashReport)> {
    let mut told = Vec::new();
    for action in actions {
        if let Action::Send {
            links,
            message: Message::Crashes(report),
        } = action
        {
            told.extend(links.iter().map(|to| (to.0, report.clone())));
        }
    }
    expect_that!(told.iter().any(|(to, _)| *to == from), eq(true));
    told.retain(|(to, _)| *to != from);
    told
}

#[googletest::test]
fn what_one_entry_knows_of_crashes_reaches_the_others_and_ends() {
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
    let told = |controller: &mut StateSync, at: Instant| {
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
    let actions = told(&mut controller, now);
    let reached = told_crashes(actions, 1);
    expect_that!(reached, len(eq(2)));
    expect_that!(reached[0].1.facts[0].fingerprint, eq(7));
    expect_that!(reached[0].1.facts[0].age_ms, eq(1020));
    // Told again, it is nothing new.
    let late = told(&mut controller, now + Duration::from_millis(10));
    let again = |action: &Action| {
        matches!(
            action,
            Action::Send {
                message: Message::Crashes(_),
                ..
            }
        )
    };
    expect_that!(late.iter().any(again), eq(false));
    // Who links later is told.
    let later = controller.handle(now + Duration::from_secs(2), entry_links(3));
    expect_that!(later.iter().any(again), eq(true));
}
