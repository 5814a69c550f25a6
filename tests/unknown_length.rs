//! Responses of unknown length from backends that begin at once and write slowly, in lumps. Of one over 64 KiB only the
//! first bytes are due within the request's time.

mod rig;

use rig::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// How much later than the request's time its first byte may come: the allowance for time limits on sockets.
const FIRST_BYTE_GRACE: Duration = Duration::from_millis(50);
/// No part of a response may be held back for this time.
const MAX_GAP: Duration = Duration::from_secs(2);

/// How a backend delimits its response.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Chunked,
    Close,
}

/// A response in lumps.
#[derive(Clone, Copy, Debug)]
struct Lumps {
    bytes: usize,
    count: usize,
    pause: Duration,
    framing: Framing,
}

/// Starts a backend that answers each request with `lumps`, the first of them at once.
fn start_backend(lumps: Lumps) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            std::thread::spawn(move || {
                let mut reader = BufReader::new(tcp);
                let mut line = String::new();
                while reader.read_line(&mut line).is_ok_and(|n| n > 2) {
                    line.clear();
                }
                let _ = write_lumps(reader.get_mut(), lumps);
            });
        }
    });
    address
}

fn write_lumps(to: &mut impl Write, lumps: Lumps) -> std::io::Result<()> {
    let header = match lumps.framing {
        Framing::Chunked => "Transfer-Encoding: chunked",
        Framing::Close => "Connection: close",
    };
    write!(to, "HTTP/1.1 200 OK\r\n{header}\r\n\r\n")?;
    let lump = vec![b'x'; lumps.bytes / lumps.count];
    for number in 0..lumps.count {
        if number > 0 {
            std::thread::sleep(lumps.pause);
        }
        match lumps.framing {
            Framing::Chunked => {
                let head = format!("{:x}\r\n", lump.len());
                to.write_all(&[head.as_bytes(), &lump, b"\r\n"].concat())?;
            }
            Framing::Close => to.write_all(&lump)?,
        }
    }
    match lumps.framing {
        Framing::Chunked => to.write_all(b"0\r\n\r\n"),
        Framing::Close => Ok(()),
    }
}

/// What a client saw of a response, which it read to the end of the connection.
struct Seen {
    text: String,
    first_byte_after: Duration,
    longest_gap: Duration,
}

fn ask(proxy: &Proxy, request: &str) -> Seen {
    let mut client = proxy.client();
    let closing = request.replace("Host: s", "Host: s\r\nConnection: close");
    client.send(&closing);
    let (sent_at, mut last_at) = (Instant::now(), Instant::now());
    let (mut received, mut piece) = (Vec::new(), vec![0; 65_536]);
    let mut seen = Seen {
        text: String::new(),
        first_byte_after: Duration::MAX,
        longest_gap: Duration::ZERO,
    };
    while let Ok(count @ 1..) = client.0.read(&mut piece) {
        let now = Instant::now();
        seen.first_byte_after = seen.first_byte_after.min(now - sent_at);
        if !received.is_empty() {
            seen.longest_gap = seen.longest_gap.max(now - last_at);
        }
        last_at = now;
        received.extend_from_slice(&piece[..count]);
    }
    seen.text = String::from_utf8(received).unwrap();
    seen
}

/// Asks for a response in lumps with this time in seconds, and checks it.
fn check(time_left_s: f64, version: &str, lumps: Lumps) {
    let proxy = Proxy::start(&[entry("b0", start_backend(lumps), "SERVING")]);
    let request = read_request(time_left_s).replace("HTTP/1.1", version);
    let seen = ask(&proxy, &request);
    let case = format!("{lumps:?}, {time_left_s} s, {version}");
    let status = seen.text.lines().next().unwrap_or_default();
    assert!(status.contains(" 200 "), "{case}: {status:?}");
    let body = seen.text.bytes().filter(|byte| *byte == b'x').count();
    assert!(
        body >= lumps.bytes / lumps.count * lumps.count,
        "{case}: {body} bytes"
    );
    let first_due = Duration::from_secs_f64(time_left_s) + FIRST_BYTE_GRACE;
    assert!(
        seen.first_byte_after <= first_due,
        "{case}: first byte after {:?}",
        seen.first_byte_after
    );
    assert!(seen.longest_gap < MAX_GAP, "{case}: {:?}", seen.longest_gap);
}

/// Guards against long responses of unknown length that were given up at their request's time, as less than 64 KiB of them
/// had come by then.
#[test]
fn a_long_response_in_lumps_begins_in_time_and_is_not_cut() {
    let ms = Duration::from_millis;
    let rows = [
        (170_000, 6, ms(260), 0.45),
        (200_000, 8, ms(200), 0.25),
        (150_000, 6, ms(300), 0.75),
        (180_000, 7, ms(270), 0.71),
        (100_000, 10, ms(150), 0.45),
        (100_000, 4, ms(900), 0.45),
        (600_000, 8, ms(200), 0.45),
        (200_000, 8, ms(500), 3.0),
        (70_000, 30, ms(100), 0.25),
    ];
    std::thread::scope(|scope| {
        for (bytes, count, pause, time_left_s) in rows {
            for framing in [Framing::Chunked, Framing::Close] {
                for version in ["HTTP/1.1", "HTTP/1.0"] {
                    let lumps = Lumps {
                        bytes,
                        count,
                        pause,
                        framing,
                    };
                    scope.spawn(move || check(time_left_s, version, lumps));
                }
            }
        }
    });
}

/// A response of unknown length that nothing came of by its time is given up then, as before.
#[test]
fn a_response_without_any_byte_is_given_up_in_time() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for mut tcp in listener.incoming().flatten() {
            let _ = tcp.read(&mut [0; 4096]);
            let _ = tcp.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            held.push(tcp);
        }
    });
    let proxy = Proxy::start(&[entry("b0", address, "SERVING")]);
    let sent_at = Instant::now();
    assert!(proxy.request(&read_request(0.45)).status() >= 500);
    assert!(sent_at.elapsed() <= Duration::from_millis(500));
}
