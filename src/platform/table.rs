//! The interfaces of the platform's transactional table and object store.

use std::future::Future;

use serde::Deserialize;
use serde::Serialize;
use strum::IntoStaticStr;
use thiserror::Error;

/// The random identifier of a transaction. If the response to a write is lost, reading the row back
/// and comparing its writer shows whether the write took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriteId(pub u128);

/// The generation of the table's data. It increases each time the data is restored from an older
/// copy: later writes are lost, and their revisions are given out again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Generation(pub u64);

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The number of the row's current version, from 1; increases with each write.
    pub revision: u64,
    /// The transaction that last wrote the row.
    pub writer: WriteId,
    /// The value, opaque to the table.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// A precondition of a transaction: the revision of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// The required revision; 0 requires that the row does not exist.
    pub revision: u64,
}

/// One change of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mutation {
    /// Creates or replaces a row.
    Put {
        /// The row's key.
        key: String,
        /// The new value.
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
    },
    /// Deletes a row if it exists.
    Delete {
        /// The row's key.
        key: String,
    },
}

/// Changes that are applied atomically if all conditions hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The transaction's identifier, stored as the writer of each row that it writes.
    pub id: WriteId,
    /// The preconditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// The changes to apply.
    pub mutations: Vec<Mutation>,
}

/// The error of an operation on the table or the object store.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum TableError {
    /// Nothing was changed, because a row does not have the required revision.
    #[error("row {key} is at revision {found}; read it again and retry with its current value")]
    Conflict {
        /// The key of the first such row.
        key: String,
        /// The current revision of the row.
        found: u64,
    },
    /// Nothing was changed, because the service temporarily refused the request.
    #[error("the table service is refusing requests; retry later")]
    Throttled,
    /// The outcome is unknown: the change may or may not have taken effect.
    #[error("no response from the table service ({0}); read the row again before continuing")]
    Unknown(String),
}

impl TableError {
    /// Returns the name of the variant in lower case, used as a metric label.
    pub fn kind(&self) -> &'static str {
        self.into()
    }
}

/// The platform's transactional table.
pub trait Table: Send + Sync {
    /// Reads a row; `None` if it does not exist. The read is strongly consistent unless the service
    /// documents otherwise.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, TableError>> + Send;

    /// Reads all rows whose key starts with the prefix, sorted by key.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>, TableError>> + Send;

    /// Applies a transaction atomically.
    fn commit(&self, tx: &Transaction) -> impl Future<Output = Result<(), TableError>> + Send;

    /// Returns the newest generation that any response has reported; always the first one if the
    /// service never restores its data.
    fn generation(&self) -> Generation {
        Generation::default()
    }
}

/// The platform's object store.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` if it does not exist.
    fn read(&self, name: &str) -> impl Future<Output = Result<Option<Vec<u8>>, TableError>> + Send;

    /// Creates or replaces an object.
    fn write(&self, name: &str, body: &[u8])
    -> impl Future<Output = Result<(), TableError>> + Send;
}
