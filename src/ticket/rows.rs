//! Keys and encoding of the table rows that store tickets and the state in force.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Digest;
use sha2::Sha256;

use crate::ids::ServiceId;
use crate::ids::TicketNumber;
use crate::ticket::InForce;
use crate::ticket::Keying;

/// The key of the row that contains the number of the ticket in force.
pub const IN_FORCE_KEY: &str = "in-force";
/// The key prefix of the services' rows.
pub const SERVICE_PREFIX: &str = "service/";

/// The value of the row `in-force`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct InForceRow {
    /// The number of the ticket in force.
    pub number: TicketNumber,
    /// The SHA-256 digest of the state in force; see [`state_digest`].
    #[serde(with = "serde_bytes")]
    pub digest: Vec<u8>,
    /// The keying of each removed keyed service.
    #[serde(default)]
    pub retired: BTreeMap<ServiceId, Keying>,
}

/// Returns the key of the row that stores a ticket's text.
pub fn ticket_key(number: TicketNumber) -> String {
    format!("ticket/{number}")
}

/// Returns the key of the row that stores a service as a CBOR-encoded
/// [`crate::ticket::Service`].
pub fn service_key(name: &ServiceId) -> String {
    format!("{SERVICE_PREFIX}{name}")
}

/// Returns the SHA-256 digest of a state's CBOR encoding.
pub(super) fn state_digest(state: &InForce) -> Vec<u8> {
    Sha256::digest(encode(state)).to_vec()
}

pub(super) fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory cannot fail");
    bytes
}

pub(super) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
