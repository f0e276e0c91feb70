//! The text format of a value.

/// A text format of values: its description and its parser.
#[derive(Debug)]
pub struct ValueFormat<T> {
    /// Describes valid values; used in the remedy of a diagnostic.
    pub expected: &'static str,
    /// Parses the text. Returns `None` if it is not valid.
    pub parse: fn(&str) -> Option<T>,
}
