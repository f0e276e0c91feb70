//! Framing of HTTP/1.1 message bodies: an incremental decoder that finds the end of a body.

use thiserror::Error;

const MAX_SIZE_DIGITS: usize = 16;
const MAX_EXTENSION_BYTES: usize = 256;
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    Empty,
    /// The body has this many bytes (`content-length`).
    Length(u64),
    /// The body is sent in the chunked transfer coding.
    Chunked,
    /// The body extends to the end of the connection.
    UntilClose,
}

/// The reason why a chunked body is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// A chunk size is not a hexadecimal number of at most 64 bits.
    #[error("a chunk size is no hexadecimal number; send chunks as RFC 9112 has them")]
    Size,
    /// A chunk or a line of the framing does not end with CR LF.
    #[error("a chunk does not end with CR LF; send chunks as RFC 9112 has them")]
    LineEnding,
    /// A chunk extension exceeds 256 bytes, or the trailer section 8 KB.
    #[error("chunk extensions or trailers are too long; leave them out")]
    TooLong,
}

/// The part of the input that one [`BodyDecoder::decode`] call covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Piece {
    /// Number of framing bytes before the data.
    pub skip: usize,
    /// Number of body bytes after the framing.
    pub data: usize,
}

impl Piece {
    /// Returns the total number of input bytes, framing and data.
    pub fn used(self) -> usize {
        self.skip + self.data
    }
}

/// Separates the data of a body from its framing, and detects the end of the body.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    UntilClose,
    Fixed { remaining: u64 },
    Size { value: u64, digits: usize },
    Extension { value: u64, length: usize },
    SizeEnd { value: u64 },
    Data { remaining: u64 },
    DataCr,
    DataLf,
    Trailer { line: usize, total: usize },
    TrailerEnd { line: usize, total: usize },
    Done,
}

const CHUNK_START: State = State::Size {
    value: 0,
    digits: 0,
};

impl BodyDecoder {
    /// Creates a decoder for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(remaining) => State::Fixed { remaining },
            Framing::Chunked => CHUNK_START,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Returns true if the whole body has been decoded.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes the start of `input`, up to the end of the first contiguous run of body data.
    ///
    /// A piece of zero bytes means that the body is complete or that more input is needed.
    pub fn decode(&mut self, input: &[u8]) -> Result<Piece, BodyError> {
        for (skip, &byte) in input.iter().enumerate() {
            let available = (input.len() - skip) as u64;
            let data = match self.state {
                State::Done => return Ok(Piece { skip, data: 0 }),
                State::UntilClose => available,
                State::Fixed { remaining } | State::Data { remaining } => remaining.min(available),
                _ => 0,
            };
            if data > 0 {
                self.advance(data);
                let data = data as usize;
                return Ok(Piece { skip, data });
            }
            self.state = next_state(self.state, byte)?;
        }
        let skip = input.len();
        Ok(Piece { skip, data: 0 })
    }

    fn advance(&mut self, data: u64) {
        self.state = match self.state {
            State::Fixed { remaining } if remaining == data => State::Done,
            State::Fixed { remaining } => State::Fixed {
                remaining: remaining - data,
            },
            State::Data { remaining } if remaining == data => State::DataCr,
            State::Data { remaining } => State::Data {
                remaining: remaining - data,
            },
            other => other,
        };
    }
}

fn next_state(state: State, byte: u8) -> Result<State, BodyError> {
    match (state, byte) {
        (State::Size { value, digits }, _) => size_byte(value, digits, byte),
        (State::Extension { value, .. }, b'\r') => Ok(State::SizeEnd { value }),
        (State::Extension { value, length }, _) => extension_byte(value, length, byte),
        (State::SizeEnd { value: 0 }, b'\n') => Ok(State::Trailer { line: 0, total: 0 }),
        (State::SizeEnd { value }, b'\n') => Ok(State::Data { remaining: value }),
        (State::DataCr, b'\r') => Ok(State::DataLf),
        (State::DataLf, b'\n') => Ok(CHUNK_START),
        (State::Trailer { line, total }, b'\r') => Ok(State::TrailerEnd { line, total }),
        (State::Trailer { line, total }, _) => trailer_byte(line, total, byte),
        (State::TrailerEnd { line: 0, .. }, b'\n') => Ok(State::Done),
        (State::TrailerEnd { total, .. }, b'\n') => Ok(State::Trailer { line: 0, total }),
        _ => Err(BodyError::LineEnding),
    }
}

fn size_byte(value: u64, digits: usize, byte: u8) -> Result<State, BodyError> {
    if let Some(digit) = char::from(byte).to_digit(16) {
        if digits == MAX_SIZE_DIGITS {
            return Err(BodyError::Size);
        }
        let value = value << 4 | u64::from(digit);
        let digits = digits + 1;
        return Ok(State::Size { value, digits });
    }
    match byte {
        _ if digits == 0 => Err(BodyError::Size),
        b'\r' => Ok(State::SizeEnd { value }),
        b';' => Ok(State::Extension { value, length: 0 }),
        _ => Err(BodyError::Size),
    }
}

fn extension_byte(value: u64, length: usize, byte: u8) -> Result<State, BodyError> {
    match byte {
        b'\n' => Err(BodyError::LineEnding),
        _ if length == MAX_EXTENSION_BYTES => Err(BodyError::TooLong),
        _ => Ok(State::Extension {
            value,
            length: length + 1,
        }),
    }
}

fn trailer_byte(line: usize, total: usize, byte: u8) -> Result<State, BodyError> {
    match byte {
        b'\n' => Err(BodyError::LineEnding),
        _ if total == MAX_TRAILER_BYTES => Err(BodyError::TooLong),
        _ => Ok(State::Trailer {
            line: line + 1,
            total: total + 1,
        }),
    }
}
