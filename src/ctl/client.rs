//! The typed client of the operators' HTTP.

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

/// Longer than a controller tries to file.
const CALL_LIMIT: Duration = Duration::from_secs(15);

/// Asks one controller after the other until one gives a whole answer.
#[derive(Debug)]
pub struct Client {
    controllers: Vec<HttpClient>,
}

impl Client {
    /// Creates the client of at least one controller.
    pub fn new(controllers: &[SocketAddr], token: &str) -> Self {
        let open = |&address| HttpClient::new(address, CALL_LIMIT).with_token(token);
        Self {
            controllers: controllers.iter().map(open).collect(),
        }
    }

    /// Files a ticket. Asking several controllers does no harm: a ticket is accepted once.
    ///
    /// # Errors
    ///
    /// When no controller said what became of the ticket.
    pub async fn file(&self, text: &str) -> Result<Outcome, CtlError> {
        let reply = self.call(Method::Post, TICKETS_PATH, text.as_bytes()).await;
        let reply = reply.map_err(|error| CtlError::Unknown(unresolved(&error)))?;
        match reply.status {
            200 | 409 | 422 | 503 => Ok(serde_json::from_slice(&reply.body)?),
            _ => Err(refused(&reply)),
        }
    }

    /// Reads the text of an accepted ticket.
    ///
    /// # Errors
    ///
    /// When there is no such ticket, or the table service does not answer.
    pub async fn ticket(&self, number: TicketNumber) -> Result<String, CtlError> {
        let path = format!("{TICKETS_PATH}/{number}");
        let reply = whole(self.call(Method::Get, &path, &[]).await?)?;
        String::from_utf8(reply.body).map_err(|error| CtlError::Answer(error.to_string()))
    }

    /// Reads the state in force.
    ///
    /// # Errors
    ///
    /// When no controller answers.
    pub async fn state(&self) -> Result<InForce, CtlError> {
        self.read(STATE_PATH).await
    }

    /// Reads how the VMs and groups are.
    ///
    /// # Errors
    ///
    /// When no controller answers.
    pub async fn status(&self) -> Result<Status, CtlError> {
        self.read(STATUS_PATH).await
    }

    /// Reads who owns a key.
    ///
    /// # Errors
    ///
    /// When the service is not keyed, or no controller answers.
    pub async fn owner(&self, service: &ServiceId, key: &str) -> Result<KeyOwner, CtlError> {
        let hash = key_hash(key.as_bytes());
        self.read(&format!("{OWNER_PATH}/{service}/{hash:x}")).await
    }

    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        let reply = whole(self.call(Method::Get, path, &[]).await?)?;
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

fn whole(reply: Reply) -> Result<Reply, CtlError> {
    match reply.is_success() {
        true => Ok(reply),
        false => Err(refused(&reply)),
    }
}

fn refused(reply: &Reply) -> CtlError {
    let text = String::from_utf8_lossy(&reply.body).trim().to_owned();
    match reply.status {
        404 if text.is_empty() => CtlError::Answer(
            "not the operators' address; give the [controller] admin address".to_owned(),
        ),
        400..500 => CtlError::Refused(format!("refused: {text}")),
        503 => CtlError::Unknown(text),
        status => CtlError::Answer(format!("status {status}: {text}")),
    }
}

fn unresolved(error: &CallError) -> String {
    match error {
        CallError::NotSent { .. } => format!("nothing was filed: {error}"),
        CallError::Lost { .. } => format!(
            "not known whether the ticket is accepted ({error}); file the same file again, which \
             is safe, until the answer is certain"
        ),
    }
}
