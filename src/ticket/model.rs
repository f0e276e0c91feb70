//! The data model of tickets, services and targets.

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

/// A numbered configuration change: the complete new state of each service that it names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The number of this ticket; higher than `base`.
    pub number: TicketNumber,
    /// The number of the ticket in force that this ticket replaces.
    pub base: TicketNumber,
    /// The added and changed services, each in its complete new state.
    pub services: BTreeMap<ServiceId, Service>,
    /// The services to remove.
    pub removed: Vec<ServiceId>,
}

/// The state in force: the result of applying all accepted tickets up to a number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The number of the newest accepted ticket.
    pub number: TicketNumber,
    /// All services, by name.
    pub services: BTreeMap<ServiceId, Service>,
}

/// A service and its targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The path prefix of the service's requests.
    pub prefix: String,
    /// How keys are assigned to shards; `None` for an unkeyed service.
    pub keying: Option<Keying>,
    /// The idempotent methods, in upper case; a retry may run such a request twice.
    pub idempotent: Vec<String>,
    /// The priority from 0 to 9; requests of lower priority are shed first.
    pub priority: u8,
    /// How readily requests are sent to other data centres as load rises: 0 keeps them in the
    /// caller's data centre, 100 spreads them evenly over all data centres.
    pub spread_percent: u8,
    /// The time limit of a request, in milliseconds.
    pub deadline_ms: u64,
    /// The targets, by name.
    pub targets: BTreeMap<TargetId, Target>,
}

/// How a keyed service assigns its keys to shards and the shards to groups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keying {
    /// The part of a request that contains the key.
    pub source: KeySource,
    /// The number of hashed shards: a power of two, constant for the lifetime of a service.
    pub shards: u32,
    /// The number of groups, at least 1; each has an equal, contiguous range of the shards.
    pub groups: u16,
}

impl Keying {
    /// Returns the hashed shard of the key with this hash.
    pub fn shard_of(&self, key_hash: u64) -> Shard {
        Shard((key_hash % u64::from(self.shards)) as u32)
    }

    /// Returns the group of a hashed shard.
    pub fn group_of(&self, shard: Shard) -> u16 {
        let scaled = u64::from(shard.0) * u64::from(self.groups);
        (scaled / u64::from(self.shards)) as u16
    }
}

/// The part of a request that contains the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeySource {
    /// The first path segment after the prefix.
    Path,
    /// The value of the header with this lower-case name.
    Header(String),
}

/// A server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The address on which the target accepts connections.
    pub address: SocketAddr,
    /// The data centre in which the target runs.
    pub data_centre: DataCentre,
    /// The maximum number of requests that the target runs at once.
    pub slots: u16,
    /// The maximum number of connections that the target accepts from all entries together.
    pub connections: u16,
    /// True if the target rejects orders of an older term.
    pub checks_term: bool,
    /// The index of the group that the target serves; 0 in services with one group.
    pub group: u16,
    /// Whether the target accepts new requests.
    pub state: TargetState,
}

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum TargetState {
    /// The target accepts new requests.
    Serving,
    /// The target completes its running requests and accepts no new ones.
    Leaving,
}

impl InForce {
    /// Returns the state after `ticket`, whose base must be this state.
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
