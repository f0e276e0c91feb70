//! One caller's connection: its requests in order, and whether the caller is still there.

use std::net::Shutdown;
use std::time::Duration;
use std::time::Instant;

use async_std::io::WriteExt;
use async_std::net::TcpStream;

use crate::traffic::body::BodyDecoder;
use crate::traffic::head::HeadError;
use crate::traffic::head::RequestHead;
use crate::traffic::head::head_length;
use crate::traffic::head::parse_request;
use crate::traffic::reader::Reader;
use crate::traffic::relay::RelayError;
use crate::traffic::relay::STALL_LIMIT;
use crate::traffic::timers::Timers;

/// A body's first bytes are kept so that the request can be sent again.
pub const KEPT_BODY_BYTES: usize = 64 << 10;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const IDLE_LIMIT: Duration = Duration::from_secs(75);
const HEAD_LIMIT: Duration = Duration::from_secs(10);
const LINGER_LIMIT: Duration = Duration::from_secs(1);
const LINGER_BYTES: usize = 1 << 20;
const WATCH_AFTER: Duration = Duration::from_millis(20);
const FIRST_PROBE: Duration = Duration::from_millis(20);
const LAST_PROBE: Duration = Duration::from_secs(1);

/// The caller went away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// A caller's connection.
#[derive(Debug)]
pub struct Caller {
    /// The reading side.
    pub reader: Reader,
    /// The writing side.
    pub stream: TcpStream,
}

impl Caller {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            reader: Reader::new(stream.clone()),
            stream,
        }
    }

    /// Waits for the first byte of a request; returns whether one came.
    pub async fn wait(&mut self, timers: &Timers) -> bool {
        if !self.reader.data().is_empty() {
            return true;
        }
        self.reader.shrink();
        let filled = timers.within(IDLE_LIMIT, self.reader.fill()).await;
        matches!(filled, Ok(Ok(count)) if count > 0)
    }

    /// Reads the next head; `None` when the connection ended.
    pub async fn read_head(&mut self, timers: &Timers) -> Result<Option<RequestHead>, HeadError> {
        let whole = timers.within(HEAD_LIMIT, next_head(&mut self.reader)).await;
        let Some(length) = whole.unwrap_or(Ok(None))? else {
            return Ok(None);
        };
        let head = parse_request(&self.reader.data()[..length]);
        self.reader.consume(length);
        head.map(Some)
    }

    /// Reads the start of a body, all of it if it is small.
    pub async fn keep_body(
        &mut self,
        timers: &Timers,
        body: &mut BodyDecoder,
    ) -> Result<Vec<u8>, RelayError> {
        let mut kept = Vec::new();
        while !body.is_done() && kept.len() < KEPT_BODY_BYTES {
            let input = self.reader.data();
            let piece = body.decode(input).map_err(RelayError::Malformed)?;
            kept.extend_from_slice(&input[piece.skip..piece.used()]);
            self.reader.consume(piece.used());
            if piece.used() > 0 {
                continue;
            }
            match timers.within(STALL_LIMIT, self.reader.fill_body()).await {
                Ok(Ok(count)) if count > 0 => {}
                _ => return Err(RelayError::Cut),
            }
        }
        Ok(kept)
    }

    /// Gives the caller leave to send the body.
    pub async fn send_continue(&self) -> bool {
        (&self.stream).write_all(CONTINUE).await.is_ok()
    }

    /// Ends the connection so that the last answer arrives also when input was left unread.
    pub async fn linger(mut self, timers: &Timers) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let drain = async {
            let mut read = 0;
            while read < LINGER_BYTES {
                let pending = self.reader.data().len();
                self.reader.consume(pending);
                match self.reader.fill().await {
                    Ok(count) if count > 0 => read += count,
                    _ => return,
                }
            }
        };
        let _ = timers.within(LINGER_LIMIT, drain).await;
    }
}

/// Waits until the caller is gone; looks only after [`WATCH_AFTER`], when most are answered.
///
/// A caller that ends its side may still wait for the answer. An interim answer tells: the
/// system of a caller that closed its connection rejects it, and then the next write fails.
pub async fn watch(
    reader: &mut Reader,
    stream: &TcpStream,
    timers: &Timers,
    may_probe: impl Fn() -> bool,
) -> Gone {
    timers.sleep_until(Instant::now() + WATCH_AFTER).await;
    loop {
        if reader.is_full() {
            return std::future::pending().await;
        }
        match reader.fill().await {
            Ok(0) => break,
            Ok(_) => {}
            Err(_) => return Gone,
        }
    }
    let mut pause = FIRST_PROBE;
    let mut stream = stream;
    loop {
        timers.sleep_until(Instant::now() + pause).await;
        if !may_probe() {
            return std::future::pending().await;
        }
        if stream.write_all(CONTINUE).await.is_err() {
            return Gone;
        }
        pause = LAST_PROBE.min(pause * 2);
    }
}

async fn next_head(reader: &mut Reader) -> Result<Option<usize>, HeadError> {
    loop {
        if let Some(length) = head_length(reader.data())? {
            return Ok(Some(length));
        }
        match reader.fill().await {
            Ok(count) if count > 0 => {}
            _ => return Ok(None),
        }
    }
}
