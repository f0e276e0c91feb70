//! The operator command: one file a command, each from its arguments to its output.

mod client;
pub mod cmd;
mod conf;
mod error;

pub use client::Client;
pub use conf::Config;
pub use error::CtlError;
pub use error::Exit;
