//! The operators' command-line tool. Each subcommand has a module with its arguments, calls and output.

mod client;
pub mod cmd;
mod conf;
mod error;

pub use client::Client;
pub use conf::Config;
pub use error::CtlError;
pub use error::Exit;
