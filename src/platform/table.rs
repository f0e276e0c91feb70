//! The transactional table and the object store as the system sees them.

use std::future::Future;

use serde::Deserialize;
use serde::Serialize;
use strum::IntoStaticStr;
use thiserror::Error;

/// Names one transaction; drawn at random, so that a lost answer can be resolved by reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriteId(pub u128);

/// One row as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// Rises with every write of the row, from 1.
    pub revision: u64,
    /// The transaction that wrote the row last.
    pub writer: WriteId,
    /// The stored value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// What must hold for a transaction to take effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The row's key.
    pub key: String,
    /// The revision that the row must have; 0 means that it must not exist.
    pub revision: u64,
}

/// One change of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mutation {
    /// Writes the row whole.
    Put {
        /// The row's key.
        key: String,
        /// The new value.
        #[serde(with = "serde_bytes")]
        value: Vec<u8>,
    },
    /// Removes the row if it exists.
    Delete {
        /// The row's key.
        key: String,
    },
}

/// Changes that take effect together if all conditions hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// The transaction's own id.
    pub id: WriteId,
    /// Every condition must hold.
    pub conditions: Vec<Condition>,
    /// The changes.
    pub mutations: Vec<Mutation>,
}

/// Why an operation on the table or the object store failed.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize, Deserialize, IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
pub enum TableError {
    /// Nothing was changed: a row is not at the revision asked for.
    #[error("row {key} is at revision {found}; read it again and retry on what it holds now")]
    Conflict {
        /// The first row that differs.
        key: String,
        /// The revision found.
        found: u64,
    },
    /// Nothing was changed: the service refused the request for now.
    #[error("the table service refuses requests for now; retry after a pause")]
    Throttled,
    /// The outcome is not known: the change may or may not have taken effect.
    #[error("no answer from the table service ({0}); read the row back before going on")]
    Unknown(String),
}

impl TableError {
    /// Returns the kind of failure in a word.
    pub fn kind(&self) -> &'static str {
        self.into()
    }
}

/// The platform's transactional table.
pub trait Table: Send + Sync {
    /// Reads a row; a strong read unless the service says otherwise.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, TableError>> + Send;

    /// Reads every row whose key starts with the prefix, in order of key.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>, TableError>> + Send;

    /// Applies a transaction whole or not at all.
    fn commit(&self, tx: &Transaction) -> impl Future<Output = Result<(), TableError>> + Send;
}

/// The platform's object store.
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    fn read(&self, name: &str) -> impl Future<Output = Result<Option<Vec<u8>>, TableError>> + Send;

    /// Writes an object whole.
    fn write(&self, name: &str, body: &[u8])
    -> impl Future<Output = Result<(), TableError>> + Send;
}
