//! Callers' requests in, targets' answers out.
//!
//! [`serve`] reads a request, [`dispatch`] finds targets for it, [`attempt`] sends it to one, and
//! [`respond`] writes what the caller gets.

pub mod attempt;
pub mod conn;
pub mod dispatch;
pub mod headers;
pub mod pool;
pub mod respond;
pub mod serve;
