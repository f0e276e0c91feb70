//! The errors of commands and their exit codes.

use std::io::ErrorKind;

use thiserror::Error;

use crate::platform::client::CallError;
use crate::settings::SettingsError;
use crate::ticket::TicketErrors;

/// The exit codes of the command-line tool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The controller rejected the request; nothing was changed.
    Refused = 1,
    /// The arguments, the settings or the ticket are not valid; nothing was sent. Also used if the
    /// output cannot be written.
    Usage = 2,
    /// No controller responded as expected, or the outcome is not known.
    Unknown = 3,
}

/// The error of a command.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The controller rejected the request; the text includes the remedy.
    #[error("{0}")]
    Refused(String),
    /// The ticket is not valid.
    #[error("{0}")]
    Ticket(#[from] TicketErrors),
    /// The settings could not be loaded.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A file could not be read.
    #[error("cannot read {path}: {source}; check the path and its permissions")]
    Read {
        /// The file's path.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// No controller responded.
    #[error("{0}; or give another controller with --controller")]
    Unreachable(#[from] CallError),
    /// A controller sent a response that this release cannot interpret.
    #[error("unexpected response ({0}); check that ctl and controller run the same release")]
    UnexpectedResponse(String),
    /// The outcome is not known; the text includes the remedy.
    #[error("{0}")]
    Unknown(String),
    /// The output could not be written.
    #[error("cannot write the output: {0}; check the destination of standard output")]
    Write(#[from] std::io::Error),
}

impl CtlError {
    /// Returns the exit code of the program for this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Refused(_) => Exit::Refused,
            Self::Ticket(_) | Self::Settings(_) | Self::Read { .. } => Exit::Usage,
            Self::Unreachable(_) | Self::UnexpectedResponse(_) | Self::Unknown(_) => Exit::Unknown,
            // A reader that closes the pipe early, such as `head`, is not an error.
            Self::Write(error) if error.kind() == ErrorKind::BrokenPipe => Exit::Done,
            Self::Write(_) => Exit::Usage,
        }
    }
}

impl From<serde_json::Error> for CtlError {
    fn from(error: serde_json::Error) -> Self {
        Self::UnexpectedResponse(error.to_string())
    }
}
