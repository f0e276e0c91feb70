//! Reads responses of targets and checks which attempt they belong to.

use crate::owner::order::OUTCOME_HEADER;
use crate::owner::order::REQUEST_HEADER;
use crate::traffic::body::BodyDecoder;
use crate::traffic::body::Framing;
use crate::traffic::head::ResponseHead;
use crate::traffic::head::head_length;
use crate::traffic::head::parse_response;
use crate::traffic::reader::Reader;

const MAX_INTERIM_RESPONSES: usize = 16;
/// Longest body that is received completely before any of the response is relayed.
const MAX_BUFFERED_BODY_BYTES: u64 = 16 << 10;

/// Reads the head of the final response, skipping interim ones; `None` if the connection broke or
/// the response can't be relayed.
pub async fn read_response_head(reader: &mut Reader, method: &str) -> Option<ResponseHead> {
    for _ in 0..MAX_INTERIM_RESPONSES {
        let length = loop {
            match head_length(reader.data()).ok()? {
                Some(length) => break length,
                None => reader.fill().await.ok().filter(|count| *count > 0)?,
            };
        };
        let head = parse_response(&reader.data()[..length], method).ok()?;
        reader.consume(length);
        // The end of such a body cannot be distinguished from a connection closed by a crash.
        if head.framing == Framing::UntilClose {
            return None;
        }
        if !head.is_interim() {
            return Some(head);
        }
    }
    None
}

/// Reads the head of the final response and buffers a body of up to [`MAX_BUFFERED_BODY_BYTES`].
///
/// `None` is also returned if such a body is truncated: nothing was sent to the caller yet, so the
/// request may be sent again.
pub async fn read_response_start(reader: &mut Reader, method: &str) -> Option<ResponseHead> {
    let head = read_response_head(reader, method).await?;
    let Framing::Length(length) = head.framing else {
        return Some(head);
    };
    if length > MAX_BUFFERED_BODY_BYTES {
        return Some(head);
    }
    while (reader.data().len() as u64) < length {
        reader.fill().await.ok().filter(|count| *count > 0)?;
    }
    Some(head)
}

/// Returns true if the response echoes the request ID of the attempt or none at all.
pub fn belongs_to_attempt(head: &ResponseHead, id: u64) -> bool {
    let mut echoes = head.fields.all(REQUEST_HEADER);
    echoes.all(|echo| echo == format!("{id:016x}").as_bytes())
}

/// Returns true if the target reports that it did not run the request.
pub fn reports_not_run(head: &ResponseHead) -> bool {
    head.fields.only(OUTCOME_HEADER) == Some(b"not-run")
}

/// Discards a body that is already in the buffer; returns false if it is incomplete or malformed.
pub fn discard_buffered_body(reader: &mut Reader, head: &ResponseHead) -> bool {
    let mut decoder = BodyDecoder::new(head.framing);
    while !decoder.is_done() {
        match decoder.decode(reader.data()) {
            Ok(piece) if piece.used() > 0 => reader.consume(piece.used()),
            _ => return false,
        }
    }
    true
}
