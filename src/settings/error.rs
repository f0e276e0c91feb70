//! Why settings could not be loaded.

use std::io;

use thiserror::Error;

use crate::inifile::Diagnostics;

/// Why settings could not be loaded.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("cannot read settings {path}: {source}; check the path and its permissions")]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// The file has faults; all of them are listed, one a line.
    #[error("{0}")]
    Invalid(Diagnostics),
}
