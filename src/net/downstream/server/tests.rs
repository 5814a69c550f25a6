//! Events that coincide between two steps of the server, which no other process can bring about.

use super::*;
use crate::net::observed_stream::tests::UNREAD_CHECKS;
use std::io::{Read, Write};

const READY: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";

/// Runs a test with a server of at most eight clients.
fn with_server(test: impl AsyncFnOnce(Rc<Server>, TcpListener)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let second = Micros(1_000_000);
        let rules = RequestRules {
            classes: Vector::new(),
            deadlines: vec![second].into(),
            max_retry_after: second,
        };
        let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        test(Server::new(Host::example(), rules, 8), listener).await;
    });
}

async fn client(server: &Rc<Server>, listener: &TcpListener) -> std::net::TcpStream {
    let peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    peer.set_nonblocking(true).unwrap();
    server.add_client(listener.accept().await.unwrap().0);
    peer
}

/// What is received up to `end`, or to the connection's end; `false`: that was a reset.
async fn received(peer: &mut std::net::TcpStream, end: &str) -> (String, bool) {
    let (mut got, mut byte) = (String::new(), [0]);
    while end.is_empty() || !got.ends_with(end) {
        match peer.read(&mut byte) {
            Ok(0) => break,
            Ok(_) => got.push(byte[0].into()),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            Err(_) => return (got, false),
        }
    }
    (got, true)
}

/// The connection is chosen to be closed, and its next request arrives before it is notified: that one is answered, and
/// the connection ends with the response rather than later under another request.
#[test]
fn a_request_that_arrives_as_its_connection_is_chosen_is_answered_and_the_last() {
    with_server(async |server, listener| {
        let mut peer = client(&server, &listener).await;
        peer.write_all(READY).unwrap();
        let (answer, _) = received(&mut peer, "ready\n").await;
        assert!(!answer.contains("connection: close"), "{answer}");
        assert!(server.close_least_useful(Duration::ZERO));
        peer.write_all(READY).unwrap();
        let (answer, plainly) = received(&mut peer, "").await;
        assert!(
            answer.contains("connection: close") && answer.ends_with("ready\n"),
            "{answer}"
        );
        assert!(plainly);
    });
}

/// The connection is closed, and its next request arrives before the client sees that: the end is no reset, and the
/// request is not served.
#[test]
fn a_request_that_crosses_the_close_is_neither_served_nor_reset() {
    with_server(async |server, listener| {
        let mut peer = client(&server, &listener).await;
        peer.write_all(READY).unwrap();
        received(&mut peer, "ready\n").await;
        assert!(server.close_least_useful(Duration::ZERO));
        let (rest, plainly) = received(&mut peer, "").await;
        assert!(rest.is_empty() && plainly, "{rest}");
        peer.write_all(READY).unwrap(); // it has not seen the end yet
        peer.shutdown(std::net::Shutdown::Write).unwrap();
        while server.client_count() > 0 {
            server.client_closed.notified().await;
        }
        assert!(peer.take_error().unwrap().is_none(), "a reset");
        assert_eq!(received(&mut peer, "").await, (String::new(), true));
    });
}

/// A half-closed connection is the first to be closed for capacity, and at once.
#[test]
fn a_lingering_close_is_cut_first() {
    with_server(async |server, listener| {
        let mut resting = client(&server, &listener).await;
        resting.write_all(READY).unwrap();
        received(&mut resting, "ready\n").await;
        let mut ended = client(&server, &listener).await;
        ended.write_all(b"what?\r\n\r\n").unwrap();
        assert!(received(&mut ended, "").await.0.starts_with("HTTP/1.1 400"));
        assert_eq!(server.client_count(), 2, "it lingers");
        assert!(server.close_least_useful(Duration::ZERO));
        let before = Instant::now();
        while server.client_count() > 1 {
            tokio::task::yield_now().await; // no timer is waited for
        }
        assert!(
            before.elapsed() < Duration::from_millis(300),
            "as long as it would have lingered"
        );
        resting.write_all(READY).unwrap();
        assert!(
            received(&mut resting, "ready\n")
                .await
                .0
                .ends_with("ready\n"),
            "the other stays"
        );
    });
}

/// To choose a connection of many, the kernel is asked only of the one that is chosen and of those that have a request
/// waiting, once each: to ask it of all of them at each accept leaves no processor time to accept.
#[test]
fn a_connection_is_chosen_without_asking_the_kernel_of_all() {
    const CROWD: usize = 100;
    with_server(async |server, listener| {
        let mut asking = client(&server, &listener).await;
        asking.write_all(READY).unwrap();
        let mut silent = Vec::new();
        for _ in 0..CROWD {
            silent.push(client(&server, &listener).await);
        }
        let before = UNREAD_CHECKS.get();
        assert!((0..8).all(|_| server.close_least_useful(Duration::ZERO)));
        assert_eq!(
            UNREAD_CHECKS.get() - before,
            8 + 8,
            "one with a request, at each, and one that goes"
        );
        let (answer, _) = received(&mut asking, "ready\n").await;
        assert!(answer.ends_with("ready\n"), "{answer}");
        for gone in &mut silent[..8] {
            assert_eq!(received(gone, "").await, (String::new(), true));
        }
    });
}

/// A connection that is idle longer stays open where another has never brought a request.
#[test]
fn a_connection_without_any_request_is_closed_before_an_idle_one() {
    with_server(async |server, listener| {
        let mut resting = client(&server, &listener).await;
        resting.write_all(READY).unwrap();
        received(&mut resting, "ready\n").await;
        let mut silent = client(&server, &listener).await;
        tokio::time::sleep(FIRST_REQUEST_GRACE).await; // until then its request may be on its way
        assert!(server.close_least_useful(FIRST_REQUEST_GRACE));
        assert_eq!(received(&mut silent, "").await, (String::new(), true));
        resting.write_all(READY).unwrap();
        assert!(received(&mut resting, "ready\n")
            .await
            .0
            .ends_with("ready\n"));
    });
}

/// A chosen connection is closed with its turn, though its other side never ends.
#[test]
fn a_connection_is_closed_without_waiting_for_the_other_side() {
    with_server(async |server, listener| {
        let mut silent = Vec::new();
        for _ in 0..8 + CONNECTIONS_ABOVE_LIMIT {
            silent.push(client(&server, &listener).await);
        }
        assert!(server.close_least_useful(Duration::ZERO));
        server.client_closed.notified().await; // it is half closed
        assert_eq!(
            server.client_count(),
            8 + CONNECTIONS_ABOVE_LIMIT,
            "its other side has not ended"
        );
        assert!(server.close_least_useful(Duration::ZERO));
        server.client_closed.notified().await;
        assert_eq!(server.client_count(), 8 + CONNECTIONS_ABOVE_LIMIT - 1);
    });
}
