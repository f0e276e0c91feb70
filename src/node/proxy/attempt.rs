//! One attempt at a request: sends it to a single target and reads and validates the response.

use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;

use crate::clock::Clock;
use crate::ids::ServiceId;
use crate::memory::Body;
use crate::memory::Held;
use crate::memory::Share;
use crate::node::evacuations::may_send;
use crate::node::fleet::Target;
use crate::node::limit::Evidence;
use crate::node::limit::RequestRate;
use crate::node::limit::obtain_permit;
use crate::node::links;
use crate::node::notices::NoticeSource;
use crate::node::notices::record_leaving;
use crate::node::notices::record_limit;
use crate::node::notices::record_load;
use crate::node::notices::record_named_limit;
use crate::node::notices::record_pause;
use crate::node::pause::pause_from_field;
use crate::node::proxy::conn::CallerStatus;
use crate::node::proxy::conn::ReadBuffer;
use crate::node::proxy::conn::write_parts;
use crate::node::proxy::headers::HeaderNames;
use crate::node::proxy::headers::MAX_ATTEMPTS;
use crate::node::proxy::headers::RULES;
use crate::node::proxy::headers::SERVICE;
use crate::node::proxy::pool::Pool;
use crate::node::proxy::pool::TargetConn;
use crate::node::state::State;
use crate::target_load::StatedLoad;
use crate::traffic::body::BodyDecoder;
use crate::traffic::body::Framing;
use crate::traffic::forward;
use crate::traffic::head::RequestHead;
use crate::traffic::head::ResponseHead;
use crate::traffic::head::head_length;
use crate::traffic::head::parse_response;

/// Responses up to this body size are read completely before any of it is forwarded, so that the
/// request can be retried when the response is cut off, unless other responses occupy the memory.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Maximum number of responses (to other requests, or interim ones) read for one request.
const MAX_RESPONSES_READ: usize = 4;

/// Longest idle timeout that is taken from a target.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// A caller's request with its complete body.
#[derive(Debug)]
pub struct Request {
    /// The request line and header fields.
    pub head: RequestHead,
    /// The body without transfer encoding.
    pub body: Body,
    /// The caller's request ID, which the target echoes.
    pub id: Vec<u8>,
}

/// The outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The complete response was received.
    Complete(Response),
    /// The response exceeds the buffer limit; the remaining body is to be streamed to the caller.
    Streaming(Response, Box<ResponseStream>),
    /// The target reported that it did not run the request.
    NotRun {
        /// The HTTP status of the response.
        status: u16,
    },
    /// No connection to the target could be opened, so nothing was sent.
    NotSent,
    /// The caller disconnected before the request was sent.
    CallerLeft,
    /// The target announced that it is shutting down, or its data centre was evacuated, while a
    /// connection to it was opened.
    Withheld,
    /// The target has named a limit or is cold, and no permit to send the request was available, or it
    /// asked for a pause while a connection to it was opened.
    RateLimited,
    /// The request was sent, but no valid response was received; it may have run. Contains the
    /// reason for the log.
    NoValidResponse(&'static str),
}

/// A target's response, complete or up to the point from which it is streamed.
#[derive(Debug)]
pub struct Response {
    /// The status line and header fields.
    pub head: ResponseHead,
    /// The part of the body received so far, without transfer encoding.
    pub body: Vec<u8>,
    held: Held,
}

impl Response {
    /// Drops the response, and returns the guard of its bytes, which its encoded form needs until it has
    /// been sent.
    pub fn into_held(self) -> Held {
        self.held
    }
}

/// The remaining body of a response that is streamed.
#[derive(Debug)]
pub struct ResponseStream {
    connection: TargetConn,
    decoder: BodyDecoder,
    until_close: bool,
    request_sent: bool,
    idle_timeout: Option<Duration>,
}

/// The connection failed, or the body was malformed, before the end of a streamed response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteBody;

/// Everything an attempt needs besides the request and the target.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext<'a> {
    /// The node's state, in which announcements of the target are recorded.
    pub state: &'a State,
    /// Idle connections to reuse.
    pub pool: &'a Pool,
    /// Names of the header fields shared with targets.
    pub names: &'a HeaderNames,
    /// True if the request may run more than once.
    pub idempotent: bool,
    /// True if the target has refused the request before. The attempt then needs a new connection: a
    /// copy of the refusal, which has the same request ID, may arrive on the previous one.
    pub refused_before: bool,
    /// Number of targets that may run the request, if it is sent to another node.
    pub max_attempts: u32,
    /// The version of the rules by which the request was routed.
    pub rules: u64,
    /// True if the request has a key, which the target owns.
    pub keyed: bool,
    /// The service that the request is sent to.
    pub service: &'a ServiceId,
    /// When the caller stops waiting; sent to the target as the remaining time.
    pub deadline: Instant,
    /// The caller's connection.
    pub caller: CallerStatus<'a>,
}

/// Sends a request to a target and reads the response.
pub async fn attempt(
    context: AttemptContext<'_>,
    request: &Request,
    target: &Rc<Target>,
) -> AttemptOutcome {
    let Some(permit) = obtain_permit(context.state, target).await else {
        return AttemptOutcome::RateLimited;
    };
    if context.caller.has_left() {
        return AttemptOutcome::CallerLeft;
    }
    let mut connection = match connect(context, target).await {
        Ok(connection) => connection,
        Err(outcome) => return outcome,
    };
    if target.leaving.get() {
        return AttemptOutcome::Withheld;
    }
    let now = Instant::now();
    if !may_send(context.state, target, context.keyed, now) {
        context.pool.put(connection, None, now);
        return AttemptOutcome::Withheld;
    }
    if target.pause.until(now).is_some() || !permit.is_valid(context.state, target, now) {
        context.pool.put(connection, None, Instant::now());
        return AttemptOutcome::RateLimited;
    }
    let head = encode_head(context, request, target);
    let (sent_at, boot_sent_at) = (Instant::now(), context.state.boot_clock.now());
    if !target.is_relay {
        links::record_sent(context.state, target, sent_at);
        target.stated.record_sent(sent_at);
    }
    connection.conn.begin_exchange();
    let (read, request_sent) = exchange(context, &mut connection, &head, request, target).await;
    match read {
        Ok((response, partial)) => {
            if !target.is_relay {
                note_restrictions(context, target, &response.head, sent_at);
                // Other processes respond with 421 to a request that names the target.
                if response.head.status != 421 {
                    target.record_proof(boot_sent_at);
                }
            }
            if request_sent && partial.is_none() {
                connection.conn.end_exchange();
            }
            classify_response(context, connection, response, partial, request_sent)
        }
        Err(reason) => AttemptOutcome::NoValidResponse(reason),
    }
}

/// Returns a connection to the target, or the outcome of an attempt without one.
async fn connect(
    context: AttemptContext<'_>,
    target: &Rc<Target>,
) -> Result<TargetConn, AttemptOutcome> {
    let now = Instant::now();
    let pooled = match context.refused_before {
        true => None,
        false => context.pool.take(target, context.idempotent, now),
    };
    if let Some(connection) = pooled {
        return Ok(connection);
    }
    match context.pool.open(target).await {
        Ok(connection) => {
            if !target.is_relay {
                links::record_connected(context.state, target, Instant::now());
            }
            if context.caller.has_left() {
                context.pool.put(connection, None, Instant::now());
                return Err(AttemptOutcome::CallerLeft);
            }
            Ok(connection)
        }
        Err(error) => {
            if !target.is_relay {
                links::record_failure(context.state, target, &error, now, Instant::now());
            }
            Err(AttemptOutcome::NotSent)
        }
    }
}

/// Sends the request and concurrently reads the response, which may arrive before the request is
/// sent completely. The returned flag is true if the whole request was sent.
async fn exchange(
    context: AttemptContext<'_>,
    connection: &mut TargetConn,
    head: &[u8],
    request: &Request,
    target: &Target,
) -> (Result<ReadResponse, &'static str>, bool) {
    let (mut read, mut write, buffer) = connection.conn.split();
    let mut response = std::pin::pin!(read_response(context, &mut read, buffer, request, target));
    let parts = std::iter::once(head).chain(request.body.segments());
    let mut sending = std::pin::pin!(write_parts(&mut write, parts));
    tokio::select! {
        biased;
        sent = &mut sending => {
            // A target may send its response and then stop reading the request.
            let read = response.await;
            match sent {
                Ok(()) => (read, true),
                Err(error) if is_after_end(&error) => (read, false),
                Err(_) => (read.and_then(reject_until_close), false),
            }
        }
        response = &mut response => (response, false),
    }
}

/// Returns true if a write failed after the target had ended its side in order, as one does that
/// answers and does not read the rest of the request. Linux reports a reset as a broken pipe only then.
fn is_after_end(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::BrokenPipe
}

/// Rejects a response whose body extends to the end of a connection that failed; a streamed body breaks
/// off there.
///
/// Linux reports the failure of a connection to one call only. If that was a write, reads find the end of
/// the stream instead, as after an orderly end.
fn reject_until_close((response, partial): ReadResponse) -> Result<ReadResponse, &'static str> {
    if partial.is_none() && response.head.framing == Framing::UntilClose {
        return Err("incomplete response body");
    }
    let partial = partial.map(|partial| PartialBody {
        until_close: false,
        ..partial
    });
    Ok((response, partial))
}

/// Decoding state of a response body that has not been received completely.
#[derive(Debug)]
struct PartialBody {
    decoder: BodyDecoder,
    until_close: bool,
}

fn classify_response(
    context: AttemptContext<'_>,
    connection: TargetConn,
    response: Response,
    partial: Option<PartialBody>,
    request_sent: bool,
) -> AttemptOutcome {
    let idle_timeout = idle_timeout(&response.head);
    let not_run = response.head.fields.only(context.names.not_run).is_some();
    let sealed = response.head.fields.only(context.names.seal).is_some();
    let encoded = response
        .head
        .fields
        .all("content-encoding")
        .next()
        .is_some();
    let success = (200..300).contains(&response.head.status);
    if let Some(partial) = partial {
        if not_run || encoded || success && !sealed {
            return AttemptOutcome::NoValidResponse("long response not issued by the target");
        }
        let stream = ResponseStream {
            connection,
            decoder: partial.decoder,
            until_close: partial.until_close,
            request_sent,
            idle_timeout,
        };
        return AttemptOutcome::Streaming(response, Box::new(stream));
    }
    let clean = connection.conn.data().is_empty() && response.head.framing != Framing::UntilClose;
    if request_sent && clean && response.head.keep_alive {
        context.pool.put(connection, idle_timeout, Instant::now());
    }
    if not_run || response.head.status == 421 {
        let status = response.head.status;
        return AttemptOutcome::NotRun { status };
    }
    if encoded || success && !sealed {
        return AttemptOutcome::NoValidResponse("response not issued by the target");
    }
    AttemptOutcome::Complete(response)
}

/// Encodes the head; the body is sent as it is held, by all attempts.
fn encode_head(context: AttemptContext<'_>, request: &Request, target: &Target) -> Vec<u8> {
    let time_left = context.deadline.saturating_duration_since(Instant::now());
    let names = context.names;
    let mut out = Vec::with_capacity(512);
    let skip = [
        names.deadline_ms,
        names.expected_target,
        MAX_ATTEMPTS,
        RULES,
        SERVICE,
    ];
    forward::plain_request_head(&mut out, &request.head, &skip);
    let put = forward::put;
    let time_left_ms = time_left.as_millis();
    put(
        &mut out,
        format_args!("{}: {time_left_ms}\r\n", names.deadline_ms),
    );
    let id = &target.entry.id;
    put(
        &mut out,
        format_args!("{}: {id}\r\n", names.expected_target),
    );
    if target.is_relay {
        let max_attempts = context.max_attempts;
        let (rules, service) = (context.rules, context.service);
        put(&mut out, format_args!("{MAX_ATTEMPTS}: {max_attempts}\r\n"));
        put(&mut out, format_args!("{RULES}: {rules}\r\n"));
        put(&mut out, format_args!("{SERVICE}: {service}\r\n"));
    }
    if request.head.framing != Framing::Empty {
        let length = request.body.len();
        put(&mut out, format_args!("content-length: {length}\r\n"));
    }
    out.extend_from_slice(b"\r\n");
    out
}

type ReadResponse = (Response, Option<PartialBody>);

/// Reads the response to a request; skips interim responses and responses to earlier requests.
async fn read_response(
    context: AttemptContext<'_>,
    reader: &mut (impl AsyncReadExt + Unpin),
    buffer: &mut ReadBuffer,
    request: &Request,
    target: &Target,
) -> Result<ReadResponse, &'static str> {
    let names = context.names;
    for _ in 0..MAX_RESPONSES_READ {
        let head = read_head(reader, buffer, &request.head.method).await?;
        if !target.is_relay {
            links::record_response(context.state, target, Instant::now());
            record_notices(context, target, &head);
        }
        if head.is_interim() {
            continue;
        }
        let matches_request = head.fields.only(names.request_id) == Some(&request.id[..]);
        if !matches_request && head.framing == Framing::UntilClose {
            return Err("response to another request");
        }
        let mut held = context.state.memory.hold(Share::Responses);
        let (body, partial) = read_body(reader, buffer, &head, &mut held).await?;
        if matches_request {
            return Ok((Response { head, body, held }, partial));
        }
        if partial.is_some() {
            return Err("long response to another request");
        }
    }
    Err("only responses to other requests")
}

/// Returns true if the response names another process, which has the target's address.
fn is_from_other(names: &HeaderNames, target: &Target, head: &ResponseHead) -> bool {
    let id = head.fields.only(names.target);
    id.is_some_and(|id| id != target.entry.id.as_str().as_bytes())
}

/// Records what the target announces in the head of a response.
fn record_notices(context: AttemptContext<'_>, target: &Target, head: &ResponseHead) {
    let (state, names) = (context.state, context.names);
    if is_from_other(names, target, head) {
        return;
    }
    if head.fields.all(names.leaving).any(|value| value == b"1") {
        record_leaving(state, target, NoticeSource::Response);
    }
}

/// Records the limit that the target names in its response to a request that was sent at `sent_at`,
/// or that it names none, and the pause that it asks for.
fn note_restrictions(
    context: AttemptContext<'_>,
    target: &Target,
    head: &ResponseHead,
    sent_at: Instant,
) {
    let (state, names) = (context.state, context.names);
    if is_from_other(names, target, head) {
        return;
    }
    if head.status == 503
        && let Some(pause) = pause_from_field(head.fields.all("retry-after"))
    {
        record_pause(state, target, pause);
    }
    if let Some(load) = StatedLoad::from_field(head.fields.all(names.load)) {
        record_load(state, target, load, Instant::now());
    }
    let source = NoticeSource::Response;
    match RequestRate::from_field(head.fields.all(names.limit)) {
        Some(rate) => record_named_limit(state, target, rate, source),
        None => {
            let evidence = Evidence {
                rate: None,
                at: sent_at,
            };
            record_limit(state, target, evidence, source);
        }
    }
}

async fn read_head(
    reader: &mut (impl AsyncReadExt + Unpin),
    buffer: &mut ReadBuffer,
    method: &str,
) -> Result<ResponseHead, &'static str> {
    let length = loop {
        match head_length(buffer.data()).map_err(|_| "bytes that are not an HTTP response")? {
            Some(length) => break length,
            None => fill(reader, buffer).await?,
        }
    };
    let head = parse_response(&buffer.data()[..length], method);
    let head = head.map_err(|_| "malformed response head")?;
    buffer.consume(length);
    Ok(head)
}

async fn read_body(
    reader: &mut (impl AsyncReadExt + Unpin),
    buffer: &mut ReadBuffer,
    head: &ResponseHead,
    held: &mut Held,
) -> Result<(Vec<u8>, Option<PartialBody>), &'static str> {
    let until_close = head.framing == Framing::UntilClose;
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    loop {
        decode_buffered(buffer, &mut decoder, &mut body).map_err(|()| "malformed response body")?;
        if decoder.is_done() {
            return Ok((body, None));
        }
        if body.len() >= MAX_BUFFERED_BYTES || !held.grow(body.len()) {
            let partial = PartialBody {
                decoder,
                until_close,
            };
            return Ok((body, Some(partial)));
        }
        match buffer.fill(reader).await {
            Ok(0) if until_close => return Ok((body, None)),
            Ok(0) | Err(_) => return Err("incomplete response body"),
            Ok(_) => {}
        }
    }
}

/// Decodes the buffered bytes and appends them to `body`.
fn decode_buffered(
    buffer: &mut ReadBuffer,
    decoder: &mut BodyDecoder,
    body: &mut Vec<u8>,
) -> Result<(), ()> {
    while !decoder.is_done() && !buffer.data().is_empty() {
        let piece = decoder.decode(buffer.data()).map_err(|_| ())?;
        body.extend_from_slice(&buffer.data()[piece.skip..piece.used()]);
        buffer.consume(piece.used());
    }
    Ok(())
}

async fn fill(
    reader: &mut (impl AsyncReadExt + Unpin),
    buffer: &mut ReadBuffer,
) -> Result<(), &'static str> {
    match buffer.fill(reader).await {
        Ok(0) => Err("a closed connection"),
        Ok(_) => Ok(()),
        Err(_) => Err("a reset connection"),
    }
}

impl ResponseStream {
    /// Returns the next part of the body, or `None` at its end.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, IncompleteBody> {
        if self.decoder.is_done() {
            return Ok(None);
        }
        let (mut read, _, buffer) = self.connection.conn.split();
        match buffer.fill(&mut read).await {
            Ok(0) if self.until_close => return Ok(None),
            Ok(0) | Err(_) => return Err(IncompleteBody),
            Ok(_) => {}
        }
        let mut body = Vec::new();
        decode_buffered(buffer, &mut self.decoder, &mut body).map_err(|()| IncompleteBody)?;
        Ok(Some(body))
    }

    /// Returns the connection to the pool if the whole response was read.
    pub fn recycle(mut self, pool: &Pool) {
        let clean = self.connection.conn.data().is_empty() && !self.until_close;
        if self.request_sent && clean && self.decoder.is_done() {
            self.connection.conn.end_exchange();
            pool.put(self.connection, self.idle_timeout, Instant::now());
        }
    }
}

/// Returns the idle timeout announced in the `keep-alive` header field, if there is one.
fn idle_timeout(head: &ResponseHead) -> Option<Duration> {
    let value = head.fields.only("keep-alive")?;
    let text = std::str::from_utf8(value).ok()?;
    let parameters = text.split(',').map(str::trim);
    let seconds = parameters.filter_map(|part| part.strip_prefix("timeout="));
    let seconds: Option<u64> = seconds.filter_map(|text| text.parse().ok()).next();
    seconds.map(|seconds| Duration::from_secs(seconds).min(MAX_IDLE_TIMEOUT))
}
