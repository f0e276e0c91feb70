//! The request handlers of the operator API.

use std::sync::Arc;
use std::time::Duration;

use async_std::io::ReadExt;
use serde::Serialize;
use tide::Body;
use tide::Request;
use tide::Response;
use tide::StatusCode;

use crate::clock::SystemClock;
use crate::control::Handle;
use crate::control::Stopped;
use crate::ids::ServiceId;
use crate::ids::TicketNumber;
use crate::platform::Table;
use crate::platform::WriteId;
use crate::ticket;
use crate::ticket::Outcome;

/// `POST` files a ticket; `GET` of `/NUMBER` below it returns the text of an accepted ticket.
pub const TICKETS_PATH: &str = "/operator/tickets";
/// Returns the state in force.
pub const STATE_PATH: &str = "/operator/state";
/// Returns the status of the VMs and groups.
pub const STATUS_PATH: &str = "/operator/status";
/// `GET` of `/SERVICE/HASH` below it returns the owner of a key, with the key's hash in hexadecimal.
pub const OWNER_PATH: &str = "/operator/owner";

/// Maximum time spent on filing a ticket. Must be below the timeout of `ctl::Client`.
const FILING_TIMEOUT: Duration = Duration::from_secs(10);

/// The state shared by the request handlers.
pub(super) struct AppState<P> {
    pub platform: Arc<P>,
    pub handle: Handle,
}

impl<P> Clone for AppState<P> {
    fn clone(&self) -> Self {
        Self {
            platform: self.platform.clone(),
            handle: self.handle.clone(),
        }
    }
}

pub(super) async fn file<P: Table + 'static>(request: Request<AppState<P>>) -> tide::Result {
    let state = request.state().clone();
    let text = match read_ticket(request).await {
        Ok(text) => text,
        Err(refusal) => return Ok(refusal),
    };
    let id = WriteId(rand::random());
    let table = &*state.platform;
    let outcome = ticket::file(table, &SystemClock, &text, id, FILING_TIMEOUT).await;
    if let Outcome::Accepted { number } = outcome {
        let _ = state.handle.accepted(number).await;
    }
    json(status_of(&outcome), &outcome)
}

pub(super) async fn ticket<P: Table + 'static>(request: Request<AppState<P>>) -> tide::Result {
    let number = request.param("number").ok().and_then(|n| n.parse().ok());
    let Some(number) = number.map(TicketNumber) else {
        return Ok(refusal(StatusCode::BadRequest, "give the ticket's number"));
    };
    let table = &request.state().platform;
    match table.get(&ticket::ticket_key(number)).await {
        Ok(Some(row)) => Ok(Response::from(Body::from_bytes(row.value))),
        Ok(None) => Ok(refusal(StatusCode::NotFound, "no ticket has that number")),
        Err(_) => Ok(refusal(
            StatusCode::ServiceUnavailable,
            "the table service does not answer; read the state in force, or try again later",
        )),
    }
}

pub(super) async fn state<P: 'static>(request: Request<AppState<P>>) -> tide::Result {
    json_or_unavailable(request.state().handle.show().await)
}

pub(super) async fn status<P: 'static>(request: Request<AppState<P>>) -> tide::Result {
    json_or_unavailable(request.state().handle.status().await)
}

pub(super) async fn owner<P: 'static>(request: Request<AppState<P>>) -> tide::Result {
    let service = ServiceId::from(request.param("service")?);
    let Ok(hash) = u64::from_str_radix(request.param("hash")?, 16) else {
        return Ok(refusal(
            StatusCode::BadRequest,
            "give the key's hash in hexadecimal",
        ));
    };
    match request.state().handle.owner(service, hash).await {
        Ok(None) => Ok(refusal(
            StatusCode::NotFound,
            "no keyed service in force has that name; see `gooseberryloft-ctl show`",
        )),
        found => json_or_unavailable(found),
    }
}

pub(super) async fn ready<P: 'static>(request: Request<AppState<P>>) -> tide::Result {
    match request.state().handle.ready().await {
        Ok(true) => Ok(Response::from("ready\n")),
        Ok(false) => Ok(refusal(
            StatusCode::ServiceUnavailable,
            "no confirmed state yet",
        )),
        Err(error) => Ok(refusal(StatusCode::ServiceUnavailable, &error.to_string())),
    }
}

// A truncated body could be a valid but different ticket, so the request must have a Content-Length
// and the body must match it.
async fn read_ticket<P>(request: Request<AppState<P>>) -> Result<String, Response> {
    let Some(length) = request.len() else {
        return Err(refusal(StatusCode::LengthRequired, "send a Content-Length"));
    };
    if length > ticket::MAX_TICKET_BYTES {
        let limit = format!("keep tickets to {} bytes", ticket::MAX_TICKET_BYTES);
        return Err(refusal(StatusCode::PayloadTooLarge, &limit));
    }
    let mut body = Vec::with_capacity(length);
    let read = request.take(length as u64).read_to_end(&mut body).await;
    if read.is_err() || body.len() != length {
        return Err(refusal(
            StatusCode::BadRequest,
            "the ticket was cut short, send it again",
        ));
    }
    let malformed = |_| refusal(StatusCode::BadRequest, "the ticket is not UTF-8 text");
    String::from_utf8(body).map_err(malformed)
}

fn status_of(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::Accepted { .. } | Outcome::AlreadyAccepted { .. } => StatusCode::Ok,
        Outcome::BaseReplaced { .. } | Outcome::NumberTaken { .. } => StatusCode::Conflict,
        Outcome::Invalid { .. } => StatusCode::UnprocessableEntity,
        Outcome::Unresolved { .. } => StatusCode::ServiceUnavailable,
    }
}

fn json_or_unavailable<T: Serialize>(found: Result<T, Stopped>) -> tide::Result {
    match found {
        Ok(found) => json(StatusCode::Ok, &found),
        Err(error) => Ok(refusal(StatusCode::ServiceUnavailable, &error.to_string())),
    }
}

fn json(status: StatusCode, value: &impl Serialize) -> tide::Result {
    let body = Body::from_json(value)?;
    Ok(Response::builder(status).body(body).build())
}

fn refusal(status: StatusCode, text: &str) -> Response {
    Response::builder(status).body(format!("{text}\n")).build()
}
