//! The state machine that files a ticket; the table is accessed in [`crate::ticket::file()`].
//!
//! After any failure the filing reads the state in force again and decides anew. All attempts to
//! store the ticket have the same [`WriteId`] and condition, so at most one takes effect. If the
//! response to a commit is lost, the writer of the ticket's row shows whether it took effect.
//!
//! Reads may come from a stale replica. Before a refusal that a stale read could cause, the filing
//! therefore commits a transaction without mutations, which succeeds only if the rows still have
//! the revisions read.

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

const FIRST_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The result of an [`Action`].
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The result of [`Action::Load`].
    Loaded(Result<Snapshot, LoadError>),
    /// The result of [`Action::Read`].
    Read(Result<Option<Row>, TableError>),
    /// The result of [`Action::Commit`].
    Committed(Result<(), TableError>),
    /// The instant of [`Action::Wait`] was reached.
    WaitElapsed,
}

/// The next action that the caller must run.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Load the state in force from the table.
    Load,
    /// Read the row with this key.
    Read(String),
    /// Commit the transaction.
    Commit(Transaction),
    /// Wait until this instant before the next attempt.
    Wait(Instant),
    /// The filing has ended with this outcome.
    Done(Outcome),
}

/// The filing of one ticket by one operator.
#[derive(Debug)]
pub struct Filing {
    ticket: Ticket,
    text: String,
    id: WriteId,
    deadline: Instant,
    backoff: Duration,
    in_force: TicketNumber,
    unverified: Option<Outcome>,
}

impl Filing {
    /// Creates the filing of a parsed ticket.
    ///
    /// `id` must be a random number that no other filing uses. An attempt that fails at or after
    /// `deadline` ends the filing with [`Outcome::Unresolved`].
    pub fn new(ticket: Ticket, text: &str, id: WriteId, deadline: Instant) -> Self {
        Self {
            ticket,
            text: text.to_owned(),
            id,
            deadline,
            backoff: FIRST_BACKOFF,
            in_force: TicketNumber(0),
            unverified: None,
        }
    }

    /// Returns the first action.
    pub fn start(&self) -> Action {
        Action::Load
    }

    /// Processes the result of the last action and returns the next action.
    pub fn step(&mut self, input: Input, now: Instant) -> Action {
        match input {
            Input::WaitElapsed => Action::Load,
            Input::Loaded(Ok(snapshot)) => self.decide(&snapshot),
            Input::Loaded(Err(LoadError::Table(error))) => self.back_off(reason(&error), now),
            Input::Loaded(Err(error)) => self.back_off(&error.to_string(), now),
            Input::Read(Ok(row)) => self.check_ticket_row(row.as_ref()),
            Input::Committed(result) => self.on_committed(result, now),
            Input::Read(Err(error)) => self.back_off(reason(&error), now),
        }
    }

    fn on_committed(&mut self, result: Result<(), TableError>, now: Instant) -> Action {
        let verified = self.unverified.take();
        let number = self.ticket.number;
        match result {
            Ok(()) => Action::Done(verified.unwrap_or(Outcome::Accepted { number })),
            // Another ticket was committed first, so the new state is loaded without a backoff.
            Err(TableError::Conflict { .. }) if verified.is_none() && now < self.deadline => {
                Action::Load
            }
            Err(error) => self.back_off(reason(&error), now),
        }
    }

    fn decide(&mut self, snapshot: &Snapshot) -> Action {
        let state = &snapshot.state;
        self.in_force = state.number;
        if self.ticket.number <= state.number {
            return Action::Read(rows::ticket_key(self.ticket.number));
        }
        if self.ticket.base < state.number {
            return Action::Done(self.refuse_base());
        }
        if self.ticket.base > state.number {
            let key = rows::IN_FORCE_KEY.to_owned();
            return self.verify(self.refuse_base(), condition(key, snapshot.revision));
        }
        let mut diagnostics = check::change(state, &self.ticket);
        diagnostics.extend(check::readded_services(&snapshot.retired, &self.ticket));
        if diagnostics.is_empty() {
            return Action::Commit(self.transaction(snapshot));
        }
        let errors = TicketErrors::from_list(diagnostics);
        Action::Done(Outcome::Invalid { errors })
    }

    // Decides by the ticket's row when the state in force has reached the ticket's number.
    fn check_ticket_row(&mut self, row: Option<&Row>) -> Action {
        let number = self.ticket.number;
        let in_force = self.in_force;
        let Some(row) = row else {
            let absent = condition(rows::ticket_key(number), 0);
            return self.verify(self.refuse_base(), absent);
        };
        Action::Done(match row {
            row if row.writer == self.id => Outcome::Accepted { number },
            row if self.is_same_ticket(row) => Outcome::AlreadyAccepted { number, in_force },
            _ => Outcome::NumberTaken { number, in_force },
        })
    }

    fn verify(&mut self, outcome: Outcome, condition: Condition) -> Action {
        self.unverified = Some(outcome);
        Action::Commit(Transaction {
            id: WriteId(!self.id.0),
            conditions: vec![condition],
            mutations: Vec::new(),
        })
    }

    fn is_same_ticket(&self, row: &Row) -> bool {
        let text = std::str::from_utf8(&row.value).ok();
        let stored = text.and_then(|text| parse(text).ok());
        stored.as_ref() == Some(&self.ticket)
    }

    fn refuse_base(&self) -> Outcome {
        Outcome::BaseReplaced {
            base: self.ticket.base,
            in_force: self.in_force,
        }
    }

    fn back_off(&mut self, reason: &str, now: Instant) -> Action {
        if now >= self.deadline {
            return Action::Done(Outcome::Unresolved {
                number: self.ticket.number,
                reason: reason.to_owned(),
            });
        }
        let until = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
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

// Describes a table error for the operator, without the table service's internal details.
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
