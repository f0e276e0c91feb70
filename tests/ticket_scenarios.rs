//! Scripted sequences of concurrent filings, in `tests/scenarios/ticket`.
//!
//! - `operator NAME number=N base=B deadline=S`: creates an operator's filing of this ticket.
//! - `turn NAME [FAULT]`: runs one step of the filing, with a fault in its commit or read.
//! - `finish NAME`: runs the filing to its end without faults.
//! - `wait`: advances the clock by a second.
//! - `land`: applies the delayed writes.
//! - `show`: prints the number in force and the accepted tickets.

mod ticket_support;

use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use goldenscript::Command;

use crate::ticket_support::FakeTable;
use crate::ticket_support::Fault;
use crate::ticket_support::Operator;
use crate::ticket_support::STEP;
use crate::ticket_support::ticket_text;
use gooseberryloft::ids::TicketNumber;
use gooseberryloft::ticket::Action;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

struct Race {
    table: FakeTable,
    operators: BTreeMap<String, Operator>,
    now: Instant,
    filings: u128,
}

impl Race {
    fn new() -> Self {
        Self {
            table: FakeTable::default(),
            operators: BTreeMap::new(),
            now: Instant::now(),
            filings: 0,
        }
    }

    fn operator(&mut self, name: &str, number: u64, base: u64, deadline: u8) {
        self.filings += 1;
        let text = ticket_text(TicketNumber(base), number - base, deadline - 1);
        let operator = Operator::new(text, self.filings, self.now);
        self.operators.insert(name.to_owned(), operator);
    }

    fn turn(&mut self, name: &str, fault: Fault) -> Result<String> {
        self.now += STEP;
        let operator = self.operators.get_mut(name).ok_or("no such operator")?;
        operator.turn(&mut self.table, fault, self.now);
        Ok(match &operator.action {
            Action::Load => "loads the state in force".to_owned(),
            Action::Read(key) => format!("reads {key}"),
            Action::Commit(_) => "commits".to_owned(),
            Action::Wait(_) => "waits".to_owned(),
            Action::Done(outcome) => outcome.to_string(),
        })
    }

    fn finish(&mut self, name: &str) -> Result<String> {
        loop {
            let output = self.turn(name, Fault::None)?;
            if let Action::Done(_) = self.operators[name].action {
                return Ok(output);
            }
        }
    }

    fn apply_delayed(&mut self) -> String {
        let delayed = std::mem::take(&mut self.table.delayed);
        let applied = delayed
            .iter()
            .filter(|tx| self.table.apply(tx).is_ok())
            .count();
        format!("{applied} of {} writes took effect", delayed.len())
    }

    fn show(&self) -> Result<String> {
        let number = self.table.load()?.state.number;
        let accepted = self
            .table
            .history
            .iter()
            .map(|t| format!("{} on {}", t.number, t.base));
        let accepted: Vec<String> = accepted.collect();
        Ok(format!(
            "in force: {number}, accepted: [{}]",
            accepted.join(", ")
        ))
    }
}

impl goldenscript::Runner for Race {
    fn run(&mut self, command: &Command) -> Result<String> {
        let mut args = command.consume_args();
        let name = args
            .next_pos()
            .map(|arg| arg.value.clone())
            .unwrap_or_default();
        let output = match command.name.as_str() {
            "operator" => {
                let number = args.lookup_parse("number")?.ok_or("give number=")?;
                let base = args.lookup_parse("base")?.ok_or("give base=")?;
                self.operator(
                    &name,
                    number,
                    base,
                    args.lookup_parse("deadline")?.unwrap_or(1),
                );
                String::new()
            }
            "turn" => {
                let fault = args
                    .next_pos()
                    .map_or(Ok(Fault::None), |arg| fault(&arg.value))?;
                self.turn(&name, fault)?
            }
            "finish" => self.finish(&name)?,
            "wait" => {
                self.now += Duration::from_secs(1);
                String::new()
            }
            "land" => self.apply_delayed(),
            "show" => self.show()?,
            other => return Err(format!("unknown command {other}").into()),
        };
        args.reject_rest()?;
        Ok(output)
    }
}

fn fault(name: &str) -> Result<Fault> {
    match name {
        "throttled" => Ok(Fault::Throttled),
        "lost-before" => Ok(Fault::RequestLost),
        "lost-after" => Ok(Fault::ResponseLost),
        "late" => Ok(Fault::Delayed),
        _ => Err(format!("unknown fault {name}").into()),
    }
}

fn run(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios/ticket");
    goldenscript::run(&mut Race::new(), folder.join(name)).expect("the scenario runs");
}

#[test]
fn two_operators_race() {
    run("race");
}

#[test]
fn an_answer_is_lost() {
    run("lost_answer");
}

#[test]
fn a_write_lands_late() {
    run("late_write");
}

#[test]
fn a_ticket_is_filed_again() {
    run("filed_again");
}
