//! The sample settings and tickets are valid and of the sizes of today.

use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

use googletest::prelude::*;

use gooseberryloft::settings::Settings;
use gooseberryloft::ticket;
use gooseberryloft::ticket::InForce;
use gooseberryloft::ticket::Service;
use gooseberryloft::ticket::TargetState;

fn sample(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("etc").join(name)
}

fn settings(name: &str) -> Settings {
    Settings::load(&sample(name)).unwrap_or_else(|error| panic!("{error}"))
}

// Files the tickets of a folder in order.
fn in_force(folder: &str) -> InForce {
    let mut state = InForce::default();
    for name in ["1.ini", "2.ini"] {
        let path = sample(folder).join(name);
        let text = std::fs::read_to_string(&path).expect("the sample exists");
        let ticket = ticket::parse(&text).unwrap_or_else(|errors| panic!("{errors}"));
        assert_eq!(ticket.base, state.number, "{}", path.display());
        let faults = ticket::check::change(&state, &ticket);
        assert!(faults.is_empty(), "{faults:?}");
        state = state.apply(&ticket);
    }
    state
}

fn sizes(state: &InForce) -> Vec<String> {
    let size = |(name, service): (_, &Service)| {
        let all_have = |slots, connections| {
            let mut targets = service.targets.values();
            targets.all(|t| (t.slots, t.connections) == (slots, connections))
        };
        let kind = if service.keying.is_some() {
            "keyed"
        } else {
            "unkeyed"
        };
        let each = match (all_have(6, 130), all_have(2, 45)) {
            (true, _) => "6/130",
            (_, true) => "2/45",
            _ => "mixed",
        };
        format!("{name} {kind} {} of {each}", service.targets.len())
    };
    state.services.iter().map(size).collect()
}

fn data_centres(state: &InForce) -> usize {
    let targets = state.services.values().flat_map(|s| s.targets.values());
    targets
        .map(|t| t.data_centre.clone())
        .collect::<BTreeSet<_>>()
        .len()
}

fn leaving(state: &InForce) -> usize {
    let targets = state.services.values().flat_map(|s| s.targets.values());
    targets.filter(|t| t.state == TargetState::Leaving).count()
}

#[googletest::test]
fn the_guild_has_its_sizes() {
    let state = in_force("guild");
    expect_that!(
        sizes(&state),
        elements_are![
            eq("booking-billing unkeyed 10 of 6/130"),
            eq("job-status keyed 15 of 6/130"),
            eq("manual-library unkeyed 8 of 6/130"),
            eq("roster unkeyed 12 of 6/130"),
        ]
    );
    expect_that!(data_centres(&state), eq(4));
    expect_that!(leaving(&state), eq(1));
    expect_that!(settings("guild/vm.ini").report.entries, len(eq(12)));
}

#[googletest::test]
fn vitrinas_has_its_sizes() {
    let state = in_force("vitrinas");
    expect_that!(
        sizes(&state),
        elements_are![
            eq("declaration-filing unkeyed 6 of 2/45"),
            eq("floor-plans unkeyed 6 of 2/45"),
            eq("listing-search keyed 15 of 2/45"),
            eq("street-reports unkeyed 10 of 2/45"),
        ]
    );
    expect_that!(data_centres(&state), eq(3));
    expect_that!(leaving(&state), eq(1));
    expect_that!(settings("vitrinas/vm.ini").report.entries, len(eq(11)));
}

#[googletest::test]
fn the_local_vms_are_three_and_distinct() {
    let state = in_force("local");
    expect_that!(state.services, len(eq(2)));
    let names = ["local/vm-1.ini", "local/vm-2.ini", "local/vm-3.ini"];
    let all: Vec<Settings> = names.into_iter().map(settings).collect();
    let listeners = all.iter().flat_map(|s| {
        [
            s.entry.listen,
            s.entry.admin,
            s.controller.peer,
            s.controller.admin,
        ]
    });
    expect_that!(listeners.collect::<BTreeSet<_>>(), len(eq(12)));
    let data_centres = all.iter().map(|s| s.vm.data_centre.clone());
    expect_that!(data_centres.collect::<BTreeSet<_>>(), len(eq(3)));
    expect_that!(all.iter().all(|s| s.token == all[0].token), eq(true));
}
