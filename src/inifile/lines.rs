//! A scan of the lines of an INI file before parsing. It records the line number of each section and
//! key, which the INI parser does not report, and finds malformed and duplicate lines.

use std::collections::HashMap;

use crate::inifile::Diagnostic;
use crate::inifile::Diagnostics;

/// Maximum number of lines that are read.
const MAX_LINES: usize = 200_000;
/// Maximum length of the name of a section or key.
const MAX_NAME_BYTES: usize = 256;

const LINE_REMEDY: &str =
    "write `[section]`, `key = value` or a comment that starts the line with `;`";

/// A file's lines, with comments and malformed lines blanked out.
#[derive(Debug, Default)]
pub(super) struct Lines {
    /// The text for the INI parser, with the line numbers of the file.
    pub text: String,
    sections: HashMap<String, SectionLines>,
    current_section: String,
}

/// The line numbers of a section and its keys, from 1.
#[derive(Debug, Default)]
struct SectionLines {
    line: usize,
    keys: HashMap<String, usize>,
}

enum LineKind<'a> {
    Blank,
    Section(&'a str),
    Pair(&'a str),
    Malformed(&'static str),
}

impl Lines {
    /// Reads the lines of a text and adds a diagnostic for each malformed or duplicate line.
    pub fn read(text: &str, diagnostics: &mut Diagnostics) -> Self {
        let mut lines = Self::default();
        for (i, line) in text.lines().enumerate() {
            if i == MAX_LINES {
                let remedy = format!("keep the file to {MAX_LINES} lines");
                diagnostics.push(lines.diagnostic(i + 1, "", "too many lines", &remedy));
                break;
            }
            lines.add_line(i + 1, line.trim(), diagnostics);
            lines.text.push('\n');
        }
        lines
    }

    /// Returns the line number of a key, else that of its section, else 0.
    pub fn line_of(&self, section: &str, key: &str) -> usize {
        let lines = self.sections.get(section);
        let line = |lines: &SectionLines| lines.keys.get(key).copied().unwrap_or(lines.line);
        lines.map_or(0, line)
    }

    fn add_line(&mut self, number: usize, line: &str, diagnostics: &mut Diagnostics) {
        match classify(line) {
            LineKind::Blank => {}
            LineKind::Malformed(problem) => {
                diagnostics.push(self.diagnostic(number, "", problem, LINE_REMEDY));
            }
            LineKind::Section(name) => {
                name.clone_into(&mut self.current_section);
                let lines = self.sections.entry(name.to_owned()).or_default();
                let first = std::mem::replace(&mut lines.line, number);
                if first > 0 {
                    lines.line = first;
                    diagnostics.push(self.duplicate(number, "", first));
                }
                self.text.push_str(line);
            }
            LineKind::Pair(key) => {
                let lines = self
                    .sections
                    .entry(self.current_section.clone())
                    .or_default();
                let first = *lines.keys.entry(key.to_owned()).or_insert(number);
                match first == number {
                    true => self.text.push_str(line),
                    false => diagnostics.push(self.duplicate(number, key, first)),
                }
            }
        }
    }

    fn duplicate(&self, line: usize, key: &str, first: usize) -> Diagnostic {
        let problem = format!("given a second time, first on line {first}");
        self.diagnostic(line, key, &problem, "keep one of the two")
    }

    fn diagnostic(&self, line: usize, key: &str, problem: &str, remedy: &str) -> Diagnostic {
        Diagnostic {
            line,
            section: self.current_section.clone(),
            key: key.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        }
    }
}

fn classify(line: &str) -> LineKind<'_> {
    if line.is_empty() || line.starts_with([';', '#']) {
        return LineKind::Blank;
    }
    if line.ends_with('\\') || line.chars().any(char::is_control) {
        return LineKind::Malformed("control character or line continuation");
    }
    if let Some(rest) = line.strip_prefix('[') {
        return match rest.strip_suffix(']').map(str::trim) {
            Some(name) if is_valid_name(name) && !name.contains(['[', ']']) => {
                LineKind::Section(name)
            }
            _ => LineKind::Malformed("malformed section"),
        };
    }
    match line.split_once(['=', ':']) {
        Some((key, _)) if is_valid_name(key.trim_end()) => LineKind::Pair(key.trim_end()),
        _ => LineKind::Malformed(
            "neither a section, a key nor a comment, or a name that is too long",
        ),
    }
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}
