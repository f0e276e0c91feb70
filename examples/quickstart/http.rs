//! A small HTTP client that tells a whole answer from a cut one.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use anyhow::ensure;
use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::Method;
use http_types::Request;
use http_types::Url;

/// One whole answer.
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The value of the outcome header.
    pub outcome: Option<String>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// One request of a caller.
pub struct Ask<'a> {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: &'a str,
    /// More headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// The body.
    pub body: Vec<u8>,
}

impl<'a> Ask<'a> {
    /// A request without a body.
    pub fn get(path: &'a str, headers: &'a [(&'a str, &'a str)]) -> Self {
        Self {
            method: Method::Get,
            path,
            headers,
            body: Vec::new(),
        }
    }
}

/// Sends one request on a connection of its own; an error means that no whole answer came.
pub async fn send(to: SocketAddr, ask: Ask<'_>, limit: Duration) -> Result<Answer> {
    timeout(limit, exchange(to, ask)).await?
}

async fn exchange(to: SocketAddr, ask: Ask<'_>) -> Result<Answer> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let url = Url::parse(&format!("http://{to}{}", ask.path))?;
    let mut request = Request::new(ask.method, url);
    for (name, value) in ask.headers {
        request.insert_header(*name, *value);
    }
    request.set_body(ask.body);
    let mut response = async_h1::connect(stream, request)
        .await
        .map_err(|error| anyhow::anyhow!("no answer: {error}"))?;
    let outcome = response
        .header("x-gooseberryloft-outcome")
        .map(|v| v.as_str().to_owned());
    let length = response
        .header("content-length")
        .and_then(|v| v.as_str().parse().ok());
    let mut body = Vec::new();
    response.read_to_end(&mut body).await?;
    let whole = length.is_none_or(|length: usize| length == body.len());
    ensure!(whole, "answer cut short");
    Ok(Answer {
        status: response.status() as u16,
        outcome,
        body,
    })
}
