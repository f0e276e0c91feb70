//! The errors found in a file, each with its location and a remedy.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Maximum number of diagnostics stored per file; further ones are only counted.
const MAX_DIAGNOSTICS: usize = 200;

/// An error in a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Diagnostic {
    /// The line number, from 1; 0 if the error has no line, such as a missing section.
    pub line: usize,
    /// The section's name; empty for keys before the first section.
    pub section: String,
    /// The key; empty if the error concerns the whole section.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

/// The diagnostics of one file, in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Diagnostics {
    file: String,
    list: Vec<Diagnostic>,
    dropped: usize,
}

impl Diagnostics {
    /// Creates an empty list for a file.
    pub fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            ..Self::default()
        }
    }

    /// Adds a diagnostic. Above a limit it is only counted.
    pub fn push(&mut self, diagnostic: Diagnostic) {
        if self.list.len() < MAX_DIAGNOSTICS {
            self.list.push(diagnostic);
        } else {
            self.dropped += 1;
        }
    }

    /// Iterates over the stored diagnostics.
    pub fn iter(&self) -> std::slice::Iter<'_, Diagnostic> {
        self.list.iter()
    }

    /// Returns true if the file has no errors.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the number of stored diagnostics.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Creates a list from the diagnostics of `file`.
    pub fn from_list(file: &str, list: Vec<Diagnostic>) -> Self {
        let mut diagnostics = Self::new(file);
        for diagnostic in list {
            diagnostics.push(diagnostic);
        }
        diagnostics
    }

    /// Replaces the file's name, for a caller that parsed the text without knowing it.
    pub fn with_file(mut self, file: &str) -> Self {
        file.clone_into(&mut self.file);
        self
    }

    fn write_location(&self, f: &mut fmt::Formatter<'_>, diagnostic: &Diagnostic) -> fmt::Result {
        f.write_str(&self.file)?;
        if diagnostic.line > 0 {
            write!(f, ":{}", diagnostic.line)?;
        }
        f.write_str(": ")?;
        if !diagnostic.section.is_empty() {
            write!(f, "[{}] ", diagnostic.section)?;
        }
        if !diagnostic.key.is_empty() {
            write!(f, "{}: ", diagnostic.key)?;
        }
        Ok(())
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, diagnostic) in self.list.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            self.write_location(f, diagnostic)?;
            write!(f, "{}; {}", diagnostic.problem, diagnostic.remedy)?;
        }
        if self.dropped > 0 {
            write!(f, "\n{}: {} more faults", self.file, self.dropped)?;
        }
        Ok(())
    }
}
