//! A backend that does nothing by itself: every connection and every byte is the test's, so that it decides the
//! order of what happens on the two ends.

use super::{Message, PATIENCE};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

pub struct Scripted {
    pub address: SocketAddr,
    accepted: mpsc::Receiver<TcpStream>,
}

impl Scripted {
    pub fn start() -> Scripted {
        Scripted::on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    fn on(listener: TcpListener) -> Scripted {
        let address = listener.local_addr().unwrap();
        let (tell, accepted) = mpsc::channel();
        std::thread::spawn(move || {
            listener
                .incoming()
                .flatten()
                .all(|tcp| tell.send(tcp).is_ok())
        });
        Scripted { address, accepted }
    }

    /// The next connection.
    pub fn accept(&self) -> Wire {
        let tcp = self
            .accepted
            .recv_timeout(PATIENCE)
            .expect("a connection to the backend");
        Wire::new(tcp)
    }

    /// One that has come already.
    pub fn accepted(&self) -> Option<Wire> {
        self.accepted.try_recv().ok().map(Wire::new)
    }
}

/// A machine on which no connection comes up until the test lets it: its queue is full.
pub struct Late {
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl Late {
    pub fn start() -> Late {
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
        Late { listener, queued }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// From now on connections come up, with the next try of the side that connects.
    pub fn open(self) -> Scripted {
        for _ in &self.queued {
            self.listener.accept().unwrap();
        }
        Scripted::on(self.listener)
    }
}

/// One connection from the proxy.
pub struct Wire(pub BufReader<TcpStream>);

impl Wire {
    fn new(tcp: TcpStream) -> Wire {
        tcp.set_read_timeout(Some(PATIENCE)).unwrap();
        tcp.set_nodelay(true).unwrap();
        Wire(BufReader::new(tcp))
    }

    /// Whether something has come on it.
    pub fn stirs(&self) -> bool {
        let tcp = self.0.get_ref();
        tcp.set_nonblocking(true).unwrap();
        let came = tcp.peek(&mut [0]).is_ok();
        tcp.set_nonblocking(false).unwrap();
        came
    }

    /// Waits for the next request.
    pub fn request(&mut self) -> Message {
        Message::read(&mut self.0).expect("a request at the backend")
    }

    /// Waits for so many bytes.
    pub fn bytes(&mut self, count: usize) -> Vec<u8> {
        let mut got = vec![0; count];
        self.0.read_exact(&mut got).expect("more of a request");
        got
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.0.get_mut().write_all(bytes.as_ref()).unwrap();
    }

    /// A whole answer.
    pub fn answer(&mut self, body: &str) {
        self.send(answer(body));
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
    pub fn rest(mut self) -> Vec<u8> {
        let (mut all, mut piece, end) = (Vec::new(), [0; 4096], Instant::now() + PATIENCE);
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

pub fn answer(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
