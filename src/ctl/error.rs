//! Why a command failed, and the exit code that follows.

use std::io::ErrorKind;

use thiserror::Error;

use crate::platform::client::CallError;
use crate::settings::SettingsError;
use crate::ticket::TicketErrors;

/// The exit codes of the operator command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// What was asked for is done.
    Done = 0,
    /// The controller refused; nothing was changed.
    Refused = 1,
    /// The arguments, the settings or the ticket are faulty; nothing was sent.
    Usage = 2,
    /// No controller was reached, or the outcome is not known yet.
    Unknown = 3,
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The controller refused; the text names the remedy.
    #[error("{0}")]
    Refused(String),
    /// The ticket has faults.
    #[error("{0}")]
    Ticket(#[from] TicketErrors),
    /// The settings could not be loaded.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A file could not be read.
    #[error("cannot read {path}: {source}; check the path and its permissions")]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// No controller gave a whole answer.
    #[error("{0}; or name another controller with --controller")]
    Unreachable(#[from] CallError),
    /// A controller answered what this release does not understand.
    #[error("unexpected answer ({0}); check that ctl and controller run the same release")]
    Answer(String),
    /// The outcome is not known yet; the text names the remedy.
    #[error("{0}")]
    Unknown(String),
    /// The output could not be written.
    #[error("cannot write the output: {0}; check where standard output goes")]
    Write(#[from] std::io::Error),
}

impl CtlError {
    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Refused(_) => Exit::Refused,
            Self::Ticket(_) | Self::Settings(_) | Self::Read { .. } => Exit::Usage,
            Self::Unreachable(_) | Self::Answer(_) | Self::Unknown(_) => Exit::Unknown,
            // A reader that has seen enough, such as `head`, is no failure.
            Self::Write(error) if error.kind() == ErrorKind::BrokenPipe => Exit::Done,
            Self::Write(_) => Exit::Usage,
        }
    }
}

impl From<serde_json::Error> for CtlError {
    fn from(error: serde_json::Error) -> Self {
        Self::Answer(error.to_string())
    }
}
