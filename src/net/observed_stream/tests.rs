use super::*;
use std::io::{Read as _, Write as _};

thread_local! {
    /// How often the kernel was asked for what waits unread.
    pub static UNREAD_CHECKS: Cell<usize> = const { Cell::new(0) };
}

async fn pair() -> (ObservedStream, std::net::TcpStream) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let tcp = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    (ObservedStream::new(tcp), listener.accept().unwrap().0)
}

async fn write(stream: &mut ObservedStream, bytes: &[u8]) {
    let mut left = bytes;
    while !left.is_empty() {
        let n = std::future::poll_fn(|cx| Pin::new(&mut *stream).poll_write(cx, left))
            .await
            .unwrap();
        left = &left[n..];
    }
}

/// Before the last byte a request has not run, from it on it may have: one byte decides.
#[tokio::test]
async fn a_request_counts_as_written_with_its_last_byte() {
    let (mut stream, mut peer) = pair().await;
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

/// The kernel is asked, not the event loop, which has had no chance to hear of it here.
#[tokio::test]
async fn what_the_other_side_does_is_seen_at_once() {
    let (stream, mut peer) = pair().await;
    assert!(!stream.has_activity());
    peer.write_all(b"x").unwrap();
    assert!(stream.has_activity());
    let (stream, peer) = pair().await;
    drop(peer);
    assert!(stream.has_activity());
}

/// An end behind bytes that nobody has read, by a close or a reset: the kernel tells it at once, the event loop soon.
#[tokio::test]
async fn an_end_is_seen_behind_unread_bytes() {
    for linger in [None, Some(std::time::Duration::ZERO)] {
        let (stream, mut peer) = pair().await;
        peer.write_all(b"more").unwrap();
        assert!(!stream.peer_monitor().has_closed(), "bytes are no end");
        socket2::SockRef::from(&peer).set_linger(linger).unwrap();
        drop(peer);
        assert!(stream.peer_monitor().has_closed(), "{linger:?}");
        stream.closed_by_peer().await;
    }
    let (stream, peer) = pair().await;
    let seen = stream.peer_monitor();
    assert!(!seen.has_closed());
    drop(stream);
    assert!(seen.has_closed(), "it keeps nothing open");
    drop(peer);
}

fn read_to_end(peer: &mut std::net::TcpStream) -> io::Result<Vec<u8>> {
    let mut got = Vec::new();
    peer.read_to_end(&mut got).map(|_| got)
}

/// Bytes that nobody will read stand before the end, and more come behind it: the other side sees what was written
/// and an end, and no reset.
#[tokio::test]
async fn an_end_over_unread_bytes_takes_nothing_away() {
    let (mut stream, mut peer) = pair().await;
    peer.write_all(&[b'x'; 50_000]).unwrap();
    write(&mut stream, b"the last answer").await;
    let other = std::thread::spawn(move || {
        let got = read_to_end(&mut peer);
        peer.write_all(b"a request that crosses the end").unwrap();
        got
    });
    stream.close_lingering().await;
    drop(stream);
    assert_eq!(other.join().unwrap().unwrap(), b"the last answer");
}

/// One that never ends its side is not waited for, and neither is one that never stops sending.
#[tokio::test]
async fn an_end_is_bounded_by_time_and_bytes() {
    let (stream, mut peer) = pair().await;
    stream.close_lingering().await;
    drop(stream);
    assert_eq!(read_to_end(&mut peer).unwrap(), b"");
    let (stream, mut peer) = pair().await;
    let flood = std::thread::spawn(move || while peer.write_all(&[0; 1 << 16]).is_ok() {});
    stream.close_lingering().await;
    drop(stream);
    flood.join().unwrap();
}

/// What has to end with a reset does, whatever stands unread.
#[tokio::test]
async fn an_answer_that_broke_off_ends_with_a_reset() {
    let (mut stream, mut peer) = pair().await;
    write(&mut stream, b"half").await;
    stream.reset_on_close();
    stream.close_lingering().await;
    drop(stream);
    assert!(read_to_end(&mut peer).is_err());
}
