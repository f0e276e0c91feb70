//! A parsed file and the diagnostics found in it so far.

use std::collections::HashSet;

use ini::Ini;
use ini::ParseOption;

use crate::inifile::Diagnostic;
use crate::inifile::Diagnostics;
use crate::inifile::Section;
use crate::inifile::lines::Lines;

/// A parsed file; its sections are read through [`Section`]s that gather the diagnostics.
#[derive(Debug)]
pub struct Document {
    /// The diagnostics found so far.
    pub diagnostics: Diagnostics,
    ini: Ini,
    lines: Lines,
}

impl Document {
    /// Parses a text of at most `max_bytes`.
    pub fn parse(file: &str, text: &str, max_bytes: usize) -> Self {
        let mut diagnostics = Diagnostics::new(file);
        let text = if text.len() <= max_bytes { text } else { "" };
        if text.is_empty() {
            let problem = format!("empty, or larger than {max_bytes} bytes");
            diagnostics.push(whole_file(problem, "check that it is the right file"));
        }
        let lines = Lines::read(text, &mut diagnostics);
        let ini = parse(&lines.text).unwrap_or_else(|error| {
            let problem = format!("line {} is malformed: {}", error.line, error.msg);
            diagnostics.push(whole_file(problem, "correct the line"));
            Ini::new()
        });
        Self {
            diagnostics,
            ini,
            lines,
        }
    }

    /// Returns the names of the sections, in the order of the file; empty before the first.
    pub fn section_names(&self) -> Vec<String> {
        let mut seen = HashSet::new();
        let mut names = Vec::new();
        for name in self.ini.sections() {
            let name = name.unwrap_or_default();
            let unused = name.is_empty() && self.ini.general_section().is_empty();
            if !unused && seen.insert(name) {
                names.push(name.to_owned());
            }
        }
        names
    }

    /// Opens a section; a missing one reads as empty.
    pub fn section<'a>(&'a mut self, name: &'a str) -> Section<'a> {
        let pairs = self.ini.section(given(name)).into_iter().flatten();
        Section::new(name, pairs.collect(), &self.lines, &mut self.diagnostics)
    }

    /// Adds a fault at a section's line.
    pub fn add_diagnostic(&mut self, section: &str, key: &str, problem: &str, remedy: &str) {
        self.diagnostics.push(Diagnostic {
            line: self.lines.line_of(section, key),
            section: section.to_owned(),
            key: key.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        });
    }
}

fn parse(text: &str) -> Result<Ini, ini::ParseError> {
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    Ini::load_from_str_opt(text, options)
}

fn given(name: &str) -> Option<&str> {
    (!name.is_empty()).then_some(name)
}

fn whole_file(problem: String, remedy: &str) -> Diagnostic {
    Diagnostic {
        line: 0,
        section: String::new(),
        key: String::new(),
        problem,
        remedy: remedy.to_owned(),
    }
}
