//! The routing rules (routes, services and limits) and the lookup of a request's route and service.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::ServiceId;

/// A complete, versioned set of rules as the operators published it.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Increases with every change.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Settings of each service, by name.
    pub services: BTreeMap<ServiceId, ServiceRule>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

/// How requests for one host and path prefix are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route; stable across versions of the rules.
    pub name: String,
    /// Host name in lower case, without port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may be retried, and the size of their responses.
    pub kind: RequestKind,
    /// Time after which a caller gets an error instead of a response.
    pub timeout: Duration,
    /// Latency objective, shorter than the timeout.
    pub objective: Duration,
    /// Priority under overload; 0 is the highest.
    pub priority: u8,
    /// Maximum number of targets that one request may be sent to.
    pub max_attempts: u32,
    /// Services among which the requests are split.
    pub services: Vec<WeightedService>,
}

/// A service with its weight in a route's traffic split.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceId,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// Retry safety and response size of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent; may be retried and hedged.
    Safe,
    /// Not idempotent; must run at most once.
    Unsafe,
    /// Idempotent, with large responses.
    Download,
}

impl RequestKind {
    /// Returns true if a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Safe | Self::Download => true,
            Self::Unsafe => false,
        }
    }
}

/// Settings for the targets of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// The path at which a target names itself.
    pub identity_path: String,
    /// Maximum connections to one target, summed over all nodes.
    pub max_connections: u32,
    /// Whether each key of the service belongs to one target.
    pub keyed: bool,
    /// How long a target is slower for keys that it received without their state.
    pub warm_up: Duration,
    /// What a target tolerates after its start; `None` if that is not limited.
    pub cold_start: Option<ColdStart>,
}

/// What a target tolerates while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long a target is cold after its start.
    pub time: Duration,
    /// Requests per second that a cold target tolerates; above 0.
    pub rate: f64,
}

/// Size and time limits of callers' requests and connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum time from the first to the last byte of a request head.
    pub head_time: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_time: Duration,
}

/// Finds the route and service of a request.
#[derive(Debug)]
pub struct Router {
    rules: Rules,
    /// Indices into the routes by host, longest prefix first.
    routes_by_host: BTreeMap<String, Vec<usize>>,
    /// Round-robin state of each route: one credit per service.
    credits: RefCell<Vec<Vec<i64>>>,
}

impl Router {
    /// Indexes the rules by host.
    pub fn new(rules: Rules) -> Self {
        let mut routes_by_host: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (index, route) in rules.routes.iter().enumerate() {
            routes_by_host
                .entry(route.host.clone())
                .or_default()
                .push(index);
        }
        for list in routes_by_host.values_mut() {
            list.sort_by_key(|&index| std::cmp::Reverse(rules.routes[index].prefix.len()));
        }
        let credits = rules
            .routes
            .iter()
            .map(|route| vec![0; route.services.len()]);
        Self {
            credits: RefCell::new(credits.collect()),
            rules,
            routes_by_host,
        }
    }

    /// Returns the rules that this router applies.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Returns the index of the route with the longest prefix that matches host and path. The host
    /// may include a port.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let name = host.split(':').next().unwrap_or_default();
        let list = match self.routes_by_host.get(name) {
            Some(list) => list,
            None => self.routes_by_host.get(&name.to_ascii_lowercase())?,
        };
        let matches = |index: &&usize| path.starts_with(&self.rules.routes[**index].prefix);
        list.iter().find(matches).copied()
    }

    /// Returns the service for the route's next request, by smooth weighted round robin: in any
    /// sequence of requests, each service gets a share in proportion to its weight.
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
        let best = (0..services.len()).max_by_key(|&index| credits[index])?;
        credits[best] -= total;
        Some(&services[best].service)
    }
}
