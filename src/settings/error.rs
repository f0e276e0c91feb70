//! The error of loading settings.

use std::io;

use thiserror::Error;

use crate::inifile::Diagnostics;

/// An error while loading settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read settings {path}: {source}; check the path and its permissions")]
    Read {
        /// The file's path.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not valid. All errors are listed, one per line.
    #[error("{0}")]
    Invalid(Diagnostics),
}
