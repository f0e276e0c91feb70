//! Validation of a parsed ticket, by itself and against the state in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::inifile::Diagnostic;
use crate::ticket::InForce;
use crate::ticket::Keying;
use crate::ticket::Service;
use crate::ticket::Target;
use crate::ticket::TargetState;
use crate::ticket::Ticket;

/// The maximum number of services in force.
pub const MAX_SERVICES: usize = 1_000;
/// The maximum number of targets of all services in force.
pub const MAX_TARGETS: usize = 20_000;
/// The maximum deadline of a service, in milliseconds: 24 hours.
pub const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;

/// Checks the values of a ticket for consistency, without the state in force.
pub fn values(ticket: &Ticket) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    check_head(ticket, &mut diagnostics);
    for (name, service) in &ticket.services {
        check_service(name, service, &mut diagnostics);
    }
    check_unique(&ticket.services, &ticket.services, &mut diagnostics);
    diagnostics
}

/// Checks that a ticket changes something and that each group of its services has a serving target.
pub fn coverage(ticket: &Ticket) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    if ticket.services.is_empty() && ticket.removed.is_empty() {
        let remedy = "add a [service] with its targets, or a [remove]";
        diagnostics.push(diagnostic(
            "ticket".to_owned(),
            "",
            "changes nothing",
            remedy,
        ));
    }
    for (name, service) in &ticket.services {
        for group in 0..groups(service) {
            if !serving(service).any(|target| target.group == group) {
                let problem = match service.keying {
                    Some(_) => format!("group {group} has no serving target"),
                    None => "the service has no serving target".to_owned(),
                };
                let remedy = "add a target in state serving, or remove the service";
                diagnostics.push(diagnostic(service_section(name), "", &problem, remedy));
            }
        }
    }
    diagnostics
}

/// Checks a ticket against the state in force: removed services exist, and changed services keep
/// their keying and the addresses of their targets.
pub fn change(state: &InForce, ticket: &Ticket) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    for name in &ticket.removed {
        if !state.services.contains_key(name) {
            let problem = "the service is not in force";
            let remedy = "leave the section out, or correct the name";
            diagnostics.push(diagnostic(format!("remove {name}"), "", problem, remedy));
        }
    }
    for (name, service) in &ticket.services {
        if let Some(old) = state.services.get(name) {
            check_unchanged(name, old, service, &mut diagnostics);
        }
    }
    let next = state.apply(ticket);
    check_sizes(&next, &mut diagnostics);
    check_unique(&ticket.services, &next.services, &mut diagnostics);
    diagnostics
}

/// Checks that a service that was removed earlier is added again with the same keying.
pub fn readded_services(retired: &BTreeMap<ServiceId, Keying>, ticket: &Ticket) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    for (name, service) in &ticket.services {
        let Some(keying) = retired.get(name) else {
            continue;
        };
        if service.keying.as_ref() != Some(keying) {
            let was = describe(&Some(keying.clone()));
            let problem = format!("a removed service of this name divided its keys by {was}");
            let remedy = "divide them the same way, or give the service a name that was not used";
            diagnostics.push(diagnostic(service_section(name), "key", &problem, remedy));
        }
    }
    diagnostics
}

fn check_head(ticket: &Ticket, diagnostics: &mut Vec<Diagnostic>) {
    if ticket.number <= ticket.base {
        let problem = format!("{} is not above the base {}", ticket.number, ticket.base);
        let remedy = "give the ticket a number above its base";
        diagnostics.push(diagnostic("ticket".to_owned(), "number", &problem, remedy));
    }
    for name in &ticket.removed {
        if ticket.services.contains_key(name) {
            let problem = "the ticket also carries the service";
            let remedy = "keep either the [service] or the [remove]";
            diagnostics.push(diagnostic(format!("remove {name}"), "", problem, remedy));
        }
    }
}

fn check_service(name: &ServiceId, service: &Service, diagnostics: &mut Vec<Diagnostic>) {
    let section = service_section(name);
    if service.deadline_ms > MAX_DEADLINE_MS {
        let problem = "longer than a day";
        diagnostics.push(diagnostic(
            section.clone(),
            "deadline",
            problem,
            "give at most `24 h`",
        ));
    }
    if let Some(keying) = &service.keying
        && u32::from(keying.groups) > keying.shards
    {
        let problem = "more groups than shards";
        diagnostics.push(diagnostic(
            section,
            "groups",
            problem,
            "give at most one group a shard",
        ));
    }
    for (target_name, target) in &service.targets {
        check_target(
            &target_section(name, target_name),
            service,
            target,
            diagnostics,
        );
    }
}

fn check_target(
    section: &str,
    service: &Service,
    target: &Target,
    diagnostics: &mut Vec<Diagnostic>,
) {
    if target.group >= groups(service) {
        let problem = format!("the service has no group {}", target.group);
        let remedy = "give a group below the service's `groups`, or leave the key out";
        diagnostics.push(diagnostic(section.to_owned(), "group", &problem, remedy));
    }
    if target.connections < target.slots {
        let problem = "fewer connections than slots";
        let remedy = "give at least one connection a slot";
        diagnostics.push(diagnostic(
            section.to_owned(),
            "connections",
            problem,
            remedy,
        ));
    }
    if target.address.port() == 0 || target.address.ip().is_unspecified() {
        let problem = format!("nobody can connect to {}", target.address);
        let remedy = "give the target's own IP address and port";
        diagnostics.push(diagnostic(section.to_owned(), "address", &problem, remedy));
    }
}

// Checks that the keying of a service and the addresses of its targets are unchanged: otherwise two
// targets could serve the same key until the earlier grants expire.
fn check_unchanged(
    name: &ServiceId,
    old: &Service,
    new: &Service,
    diagnostics: &mut Vec<Diagnostic>,
) {
    if old.keying != new.keying {
        let problem = format!("the keys are divided by {} in force", describe(&old.keying));
        let remedy = "keep `key`, `shards` and `groups` as they are in force, or remove the \
                      service and add it under another name";
        diagnostics.push(diagnostic(service_section(name), "key", &problem, remedy));
    }
    for (target_name, target) in &new.targets {
        let Some(current) = old.targets.get(target_name) else {
            continue;
        };
        if current.address != target.address {
            let problem = format!("the target is at {} in force", current.address);
            let remedy = "give the server at the new address a target name of its own";
            let section = target_section(name, target_name);
            diagnostics.push(diagnostic(section, "address", &problem, remedy));
        }
    }
}

fn check_sizes(next: &InForce, diagnostics: &mut Vec<Diagnostic>) {
    let targets: usize = next.services.values().map(|s| s.targets.len()).sum();
    if next.services.len() > MAX_SERVICES || targets > MAX_TARGETS {
        let problem = format!("{} services with {targets} targets", next.services.len());
        let remedy = format!("keep to {MAX_SERVICES} services and {MAX_TARGETS} targets in all");
        diagnostics.push(diagnostic("ticket".to_owned(), "", &problem, &remedy));
    }
}

// Checks that no two services share a path prefix and no two targets an address. Conflicts are
// reported for the services in `changed`.
fn check_unique(
    changed: &BTreeMap<ServiceId, Service>,
    all: &BTreeMap<ServiceId, Service>,
    diagnostics: &mut Vec<Diagnostic>,
) {
    let mut prefixes: BTreeMap<&str, &ServiceId> = BTreeMap::new();
    let mut addresses: BTreeMap<SocketAddr, (&ServiceId, &TargetId)> = BTreeMap::new();
    let unchanged = all.iter().filter(|(name, _)| !changed.contains_key(*name));
    for (name, service) in unchanged.chain(changed) {
        if let Some(other) = prefixes.insert(&service.prefix, name) {
            let problem = format!("service {other} has the same path");
            let remedy = "give each service a path of its own";
            diagnostics.push(diagnostic(service_section(name), "path", &problem, remedy));
        }
        for (target_name, target) in &service.targets {
            let previous = addresses.insert(target.address, (name, target_name));
            if let Some((other_service, other)) = previous {
                let problem = format!("target {other_service} {other} has the same address");
                let section = target_section(name, target_name);
                diagnostics.push(diagnostic(
                    section,
                    "address",
                    &problem,
                    "give each target its own",
                ));
            }
        }
    }
}

fn groups(service: &Service) -> u16 {
    service.keying.as_ref().map_or(1, |keying| keying.groups)
}

fn serving(service: &Service) -> impl Iterator<Item = &Target> {
    let targets = service.targets.values();
    targets.filter(|target| target.state == TargetState::Serving)
}

fn describe(keying: &Option<Keying>) -> String {
    match keying {
        None => "no key".to_owned(),
        Some(keying) => format!(
            "{:?} into {} shards and {} groups",
            keying.source, keying.shards, keying.groups
        ),
    }
}

fn service_section(name: &ServiceId) -> String {
    format!("service {name}")
}

fn target_section(service: &ServiceId, target: &TargetId) -> String {
    format!("target {service} {target}")
}

fn diagnostic(section: String, key: &str, problem: &str, remedy: &str) -> Diagnostic {
    Diagnostic {
        line: 0,
        section,
        key: key.to_owned(),
        problem: problem.to_owned(),
        remedy: remedy.to_owned(),
    }
}
