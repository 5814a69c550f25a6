//! Uploads whose client has disconnected.

use super::*;
use crate::net::observed_stream::ObservedStream;
use http_body_util::{BodyExt, Empty};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use std::cell::RefCell;
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

/// A client's connection, and the body of a request that arrives on it.
struct UploadInProgress {
    client: std::net::TcpStream,
    upload: std::rc::Rc<RefCell<Option<Upload>>>,
}

impl UploadInProgress {
    /// Sends the head of a request whose body has `length` bytes, with the first bytes of that body.
    async fn start(length: usize, body: &str) -> UploadInProgress {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let tcp = tokio::net::TcpStream::connect(listener.local_addr().unwrap())
            .await
            .unwrap();
        let (stream, mut client) = (ObservedStream::new(tcp), listener.accept().unwrap().0);
        let head = format!("POST / HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{body}");
        client.write_all(head.as_bytes()).unwrap();
        let upload = std::rc::Rc::<RefCell<Option<Upload>>>::default();
        let slot = upload.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let monitor = stream.peer_monitor();
                *slot.borrow_mut() =
                    Some(Upload::new(request.into_body(), monitor, Instant::now()));
                std::future::pending::<Result<Response<Empty<Bytes>>, UploadError>>()
            });
            let _ = http1::Builder::new()
                .serve_connection(stream.clone(), service)
                .await;
        });
        while upload.borrow().is_none() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        UploadInProgress { client, upload }
    }

    fn send(&mut self, body: &str) {
        self.client.write_all(body.as_bytes()).unwrap();
    }

    fn take(&self) -> Upload {
        self.upload.borrow_mut().take().unwrap()
    }
}

/// The last byte may have been sent since the proxy last waited for the client: bytes that nobody reads, and those that
/// are read without a wait, do not move that time, and a wait for the client does.
#[tokio::test]
async fn the_last_byte_may_have_been_sent_since_the_last_wait_for_the_client() {
    const PAUSE: Duration = Duration::from_millis(50);
    let scope = tokio::task::LocalSet::new();
    scope
        .run_until(async {
            let mut request = UploadInProgress::start(4, "c").await;
            let mut upload = request.take();
            let progress = upload.progress.clone();
            let started_at = Instant::now();
            request.send("a");
            tokio::time::sleep(PAUSE).await;
            assert!(
                progress.last_byte_sent_after() <= started_at,
                "nobody reads it"
            );
            let mut received = 0;
            while received < 2 {
                received += upload
                    .frame()
                    .await
                    .unwrap()
                    .unwrap()
                    .data_ref()
                    .unwrap()
                    .len();
            }
            assert!(
                progress.last_byte_sent_after() <= started_at,
                "its bytes had waited"
            );

            let reading = tokio::task::spawn_local(async move {
                upload.frame().await.unwrap().unwrap();
                upload
            });
            tokio::time::sleep(PAUSE).await;
            let waited_at = Instant::now();
            assert!(
                progress.last_byte_sent_after() >= waited_at,
                "it is waited for"
            );
            request.send("s");
            let mut upload = reading.await.unwrap();
            let read_at = Instant::now();
            assert!((waited_at..=read_at).contains(&progress.last_byte_sent_after()));

            request.send("h");
            tokio::time::sleep(PAUSE).await;
            upload.frame().await.unwrap().unwrap();
            assert!(progress.has_ended());
            assert!(
                progress.last_byte_sent_after() <= read_at,
                "the last byte had waited"
            );
        })
        .await;
}
