//! Tests of loading settings: defaults, errors reported together, arbitrary text.

use std::path::Path;
use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;

use gooseberryloft::settings::Settings;
use gooseberryloft::settings::SettingsError;

const MINIMAL: &str = "\
; the shortest file
[vm]
name = entry-1
data_centre = ikeja
[entry]
listen = 127.0.0.1:8080
admin = 127.0.0.1:8081
controllers = 127.0.0.1:8090 127.0.0.2:8090
[controller]
peer = 127.0.0.1:8090
admin = 127.0.0.1:8091
[platform]
table = 127.0.0.1:8100
objects = 127.0.0.1:8101
vms = 127.0.0.1:8102
[security]
token = 0123456789abcdef
";

fn error_lines(text: &str) -> Vec<String> {
    match Settings::parse("vm.ini", text) {
        Ok(_) => Vec::new(),
        Err(diagnostics) => diagnostics.to_string().lines().map(str::to_owned).collect(),
    }
}

#[googletest::test]
fn a_minimal_file_gets_defaults() {
    let settings = Settings::parse("vm.ini", MINIMAL).expect("the file is valid");
    expect_that!(settings.vm.name.as_str(), eq("entry-1"));
    expect_that!(settings.entry.controllers, len(eq(2)));
    expect_that!(settings.entry.drain_limit, none());
    expect_that!(settings.entry.stale_limit, eq(Duration::from_secs(30)));
    expect_that!(settings.report.windows, len(eq(2)));
    expect_that!(
        format!("{settings:?}"),
        not(contains_substring("0123456789abcdef"))
    );
}

#[googletest::test]
fn all_errors_are_listed_at_once() {
    let text = MINIMAL
        .replace("admin = 127.0.0.1:8091", "admin = localhost:8091")
        .replace("data_centre = ikeja\n", "")
        .replace("token = 0123456789abcdef", "token = short\ncolour = red")
        .replace("controllers = ", "stale_limit = 30\ncontrollers = ")
        + "[network]\nport = 1\nnonsense\n[report]\nwindows = 1 h/5 min\nobjective = 100 %\n";
    let errors = error_lines(&text);
    expect_that!(
        errors,
        unordered_elements_are![
            contains_substring("vm.ini:21: [network] neither a section"),
            contains_substring(
                "vm.ini:19: [network] unknown section; remove it or use one of: vm,"
            ),
            contains_substring(
                "vm.ini:2: [vm] data_centre: missing; add `data_centre =` with a name"
            ),
            contains_substring("vm.ini:7: [entry] stale_limit: `30` is not valid; give a duration"),
            contains_substring("vm.ini:11: [controller] admin: `localhost:8091` is not valid"),
            contains_substring("vm.ini:17: [security] token: `short` is not valid; give 16 to 256"),
            contains_substring(
                "vm.ini:18: [security] colour: unknown key; remove it or use one of"
            ),
            contains_substring("vm.ini:23: [report] windows: `1 h/5 min` is not valid"),
            contains_substring("vm.ini:24: [report] objective: `100 %` is not valid"),
        ]
    );
}

#[googletest::test]
fn duplicate_keys_and_listeners_are_rejected() {
    let text = MINIMAL.replace(
        "peer = 127.0.0.1:8090",
        "peer = 127.0.0.1:8080\npeer = 127.0.0.1:1",
    );
    expect_that!(
        error_lines(&text),
        unordered_elements_are![
            contains_substring(
                "vm.ini:11: [controller] peer: given a second time, first on line 10"
            ),
            contains_substring("vm.ini:10: [controller] peer: 127.0.0.1:8080 is given to another"),
        ]
    );
}

#[googletest::test]
fn an_alert_that_can_never_fire_is_rejected() {
    let text = format!("{MINIMAL}[report]\nobjective = 90 %\n");
    expect_that!(
        error_lines(&text),
        elements_are![contains_substring(
            "[report] windows: a threshold is above 10.0"
        )]
    );
    let text = format!("{MINIMAL}[report]\nobjective = 99 %\nwindows = 5 min/1 h at 14.4\n");
    expect_that!(
        Settings::parse("vm.ini", &text)
            .expect("valid")
            .report
            .windows,
        len(eq(1))
    );
}

#[googletest::test]
fn the_error_names_a_missing_file() {
    let loaded = Settings::load(Path::new("no/such/vm.ini"));
    let error = loaded.expect_err("there is no such file");
    expect_that!(error, matches_pattern!(SettingsError::Read { .. }));
    expect_that!(error.to_string(), contains_substring("no/such/vm.ini"));
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in "(?s).{0,400}") {
        let bytes: usize = error_lines(&text).iter().map(String::len).sum();
        prop_assert!(bytes < 64 << 10);
    }

    #[test]
    fn arbitrary_lines_are_valid_or_rejected(
        lines in prop::collection::vec(r"(\[[a-z]{0,5}\]|[a-z_]{0,9} ?[=:]? ?[ -~]{0,12})", 0..40),
    ) {
        let text = format!("{MINIMAL}{}", lines.join("\n"));
        let settings = Settings::parse("vm.ini", &text);
        prop_assert!(settings.is_ok() || !error_lines(&text).is_empty());
    }
}
