//! Loading the state in force from its rows.

use std::collections::BTreeMap;

use thiserror::Error;

use crate::ids::ServiceId;
use crate::platform::Row;
use crate::platform::TableError;
use crate::ticket::InForce;
use crate::ticket::Keying;
use crate::ticket::Service;
use crate::ticket::Ticket;
use crate::ticket::rows;
use crate::ticket::rows::InForceRow;

/// The state in force with the revision of the row that names it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The revision of the row `in-force`; 0 before the first ticket.
    pub revision: u64,
    /// The state in force.
    pub state: InForce,
    /// How the keyed services that were removed divided their keys.
    pub retired: BTreeMap<ServiceId, Keying>,
}

/// Why the state in force could not be loaded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LoadError {
    /// A ticket was accepted between the reads.
    #[error("the rows read belong to different tickets; read them again")]
    Torn,
    /// A row does not hold what this release writes.
    #[error("row {0} is malformed; check that all VMs run the same release")]
    Malformed(String),
    /// The table service failed.
    #[error(transparent)]
    Table(#[from] TableError),
}

impl Snapshot {
    /// Joins the row `in-force` with the rows of the services, read after it.
    pub fn from_rows(in_force: Option<&Row>, services: &[Row]) -> Result<Self, LoadError> {
        let Some(row) = in_force else {
            return match services {
                [] => Ok(Self::default()),
                _ => Err(LoadError::Torn),
            };
        };
        let malformed = || LoadError::Malformed(row.key.clone());
        let head: InForceRow = rows::decode(&row.value).ok_or_else(malformed)?;
        let state = InForce {
            number: head.number,
            services: services.iter().map(service).collect::<Result<_, _>>()?,
        };
        match rows::state_digest(&state) == head.digest {
            true => Ok(Self {
                revision: row.revision,
                state,
                retired: head.retired,
            }),
            false => Err(LoadError::Torn),
        }
    }
}

impl Snapshot {
    /// Returns the keyed services that are removed once a ticket is in force.
    pub(super) fn retired_after(&self, ticket: &Ticket) -> BTreeMap<ServiceId, Keying> {
        let mut retired = self.retired.clone();
        for name in &ticket.removed {
            let service = self.state.services.get(name);
            if let Some(keying) = service.and_then(|service| service.keying.clone()) {
                retired.insert(name.clone(), keying);
            }
        }
        retired
    }
}

fn service(row: &Row) -> Result<(ServiceId, Service), LoadError> {
    let name = row.key.strip_prefix(rows::SERVICE_PREFIX);
    let value = rows::decode(&row.value);
    name.map(ServiceId::from)
        .zip(value)
        .ok_or_else(|| LoadError::Malformed(row.key.clone()))
}

impl InForce {
    /// Returns the services that differ from an older state; `None` for a removed one.
    pub fn changes_from(&self, older: &Self) -> BTreeMap<ServiceId, Option<Service>> {
        let changed =
            |(name, service): &(&ServiceId, &Service)| older.services.get(*name) != Some(*service);
        let set = self.services.iter().filter(changed);
        let gone = older.services.keys();
        let gone = gone.filter(|name| !self.services.contains_key(*name));
        set.map(|(name, service)| (name.clone(), Some(service.clone())))
            .chain(gone.map(|name| (name.clone(), None)))
            .collect()
    }
}
