//! Parsing of a ticket from INI text.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::TicketNumber;
use crate::inifile::Diagnostic;
use crate::inifile::Diagnostics;
use crate::inifile::Document;
use crate::inifile::Section;
use crate::inifile::ValueFormat;
use crate::inifile::formats;
use crate::ticket::KeySource;
use crate::ticket::Keying;
use crate::ticket::Service;
use crate::ticket::Target;
use crate::ticket::TargetState;
use crate::ticket::Ticket;
use crate::ticket::check;

/// The maximum size of a ticket's text, in bytes.
pub const MAX_TICKET_BYTES: usize = 4 << 20;
const MAX_TICKET_NUMBER: u64 = 1_000_000_000_000;
// Limits path prefixes and header names.
const MAX_TEXT_BYTES: usize = 256;
// The file name in error messages until the caller replaces it.
const FILE_NAME: &str = "ticket";
const DEFAULT_PRIORITY: u8 = 5;
const DEFAULT_SPREAD_PERCENT: u8 = 30;

const SECTION_REMEDY: &str = "write `[ticket]`, `[service NAME]`, `[target SERVICE NAME]` or \
     `[remove NAME]`, names being letters, digits, `-`, `_` or `.`";

/// All errors found in a ticket; displayed one per line.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize)]
#[error("{0}")]
pub struct TicketErrors(pub Diagnostics);

impl TicketErrors {
    /// Creates the errors from checks against the state in force, which have no line numbers.
    pub fn from_list(list: Vec<Diagnostic>) -> Self {
        Self(Diagnostics::from_list(FILE_NAME, list))
    }
}

const NUMBER: ValueFormat<u64> = ValueFormat {
    expected: "a whole number from 1 to 1000000000000",
    parse: |text| formats::parse_in_range(text, 1, MAX_TICKET_NUMBER),
};

const BASE: ValueFormat<u64> = ValueFormat {
    expected: "the number in force, a whole number from 0",
    parse: |text| formats::parse_in_range(text, 0, MAX_TICKET_NUMBER),
};

const PREFIX: ValueFormat<String> = ValueFormat {
    expected: "a path that starts with `/`, of at most 256 visible ASCII characters without `?`",
    parse: |text| {
        let visible = text.bytes().all(|b| b.is_ascii_graphic() && b != b'?');
        let fits = text.starts_with('/') && text.len() <= MAX_TEXT_BYTES;
        (visible && fits).then(|| text.to_owned())
    },
};

const KEY: ValueFormat<Option<KeySource>> = ValueFormat {
    expected: "`path`, or `header NAME`",
    parse: |text| match text.split_whitespace().collect::<Vec<_>>()[..] {
        ["path"] => Some(Some(KeySource::Path)),
        ["header", name] if is_header_name(name) => {
            Some(Some(KeySource::Header(name.to_ascii_lowercase())))
        }
        _ => None,
    },
};

const SHARDS: ValueFormat<u32> = ValueFormat {
    expected: "a power of two from 1 to 1048576",
    parse: |text| formats::parse_in_range(text, 1, 1 << 20).filter(|n: &u32| n.is_power_of_two()),
};

const GROUPS: ValueFormat<u16> = ValueFormat {
    expected: "a whole number from 1 to 1024",
    parse: |text| formats::parse_in_range(text, 1, 1024),
};

const GROUP: ValueFormat<u16> = ValueFormat {
    expected: "a whole number from 0, below the service's `groups`",
    parse: |text| formats::parse_in_range(text, 0, 1023),
};

const METHODS: ValueFormat<Vec<String>> = ValueFormat {
    expected: "methods in upper case set apart by spaces, such as `GET HEAD`, or `none`",
    parse: |text| match text {
        "none" => Some(Vec::new()),
        _ => formats::parse_list(text, |word| {
            let upper = word.len() <= 16 && word.bytes().all(|b| b.is_ascii_uppercase());
            upper.then(|| word.to_owned())
        }),
    },
};

const PRIORITY: ValueFormat<u8> = ValueFormat {
    expected: "a whole number from 0 to 9, higher is kept longer",
    parse: |text| formats::parse_in_range(text, 0, 9),
};

const SLOTS: ValueFormat<u16> = ValueFormat {
    expected: "a whole number from 1 to 4096",
    parse: |text| formats::parse_in_range(text, 1, 4096),
};

const CONNECTIONS: ValueFormat<u16> = ValueFormat {
    expected: "a whole number from 1 to 65535",
    parse: |text| formats::parse_in_range(text, 1, u16::MAX),
};

const STATE: ValueFormat<TargetState> = ValueFormat {
    expected: "`serving` or `leaving`",
    parse: |text| text.parse().ok(),
};

/// Parses a ticket and runs all checks that do not need the state in force.
///
/// # Errors
///
/// Returns all errors found, each with its line, section, key and remedy.
pub fn parse(text: &str) -> Result<Ticket, TicketErrors> {
    let mut doc = Document::parse(FILE_NAME, text, MAX_TICKET_BYTES);
    let names = doc.section_names();
    let mut sections = Sections::default();
    for name in &names {
        sections.read_section(&mut doc, name);
    }
    let header = read_ticket_section(&mut doc);
    let (number, base) = header.unwrap_or((TicketNumber(1), TicketNumber(0)));
    let ticket = sections.into_ticket(&mut doc, number, base);
    let mut findings = check::values(&ticket);
    if doc.diagnostics.is_empty() {
        findings.extend(check::coverage(&ticket));
    }
    for finding in findings {
        doc.add_diagnostic(
            &finding.section,
            &finding.key,
            &finding.problem,
            &finding.remedy,
        );
    }
    match doc.diagnostics.is_empty() {
        true => Ok(ticket),
        false => Err(TicketErrors(doc.diagnostics)),
    }
}

#[derive(Default)]
struct Sections {
    declared: Vec<ServiceId>,
    services: BTreeMap<ServiceId, Service>,
    targets: Vec<TargetSection>,
    removed: Vec<ServiceId>,
}

struct TargetSection {
    service: ServiceId,
    name: TargetId,
    section: String,
    target: Option<Target>,
}

impl Sections {
    fn read_section(&mut self, doc: &mut Document, section: &str) {
        let words: Vec<&str> = section.split_whitespace().collect();
        let valid_names = words
            .iter()
            .skip(1)
            .all(|word| formats::is_valid_name(word));
        match words[..] {
            ["ticket"] => {}
            ["service", name] if valid_names => {
                let name = ServiceId::from(name);
                if let Some(service) = read_service(doc.section(section)) {
                    self.services.insert(name.clone(), service);
                }
                self.declared.push(name);
            }
            ["target", service, name] if valid_names => self.targets.push(TargetSection {
                service: service.into(),
                name: name.into(),
                section: section.to_owned(),
                target: read_target(doc.section(section)),
            }),
            ["remove", name] if valid_names => {
                doc.section(section).finish();
                self.removed.push(name.into());
            }
            _ => doc.add_diagnostic(section, "", "unknown section", SECTION_REMEDY),
        }
    }

    fn into_ticket(
        mut self,
        doc: &mut Document,
        number: TicketNumber,
        base: TicketNumber,
    ) -> Ticket {
        for entry in self.targets {
            if !self.declared.contains(&entry.service) {
                let problem = format!("the ticket has no service {}", entry.service);
                let remedy = "add its [service] section, since a ticket carries services whole";
                doc.add_diagnostic(&entry.section, "", &problem, remedy);
            }
            let service = self.services.get_mut(&entry.service);
            if let (Some(service), Some(target)) = (service, entry.target) {
                service.targets.insert(entry.name, target);
            }
        }
        Ticket {
            number,
            base,
            services: self.services,
            removed: self.removed,
        }
    }
}

fn read_ticket_section(doc: &mut Document) -> Option<(TicketNumber, TicketNumber)> {
    let mut section = doc.section("ticket");
    let number = section.required("number", &NUMBER);
    let base = section.required("base", &BASE);
    section.finish();
    Some((TicketNumber(number?), TicketNumber(base?)))
}

fn read_service(mut section: Section<'_>) -> Option<Service> {
    let prefix = section.required("path", &PREFIX);
    let source = section.optional("key", &KEY, None);
    let keying = match source {
        Some(source) => read_keying(&mut section, source).map(Some),
        None => Some(None),
    };
    let idempotent = section.required("idempotent", &METHODS);
    let priority = section.optional("priority", &PRIORITY, DEFAULT_PRIORITY);
    let spread_percent = section.optional("spread", &formats::PERCENT, DEFAULT_SPREAD_PERCENT);
    let deadline = section.required("deadline", &formats::DURATION);
    section.finish();
    Some(Service {
        prefix: prefix?,
        keying: keying?,
        idempotent: idempotent?,
        priority,
        spread_percent,
        deadline_ms: as_millis(deadline?),
        targets: BTreeMap::new(),
    })
}

fn read_keying(section: &mut Section<'_>, source: KeySource) -> Option<Keying> {
    let shards = section.required("shards", &SHARDS);
    let groups = section.optional("groups", &GROUPS, 1);
    Some(Keying {
        source,
        shards: shards?,
        groups,
    })
}

fn read_target(mut section: Section<'_>) -> Option<Target> {
    let address = section.required("address", &formats::ADDRESS);
    let data_centre = section.required("data_centre", &formats::NAME);
    let slots = section.required("slots", &SLOTS);
    let connections = section.required("connections", &CONNECTIONS);
    let checks_term = section.required("checks_term", &formats::FLAG);
    let group = section.optional("group", &GROUP, 0);
    let state = section.optional("state", &STATE, TargetState::Serving);
    section.finish();
    Some(Target {
        address: address?,
        data_centre: DataCentre::from(data_centre?),
        slots: slots?,
        connections: connections?,
        checks_term: checks_term?,
        group,
        state,
    })
}

fn is_header_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_".contains(&b);
    !name.is_empty() && name.len() <= MAX_TEXT_BYTES && name.bytes().all(allowed)
}

fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
