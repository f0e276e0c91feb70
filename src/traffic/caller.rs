//! A caller's connection: reads requests in order, and detects when the caller disconnects.

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
use crate::traffic::relay::STALL_TIMEOUT;
use crate::traffic::timers::Timers;

/// Bodies up to this size are buffered, so that the request can be sent again.
pub const MAX_REPLAY_BYTES: usize = 64 << 10;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_LINGER_BYTES: usize = 1 << 20;
const DISCONNECT_CHECK_DELAY: Duration = Duration::from_millis(20);
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(20);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The caller closed its connection or can't be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

/// A connection that a caller opened.
#[derive(Debug)]
pub struct Caller {
    /// Buffered read side of the connection.
    pub reader: Reader,
    /// The connection itself, used for writing.
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

    /// Waits for the first byte of the next request; returns false if the caller closed the
    /// connection or left it idle for [`IDLE_TIMEOUT`].
    pub async fn wait_for_request(&mut self, timers: &Timers) -> bool {
        if !self.reader.data().is_empty() {
            return true;
        }
        self.reader.shrink();
        let filled = timers.within(IDLE_TIMEOUT, self.reader.fill()).await;
        matches!(filled, Ok(Ok(count)) if count > 0)
    }

    /// Reads the head of the next request; `None` if the connection ended or the head was not
    /// complete within [`HEAD_TIMEOUT`].
    pub async fn read_head(&mut self, timers: &Timers) -> Result<Option<RequestHead>, HeadError> {
        let length = timers
            .within(HEAD_TIMEOUT, buffer_head(&mut self.reader))
            .await;
        let Some(length) = length.unwrap_or(Ok(None))? else {
            return Ok(None);
        };
        let head = parse_request(&self.reader.data()[..length]);
        self.reader.consume(length);
        head.map(Some)
    }

    /// Reads the start of a body: at least [`MAX_REPLAY_BYTES`], or all of it if it is shorter.
    pub async fn buffer_body(
        &mut self,
        timers: &Timers,
        body: &mut BodyDecoder,
    ) -> Result<Vec<u8>, RelayError> {
        let mut buffered = Vec::new();
        while !body.is_done() && buffered.len() < MAX_REPLAY_BYTES {
            let input = self.reader.data();
            let piece = body.decode(input).map_err(RelayError::Malformed)?;
            buffered.extend_from_slice(&input[piece.skip..piece.used()]);
            self.reader.consume(piece.used());
            if piece.used() > 0 {
                continue;
            }
            match timers.within(STALL_TIMEOUT, self.reader.fill_body()).await {
                Ok(Ok(count)) if count > 0 => {}
                _ => return Err(RelayError::Truncated),
            }
        }
        Ok(buffered)
    }

    /// Sends `100 Continue`; returns false if the write fails.
    pub async fn send_continue(&self) -> bool {
        (&self.stream).write_all(CONTINUE).await.is_ok()
    }

    /// Closes the connection gracefully: ends the write side, then discards input for a limited
    /// time, because closing with unread input resets the connection and may destroy the response.
    pub async fn linger(mut self, timers: &Timers) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let drain = async {
            let mut read = 0;
            while read < MAX_LINGER_BYTES {
                let pending = self.reader.data().len();
                self.reader.consume(pending);
                match self.reader.fill().await {
                    Ok(count) if count > 0 => read += count,
                    _ => return,
                }
            }
        };
        let _ = timers.within(LINGER_TIMEOUT, drain).await;
    }
}

/// Waits until the caller disconnects; starts to check after [`DISCONNECT_CHECK_DELAY`], because
/// most requests are answered by then.
///
/// End of input does not prove that the caller left: it may have closed only its write side and
/// still wait for the response. So interim responses (100) are sent as probes: if the caller closed
/// its connection, its system answers with a reset, and the next write fails.
pub async fn wait_for_disconnect(
    reader: &mut Reader,
    stream: &TcpStream,
    timers: &Timers,
    may_probe: impl Fn() -> bool,
) -> Disconnected {
    timers
        .sleep_until(Instant::now() + DISCONNECT_CHECK_DELAY)
        .await;
    loop {
        if reader.is_full() {
            return std::future::pending().await;
        }
        match reader.fill().await {
            Ok(0) => break,
            Ok(_) => {}
            Err(_) => return Disconnected,
        }
    }
    let mut interval = MIN_PROBE_INTERVAL;
    let mut stream = stream;
    loop {
        timers.sleep_until(Instant::now() + interval).await;
        if !may_probe() {
            return std::future::pending().await;
        }
        if stream.write_all(CONTINUE).await.is_err() {
            return Disconnected;
        }
        interval = MAX_PROBE_INTERVAL.min(interval * 2);
    }
}

async fn buffer_head(reader: &mut Reader) -> Result<Option<usize>, HeadError> {
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
