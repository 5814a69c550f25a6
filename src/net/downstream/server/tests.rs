//! What meets between two steps of the server that no other process can part.

use super::*;
use crate::net::observed_stream::tests::ASKED;
use std::io::{Read, Write};

const READY: &[u8] = b"GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";

/// Runs a test beside a server with room for eight clients.
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

/// What comes up to `end`, or to the connection's end; `false`: that was a reset.
async fn heard(peer: &mut std::net::TcpStream, end: &str) -> (String, bool) {
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

/// It is chosen to make room, and its next request comes before it hears of that: that one is answered, and the
/// connection ends with the answer rather than a while later under another request.
#[test]
fn a_request_that_meets_the_choice_to_make_room_is_answered_and_the_last() {
    with_server(async |server, listener| {
        let mut peer = client(&server, &listener).await;
        peer.write_all(READY).unwrap();
        let (answer, _) = heard(&mut peer, "ready\n").await;
        assert!(!answer.contains("connection: close"), "{answer}");
        assert!(server.close_least_useful(Duration::ZERO));
        peer.write_all(READY).unwrap();
        let (answer, plainly) = heard(&mut peer, "").await;
        assert!(
            answer.contains("connection: close") && answer.ends_with("ready\n"),
            "{answer}"
        );
        assert!(plainly);
    });
}

/// It is closed, and its next request comes before the connection's end goes out: that end is plain and no reset, and
/// the request is not served.
#[test]
fn a_request_that_meets_the_close_is_neither_served_nor_answered_by_a_reset() {
    with_server(async |server, listener| {
        let mut peer = client(&server, &listener).await;
        peer.write_all(READY).unwrap();
        heard(&mut peer, "ready\n").await;
        assert!(server.close_least_useful(Duration::ZERO));
        let (rest, plainly) = heard(&mut peer, "").await;
        assert!(rest.is_empty() && plainly, "{rest}");
        peer.write_all(READY).unwrap(); // it has not heard of the end yet
        peer.shutdown(std::net::Shutdown::Write).unwrap();
        while server.clients() > 0 {
            server.client_left.notified().await;
        }
        assert!(peer.take_error().unwrap().is_none(), "a reset");
        assert_eq!(heard(&mut peer, "").await, (String::new(), true));
    });
}

/// A connection that ended but for its client's side is the first to make room, and at once.
#[test]
fn a_lingering_close_makes_room_first() {
    with_server(async |server, listener| {
        let mut resting = client(&server, &listener).await;
        resting.write_all(READY).unwrap();
        heard(&mut resting, "ready\n").await;
        let mut ended = client(&server, &listener).await;
        ended.write_all(b"what?\r\n\r\n").unwrap();
        assert!(heard(&mut ended, "").await.0.starts_with("HTTP/1.1 400"));
        assert_eq!(server.clients(), 2, "it lingers");
        assert!(server.close_least_useful(Duration::ZERO));
        let before = Instant::now();
        while server.clients() > 1 {
            tokio::task::yield_now().await; // no timer is waited for
        }
        assert!(
            before.elapsed() < Duration::from_millis(300),
            "as long as it would have lingered"
        );
        resting.write_all(READY).unwrap();
        assert!(
            heard(&mut resting, "ready\n").await.0.ends_with("ready\n"),
            "the other stays"
        );
    });
}

/// To find who gives way in a crowd, the kernel is asked of who is chosen and of who has a request waiting, and of none
/// twice: to ask it of everyone for each that comes leaves no processor time to take them in.
#[test]
fn a_crowd_makes_room_without_the_kernel_being_asked_of_everyone() {
    const CROWD: usize = 100;
    with_server(async |server, listener| {
        let mut asking = client(&server, &listener).await;
        asking.write_all(READY).unwrap();
        let mut silent = Vec::new();
        for _ in 0..CROWD {
            silent.push(client(&server, &listener).await);
        }
        let before = ASKED.get();
        assert!((0..8).all(|_| server.close_least_useful(Duration::ZERO)));
        assert_eq!(
            ASKED.get() - before,
            8 + 8,
            "one with a request, at each, and one that goes"
        );
        let (answer, _) = heard(&mut asking, "ready\n").await;
        assert!(answer.ends_with("ready\n"), "{answer}");
        for gone in &mut silent[..8] {
            assert_eq!(heard(gone, "").await, (String::new(), true));
        }
    });
}

/// One that has rested longer is kept where another has never said a word.
#[test]
fn who_has_brought_a_request_stays_before_who_is_silent() {
    with_server(async |server, listener| {
        let mut resting = client(&server, &listener).await;
        resting.write_all(READY).unwrap();
        heard(&mut resting, "ready\n").await;
        let mut silent = client(&server, &listener).await;
        tokio::time::sleep(JUST_CONNECTED).await; // so long it may be on its way
        assert!(server.close_least_useful(JUST_CONNECTED));
        assert_eq!(heard(&mut silent, "").await, (String::new(), true));
        resting.write_all(READY).unwrap();
        assert!(heard(&mut resting, "ready\n").await.0.ends_with("ready\n"));
    });
}

/// A chosen one is out of the way with its turn, though its other side never ends.
#[test]
fn room_is_made_without_waiting_for_the_other_side() {
    with_server(async |server, listener| {
        let mut silent = Vec::new();
        for _ in 0..8 + CONNECTIONS_ABOVE_LIMIT {
            silent.push(client(&server, &listener).await);
        }
        assert!(server.close_least_useful(Duration::ZERO));
        server.client_left.notified().await; // it parts
        assert_eq!(
            server.clients(),
            8 + CONNECTIONS_ABOVE_LIMIT,
            "its other side has not ended"
        );
        assert!(server.close_least_useful(Duration::ZERO));
        server.client_left.notified().await;
        assert_eq!(server.clients(), 8 + CONNECTIONS_ABOVE_LIMIT - 1);
    });
}
