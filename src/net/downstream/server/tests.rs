//! Races between two steps of the server, which an external client cannot reproduce reliably.

use super::*;
use crate::net::observed_stream::tests::UNREAD_CHECKS;
use std::io::{Read, Write};

const READY: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";

/// Runs a test with a server limited to eight clients and its listener.
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

async fn connect(server: &Rc<Server>, listener: &TcpListener) -> std::net::TcpStream {
    let client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.set_nonblocking(true).unwrap();
    server.add_client(listener.accept().await.unwrap().0);
    client
}

/// Reads up to `end`, or to the connection's end. The flag is false if reading failed, as after a reset.
async fn received(client: &mut std::net::TcpStream, end: &str) -> (String, bool) {
    let (mut text, mut byte) = (String::new(), [0]);
    while end.is_empty() || !text.ends_with(end) {
        match client.read(&mut byte) {
            Ok(0) => break,
            Ok(_) => text.push(byte[0].into()),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            Err(_) => return (text, false),
        }
    }
    (text, true)
}

/// A connection is selected to be closed, and its next request arrives before its task is notified. The request is
/// answered and the response closes the connection; closing it later could lose another request.
#[test]
fn a_request_that_arrives_as_its_connection_is_selected_is_answered_and_closes_it() {
    with_server(async |server, listener| {
        let mut client = connect(&server, &listener).await;
        client.write_all(READY).unwrap();
        let (answer, _) = received(&mut client, "ready\n").await;
        assert!(!answer.contains("connection: close"), "{answer}");
        assert!(server.close_least_useful(Pressure::OutOfDescriptors));
        client.write_all(READY).unwrap();
        let (answer, ended_orderly) = received(&mut client, "").await;
        assert!(
            answer.contains("connection: close") && answer.ends_with("ready\n"),
            "{answer}"
        );
        assert!(ended_orderly);
    });
}

/// A connection is closed while its client's next request is in transit: the request is not served, and the client sees
/// an orderly end instead of a reset.
#[test]
fn a_request_that_crosses_the_close_is_neither_served_nor_reset() {
    with_server(async |server, listener| {
        let mut client = connect(&server, &listener).await;
        client.write_all(READY).unwrap();
        received(&mut client, "ready\n").await;
        assert!(server.close_least_useful(Pressure::OutOfDescriptors));
        let (rest, ended_orderly) = received(&mut client, "").await;
        assert!(rest.is_empty() && ended_orderly, "{rest}");
        client.write_all(READY).unwrap(); // the client has not seen the close yet
        client.shutdown(std::net::Shutdown::Write).unwrap();
        while server.client_count() > 0 {
            server.client_closed.notified().await;
        }
        assert!(
            client.take_error().unwrap().is_none(),
            "the connection was reset"
        );
        assert_eq!(received(&mut client, "").await, (String::new(), true));
    });
}

/// Guards against responses that were cut in hyper's buffer by a shutdown or for capacity, as their connection seemed idle:
/// it is busy until the last byte was written to its socket.
#[test]
fn a_connection_is_busy_until_its_response_is_written() {
    const REQUESTS: usize = 400;
    const SOCKET_BUFFER_BYTES: usize = 4_096;
    with_server(async |server, listener| {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.unwrap();
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES).unwrap();
        let address = listener.local_addr().unwrap();
        socket.connect(&address.into()).unwrap();
        socket.set_nonblocking(true).unwrap();
        let mut client: std::net::TcpStream = socket.into();
        let tcp = listener.accept().await.unwrap().0;
        let accepted = socket2::SockRef::from(&tcp);
        accepted.set_send_buffer_size(SOCKET_BUFFER_BYTES).unwrap();
        server.add_client(tcp);
        client.write_all(&READY.repeat(REQUESTS)).unwrap();
        tokio::time::sleep(Duration::from_millis(200)).await; // all are answered, more than the kernel takes
        assert!(server.is_any_busy(), "a shutdown would end the process");
        assert!(
            !server.close_least_useful(Pressure::OutOfDescriptors),
            "the connection would be closed for capacity"
        );
        for _ in 0..REQUESTS {
            let (answer, _) = received(&mut client, "ready\n").await;
            assert!(answer.ends_with("ready\n"), "{answer}");
        }
        assert!(!server.is_any_busy());
        assert!(server.close_least_useful(Pressure::OutOfDescriptors));
    });
}

/// A half-closed connection is the first to be closed for capacity, without waiting for its linger timeout.
#[test]
fn a_half_closed_connection_is_closed_first() {
    with_server(async |server, listener| {
        let mut idle = connect(&server, &listener).await;
        idle.write_all(READY).unwrap();
        received(&mut idle, "ready\n").await;
        let mut malformed = connect(&server, &listener).await;
        malformed.write_all(b"what?\r\n\r\n").unwrap();
        assert!(received(&mut malformed, "")
            .await
            .0
            .starts_with("HTTP/1.1 400"));
        assert_eq!(
            server.client_count(),
            2,
            "the malformed request's connection is not lingering"
        );
        assert!(server.close_least_useful(Pressure::OutOfDescriptors));
        let before = Instant::now();
        while server.client_count() > 1 {
            tokio::task::yield_now().await; // does not wait for a timer
        }
        assert!(
            before.elapsed() < Duration::from_millis(300),
            "it took as long as the full lingering close"
        );
        idle.write_all(READY).unwrap();
        assert!(
            received(&mut idle, "ready\n").await.0.ends_with("ready\n"),
            "the other connection was closed too"
        );
    });
}

/// Selecting one of many connections checks for unread input only on the selected one and on those with a request
/// waiting, once each: checking all of them at each accept left no processor time to accept.
#[test]
fn selecting_a_connection_does_not_check_all_of_them_for_unread_input() {
    const SILENT_CLIENTS: usize = 100;
    with_server(async |server, listener| {
        let mut requesting = connect(&server, &listener).await;
        requesting.write_all(READY).unwrap();
        let mut silent = Vec::new();
        for _ in 0..SILENT_CLIENTS {
            silent.push(connect(&server, &listener).await);
        }
        let before = UNREAD_CHECKS.get();
        assert!((0..8).all(|_| server.close_least_useful(Pressure::OutOfDescriptors)));
        assert_eq!(
            UNREAD_CHECKS.get() - before,
            8 + 8,
            "each selection checks the connection with a request and the one that it closes"
        );
        let (answer, _) = received(&mut requesting, "ready\n").await;
        assert!(answer.ends_with("ready\n"), "{answer}");
        for closed in &mut silent[..8] {
            assert_eq!(received(closed, "").await, (String::new(), true));
        }
    });
}

/// A connection that never sent a request is closed before one that is idle between requests, even if that is idle
/// longer.
#[test]
fn a_connection_without_any_request_is_closed_before_an_idle_one() {
    with_server(async |server, listener| {
        let mut idle = connect(&server, &listener).await;
        idle.write_all(READY).unwrap();
        received(&mut idle, "ready\n").await;
        let mut silent = connect(&server, &listener).await;
        tokio::time::sleep(FIRST_REQUEST_GRACE).await; // until then its request may be in transit
        assert!(server.close_least_useful(Pressure::AboveLimit));
        assert_eq!(received(&mut silent, "").await, (String::new(), true));
        idle.write_all(READY).unwrap();
        assert!(received(&mut idle, "ready\n").await.0.ends_with("ready\n"));
    });
}

/// A selected connection is closed at once, even if its client never closes its side.
#[test]
fn a_connection_is_closed_without_waiting_for_its_client() {
    with_server(async |server, listener| {
        let mut silent = Vec::new();
        for _ in 0..8 + CONNECTIONS_ABOVE_LIMIT {
            silent.push(connect(&server, &listener).await);
        }
        assert!(server.close_least_useful(Pressure::OutOfDescriptors));
        server.client_closed.notified().await; // the first selected connection is half closed
        assert_eq!(
            server.client_count(),
            8 + CONNECTIONS_ABOVE_LIMIT,
            "a half-closed connection no longer counts"
        );
        assert!(server.close_least_useful(Pressure::OutOfDescriptors));
        server.client_closed.notified().await;
        assert_eq!(server.client_count(), 8 + CONNECTIONS_ABOVE_LIMIT - 1);
    });
}
