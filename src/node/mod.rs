//! The node: one single-threaded process per VM. It proxies requests, polls the platform for rules
//! and targets, and assigns the keys of the services whose leader lease it holds.
//!
//! [`rules`], [`fleet`], [`list_schedule`], [`pick`], [`retry_budget`], [`rules_lag`] and [`keys`]
//! make decisions without I/O. [`proxy`] forwards requests; [`control`] does all other I/O.

pub mod cold;
pub mod connections;
pub mod control;
pub mod counters;
pub mod datagram;
pub mod evacuations;
pub mod fleet;
pub mod http;
pub mod identity;
pub mod keys;
pub mod limit;
pub mod links;
pub mod list_schedule;
pub mod log;
pub mod notices;
pub mod pause;
pub mod pick;
pub mod platform;
pub mod probe;
pub mod proxy;
pub mod queues;
pub mod reach;
pub mod reader;
pub mod relays;
pub mod retry_budget;
pub mod rules;
pub mod rules_lag;
pub mod state;
