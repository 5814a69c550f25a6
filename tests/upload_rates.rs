//! Long request bodies whose backend reads them steadily, or stops within them: the request's time counts from the
//! client's last byte, however long the body takes.

mod rig;

use rig::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

const MB: usize = 1_000_000;
/// The clients' time in seconds.
const TIME_LEFT_S: f64 = 1.0;
/// How long after its time a request may get its final answer, with the allowance for time limits on sockets.
const GRACE: Duration = Duration::from_millis(550);
/// The end of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// Interval at which a backend reads its next piece.
const READ_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
}

/// A body, and how its backend reads it.
#[derive(Clone, Copy, Debug)]
struct Upload {
    bytes: usize,
    framing: Framing,
    /// Bytes that the backend reads in a second.
    rate: usize,
    /// After so many bytes the backend stops to read.
    hang_after: Option<usize>,
    /// The client pauses this long in the middle of the body.
    pause: Duration,
}

impl Upload {
    /// Returns whether a body is complete of which `read` bytes have arrived, the last of them `tail`.
    fn has_ended(&self, read: usize, tail: &[u8]) -> bool {
        match self.framing {
            Framing::Length => read >= self.bytes,
            Framing::Chunked => tail == LAST_CHUNK,
        }
    }
}

/// Starts a backend that reads bodies as `upload` says, and answers once it has all of one.
fn start_backend(upload: Upload) -> SocketAddr {
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
                let begun = Instant::now();
                let (mut read, mut tail) = (0, Vec::new());
                let mut piece = vec![0; upload.rate / 100];
                while !upload.has_ended(read, &tail) {
                    let Ok(size @ 1..) = reader.read(&mut piece) else {
                        return;
                    };
                    read += size;
                    tail.extend_from_slice(&piece[..size]);
                    tail.drain(..tail.len().saturating_sub(LAST_CHUNK.len()));
                    if upload.hang_after.is_some_and(|after| read >= after) {
                        std::thread::sleep(TEST_TIMEOUT);
                        return;
                    }
                    let due = Duration::from_secs_f64(read as f64 / upload.rate as f64);
                    while begun.elapsed() < due {
                        std::thread::sleep(READ_INTERVAL.min(due.saturating_sub(begun.elapsed())));
                    }
                }
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
                let _ = reader.get_mut().write_all(answer);
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
            });
        }
    });
    address
}

/// Writes the request of an upload.
fn write_upload(to: &mut impl Write, upload: Upload) -> std::io::Result<()> {
    let header = match upload.framing {
        Framing::Length => format!("Content-Length: {}", upload.bytes),
        Framing::Chunked => "Transfer-Encoding: chunked".into(),
    };
    let request = pay_request(TIME_LEFT_S).replace("Content-Length: 4", &header);
    to.write_all(request.strip_suffix("cash").unwrap().as_bytes())?;
    let piece = vec![b'x'; MB / 2];
    for number in 0..upload.bytes / piece.len() {
        if number == upload.bytes / piece.len() / 2 {
            std::thread::sleep(upload.pause);
        }
        match upload.framing {
            Framing::Length => to.write_all(&piece)?,
            Framing::Chunked => {
                let head = format!("{:x}\r\n", piece.len());
                to.write_all(&[head.as_bytes(), &piece, b"\r\n"].concat())?;
            }
        }
    }
    match upload.framing {
        Framing::Length => Ok(()),
        Framing::Chunked => to.write_all(b"0\r\n\r\n"),
    }
}

/// The final answer to an upload.
#[derive(Debug)]
struct Outcome {
    status: u16,
    /// How long after the client's last byte it came; `None` if the client was still writing.
    after: Option<Duration>,
}

fn send(proxy: SocketAddr, upload: Upload) -> Outcome {
    let mut client = Client::connect(proxy);
    let mut writer = client.0.get_ref().try_clone().unwrap();
    let writing = std::thread::spawn(move || {
        let written = write_upload(&mut writer, upload);
        written.map(|()| Instant::now())
    });
    let status = client.response().map_or(0, |answer| answer.status());
    let answered_at = Instant::now();
    drop(client);
    let written_at = writing.join().unwrap().ok();
    let after = written_at.and_then(|at| answered_at.checked_duration_since(at));
    Outcome { status, after }
}

/// Sends `count` uploads at once, each to the backend at `upload`'s rate, and checks their final answers.
fn check(count: usize, upload: Upload, is_expected: impl Fn(u16) -> bool) {
    let known = ["b0", "b1"].map(|name| entry(name, start_backend(upload), "SERVING"));
    let proxy = Proxy::start(&known);
    let proxy_address = proxy.address;
    let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
        let senders: Vec<_> = (0..count)
            .map(|_| scope.spawn(move || send(proxy_address, upload)))
            .collect();
        senders
            .into_iter()
            .map(|sender| sender.join().unwrap())
            .collect()
    });
    println!("{count} {upload:?}: {outcomes:?}");
    for outcome in outcomes {
        assert!(
            is_expected(outcome.status),
            "{count} {upload:?}: {outcome:?}"
        );
        let due = Duration::from_secs_f64(TIME_LEFT_S) + GRACE;
        assert!(
            outcome.after.is_none_or(|after| after <= due),
            "{count} {upload:?}: {outcome:?}"
        );
    }
}

const FRAMINGS: [Framing; 2] = [Framing::Length, Framing::Chunked];

/// Guards against uploads that were rejected while their client still wrote, as their backend was slower than the client
/// and so the proxy never waited for it.
#[test]
fn a_body_that_its_backend_reads_steadily_is_served() {
    let rows = [
        (1, 32, 20, 0),
        (6, 32, 20, 0),
        (1, 64, 20, 0),
        (1, 32, 20, 400),
        (1, 16, 20, 0),
        (1, 20, 12, 0),
    ];
    for framing in FRAMINGS {
        for (count, megabytes, rate, pause_ms) in rows {
            let upload = Upload {
                bytes: megabytes * MB,
                framing,
                rate: rate * MB,
                hang_after: None,
                pause: Duration::from_millis(pause_ms),
            };
            check(count, upload, |status| status == 200);
        }
    }
}

/// Guards against final answers that come seconds after the client's last byte, where a backend reads steadily and then
/// stops.
#[test]
fn a_backend_that_stops_within_a_body_delays_no_final_answer() {
    let rows = [(32, 20, 24), (20, 20, 10), (8, 5, 1), (16, 10, 8)];
    for framing in FRAMINGS {
        for (megabytes, rate, hang_after) in rows {
            let upload = Upload {
                bytes: megabytes * MB,
                framing,
                rate: rate * MB,
                hang_after: Some(hang_after * MB),
                pause: Duration::ZERO,
            };
            // 502 if the last byte was forwarded into the kernel: the request may have run.
            check(1, upload, |status| matches!(status, 502 | 503));
        }
    }
}
