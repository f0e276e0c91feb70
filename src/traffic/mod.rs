//! Callers' HTTP in, targets' HTTP out.
//!
//! [`entry`] starts one control thread, which keeps the view, and the traffic threads. Each of
//! these serves its own callers over its own connections to targets.

mod admin;
mod answer;
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
mod serve;
pub mod stats;
pub mod timers;
mod upload;
pub mod worker;
