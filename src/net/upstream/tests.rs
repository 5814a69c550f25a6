//! Attempts at backends that drain or misbehave while a request is sent, and the limit on open connections.

use super::connection::{ConnectionSlot, PooledConnection};
use super::*;
use crate::net::observed_stream::ObservedStream;
use crate::net::MAX_BUFFERED_BODY_BYTES;
use meadowproxy::settings::NetworkSettings;
use meadowproxy::{BackendId, Micros};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

fn pool(max: usize) -> ConnectionPool {
    let (connect_timeout, conn_idle) = (Micros(5_000_000), Micros(60_000_000));
    let network = NetworkSettings {
        connect_timeout,
        conn_idle,
        max_retry_after: Micros(0),
        deadlines: Default::default(),
    };
    ConnectionPool::new(&network, max)
}

fn short_request() -> ForwardedRequest {
    let uri = Uri::from_static("/pay/k");
    ForwardedRequest {
        method: Method::POST,
        uri,
        headers: HeaderMap::new(),
        body: RequestBody::Buffered(Bytes::from_static(b"cash")),
        head_bytes: 0,
        client: None,
    }
}

fn distant_deadline() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// Progress of a request whose backend drains by the time of the first byte.
struct DrainingBackend;

impl Progress for DrainingBackend {
    fn may_send(&self) -> bool {
        false
    }
    fn send_deadline(&self) -> Option<Instant> {
        None
    }
    fn forward_by(&self) -> Option<Instant> {
        None
    }
    fn upload_started(&self) {}
    fn upload_finished(&self) {}
    fn response_started(&self, _: ServedResponse) {}
}

/// Nothing is sent to a backend that begins to drain while the connection is established.
#[tokio::test]
async fn a_backend_that_drains_while_connecting_is_sent_nothing() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (pool, address) = (pool(4), listener.local_addr().unwrap());
    let result = pool
        .attempt(
            BackendId(0),
            address,
            &short_request(),
            distant_deadline(),
            &Rc::new(DrainingBackend),
        )
        .await;
    assert_eq!(result.outcome, Outcome::NotSent);
    let mut backend_end = listener.accept().unwrap().0;
    drop(pool);
    let mut received = Vec::new();
    backend_end.read_to_end(&mut received).unwrap();
    assert!(received.is_empty(), "{received:?}");
}

/// At the limit an idle connection to another backend is closed first. If there is none the attempt ends as `NotSent`,
/// which does not count against the backend.
#[tokio::test]
async fn at_the_limit_idle_connections_are_closed() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (pool, address) = (pool(1), listener.local_addr().unwrap());
    let busy = pool.connect(address).await.ok().unwrap();
    let refused = pool.connect(address).await.err();
    assert_eq!(
        (refused, pool.open_connections()),
        (Some(Outcome::NotSent), 1)
    );
    pool.check_in(BackendId(0), busy);
    let other = pool.connect(address).await;
    assert!(other.is_ok() && pool.open_connections() == 1);
    drop(other);
    assert_eq!(pool.open_connections(), 0);
}

/// Progress of a request that may be sent, with this deadline for its last byte.
struct MaySend(Option<Instant>);

impl Progress for MaySend {
    fn may_send(&self) -> bool {
        true
    }
    fn send_deadline(&self) -> Option<Instant> {
        self.0
    }
    fn forward_by(&self) -> Option<Instant> {
        None
    }
    fn upload_started(&self) {}
    fn upload_finished(&self) {}
    fn response_started(&self, _: ServedResponse) {}
}

/// Adds a connection with small socket buffers to the pool, so that a long request cannot be written until the backend
/// reads. Returns the backend's address and its end of the connection.
async fn connection_with_small_buffers(pool: &ConnectionPool) -> (SocketAddr, std::net::TcpStream) {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener.set_recv_buffer_size(2048).unwrap();
    listener
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    listener.listen(4).unwrap();
    let listener = std::net::TcpListener::from(listener);
    let address = listener.local_addr().unwrap();
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(4096).unwrap();
    let tcp = socket.connect(address).await.unwrap();
    let connection = PooledConnection::open(
        ObservedStream::new(tcp),
        address,
        ConnectionSlot::new(pool.open_count.clone(), pool.memory_budget()),
    )
    .await
    .unwrap();
    pool.check_in(BackendId(0), connection);
    let backend_end = listener.accept().unwrap().0;
    backend_end
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    (address, backend_end)
}

fn long_request() -> ForwardedRequest {
    ForwardedRequest {
        body: RequestBody::Buffered(Bytes::from(vec![b'y'; MAX_BUFFERED_BODY_BYTES])),
        ..short_request()
    }
}

/// A response that arrives while the request is still being sent cannot be a response to it: the connection is closed,
/// and the outcome says that the request was not executed.
#[tokio::test]
async fn a_response_before_the_last_byte_is_not_taken_for_the_requests_own() {
    for (head, outcome) in [
        ("200 OK", Outcome::ConnectFailed),
        ("500 Oops", Outcome::ConnectFailed),
        ("503 Full\r\nX-Unprocessed: 1", Outcome::Overloaded),
    ] {
        let pool = pool(4);
        let (address, mut backend_end) = connection_with_small_buffers(&pool).await;
        let (request, progress) = (long_request(), Rc::new(MaySend(None)));
        let (attempt_over, wait) = std::sync::mpsc::channel::<()>();
        let backend = std::thread::spawn(move || {
            backend_end.read_exact(&mut [0; 64]).unwrap();
            write!(
                backend_end,
                "HTTP/1.1 {head}\r\nContent-Length: 5\r\n\r\nstale"
            )
            .unwrap();
            let _ = wait.recv(); // reads nothing more until the attempt has ended
            let mut rest = Vec::new();
            let _ = backend_end.read_to_end(&mut rest);
            rest
        });
        let result = pool
            .attempt(
                BackendId(0),
                address,
                &request,
                distant_deadline(),
                &progress,
            )
            .await;
        assert_eq!(
            (result.outcome, result.response.is_none()),
            (outcome, true),
            "{head}"
        );
        assert_eq!(pool.open_connections(), 0, "{head}");
        drop(attempt_over);
        let rest = backend.join().unwrap();
        assert!(
            rest.len() < MAX_BUFFERED_BODY_BYTES,
            "{head}: the request was sent completely"
        );
    }
}

/// A duplicate that is not completely sent by its deadline is cut off before the last byte. A backend that reads it
/// slowly would otherwise complete it after the time in which it drops duplicates, and execute it again.
#[tokio::test]
async fn a_duplicate_that_is_not_sent_in_time_is_never_complete() {
    let pool = pool(4);
    let (address, mut backend_end) = connection_with_small_buffers(&pool).await;
    let progress = Rc::new(MaySend(Some(Instant::now() + Duration::from_millis(100))));
    let (attempt_over, wait) = std::sync::mpsc::channel::<()>();
    let backend = std::thread::spawn(move || {
        let _ = wait.recv_timeout(Duration::from_secs(2)); // reads nothing until then
        let mut received = Vec::new();
        let mut piece = [0; 4096];
        while let Ok(n @ 1..) = backend_end.read(&mut piece) {
            received.extend_from_slice(&piece[..n]);
            if received.len() > MAX_BUFFERED_BODY_BYTES {
                let _ = backend_end.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran");
                break;
            }
        }
        received
    });
    let result = pool
        .attempt(
            BackendId(0),
            address,
            &long_request(),
            distant_deadline(),
            &progress,
        )
        .await;
    drop(attempt_over);
    assert!(
        backend.join().unwrap().len() < MAX_BUFFERED_BODY_BYTES,
        "the request was sent completely"
    );
    assert_eq!(
        result.outcome,
        Outcome::ConnectFailed,
        "a request that was cut off was not executed"
    );
}
