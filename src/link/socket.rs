//! A link: a WebSocket over an async-std TCP stream, with a token check on accept.

use std::net::SocketAddr;

use async_std::net::TcpStream;
use futures::SinkExt;
use futures::Stream;
use futures::StreamExt;
use futures::stream::SplitSink;
use futures::stream::SplitStream;
use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq;
use thiserror::Error;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::accept_hdr_async_with_config;
use tokio_tungstenite::client_async_with_config;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::Bytes;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::server::ErrorResponse;
use tokio_tungstenite::tungstenite::handshake::server::Request;
use tokio_tungstenite::tungstenite::handshake::server::Response;
use tokio_tungstenite::tungstenite::http::HeaderValue;
use tokio_tungstenite::tungstenite::http::StatusCode;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_util::compat::Compat;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::link::Message;

const PROTOCOL_VERSION: u16 = 1;
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Request header with the shared token from the settings.
pub const TOKEN_HEADER: &str = "x-gooseberryloft-token";

/// The reason why a link failed.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection could not be opened, or broke.
    #[error(
        "link failed ({0}); it is reopened automatically; check the peer's address if this persists"
    )]
    Socket(String),
    /// The peer closed the link.
    #[error("the peer closed the link; it is reopened automatically")]
    Closed,
    /// The peer sent bytes that do not decode to a message, or an unexpected message.
    #[error("the peer sent a malformed message ({0}); check that both sides run the same release")]
    Malformed(String),
    /// Opening the link, receiving from the peer or sending to it took too long.
    #[error("the link timed out; it is reopened automatically; check the network if this persists")]
    TimedOut,
    /// The peer uses a protocol version that this release does not support.
    #[error("the peer uses protocol version {0}, this release uses 1; upgrade the older side")]
    Version(u16),
}

#[derive(Serialize, Deserialize)]
struct Envelope<M> {
    #[serde(rename = "v")]
    version: u16,
    #[serde(rename = "m")]
    message: M,
}

type Socket = WebSocketStream<Compat<TcpStream>>;

/// An open link to a peer.
pub struct Link {
    socket: Socket,
}

/// The sending half of a link.
pub struct LinkSender {
    sink: SplitSink<Socket, tungstenite::Message>,
}

/// The receiving half of a link.
pub struct LinkReceiver {
    stream: SplitStream<Socket>,
}

/// Opens a link to a peer, authenticated by the token.
pub async fn connect(peer: SocketAddr, token: &str) -> Result<Link, LinkError> {
    let stream = TcpStream::connect(peer).await.map_err(socket_error)?;
    stream.set_nodelay(true).map_err(socket_error)?;
    let mut request = format!("ws://{peer}/link")
        .into_client_request()
        .map_err(socket_error)?;
    let value = HeaderValue::from_str(token).map_err(socket_error)?;
    request.headers_mut().insert(TOKEN_HEADER, value);
    let handshake = client_async_with_config(request, stream.compat(), Some(config()));
    let (socket, _) = handshake.await.map_err(socket_error)?;
    Ok(Link { socket })
}

/// Accepts a link from a peer; fails if the peer does not send the same token.
pub async fn accept(stream: TcpStream, token: &str) -> Result<Link, LinkError> {
    stream.set_nodelay(true).map_err(socket_error)?;
    #[allow(clippy::result_large_err)]
    let check = |request: &Request, response: Response| check_token(request, response, token);
    let handshake = accept_hdr_async_with_config(stream.compat(), check, Some(config()));
    let socket = handshake.await.map_err(socket_error)?;
    Ok(Link { socket })
}

impl Link {
    /// Sends one message.
    pub async fn send(&mut self, message: &Message) -> Result<(), LinkError> {
        let frame = tungstenite::Message::binary(encode(message));
        self.socket.send(frame).await.map_err(socket_error)
    }

    /// Waits for the next message.
    pub async fn recv(&mut self) -> Result<Message, LinkError> {
        decode(&next_frame(&mut self.socket).await?)
    }

    /// Splits the link, so that one task can send while another receives.
    pub fn split(self) -> (LinkSender, LinkReceiver) {
        let (sink, stream) = self.socket.split();
        (LinkSender { sink }, LinkReceiver { stream })
    }
}

impl LinkSender {
    /// Sends one encoded message.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), LinkError> {
        let frame = tungstenite::Message::binary(bytes.to_vec());
        self.sink.send(frame).await.map_err(socket_error)
    }

    /// Sends a close frame to the peer; errors are ignored.
    pub async fn close(&mut self) {
        let _ = self.sink.close().await;
    }
}

impl LinkReceiver {
    /// Waits for the next encoded message.
    pub async fn recv(&mut self) -> Result<Bytes, LinkError> {
        next_frame(&mut self.stream).await
    }
}

async fn next_frame(
    stream: &mut (impl Stream<Item = Result<tungstenite::Message, tungstenite::Error>> + Unpin),
) -> Result<Bytes, LinkError> {
    loop {
        match stream.next().await {
            None | Some(Ok(tungstenite::Message::Close(_))) => return Err(LinkError::Closed),
            Some(Err(error)) => return Err(socket_error(error)),
            Some(Ok(tungstenite::Message::Binary(bytes))) => return Ok(bytes),
            Some(Ok(_)) => {}
        }
    }
}

/// Encodes a message in an envelope with the protocol version.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    let envelope = Envelope {
        version: PROTOCOL_VERSION,
        message,
    };
    ciborium::into_writer(&envelope, &mut bytes).expect("writing to memory cannot fail");
    bytes
}

/// Decodes a message; fails if its protocol version differs from that of this release.
pub fn decode(bytes: &[u8]) -> Result<Message, LinkError> {
    let malformed = |error: ciborium::de::Error<_>| LinkError::Malformed(error.to_string());
    let envelope: Envelope<Message> = ciborium::from_reader(bytes).map_err(malformed)?;
    if envelope.version != PROTOCOL_VERSION {
        return Err(LinkError::Version(envelope.version));
    }
    Ok(envelope.message)
}

#[allow(clippy::result_large_err)]
fn check_token(
    request: &Request,
    response: Response,
    token: &str,
) -> Result<Response, ErrorResponse> {
    let received = request
        .headers()
        .get(TOKEN_HEADER)
        .map_or(&[][..], HeaderValue::as_bytes);
    if bool::from(received.ct_eq(token.as_bytes())) {
        return Ok(response);
    }
    let mut refusal = ErrorResponse::new(Some("wrong token; check [security] token".into()));
    *refusal.status_mut() = StatusCode::UNAUTHORIZED;
    Err(refusal)
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

fn socket_error(error: impl std::fmt::Display) -> LinkError {
    LinkError::Socket(error.to_string())
}
