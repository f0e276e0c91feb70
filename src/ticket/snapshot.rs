//! Assembles the state in force from its table rows and detects inconsistent reads.

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

/// The state in force and the revision of the row `in-force` that it was read from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The revision of the row `in-force`; 0 before the first ticket.
    pub revision: u64,
    /// The services and targets in force.
    pub state: InForce,
    /// The keying of each removed keyed service.
    pub retired: BTreeMap<ServiceId, Keying>,
}

/// The reason why the state in force could not be loaded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LoadError {
    /// A ticket was accepted between the reads.
    #[error("the rows read belong to different tickets; read them again")]
    Torn,
    /// The value of a row cannot be decoded.
    #[error("row {0} is malformed; check that all VMs run the same release")]
    Malformed(String),
    /// A request to the table service failed.
    #[error(transparent)]
    Table(#[from] TableError),
}

impl Snapshot {
    /// Assembles a snapshot from the row `in-force` and the services' rows, read after it.
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
            services: services
                .iter()
                .map(decode_service)
                .collect::<Result<_, _>>()?,
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
    /// Returns the keying of each removed keyed service once `ticket` is in force.
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

fn decode_service(row: &Row) -> Result<(ServiceId, Service), LoadError> {
    let name = row.key.strip_prefix(rows::SERVICE_PREFIX);
    let value = rows::decode(&row.value);
    name.map(ServiceId::from)
        .zip(value)
        .ok_or_else(|| LoadError::Malformed(row.key.clone()))
}

impl InForce {
    /// Returns the services that differ from `older`; `None` for each removed service.
    pub fn changes_from(&self, older: &Self) -> BTreeMap<ServiceId, Option<Service>> {
        let changed =
            |(name, service): &(&ServiceId, &Service)| older.services.get(*name) != Some(*service);
        let added_or_changed = self.services.iter().filter(changed);
        let removed = older.services.keys();
        let removed = removed.filter(|name| !self.services.contains_key(*name));
        added_or_changed
            .map(|(name, service)| (name.clone(), Some(service.clone())))
            .chain(removed.map(|name| (name.clone(), None)))
            .collect()
    }
}
