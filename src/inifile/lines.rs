//! The lines of a file: where each section and key stands, and lines of no valid shape.

use std::collections::HashMap;

use crate::inifile::Fault;
use crate::inifile::Faults;

const SHAPES: &str = "write `[section]`, `key = value` or a comment that starts the line with `;`";

/// A file's lines, with comments and malformed lines blanked out.
#[derive(Debug, Default)]
pub(super) struct Lines {
    /// The text that is left for the parser, line by line as in the file.
    pub text: String,
    places: HashMap<Place, usize>,
    section: String,
}

#[derive(Debug, PartialEq, Eq, Hash)]
struct Place {
    section: String,
    key: String,
}

enum Shape<'a> {
    Nothing,
    Section(&'a str),
    Pair(&'a str),
    Malformed(&'static str),
}

impl Lines {
    /// Reads the lines of a text and reports the malformed and the doubled ones.
    pub fn read(text: &str, faults: &mut Faults) -> Self {
        let mut lines = Self::default();
        for (i, line) in text.lines().enumerate() {
            lines.take(i + 1, line.trim(), faults);
            lines.text.push('\n');
        }
        lines
    }

    /// Returns the line of a key, or of its section, or 0.
    pub fn line_of(&self, section: &str, key: &str) -> usize {
        let place = |key: &str| Place {
            section: section.to_owned(),
            key: key.to_owned(),
        };
        let line = self.places.get(&place(key));
        line.or_else(|| self.places.get(&place("")))
            .copied()
            .unwrap_or(0)
    }

    fn take(&mut self, number: usize, line: &str, faults: &mut Faults) {
        let key = match shape(line) {
            Shape::Nothing => return,
            Shape::Malformed(problem) => {
                faults.push(self.fault(number, "", problem, SHAPES));
                return;
            }
            Shape::Section(name) => {
                name.clone_into(&mut self.section);
                ""
            }
            Shape::Pair(key) => key,
        };
        let place = Place {
            section: self.section.clone(),
            key: key.to_owned(),
        };
        if let Some(first) = self.places.get(&place) {
            let problem = format!("given a second time, first on line {first}");
            faults.push(self.fault(number, key, &problem, "keep one of the two"));
            if !key.is_empty() {
                return;
            }
        } else {
            self.places.insert(place, number);
        }
        self.text.push_str(line);
    }

    fn fault(&self, line: usize, key: &str, problem: &str, remedy: &str) -> Fault {
        Fault {
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
            Some(name) if !name.is_empty() && !name.contains(['[', ']']) => Shape::Section(name),
            _ => Shape::Malformed("malformed section"),
        };
    }
    match line.split_once(['=', ':']) {
        Some((key, _)) if !key.trim().is_empty() => Shape::Pair(key.trim_end()),
        _ => Shape::Malformed("neither a section, a key nor a comment"),
    }
}
