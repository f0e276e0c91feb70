//! A request router for servers that own keys exclusively.
//!
//! Each module implements one function of the router with its own state machine and messages. A
//! state machine takes an event and an [`std::time::Instant`] and returns actions; the code that
//! drives it handles sockets, the table service and threads.

pub mod burn;
pub mod clock;
pub mod cold_start;
pub mod control;
pub mod ctl;
pub mod evacuation;
pub mod events;
pub mod ids;
pub mod inifile;
pub mod link;
pub mod member;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod overload;
pub mod owner;
pub mod platform;
pub mod report;
pub mod route;
pub mod settings;
pub mod standin;
pub mod state_sync;
pub mod target_load;
pub mod ticket;
pub mod traffic;
pub mod view;
