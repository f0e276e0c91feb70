//! The answers of targets: reading them, and whom they belong to.

use crate::owner::order::OUTCOME_HEADER;
use crate::owner::order::REQUEST_HEADER;
use crate::traffic::body::BodyDecoder;
use crate::traffic::body::Framing;
use crate::traffic::head::ResponseHead;
use crate::traffic::head::head_length;
use crate::traffic::head::parse_response;
use crate::traffic::reader::Reader;

const MAX_INTERIM_ANSWERS: usize = 16;
/// The longest body that is awaited whole before any of the answer is passed on, in bytes.
const SHORT_BODY_BYTES: u64 = 16 << 10;

/// Reads the head of the final answer; `None` when the connection broke or sent something else.
pub async fn read_answer(reader: &mut Reader, method: &str) -> Option<ResponseHead> {
    for _ in 0..MAX_INTERIM_ANSWERS {
        let length = loop {
            match head_length(reader.data()).ok()? {
                Some(length) => break length,
                None => reader.fill().await.ok().filter(|count| *count > 0)?,
            };
        };
        let head = parse_response(&reader.data()[..length], method).ok()?;
        reader.consume(length);
        match head.status {
            101 => return None,
            // A crashed target's connection ends like such a body.
            _ if head.framing == Framing::UntilClose => return None,
            100..=199 => {}
            _ => return Some(head),
        }
    }
    None
}

/// Reads the head of the final answer, and waits for the whole body where it is short, so that an
/// attempt whose answer breaks off may still be repeated.
pub async fn read_short_answer(reader: &mut Reader, method: &str) -> Option<ResponseHead> {
    let head = read_answer(reader, method).await?;
    let Framing::Length(length) = head.framing else {
        return Some(head);
    };
    if length > SHORT_BODY_BYTES {
        return Some(head);
    }
    while (reader.data().len() as u64) < length {
        reader.fill().await.ok().filter(|count| *count > 0)?;
    }
    Some(head)
}

/// Returns whether an answer may belong to the attempt: it echoes its number, or none.
pub fn is_own_answer(head: &ResponseHead, id: u64) -> bool {
    let mut echoes = head.fields.all(REQUEST_HEADER);
    echoes.all(|echo| echo == format!("{id:016x}").as_bytes())
}

/// Returns whether the target says that it did not run the request.
pub fn is_not_run(head: &ResponseHead) -> bool {
    head.fields.only(OUTCOME_HEADER) == Some(b"not-run")
}

/// Drops a body that has arrived already; returns whether it was whole.
pub fn skip_body(reader: &mut Reader, head: &ResponseHead) -> bool {
    let mut decoder = BodyDecoder::new(head.framing);
    while !decoder.is_done() {
        match decoder.decode(reader.data()) {
            Ok(piece) if piece.used() > 0 => reader.consume(piece.used()),
            _ => return false,
        }
    }
    true
}
