//! docs/OPERATIONS.md lists the same settings, ticket keys, metrics and alerts as the code.

use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;
use strum::IntoEnumIterator;

use gooseberryloft::events::Event;
use gooseberryloft::ids::GroupId;
use gooseberryloft::ids::Term;
use gooseberryloft::ids::TicketNumber;
use gooseberryloft::metrics;
use gooseberryloft::settings::Settings;
use gooseberryloft::ticket;

const PAGE: &str = include_str!("../docs/OPERATIONS.md");

// Returns the cells of all table rows of a chapter, including header rows.
fn rows(chapter: &str) -> Vec<Vec<&'static str>> {
    let start = PAGE
        .find(&format!("\n## {chapter}\n"))
        .expect("the chapter exists");
    let text = &PAGE[start + 4..];
    let end = text.find("\n## ").unwrap_or(text.len());
    let lines = text[..end].lines().filter(|line| line.starts_with("| "));
    lines
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect())
        .collect()
}

// Returns the valid keys of a section, as listed in the error for the unknown key `nonsense`.
fn valid_keys(errors: &str, section: &str) -> BTreeSet<String> {
    let prefix = format!("[{section}] nonsense: ");
    let line = errors
        .lines()
        .find(|line| line.contains(&prefix))
        .expect("refused");
    let list = line.split("use one of: ").nth(1).expect("keys are listed");
    list.split(", ").map(str::to_owned).collect()
}

fn documented_keys(chapter: &str, section: &str) -> BTreeSet<String> {
    let rows = rows(chapter);
    let of_section = rows.iter().filter(|row| row[0] == section);
    of_section.map(|row| row[1].to_owned()).collect()
}

#[googletest::test]
fn each_setting_is_on_the_page() {
    let sections = [
        "vm",
        "entry",
        "controller",
        "platform",
        "security",
        "report",
        "log",
    ];
    let text: String = sections.map(|s| format!("[{s}]\nnonsense = 1\n")).concat();
    let errors = Settings::parse("vm.ini", &text)
        .expect_err("nothing is valid")
        .to_string();
    for section in sections {
        expect_that!(
            documented_keys("Settings", section),
            eq(&valid_keys(&errors, section))
        );
    }
}

#[googletest::test]
fn each_key_of_a_ticket_is_on_the_page() {
    let text = "[ticket]\nnonsense = 1\n[service a]\nkey = path\nnonsense = 1\n\
                [target a b]\nnonsense = 1\n";
    let errors = ticket::parse(text)
        .expect_err("nothing is valid")
        .to_string();
    let sections = [
        ("ticket", "ticket"),
        ("service a", "service NAME"),
        ("target a b", "target SERVICE NAME"),
    ];
    for (section, documented_name) in sections {
        expect_that!(
            documented_keys("Tickets", documented_name),
            eq(&valid_keys(&errors, section))
        );
    }
}

#[googletest::test]
fn each_warning_and_error_is_an_alert() {
    // Skips the header row and its separator.
    let alerts: BTreeSet<String> = rows("Alerts")
        .iter()
        .skip(2)
        .map(|r| r[1].to_owned())
        .collect();
    let warned = Event::iter().filter(|event| event.level() <= log::Level::Warn);
    let warned: BTreeSet<String> = warned.map(|event| <&str>::from(event).to_owned()).collect();
    expect_that!(alerts, eq(&warned));
}

#[googletest::test]
fn each_metric_is_on_the_page() {
    let (service, data_centre) = ("a".into(), "b".into());
    let group = GroupId {
        service: "a".into(),
        index: 0,
    };
    let instruments = metrics::instruments();
    instruments.request(&service, &data_centre, "whole", Duration::ZERO);
    instruments.in_flight(&service, 0);
    instruments.queued(0);
    instruments.retry(&service);
    instruments.in_force(TicketNumber(1));
    instruments.term(&group, Term(1));
    instruments.order("taken");
    instruments.table_error("conflict");
    let text = metrics::render();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let names = types.filter_map(|rest| rest.split(' ').next());
    let names: BTreeSet<String> = names.map(str::to_owned).collect();
    let rows = rows("Metrics");
    let documented: BTreeSet<String> = rows.iter().skip(2).map(|r| r[0].to_owned()).collect();
    expect_that!(documented, eq(&names));
}
