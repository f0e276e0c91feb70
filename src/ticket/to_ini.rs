//! Formatting of a ticket as INI text.

use std::fmt;
use std::fmt::Write;
use std::time::Duration;

use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::inifile::formats;
use crate::ticket::InForce;
use crate::ticket::KeySource;
use crate::ticket::Service;
use crate::ticket::Target;
use crate::ticket::Ticket;

/// Returns the INI text of a ticket; [`crate::ticket::parse()`] is the inverse.
pub fn to_ini(ticket: &Ticket) -> String {
    let mut text = String::new();
    write_ticket(&mut text, ticket).expect("writing to memory cannot fail");
    text
}

impl InForce {
    /// Returns a ticket that restates this state under the next number, as a template for edits.
    pub fn next_ticket(&self) -> Ticket {
        Ticket {
            number: self.number.next(),
            base: self.number,
            services: self.services.clone(),
            removed: Vec::new(),
        }
    }
}

fn write_ticket(text: &mut String, ticket: &Ticket) -> fmt::Result {
    writeln!(text, "[ticket]")?;
    writeln!(text, "number = {}", ticket.number)?;
    writeln!(text, "base = {}", ticket.base)?;
    for (name, service) in &ticket.services {
        write_service(text, name, service)?;
        for (target_name, target) in &service.targets {
            write_target(text, name, target_name, target)?;
        }
    }
    for name in &ticket.removed {
        writeln!(text, "\n[remove {name}]")?;
    }
    Ok(())
}

fn write_service(text: &mut String, name: &ServiceId, service: &Service) -> fmt::Result {
    writeln!(text, "\n[service {name}]")?;
    writeln!(text, "path = {}", service.prefix)?;
    if let Some(keying) = &service.keying {
        match &keying.source {
            KeySource::Path => writeln!(text, "key = path")?,
            KeySource::Header(header) => writeln!(text, "key = header {header}")?,
        }
        writeln!(text, "shards = {}", keying.shards)?;
        writeln!(text, "groups = {}", keying.groups)?;
    }
    match service.idempotent.as_slice() {
        [] => writeln!(text, "idempotent = none")?,
        methods => writeln!(text, "idempotent = {}", methods.join(" "))?,
    }
    writeln!(text, "priority = {}", service.priority)?;
    writeln!(text, "spread = {} %", service.spread_percent)?;
    let deadline = Duration::from_millis(service.deadline_ms);
    writeln!(text, "deadline = {}", formats::format_duration(deadline))
}

fn write_target(
    text: &mut String,
    service: &ServiceId,
    name: &TargetId,
    target: &Target,
) -> fmt::Result {
    writeln!(text, "\n[target {service} {name}]")?;
    writeln!(text, "address = {}", target.address)?;
    writeln!(text, "data_centre = {}", target.data_centre)?;
    writeln!(text, "slots = {}", target.slots)?;
    writeln!(text, "connections = {}", target.connections)?;
    let checks = if target.checks_term { "yes" } else { "no" };
    writeln!(text, "checks_term = {checks}")?;
    writeln!(text, "group = {}", target.group)?;
    writeln!(text, "state = {}", target.state)
}
