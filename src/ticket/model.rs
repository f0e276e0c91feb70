//! The state that tickets carry.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::ids::Shard;
use crate::ids::TargetId;
use crate::ids::TicketNumber;

/// One numbered change: the whole new state of each service that it names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The ticket's own number; above the base.
    pub number: TicketNumber,
    /// The number in force that the ticket was written against.
    pub base: TicketNumber,
    /// The services as they are to be.
    pub services: BTreeMap<ServiceId, Service>,
    /// Services to remove.
    pub removed: Vec<ServiceId>,
}

/// The whole state in force: the result of all accepted tickets up to a number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The number of the newest accepted ticket.
    pub number: TicketNumber,
    /// Every service, by name.
    pub services: BTreeMap<ServiceId, Service>,
}

/// One service and the targets that serve it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Requests whose path starts with this prefix belong to the service.
    pub prefix: String,
    /// How the service divides its keys; `None` for an unkeyed service.
    pub keying: Option<Keying>,
    /// Upper-case methods that may run twice without harm.
    pub idempotent: Vec<String>,
    /// Value of the work when capacity is short; higher is kept longer.
    pub priority: u8,
    /// How far from the caller's data centre work is sent, in load: 0 keeps work near, 100 spreads
    /// it evenly over all data centres.
    pub spread_percent: u8,
    /// The longest time a request may take, in milliseconds.
    pub deadline_ms: u64,
    /// The targets, by name.
    pub targets: BTreeMap<TargetId, Target>,
}

/// How a keyed service divides its keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keying {
    /// Where a request carries its key.
    pub source: KeySource,
    /// The number of hashed shards; a power of two that never changes for a service.
    pub shards: u32,
    /// The number of groups that share the shards in equal, contiguous ranges; at least 1.
    pub groups: u16,
}

impl Keying {
    /// Returns the hashed shard of a key.
    pub fn shard_of(&self, key_hash: u64) -> Shard {
        Shard((key_hash % u64::from(self.shards)) as u32)
    }

    /// Returns the group of a hashed shard.
    pub fn group_of(&self, shard: Shard) -> u16 {
        let scaled = u64::from(shard.0) * u64::from(self.groups);
        (scaled / u64::from(self.shards)) as u16
    }
}

/// Where a request carries its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeySource {
    /// The first path segment after the prefix.
    Path,
    /// The value of a header, named in lower case.
    Header(String),
}

/// One server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Where the target listens.
    pub address: SocketAddr,
    /// Where the target runs.
    pub data_centre: DataCentre,
    /// Requests that the target runs at a time.
    pub slots: u16,
    /// Connections that the target takes over all entries.
    pub connections: u16,
    /// Whether the target refuses orders of an older term.
    pub checks_term: bool,
    /// The group of a keyed service that the target serves; 0 where there is one group.
    pub group: u16,
    /// Whether the target takes new work.
    pub state: TargetState,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum TargetState {
    /// The target takes new work.
    Serving,
    /// The target finishes its work and takes no new.
    Leaving,
}

impl InForce {
    /// Returns the state after a ticket, which must name this state as its base.
    pub fn apply(&self, ticket: &Ticket) -> Self {
        let mut services = self.services.clone();
        for name in &ticket.removed {
            services.remove(name);
        }
        services.extend(ticket.services.clone());
        Self {
            number: ticket.number,
            services,
        }
    }
}
