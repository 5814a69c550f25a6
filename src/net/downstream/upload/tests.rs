//! Bodies of clients that have left.

use super::*;
use crate::net::observed_stream::ObservedStream;
use http_body_util::{BodyExt, Empty};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use std::io::Write;

/// Whether a body reaches its end whose client may have left once it had sent all of it.
async fn ends(body: &str, leaves: bool) -> bool {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let tcp = tokio::net::TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (stream, mut peer) = (ObservedStream::new(tcp), listener.accept().unwrap().0);
    // With more behind it hyper reads no further, and does not see the end itself.
    peer.write_all(format!("POST / HTTP/1.1\r\nHost: s\r\n{body}GET").as_bytes())
        .unwrap();
    let peer = (!leaves).then_some(peer);
    let ended = Cell::new(None);
    let service = service_fn(async |request: Request<Incoming>| {
        let mut upload = Upload::new(request.into_body(), stream.peer_monitor(), Instant::now());
        let mut is_complete = true;
        while let Some(frame) = upload.frame().await {
            is_complete &= frame.is_ok();
            if !is_complete {
                break;
            }
        }
        assert_eq!(upload.progress.has_ended(), is_complete);
        ended.set(Some(is_complete));
        drop(upload);
        Err::<Response<Empty<Bytes>>, _>(UploadError::Slow) // no response is of use
    });
    let _ = http1::Builder::new()
        .serve_connection(stream.clone(), service)
        .await;
    drop(peer);
    ended.get().expect("it was read")
}

/// The last byte is not forwarded for a client that has left, whatever marks it as the last.
#[tokio::test]
async fn a_body_does_not_reach_its_end_after_its_client_left() {
    for body in [
        "Content-Length: 4\r\n\r\ncash",
        "Transfer-Encoding: chunked\r\n\r\n4\r\ncash\r\n0\r\n\r\n",
    ] {
        assert!(ends(body, false).await, "{body}");
        assert!(!ends(body, true).await, "{body}");
    }
}
