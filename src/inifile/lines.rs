//! The lines of a file: where each section and key stands, and lines of no valid shape.

use std::collections::HashMap;

use crate::inifile::Diagnostic;
use crate::inifile::Diagnostics;

/// More lines than this are not read.
const MAX_LINES: usize = 200_000;
/// The longest accepted name of a section or key.
const MAX_NAME_BYTES: usize = 256;

const SHAPES: &str = "write `[section]`, `key = value` or a comment that starts the line with `;`";

/// A file's lines, with comments and malformed lines blanked out.
#[derive(Debug, Default)]
pub(super) struct Lines {
    /// The text that is left for the parser, line by line as in the file.
    pub text: String,
    sections: HashMap<String, Place>,
    section: String,
}

/// Where a section and its keys stand.
#[derive(Debug, Default)]
struct Place {
    line: usize,
    keys: HashMap<String, usize>,
}

enum Shape<'a> {
    Nothing,
    Section(&'a str),
    Pair(&'a str),
    Malformed(&'static str),
}

impl Lines {
    /// Reads the lines of a text and reports the malformed and the doubled ones.
    pub fn read(text: &str, diagnostics: &mut Diagnostics) -> Self {
        let mut lines = Self::default();
        for (i, line) in text.lines().enumerate() {
            if i == MAX_LINES {
                let remedy = format!("keep the file to {MAX_LINES} lines");
                diagnostics.push(lines.diagnostic(i + 1, "", "too many lines", &remedy));
                break;
            }
            lines.take(i + 1, line.trim(), diagnostics);
            lines.text.push('\n');
        }
        lines
    }

    /// Returns the line of a key, or of its section, or 0.
    pub fn line_of(&self, section: &str, key: &str) -> usize {
        let place = self.sections.get(section);
        let line = |place: &Place| place.keys.get(key).copied().unwrap_or(place.line);
        place.map_or(0, line)
    }

    fn take(&mut self, number: usize, line: &str, diagnostics: &mut Diagnostics) {
        match shape(line) {
            Shape::Nothing => {}
            Shape::Malformed(problem) => {
                diagnostics.push(self.diagnostic(number, "", problem, SHAPES));
            }
            Shape::Section(name) => {
                name.clone_into(&mut self.section);
                let place = self.sections.entry(name.to_owned()).or_default();
                let first = std::mem::replace(&mut place.line, number);
                if first > 0 {
                    place.line = first;
                    diagnostics.push(self.doubled(number, "", first));
                }
                self.text.push_str(line);
            }
            Shape::Pair(key) => {
                let place = self.sections.entry(self.section.clone()).or_default();
                let first = *place.keys.entry(key.to_owned()).or_insert(number);
                match first == number {
                    true => self.text.push_str(line),
                    false => diagnostics.push(self.doubled(number, key, first)),
                }
            }
        }
    }

    fn doubled(&self, line: usize, key: &str, first: usize) -> Diagnostic {
        let problem = format!("given a second time, first on line {first}");
        self.diagnostic(line, key, &problem, "keep one of the two")
    }

    fn diagnostic(&self, line: usize, key: &str, problem: &str, remedy: &str) -> Diagnostic {
        Diagnostic {
            line,
            section: self.section.clone(),
            key: key.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        }
    }
}

fn shape(line: &str) -> Shape<'_> {
    if line.is_empty() || line.starts_with([';', '#']) {
        return Shape::Nothing;
    }
    if line.ends_with('\\') || line.chars().any(char::is_control) {
        return Shape::Malformed("control character or line continuation");
    }
    if let Some(rest) = line.strip_prefix('[') {
        return match rest.strip_suffix(']').map(str::trim) {
            Some(name) if is_fit(name) && !name.contains(['[', ']']) => Shape::Section(name),
            _ => Shape::Malformed("malformed section"),
        };
    }
    match line.split_once(['=', ':']) {
        Some((key, _)) if is_fit(key.trim_end()) => Shape::Pair(key.trim_end()),
        _ => Shape::Malformed("neither a section, a key nor a comment, or a name that is too long"),
    }
}

fn is_fit(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}
