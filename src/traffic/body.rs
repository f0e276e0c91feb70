//! The framing of HTTP/1.1 bodies: where a body ends, checked byte by byte.

use thiserror::Error;

const MAX_SIZE_DIGITS: usize = 16;
const MAX_EXTENSION_BYTES: usize = 256;
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body comes in chunks and ends with an empty one.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Why a chunked body is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// A chunk's size is not a hexadecimal number of at most 64 bits.
    #[error("a chunk size is no hexadecimal number; send chunks as RFC 9112 has them")]
    Size,
    /// A line does not end with CR LF.
    #[error("a chunk does not end with CR LF; send chunks as RFC 9112 has them")]
    LineEnding,
    /// A chunk extension or the trailer section is too long.
    #[error("chunk extensions or trailers are too long; leave them out")]
    TooLong,
}

/// A run of body bytes found in the input.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Piece {
    /// Bytes of framing before the data.
    pub skip: usize,
    /// Bytes of data after the framing.
    pub data: usize,
}

impl Piece {
    /// Returns the number of input bytes that the piece covers.
    pub fn used(self) -> usize {
        self.skip + self.data
    }
}

/// Finds the data of a body in its bytes and knows whether the body is whole.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Fixed { left: u64 },
    Size { value: u64, digits: usize },
    Extension { value: u64, length: usize },
    SizeEnd { value: u64 },
    Data { left: u64 },
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
    /// Starts a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(left) => State::Fixed { left },
            Framing::Chunked => CHUNK_START,
            Framing::UntilClose => State::Open,
        };
        Self { state }
    }

    /// Returns whether the whole body has been decoded.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes the start of `input`, up to the end of the first run of data.
    ///
    /// A piece that covers nothing means that the body is done or that more input is needed.
    pub fn decode(&mut self, input: &[u8]) -> Result<Piece, BodyError> {
        for (skip, &byte) in input.iter().enumerate() {
            let available = (input.len() - skip) as u64;
            let data = match self.state {
                State::Done => return Ok(Piece { skip, data: 0 }),
                State::Open => available,
                State::Fixed { left } | State::Data { left } => left.min(available),
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
            State::Fixed { left } if left == data => State::Done,
            State::Fixed { left } => State::Fixed { left: left - data },
            State::Data { left } if left == data => State::DataCr,
            State::Data { left } => State::Data { left: left - data },
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
        (State::SizeEnd { value }, b'\n') => Ok(State::Data { left: value }),
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
