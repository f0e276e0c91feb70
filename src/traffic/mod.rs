//! The HTTP/1.1 proxy of an entry: serves callers and forwards their requests to targets.
//!
//! [`entry`] starts one control thread, which keeps the view of the routing state up to date, and
//! the traffic threads. Each traffic thread serves the callers whose connections it accepted.

mod admin;
pub mod body;
mod caller;
mod choose;
mod control;
pub mod drain;
pub mod entry;
mod exchange;
pub mod follow;
pub(crate) mod forward;
pub mod head;
pub mod limits;
pub mod pool;
pub mod reader;
mod refuse;
mod relay;
mod request;
mod response;
mod serve;
pub mod stats;
pub mod timers;
mod upload;
pub mod worker;
