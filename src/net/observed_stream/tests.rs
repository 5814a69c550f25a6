//! Observing a peer, counting written requests, and lingering closes.

use super::*;
use std::io::{Read as _, Write as _};

thread_local! {
    /// How often the kernel was queried for unread input.
    pub static UNREAD_CHECKS: Cell<usize> = const { Cell::new(0) };
}

async fn connected_pair() -> (ObservedStream, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let tcp = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    (ObservedStream::new(tcp), listener.accept().unwrap().0)
}

async fn write(stream: &mut ObservedStream, bytes: &[u8]) {
    let mut remaining = bytes;
    while !remaining.is_empty() {
        let n = std::future::poll_fn(|cx| Pin::new(&mut *stream).poll_write(cx, remaining))
            .await
            .unwrap();
        remaining = &remaining[n..];
    }
}

/// A request counts as written exactly with its last byte, as the backend cannot execute it before.
#[tokio::test]
async fn a_request_counts_as_written_with_its_last_byte() {
    let (mut stream, mut peer) = connected_pair().await;
    for parts in [
        ["POST / HTTP/1.1\r\nA: 1\r", "\n\r\nbod", "y"],
        ["GET / HTTP/1.1\r\n", "\r\nbo", "dy"],
    ] {
        stream.begin_request(4);
        for part in parts {
            assert!(!stream.request_written(), "before {part:?}");
            write(&mut stream, part.as_bytes()).await;
        }
        assert!(stream.request_written());
        peer.read_exact(&mut vec![0; parts.concat().len()]).unwrap();
    }
    stream.begin_request(0);
    write(&mut stream, b"GET / HTTP/1.1\r\n\r").await;
    assert!(!stream.request_written());
    write(&mut stream, b"\n").await;
    assert!(stream.request_written());
}

/// Input and a close are visible at once: they are queried from the kernel, as the event loop has not run yet.
#[tokio::test]
async fn input_and_a_close_are_visible_at_once() {
    let (stream, mut peer) = connected_pair().await;
    assert!(!stream.has_activity());
    peer.write_all(b"x").unwrap();
    assert!(stream.has_activity());
    let (stream, peer) = connected_pair().await;
    drop(peer);
    assert!(stream.has_activity());
}

/// A close or reset behind unread bytes is visible at once from the kernel, and soon from the event loop.
#[tokio::test]
async fn a_close_is_visible_behind_unread_bytes() {
    for linger in [None, Some(std::time::Duration::ZERO)] {
        let (stream, mut peer) = connected_pair().await;
        peer.write_all(b"more").unwrap();
        assert!(
            !stream.peer_monitor().has_closed(),
            "unread bytes count as a close"
        );
        socket2::SockRef::from(&peer).set_linger(linger).unwrap();
        drop(peer);
        assert!(stream.peer_monitor().has_closed(), "{linger:?}");
        stream.closed_by_peer().await;
    }
    let (stream, peer) = connected_pair().await;
    let monitor = stream.peer_monitor();
    assert!(!monitor.has_closed());
    drop(stream);
    assert!(monitor.has_closed(), "the monitor keeps the stream open");
    drop(peer);
}

fn read_to_end(peer: &mut std::net::TcpStream) -> io::Result<Vec<u8>> {
    let mut received = Vec::new();
    peer.read_to_end(&mut received).map(|_| received)
}

/// A lingering close with unread input, and more input afterwards, lets the peer read everything that was written and
/// an orderly end instead of a reset.
#[tokio::test]
async fn a_lingering_close_over_unread_input_loses_no_output() {
    let (mut stream, mut peer) = connected_pair().await;
    peer.write_all(&[b'x'; 50_000]).unwrap();
    write(&mut stream, b"the last answer").await;
    let client = std::thread::spawn(move || {
        let received = read_to_end(&mut peer);
        peer.write_all(b"a request that crosses the end").unwrap();
        received
    });
    stream.close_lingering().await;
    drop(stream);
    assert_eq!(client.join().unwrap().unwrap(), b"the last answer");
}

/// A lingering close ends although the peer never closes, and although it never stops sending.
#[tokio::test]
async fn a_lingering_close_is_limited_in_time_and_bytes() {
    let (stream, mut peer) = connected_pair().await;
    stream.close_lingering().await;
    drop(stream);
    assert_eq!(read_to_end(&mut peer).unwrap(), b"");
    let (stream, mut peer) = connected_pair().await;
    let flood = std::thread::spawn(move || while peer.write_all(&[0; 1 << 16]).is_ok() {});
    stream.close_lingering().await;
    drop(stream);
    flood.join().unwrap();
}

/// A connection marked for a reset is reset, and its lingering close does not wait.
#[tokio::test]
async fn a_truncated_response_ends_with_a_reset() {
    let (mut stream, mut peer) = connected_pair().await;
    write(&mut stream, b"half").await;
    stream.reset_on_close();
    stream.close_lingering().await;
    drop(stream);
    assert!(read_to_end(&mut peer).is_err());
}
