//! What is printed: measured slopes, and figures worked out from them.

use std::fmt;

/// One line of the report.
#[derive(Clone, Debug)]
pub struct Row {
    /// What was measured or worked out.
    pub what: String,
    /// The value.
    pub value: f64,
    /// The unit of the value.
    pub unit: &'static str,
}

/// A figure with the limit that it must keep.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// The figure.
    pub row: Row,
    /// The stated limit, in the unit of the figure.
    pub limit: f64,
    /// What carries it.
    pub mechanism: &'static str,
}

impl Row {
    /// Makes a line.
    pub fn new(what: impl Into<String>, value: f64, unit: &'static str) -> Self {
        Self {
            what: what.into(),
            value,
            unit,
        }
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<58} {:>14.3} {}", self.what, self.value, self.unit)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = if self.row.value <= self.limit {
            "within"
        } else {
            "OVER"
        };
        let (limit, unit) = (self.limit, self.row.unit);
        write!(
            f,
            "{}  {verdict} {limit} {unit} ({})",
            self.row, self.mechanism
        )
    }
}

/// Prints a section.
pub fn section(title: &str, rows: &[Row]) {
    println!("\n{title}");
    for row in rows {
        println!("  {row}");
    }
}
