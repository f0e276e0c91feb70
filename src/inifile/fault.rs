//! Faults of a file, each with its place and its remedy.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// More faults than this are counted but not kept.
const MAX_FAULTS: usize = 200;

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
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

/// All faults of one file, in the order in which they were found.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    file: String,
    list: Vec<Fault>,
    dropped: usize,
}

impl Faults {
    /// Starts an empty list for a file.
    pub fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            ..Self::default()
        }
    }

    /// Adds a fault; past a bound it is only counted.
    pub fn push(&mut self, fault: Fault) {
        if self.list.len() < MAX_FAULTS {
            self.list.push(fault);
        } else {
            self.dropped += 1;
        }
    }

    /// Returns the faults that were kept.
    pub fn iter(&self) -> std::slice::Iter<'_, Fault> {
        self.list.iter()
    }

    /// Returns whether no fault was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the number of faults that were kept.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Collects faults that were found without their lines.
    pub fn from_list(file: &str, list: Vec<Fault>) -> Self {
        let mut faults = Self::new(file);
        for fault in list {
            faults.push(fault);
        }
        faults
    }

    /// Sets the file's name, where it became known later.
    pub fn named(mut self, file: &str) -> Self {
        file.clone_into(&mut self.file);
        self
    }

    fn write_place(&self, f: &mut fmt::Formatter<'_>, fault: &Fault) -> fmt::Result {
        f.write_str(&self.file)?;
        if fault.line > 0 {
            write!(f, ":{}", fault.line)?;
        }
        f.write_str(": ")?;
        if !fault.section.is_empty() {
            write!(f, "[{}] ", fault.section)?;
        }
        if !fault.key.is_empty() {
            write!(f, "{}: ", fault.key)?;
        }
        Ok(())
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.list.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            self.write_place(f, fault)?;
            write!(f, "{}; {}", fault.problem, fault.remedy)?;
        }
        if self.dropped > 0 {
            write!(f, "\n{}: {} more faults", self.file, self.dropped)?;
        }
        Ok(())
    }
}
