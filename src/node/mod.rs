//! One process a VM that does everything: it serves callers, follows the platform, and leads
//! services when it holds their lease. All of it runs on one thread.
//!
//! [`rules`], [`fleet`], [`reading`], [`pick`], [`allowance`] and [`keys`] decide and do no input or output;
//! [`proxy`] carries requests, [`control`] carries everything else.

pub mod control;
pub mod counters;
pub mod datagram;
pub mod fleet;
pub mod http;
pub mod keys;
pub mod list_schedule;
pub mod log;
pub mod pick;
pub mod platform;
pub mod proxy;
pub mod retry_budget;
pub mod rules;
pub mod rules_lag;
pub mod state;
