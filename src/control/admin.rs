//! Health, readiness and filing over HTTP.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use subtle::ConstantTimeEq;
use tide::Request;
use tide::Response;
use tide::StatusCode;
use tide::listener::Listener;

use crate::clock::SystemClock;
use crate::control::Handle;
use crate::platform::HttpPlatform;
use crate::platform::WriteId;
use crate::settings::Settings;
use crate::ticket::file;

const TOKEN_HEADER: &str = "x-gooseberryloft-token";
const FILE_LIMIT: Duration = Duration::from_secs(10);

#[derive(Clone)]
struct Admin {
    handle: Handle,
    platform: Arc<HttpPlatform>,
    token: Arc<str>,
}

/// Binds the operators' address; the future returned serves it.
pub async fn listen(
    conf: &Settings,
    handle: Handle,
    platform: Arc<HttpPlatform>,
) -> anyhow::Result<impl Future<Output = ()> + Send + 'static> {
    let token = conf.token.as_str().into();
    let mut app = tide::with_state(Admin {
        handle,
        platform,
        token,
    });
    app.at("/healthz").get(|_| async { Ok("up\n") });
    app.at("/readyz").get(ready);
    app.at("/tickets").post(file_ticket);
    app.at("/status").get(status);
    let address = conf.controller.admin;
    let mut listener = app.bind(address).await.with_context(|| {
        format!("cannot listen on {address}; check [controller] admin and that the port is free")
    })?;
    Ok(async move {
        let _ = listener.accept().await;
    })
}

async fn ready(request: Request<Admin>) -> tide::Result {
    let ready = request.state().handle.ready().await.unwrap_or(false);
    let status = match ready {
        true => StatusCode::Ok,
        false => StatusCode::ServiceUnavailable,
    };
    Ok(Response::new(status))
}

async fn file_ticket(mut request: Request<Admin>) -> tide::Result {
    check_token(&request)?;
    let text = request.body_string().await?;
    let admin = request.state();
    let id = WriteId(rand::random());
    let outcome = file(&*admin.platform, &SystemClock, &text, id, FILE_LIMIT).await;
    if let crate::ticket::Outcome::Accepted { number } = outcome {
        let _ = admin.handle.accepted(number).await;
    }
    Ok(tide::Body::from_json(&outcome)?.into())
}

async fn status(request: Request<Admin>) -> tide::Result {
    check_token(&request)?;
    let status = request.state().handle.status().await?;
    Ok(tide::Body::from_json(&status)?.into())
}

fn check_token(request: &Request<Admin>) -> tide::Result<()> {
    let given = request.header(TOKEN_HEADER);
    let given = given.map_or("", |values| values.last().as_str());
    match bool::from(given.as_bytes().ct_eq(request.state().token.as_bytes())) {
        true => Ok(()),
        false => Err(tide::Error::from_str(
            StatusCode::Unauthorized,
            "wrong token",
        )),
    }
}
