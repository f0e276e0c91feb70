//! The sample settings and tickets are valid and match the current sizes of the installations.

use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

use googletest::prelude::*;

use gooseberryloft::settings::Settings;
use gooseberryloft::ticket;
use gooseberryloft::ticket::InForce;
use gooseberryloft::ticket::Service;
use gooseberryloft::ticket::TargetState;

fn sample_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("etc").join(name)
}

fn settings(name: &str) -> Settings {
    Settings::load(&sample_path(name)).unwrap_or_else(|error| panic!("{error}"))
}

// Applies the tickets of a folder in order and returns the resulting state.
fn in_force(folder: &str) -> InForce {
    let mut state = InForce::default();
    for name in ["1.ini", "2.ini"] {
        let path = sample_path(folder).join(name);
        let text = std::fs::read_to_string(&path).expect("the sample exists");
        let ticket = ticket::parse(&text).unwrap_or_else(|errors| panic!("{errors}"));
        assert_eq!(ticket.base, state.number, "{}", path.display());
        let diagnostics = ticket::check::change(&state, &ticket);
        assert!(diagnostics.is_empty(), "{diagnostics:?}");
        state = state.apply(&ticket);
    }
    state
}

fn describe_services(state: &InForce) -> Vec<String> {
    let describe = |(name, service): (_, &Service)| {
        let all_have = |slots, connections| {
            let mut targets = service.targets.values();
            targets.all(|t| (t.slots, t.connections) == (slots, connections))
        };
        let kind = if service.keying.is_some() {
            "keyed"
        } else {
            "unkeyed"
        };
        let limits = match (all_have(6, 130), all_have(2, 45)) {
            (true, _) => "6/130",
            (_, true) => "2/45",
            _ => "mixed",
        };
        format!("{name} {kind} {} of {limits}", service.targets.len())
    };
    state.services.iter().map(describe).collect()
}

fn count_data_centres(state: &InForce) -> usize {
    let targets = state.services.values().flat_map(|s| s.targets.values());
    targets
        .map(|t| t.data_centre.clone())
        .collect::<BTreeSet<_>>()
        .len()
}

fn count_leaving(state: &InForce) -> usize {
    let targets = state.services.values().flat_map(|s| s.targets.values());
    targets.filter(|t| t.state == TargetState::Leaving).count()
}

#[googletest::test]
fn the_guild_samples_have_the_expected_sizes() {
    let state = in_force("guild");
    expect_that!(
        describe_services(&state),
        elements_are![
            eq("booking-billing unkeyed 10 of 6/130"),
            eq("job-status keyed 15 of 6/130"),
            eq("manual-library unkeyed 8 of 6/130"),
            eq("roster unkeyed 12 of 6/130"),
        ]
    );
    expect_that!(count_data_centres(&state), eq(4));
    expect_that!(count_leaving(&state), eq(1));
    expect_that!(settings("guild/vm.ini").report.entries, len(eq(12)));
}

#[googletest::test]
fn the_vitrinas_samples_have_the_expected_sizes() {
    let state = in_force("vitrinas");
    expect_that!(
        describe_services(&state),
        elements_are![
            eq("declaration-filing unkeyed 6 of 2/45"),
            eq("floor-plans unkeyed 6 of 2/45"),
            eq("listing-search keyed 15 of 2/45"),
            eq("street-reports unkeyed 10 of 2/45"),
        ]
    );
    expect_that!(count_data_centres(&state), eq(3));
    expect_that!(count_leaving(&state), eq(1));
    expect_that!(settings("vitrinas/vm.ini").report.entries, len(eq(11)));
}

#[googletest::test]
fn the_three_local_vms_have_distinct_addresses() {
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
