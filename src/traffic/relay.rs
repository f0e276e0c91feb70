//! Passing a body on in constant memory.

use std::io;
use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::TcpStream;

use crate::traffic::body::BodyDecoder;
use crate::traffic::body::BodyError;
use crate::traffic::forward::put;
use crate::traffic::reader::Reader;
use crate::traffic::timers::Timers;

/// How long a body may stand still.
pub const STALL_LIMIT: Duration = Duration::from_secs(30);

/// Why a body could not be passed on whole.
#[derive(Debug)]
pub enum RelayError {
    /// The sender ended, broke off or stood still before the end of the body.
    Cut,
    /// The sender's body is malformed.
    Malformed(BodyError),
    /// The receiver takes no more.
    Sink,
}

/// The receiving side of a body.
#[derive(Debug)]
pub struct Sink<'a> {
    /// The connection.
    pub stream: &'a TcpStream,
    /// Whether the body is sent in chunks.
    pub chunked: bool,
    /// The timers of the thread.
    pub timers: &'a Timers,
}

impl Sink<'_> {
    /// Writes all bytes, or fails when the receiver stands still.
    pub async fn write(&self, bytes: &[u8]) -> Result<(), RelayError> {
        let mut stream = self.stream;
        let write = stream.write_all(bytes);
        let done = self.timers.within(STALL_LIMIT, write).await;
        let written = done.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        written.map_err(|_| RelayError::Sink)
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

/// Passes a body on, up to its end; `out` holds what is to be sent before it.
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
        match to.timers.within(STALL_LIMIT, from.fill_body()).await {
            Ok(Ok(count)) if count > 0 => {}
            _ => return Err(RelayError::Cut),
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
