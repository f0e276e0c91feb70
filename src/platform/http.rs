//! The platform's services over HTTP: CBOR for the table, plain bodies for objects, JSON for VMs.

use std::time::Duration;

use http_types::Method;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::metrics;
use crate::platform::ObjectStore;
use crate::platform::Row;
use crate::platform::Table;
use crate::platform::TableError;
use crate::platform::Transaction;
use crate::platform::VmEntry;
use crate::platform::VmList;
use crate::platform::client::CallError;
use crate::platform::client::HttpClient;
use crate::platform::client::Reply;
use crate::settings::PlatformSettings;

const CALL_LIMIT: Duration = Duration::from_secs(2);

const STATUS_NOT_FOUND: u16 = 404;
const STATUS_CONFLICT: u16 = 409;
const STATUS_THROTTLED: u16 = 429;

/// The body of a `POST /get`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetRequest {
    /// The row's key.
    pub key: String,
}

/// The body of a `POST /scan`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// What the keys start with.
    pub prefix: String,
}

/// The platform's services, each at its address.
#[derive(Debug)]
pub struct HttpPlatform {
    table: HttpClient,
    objects: HttpClient,
    vms: HttpClient,
}

impl HttpPlatform {
    /// Creates the clients; nothing is sent yet.
    pub fn new(conf: &PlatformSettings) -> Self {
        Self {
            table: HttpClient::new(conf.table, CALL_LIMIT),
            objects: HttpClient::new(conf.objects, CALL_LIMIT),
            vms: HttpClient::new(conf.vms, CALL_LIMIT),
        }
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, TableError> {
        let body = to_cbor(body);
        let reply = self.table.call(Method::Post, path, &body).await;
        let answer = accepted(reply).and_then(|reply| from_cbor(&reply.body));
        if let Err(error) = &answer {
            metrics::instruments().table_error(error.kind());
        }
        answer
    }
}

impl Table for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>, TableError> {
        let key = key.to_owned();
        self.ask("/get", &GetRequest { key }).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        let prefix = prefix.to_owned();
        self.ask("/scan", &ScanRequest { prefix }).await
    }

    async fn commit(&self, tx: &Transaction) -> Result<(), TableError> {
        self.ask("/commit", tx).await
    }
}

impl ObjectStore for HttpPlatform {
    async fn read(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        let path = format!("/objects/{name}");
        let reply = self.objects.call(Method::Get, &path, &[]).await;
        if let Ok(reply) = &reply
            && reply.status == STATUS_NOT_FOUND
        {
            return Ok(None);
        }
        Ok(Some(accepted(reply)?.body))
    }

    async fn write(&self, name: &str, body: &[u8]) -> Result<(), TableError> {
        let path = format!("/objects/{name}");
        let reply = self.objects.call(Method::Put, &path, body).await;
        accepted(reply).map(|_| ())
    }
}

impl VmList for HttpPlatform {
    async fn vms(&self) -> Result<Vec<VmEntry>, TableError> {
        let reply = accepted(self.vms.call(Method::Get, "/vms", &[]).await)?;
        serde_json::from_slice(&reply.body).map_err(|e| TableError::Unknown(e.to_string()))
    }
}

/// Encodes a body as CBOR.
pub fn to_cbor(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory cannot fail");
    bytes
}

/// Decodes a CBOR body; what cannot be read counts as a lost answer.
pub fn from_cbor<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, TableError> {
    ciborium::from_reader(bytes).map_err(|e| TableError::Unknown(e.to_string()))
}

fn accepted(reply: Result<Reply, CallError>) -> Result<Reply, TableError> {
    let reply = reply.map_err(|e| TableError::Unknown(e.to_string()))?;
    match reply.status {
        _ if reply.is_success() => Ok(reply),
        STATUS_CONFLICT => Err(from_cbor(&reply.body)?),
        STATUS_THROTTLED => Err(TableError::Throttled),
        status => Err(TableError::Unknown(format!("status {status}"))),
    }
}
