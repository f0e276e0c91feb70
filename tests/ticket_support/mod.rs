//! A fake table with injected faults, and operators that file tickets on it step by step.

// Each test binary uses only some of these items.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use gooseberryloft::ids::TicketNumber;
use gooseberryloft::platform::Mutation;
use gooseberryloft::platform::Row;
use gooseberryloft::platform::TableError;
use gooseberryloft::platform::Transaction;
use gooseberryloft::platform::WriteId;
use gooseberryloft::ticket;
use gooseberryloft::ticket::Action;
use gooseberryloft::ticket::Filing;
use gooseberryloft::ticket::Input;
use gooseberryloft::ticket::LoadError;
use gooseberryloft::ticket::Outcome;
use gooseberryloft::ticket::Snapshot;
use gooseberryloft::ticket::Ticket;

pub const STEP: Duration = Duration::from_millis(20);
pub const FILING_LIMIT: Duration = Duration::from_millis(800);

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    None,
    Throttled,
    RequestLost,
    ResponseLost,
    Delayed,
    /// Reads return the rows from before this number of commits.
    StaleRead(usize),
}

#[derive(Default)]
pub struct FakeTable {
    pub rows: BTreeMap<String, Row>,
    previous: Vec<BTreeMap<String, Row>>,
    pub delayed: Vec<Transaction>,
    pub history: Vec<Ticket>,
    pub writers: Vec<WriteId>,
}

impl FakeTable {
    pub fn get(&self, key: &str, fault: Fault) -> Option<Row> {
        self.rows_read(fault).get(key).cloned()
    }

    fn rows_read(&self, fault: Fault) -> &BTreeMap<String, Row> {
        let Fault::StaleRead(commits) = fault else {
            return &self.rows;
        };
        let index = self.previous.len().saturating_sub(commits);
        self.previous.get(index).unwrap_or(&self.rows)
    }

    fn services(&self, fault: Fault) -> Vec<Row> {
        let rows = self.rows_read(fault).values();
        rows.filter(|row| row.key.starts_with(ticket::SERVICE_PREFIX))
            .cloned()
            .collect()
    }

    pub fn load(&self) -> std::result::Result<Snapshot, LoadError> {
        let row = self.get(ticket::IN_FORCE_KEY, Fault::None);
        Snapshot::from_rows(row.as_ref(), &self.services(Fault::None))
    }

    pub fn commit(
        &mut self,
        tx: &Transaction,
        fault: Fault,
    ) -> std::result::Result<(), TableError> {
        let lost = Err(TableError::Unknown("timeout".to_owned()));
        match fault {
            Fault::None | Fault::StaleRead(_) => self.apply(tx),
            Fault::Throttled => Err(TableError::Throttled),
            Fault::RequestLost => lost,
            Fault::ResponseLost => {
                let _ = self.apply(tx);
                lost
            }
            Fault::Delayed => {
                self.delayed.push(tx.clone());
                lost
            }
        }
    }

    pub fn apply(&mut self, tx: &Transaction) -> std::result::Result<(), TableError> {
        for condition in &tx.conditions {
            let found = self.rows.get(&condition.key).map_or(0, |row| row.revision);
            if found != condition.revision {
                let key = condition.key.clone();
                return Err(TableError::Conflict { key, found });
            }
        }
        if !tx.mutations.is_empty() {
            self.previous.push(self.rows.clone());
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

pub struct Operator {
    pub base: TicketNumber,
    pub text: String,
    id: WriteId,
    filing: Filing,
    pub action: Action,
    in_force: Option<Option<Row>>,
    pub outcomes: Vec<(Ticket, WriteId, Outcome)>,
}

impl Operator {
    pub fn new(text: String, id: u128, now: Instant) -> Self {
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

    pub fn refile(&mut self, text: String, id: u128, now: Instant) {
        let outcomes = std::mem::take(&mut self.outcomes);
        *self = Self {
            outcomes,
            ..Self::new(text, id, now)
        };
    }

    // Runs one step of the filing. A load takes two steps, so that another ticket can be accepted
    // between its two reads.
    pub fn turn(&mut self, table: &mut FakeTable, fault: Fault, now: Instant) {
        let input = match &self.action {
            Action::Load => match self.in_force.take() {
                None => {
                    self.in_force = Some(table.get(ticket::IN_FORCE_KEY, fault));
                    return;
                }
                Some(row) => {
                    let services = table.services(fault);
                    Input::Loaded(Snapshot::from_rows(row.as_ref(), &services))
                }
            },
            Action::Read(key) => match fault {
                Fault::Throttled => Input::Read(Err(TableError::Throttled)),
                _ => Input::Read(Ok(table.get(key, fault))),
            },
            Action::Commit(tx) => Input::Committed(table.commit(tx, fault)),
            Action::Wait(until) if now < *until => return,
            Action::Wait(_) => Input::WaitElapsed,
            Action::Done(_) => return,
        };
        self.action = self.filing.step(input, now);
        if let Action::Done(outcome) = &self.action {
            let ticket = ticket::parse(&self.text).expect("valid");
            self.outcomes.push((ticket, self.id, outcome.clone()));
        }
    }
}

pub fn ticket_text(base: TicketNumber, step: u64, variant: u8) -> String {
    let number = base.0 + step;
    format!(
        "[ticket]\nnumber = {number}\nbase = {base}\n[service s]\npath = /s\nidempotent = GET\n\
         deadline = {} s\n[target s t]\naddress = 127.0.0.1:9001\ndata_centre = ikeja\nslots = 2\n\
         connections = 45\nchecks_term = no\n",
        variant + 1
    )
}
