//! HTTP endpoints for health, readiness, metrics and the burn report.
//!
//! The platform's balancer polls the first two; operators read the others.

use std::sync::Arc;
use std::time::Instant;

use async_std::net::TcpListener;
use tide::Body;
use tide::Request;
use tide::Response;
use tide::StatusCode;

use crate::metrics::instruments;
use crate::metrics::render;
use crate::traffic::drain::Stage;
use crate::traffic::worker::Shared;

/// Serves `/healthz`, `/readyz`, `/metrics` and `/burn` on `listener`.
pub async fn run(listener: TcpListener, shared: Arc<Shared>) -> std::io::Result<()> {
    let mut app = tide::with_state(shared);
    app.at("/healthz").get(|_| async { Ok("alive\n") });
    app.at("/readyz").get(ready);
    app.at("/metrics").get(metrics);
    app.at("/burn").get(burn);
    app.listen(listener).await
}

async fn ready(request: Request<Arc<Shared>>) -> tide::Result {
    let shared = request.state();
    let text = match shared.drain.stage() {
        Stage::Serving if shared.is_stale() => "no confirmed view yet\n",
        Stage::Serving => return Ok(Response::from("ready\n")),
        _ => "draining\n",
    };
    let status = StatusCode::ServiceUnavailable;
    Ok(Response::builder(status).body(text).build())
}

async fn metrics(request: Request<Arc<Shared>>) -> tide::Result<String> {
    let shared = request.state();
    instruments().in_force(shared.router.view().state.number);
    instruments().queued(shared.router.waiting());
    Ok(render())
}

async fn burn(request: Request<Arc<Shared>>) -> tide::Result<Body> {
    let report = request.state().burn.report(Instant::now());
    Body::from_json(&report)
}
