//! The HTTP API for operators, which each controller serves at `[controller] admin`.
//!
//! Paths below `/operator` require the token of the settings; health, readiness and metrics do not.

mod routes;
mod server;
mod token;

pub use routes::OWNER_PATH;
pub use routes::STATE_PATH;
pub use routes::STATUS_PATH;
pub use routes::TICKETS_PATH;
pub use server::OperatorApi;
pub use server::run;
