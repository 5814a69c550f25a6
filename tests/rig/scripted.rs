//! A backend that does nothing by itself: every connection and every byte is the test's, so that it decides the
//! order of what happens on the two ends.

use super::{Message, TEST_TIMEOUT};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

pub struct ScriptedBackend {
    pub address: SocketAddr,
    accepted: mpsc::Receiver<TcpStream>,
}

impl ScriptedBackend {
    pub fn start() -> ScriptedBackend {
        ScriptedBackend::start_on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    fn start_on(listener: TcpListener) -> ScriptedBackend {
        let address = listener.local_addr().unwrap();
        let (tell, accepted) = mpsc::channel();
        std::thread::spawn(move || {
            listener
                .incoming()
                .flatten()
                .all(|tcp| tell.send(tcp).is_ok())
        });
        ScriptedBackend { address, accepted }
    }

    /// The next connection.
    pub fn accept(&self) -> BackendConnection {
        let tcp = self
            .accepted
            .recv_timeout(TEST_TIMEOUT)
            .expect("a connection to the backend");
        BackendConnection::new(tcp)
    }

    /// One that has come already.
    pub fn try_accept(&self) -> Option<BackendConnection> {
        self.accepted.try_recv().ok().map(BackendConnection::new)
    }
}

/// A machine on which no connection comes up until the test lets it: its queue is full.
pub struct FullBacklog {
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl FullBacklog {
    pub fn start() -> FullBacklog {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any.into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let (to, mut queued) = (listener.local_addr().unwrap(), Vec::new());
        while let Ok(tcp) = TcpStream::connect_timeout(&to, Duration::from_millis(200)) {
            queued.push(tcp);
        }
        FullBacklog { listener, queued }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// From now on connections come up, with the next try of the side that connects.
    pub fn start_accepting(self) -> ScriptedBackend {
        for _ in &self.queued {
            self.listener.accept().unwrap();
        }
        ScriptedBackend::start_on(self.listener)
    }
}

/// One connection from the proxy.
pub struct BackendConnection(pub BufReader<TcpStream>);

impl BackendConnection {
    fn new(tcp: TcpStream) -> BackendConnection {
        tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        tcp.set_nodelay(true).unwrap();
        BackendConnection(BufReader::new(tcp))
    }

    /// Whether something has come on it.
    pub fn has_data(&self) -> bool {
        let tcp = self.0.get_ref();
        tcp.set_nonblocking(true).unwrap();
        let came = tcp.peek(&mut [0]).is_ok();
        tcp.set_nonblocking(false).unwrap();
        came
    }

    /// Waits for the next request.
    pub fn next_request(&mut self) -> Message {
        Message::read(&mut self.0).expect("a request at the backend")
    }

    /// Waits for so many bytes.
    pub fn read_bytes(&mut self, count: usize) -> Vec<u8> {
        let mut got = vec![0; count];
        self.0.read_exact(&mut got).expect("more of a request");
        got
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.0.get_mut().write_all(bytes.as_ref()).unwrap();
    }

    /// A whole answer.
    pub fn send_response(&mut self, body: &str) {
        self.send(ok_response(body));
    }

    /// Ends it in order.
    pub fn close(self) {}

    /// Ends it with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(self.0.get_ref())
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }

    /// What came until the proxy ended it, reset or not.
    pub fn read_until_closed(mut self) -> Vec<u8> {
        let (mut all, mut piece, end) = (Vec::new(), [0; 4096], Instant::now() + TEST_TIMEOUT);
        while Instant::now() < end {
            match self.0.read(&mut piece) {
                Ok(0) => return all,
                Ok(n) => all.extend_from_slice(&piece[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return all,
                Err(e) => panic!("the proxy does not end it: {e}"),
            }
        }
        panic!("the proxy goes on sending");
    }
}

pub fn ok_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
