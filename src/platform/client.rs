//! A minimal HTTP client for one address, with keep-alive connections. It buffers whole response
//! bodies.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use http_types::Url;
use thiserror::Error;

use crate::link::TOKEN_HEADER;

/// Maximum number of idle connections kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Maximum size of a response body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The error of a call without a complete response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// The connection could not be opened, so nothing was sent.
    #[error(
        "cannot connect to {address} ({cause}); check the address and that the server is running"
    )]
    NotSent {
        /// The server's address.
        address: SocketAddr,
        /// The error of the connection attempt.
        cause: String,
    },
    /// The request may have been sent, but no complete response was received. It may have taken
    /// effect.
    #[error(
        "no complete response from {address} ({cause}); check whether the request took effect, then retry"
    )]
    Lost {
        /// The server's address.
        address: SocketAddr,
        /// The error of the exchange.
        cause: String,
    },
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The response body.
    pub body: Vec<u8>,
}

/// An HTTP client for one address. A connection is reused only after a complete response.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    timeout: Duration,
    token: Option<String>,
    idle: Mutex<Vec<TcpStream>>,
}

impl HttpClient {
    /// Creates a client. `timeout` applies to opening a connection and to the exchange separately.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            token: None,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Sends the token in the header of every request.
    pub fn with_token(self, token: &str) -> Self {
        let token = Some(token.to_owned());
        Self { token, ..self }
    }

    /// Sends a request and reads the response.
    pub async fn call(&self, method: Method, path: &str, body: &[u8]) -> Result<Reply, CallError> {
        let opened = with_timeout(self.timeout, self.connect()).await;
        let stream = opened.map_err(|cause| self.not_sent(cause))?;
        let exchanged =
            with_timeout(self.timeout, self.exchange(&stream, method, path, body)).await;
        let reply = exchanged.map_err(|cause| self.lost(cause))?;
        self.release(stream);
        Ok(reply)
    }

    async fn connect(&self) -> Result<TcpStream, String> {
        let idle = self.lock().pop();
        if let Some(stream) = idle {
            return Ok(stream);
        }
        let opened = TcpStream::connect(self.address).await;
        let stream = opened.map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        Ok(stream)
    }

    async fn exchange(
        &self,
        stream: &TcpStream,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<Reply, String> {
        let url = format!("http://{}{path}", self.address);
        let url = Url::parse(&url).map_err(|e| e.to_string())?;
        let mut request = Request::new(method, url);
        request.set_body(body);
        if let Some(token) = &self.token {
            request.insert_header(TOKEN_HEADER, token.as_str());
        }
        let received = async_h1::connect(stream.clone(), request).await;
        let mut response = received.map_err(|e| e.to_string())?;
        let status = response.status();
        // Another response would follow on the connection, or bytes of another protocol.
        if status.is_informational() {
            return Err(format!("unexpected status {status}"));
        }
        // The HTTP library does not report a truncated body, so the length is checked below.
        let length = response.len().ok_or("response without a length")?;
        if length > MAX_BODY_BYTES {
            return Err(format!("response of {length} bytes is too long"));
        }
        let body = response.body_bytes().await.map_err(|e| e.to_string())?;
        if body.len() != length {
            return Err(format!("received {} of {length} bytes", body.len()));
        }
        let status = u16::from(status);
        Ok(Reply { status, body })
    }

    fn release(&self, stream: TcpStream) {
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(stream);
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn not_sent(&self, cause: String) -> CallError {
        let address = self.address;
        CallError::NotSent { address, cause }
    }

    fn lost(&self, cause: String) -> CallError {
        let address = self.address;
        CallError::Lost { address, cause }
    }
}

impl Reply {
    /// Returns true if the status code is 2xx.
    pub fn is_success(&self) -> bool {
        StatusCode::try_from(self.status).is_ok_and(|status| status.is_success())
    }
}

async fn with_timeout<T>(
    limit: Duration,
    work: impl Future<Output = Result<T, String>>,
) -> Result<T, String> {
    match timeout(limit, work).await {
        Ok(result) => result,
        Err(_) => Err(format!("timeout after {limit:?}")),
    }
}
