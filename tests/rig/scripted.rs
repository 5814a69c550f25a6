//! A backend whose connections the test accepts, reads and writes itself, so that it controls the order of events
//! between the proxy and the backend.

use super::{Message, TEST_TIMEOUT};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// A listening backend that sends nothing by itself.
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
        let (sender, accepted) = mpsc::channel();
        std::thread::spawn(move || {
            listener
                .incoming()
                .flatten()
                .all(|tcp| sender.send(tcp).is_ok())
        });
        ScriptedBackend { address, accepted }
    }

    /// Waits for the next connection.
    pub fn accept(&self) -> BackendConnection {
        let tcp = self
            .accepted
            .recv_timeout(TEST_TIMEOUT)
            .expect("no connection reached the backend in time");
        BackendConnection::new(tcp)
    }

    /// The next connection, if one has arrived already.
    pub fn try_accept(&self) -> Option<BackendConnection> {
        self.accepted.try_recv().ok().map(BackendConnection::new)
    }
}

/// A listener with a full backlog: connections to it stay incomplete until the test accepts the ones that fill it.
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

    /// Empties the backlog. Waiting connections complete when the connecting side next retransmits its SYN.
    pub fn start_accepting(self) -> ScriptedBackend {
        for _ in &self.queued {
            self.listener.accept().unwrap();
        }
        ScriptedBackend::start_on(self.listener)
    }
}

/// One connection from the proxy to a [`ScriptedBackend`].
pub struct BackendConnection(pub BufReader<TcpStream>);

impl BackendConnection {
    fn new(tcp: TcpStream) -> BackendConnection {
        tcp.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        tcp.set_nodelay(true).unwrap();
        BackendConnection(BufReader::new(tcp))
    }

    /// Whether unread bytes have arrived.
    pub fn has_data(&self) -> bool {
        let tcp = self.0.get_ref();
        tcp.set_nonblocking(true).unwrap();
        let arrived = tcp.peek(&mut [0]).is_ok();
        tcp.set_nonblocking(false).unwrap();
        arrived
    }

    /// Waits for the next request.
    pub fn next_request(&mut self) -> Message {
        Message::read(&mut self.0).expect("no complete request reached the backend")
    }

    /// Waits for `count` bytes.
    pub fn read_bytes(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.0.read_exact(&mut bytes).expect("incomplete request");
        bytes
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.0.get_mut().write_all(bytes.as_ref()).unwrap();
    }

    /// Sends a complete response with status 200.
    pub fn send_response(&mut self, body: &str) {
        self.send(ok_response(body));
    }

    /// Closes the connection with a FIN.
    pub fn close(self) {}

    /// Closes the connection with a reset (RST).
    pub fn reset(self) {
        socket2::SockRef::from(self.0.get_ref())
            .set_linger(Some(Duration::ZERO))
            .unwrap();
    }

    /// Reads until the proxy closes or resets the connection and returns the bytes received.
    pub fn read_until_closed(mut self) -> Vec<u8> {
        let (mut all, mut buffer, end) = (Vec::new(), [0; 4096], Instant::now() + TEST_TIMEOUT);
        while Instant::now() < end {
            match self.0.read(&mut buffer) {
                Ok(0) => return all,
                Ok(n) => all.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return all,
                Err(e) => panic!("the proxy did not close the connection: {e}"),
            }
        }
        panic!("the proxy was still sending on the connection at the timeout");
    }
}

/// A complete HTTP response with status 200.
pub fn ok_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
