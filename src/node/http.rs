//! A small HTTP client for calls with whole bodies: one address, kept-alive connections.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::time::timeout_at;

use crate::node::proxy::conn::Conn;
use crate::platform::client::CallError;
use crate::traffic::body::BodyDecoder;
use crate::traffic::forward::put;
use crate::traffic::head::AnswerHead;
use crate::traffic::head::head_length;
use crate::traffic::head::parse_answer;

/// Connections kept for the next calls.
const IDLE_CONNECTIONS: usize = 4;
/// A kept connection is used again within this time; servers close later.
const IDLE_LIMIT: Duration = Duration::from_secs(5);
/// The longest answer, in bytes: more than the platform sends in one.
const MOST_BYTES: usize = 16 << 20;

/// The whole answer to a call.
#[derive(Debug)]
pub struct Reply {
    /// The head.
    pub head: AnswerHead,
    /// The body.
    pub body: Vec<u8>,
    /// When the connection was opened that carried it.
    pub opened: Instant,
}

/// A call.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The method.
    pub method: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The type of the body, if there is one.
    pub content_type: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

/// A connection between two calls.
#[derive(Debug)]
struct Kept {
    conn: Conn,
    opened: Instant,
    since: Instant,
}

/// Calls one address.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle: Mutex<Vec<Kept>>,
}

impl HttpClient {
    /// Creates a client.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Sends a call and reads the whole answer, within a time.
    pub async fn call(&self, call: Call<'_>, limit: Duration) -> Result<Reply, CallError> {
        let deadline = Instant::now() + limit;
        let (conn, opened) = match self.take(None) {
            Some(kept) => kept,
            None => (self.open(deadline).await?, Instant::now()),
        };
        self.send(conn, opened, call, deadline).await
    }

    /// Sends a call by a connection that was opened at `latest` or earlier; `None` when there is
    /// none, and nothing was sent.
    pub async fn call_reusing(
        &self,
        call: Call<'_>,
        latest: Instant,
        limit: Duration,
    ) -> Option<Result<Reply, CallError>> {
        let (conn, opened) = self.take(Some(latest))?;
        let deadline = Instant::now() + limit;
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
        let exchange = timeout_at(deadline.into(), exchange(&mut conn, self.address, call));
        let (head, body) = match exchange.await {
            Ok(Ok(answer)) => answer,
            Ok(Err(why)) => return Err(self.lost(why.to_owned())),
            Err(_) => {
                // Other connections may have gone silent in the same way.
                self.lock().clear();
                return Err(self.lost("no answer in time".to_owned()));
            }
        };
        conn.end_exchange();
        if head.keep_alive && conn.data().is_empty() {
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
        if idle.len() < IDLE_CONNECTIONS {
            let since = Instant::now();
            idle.push(Kept {
                conn,
                opened,
                since,
            });
        }
    }

    /// Takes the kept connection that was used last, of those opened at `latest` or earlier.
    fn take(&self, latest: Option<Instant>) -> Option<(Conn, Instant)> {
        let now = Instant::now();
        let fits = |kept: &Kept| latest.is_none_or(|latest| kept.opened <= latest);
        let mut idle = self.lock();
        loop {
            let at = idle.iter().rposition(fits)?;
            let kept = idle.remove(at);
            let age = now.saturating_duration_since(kept.since);
            if age < IDLE_LIMIT && kept.conn.is_idle() {
                return Some((kept.conn, kept.opened));
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Kept>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lost(&self, cause: String) -> CallError {
        let address = self.address;
        CallError::Lost { address, cause }
    }
}

async fn exchange(
    conn: &mut Conn,
    address: SocketAddr,
    call: Call<'_>,
) -> Result<(AnswerHead, Vec<u8>), &'static str> {
    let mut out = Vec::with_capacity(256 + call.body.len());
    let (method, path) = (call.method, call.path);
    put(&mut out, format_args!("{method} {path} HTTP/1.1\r\n"));
    put(&mut out, format_args!("Host: {address}\r\n"));
    if let Some(kind) = call.content_type {
        let length = call.body.len();
        put(&mut out, format_args!("Content-Type: {kind}\r\n"));
        put(&mut out, format_args!("Content-Length: {length}\r\n"));
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(call.body);
    let (_, mut write, _) = conn.split();
    write
        .write_all(&out)
        .await
        .map_err(|_| "a reset connection")?;
    let length = loop {
        match head_length(conn.data()).map_err(|_| "bytes that are no answer")? {
            Some(length) => break length,
            None => fill(conn).await?,
        }
    };
    let head = parse_answer(&conn.data()[..length], method).map_err(|_| "a malformed answer")?;
    conn.consume(length);
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    loop {
        while !decoder.is_done() && !conn.data().is_empty() {
            let piece = decoder
                .decode(conn.data())
                .map_err(|_| "a malformed body")?;
            body.extend_from_slice(&conn.data()[piece.skip..piece.used()]);
            conn.consume(piece.used());
        }
        if decoder.is_done() {
            return Ok((head, body));
        }
        if body.len() > MOST_BYTES {
            return Err("an answer that is too long");
        }
        fill(conn).await?;
    }
}

async fn fill(conn: &mut Conn) -> Result<(), &'static str> {
    match conn.fill().await {
        Ok(0) => Err("a closed connection"),
        Ok(_) => Ok(()),
        Err(_) => Err("a reset connection"),
    }
}
