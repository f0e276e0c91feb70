//! Streams a message body from one connection to another in constant memory.

use std::io;
use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::TcpStream;

use crate::traffic::body::BodyDecoder;
use crate::traffic::body::BodyError;
use crate::traffic::forward::put;
use crate::traffic::reader::Reader;
use crate::traffic::timers::Timers;

/// How long a read or write of a body may wait for progress.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The reason why a body was not relayed completely.
#[derive(Debug)]
pub enum RelayError {
    /// The sender closed the connection, failed or stalled before the end of the body.
    Truncated,
    /// The sender's body is malformed.
    Malformed(BodyError),
    /// The receiver closed the connection, failed or stalled.
    WriteFailed,
}

/// The connection that a body is written to.
#[derive(Debug)]
pub struct Sink<'a> {
    /// The receiver's connection.
    pub stream: &'a TcpStream,
    /// Whether the body is sent in the chunked transfer coding.
    pub chunked: bool,
    /// Timers of the traffic thread, for write timeouts.
    pub timers: &'a Timers,
}

impl Sink<'_> {
    /// Writes all bytes; fails if that takes longer than [`STALL_TIMEOUT`].
    pub async fn write(&self, bytes: &[u8]) -> Result<(), RelayError> {
        let mut stream = self.stream;
        let write = stream.write_all(bytes);
        let done = self.timers.within(STALL_TIMEOUT, write).await;
        let written = done.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        written.map_err(|_| RelayError::WriteFailed)
    }

    fn frame(&self, out: &mut Vec<u8>, data: &[u8]) {
        if self.chunked {
            put(out, format_args!("{:x}\r\n", data.len()));
        }
        out.extend_from_slice(data);
        if self.chunked {
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// Relays a body up to its end. `out` contains bytes to send before it, such as the head.
pub async fn relay(
    from: &mut Reader,
    decoder: &mut BodyDecoder,
    to: &Sink<'_>,
    mut out: Vec<u8>,
) -> Result<(), RelayError> {
    loop {
        let input = from.data();
        let piece = decoder.decode(input).map_err(RelayError::Malformed)?;
        if piece.data > 0 {
            to.frame(&mut out, &input[piece.skip..piece.used()]);
        }
        from.consume(piece.used());
        if piece.data > 0 && !from.data().is_empty() {
            continue;
        }
        if decoder.is_done() {
            break;
        }
        if !out.is_empty() {
            to.write(&out).await?;
            out.clear();
        }
        match to.timers.within(STALL_TIMEOUT, from.fill_body()).await {
            Ok(Ok(count)) if count > 0 => {}
            _ => return Err(RelayError::Truncated),
        }
    }
    if to.chunked {
        out.extend_from_slice(b"0\r\n\r\n");
    }
    match out.is_empty() {
        true => Ok(()),
        false => to.write(&out).await,
    }
}
