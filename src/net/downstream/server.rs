//! Clients: the listener, their connections, and the graceful shutdown.

mod request;

use crate::net::downstream::body::Flow;
use crate::net::host::Host;
use crate::net::observed_stream::Stream;
use crate::net::{span, MAX_BODY};
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use imbl::Vector;
use meadowproxy::settings::Network;
use meadowproxy::{Config, Micros, RequestClass, Time};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::convert::Infallible;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::{info, warn};

/// After SIGTERM new connections go on coming for up to 0.4 s.
const LINGER: Duration = Duration::from_millis(500);
/// Kept after the longest deadline for the last answers' way out.
const FLUSH: Duration = Duration::from_millis(100);
/// Connections over the bound, out of the reserve: each is closed after its answer.
const OVER_BOUND: usize = 24;
const BACKLOG: u32 = 1024;
/// A head that began and of which nothing more came for so long holds its connection no more where room is needed.
const HEAD_PAUSE: Duration = Duration::from_secs(1);
/// The request of one that has just come is on its way.
const JUST_NOW: Duration = Duration::from_millis(200);
/// A peer without a whole head so long after connecting is let go: within three seconds it is owed an end.
const FIRST_HEAD: Duration = Duration::from_millis(2_500);
/// What the kernel has is read within this time: a head that came before the end of the wait is not too late, and one
/// who has said nothing for as long came without a request.
const ONE_TURN: Duration = Duration::from_millis(20);
/// A connection that was told to end and has not is cut after this time: its client reads nothing.
const CLOSE_PATIENCE: Duration = Duration::from_secs(1);
/// Out of descriptors with nobody who leaves, a listener is tried again after this time.
const RETRY_ACCEPT: Duration = Duration::from_millis(5);
/// Lines about a failing listener come no faster.
const ACCEPT_LOG: Micros = Micros(1_000_000);

/// Heard by nobody, but for one who closed only its own side.
const LEFT: (StatusCode, &str) = (
    StatusCode::BAD_REQUEST,
    "the client closed the connection\n",
);

/// What goes out to a client.
type Outward = Either<Full<Bytes>, Flow>;

/// What requests are checked against.
pub struct Rules {
    pub classes: Vector<RequestClass>,
    pub deadlines: Vector<Micros>,
    pub max_retry_after: Micros,
}

impl Rules {
    pub fn new(config: &Config, network: &Network) -> Rules {
        Rules {
            classes: config.classes.clone(),
            deadlines: network.deadlines.clone(),
            max_retry_after: network.max_retry_after,
        }
    }
}

struct Client {
    stream: Stream,
    busy: Cell<bool>,
    /// No whole head has come on it yet.
    fresh: Cell<bool>,
    /// When it was accepted or last answered.
    since: Cell<Time>,
    /// It was chosen to make room.
    leaving: Cell<bool>,
    /// All that is left of it is a lingering close.
    parting: Cell<bool>,
    close: Notify,
}

/// Who gives way first where room is needed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Quiet {
    /// It has ended but for its other side.
    Parting,
    /// It has never brought a request.
    Silent,
    /// It is between two requests, or stopped half way in a head.
    Resting,
    /// It has just come.
    New,
}

impl Client {
    /// Nothing is owed on it any more.
    fn done(&self) {
        self.parting.set(true);
        self.busy.set(false);
        self.leaving.set(false);
    }

    /// How it is quiet and since when, as far as this side has read: the kernel is asked of none but the one chosen.
    fn quiet(&self, now: Instant, since: Instant) -> Option<(Quiet, Instant)> {
        if self.busy.get() || self.leaving.get() {
            return None;
        }
        match self.stream.heard_at() {
            _ if self.parting.get() => Some((Quiet::Parting, since)),
            Some(at) => (now - at >= HEAD_PAUSE).then_some((Quiet::Resting, at)),
            None if !self.fresh.get() => Some((Quiet::Resting, since)),
            None if now - since >= JUST_NOW => Some((Quiet::Silent, since)),
            None => Some((Quiet::New, since)),
        }
    }

    /// Ends the connection and gives way at once where room is needed.
    async fn part(&self) {
        let room_needed = async {
            while !self.leaving.get() {
                self.close.notified().await; // a shutdown notifies as well
            }
        };
        tokio::select! {
            () = self.stream.end() => {}
            () = room_needed => {}
        }
    }
}

pub struct Server {
    host: Rc<Host>,
    rules: RefCell<Rc<Rules>>,
    max: Cell<usize>,
    clients: RefCell<HashMap<u64, Rc<Client>>>,
    next: Cell<u64>,
    /// Clients are taken.
    taking: Cell<bool>,
    stopping: Cell<bool>,
    left: Notify,
    told: Cell<Time>,
}

pub fn listen(at: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if at.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?; // a restart comes back while old connections still linger
    socket.bind(at)?;
    socket.listen(BACKLOG)
}

impl Server {
    pub fn new(host: Rc<Host>, rules: Rules, max: usize) -> Rc<Server> {
        let (clients, next, told) = (RefCell::default(), Cell::new(0), Cell::default());
        let (taking, stopping, left) = (Cell::new(false), Cell::new(false), Notify::new());
        let (rules, max) = (RefCell::new(Rc::new(rules)), Cell::new(max));
        Rc::new(Server {
            host,
            rules,
            max,
            clients,
            next,
            taking,
            stopping,
            left,
            told,
        })
    }

    pub fn clients(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Whether this process takes clients.
    pub fn taking(&self) -> bool {
        self.taking.get()
    }

    /// The settings changed.
    pub fn retune(&self, rules: Rules) {
        *self.rules.borrow_mut() = Rc::new(rules);
    }

    /// So many connections from now on.
    pub fn limit(&self, max: usize) {
        self.max.set(max);
    }

    /// Accepts until told to stop, then answers what it has taken and returns. Where `succeeded` says that
    /// another process takes what comes, the listener and its queue are left to it at once.
    pub async fn run(
        self: Rc<Self>,
        listener: TcpListener,
        stop: impl Future<Output = ()>,
        succeeded: impl Fn() -> bool,
    ) {
        let mut stop = pin!(stop);
        self.taking.set(true);
        loop {
            tokio::select! {
                _ = self.accept(&listener) => {}
                _ = &mut stop => break,
            }
        }
        self.taking.set(false);
        self.stopping.set(true);
        if succeeded() {
            info!("another process takes the clients that come");
            drop(listener);
            self.linger().await;
        } else {
            self.accept_the_last(listener).await;
        }
        self.finish().await;
    }

    /// Clients go on using the connections they have: each is told to close with its next answer, and what is
    /// idle is closed only later, as a close may cross a request.
    async fn linger(&self) {
        let end = Instant::now() + LINGER;
        while self.clients() > 0 && Instant::now() < end {
            let _ = tokio::time::timeout_at(end, self.left.notified()).await;
        }
    }

    /// New connections go on coming for a while.
    async fn accept_the_last(self: &Rc<Self>, listener: TcpListener) {
        let mut linger = pin!(tokio::time::sleep(LINGER));
        loop {
            tokio::select! {
                _ = self.accept(&listener) => {}
                _ = &mut linger => break,
            }
        }
        // What the kernel has accepted is owed an answer: the backlog is emptied before it is closed.
        let Ok(listener) = listener.into_std() else {
            return;
        };
        let end = Instant::now() + LINGER;
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    let tcp = stream
                        .set_nonblocking(true)
                        .and_then(|()| TcpStream::from_std(stream));
                    tcp.into_iter().for_each(|tcp| self.take_in(tcp));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock || Instant::now() >= end => return,
                Err(_) => {
                    // Out of descriptors: whoever is answered makes room.
                    let _ = self.close_quietest(Duration::ZERO) || self.host.pool.close_oldest();
                    let _ =
                        tokio::time::timeout(Duration::from_millis(20), self.left.notified()).await;
                }
            }
        }
    }

    async fn finish(&self) {
        // Past the longest deadline nothing is owed any more; a client that holds a connection open with half
        // of a request does not keep the program.
        let longest = self
            .rules
            .borrow()
            .deadlines
            .iter()
            .max()
            .copied()
            .unwrap_or_default();
        let end = Instant::now() + span(longest) + FLUSH;
        // A long answer or upload that goes on past that is not this side's to end: the platform does.
        while self.clients() > 0
            && (Instant::now() < end || self.clients.borrow().values().any(|c| c.busy.get()))
        {
            // Told again and again: one whose request had just arrived is not closed at the first time.
            self.clients
                .borrow()
                .values()
                .for_each(|c| c.close.notify_one());
            let _ = tokio::time::timeout(Duration::from_millis(20), self.left.notified()).await;
        }
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        while self.clients() >= self.max.get() + OVER_BOUND {
            // Until it has gone, who was told to go still holds a descriptor, and a queue of others would take the rest.
            self.close_quietest(ONE_TURN);
            let _ = tokio::time::timeout(ONE_TURN, self.left.notified()).await;
        }
        match listener.accept().await {
            Ok((tcp, _)) => self.take_in(tcp),
            Err(e) if e.kind() == ErrorKind::ConnectionAborted => {} // it left in the queue
            Err(e) => {
                // Out of descriptors: never the end of the program.
                let now = self.host.clock.now();
                if now - self.told.get() >= ACCEPT_LOG {
                    self.told.set(now);
                    warn!(
                        "accept: {e}; {} clients, {} upstreams",
                        self.clients(),
                        self.host.pool.open()
                    );
                }
                if self.close_quietest(Duration::ZERO) || !self.host.pool.close_oldest() {
                    let _ = tokio::time::timeout(RETRY_ACCEPT, self.left.notified()).await;
                }
            }
        }
    }

    /// Lets one go, of those who have been there for `least` at least: the first kind of the quiet that there is,
    /// and of these the one that was quiet longest.
    fn close_quietest(&self, least: Duration) -> bool {
        let now = Instant::now();
        let clients = self.clients.borrow();
        let quiet = clients.iter().filter_map(|(key, client)| {
            let (kind, at) = client.quiet(now, self.host.clock.instant(client.since.get()))?;
            (kind != Quiet::New || now - at >= least).then_some(Reverse((kind, at, *key)))
        });
        // The kernel is asked one by one: to ask it of all of a crowd at each accept costs more than the accepts.
        let mut quiet: BinaryHeap<_> = quiet.collect();
        while let Some(Reverse((kind, _, key))) = quiet.pop() {
            let client = &clients[&key];
            if kind == Quiet::Parting || !client.stream.unread() {
                client.leaving.set(true); // another call at the same moment chooses another
                client.close.notify_one();
                return true;
            }
        }
        false
    }

    fn take_in(self: &Rc<Self>, tcp: TcpStream) {
        if self.clients() >= self.max.get() {
            self.close_quietest(JUST_NOW);
        }
        let key = self.next.get();
        self.next.set(key + 1);
        let (stream, since) = (Stream::new(tcp), Cell::new(self.host.clock.now()));
        let (busy, fresh, leaving) = (Cell::new(false), Cell::new(true), Cell::new(false));
        let (parting, close) = (Cell::new(false), Notify::new());
        let client = Rc::new(Client {
            stream,
            busy,
            fresh,
            since,
            leaving,
            parting,
            close,
        });
        self.clients.borrow_mut().insert(key, client.clone());
        let server = self.clone();
        tokio::task::spawn_local(async move {
            server.serve(&client).await;
            client.done();
            server.left.notify_one(); // whoever waits for room need not wait for the other side
            client.part().await;
            server.clients.borrow_mut().remove(&key);
            server.left.notify_one();
        });
    }

    #[expect(
        clippy::too_many_lines,
        reason = "issue 32: code that reads as well as it works"
    )]
    async fn serve(self: &Rc<Self>, client: &Rc<Client>) {
        let service = service_fn(|request| async {
            client.busy.set(true);
            let from = if client.fresh.replace(false) {
                client.since.get()
            } else {
                self.host.clock.now()
            };
            let old = request.version() < Version::HTTP_11;
            let mut answer = self
                .answer(request, client, self.host.clock.instant(from))
                .await;
            match answer.body_mut() {
                Either::Left(_) => self.idle(client),
                Either::Right(flow) => {
                    let (server, client) = (self.clone(), client.clone());
                    let unmarked = old && flow.size_hint().exact().is_none();
                    flow.then(move |broken| {
                        if broken && unmarked {
                            client.stream.reset_on_close();
                        }
                        server.idle(&client);
                    });
                }
            }
            Ok::<_, Infallible>(answer)
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BODY);
        let mut conn = pin!(builder.serve_connection(client.stream.clone(), service));
        let mut cut = pin!(tokio::time::sleep(Duration::MAX));
        let mut head = pin!(tokio::time::sleep(FIRST_HEAD));
        let mut over = false;
        loop {
            tokio::select! {
                _ = conn.as_mut() => return,
                // Both looked at again when they fire: a request may have come since the wait began.
                _ = head.as_mut(), if client.fresh.get() => {
                    if client.fresh.get() && (over || !client.stream.unread()) {
                        return;
                    }
                    over = true;
                    head.as_mut().reset(Instant::now() + ONE_TURN);
                }
                _ = cut.as_mut(), if client.leaving.get() && !client.busy.get() => {
                    if !client.busy.get() {
                        return;
                    }
                }
                _ = client.close.notified() => {
                    let stopped = client.stream.stopped_since().is_some();
                    if client.leaving.get() && !client.busy.get() && stopped {
                        return; // there is no request that an answer is owed to
                    }
                    if client.leaving.get() {
                        cut.as_mut().reset(Instant::now() + CLOSE_PATIENCE);
                    }
                    // A request that has just come is answered first; `answer` then ends the connection.
                    if client.busy.get() || !client.stream.stirred() {
                        conn.as_mut().graceful_shutdown();
                    }
                }
            }
        }
    }

    /// Its answer is done with.
    fn idle(&self, client: &Client) {
        client.since.set(self.host.clock.now());
        client.stream.mark_idle();
        client.busy.set(false);
    }

    /// `from`: since when the patience with its body counts.
    async fn answer(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client: &Client,
        from: Instant,
    ) -> Response<Outward> {
        let answer = match request.uri().path() {
            "/-/ready" => Ok(plain(StatusCode::OK, "ready\n")),
            // hyper reads nothing more, and sees no end, while bytes that it cannot use yet stand before that.
            _ => tokio::select! {
                biased;
                answer = self.proxy(request, &client.stream, from) => answer,
                () = client.stream.left() => Err(LEFT),
            },
        };
        let (mut answer, left) = match answer {
            Ok(answer) => (answer, false),
            Err((status, text)) => (plain(status, text), client.stream.peer().has_left()),
        };
        if left || client.leaving.get() || self.stopping.get() || self.clients() > self.max.get() {
            answer
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Outward> {
    let mut response = Response::new(Either::Left(Full::new(Bytes::from_static(text.as_bytes()))));
    *response.status_mut() = status;
    response
}

#[cfg(test)]
mod tests;
