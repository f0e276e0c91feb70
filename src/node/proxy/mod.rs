//! Callers' requests in, targets' answers out.
//!
//! [`serve`] keeps a caller's connection and `request` reads what comes on it, [`dispatch`] finds targets for it, [`attempt`] sends it to one, and
//! [`respond`] writes what the caller gets.

pub mod attempt;
pub mod conn;
pub mod dispatch;
pub mod headers;
pub mod pool;
mod request;
pub mod respond;
pub mod serve;
