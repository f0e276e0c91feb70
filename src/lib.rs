//! A router for servers that hold keys exclusively.
//!
//! Each folder is one duty with its own state machine and messages. The state machines take an
//! event and an [`std::time::Instant`] and return actions; sockets, the table service and threads
//! live in the adapters that drive them.

pub mod burn;
pub mod clock;
pub mod control;
pub mod ctl;
pub mod events;
pub mod ids;
pub mod inifile;
pub mod link;
pub mod member;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod owner;
pub mod platform;
pub mod report;
pub mod route;
pub mod settings;
pub mod standin;
pub mod state_sync;
pub mod ticket;
pub mod traffic;
pub mod view;
