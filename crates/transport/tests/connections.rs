//! Tests of connections that make room for others.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use transport::endpoint::{self, ResponseFuture};

/// Endpoint that takes a while for each request.
struct Slow;

impl endpoint::Handler for Slow {
    fn handle(&self, _request: Request<Incoming>) -> ResponseFuture<'_> {
        Box::pin(async {
            tokio::time::sleep(Duration::from_millis(500)).await;
            Response::new(Full::new(Bytes::from_static(b"done")))
        })
    }
}

/// Guards against a request to an endpoint whose connection is closed while it is handled.
#[tokio::test]
async fn request_to_an_endpoint_is_closed_to_make_room() {
    let address = format!("127.0.0.1:{}", rand::random_range(20_000_u16..50_000));
    endpoint::serve(&address, Arc::new(Slow), 1, None).await.unwrap();
    let mut first = TcpStream::connect(&address).await.unwrap();
    first.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let _second = TcpStream::connect(&address).await.unwrap();
    let mut response = vec![0; 1_024];
    let count = first.read(&mut response).await.unwrap();
    assert!(response[..count].starts_with(b"HTTP/1.1 200 "));
}
