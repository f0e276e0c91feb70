//! One attempt: a request to a target, and the answer that it gives.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::node::fleet::Target;
use crate::node::proxy::conn::Ahead;
use crate::node::proxy::headers::HeaderNames;
use crate::node::proxy::pool::Pool;
use crate::node::proxy::pool::TargetConn;
use crate::traffic::body::BodyDecoder;
use crate::traffic::body::Framing;
use crate::traffic::forward;
use crate::traffic::head::AnswerHead;
use crate::traffic::head::RequestHead;
use crate::traffic::head::head_length;
use crate::traffic::head::parse_answer;

/// The longest answer that is awaited whole before any of it is passed on, in bytes; one that
/// breaks off may then be asked for again.
const WHOLE_BYTES: usize = 256 << 10;
/// Answers to other requests, or interim ones, that are skipped before the own one.
const MOST_SKIPPED: usize = 4;

/// A request with its whole body.
#[derive(Debug)]
pub struct Request {
    /// The head.
    pub head: RequestHead,
    /// The body.
    pub body: Vec<u8>,
    /// The caller's name for the attempt.
    pub id: Vec<u8>,
}

/// What became of an attempt.
#[derive(Debug)]
pub enum AttemptEnd {
    /// The whole answer is in hand.
    Answered(Answer),
    /// A long answer has begun; the rest is to be passed on as it comes.
    Streaming(Answer, Box<Rest>),
    /// The target did not run the request and says so.
    NotRun {
        /// The status of its answer.
        status: u16,
    },
    /// Nothing was sent.
    NotSent,
    /// The request was sent and no sound answer came; it may have run.
    Broken(&'static str),
}

/// A target's answer, or its beginning.
#[derive(Debug)]
pub struct Answer {
    /// The head.
    pub head: AnswerHead,
    /// The body as far as it is in hand, without framing.
    pub body: Vec<u8>,
}

/// The rest of a long answer.
#[derive(Debug)]
pub struct Rest {
    held: TargetConn,
    decoder: BodyDecoder,
    until_close: bool,
    uploaded: bool,
    keep: Option<Duration>,
}

/// Why the rest of an answer did not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenOff;

/// What an attempt needs besides the request.
#[derive(Clone, Copy, Debug)]
pub struct Means<'a> {
    /// The idle connections.
    pub pool: &'a Pool,
    /// The names of header fields.
    pub names: &'a HeaderNames,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the answer is of no use any more.
    pub limit: Instant,
}

/// Sends a request to a target and reads its answer.
pub async fn attempt(means: Means<'_>, request: &Request, target: &Rc<Target>) -> AttemptEnd {
    let now = Instant::now();
    let taken = means.pool.take(target, means.idempotent, now);
    let mut held = match taken {
        Some(held) => held,
        None => match means.pool.open(target).await {
            Ok(held) => held,
            Err(_) => return AttemptEnd::NotSent,
        },
    };
    let out = encode(means, request, target);
    held.conn.begin_exchange();
    let (read, uploaded) = exchange(&mut held, &out, means.names, request).await;
    match read {
        Ok((answer, open)) => {
            if uploaded && open.is_none() {
                held.conn.end_exchange();
            }
            finish(means, held, answer, open, uploaded)
        }
        Err(why) => AttemptEnd::Broken(why),
    }
}

/// Sends the request and reads the answer, which may come before the whole request is out;
/// returns also whether the whole request was sent by then.
async fn exchange(
    held: &mut TargetConn,
    out: &[u8],
    names: &HeaderNames,
    request: &Request,
) -> (Result<Read, &'static str>, bool) {
    let (mut read, mut write, ahead) = held.conn.split();
    let mut answer = std::pin::pin!(read_answer(&mut read, ahead, names, request));
    let mut upload = std::pin::pin!(write.write_all(out));
    tokio::select! {
        biased;
        sent = &mut upload => {
            // The target may have answered before it stopped reading.
            let uploaded = sent.is_ok();
            (answer.await, uploaded)
        }
        answered = &mut answer => (answered, false),
    }
}

/// What is left of an answer whose body is not whole yet.
#[derive(Debug)]
struct Open {
    decoder: BodyDecoder,
    until_close: bool,
}

fn finish(
    means: Means<'_>,
    held: TargetConn,
    answer: Answer,
    open: Option<Open>,
    uploaded: bool,
) -> AttemptEnd {
    let keep = keep_time(&answer.head);
    let not_run = answer.head.fields.only(means.names.not_run).is_some();
    let sealed = answer.head.fields.only(means.names.seal).is_some();
    let encoded = answer.head.fields.all("content-encoding").next().is_some();
    let success = (200..300).contains(&answer.head.status);
    if let Some(open) = open {
        if not_run || encoded || success && !sealed {
            return AttemptEnd::Broken("a long answer without a seal");
        }
        let rest = Rest {
            held,
            decoder: open.decoder,
            until_close: open.until_close,
            uploaded,
            keep,
        };
        return AttemptEnd::Streaming(answer, Box::new(rest));
    }
    let clean = held.conn.data().is_empty() && answer.head.framing != Framing::UntilClose;
    if uploaded && clean && answer.head.keep_alive {
        means.pool.put(held, keep, Instant::now());
    }
    if not_run || answer.head.status == 421 {
        let status = answer.head.status;
        return AttemptEnd::NotRun { status };
    }
    if encoded || success && !sealed {
        return AttemptEnd::Broken("an answer that is not the target's own");
    }
    AttemptEnd::Answered(answer)
}

fn encode(means: Means<'_>, request: &Request, target: &Target) -> Vec<u8> {
    let left = means.limit.saturating_duration_since(Instant::now());
    let names = means.names;
    let mut out = Vec::with_capacity(512 + request.body.len());
    let skip = [names.deadline_ms, names.expected_target];
    forward::plain_request_head(&mut out, &request.head, &skip);
    let put = forward::put;
    let left_ms = left.as_millis();
    put(
        &mut out,
        format_args!("{}: {left_ms}\r\n", names.deadline_ms),
    );
    let id = &target.entry.id;
    put(
        &mut out,
        format_args!("{}: {id}\r\n", names.expected_target),
    );
    if request.head.framing != Framing::Empty {
        let length = request.body.len();
        put(&mut out, format_args!("content-length: {length}\r\n"));
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&request.body);
    out
}

type Read = (Answer, Option<Open>);

/// Reads the answer to a request; answers to earlier requests are skipped.
async fn read_answer(
    from: &mut (impl AsyncReadExt + Unpin),
    ahead: &mut Ahead,
    names: &HeaderNames,
    request: &Request,
) -> Result<Read, &'static str> {
    for _ in 0..MOST_SKIPPED {
        let head = read_head(from, ahead, &request.head.method).await?;
        let interim = (100..200).contains(&head.status);
        if interim && head.status != 101 {
            continue;
        }
        let mine = head.fields.only(names.request_id) == Some(&request.id[..]);
        if !mine && head.framing == Framing::UntilClose {
            return Err("an answer to another request");
        }
        let (body, open) = read_body(from, ahead, &head).await?;
        if mine {
            return Ok((Answer { head, body }, open));
        }
        if open.is_some() {
            return Err("a long answer to another request");
        }
    }
    Err("answers to other requests")
}

async fn read_head(
    from: &mut (impl AsyncReadExt + Unpin),
    ahead: &mut Ahead,
    method: &str,
) -> Result<AnswerHead, &'static str> {
    let length = loop {
        match head_length(ahead.data()).map_err(|_| "bytes that are no answer")? {
            Some(length) => break length,
            None => fill(from, ahead).await?,
        }
    };
    let head = parse_answer(&ahead.data()[..length], method);
    let head = head.map_err(|_| "a head that is no answer's")?;
    ahead.consume(length);
    Ok(head)
}

async fn read_body(
    from: &mut (impl AsyncReadExt + Unpin),
    ahead: &mut Ahead,
    head: &AnswerHead,
) -> Result<(Vec<u8>, Option<Open>), &'static str> {
    let until_close = head.framing == Framing::UntilClose;
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    loop {
        take_body(ahead, &mut decoder, &mut body).map_err(|()| "a broken body")?;
        if decoder.is_done() {
            return Ok((body, None));
        }
        if body.len() >= WHOLE_BYTES {
            let open = Open {
                decoder,
                until_close,
            };
            return Ok((body, Some(open)));
        }
        match ahead.fill(from).await {
            Ok(0) if until_close => return Ok((body, None)),
            Ok(0) | Err(_) => return Err("a body that broke off"),
            Ok(_) => {}
        }
    }
}

/// Moves the body's bytes that are in hand.
fn take_body(ahead: &mut Ahead, decoder: &mut BodyDecoder, body: &mut Vec<u8>) -> Result<(), ()> {
    while !decoder.is_done() && !ahead.data().is_empty() {
        let piece = decoder.decode(ahead.data()).map_err(|_| ())?;
        body.extend_from_slice(&ahead.data()[piece.skip..piece.used()]);
        ahead.consume(piece.used());
    }
    Ok(())
}

async fn fill(
    from: &mut (impl AsyncReadExt + Unpin),
    ahead: &mut Ahead,
) -> Result<(), &'static str> {
    match ahead.fill(from).await {
        Ok(0) => Err("a closed connection"),
        Ok(_) => Ok(()),
        Err(_) => Err("a reset connection"),
    }
}

impl Rest {
    /// Returns the next bytes of the body; `None` at its end.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, BrokenOff> {
        if self.decoder.is_done() {
            return Ok(None);
        }
        let (mut read, _, ahead) = self.held.conn.split();
        match ahead.fill(&mut read).await {
            Ok(0) if self.until_close => return Ok(None),
            Ok(0) | Err(_) => return Err(BrokenOff),
            Ok(_) => {}
        }
        let mut body = Vec::new();
        take_body(ahead, &mut self.decoder, &mut body).map_err(|()| BrokenOff)?;
        Ok(Some(body))
    }

    /// Keeps the connection after the whole answer.
    pub fn finish(mut self, pool: &Pool) {
        let clean = self.held.conn.data().is_empty() && !self.until_close;
        if self.uploaded && clean && self.decoder.is_done() {
            self.held.conn.end_exchange();
            pool.put(self.held, self.keep, Instant::now());
        }
    }
}

/// Returns how long the target keeps an idle connection, if it says.
fn keep_time(head: &AnswerHead) -> Option<Duration> {
    let value = head.fields.only("keep-alive")?;
    let text = std::str::from_utf8(value).ok()?;
    let parameters = text.split(',').map(str::trim);
    let seconds = parameters.filter_map(|part| part.strip_prefix("timeout="));
    let seconds: Option<u64> = seconds.filter_map(|text| text.parse().ok()).next();
    seconds.map(Duration::from_secs)
}
