//! A kind of value: what is expected and how it is read.

/// How the text of a value is read.
#[derive(Debug)]
pub struct ValueFormat<T> {
    /// What a valid value looks like, for the remedy of a diagnostic.
    pub expected: &'static str,
    /// Reads the text; `None` when it is not valid.
    pub parse: fn(&str) -> Option<T>,
}
