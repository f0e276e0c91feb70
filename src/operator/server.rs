//! Serving the operators' HTTP.

use std::sync::Arc;

use async_std::net::TcpListener;
use tide::Server;

use crate::control::Handle;
use crate::metrics;
use crate::operator::routes;
use crate::operator::routes::Shared;
use crate::operator::token::TokenCheck;
use crate::platform::Table;

/// What the operators' HTTP answers from.
pub struct OperatorApi<P> {
    /// Where tickets are filed and read.
    pub platform: Arc<P>,
    /// The control thread.
    pub handle: Handle,
    /// The token that operators give.
    pub token: String,
}

/// Serves operators, health, readiness and metrics until dropped.
///
/// # Errors
///
/// When the listener fails.
pub async fn run<P: Table + 'static>(
    listener: TcpListener,
    operators: OperatorApi<P>,
) -> std::io::Result<()> {
    app(operators).listen(listener).await
}

fn app<P: Table + 'static>(operators: OperatorApi<P>) -> Server<Shared<P>> {
    let check = TokenCheck::new(&operators.token);
    let shared = Shared {
        platform: operators.platform,
        handle: operators.handle,
    };
    let mut app = tide::with_state(shared.clone());
    app.at("/healthz").get(|_| async { Ok("alive\n") });
    app.at("/readyz").get(routes::ready);
    app.at("/metrics").get(|_| async { Ok(metrics::render()) });
    app.at("/operator").with(check).nest(operator_app(shared));
    app
}

fn operator_app<P: Table + 'static>(shared: Shared<P>) -> Server<Shared<P>> {
    let mut app = tide::with_state(shared);
    app.at("/tickets").post(routes::file);
    app.at("/tickets/:number").get(routes::ticket);
    app.at("/state").get(routes::state);
    app.at("/status").get(routes::status);
    app.at("/owner/:service/:hash").get(routes::owner);
    app
}
