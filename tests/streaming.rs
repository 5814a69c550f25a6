//! Messages that are too long to hold, and slow ones, on loopback sockets.

mod rig;

use rig::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{mpsc, Arc};
use std::time::Duration;

const LONG: usize = 1_000_000;

fn text(length: usize) -> String {
    (0..length)
        .map(|n| char::from(b'a' + (n % 23) as u8))
        .collect()
}

/// A backend that reads each request's head and does with the connection what the test says.
fn raw(act: impl Fn(usize, TcpStream) + Send + Sync + 'static) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, count, act) = (
        listener.local_addr().unwrap(),
        Arc::new(AtomicUsize::new(0)),
        Arc::new(act),
    );
    let seen = count.clone();
    std::thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let (seen, act) = (seen.clone(), act.clone());
            std::thread::spawn(move || {
                let mut reader = BufReader::new(tcp.try_clone().unwrap());
                let mut line = String::new();
                while reader.read_line(&mut line).is_ok_and(|n| n > 2) {
                    line.clear();
                }
                act(seen.fetch_add(1, SeqCst), tcp);
            });
        }
    });
    (address, count)
}

fn head(length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n")
}

fn one(address: SocketAddr) -> Proxy {
    Proxy::start(&[entry("b0", address, "SERVING")])
}

#[test]
fn long_bodies_and_answers_pass_unchanged() {
    let answer = text(LONG + 7);
    let reply = answer.clone();
    let backend = BackendServer::start(move |_| ok(&reply));
    let proxy = one(backend.address);
    let body = text(LONG);
    let mut client = proxy.client();
    let got = client.request(
        &pay_request(3.0)
            .replace("Length: 4", &format!("Length: {LONG}"))
            .replace("cash", &body),
    );
    assert_eq!((got.status(), got.body == answer.as_bytes()), (200, true));
    assert!(backend.next_request().body == body.as_bytes());
    // Chunked, and with more on the same connection after it.
    let chunked = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    client.send(
        &pay_request(3.0)
            .replace("Content-Length: 4", "Transfer-Encoding: chunked")
            .replace("cash", &chunked),
    );
    assert!(client.response().expect("an answer").body == answer.as_bytes());
    assert!(backend.next_request().body == body.as_bytes());
    let got = client.request(&read_request(3.0));
    assert_eq!((got.status(), got.body == answer.as_bytes()), (200, true));
}

/// The first bytes count: the rest may take longer than the client's time, and comes as the backend gives it.
#[test]
fn a_long_answer_streams_past_the_deadline() {
    for framing in [
        head(2 * LONG),
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".into(),
    ] {
        let gate = Arc::new(Gate::default());
        let wait = gate.clone();
        let (address, _) = raw(move |_, mut tcp| {
            tcp.write_all(framing.as_bytes()).unwrap();
            tcp.write_all(text(LONG).as_bytes()).unwrap();
            wait.wait();
            tcp.write_all(text(LONG).as_bytes()).unwrap();
        });
        let proxy = one(address);
        let mut client = proxy.client();
        client.send(&read_request(0.4));
        let mut first = vec![0; LONG / 2];
        client.0.read_exact(&mut first).unwrap();
        assert!(first.starts_with(b"HTTP/1.1 200"));
        std::thread::sleep(Duration::from_millis(600));
        gate.open();
        client
            .0
            .read_exact(&mut vec![0; LONG + LONG / 2])
            .expect("the rest"); // the head and what ends it are over
    }
}

/// A break in what has begun to stream shows to the client, and nothing is sent again.
#[test]
fn a_long_answer_that_breaks_is_not_taken_for_whole() {
    let (address, count) = raw(|_, mut tcp| {
        tcp.write_all(head(2 * LONG).as_bytes()).unwrap();
        tcp.write_all(text(LONG).as_bytes()).unwrap();
    });
    let proxy = one(address);
    let mut client = proxy.client();
    client.send(&read_request(3.0));
    let mut got = Vec::new();
    let _ = client.0.read_to_end(&mut got);
    assert!(
        got.starts_with(b"HTTP/1.1 200") && got.len() < 2 * LONG,
        "{}",
        got.len()
    );
    assert_eq!(count.load(SeqCst), 1);
    // The same for one that knows no chunks and no length: only a reset tells it.
    let (address, _) = raw(|_, mut tcp| {
        tcp.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .unwrap();
        tcp.write_all(format!("{LONG:x}\r\n{}\r\n", text(LONG)).as_bytes())
            .unwrap();
    });
    let proxy = one(address);
    let mut client = proxy.client();
    client.send(&read_request(3.0).replace("HTTP/1.1", "HTTP/1.0"));
    assert!(
        client.0.read_to_end(&mut Vec::new()).is_err(),
        "no plain end"
    );
}

/// A body goes on while it comes. Where the backend ends, the rest is not sent to another.
#[test]
fn a_long_body_goes_to_one_backend_only() {
    let (tell, heard) = mpsc::channel();
    let tell = std::sync::Mutex::new(tell);
    let first = raw(move |_, mut tcp| {
        let mut piece = vec![0; 100_000];
        tcp.read_exact(&mut piece).unwrap();
        tell.lock().unwrap().send(()).unwrap();
    });
    let proxy = one(first.0);
    let mut client = proxy.client();
    let all = pay_request(3.0)
        .replace("Length: 4", &format!("Length: {LONG}"))
        .replace("cash", &text(LONG / 2));
    client.send(&all);
    heard
        .recv_timeout(TEST_TIMEOUT)
        .expect("it goes on before it is whole");
    assert_eq!(
        client.response().expect("an answer").status(),
        503,
        "it never ran"
    );
    assert_eq!(first.1.load(SeqCst), 1);
}

/// What a client does not take is not read from the backend either.
#[test]
fn a_client_that_does_not_read_holds_little() {
    const HUGE: usize = 256 << 20;
    let (sent, stopped) = (Arc::new(AtomicUsize::new(0)), Arc::new(Gate::default()));
    let (count, stop) = (sent.clone(), stopped.clone());
    let (address, _) = raw(move |_, mut tcp| {
        tcp.set_write_timeout(Some(Duration::from_millis(500)))
            .unwrap();
        tcp.write_all(head(HUGE).as_bytes()).unwrap();
        let piece = text(1 << 16);
        while count.load(SeqCst) < HUGE && tcp.write_all(piece.as_bytes()).is_ok() {
            count.fetch_add(1 << 16, SeqCst);
        }
        stop.open();
    });
    let proxy = one(address);
    let mut client = proxy.client();
    client.send(&read_request(3.0));
    stopped.wait();
    assert!(sent.load(SeqCst) < HUGE / 4, "{}", sent.load(SeqCst));
    assert_eq!(
        proxy
            .client()
            .request("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n")
            .status(),
        200
    );
}

/// Slower than the patience with one that makes no progress, and short of the class's deadline at no time.
#[test]
fn a_slow_body_is_waited_for_while_it_comes() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = one(backend.address);
    let mut client = proxy.client();
    let length = 64 * 4000;
    client.send(
        pay_request(1.0)
            .replace("Length: 4", &format!("Length: {length}"))
            .strip_suffix("cash")
            .unwrap(),
    );
    for _ in 0..64 {
        client.send(&text(4000));
        std::thread::sleep(Duration::from_millis(62));
    }
    assert_eq!(client.response().expect("an answer").status(), 200);
    assert_eq!(backend.next_request().body.len(), length);
}

#[test]
fn other_forms_of_the_protocol_are_understood() {
    let backend = BackendServer::start(|_| ok("x"));
    let proxy = one(backend.address);
    let mut client = proxy.client();
    client.send(
        &read_request(3.0).replace("GET /read/k1", "GET http://service.internal/read/k1?a=b"),
    );
    assert_eq!(client.response().expect("an answer").status(), 200);
    assert_eq!(
        backend.next_request().start_line,
        "GET /read/k1?a=b HTTP/1.1"
    );
    let ask = pay_request(3.0).replace("Host: s", "Host: s\r\nExpect: 100-continue");
    client.send(ask.strip_suffix("cash").unwrap());
    assert_eq!(client.response().expect("a word to go on").status(), 100);
    client.send("cash");
    assert_eq!(client.response().expect("an answer").status(), 200);
    client.send(&(read_request(3.0) + &read_request(3.0)));
    assert_eq!(client.response().expect("the first").status(), 200);
    assert_eq!(client.response().expect("the second").status(), 200);
    let mut old = proxy.client();
    old.send(&read_request(3.0).replace("HTTP/1.1", "HTTP/1.0"));
    assert_eq!(old.response().expect("an answer").status(), 200);
    assert!(old.is_closed());
    for bad in [
        "Content-Length: 4\r\nContent-Length: 5",
        "Content-Length: 4, 5",
        "Transfer-Encoding: chunked, x",
    ] {
        let answer = proxy.request(&pay_request(3.0).replace("Content-Length: 4", bad));
        assert_eq!(answer.status(), 400, "{bad}");
    }
}

/// A backend that stops reading while its connection stays open is given up, and its client with it.
#[test]
fn a_backend_that_takes_nothing_of_a_body_is_given_up() {
    const HUGE: usize = 64 << 20;
    let (address, _) = raw(move |_, tcp| {
        std::thread::sleep(4 * TEST_TIMEOUT);
        drop(tcp);
    });
    let body = text(1 << 20);
    let proxy = one(address);
    let mut client = proxy.client();
    client.send(
        pay_request(3.0)
            .replace("Length: 4", &format!("Length: {HUGE}"))
            .strip_suffix("cash")
            .unwrap(),
    );
    let mut writer = client.0.get_ref().try_clone().unwrap();
    let sending =
        std::thread::spawn(move || (0..64).all(|_| writer.write_all(body.as_bytes()).is_ok()));
    let mut first = [0; 12];
    let got = client.0.read(&mut first);
    let ended = got.map_or_else(
        |e| e.kind() != std::io::ErrorKind::WouldBlock,
        |n| !first[..n].ends_with(b"200"),
    );
    assert!(ended, "it waits for ever");
    drop((client, proxy));
    assert!(!sending.join().unwrap(), "nobody took all of it");
}

/// A body far longer than the memory whose request is refused while it still comes: its client hears so, and nothing of
/// the rest is kept.
#[test]
fn the_rest_of_a_refused_body_is_read_and_not_kept() {
    const HUGE: usize = 48_000_000;
    let nobody = RefusingPort::new();
    let proxy = one(nobody.address());
    let resident = || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).unwrap();
        let most = status
            .lines()
            .find_map(|l| l.strip_prefix("VmHWM:"))
            .unwrap()
            .trim()
            .to_string();
        most.split(' ').next().unwrap().parse::<usize>().unwrap() * 1024
    };
    let before = resident();
    let mut client = proxy.client();
    client.send(
        &pay_request(3.0)
            .replace("Length: 4", &format!("Length: {HUGE}"))
            .replace("cash", ""),
    );
    let piece = text(100_000);
    (0..HUGE / piece.len()).for_each(|_| client.send(&piece));
    assert_eq!(client.response().expect("an answer").status(), 503);
    let grown = resident() - before;
    assert!(
        grown < HUGE / 4,
        "{grown} bytes more for a body of {HUGE} that was refused"
    );
}
