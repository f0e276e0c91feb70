//! The platform's services over HTTP, with CBOR bodies for the table, raw bodies for objects and JSON
//! for the list of VMs.

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

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

const STATUS_NOT_FOUND: u16 = 404;
const STATUS_CONFLICT: u16 = 409;
const STATUS_THROTTLED: u16 = 429;

/// The body of a `POST /get`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetRequest {
    /// The key of the row to read.
    pub key: String,
}

/// The body of a `POST /scan`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanRequest {
    /// The prefix of the keys to return.
    pub prefix: String,
}

/// HTTP clients of the platform's services.
#[derive(Debug)]
pub struct HttpPlatform {
    table: HttpClient,
    objects: HttpClient,
    vms: HttpClient,
}

impl HttpPlatform {
    /// Creates the clients without connecting.
    pub fn new(conf: &PlatformSettings) -> Self {
        Self {
            table: HttpClient::new(conf.table, CALL_TIMEOUT),
            objects: HttpClient::new(conf.objects, CALL_TIMEOUT),
            vms: HttpClient::new(conf.vms, CALL_TIMEOUT),
        }
    }

    async fn call_table<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, TableError> {
        let body = to_cbor(body);
        let reply = self.table.call(Method::Post, path, &body).await;
        let result = check_status(reply).and_then(|reply| from_cbor(&reply.body));
        if let Err(error) = &result {
            metrics::instruments().table_error(error.kind());
        }
        result
    }
}

impl Table for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Row>, TableError> {
        let key = key.to_owned();
        self.call_table("/get", &GetRequest { key }).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        let prefix = prefix.to_owned();
        self.call_table("/scan", &ScanRequest { prefix }).await
    }

    async fn commit(&self, tx: &Transaction) -> Result<(), TableError> {
        self.call_table("/commit", tx).await
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
        Ok(Some(check_status(reply)?.body))
    }

    async fn write(&self, name: &str, body: &[u8]) -> Result<(), TableError> {
        let path = format!("/objects/{name}");
        let reply = self.objects.call(Method::Put, &path, body).await;
        check_status(reply).map(|_| ())
    }
}

impl VmList for HttpPlatform {
    async fn vms(&self) -> Result<Vec<VmEntry>, TableError> {
        let reply = check_status(self.vms.call(Method::Get, "/vms", &[]).await)?;
        serde_json::from_slice(&reply.body).map_err(|e| TableError::Unknown(e.to_string()))
    }
}

/// Encodes a body as CBOR.
pub fn to_cbor(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory cannot fail");
    bytes
}

/// Decodes a CBOR body. A malformed body counts as an unknown outcome, like a lost response.
pub fn from_cbor<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, TableError> {
    ciborium::from_reader(bytes).map_err(|e| TableError::Unknown(e.to_string()))
}

fn check_status(reply: Result<Reply, CallError>) -> Result<Reply, TableError> {
    let reply = reply.map_err(|e| TableError::Unknown(e.to_string()))?;
    match reply.status {
        _ if reply.is_success() => Ok(reply),
        STATUS_CONFLICT => Err(from_cbor(&reply.body)?),
        STATUS_THROTTLED => Err(TableError::Throttled),
        status => Err(TableError::Unknown(format!("status {status}"))),
    }
}
