//! The HTTP server of a target.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_std::io::BufReader;
use async_std::io::ReadExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::stream::StreamExt;
use async_std::task;
use futures::future::Either;
use futures::future::select;
use http_types::Body;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;

use crate::ids::Fence;
use crate::ids::GroupId;
use crate::ids::Shard;
use crate::owner::order::FENCE_HEADER;
use crate::owner::order::GROUP_HEADER;
use crate::owner::order::OUTCOME_HEADER;
use crate::owner::order::REQUEST_HEADER;
use crate::owner::order::SHARD_HEADER;
use crate::owner::order::ShardFence;
use crate::standin::target::BOOKING_HEADER;
use crate::standin::target::CRASH_HEADER;
use crate::standin::target::ID_HEADER;
use crate::standin::target::Target;
use crate::standin::target::WORK_HEADER;
use crate::standin::target::work::Keyed;

const DISCONNECT_POLL_PERIOD: Duration = Duration::from_millis(20);
const DOWNLOAD_PATTERN: &[u8; 16] = b"0123456789abcde\n";

#[derive(Serialize)]
struct EchoResponse<'a> {
    target: &'a str,
    request: &'a str,
    method: &'a str,
    path: &'a str,
    received: u64,
}

#[derive(Serialize)]
struct LoadResponse {
    running: u32,
    slots: u32,
}

/// Serves the target until the listener fails.
pub async fn serve(listener: TcpListener, target: Arc<Target>) {
    let mut incoming = listener.incoming();
    while let Some(Ok(stream)) = incoming.next().await {
        task::spawn(serve_connection(stream, target.clone()));
    }
}

async fn serve_connection(stream: TcpStream, target: Arc<Target>) {
    let _ = stream.set_nodelay(true);
    let peer = stream.clone();
    let handle = |request| handle(request, target.clone(), peer.clone());
    let _ = async_h1::accept(stream, handle).await;
}

async fn handle(
    request: Request,
    target: Arc<Target>,
    peer: TcpStream,
) -> http_types::Result<Response> {
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Post, "/grants") => apply_order(request, &target).await,
        (Method::Get, "/ledger") => json(StatusCode::Ok, &target.ledger()),
        (Method::Get, "/health") => health(&target),
        (Method::Get, "/load") => load(&target),
        (Method::Post, "/behaviour") => set_behaviour(request, &target).await,
        _ => {
            let request_id = header(&request, REQUEST_HEADER).map(str::to_owned);
            let mut response = run(request, target, peer).await?;
            if let Some(request_id) = request_id {
                response.insert_header(REQUEST_HEADER, request_id);
            }
            Ok(response)
        }
    }
}

async fn apply_order(mut request: Request, target: &Target) -> http_types::Result<Response> {
    let order = serde_json::from_slice(&request.body_bytes().await?)?;
    if target.behaviour().silent {
        task::sleep(Duration::from_secs(3600)).await;
    }
    json(StatusCode::Ok, &target.apply_order(Instant::now(), &order))
}

async fn set_behaviour(mut request: Request, target: &Target) -> http_types::Result<Response> {
    target.set_behaviour(serde_json::from_slice(&request.body_bytes().await?)?);
    json(StatusCode::Ok, &target.behaviour())
}

fn health(target: &Target) -> http_types::Result<Response> {
    let behaviour = target.behaviour();
    match behaviour.draining == behaviour.lies_on_health {
        true => json(StatusCode::Ok, &"up"),
        false => json(StatusCode::ServiceUnavailable, &"down"),
    }
}

fn load(target: &Target) -> http_types::Result<Response> {
    let running = target.behaviour().false_load;
    let load = LoadResponse {
        running: running.unwrap_or(target.running() as u32),
        slots: target.conf.slots as u32,
    };
    json(StatusCode::Ok, &load)
}

async fn run(
    mut request: Request,
    target: Arc<Target>,
    peer: TcpStream,
) -> http_types::Result<Response> {
    if request.header(CRASH_HEADER).is_some() {
        std::process::exit(1);
    }
    let keyed = keyed(&request);
    if keyed.is_none() && request.header(SHARD_HEADER).is_some() {
        return not_run_response();
    }
    let Some(running) = target.start(Instant::now(), keyed) else {
        return not_run_response();
    };
    let received = drain_body(&mut request).await?;
    let work_time = target.work_time(Instant::now(), requested_work_time(&request));
    let work = Box::pin(task::sleep(work_time));
    if let Either::Right(_) = select(work, Box::pin(wait_for_disconnect(peer))).await {
        return Err(http_types::format_err!("the caller closed the connection"));
    }
    let booking = booking(&request);
    if !running.finish(Instant::now(), booking.as_deref()) {
        return not_run_response();
    }
    respond(&request, &target, received)
}

fn respond(request: &Request, target: &Target, received: u64) -> http_types::Result<Response> {
    let path = request.url().path();
    if let Some((_, size)) = path.rsplit_once("/download/")
        && let Ok(size) = size.parse()
    {
        return Ok(download(size));
    }
    let method = request.method();
    let response = EchoResponse {
        target: &target.conf.name,
        request: header(request, ID_HEADER).unwrap_or_default(),
        method: method.as_ref(),
        path,
        received,
    };
    json(StatusCode::Ok, &response)
}

/// Returns the byte at an offset of a download; all downloads have the same content.
pub fn download_byte(offset: u64) -> u8 {
    DOWNLOAD_PATTERN[(offset % DOWNLOAD_PATTERN.len() as u64) as usize]
}

fn download(size: u64) -> Response {
    let body = BufReader::new(DownloadReader { offset: 0, size });
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(body, Some(size as usize)));
    response
}

struct DownloadReader {
    offset: u64,
    size: u64,
}

impl async_std::io::Read for DownloadReader {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        buf: &mut [u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        let count = (self.size - self.offset).min(buf.len() as u64) as usize;
        for (byte, offset) in buf[..count].iter_mut().zip(self.offset..) {
            *byte = download_byte(offset);
        }
        self.offset += count as u64;
        std::task::Poll::Ready(Ok(count))
    }
}

async fn drain_body(request: &mut Request) -> http_types::Result<u64> {
    let mut body = request.take_body();
    let mut buf = vec![0; 64 << 10];
    let mut total = 0;
    loop {
        let count = body.read(&mut buf).await?;
        if count == 0 {
            return Ok(total);
        }
        total += count as u64;
    }
}

// Returns when the caller has closed the connection.
async fn wait_for_disconnect(peer: TcpStream) {
    let mut byte = [0];
    loop {
        match peer.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            Ok(_) => task::sleep(DISCONNECT_POLL_PERIOD).await,
        }
    }
}

fn keyed(request: &Request) -> Option<Keyed> {
    let (service, index) = header(request, GROUP_HEADER)?.rsplit_once('/')?;
    let group = GroupId {
        service: service.into(),
        index: index.parse().ok()?,
    };
    let at = ShardFence {
        shard: Shard(header(request, SHARD_HEADER)?.parse().ok()?),
        fence: Fence(header(request, FENCE_HEADER)?.parse().ok()?),
    };
    Some(Keyed { group, at })
}

fn requested_work_time(request: &Request) -> Option<Duration> {
    let millis = header(request, WORK_HEADER)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

fn booking(request: &Request) -> Option<String> {
    if request.method() == Method::Get {
        return None;
    }
    let id = header(request, BOOKING_HEADER).or_else(|| header(request, ID_HEADER));
    id.map(str::to_owned)
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.last().as_str())
}

fn not_run_response() -> http_types::Result<Response> {
    let mut response = json(StatusCode::ServiceUnavailable, &"not run")?;
    response.insert_header(OUTCOME_HEADER, "not-run");
    Ok(response)
}

fn json(status: StatusCode, value: &impl Serialize) -> http_types::Result<Response> {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(value)?);
    Ok(response)
}
