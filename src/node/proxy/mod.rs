//! The HTTP/1 proxy between callers and targets.
//!
//! [`serve`] handles a caller's connection, `request` reads and routes a request, [`dispatch`]
//! selects targets and retries, [`attempt`] sends the request to one target, and [`respond`]
//! encodes the response to the caller.

pub mod attempt;
pub mod conn;
pub mod dispatch;
pub mod headers;
pub mod pool;
mod read;
mod request;
pub mod respond;
pub mod serve;
