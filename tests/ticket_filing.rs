//! Operators that file tickets concurrently on a table that throttles requests, loses responses,
//! delays writes and returns stale reads.

mod ticket_support;

use std::time::Instant;

use googletest::prelude::*;
use proptest::prelude::*;

use crate::ticket_support::FakeTable;
use crate::ticket_support::Fault;
use crate::ticket_support::Operator;
use crate::ticket_support::STEP;
use crate::ticket_support::ticket_text;
use gooseberryloft::ids::TicketNumber;
use gooseberryloft::ticket::Action;
use gooseberryloft::ticket::InForce;
use gooseberryloft::ticket::Outcome;

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        1 => Just(Fault::Throttled),
        1 => Just(Fault::RequestLost),
        2 => Just(Fault::ResponseLost),
        2 => Just(Fault::Delayed),
        2 => (1..4usize).prop_map(Fault::StaleRead),
    ]
}

#[derive(Clone, Debug)]
struct Turn {
    operator: usize,
    fault: Fault,
    step: u64,
    variant: u8,
    deliver_delayed: bool,
}

fn turn() -> impl Strategy<Value = Turn> {
    (
        0..4usize,
        fault(),
        1..3u64,
        0..3u8,
        prop::bool::weighted(0.1),
    )
        .prop_map(|(operator, fault, step, variant, deliver_delayed)| Turn {
            operator,
            fault,
            step,
            variant,
            deliver_delayed,
        })
}

fn run(operators: usize, turns: &[Turn]) -> (FakeTable, Vec<Operator>) {
    let mut now = Instant::now();
    let mut table = FakeTable::default();
    let start = |i| {
        Operator::new(
            ticket_text(TicketNumber(0), 1 + i as u64 % 2, i as u8 % 2),
            i as u128,
            now,
        )
    };
    let mut all: Vec<Operator> = (0..operators).map(start).collect();
    for (i, turn) in turns.iter().enumerate() {
        now += STEP;
        if turn.deliver_delayed && !table.delayed.is_empty() {
            let tx = table.delayed.remove(0);
            let _ = table.apply(&tx);
        }
        let operator = &mut all[turn.operator % operators];
        operator.turn(&mut table, turn.fault, now);
        let id = 1_000 + i as u128;
        match operator.action.clone() {
            Action::Done(Outcome::Unresolved { .. }) => {
                operator.refile(operator.text.clone(), id, now);
            }
            Action::Done(outcome) => {
                let base = match outcome {
                    Outcome::Accepted { number } => number,
                    Outcome::AlreadyAccepted { in_force, .. }
                    | Outcome::BaseReplaced { in_force, .. }
                    | Outcome::NumberTaken { in_force, .. } => in_force,
                    _ => operator.base,
                };
                operator.refile(ticket_text(base, turn.step, turn.variant), id, now);
            }
            _ => {}
        }
    }
    for tx in std::mem::take(&mut table.delayed) {
        let _ = table.apply(&tx);
    }
    (table, all)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn racing_operators_are_told_the_truth(
        operators in 2..=4usize,
        turns in prop::collection::vec(turn(), 50..200),
    ) {
        let (table, operators) = run(operators, &turns);
        let bases: Vec<TicketNumber> = table.history.iter().map(|t| t.base).collect();
        let numbers: Vec<TicketNumber> = table.history.iter().map(|t| t.number).collect();
        prop_assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
        prop_assert!(bases.windows(2).all(|pair| pair[0] < pair[1]));
        let state = table.history.iter().fold(InForce::default(), |state, t| state.apply(t));
        prop_assert_eq!(table.load().expect("the last read is not torn").state, state);
        for (ticket, id, outcome) in operators.iter().flat_map(|o| &o.outcomes) {
            match outcome {
                Outcome::Accepted { .. } => prop_assert!(table.writers.contains(id)),
                Outcome::AlreadyAccepted { .. } => {
                    prop_assert!(!table.writers.contains(id));
                    prop_assert!(table.history.contains(ticket));
                }
                Outcome::Unresolved { .. } => {}
                refused => {
                    prop_assert!(refused.is_refused());
                    prop_assert!(!table.history.contains(ticket), "{refused}");
                }
            }
        }
    }
}

fn file_ticket(table: &mut FakeTable, text: &str, id: u128, faults: &[Fault]) -> Outcome {
    file_with_read_fault(table, text, id, faults, Fault::None)
}

// Applies the fault `reads` to all reads before the first commit or wait of the filing.
fn file_with_read_fault(
    table: &mut FakeTable,
    text: &str,
    id: u128,
    faults: &[Fault],
    mut reads: Fault,
) -> Outcome {
    let mut now = Instant::now();
    let mut operator = Operator::new(text.to_owned(), id, now);
    let mut faults = faults.iter().copied();
    loop {
        let fault = match operator.action {
            Action::Commit(_) => faults.next().unwrap_or(Fault::None),
            _ => reads,
        };
        if let Action::Commit(_) | Action::Wait(_) = operator.action {
            reads = Fault::None;
        }
        operator.turn(table, fault, now);
        if let Action::Done(outcome) = operator.action {
            return outcome;
        }
        now += STEP;
    }
}

#[googletest::test]
fn a_refused_concurrent_ticket_reports_the_number_in_force_and_the_remedy() {
    let mut table = FakeTable::default();
    let first = file_ticket(&mut table, &ticket_text(TicketNumber(0), 1, 0), 1, &[]);
    let second = file_ticket(&mut table, &ticket_text(TicketNumber(0), 2, 1), 2, &[]);
    expect_that!(
        first,
        eq(&Outcome::Accepted {
            number: TicketNumber(1)
        })
    );
    expect_that!(second.is_refused(), eq(true));
    expect_that!(
        second.to_string(),
        contains_substring("builds on 0, but 1 is in force").and(contains_substring("base = 1"))
    );
}

#[googletest::test]
fn filing_again_after_a_lost_response_succeeds() {
    let mut table = FakeTable::default();
    let first = ticket_text(TicketNumber(0), 1, 0);
    let lost = file_ticket(&mut table, &first, 1, &[Fault::ResponseLost]);
    expect_that!(
        lost,
        eq(&Outcome::Accepted {
            number: TicketNumber(1)
        })
    );
    let spaced = first.replace(" = ", "=") + "; a comment\n";
    let again = file_ticket(&mut table, &spaced, 2, &[]);
    let number = TicketNumber(1);
    expect_that!(
        again,
        eq(&Outcome::AlreadyAccepted {
            number,
            in_force: number
        })
    );
    let other = file_ticket(&mut table, &ticket_text(TicketNumber(0), 1, 2), 3, &[]);
    expect_that!(
        other,
        eq(&Outcome::NumberTaken {
            number,
            in_force: number
        })
    );
    expect_that!(table.history, len(eq(1)));
}

#[googletest::test]
fn a_delayed_write_fails_after_a_successful_retry() {
    let mut table = FakeTable::default();
    let faults = [Fault::Delayed, Fault::Delayed, Fault::RequestLost];
    let outcome = file_ticket(&mut table, &ticket_text(TicketNumber(0), 1, 0), 1, &faults);
    expect_that!(
        outcome,
        eq(&Outcome::Accepted {
            number: TicketNumber(1)
        })
    );
    for tx in std::mem::take(&mut table.delayed) {
        expect_that!(table.apply(&tx).is_err(), eq(true));
    }
}

#[googletest::test]
fn an_unavailable_table_leaves_the_outcome_unresolved() {
    let mut table = FakeTable::default();
    let faults = [Fault::RequestLost; 100];
    let outcome = file_ticket(&mut table, &ticket_text(TicketNumber(0), 1, 0), 1, &faults);
    expect_that!(outcome.is_accepted(), eq(false));
    expect_that!(outcome.is_refused(), eq(false));
    expect_that!(
        outcome.to_string(),
        contains_substring("file the same file again")
    );
}

#[googletest::test]
fn a_stale_replica_does_not_turn_an_accepted_ticket_into_a_refused_one() {
    let mut table = FakeTable::default();
    let second = ticket_text(TicketNumber(1), 1, 1);
    file_ticket(&mut table, &ticket_text(TicketNumber(0), 1, 0), 1, &[]);
    file_ticket(&mut table, &second, 2, &[]);
    let number = TicketNumber(2);
    for commits in 1..=2 {
        let again = file_with_read_fault(&mut table, &second, 3, &[], Fault::StaleRead(commits));
        let accepted = Outcome::AlreadyAccepted {
            number,
            in_force: number,
        };
        expect_that!(again, eq(&accepted), "{commits} commits behind");
    }
}

fn keyed(base: u64, shards: u32) -> String {
    let text = ticket_text(TicketNumber(base), 1, 0);
    text.replace(
        "path = /s\n",
        &format!("path = /s\nkey = path\nshards = {shards}\n"),
    )
}

#[googletest::test]
fn a_removed_service_comes_back_only_with_its_keys_divided_as_they_were() {
    let mut table = FakeTable::default();
    file_ticket(&mut table, &keyed(0, 64), 1, &[]);
    let other = ticket_text(TicketNumber(1), 1, 0).replace("service s]", "service o]");
    let other = other
        .replace("/s\n", "/o\n")
        .replace("target s t", "target o t");
    let removal = other.replace("9001", "9002") + "[remove s]\n";
    expect_that!(
        file_ticket(&mut table, &removal, 2, &[]).is_accepted(),
        eq(true)
    );
    let repartitioned = file_ticket(&mut table, &keyed(2, 128), 3, &[]);
    expect_that!(
        repartitioned.to_string(),
        contains_substring("64 shards and 1 groups")
    );
    let unkeyed = file_ticket(&mut table, &ticket_text(TicketNumber(2), 1, 0), 4, &[]);
    expect_that!(unkeyed.is_refused(), eq(true));
    expect_that!(
        file_ticket(&mut table, &keyed(2, 64), 5, &[]).is_accepted(),
        eq(true)
    );
}
