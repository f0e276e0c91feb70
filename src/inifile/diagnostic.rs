//! Diagnostics of a file, each with its place and its remedy.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// More diagnostics than this are counted but not kept.
const MAX_DIAGNOSTICS: usize = 200;

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Diagnostic {
    /// The line, from 1; 0 where the fault is something that is missing.
    pub line: usize,
    /// The section's name; empty before the first section.
    pub section: String,
    /// The key; empty where the fault concerns the whole section.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

/// All diagnostics of one file, in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Diagnostics {
    file: String,
    list: Vec<Diagnostic>,
    dropped: usize,
}

impl Diagnostics {
    /// Starts an empty list for a file.
    pub fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            ..Self::default()
        }
    }

    /// Adds a fault; past a bound it is only counted.
    pub fn push(&mut self, diagnostic: Diagnostic) {
        if self.list.len() < MAX_DIAGNOSTICS {
            self.list.push(diagnostic);
        } else {
            self.dropped += 1;
        }
    }

    /// Returns the diagnostics that were kept.
    pub fn iter(&self) -> std::slice::Iter<'_, Diagnostic> {
        self.list.iter()
    }

    /// Returns whether no fault was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the number of diagnostics that were kept.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Collects diagnostics that were found without their lines.
    pub fn from_list(file: &str, list: Vec<Diagnostic>) -> Self {
        let mut diagnostics = Self::new(file);
        for diagnostic in list {
            diagnostics.push(diagnostic);
        }
        diagnostics
    }

    /// Sets the file's name, where it became known later.
    pub fn with_file(mut self, file: &str) -> Self {
        file.clone_into(&mut self.file);
        self
    }

    fn write_place(&self, f: &mut fmt::Formatter<'_>, diagnostic: &Diagnostic) -> fmt::Result {
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
            self.write_place(f, diagnostic)?;
            write!(f, "{}; {}", diagnostic.problem, diagnostic.remedy)?;
        }
        if self.dropped > 0 {
            write!(f, "\n{}: {} more faults", self.file, self.dropped)?;
        }
        Ok(())
    }
}
