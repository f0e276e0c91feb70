//! Reads a caller's request within the account of held bytes.

use std::time::Duration;
use std::time::Instant;

use tokio::time::timeout_at;

use crate::events::Event;
use crate::memory::Body;
use crate::memory::Held;
use crate::memory::Reading;
use crate::memory::Room;
use crate::memory::Share;
use crate::node::connections::OpenConnection;
use crate::node::connections::Waiting;
use crate::node::proxy::conn::Conn;
use crate::node::proxy::conn::READ_BYTES;
use crate::node::proxy::conn::write_parts;
use crate::node::proxy::dispatch::RoutedRequest;
use crate::node::proxy::respond::LocalResponse;
use crate::node::proxy::respond::retry_after;
use crate::node::rules::Limits;
use crate::node::state::State;
use crate::traffic::body::BodyDecoder;
use crate::traffic::body::Framing;
use crate::traffic::head::HeadError;
use crate::traffic::head::RequestHead;
use crate::traffic::head::head_length;
use crate::traffic::head::parse_request;

/// A request body may take at most the process's memory limit divided by this.
const BODY_MEMORY_DIVISOR: u64 = 4;
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Number of reads after which other tasks run: a caller that sends small chunks quickly would otherwise
/// occupy the thread until the runtime interrupts it.
const FILLS_PER_TURN: usize = 4;
/// How long a request waits for the bytes of a body that was refused in its favour.
const ROOM_WAIT: Duration = Duration::from_millis(200);
/// `Retry-After` of a request that is refused before its route is known, on average.
const HEAD_RETRY_AFTER: Duration = Duration::from_millis(300);
const TOO_LONG: LocalResponse = LocalResponse {
    status: 413,
    text: "the body is too long; send a shorter one",
    retry_after: None,
};

/// Why no head was read.
#[derive(Clone, Copy, Debug)]
pub(super) enum HeadFailure {
    /// The head is invalid.
    Invalid(HeadError),
    /// The head does not fit into the account.
    MemoryShort,
    /// The connection has ended, or is to be closed.
    Closed,
}

/// Reads a head, whose memory and that of the read buffer are counted in `held`.
pub(super) async fn read_head(
    conn: &mut Conn,
    connection: &OpenConnection,
    limits: &Limits,
    held: &mut Held,
) -> Result<RequestHead, HeadFailure> {
    connection.set_waiting(Some(Waiting::Head));
    let length = loop {
        let too_long = HeadFailure::Invalid(HeadError::TooLong);
        match head_length(conn.data()).map_err(HeadFailure::Invalid)? {
            Some(length) if length > limits.head_bytes => return Err(too_long),
            Some(length) => break length,
            None if conn.data().len() > limits.head_bytes => return Err(too_long),
            None => {}
        }
        if !held.grow(conn.data().len() + READ_BYTES) {
            return Err(HeadFailure::MemoryShort);
        }
        tokio::select! {
            biased;
            filled = conn.fill() => match filled {
                Ok(1..) => {}
                Ok(0) | Err(_) => return Err(HeadFailure::Closed),
            },
            () = connection.closing() => return Err(HeadFailure::Closed),
        }
    };
    connection.set_waiting(None);
    let head = parse_request(&conn.data()[..length]).map_err(HeadFailure::Invalid)?;
    conn.consume(length);
    match held.grow(conn.buffer_memory() + head.fields.memory()) {
        true => Ok(head),
        false => Err(HeadFailure::MemoryShort),
    }
}

/// Returns the response to a request that is refused because the account is short.
pub(super) fn memory_short(
    state: &State,
    head: Option<&RequestHead>,
    asked: usize,
    pause: Duration,
) -> LocalResponse {
    let id = head.and_then(|head| head.fields.only(state.conf.headers.request_id));
    state.log.record(Event::MemoryShort, |line| {
        let memory = &state.memory;
        line.text("id", &String::from_utf8_lossy(id.unwrap_or_default()));
        line.number("asked", asked as u64);
        line.number("small", memory.used_by(Share::Small) as u64);
        line.number("bodies", memory.used_by(Share::Bodies) as u64);
        line.number("responses", memory.used_by(Share::Responses) as u64);
        line.number("limit", memory.limit() as u64);
        line.number("readings", memory.readings() as u64);
    });
    // Spread, so that refused callers do not return together; at most a third of the caller's time.
    let pause = pause.mul_f64(0.7 + 0.6 * rand::random::<f64>());
    LocalResponse::not_run("the memory of this node is in use; come back later", pause)
}

/// Returns the response to a head that does not fit into the account.
pub(super) fn head_refused(state: &State) -> LocalResponse {
    memory_short(state, None, READ_BYTES, HEAD_RETRY_AFTER)
}

/// Reads the body of a request.
pub(super) struct BodyReader<'a> {
    pub state: &'a State,
    pub connection: &'a OpenConnection,
    pub head: &'a RequestHead,
    pub limits: &'a Limits,
    pub routed: &'a RoutedRequest,
}

impl BodyReader<'_> {
    /// Reads the whole body. `Err(None)` means that the caller has disconnected.
    pub async fn read(&self, conn: &mut Conn) -> Result<Body, Option<LocalResponse>> {
        let memory = &self.state.memory;
        let declared = match self.head.framing {
            Framing::Empty | Framing::Length(0) => return Ok(memory.empty_body()),
            Framing::Length(length) if length > self.max_bytes() => return Err(Some(TOO_LONG)),
            Framing::Length(length) => Some(length as usize),
            Framing::Chunked | Framing::UntilClose => None,
        };
        let mut reading = memory.begin_reading(declared, Instant::now(), self.routed.deadline);
        self.connection.set_waiting(Some(Waiting::Body));
        let read = self.read_into(&mut reading, conn).await;
        self.connection.set_waiting(None);
        if let Err(response) = read {
            drop(reading);
            self.state.memory_freed.notify_waiters();
            return Err(response);
        }
        reading.finish().ok_or(None)
    }

    fn max_bytes(&self) -> u64 {
        let by_memory = self.state.conf.memory_bytes / BODY_MEMORY_DIVISOR;
        self.limits.body_bytes.min(by_memory)
    }

    async fn read_into(
        &self,
        reading: &mut Reading,
        conn: &mut Conn,
    ) -> Result<(), Option<LocalResponse>> {
        let mut decoder = BodyDecoder::new(self.head.framing);
        // A body of known length is refused before any of it is read.
        self.make_room(reading, 0).await?;
        if self.head.expects_continue {
            let (_, mut write, _) = conn.split();
            let parts = std::iter::once(CONTINUE_RESPONSE);
            write_parts(&mut write, parts).await.map_err(|_| None)?;
        }
        for fills in 1usize.. {
            // Room is made once for all pieces, since a body may consist of very many short chunks.
            self.make_room(reading, conn.data().len()).await?;
            self.decode(reading, &mut decoder, conn)?;
            if decoder.is_done() {
                return Ok(());
            }
            if fills.is_multiple_of(FILLS_PER_TURN) {
                tokio::task::yield_now().await;
            }
            self.fill(reading, conn).await?;
        }
        Err(None)
    }

    /// Appends the received part of the body.
    fn decode(
        &self,
        reading: &mut Reading,
        decoder: &mut BodyDecoder,
        conn: &mut Conn,
    ) -> Result<(), LocalResponse> {
        let now = Instant::now();
        while !decoder.is_done() && !conn.data().is_empty() {
            let malformed =
                LocalResponse::error(400, "the body is malformed; send it as RFC 9112 has it");
            let piece = decoder.decode(conn.data()).map_err(|_| malformed)?;
            if (reading.len() + piece.data) as u64 > self.max_bytes() {
                return Err(TOO_LONG);
            }
            reading.push(&conn.data()[piece.skip..piece.used()], now);
            conn.consume(piece.used());
        }
        Ok(())
    }

    /// Reads more of the body, unless it is refused in favour of others.
    async fn fill(&self, reading: &Reading, conn: &mut Conn) -> Result<(), Option<LocalResponse>> {
        let short = self.state.memory_short.notified();
        if reading.is_refused() {
            return Err(Some(self.refused(reading.len())));
        }
        tokio::select! {
            biased;
            filled = timeout_at(self.routed.deadline.into(), conn.fill()) => {
                let timed_out =
                    LocalResponse::error(408, "the body did not come in time; send it again");
                match filled.map_err(|_| Some(timed_out))? {
                    Ok(1..) => Ok(()),
                    Ok(0) | Err(_) => Err(None),
                }
            }
            () = short => Ok(()),
            () = self.connection.closing() => Err(Some(LocalResponse::not_run(
                "this node has too many connections; come back later",
                self.pause(),
            ))),
        }
    }

    /// Makes room for `more` bytes; waits while another body is refused in favour of this one.
    async fn make_room(
        &self,
        reading: &mut Reading,
        more: usize,
    ) -> Result<(), Option<LocalResponse>> {
        let until = Instant::now() + ROOM_WAIT;
        loop {
            let now = Instant::now();
            match reading.reserve(more, now) {
                Room::Held => return Ok(()),
                Room::Soon if now < until => {
                    self.state.memory_short.notify_waiters();
                    let freed = self.state.memory_freed.notified();
                    // At the end of the time, the request is refused.
                    let _ = timeout_at(until.into(), freed).await;
                }
                Room::Soon | Room::Refused => {
                    return Err(Some(self.refused(reading.len() + more)));
                }
            }
        }
    }

    fn refused(&self, so_far: usize) -> LocalResponse {
        let asked = match self.head.framing {
            Framing::Length(length) => length as usize,
            _ => so_far,
        };
        memory_short(self.state, Some(self.head), asked, self.pause())
    }

    /// Returns when the request may be sent again, on average.
    fn pause(&self) -> Duration {
        let time_left = self
            .routed
            .deadline
            .saturating_duration_since(Instant::now());
        retry_after(time_left, self.routed.objective)
    }
}
