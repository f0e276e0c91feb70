//! The HTTP server of the operator API.

use std::sync::Arc;

use async_std::net::TcpListener;
use tide::Server;

use crate::control::Handle;
use crate::metrics;
use crate::operator::routes;
use crate::operator::routes::AppState;
use crate::operator::token::TokenCheck;
use crate::platform::Table;

/// The dependencies of the operator API.
pub struct OperatorApi<P> {
    /// The table that tickets are written to and read from.
    pub platform: Arc<P>,
    /// Sends queries to the control thread.
    pub handle: Handle,
    /// The token that operators must send.
    pub token: String,
}

/// Serves the operator API, health, readiness and metrics until the future is dropped.
///
/// # Errors
///
/// Returns an error if the listener fails.
pub async fn run<P: Table + 'static>(
    listener: TcpListener,
    api: OperatorApi<P>,
) -> std::io::Result<()> {
    app(api).listen(listener).await
}

fn app<P: Table + 'static>(api: OperatorApi<P>) -> Server<AppState<P>> {
    let check = TokenCheck::new(&api.token);
    let state = AppState {
        platform: api.platform,
        handle: api.handle,
    };
    let mut app = tide::with_state(state.clone());
    app.at("/healthz").get(|_| async { Ok("alive\n") });
    app.at("/readyz").get(routes::ready);
    app.at("/metrics").get(|_| async { Ok(metrics::render()) });
    app.at("/operator").with(check).nest(operator_app(state));
    app
}

fn operator_app<P: Table + 'static>(state: AppState<P>) -> Server<AppState<P>> {
    let mut app = tide::with_state(state);
    app.at("/tickets").post(routes::file);
    app.at("/tickets/:number").get(routes::ticket);
    app.at("/state").get(routes::state);
    app.at("/status").get(routes::status);
    app.at("/owner/:service/:hash").get(routes::owner);
    app
}
