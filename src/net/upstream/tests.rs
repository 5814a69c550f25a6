use super::connection::{ConnectionSlot, PooledConnection};
use super::*;
use crate::net::observed_stream::ObservedStream;
use crate::net::MAX_BUFFERED_BODY_BYTES;
use meadowproxy::settings::NetworkSettings;
use meadowproxy::BackendId;
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

fn call() -> ForwardedRequest {
    let uri = Uri::from_static("/pay/k");
    ForwardedRequest {
        method: Method::POST,
        uri,
        headers: HeaderMap::new(),
        body: RequestBody::Buffered(Bytes::from_static(b"cash")),
        client: None,
    }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// The backend drains by the time of the first byte.
struct Drains;

impl Progress for Drains {
    fn may_send(&self) -> bool {
        false
    }
    fn send_deadline(&self) -> Option<Instant> {
        None
    }
    fn upload_started(&self) {}
    fn upload_finished(&self) {}
    fn response_started(&self, _: ServedResponse) {}
}

/// The backend begins to drain while the connection is established: not a byte is sent on it.
#[tokio::test]
async fn a_backend_that_drains_while_connecting_is_sent_nothing() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (pool, to) = (pool(4), listener.local_addr().unwrap());
    let ended = pool
        .attempt(BackendId(0), to, &call(), soon(), &Rc::new(Drains))
        .await;
    assert_eq!(ended.outcome, Outcome::NotSent);
    let mut peer = listener.accept().unwrap().0;
    drop(pool);
    let mut got = Vec::new();
    peer.read_to_end(&mut got).unwrap();
    assert!(got.is_empty(), "{got:?}");
}

/// At the bound an idle connection to another backend is closed first; without one the backend is not to blame.
#[tokio::test]
async fn at_the_bound_idle_connections_are_closed() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (pool, to) = (pool(1), listener.local_addr().unwrap());
    let busy = pool.connect(to).await.ok().unwrap();
    let refused = pool.connect(to).await.err();
    assert_eq!(
        (refused, pool.open_connections()),
        (Some(Outcome::NotSent), 1)
    );
    pool.check_in(BackendId(0), busy);
    let other = pool.connect(to).await;
    assert!(other.is_ok() && pool.open_connections() == 1);
    drop(other);
    assert_eq!(pool.open_connections(), 0);
}

/// May be sent, by that deadline.
struct MaySend(Option<Instant>);

impl Progress for MaySend {
    fn may_send(&self) -> bool {
        true
    }
    fn send_deadline(&self) -> Option<Instant> {
        self.0
    }
    fn upload_started(&self) {}
    fn upload_finished(&self) {}
    fn response_started(&self, _: ServedResponse) {}
}

/// An idle connection on which little can be written until the other side reads, and that side.
async fn connection_with_small_buffers(pool: &ConnectionPool) -> (SocketAddr, std::net::TcpStream) {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener.set_recv_buffer_size(2048).unwrap();
    listener
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    listener.listen(4).unwrap();
    let listener = std::net::TcpListener::from(listener);
    let to = listener.local_addr().unwrap();
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_send_buffer_size(4096).unwrap();
    let tcp = socket.connect(to).await.unwrap();
    let c = PooledConnection::open(
        ObservedStream::new(tcp),
        to,
        ConnectionSlot::new(pool.open_count.clone()),
    )
    .await
    .unwrap();
    pool.check_in(BackendId(0), c);
    let peer = listener.accept().unwrap().0;
    peer.set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    (to, peer)
}

fn long_call() -> ForwardedRequest {
    ForwardedRequest {
        body: RequestBody::Buffered(Bytes::from(vec![b'y'; MAX_BUFFERED_BODY_BYTES])),
        ..call()
    }
}

/// A response that arrives while the request is still being sent is not its own: the request never runs, and its connection
/// is closed.
#[tokio::test]
async fn an_answer_before_the_last_byte_is_not_the_requests_own() {
    for (head, outcome) in [
        ("200 OK", Outcome::ConnectFailed),
        ("500 Oops", Outcome::ConnectFailed),
        ("503 Full\r\nX-Unprocessed: 1", Outcome::Overloaded),
    ] {
        let pool = pool(4);
        let (to, mut peer) = connection_with_small_buffers(&pool).await;
        let (call, progress) = (long_call(), Rc::new(MaySend(None)));
        let (over, wait) = std::sync::mpsc::channel::<()>();
        let backend = std::thread::spawn(move || {
            peer.read_exact(&mut [0; 64]).unwrap();
            write!(peer, "HTTP/1.1 {head}\r\nContent-Length: 5\r\n\r\nstale").unwrap();
            let _ = wait.recv(); // reads nothing more until the attempt has ended
            let mut rest = Vec::new();
            let _ = peer.read_to_end(&mut rest);
            rest
        });
        let ended = pool
            .attempt(BackendId(0), to, &call, soon(), &progress)
            .await;
        assert_eq!(
            (ended.outcome, ended.response.is_none()),
            (outcome, true),
            "{head}"
        );
        assert_eq!(pool.open_connections(), 0, "{head}");
        drop(over);
        let rest = backend.join().unwrap();
        assert!(
            rest.len() < MAX_BUFFERED_BODY_BYTES,
            "{head}: it was sent completely"
        );
    }
}

/// A duplicate that the backend reads slowly would end after the time in which duplicates are dropped, and run again: its
/// last byte is not sent.
#[tokio::test]
async fn a_duplicate_that_is_not_sent_in_time_is_never_complete() {
    let pool = pool(4);
    let (to, mut peer) = connection_with_small_buffers(&pool).await;
    let progress = Rc::new(MaySend(Some(Instant::now() + Duration::from_millis(100))));
    let (over, wait) = std::sync::mpsc::channel::<()>();
    let backend = std::thread::spawn(move || {
        let _ = wait.recv_timeout(Duration::from_secs(2)); // reads nothing before
        let mut all = Vec::new();
        let mut piece = [0; 4096];
        while let Ok(n @ 1..) = peer.read(&mut piece) {
            all.extend_from_slice(&piece[..n]);
            if all.len() > MAX_BUFFERED_BODY_BYTES {
                let _ = peer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran");
                break;
            }
        }
        all
    });
    let ended = pool
        .attempt(BackendId(0), to, &long_call(), soon(), &progress)
        .await;
    drop(over);
    assert!(
        backend.join().unwrap().len() < MAX_BUFFERED_BODY_BYTES,
        "it was sent completely"
    );
    assert_eq!(ended.outcome, Outcome::ConnectFailed, "it never ran");
}
