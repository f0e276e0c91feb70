//! Authentication of operators by the shared token.

use std::sync::Arc;

use subtle::ConstantTimeEq;
use tide::Middleware;
use tide::Next;
use tide::Request;
use tide::Response;
use tide::StatusCode;

use crate::events::Event;
use crate::events::record;
use crate::link::TOKEN_HEADER;

const UNAUTHORIZED_BODY: &str =
    "wrong or missing token; give the `token` of [security] in the settings\n";

/// Middleware that responds with 401 to requests without the token.
pub(super) struct TokenCheck {
    token: Arc<str>,
}

impl TokenCheck {
    pub fn new(token: &str) -> Self {
        let token = token.into();
        Self { token }
    }
}

#[tide::utils::async_trait]
impl<S: Clone + Send + Sync + 'static> Middleware<S> for TokenCheck {
    async fn handle(&self, request: Request<S>, next: Next<'_, S>) -> tide::Result {
        let given = request.header(TOKEN_HEADER).map(|values| values.as_str());
        let given = given.unwrap_or_default().as_bytes();
        if bool::from(given.ct_eq(self.token.as_bytes())) {
            return Ok(next.run(request).await);
        }
        let from = request.peer_addr().unwrap_or("unknown");
        record(Event::TokenRefused, format_args!("from={from}"));
        let response = Response::builder(StatusCode::Unauthorized);
        Ok(response.body(UNAUTHORIZED_BODY).build())
    }
}
