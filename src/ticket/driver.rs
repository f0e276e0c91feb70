//! Runs a [`Filing`] against the platform's table.

use std::time::Duration;

use async_std::task;

use crate::clock::Clock;
use crate::events::Event;
use crate::events::record;
use crate::ids::TicketNumber;
use crate::platform::Table;
use crate::platform::WriteId;
use crate::ticket::Action;
use crate::ticket::Filing;
use crate::ticket::Input;
use crate::ticket::LoadError;
use crate::ticket::Outcome;
use crate::ticket::Snapshot;
use crate::ticket::parse;
use crate::ticket::rows;

/// Parses a ticket and files it, retrying failed table requests for about `limit`.
///
/// `id` must be a random number that no other filing uses.
pub async fn file<T: Table>(
    table: &T,
    clock: &impl Clock,
    text: &str,
    id: WriteId,
    limit: Duration,
) -> Outcome {
    let ticket = match parse(text) {
        Ok(ticket) => ticket,
        Err(errors) => return Outcome::Invalid { errors },
    };
    let number = ticket.number;
    let mut filing = Filing::new(ticket, text, id, clock.now() + limit);
    let mut action = filing.start();
    loop {
        let input = match action {
            Action::Load => Input::Loaded(load(table).await),
            Action::Read(key) => Input::Read(table.get(&key).await),
            Action::Commit(tx) => Input::Committed(table.commit(&tx).await),
            Action::Wait(until) => {
                task::sleep(until.saturating_duration_since(clock.now())).await;
                Input::WaitElapsed
            }
            Action::Done(outcome) => return record_outcome(number, outcome),
        };
        action = filing.step(input, clock.now());
    }
}

/// Loads the state in force from the table.
///
/// # Errors
///
/// Returns [`LoadError::Torn`] if a ticket was accepted between the reads; the caller may retry.
/// Other variants report a malformed row or a failed table request.
pub async fn load<T: Table>(table: &T) -> Result<Snapshot, LoadError> {
    let in_force = table.get(rows::IN_FORCE_KEY).await?;
    let services = table.scan(rows::SERVICE_PREFIX).await?;
    Snapshot::from_rows(in_force.as_ref(), &services)
}

fn record_outcome(number: TicketNumber, outcome: Outcome) -> Outcome {
    let event = match outcome {
        Outcome::Accepted { .. } => Event::TicketAccepted,
        Outcome::AlreadyAccepted { .. } => Event::TicketRepeated,
        Outcome::Unresolved { .. } => Event::TicketUnresolved,
        _ => Event::TicketRefused,
    };
    record(event, format_args!("ticket={number} {outcome}"));
    outcome
}
