//! The rules in force: routes, services and limits, and which route a request takes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::ServiceId;

/// What the operators have put in force, as one numbered whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Rises with every change.
    pub version: u64,
    /// The routes in any order.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<ServiceId, ServiceRule>,
    /// What a caller may send.
    pub limits: Limits,
}

/// How requests for one host and path prefix are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Names the route across versions.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The start of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full value.
    pub objective: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// The services that share the requests.
    pub services: Vec<WeightedService>,
}

/// One service's part of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the parts of the route.
    pub weight: u32,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent.
    Safe,
    /// Must run at most once.
    Unsafe,
    /// Idempotent, with large answers.
    Download,
}

impl Kind {
    /// Returns whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Safe | Self::Download => true,
            Self::Unsafe => false,
        }
    }
}

/// What holds for the targets of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Most connections that one target takes from all nodes together.
    pub max_connections: u32,
    /// Whether the service is divided by key.
    pub keyed: bool,
    /// How long a target is slow on keys that it got without their state.
    pub warm_up: Duration,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The longest head of a request, in bytes.
    pub head_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_bytes: u64,
    /// The longest time from the first byte of a head to its last.
    pub head_time: Duration,
    /// How long a connection may stay idle.
    pub idle_time: Duration,
}

/// Chooses the route and service of a request.
#[derive(Debug)]
pub struct Router {
    rules: Rules,
    /// Indices into the routes, by host; the longest prefix first.
    hosts: BTreeMap<String, Vec<usize>>,
    credits: RefCell<Vec<Vec<i64>>>,
}

impl Router {
    /// Prepares the rules for look-ups.
    pub fn new(rules: Rules) -> Self {
        let mut hosts: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (index, route) in rules.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for list in hosts.values_mut() {
            list.sort_by_key(|&index| std::cmp::Reverse(rules.routes[index].prefix.len()));
        }
        let credits = rules
            .routes
            .iter()
            .map(|route| vec![0; route.services.len()]);
        Self {
            credits: RefCell::new(credits.collect()),
            rules,
            hosts,
        }
    }

    /// Returns the rules.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Returns the index of the route of a host and path; the host may carry a port.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let name = host.split(':').next().unwrap_or_default();
        let list = match self.hosts.get(name) {
            Some(list) => list,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let matches = |index: &&usize| path.starts_with(&self.rules.routes[**index].prefix);
        list.iter().find(matches).copied()
    }

    /// Returns the service that takes the route's next request.
    ///
    /// Smooth weighted round robin: over any run of requests, each part gets its weight's share.
    pub fn next_service(&self, index: usize) -> Option<&ServiceId> {
        let services = &self.rules.routes[index].services;
        if services.len() < 2 {
            return services.first().map(|service| &service.service);
        }
        let credits = &mut self.credits.borrow_mut()[index];
        let total: i64 = services
            .iter()
            .map(|service| i64::from(service.weight))
            .sum();
        for (credit, service) in credits.iter_mut().zip(services) {
            *credit += i64::from(service.weight);
        }
        let best = (0..services.len()).max_by_key(|&at| credits[at])?;
        credits[best] -= total;
        Some(&services[best].service)
    }
}
