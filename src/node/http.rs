//! A minimal HTTP client for one address, with keep-alive connections. It buffers whole request and
//! response bodies.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::time::timeout_at;

use crate::clock::Clock;
use crate::cold_start::left_from_field;
use crate::node::identity::Identity;
use crate::node::proxy::conn::Conn;
use crate::platform::client::CallError;
use crate::traffic::body::BodyDecoder;
use crate::traffic::forward::put;
use crate::traffic::head::ResponseHead;
use crate::traffic::head::head_length;
use crate::traffic::head::parse_response;

/// Maximum number of idle connections kept for reuse.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// How long an idle connection may be reused: shorter than the idle timeout of the servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a process may take to name itself.
const IDENTIFICATION_TIMEOUT: Duration = Duration::from_millis(400);
/// Default limit on a response body, above the largest response of the platform.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Maximum number of interim responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// A complete response.
#[derive(Debug)]
pub struct Reply {
    /// Status line and header fields.
    pub head: ResponseHead,
    /// The decoded body.
    pub body: Vec<u8>,
    /// When the connection that carried the call was opened.
    pub opened: Instant,
}

/// Which connections may carry a call. On the connection of an earlier call, a late copy of its
/// answer cannot be distinguished from the answer to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Any idle connection, which is kept afterwards.
    Any,
    /// Any idle connection, which is kept only if the server does what the call asks (status 2xx).
    UntilRefused,
    /// A new connection, which is closed afterwards.
    Never,
}

/// Why a call to a given process got no response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum IdentifiedCallError {
    /// The call failed like any other.
    #[error(transparent)]
    Call(#[from] CallError),
    /// Nothing was sent, because another process listens at the address.
    #[error("another process listens at the address; read the list of targets again")]
    OtherProcess,
    /// Nothing was sent, because the process that listens at the address did not name itself.
    #[error("the process did not name itself in time; check its health path, then retry")]
    Unidentified,
}

/// A request to send.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The path, including the query.
    pub path: &'a str,
    /// The content type of the body; `None` sends no body headers.
    pub content_type: Option<&'a str>,
    /// The body; empty if there is none.
    pub body: &'a [u8],
    /// Which connections may carry the call.
    pub reuse: Reuse,
}

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    conn: Conn,
    opened: Instant,
    idle_since: Instant,
}

/// An HTTP client for one address.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    max_body: usize,
    idle: Mutex<Vec<IdleConnection>>,
}

impl HttpClient {
    /// Creates a client without open connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            max_body: MAX_BODY_BYTES,
            idle: Mutex::default(),
        }
    }

    /// Sets the limit on a response body, in bytes; a call with a longer response fails.
    #[must_use]
    pub fn with_max_body(self, max_body: usize) -> Self {
        Self { max_body, ..self }
    }

    /// Returns the address that calls are sent to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a call, on an idle connection that it may use if there is one, and reads the response
    /// within `timeout`.
    pub async fn call(&self, call: Call<'_>, timeout: Duration) -> Result<Reply, CallError> {
        let deadline = Instant::now() + timeout;
        let (conn, opened) = match self.take_for(call.reuse) {
            Some(idle) => idle,
            None => (self.open(deadline).await?, Instant::now()),
        };
        self.send(conn, opened, call, deadline).await
    }

    /// Sends a call like [`Self::call`], but only to the given process: on a new connection that may
    /// lead to another one, the process first has to name itself. All calls of the client must be for
    /// the same process, since idle connections are not checked again.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::call`], or without sending the call if another process listens at the address
    /// or if it does not name itself in time.
    pub async fn call_identified(
        &self,
        call: Call<'_>,
        identity: Identity<'_>,
        timeout: Duration,
    ) -> Result<Reply, IdentifiedCallError> {
        let deadline = Instant::now() + timeout;
        let (conn, opened) = match self.take_for(call.reuse) {
            Some(idle) => idle,
            None => self.open_identified(identity, deadline).await?,
        };
        Ok(self.send(conn, opened, call, deadline).await?)
    }

    /// Opens a connection to the given process.
    async fn open_identified(
        &self,
        identity: Identity<'_>,
        deadline: Instant,
    ) -> Result<(Conn, Instant), IdentifiedCallError> {
        let mut conn = self.open(deadline).await?;
        let opened = Instant::now();
        if identity.is_certain() {
            return Ok((conn, opened));
        }
        let Some(path) = identity.path else {
            return Err(IdentifiedCallError::Unidentified);
        };
        let deadline = deadline.min(opened + IDENTIFICATION_TIMEOUT);
        let begun = identity.clock.now();
        let call = Call {
            method: "GET",
            path,
            content_type: None,
            body: &[],
            reuse: Reuse::Never,
        };
        conn.begin_exchange();
        let exchange = self.exchange(&mut conn, call);
        let Ok(Ok((head, _))) = timeout_at(deadline.into(), exchange).await else {
            return Err(IdentifiedCallError::Unidentified);
        };
        conn.end_exchange();
        match head.fields.only(identity.field) {
            None => return Err(IdentifiedCallError::Unidentified),
            Some(id) if id != identity.id.as_str().as_bytes() => {
                return Err(IdentifiedCallError::OtherProcess);
            }
            Some(_) => {
                let left = left_from_field(head.fields.all(identity.cold_field));
                identity.cold_left.set(left);
            }
        }
        let proven = identity.proven(begun);
        if proven.is_certain() {
            // A copy of the response would be taken for the response to the call.
            drop(conn);
            let conn = self.open(deadline).await?;
            if proven.is_certain() {
                return Ok((conn, Instant::now()));
            }
        } else if head.keep_alive && conn.data().is_empty() {
            return Ok((conn, opened));
        }
        Err(IdentifiedCallError::Unidentified)
    }

    /// Sends a call on an idle connection that was opened no later than `opened_by`. Returns `None`
    /// without sending anything if there is no such connection.
    pub async fn call_reusing(
        &self,
        call: Call<'_>,
        opened_by: Instant,
        timeout: Duration,
    ) -> Option<Result<Reply, CallError>> {
        let (conn, opened) = self.take(Some(opened_by))?;
        let deadline = Instant::now() + timeout;
        Some(self.send(conn, opened, call, deadline).await)
    }

    async fn send(
        &self,
        mut conn: Conn,
        opened: Instant,
        call: Call<'_>,
        deadline: Instant,
    ) -> Result<Reply, CallError> {
        conn.begin_exchange();
        let exchange = timeout_at(deadline.into(), self.exchange(&mut conn, call));
        let (head, body) = match exchange.await {
            Ok(Ok(response)) => response,
            Ok(Err(cause)) => return Err(self.lost(cause.to_owned())),
            Err(_) => {
                // The idle connections may be dead for the same reason.
                self.lock().clear();
                return Err(self.lost("no response in time".to_owned()));
            }
        };
        conn.end_exchange();
        let keep = match call.reuse {
            Reuse::Any => true,
            Reuse::UntilRefused => (200..300).contains(&head.status),
            Reuse::Never => false,
        };
        if keep && head.keep_alive && conn.data().is_empty() {
            self.keep(conn, opened);
        }
        Ok(Reply { head, body, opened })
    }

    async fn open(&self, deadline: Instant) -> Result<Conn, CallError> {
        let address = self.address;
        let not_sent = |cause: String| CallError::NotSent { address, cause };
        match timeout_at(deadline.into(), Conn::open(address)).await {
            Ok(opened) => opened.map_err(|error| not_sent(error.to_string())),
            Err(_) => Err(not_sent("no connection in time".to_owned())),
        }
    }

    fn keep(&self, conn: Conn, opened: Instant) {
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            let idle_since = Instant::now();
            idle.push(IdleConnection {
                conn,
                opened,
                idle_since,
            });
        }
    }

    /// Removes and returns an idle connection that may carry such a call, if there is one.
    fn take_for(&self, reuse: Reuse) -> Option<(Conn, Instant)> {
        match reuse {
            Reuse::Any | Reuse::UntilRefused => self.take(None),
            Reuse::Never => None,
        }
    }

    /// Removes and returns the most recently used idle connection. If `opened_by` is given, only
    /// connections opened no later than that are considered.
    fn take(&self, opened_by: Option<Instant>) -> Option<(Conn, Instant)> {
        let now = Instant::now();
        let matches =
            |idle: &IdleConnection| opened_by.is_none_or(|opened_by| idle.opened <= opened_by);
        let mut connections = self.lock();
        loop {
            let index = connections.iter().rposition(matches)?;
            let idle = connections.remove(index);
            let age = now.saturating_duration_since(idle.idle_since);
            if age < IDLE_TIMEOUT && idle.conn.is_idle() {
                return Some((idle.conn, idle.opened));
            }
        }
    }

    async fn exchange(
        &self,
        conn: &mut Conn,
        call: Call<'_>,
    ) -> Result<(ResponseHead, Vec<u8>), &'static str> {
        let mut request = Vec::with_capacity(256 + call.body.len());
        let (method, path) = (call.method, call.path);
        put(&mut request, format_args!("{method} {path} HTTP/1.1\r\n"));
        put(&mut request, format_args!("Host: {}\r\n", self.address));
        if let Some(content_type) = call.content_type {
            let length = call.body.len();
            put(
                &mut request,
                format_args!("Content-Type: {content_type}\r\n"),
            );
            put(&mut request, format_args!("Content-Length: {length}\r\n"));
        }
        request.extend_from_slice(b"\r\n");
        request.extend_from_slice(call.body);
        let (_, mut write, _) = conn.split();
        write
            .write_all(&request)
            .await
            .map_err(|_| "connection reset")?;
        let head = read_final_head(conn, method).await?;
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = Vec::new();
        loop {
            while !decoder.is_done() && !conn.data().is_empty() {
                let piece = decoder
                    .decode(conn.data())
                    .map_err(|_| "malformed response body")?;
                body.extend_from_slice(&conn.data()[piece.skip..piece.used()]);
                conn.consume(piece.used());
            }
            if decoder.is_done() {
                return Ok((head, body));
            }
            if body.len() > self.max_body {
                return Err("response too large");
            }
            fill(conn).await?;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lost(&self, cause: String) -> CallError {
        let address = self.address;
        CallError::Lost { address, cause }
    }
}

/// Reads the head of the final response, and skips interim ones.
async fn read_final_head(conn: &mut Conn, method: &str) -> Result<ResponseHead, &'static str> {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let length = loop {
            match head_length(conn.data()).map_err(|_| "not an HTTP response")? {
                Some(length) => break length,
                None => fill(conn).await?,
            }
        };
        let head =
            parse_response(&conn.data()[..length], method).map_err(|_| "malformed response")?;
        conn.consume(length);
        if !head.is_interim() {
            return Ok(head);
        }
    }
    Err("only interim responses")
}

async fn fill(conn: &mut Conn) -> Result<(), &'static str> {
    match conn.fill().await {
        Ok(0) => Err("connection closed"),
        Ok(_) => Ok(()),
        Err(_) => Err("connection reset"),
    }
}
