//! Crowds of clients that make a proxy hold as much as they can: members of one or more kinds, each of which plays its
//! kind and connects again as soon as its connection ends.

use super::{entry, pay_request, read_request};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Stack size of a member's or backend connection's thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;
/// Receive buffer of a member's socket, in bytes: its kernel holds next to nothing that the member does not read.
const RECEIVE_BUFFER_BYTES: usize = 4_096;
/// How often a slow member writes or reads.
const SLOW_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes that a slow reader reads at a time.
const SLOW_READ_BYTES: usize = 400;
/// How long a member waits for a complete response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause of a member whose connection is refused.
const RECONNECT_DELAY: Duration = Duration::from_millis(5);
/// Number of backends of a crowd's proxy.
pub const BACKENDS: usize = 10;
/// Shortest and longest time until a backend answers, in milliseconds.
const BACKEND_DELAY_MS: (u64, u64) = (2, 30);

/// What a member does once it has sent its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// Reads the response and connects again.
    Complete,
    /// Reads the response, and keeps the connection open without using it.
    KeepIdle,
    /// Reads 4 kB a second.
    Slow,
    /// Reads nothing until the proxy closes the connection.
    Nothing,
}

/// What each member of a crowd does.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: &'static str,
    text: String,
    /// How fast it sends the text, in bytes a second; `None` for at once.
    rate: Option<usize>,
    reading: Reading,
}

impl Kind {
    fn new(name: &'static str, text: String, reading: Reading) -> Kind {
        Kind {
            name,
            text,
            rate: None,
            reading,
        }
    }
}

/// A GET whose response is `query`, see [`start_backends`].
fn get(query: &str) -> String {
    read_request(3.0).replacen("/read/k1", &format!("/read/k1?{query}"), 1)
}

/// A head without its last line end.
fn open_head() -> String {
    read_request(3.0).strip_suffix("\r\n").unwrap().to_string()
}

fn fields(count: usize, value_bytes: usize) -> String {
    (0..count)
        .map(|n| format!("X-Field-{n}: {}\r\n", "v".repeat(value_bytes)))
        .collect()
}

/// A POST with a body of `length` bytes of which `sent` are sent.
fn post(length: usize, sent: usize) -> String {
    let request = pay_request(3.0).replace("Length: 4", &format!("Length: {length}"));
    request.strip_suffix("cash").unwrap().to_string() + &"x".repeat(sent)
}

/// A POST with a chunked body of chunks of one byte, without its end.
fn chunks_of_one_byte() -> String {
    let head = pay_request(3.0).replace("Content-Length: 4", "Transfer-Encoding: chunked");
    head.strip_suffix("cash").unwrap().to_string() + &"1\r\nx\r\n".repeat(30_000)
}

/// Returns all kinds, in the order in which they are played on one process.
pub fn kinds() -> Vec<Kind> {
    use Reading::{Complete, KeepIdle, Nothing, Slow};
    let with_fields = |count, bytes| format!("{}{}\r\n", open_head(), fields(count, bytes));
    vec![
        Kind::new("90 fields of 600 bytes", with_fields(90, 600), Complete),
        Kind::new(
            "responses of 8 MB with a length",
            get("bytes=8000000"),
            Slow,
        ),
        Kind::new("1,000 short fields", with_fields(1_000, 1), Complete),
        Kind::new("59,000 of 60,000 bytes", post(60_000, 59_000), Nothing),
        Kind::new(
            "9,000 short fields, incomplete",
            open_head() + &"a: b\r\n".repeat(9_000),
            Nothing,
        ),
        Kind::new("chunks of one byte", chunks_of_one_byte(), Nothing),
        Kind {
            rate: Some(20_000),
            ..Kind::new("60 kB at 20 kB/s", post(60_000, 60_000), Complete)
        },
        Kind::new("responses of 8 MB, chunked", get("chunked=8000000"), Slow),
        Kind::new("half of 200 kB", post(200_000, 100_000), Nothing),
        Kind::new("90 fields of 150 bytes", with_fields(90, 150), Complete),
        Kind::new("silent", read_request(3.0)[..40].to_string(), Nothing),
        Kind::new(
            "responses with a head of 12 kB",
            get("head=12000"),
            Complete,
        ),
        Kind::new(
            "90 fields of 150 bytes, kept open",
            with_fields(90, 150),
            KeepIdle,
        ),
        Kind {
            rate: Some(64_000),
            ..Kind::new("200 kB at 64 kB/s", post(200_000, 200_000), Complete)
        },
        Kind::new(
            "responses of 32 MB with a length",
            get("bytes=32000000"),
            Slow,
        ),
        Kind::new(
            "10 requests for 64 kB, pipelined",
            get("bytes=64000").repeat(10),
            Slow,
        ),
        Kind::new("responses of 60 kB, chunked", get("chunked=60000"), Slow),
    ]
}

/// Returns the kind of this name.
pub fn kind(name: &str) -> Kind {
    let found = kinds().into_iter().find(|kind| kind.name == name);
    found.unwrap_or_else(|| panic!("no kind {name}"))
}

/// Starts a crowd's backends and returns their entries in the endpoint list.
///
/// A backend answers after 2 to 30 ms as the query says: `bytes=N` by a body of N bytes, `chunked=N` by one without a
/// length, `head=N` by N bytes of headers, and otherwise by one byte.
pub fn start_backends() -> Vec<String> {
    let start = |n| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                spawn(move || serve_backend(tcp));
            }
        });
        entry(&format!("b{n}"), address, "SERVING")
    };
    (0..BACKENDS).map(start).collect()
}

fn spawn(work: impl FnOnce() + Send + 'static) {
    let builder = std::thread::Builder::new().stack_size(STACK_BYTES);
    builder.spawn(work).unwrap();
}

fn serve_backend(tcp: TcpStream) {
    let mut reader = BufReader::with_capacity(4_096, tcp.try_clone().unwrap());
    let mut out = tcp;
    let (least, most) = BACKEND_DELAY_MS;
    let mut delay = least;
    while let Some(query) = read_request_query(&mut reader) {
        delay = least + (delay * 7 + 5) % (most - least + 1);
        std::thread::sleep(Duration::from_millis(delay));
        if write_response(&mut out, &query).is_err() {
            return;
        }
    }
}

/// Reads a request to its end and returns the query of its target.
fn read_request_query(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let target = line.split(' ').nth(1)?;
    let query = target.split('?').nth(1).unwrap_or_default().to_string();
    let mut length = 0;
    let mut is_chunked = false;
    loop {
        line.clear();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let field = line.trim_end().to_ascii_lowercase();
        if field.is_empty() {
            break;
        }
        if let Some(text) = field.strip_prefix("content-length: ") {
            length = text.parse().ok()?;
        }
        is_chunked |= field == "transfer-encoding: chunked";
    }
    if !is_chunked {
        return skip(reader, length).map(|()| query);
    }
    loop {
        line.clear();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let chunk = u64::from_str_radix(line.trim_end(), 16).ok()?;
        skip(reader, chunk + 2)?;
        if chunk == 0 {
            return Some(query);
        }
    }
}

fn skip(reader: &mut BufReader<TcpStream>, bytes: u64) -> Option<()> {
    let skipped = std::io::copy(&mut reader.take(bytes), &mut std::io::sink()).ok()?;
    (skipped == bytes).then_some(())
}

fn write_response(out: &mut TcpStream, query: &str) -> std::io::Result<()> {
    const PIECE: [u8; 16_384] = [b'x'; 16_384];
    let (what, amount) = query.split_once('=').unwrap_or(("bytes", "1"));
    let amount: usize = amount.parse().unwrap_or(1);
    match what {
        "head" => {
            let field = format!("X-Long: {}\r\n", "v".repeat(490));
            let head = field.repeat(amount / field.len());
            write!(out, "HTTP/1.1 200 OK\r\n{head}Content-Length: 1\r\n\r\nx")?;
        }
        "chunked" => {
            write!(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            let mut left = amount;
            while left > 0 {
                let part = left.min(PIECE.len());
                write!(out, "{part:x}\r\n")?;
                out.write_all(&PIECE[..part])?;
                out.write_all(b"\r\n")?;
                left -= part;
            }
            out.write_all(b"0\r\n\r\n")?;
        }
        _ => {
            write!(out, "HTTP/1.1 200 OK\r\nContent-Length: {amount}\r\n\r\n")?;
            let mut left = amount;
            while left > 0 {
                let part = left.min(PIECE.len());
                out.write_all(&PIECE[..part])?;
                left -= part;
            }
        }
    }
    Ok(())
}

/// Connects a member.
fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.connect(&address.into()).ok()?;
    Some(socket.into())
}

/// Plays a kind on one connection. It ends at `end` or when the kind or the connection does.
fn play_once(address: SocketAddr, kind: &Kind, end: Instant) {
    let Some(mut tcp) = connect(address) else {
        std::thread::sleep(RECONNECT_DELAY);
        return;
    };
    let left = end.saturating_duration_since(Instant::now());
    let _ = tcp.set_write_timeout(Some(left.max(Duration::from_millis(1))));
    if !send(&mut tcp, kind, end) {
        return;
    }
    match kind.reading {
        Reading::Complete | Reading::KeepIdle => {
            let _ = tcp.set_read_timeout(Some(RESPONSE_TIMEOUT.min(left)));
            let mut reader = BufReader::with_capacity(1_024, tcp);
            let response = super::Message::read(&mut reader);
            if response.is_some() && kind.reading == Reading::KeepIdle {
                wait_for_close(reader.get_mut(), end);
            }
        }
        Reading::Nothing => wait_for_close(&mut tcp, end),
        Reading::Slow => {
            let _ = tcp.set_read_timeout(Some(SLOW_INTERVAL));
            while Instant::now() < end && !matches!(tcp.read(&mut [0; SLOW_READ_BYTES]), Ok(0)) {
                std::thread::sleep(SLOW_INTERVAL);
            }
        }
    }
}

/// Sends the kind's text; returns whether all of it was sent.
fn send(tcp: &mut TcpStream, kind: &Kind, end: Instant) -> bool {
    let Some(rate) = kind.rate else {
        return tcp.write_all(kind.text.as_bytes()).is_ok();
    };
    let intervals_per_second = (1_000 / SLOW_INTERVAL.as_millis()) as usize;
    for piece in kind.text.as_bytes().chunks(rate / intervals_per_second) {
        if Instant::now() > end || tcp.write_all(piece).is_err() {
            return false;
        }
        std::thread::sleep(SLOW_INTERVAL);
    }
    true
}

fn wait_for_close(tcp: &mut TcpStream, end: Instant) {
    let _ = tcp.set_read_timeout(Some(SLOW_INTERVAL));
    while Instant::now() < end {
        match tcp.read(&mut [0; SLOW_READ_BYTES]) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}

/// What happened to the requests of ordinary clients that were completely written.
#[derive(Debug, Default)]
pub struct OrdinaryCounts {
    pub served: AtomicU32,
    /// They got another status than 200.
    pub rejected: AtomicU32,
    /// Their connections were closed without an answer.
    pub closed: AtomicU32,
    /// They had no answer after their time and half a second.
    pub late: AtomicU32,
}

/// Time of an ordinary client's request in seconds.
const ORDINARY_TIME_LEFT_S: f64 = 1.0;
const LATENESS_ALLOWED: Duration = Duration::from_millis(550);
const ORDINARY_CLIENTS: usize = 8;
const ORDINARY_PAUSE: Duration = Duration::from_millis(50);

fn ordinary_client(address: SocketAddr, end: Instant, counts: &OrdinaryCounts) {
    while Instant::now() < end {
        std::thread::sleep(ORDINARY_PAUSE);
        let Ok(mut tcp) = TcpStream::connect(address) else {
            continue;
        };
        let _ = tcp.set_read_timeout(Some(Duration::from_secs(5)));
        let written = tcp.write_all(read_request(ORDINARY_TIME_LEFT_S).as_bytes());
        let begun = Instant::now();
        let answer = written
            .ok()
            .and_then(|()| super::Message::read(&mut BufReader::new(tcp)));
        let limit = Duration::from_secs_f64(ORDINARY_TIME_LEFT_S) + LATENESS_ALLOWED;
        let counter = match answer {
            _ if begun.elapsed() > limit => &counts.late,
            None => &counts.closed,
            Some(answer) if answer.status() == 200 => &counts.served,
            Some(_) => &counts.rejected,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Plays `members` clients for `duration`, with ordinary clients beside them. The kinds are dealt to the members in turn.
pub fn play(
    address: SocketAddr,
    kinds: &[Kind],
    members: usize,
    duration: Duration,
) -> OrdinaryCounts {
    let end = Instant::now() + duration;
    let counts = OrdinaryCounts::default();
    std::thread::scope(|scope| {
        for kind in kinds.iter().cycle().take(members) {
            let builder = std::thread::Builder::new().stack_size(STACK_BYTES);
            let member = move || {
                while Instant::now() < end {
                    play_once(address, kind, end);
                }
            };
            builder.spawn_scoped(scope, member).unwrap();
        }
        for _ in 0..ORDINARY_CLIENTS {
            scope.spawn(|| ordinary_client(address, end, &counts));
        }
    });
    counts
}
