//! The node's own rows in the platform's table.

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

/// The start of the keys of the rows of nodes.
pub const NODE_PREFIX: &str = "node/";

/// A node, as it tells the others of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentre,
}

/// Returns the key of a node's row.
pub fn node_key(node: &VmId) -> String {
    format!("{NODE_PREFIX}{node}")
}

/// Returns the key of a service's lease.
pub fn lease_key(service: &ServiceId) -> String {
    format!("lease/{service}")
}

/// Returns the key of the owners of a service's keys.
pub fn map_key(service: &ServiceId) -> String {
    format!("keys/{service}")
}

/// Returns the change that writes a row.
pub fn put(key: String, value: &impl Serialize) -> Mutation {
    let mut bytes = Vec::new();
    into_writer(value, &mut bytes).expect("writing to memory cannot fail");
    Mutation::Put { key, value: bytes }
}

/// Reads the value of a row; `None` when it is malformed.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    from_reader(value).ok()
}
