//! The events in the code match the catalogue in `docs/EVENTS.md`.

use std::collections::BTreeSet;

use googletest::prelude::*;
use strum::IntoEnumIterator;

use gooseberryloft::events::Event;

const CATALOGUE: &str = include_str!("../docs/EVENTS.md");

// Returns the cells of each catalogue row that begins with an event number.
fn catalogue_rows() -> Vec<Vec<&'static str>> {
    let rows = CATALOGUE.lines().filter(|line| line.starts_with("| "));
    let cells = rows.map(|row| row.trim_matches('|').split('|').map(str::trim).collect());
    cells
        .filter(|row: &Vec<&str>| row[0].parse::<u16>().is_ok())
        .collect()
}

// Returns number, name and level of each event in the code.
fn code_rows() -> Vec<Vec<String>> {
    let row = |event: Event| {
        let name: &str = event.into();
        let level = event.level().as_str().to_lowercase();
        vec![event.number().to_string(), name.to_owned(), level]
    };
    Event::iter().map(row).collect()
}

#[googletest::test]
fn code_and_catalogue_have_the_same_events() {
    let catalogue: BTreeSet<Vec<String>> = catalogue_rows()
        .iter()
        .map(|row| row[..3].iter().map(|cell| (*cell).to_owned()).collect())
        .collect();
    let code: BTreeSet<Vec<String>> = code_rows().into_iter().collect();
    expect_that!(catalogue, eq(&code));
    expect_that!(catalogue_rows(), len(eq(code.len())));
}

#[googletest::test]
fn each_catalogued_event_has_a_meaning_and_a_remedy() {
    for row in catalogue_rows() {
        expect_that!(row, len(eq(5)));
        expect_that!(row[3..].iter().all(|cell| !cell.is_empty()), eq(true));
    }
}

#[googletest::test]
fn numbers_are_unique_and_ascending() {
    let numbers: Vec<u16> = Event::iter().map(Event::number).collect();
    expect_that!(numbers.windows(2).all(|pair| pair[0] < pair[1]), eq(true));
}
