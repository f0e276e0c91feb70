//! Keys and CBOR encoding of the rows that nodes keep in the platform's table.

use std::net::SocketAddr;

use ciborium::de::from_reader;
use ciborium::ser::into_writer;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::ids::VmId;
use crate::platform::Mutation;

/// Key prefix of the rows in which nodes publish their addresses.
pub const NODE_PREFIX: &str = "node/";

/// The row in which a node publishes its address and location to the other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// The address on which the node receives datagrams.
    pub address: SocketAddr,
    /// The data centre in which the node runs.
    pub data_centre: DataCentre,
}

/// Returns the key of a node's [`NodeRow`].
pub fn node_key(node: &VmId) -> String {
    format!("{NODE_PREFIX}{node}")
}

/// Returns the key of the row that holds the leader lease of a service.
pub fn lease_key(service: &ServiceId) -> String {
    format!("lease/{service}")
}

/// Returns the key of the row that holds the key map of a service: which target owns which keys.
pub fn map_key(service: &ServiceId) -> String {
    format!("keys/{service}")
}

/// Returns the mutation that writes `value` as CBOR.
pub fn put(key: String, value: &impl Serialize) -> Mutation {
    let mut bytes = Vec::new();
    into_writer(value, &mut bytes).expect("writing to a Vec cannot fail");
    Mutation::Put { key, value: bytes }
}

/// Decodes the CBOR value of a row; returns `None` if it is malformed.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    from_reader(value).ok()
}
