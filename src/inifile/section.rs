//! Reading the keys of one section of an INI file.

use std::collections::BTreeMap;

use crate::inifile::Diagnostic;
use crate::inifile::Diagnostics;
use crate::inifile::ValueFormat;
use crate::inifile::lines::Lines;

/// A section that is being read. Each key that is read is removed from it, so that the remaining
/// keys are the unknown ones.
#[derive(Debug)]
pub struct Section<'a> {
    name: &'a str,
    unread: BTreeMap<&'a str, &'a str>,
    valid_keys: Vec<&'static str>,
    lines: &'a Lines,
    diagnostics: &'a mut Diagnostics,
}

impl<'a> Section<'a> {
    pub(super) fn new(
        name: &'a str,
        unread: BTreeMap<&'a str, &'a str>,
        lines: &'a Lines,
        diagnostics: &'a mut Diagnostics,
    ) -> Self {
        Self {
            name,
            unread,
            valid_keys: Vec::new(),
            lines,
            diagnostics,
        }
    }

    /// Reads a required key. Adds a diagnostic and returns `None` if it is missing or not valid.
    pub fn required<T>(&mut self, key: &'static str, format: &ValueFormat<T>) -> Option<T> {
        self.valid_keys.push(key);
        match self.unread.remove(key) {
            Some(text) => self.parse(key, text, format),
            None => {
                let remedy = format!("add `{key} =` with {}", format.expected);
                self.add_diagnostic(key, "missing", &remedy);
                None
            }
        }
    }

    /// Reads an optional key. Returns the default if it is missing; a value that is not valid also
    /// adds a diagnostic.
    pub fn optional<T>(&mut self, key: &'static str, format: &ValueFormat<T>, default: T) -> T {
        self.valid_keys.push(key);
        let text = self.unread.remove(key);
        text.and_then(|text| self.parse(key, text, format))
            .unwrap_or(default)
    }

    /// Adds a diagnostic at the key's line.
    pub fn add_diagnostic(&mut self, key: &str, problem: &str, remedy: &str) {
        self.diagnostics.push(Diagnostic {
            line: self.lines.line_of(self.name, key),
            section: self.name.to_owned(),
            key: key.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        });
    }

    /// Adds a diagnostic for each key that was not read.
    pub fn finish(mut self) {
        let remedy = match self.valid_keys.as_slice() {
            [] => "remove it".to_owned(),
            valid_keys => format!("remove it or use one of: {}", valid_keys.join(", ")),
        };
        for key in std::mem::take(&mut self.unread).into_keys() {
            self.add_diagnostic(key, "unknown key", &remedy);
        }
    }

    fn parse<T>(&mut self, key: &str, text: &str, format: &ValueFormat<T>) -> Option<T> {
        let value = (format.parse)(text);
        if value.is_none() {
            let problem = format!("`{}` is not valid", truncate(text));
            self.add_diagnostic(key, &problem, &format!("give {}", format.expected));
        }
        value
    }
}

fn truncate(text: &str) -> String {
    const MAX_CHARS: usize = 60;
    match text.char_indices().nth(MAX_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}
