//! Serves the in-memory platform of [`FakeTable`] over HTTP.

use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::stream::StreamExt;
use async_std::task;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;

use crate::platform::ObjectStore;
use crate::platform::Table;
use crate::platform::TableError;
use crate::platform::VmList;
use crate::platform::http::GetRequest;
use crate::platform::http::ScanRequest;
use crate::platform::http::from_cbor;
use crate::platform::http::to_cbor;
use crate::standin::FakeTable;

/// Serves the table, object store and VM list until the listener fails.
pub async fn serve(listener: TcpListener, table: FakeTable) {
    let mut incoming = listener.incoming();
    while let Some(Ok(stream)) = incoming.next().await {
        task::spawn(serve_connection(stream, table.clone()));
    }
}

async fn serve_connection(stream: TcpStream, table: FakeTable) {
    let _ = stream.set_nodelay(true);
    let _ = async_h1::accept(stream, |request| handle(request, table.clone())).await;
}

async fn handle(mut request: Request, table: FakeTable) -> http_types::Result<Response> {
    let body = request.body_bytes().await?;
    let path = request.url().path().to_owned();
    match (request.method(), path.as_str()) {
        (Method::Post, "/get") => {
            let get: GetRequest = from_cbor(&body)?;
            table_response(table.get(&get.key).await)
        }
        (Method::Post, "/scan") => {
            let scan: ScanRequest = from_cbor(&body)?;
            table_response(table.scan(&scan.prefix).await)
        }
        (Method::Post, "/commit") => table_response(table.commit(&from_cbor(&body)?).await),
        (Method::Get, "/vms") => json(&table.vms().await?),
        (Method::Put, "/vms") => {
            table.set_vms(serde_json::from_slice(&body)?);
            Ok(with_body(StatusCode::Ok, Vec::new()))
        }
        (Method::Get, "/usage") => json(&table.usage()),
        (Method::Get, "/faults") => json(&table.faults()),
        (Method::Post, "/faults") => {
            table.set_faults(serde_json::from_slice(&body)?);
            json(&table.faults())
        }
        (method, path) => match path.strip_prefix("/objects/") {
            Some(name) => serve_object(&table, method, name, &body).await,
            None => Ok(with_body(StatusCode::NotFound, Vec::new())),
        },
    }
}

async fn serve_object(
    table: &FakeTable,
    method: Method,
    name: &str,
    body: &[u8],
) -> http_types::Result<Response> {
    if method == Method::Put {
        table.write(name, body).await?;
        return Ok(with_body(StatusCode::Ok, Vec::new()));
    }
    Ok(match table.read(name).await? {
        Some(body) => with_body(StatusCode::Ok, body),
        None => with_body(StatusCode::NotFound, Vec::new()),
    })
}

// An unknown outcome closes the connection without a response, as a network failure would.
fn table_response<T: Serialize>(result: Result<T, TableError>) -> http_types::Result<Response> {
    match result {
        Ok(value) => Ok(with_body(StatusCode::Ok, to_cbor(&value))),
        Err(TableError::Throttled) => Ok(with_body(StatusCode::TooManyRequests, Vec::new())),
        Err(error @ TableError::Conflict { .. }) => {
            Ok(with_body(StatusCode::Conflict, to_cbor(&error)))
        }
        Err(error @ TableError::Unknown(_)) => Err(error.into()),
    }
}

fn json(value: &impl Serialize) -> http_types::Result<Response> {
    Ok(with_body(StatusCode::Ok, serde_json::to_vec(value)?))
}

fn with_body(status: StatusCode, body: Vec<u8>) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response
}
