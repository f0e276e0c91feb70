//! The faults of async-h1 that prevent its use for proxying: it reports truncated bodies as
//! complete.
//!
//! If one of these tests fails, a newer release may have fixed the fault, and async-h1 can be
//! reconsidered.

use async_std::io::Cursor;
use async_std::io::ReadExt;
use async_std::task;
use googletest::prelude::*;

#[googletest::test]
fn async_h1_reports_a_truncated_response_as_complete() {
    let truncated = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf";
    let body = task::block_on(async {
        let mut response = async_h1::client::decode(Cursor::new(&truncated[..]))
            .await
            .unwrap();
        let mut body = Vec::new();
        response.read_to_end(&mut body).await.map(|_| body)
    });
    expect_that!(body, ok(eq(b"half")));
}

#[googletest::test]
fn async_h1_reports_no_body_for_an_unknown_coding() {
    let request = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip, chunked\r\n\r\n\
        5\r\nGET /\r\n0\r\n\r\n";
    let request = Cursor::new(request.to_vec());
    let body = task::block_on(async {
        let decoded = async_h1::server::decode(Connection(request)).await.unwrap();
        let (mut request, _) = decoded.expect("a request was decoded");
        request.body_bytes().await.unwrap()
    });
    expect_that!(body, is_empty());
}

/// An in-memory connection that discards what is written.
#[derive(Clone)]
struct Connection(Cursor<Vec<u8>>);

impl async_std::io::Read for Connection {
    fn poll_read(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
        buf: &mut [u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::pin::Pin::new(&mut self.0).poll_read(cx, buf)
    }
}

impl async_std::io::Write for Connection {
    fn poll_write(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        buf: &[u8],
    ) -> std::task::Poll<std::io::Result<usize>> {
        std::task::Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::task::Poll::Ready(Ok(()))
    }

    fn poll_close(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<std::io::Result<()>> {
        std::task::Poll::Ready(Ok(()))
    }
}
