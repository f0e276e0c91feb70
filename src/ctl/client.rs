//! A typed client of the operator API.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::Method;
use serde::de::DeserializeOwned;

use crate::control::KeyOwner;
use crate::control::Status;
use crate::ctl::CtlError;
use crate::ids::ServiceId;
use crate::ids::TicketNumber;
use crate::ids::key_hash;
use crate::operator::OWNER_PATH;
use crate::operator::STATE_PATH;
use crate::operator::STATUS_PATH;
use crate::operator::TICKETS_PATH;
use crate::platform::client::CallError;
use crate::platform::client::HttpClient;
use crate::platform::client::Reply;
use crate::ticket::InForce;
use crate::ticket::Outcome;

/// Timeout of a call. Longer than the time a controller spends on filing a ticket, so that the
/// controller reports the outcome first.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// A client of the operator API that tries the controllers in order until one responds.
#[derive(Debug)]
pub struct Client {
    controllers: Vec<HttpClient>,
}

impl Client {
    /// Creates a client; `controllers` must not be empty.
    pub fn new(controllers: &[SocketAddr], token: &str) -> Self {
        let new_client = |&address| HttpClient::new(address, CALL_TIMEOUT).with_token(token);
        Self {
            controllers: controllers.iter().map(new_client).collect(),
        }
    }

    /// Files a ticket. It is safe to send it to several controllers: a ticket is accepted at most once.
    ///
    /// # Errors
    ///
    /// Returns an error if no controller reports the outcome.
    pub async fn file(&self, text: &str) -> Result<Outcome, CtlError> {
        let reply = self.call(Method::Post, TICKETS_PATH, text.as_bytes()).await;
        let reply = reply.map_err(|error| CtlError::Unknown(filing_error_text(&error)))?;
        match reply.status {
            200 | 409 | 422 | 503 => Ok(serde_json::from_slice(&reply.body)?),
            _ => Err(response_error(&reply)),
        }
    }

    /// Reads the text of an accepted ticket.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such ticket or the table service does not respond.
    pub async fn ticket(&self, number: TicketNumber) -> Result<String, CtlError> {
        let path = format!("{TICKETS_PATH}/{number}");
        let reply = require_success(self.call(Method::Get, &path, &[]).await?)?;
        String::from_utf8(reply.body)
            .map_err(|error| CtlError::UnexpectedResponse(error.to_string()))
    }

    /// Reads the state in force.
    ///
    /// # Errors
    ///
    /// Returns an error if no controller responds.
    pub async fn state(&self) -> Result<InForce, CtlError> {
        self.read(STATE_PATH).await
    }

    /// Reads the status of the VMs and groups.
    ///
    /// # Errors
    ///
    /// Returns an error if no controller responds.
    pub async fn status(&self) -> Result<Status, CtlError> {
        self.read(STATUS_PATH).await
    }

    /// Reads the owner of a key.
    ///
    /// # Errors
    ///
    /// Returns an error if the service is not keyed or no controller responds.
    pub async fn owner(&self, service: &ServiceId, key: &str) -> Result<KeyOwner, CtlError> {
        let hash = key_hash(key.as_bytes());
        self.read(&format!("{OWNER_PATH}/{service}/{hash:x}")).await
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let reply = require_success(self.call(Method::Get, path, &[]).await?)?;
        Ok(serde_json::from_slice(&reply.body)?)
    }

    async fn call(&self, method: Method, path: &str, body: &[u8]) -> Result<Reply, CallError> {
        let mut result = self.controllers[0].call(method, path, body).await;
        for controller in &self.controllers[1..] {
            if result.is_ok() {
                break;
            }
            result = controller.call(method, path, body).await;
        }
        result
    }
}

fn require_success(reply: Reply) -> Result<Reply, CtlError> {
    match reply.is_success() {
        true => Ok(reply),
        false => Err(response_error(&reply)),
    }
}

fn response_error(reply: &Reply) -> CtlError {
    let text = String::from_utf8_lossy(&reply.body).trim().to_owned();
    match reply.status {
        404 if text.is_empty() => CtlError::UnexpectedResponse(
            "not the address of an operator API; give the [controller] admin address".to_owned(),
        ),
        400..500 => CtlError::Refused(format!("refused: {text}")),
        503 => CtlError::Unknown(text),
        status => CtlError::UnexpectedResponse(format!("status {status}: {text}")),
    }
}

fn filing_error_text(error: &CallError) -> String {
    match error {
        CallError::NotSent { .. } => format!("nothing was filed: {error}"),
        CallError::Lost { .. } => format!(
            "unknown whether the ticket was accepted ({error}); file the same file again, which \
             is safe, until the outcome is known"
        ),
    }
}
