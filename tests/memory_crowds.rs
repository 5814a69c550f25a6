//! Peak memory of a proxy that holds a crowd, under the least memory that it is run with (`limits.memory_mb`) and as many
//! descriptors as it is given at most.

mod rig;

use rig::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const MEMORY_MB: u64 = 32;
/// What a process built for service uses at rest. One built for tests uses more, which is left out.
const AT_REST_KB: u64 = 6_200;
/// More clients than the proxy holds at once with 1,024 descriptors.
const CROWD: usize = 520;
/// How long a crowd stays.
const DURATION: Duration = Duration::from_secs(4);

/// The highest resident memory of the process so far, in kB.
fn peak_memory_kb(proxy: &Proxy) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.unwrap().split_whitespace().nth(1).unwrap();
    number.parse().unwrap()
}

/// Connects a client whose kernel holds next to nothing that the client does not read.
fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.connect(&address.into()).ok()?;
    Some(socket.into())
}

/// A member of the crowd: it writes `text` at `rate` bytes a second, and reads 4 kB a second.
fn member(address: SocketAddr, text: &[u8], rate: usize) {
    let Some(mut tcp) = connect(address) else {
        return;
    };
    let end = std::time::Instant::now() + DURATION;
    let _ = tcp.set_write_timeout(Some(DURATION));
    for piece in text.chunks((rate / 10).max(1)) {
        if std::time::Instant::now() > end || tcp.write_all(piece).is_err() {
            break;
        }
        if rate < usize::MAX {
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    let _ = tcp.set_read_timeout(Some(Duration::from_millis(100)));
    while std::time::Instant::now() < end {
        let _ = tcp.read(&mut [0; 400]);
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// What each member of a crowd does.
struct Crowd {
    name: &'static str,
    text: String,
    rate: usize,
    /// The length of the backend's response in bytes.
    response: usize,
}

/// Plays the crowd, and returns the peak memory in kB, with [`AT_REST_KB`] in place of what this build uses at rest.
fn play(crowd: &Crowd) -> u64 {
    let body = "x".repeat(crowd.response);
    let known = ["b0", "b1"].map(|name| {
        let body = body.clone();
        let backend = BackendServer::start(move |_| ok(&body));
        entry(name, backend.address, "SERVING")
    });
    let proxy = Proxy::with_memory_mb(&known, MEMORY_MB);
    let address = proxy.address;
    let at_rest_kb = peak_memory_kb(&proxy);
    std::thread::scope(|scope| {
        for _ in 0..CROWD {
            std::thread::Builder::new()
                .stack_size(128 * 1024)
                .spawn_scoped(scope, || member(address, crowd.text.as_bytes(), crowd.rate))
                .unwrap();
        }
    });
    assert_eq!(
        proxy
            .request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status(),
        200,
        "{}",
        crowd.name
    );
    peak_memory_kb(&proxy) - at_rest_kb + AT_REST_KB
}

fn crowds() -> Vec<Crowd> {
    let crowd = |name, text: String, response| Crowd {
        name,
        text,
        rate: usize::MAX,
        response,
    };
    let head = read_request(3.0);
    let partial = head.strip_suffix("\r\n").unwrap();
    let with_body = |length: usize, sent: usize| {
        let request = pay_request(3.0).replace("Length: 4", &format!("Length: {length}"));
        request.strip_suffix("cash").unwrap().to_string() + &"x".repeat(sent)
    };
    let chunked = pay_request(3.0).replace("Content-Length: 4", "Transfer-Encoding: chunked");
    let chunked = chunked.strip_suffix("cash").unwrap();
    vec![
        crowd("silent after a head", head.clone(), 1),
        crowd("stopped within a head", partial.into(), 1),
        crowd(
            "a long field",
            format!("{partial}X-Long: {}", "y".repeat(60_000)),
            1,
        ),
        crowd(
            "many short fields",
            partial.to_string() + &"a: b\r\n".repeat(9_000),
            1,
        ),
        crowd(
            "90 fields",
            partial.to_string() + &format!("a: {}\r\n", "b".repeat(600)).repeat(90),
            1,
        ),
        crowd("59,000 of 60,000 bytes", with_body(60_000, 59_000), 1),
        crowd("half of 10 MB", with_body(10_000_000, 5_000_000), 1),
        Crowd {
            rate: 64_000,
            ..crowd("200 kB at 64 kB/s", with_body(200_000, 200_000), 1)
        },
        crowd(
            "chunks of one byte",
            chunked.to_string() + &"1\r\nx\r\n".repeat(30_000),
            1,
        ),
        crowd("responses of 64 kB", head.clone(), 65_000),
        crowd("responses of 8 MB", head.clone(), 8_000_000),
    ]
}

/// Guards against a process that was killed for its memory while some hundred clients wrote or read slowly.
#[test]
fn a_crowd_does_not_exceed_the_least_memory() {
    let mut failed = Vec::new();
    for crowd in crowds() {
        let peak_kb = play(&crowd);
        println!("{}: {peak_kb} kB", crowd.name);
        if peak_kb > MEMORY_MB * 1000 {
            failed.push(format!("{}: {peak_kb} kB", crowd.name));
        }
    }
    assert!(failed.is_empty(), "over {MEMORY_MB} MB: {failed:?}");
}
