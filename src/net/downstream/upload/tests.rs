//! Uploads whose client has disconnected.

use super::*;
use crate::net::observed_stream::ObservedStream;
use http_body_util::{BodyExt, Empty};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use std::io::Write;

/// Returns whether an upload reaches its end; with `disconnects` its client disconnects after sending all of it.
async fn reaches_end(body: &str, disconnects: bool) -> bool {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let tcp = tokio::net::TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (stream, mut client) = (ObservedStream::new(tcp), listener.accept().unwrap().0);
    // With bytes behind the body hyper reads no further, and so does not see the client's end itself.
    client
        .write_all(format!("POST / HTTP/1.1\r\nHost: s\r\n{body}GET").as_bytes())
        .unwrap();
    let client = (!disconnects).then_some(client);
    let was_complete = Cell::new(None);
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
        was_complete.set(Some(is_complete));
        drop(upload);
        Err::<Response<Empty<Bytes>>, _>(UploadError::Slow) // ends the connection without a response
    });
    let _ = http1::Builder::new()
        .serve_connection(stream.clone(), service)
        .await;
    drop(client);
    was_complete
        .get()
        .expect("the service did not read the body")
}

/// The last byte of a body is not forwarded once its client has disconnected, with either framing.
#[tokio::test]
async fn a_body_does_not_reach_its_end_after_its_client_disconnected() {
    for body in [
        "Content-Length: 4\r\n\r\ncash",
        "Transfer-Encoding: chunked\r\n\r\n4\r\ncash\r\n0\r\n\r\n",
    ] {
        assert!(reaches_end(body, false).await, "{body}");
        assert!(!reaches_end(body, true).await, "{body}");
    }
}
