//! Filing a ticket: the decisions, without the table itself.
//!
//! Whatever goes wrong, the filing reads the state in force again and decides from what it finds.
//! All its attempts carry one [`WriteId`] and one condition, so at most one takes effect, and a
//! lost answer is resolved by the writer of the ticket's row. Reads may come from a stale replica;
//! a refusal that a stale read could bring about is proved first, by a transaction that changes
//! nothing and holds only if the rows are still at the revisions read.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::ServiceId;
use crate::ids::TicketNumber;
use crate::platform::Condition;
use crate::platform::Mutation;
use crate::platform::Row;
use crate::platform::TableError;
use crate::platform::Transaction;
use crate::platform::WriteId;
use crate::ticket::InForce;
use crate::ticket::Keying;
use crate::ticket::LoadError;
use crate::ticket::Outcome;
use crate::ticket::Snapshot;
use crate::ticket::Ticket;
use crate::ticket::TicketErrors;
use crate::ticket::check;
use crate::ticket::parse;
use crate::ticket::rows;
use crate::ticket::rows::InForceRow;

const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// What the filing learned.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The end of an [`Action::Load`].
    Loaded(Result<Snapshot, LoadError>),
    /// The end of an [`Action::Read`].
    Read(Result<Option<Row>, TableError>),
    /// The end of an [`Action::Commit`].
    Committed(Result<(), TableError>),
    /// The end of an [`Action::Wait`].
    WaitElapsed,
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Load the state in force.
    Load,
    /// Read the row of that key.
    Read(String),
    /// Commit the transaction.
    Commit(Transaction),
    /// Let time pass until that instant.
    Wait(Instant),
    /// The filing has ended.
    Done(Outcome),
}

/// One operator's filing of one ticket.
#[derive(Debug)]
pub struct Filing {
    ticket: Ticket,
    text: String,
    id: WriteId,
    deadline: Instant,
    pause: Duration,
    in_force: TicketNumber,
    proving: Option<Outcome>,
}

impl Filing {
    /// Prepares to file a parsed ticket; `id` is drawn at random for this filing alone.
    pub fn new(ticket: Ticket, text: &str, id: WriteId, deadline: Instant) -> Self {
        Self {
            ticket,
            text: text.to_owned(),
            id,
            deadline,
            pause: FIRST_PAUSE,
            in_force: TicketNumber(0),
            proving: None,
        }
    }

    /// Returns the first action.
    pub fn start(&self) -> Action {
        Action::Load
    }

    /// Takes the end of the last action and returns the next.
    pub fn step(&mut self, input: Input, now: Instant) -> Action {
        match input {
            Input::WaitElapsed => Action::Load,
            Input::Loaded(Ok(snapshot)) => self.decide(&snapshot),
            Input::Loaded(Err(LoadError::Table(error))) => self.pause(reason(&error), now),
            Input::Loaded(Err(error)) => self.pause(&error.to_string(), now),
            Input::Read(Ok(row)) => self.judge(row.as_ref()),
            Input::Committed(result) => self.committed(result, now),
            Input::Read(Err(error)) => self.pause(reason(&error), now),
        }
    }

    fn committed(&mut self, result: Result<(), TableError>, now: Instant) -> Action {
        let proved = self.proving.take();
        let number = self.ticket.number;
        match result {
            Ok(()) => Action::Done(proved.unwrap_or(Outcome::Accepted { number })),
            // Another ticket came first: what it left is read at once.
            Err(TableError::Conflict { .. }) if proved.is_none() && now < self.deadline => {
                Action::Load
            }
            Err(error) => self.pause(reason(&error), now),
        }
    }

    fn decide(&mut self, snapshot: &Snapshot) -> Action {
        let state = &snapshot.state;
        self.in_force = state.number;
        if self.ticket.number <= state.number {
            return Action::Read(rows::ticket_key(self.ticket.number));
        }
        if self.ticket.base < state.number {
            return Action::Done(self.base_replaced());
        }
        if self.ticket.base > state.number {
            let key = rows::IN_FORCE_KEY.to_owned();
            return self.prove(self.base_replaced(), condition(key, snapshot.revision));
        }
        let mut faults = check::change(state, &self.ticket);
        faults.extend(check::readded_services(&snapshot.retired, &self.ticket));
        if faults.is_empty() {
            return Action::Commit(self.transaction(snapshot));
        }
        let errors = TicketErrors::from_list(faults);
        Action::Done(Outcome::Invalid { errors })
    }

    // The state in force has reached the ticket's number; its row tells whose ticket that was.
    fn judge(&mut self, row: Option<&Row>) -> Action {
        let number = self.ticket.number;
        let in_force = self.in_force;
        let Some(row) = row else {
            let absent = condition(rows::ticket_key(number), 0);
            return self.prove(self.base_replaced(), absent);
        };
        Action::Done(match row {
            row if row.writer == self.id => Outcome::Accepted { number },
            row if self.is_same(row) => Outcome::AlreadyAccepted { number, in_force },
            _ => Outcome::NumberTaken { number, in_force },
        })
    }

    fn prove(&mut self, outcome: Outcome, holds: Condition) -> Action {
        self.proving = Some(outcome);
        Action::Commit(Transaction {
            id: WriteId(!self.id.0),
            conditions: vec![holds],
            mutations: Vec::new(),
        })
    }

    fn is_same(&self, row: &Row) -> bool {
        let text = std::str::from_utf8(&row.value).ok();
        let stored = text.and_then(|text| parse(text).ok());
        stored.as_ref() == Some(&self.ticket)
    }

    fn base_replaced(&self) -> Outcome {
        Outcome::BaseReplaced {
            base: self.ticket.base,
            in_force: self.in_force,
        }
    }

    fn pause(&mut self, reason: &str, now: Instant) -> Action {
        if now >= self.deadline {
            return Action::Done(Outcome::Unresolved {
                number: self.ticket.number,
                reason: reason.to_owned(),
            });
        }
        let until = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        Action::Wait(until.min(self.deadline))
    }

    fn transaction(&self, snapshot: &Snapshot) -> Transaction {
        let ticket_key = rows::ticket_key(self.ticket.number);
        let next = snapshot.state.apply(&self.ticket);
        let retired = snapshot.retired_after(&self.ticket);
        let mut mutations = vec![
            put(rows::IN_FORCE_KEY.to_owned(), in_force_row(&next, retired)),
            put(ticket_key.clone(), self.text.clone().into_bytes()),
        ];
        let services = self.ticket.services.iter();
        mutations.extend(services.map(|(name, s)| put(rows::service_key(name), rows::encode(s))));
        let removed = self.ticket.removed.iter().map(rows::service_key);
        mutations.extend(removed.map(|key| Mutation::Delete { key }));
        Transaction {
            id: self.id,
            conditions: vec![
                condition(rows::IN_FORCE_KEY.to_owned(), snapshot.revision),
                condition(ticket_key, 0),
            ],
            mutations,
        }
    }
}

// What an operator is told; the table's own words are for those who call it.
fn reason(error: &TableError) -> &'static str {
    match error {
        TableError::Conflict { .. } => "other tickets keep coming first",
        TableError::Throttled => "the table service refuses requests for now",
        TableError::Unknown(_) => "the table service does not answer",
    }
}

fn in_force_row(next: &InForce, retired: BTreeMap<ServiceId, Keying>) -> Vec<u8> {
    rows::encode(&InForceRow {
        number: next.number,
        digest: rows::state_digest(next),
        retired,
    })
}

fn put(key: String, value: Vec<u8>) -> Mutation {
    Mutation::Put { key, value }
}

fn condition(key: String, revision: u64) -> Condition {
    Condition { key, revision }
}
