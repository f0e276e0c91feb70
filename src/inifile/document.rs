//! A parsed INI file and the diagnostics found in it so far.

use std::collections::HashSet;

use ini::Ini;
use ini::ParseOption;

use crate::inifile::Diagnostic;
use crate::inifile::Diagnostics;
use crate::inifile::Section;
use crate::inifile::lines::Lines;

/// A parsed INI file. Sections are read through [`Section`], which adds to the diagnostics.
#[derive(Debug)]
pub struct Document {
    /// The diagnostics found so far.
    pub diagnostics: Diagnostics,
    ini: Ini,
    lines: Lines,
}

impl Document {
    /// Parses the text of `file`. A text longer than `max_bytes` is an error.
    pub fn parse(file: &str, text: &str, max_bytes: usize) -> Self {
        let mut diagnostics = Diagnostics::new(file);
        let text = if text.len() <= max_bytes { text } else { "" };
        if text.is_empty() {
            let problem = format!("empty, or larger than {max_bytes} bytes");
            diagnostics.push(file_diagnostic(problem, "check that it is the right file"));
        }
        let lines = Lines::read(text, &mut diagnostics);
        let ini = parse(&lines.text).unwrap_or_else(|error| {
            let problem = format!("line {} is malformed: {}", error.line, error.msg);
            diagnostics.push(file_diagnostic(problem, "correct the line"));
            Ini::new()
        });
        Self {
            diagnostics,
            ini,
            lines,
        }
    }

    /// Returns the section names in file order. The name of keys before the first section is empty.
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

    /// Opens a section for reading. A missing section has no keys.
    pub fn section<'a>(&'a mut self, name: &'a str) -> Section<'a> {
        let pairs = self.ini.section(section_key(name)).into_iter().flatten();
        Section::new(name, pairs.collect(), &self.lines, &mut self.diagnostics)
    }

    /// Adds a diagnostic at the line of the key, or of the section if the key has none.
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

fn section_key(name: &str) -> Option<&str> {
    (!name.is_empty()).then_some(name)
}

fn file_diagnostic(problem: String, remedy: &str) -> Diagnostic {
    Diagnostic {
        line: 0,
        section: String::new(),
        key: String::new(),
        problem,
        remedy: remedy.to_owned(),
    }
}
