//! Operators that race, over a table that throttles, loses answers and applies writes late.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use proptest::prelude::*;

use gooseberryloft::ids::TicketNumber;
use gooseberryloft::platform::Mutation;
use gooseberryloft::platform::Row;
use gooseberryloft::platform::TableError;
use gooseberryloft::platform::Transaction;
use gooseberryloft::platform::WriteId;
use gooseberryloft::ticket;
use gooseberryloft::ticket::Action;
use gooseberryloft::ticket::Filing;
use gooseberryloft::ticket::InForce;
use gooseberryloft::ticket::Input;
use gooseberryloft::ticket::LoadError;
use gooseberryloft::ticket::Outcome;
use gooseberryloft::ticket::Snapshot;
use gooseberryloft::ticket::Ticket;

const STEP: Duration = Duration::from_millis(20);
const FILING_LIMIT: Duration = Duration::from_millis(800);

#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Throttled,
    LostBefore,
    LostAfter,
    Late,
}

#[derive(Default)]
struct FakeTable {
    rows: BTreeMap<String, Row>,
    late: Vec<Transaction>,
    history: Vec<Ticket>,
    writers: Vec<WriteId>,
}

impl FakeTable {
    fn get(&self, key: &str) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    fn services(&self) -> Vec<Row> {
        let rows = self.rows.values();
        rows.filter(|row| row.key.starts_with(ticket::SERVICE_PREFIX))
            .cloned()
            .collect()
    }

    fn load(&self) -> std::result::Result<Snapshot, LoadError> {
        Snapshot::from_rows(self.get(ticket::IN_FORCE_KEY).as_ref(), &self.services())
    }

    fn commit(&mut self, tx: &Transaction, fault: Fault) -> std::result::Result<(), TableError> {
        let lost = Err(TableError::Unknown("timeout".to_owned()));
        match fault {
            Fault::None => self.apply(tx),
            Fault::Throttled => Err(TableError::Throttled),
            Fault::LostBefore => lost,
            Fault::LostAfter => {
                let _ = self.apply(tx);
                lost
            }
            Fault::Late => {
                self.late.push(tx.clone());
                lost
            }
        }
    }

    fn apply(&mut self, tx: &Transaction) -> std::result::Result<(), TableError> {
        for condition in &tx.conditions {
            let found = self.rows.get(&condition.key).map_or(0, |row| row.revision);
            if found != condition.revision {
                let key = condition.key.clone();
                return Err(TableError::Conflict { key, found });
            }
        }
        for mutation in &tx.mutations {
            match mutation {
                Mutation::Put { key, value } => self.put(tx.id, key, value),
                Mutation::Delete { key } => drop(self.rows.remove(key)),
            }
        }
        Ok(())
    }

    fn put(&mut self, writer: WriteId, key: &str, value: &[u8]) {
        if key.starts_with("ticket/") {
            let text = std::str::from_utf8(value).expect("tickets are text");
            self.history
                .push(ticket::parse(text).expect("accepted tickets are valid"));
            self.writers.push(writer);
        }
        let revision = self.rows.get(key).map_or(0, |row| row.revision) + 1;
        let row = Row {
            key: key.to_owned(),
            revision,
            writer,
            value: value.to_vec(),
        };
        self.rows.insert(key.to_owned(), row);
    }
}

struct Operator {
    base: TicketNumber,
    text: String,
    id: WriteId,
    filing: Filing,
    action: Action,
    in_force: Option<Option<Row>>,
    outcomes: Vec<(Ticket, WriteId, Outcome)>,
}

impl Operator {
    fn new(text: String, id: u128, now: Instant) -> Self {
        let ticket = ticket::parse(&text).expect("the generated ticket is valid");
        let id = WriteId(id);
        let filing = Filing::new(ticket.clone(), &text, id, now + FILING_LIMIT);
        let action = filing.start();
        Self {
            base: ticket.base,
            text,
            id,
            filing,
            action,
            in_force: None,
            outcomes: Vec::new(),
        }
    }

    fn refile(&mut self, text: String, id: u128, now: Instant) {
        let outcomes = std::mem::take(&mut self.outcomes);
        *self = Self {
            outcomes,
            ..Self::new(text, id, now)
        };
    }

    // A load takes two turns, so that a ticket can be accepted between its reads.
    fn turn(&mut self, table: &mut FakeTable, fault: Fault, now: Instant) {
        let input = match &self.action {
            Action::Load => match self.in_force.take() {
                None => {
                    self.in_force = Some(table.get(ticket::IN_FORCE_KEY));
                    return;
                }
                Some(row) => Input::Loaded(Snapshot::from_rows(row.as_ref(), &table.services())),
            },
            Action::Read(key) => match fault {
                Fault::Throttled => Input::Read(Err(TableError::Throttled)),
                _ => Input::Read(Ok(table.get(key))),
            },
            Action::Commit(tx) => Input::Committed(table.commit(tx, fault)),
            Action::Wait(until) if now < *until => return,
            Action::Wait(_) => Input::Woken,
            Action::Done(_) => return,
        };
        self.action = self.filing.step(input, now);
        if let Action::Done(outcome) = &self.action {
            let ticket = ticket::parse(&self.text).expect("valid");
            self.outcomes.push((ticket, self.id, outcome.clone()));
        }
    }
}

fn text(base: TicketNumber, step: u64, variant: u8) -> String {
    let number = base.0 + step;
    format!(
        "[ticket]\nnumber = {number}\nbase = {base}\n[service s]\npath = /s\nidempotent = GET\n\
         deadline = {} s\n[target s t]\naddress = 127.0.0.1:9001\ndata_centre = ikeja\nslots = 2\n\
         connections = 45\nchecks_term = no\n",
        variant + 1
    )
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => Just(Fault::None),
        1 => Just(Fault::Throttled),
        1 => Just(Fault::LostBefore),
        2 => Just(Fault::LostAfter),
        2 => Just(Fault::Late),
    ]
}

#[derive(Clone, Debug)]
struct Turn {
    operator: usize,
    fault: Fault,
    step: u64,
    variant: u8,
    land_late: bool,
}

fn turn() -> impl Strategy<Value = Turn> {
    (
        0..4usize,
        fault(),
        1..3u64,
        0..3u8,
        prop::bool::weighted(0.1),
    )
        .prop_map(|(operator, fault, step, variant, land_late)| Turn {
            operator,
            fault,
            step,
            variant,
            land_late,
        })
}

fn run(operators: usize, turns: &[Turn]) -> (FakeTable, Vec<Operator>) {
    let mut now = Instant::now();
    let mut table = FakeTable::default();
    let start = |i| {
        Operator::new(
            text(TicketNumber(0), 1 + i as u64 % 2, i as u8 % 2),
            i as u128,
            now,
        )
    };
    let mut all: Vec<Operator> = (0..operators).map(start).collect();
    for (i, turn) in turns.iter().enumerate() {
        now += STEP;
        if turn.land_late && !table.late.is_empty() {
            let tx = table.late.remove(0);
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
                operator.refile(text(base, turn.step, turn.variant), id, now);
            }
            _ => {}
        }
    }
    for tx in std::mem::take(&mut table.late) {
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
        prop_assert_eq!(table.load().expect("nothing is torn at rest").state, state);
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

fn file_alone(table: &mut FakeTable, text: &str, id: u128, faults: &[Fault]) -> Outcome {
    let mut now = Instant::now();
    let mut operator = Operator::new(text.to_owned(), id, now);
    let mut faults = faults.iter().copied();
    loop {
        let fault = match operator.action {
            Action::Commit(_) => faults.next().unwrap_or(Fault::None),
            _ => Fault::None,
        };
        operator.turn(table, fault, now);
        if let Action::Done(outcome) = operator.action {
            return outcome;
        }
        now += STEP;
    }
}

#[googletest::test]
fn the_loser_of_a_race_is_told_the_number_in_force_and_the_remedy() {
    let mut table = FakeTable::default();
    let first = file_alone(&mut table, &text(TicketNumber(0), 1, 0), 1, &[]);
    let second = file_alone(&mut table, &text(TicketNumber(0), 2, 1), 2, &[]);
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
fn filing_again_after_a_lost_answer_is_a_success() {
    let mut table = FakeTable::default();
    let first = text(TicketNumber(0), 1, 0);
    let lost = file_alone(&mut table, &first, 1, &[Fault::LostAfter]);
    expect_that!(
        lost,
        eq(&Outcome::Accepted {
            number: TicketNumber(1)
        })
    );
    let spaced = first.replace(" = ", "=") + "; a comment\n";
    let again = file_alone(&mut table, &spaced, 2, &[]);
    let number = TicketNumber(1);
    expect_that!(
        again,
        eq(&Outcome::AlreadyAccepted {
            number,
            in_force: number
        })
    );
    let other = file_alone(&mut table, &text(TicketNumber(0), 1, 2), 3, &[]);
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
fn a_write_that_lands_late_is_not_lost_sight_of() {
    let mut table = FakeTable::default();
    let faults = [Fault::Late, Fault::Late, Fault::LostBefore];
    let outcome = file_alone(&mut table, &text(TicketNumber(0), 1, 0), 1, &faults);
    expect_that!(
        outcome,
        eq(&Outcome::Accepted {
            number: TicketNumber(1)
        })
    );
    for tx in std::mem::take(&mut table.late) {
        expect_that!(table.apply(&tx).is_err(), eq(true));
    }
}

#[googletest::test]
fn a_table_that_stays_down_leaves_the_outcome_open() {
    let mut table = FakeTable::default();
    let faults = [Fault::LostBefore; 100];
    let outcome = file_alone(&mut table, &text(TicketNumber(0), 1, 0), 1, &faults);
    expect_that!(outcome.is_accepted(), eq(false));
    expect_that!(outcome.is_refused(), eq(false));
    expect_that!(
        outcome.to_string(),
        contains_substring("file the same file again")
    );
}
