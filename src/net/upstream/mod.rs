//! Attempts: one request to one backend, and the pool of connections that they use.

mod answer;
#[cfg(test)]
mod tests;

use crate::net::downstream::body::{Flow, Upload};
use crate::net::observed_stream::{Peer, Stream};
use crate::net::{span, MAX_BODY};
use answer::{cause, cleaned, judge, pass_on, Got, BACKEND_STALL};
use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Method, Request, Uri};
use meadowproxy::settings::Network;
use meadowproxy::{BackendId, Micros, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::debug;

/// Part of the backends' idle limit after which a connection is no longer used: well inside it, as their
/// clock may have started earlier than ours.
const IDLE_PART: f64 = 0.6;
/// So long a connection rests after an answer before the next request goes out on it: what a broken backend sends
/// late, such as a second answer, shows until then, and is not taken for the next one's.
const REST: Duration = Duration::from_millis(3);
/// How often idle connections are looked over.
const SWEEP: Duration = Duration::from_millis(500);

/// A client's request as it goes on to backends.
pub struct Call {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Payload,
    /// Who asked, where there is someone who may leave.
    pub client: Option<Peer>,
}

/// A request's body.
pub enum Payload {
    Whole(Bytes),
    /// Too long to hold: it goes to one backend as it comes.
    Coming(Coming),
}

pub struct Coming {
    source: RefCell<Option<Upload>>,
    /// How long the client waits once it has sent all.
    pub left: Micros,
    sent: Notify,
}

impl Coming {
    pub fn new(source: Upload, left: Micros) -> Coming {
        Coming {
            source: RefCell::new(Some(source)),
            left,
            sent: Notify::new(),
        }
    }

    /// Until its last byte has gone out.
    pub async fn sent(&self) {
        self.sent.notified().await;
    }

    /// Its last byte has gone out.
    pub fn is_sent(&self) {
        self.sent.notify_one();
    }

    /// What no backend took.
    pub fn take(&self) -> Option<Upload> {
        self.source.take()
    }
}

/// A served answer.
pub struct Served {
    pub headers: HeaderMap,
    pub body: Content,
}

pub enum Content {
    Whole(Bytes),
    Flow(Flow),
}

/// How an attempt ended, with the answer where it was served and not passed on as it came.
pub type Ended = (Outcome, Option<Served>);

/// What an attempt asks and tells on its way.
pub trait Progress {
    /// Asked at the moment of the first byte: the backend may have begun to drain while the connection came up.
    fn may_send(&self) -> bool;
    /// Asked right after: when the last byte must be out of a request that is held whole, if it must be.
    fn whole_by(&self) -> Option<Instant>;
    /// A body that cannot be sent again begins to go out.
    fn uploading(&self);
    /// Its last byte has gone out.
    fn uploaded(&self);
    /// A long answer begins.
    fn streams(&self, served: Served);
}

type Outgoing = Either<Full<Bytes>, Upload>;

/// A connection and its place among the open ones. It is driven only while a request is on it; dropping it
/// closes the socket, which is how an attempt is cancelled.
struct Conn {
    sender: http1::SendRequest<Outgoing>,
    conn: http1::Connection<Stream, Outgoing>,
    stream: Stream,
    to: SocketAddr,
    /// Since when the backend may count it as idle.
    since: Instant,
    /// When its last answer had been read.
    answered: Instant,
    _slot: Slot,
}

impl Conn {
    /// hyper takes a request only after a first turn of its own. It has that here, so that nothing comes between
    /// the last look at what may be sent and the first byte.
    async fn open(stream: Stream, to: SocketAddr, slot: Slot) -> Option<Conn> {
        let shaken = http1::Builder::new()
            .max_buf_size(2 * MAX_BODY)
            .handshake(stream.clone())
            .await;
        let (mut sender, mut conn) = shaken.ok()?;
        driven(&mut conn, sender.ready()).await?.ok()?;
        let now = Instant::now();
        Some(Conn {
            sender,
            conn,
            stream,
            to,
            since: now,
            answered: now,
            _slot: slot,
        })
    }
}

/// Counts an open (or opening) connection.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Idle connections by backend, the most recently used last.
pub struct Pool {
    idle: RefCell<HashMap<BackendId, Vec<Conn>>>,
    shut: RefCell<HashSet<BackendId>>,
    heard: RefCell<HashMap<BackendId, Instant>>,
    open: Rc<Cell<usize>>,
    max: Cell<usize>,
    keep: Cell<Duration>,
    connect_timeout: Cell<Duration>,
    pub opened: Cell<u64>,
}

impl Pool {
    pub fn new(network: &Network, max: usize) -> Pool {
        Pool {
            idle: RefCell::default(),
            shut: RefCell::default(),
            heard: RefCell::default(),
            open: Rc::default(),
            max: Cell::new(max),
            keep: Cell::new(span(network.conn_idle.mul_f64(IDLE_PART))),
            connect_timeout: Cell::new(span(network.connect_timeout)),
            opened: Cell::new(0),
        }
    }

    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// The settings changed.
    pub fn retune(&self, network: &Network) {
        self.keep.set(span(network.conn_idle.mul_f64(IDLE_PART)));
        self.connect_timeout.set(span(network.connect_timeout));
    }

    /// So many connections from now on; those above it go as they fall idle.
    pub fn limit(&self, max: usize) {
        self.max.set(max);
        while self.open() > max && self.close_oldest() {}
    }

    fn usable(&self, c: &Conn) -> bool {
        c.since.elapsed() < self.keep.get() && !c.sender.is_closed() && !c.stream.stirred()
    }

    /// A warm connection that has rested, checked at this moment.
    async fn take(&self, id: BackendId, to: SocketAddr) -> Option<Conn> {
        loop {
            let c = self.pick(id)?;
            if c.to != to {
                continue; // its backend has another address now
            }
            if c.answered.elapsed() < REST {
                tokio::time::sleep_until(c.answered + REST).await;
            }
            if self.usable(&c) {
                return Some(c);
            }
        }
    }

    /// The one used last of those that have rested, or the one that has soonest.
    fn pick(&self, id: BackendId) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&id).filter(|list| !list.is_empty())?;
        let rested = list.iter().rposition(|c| c.answered.elapsed() >= REST);
        Some(list.remove(rested.unwrap_or(0)))
    }

    fn put(&self, id: BackendId, c: Conn) {
        if self.shut.borrow().contains(&id) {
            return;
        }
        c.stream.mark_idle();
        self.idle.borrow_mut().entry(id).or_default().push(c);
    }

    /// The backend is to get nothing new: no connection to it is kept idle until it is opened again.
    pub fn shut(&self, id: BackendId) {
        self.shut.borrow_mut().insert(id);
        self.idle.borrow_mut().remove(&id);
        self.heard.borrow_mut().remove(&id);
    }

    /// It may get requests again.
    pub fn reopen(&self, id: BackendId) {
        self.shut.borrow_mut().remove(&id);
    }

    /// Nothing will be sent to it ever again, and nothing is out there.
    pub fn forget(&self, id: BackendId) {
        self.shut(id);
        self.reopen(id);
    }

    /// An attempt sent at `sent` was given up unanswered. Where nothing at all was heard of the backend since,
    /// its machine may be cut off and its idle connections dead without a sign: what is written to one of
    /// those may have run for all one can tell, while a new connection that does not come up proves that
    /// it did not.
    pub fn unanswered(&self, id: BackendId, sent: Instant) {
        if self.heard.borrow().get(&id).is_none_or(|at| *at < sent) {
            self.idle.borrow_mut().remove(&id);
        }
    }

    /// Closes the connection that was idle longest; false when there is none.
    pub fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|l| !l.is_empty())
            .min_by_key(|l| l[0].since);
        oldest.map(|list| list.remove(0)).is_some()
    }

    /// Retires what stood idle too long or was closed from the other side.
    pub async fn sweep(self: Rc<Pool>) {
        loop {
            tokio::time::sleep(SWEEP).await;
            self.idle.borrow_mut().retain(|_, list| {
                list.retain(|c| self.usable(c));
                !list.is_empty()
            });
        }
    }

    async fn connect(&self, to: SocketAddr) -> Result<Conn, Outcome> {
        // At the bound an idle connection makes room; where there is none the backend is not to blame.
        if self.open.get() >= self.max.get() && !self.close_oldest() {
            return Err(Outcome::NotSent);
        }
        self.open.set(self.open.get() + 1);
        let slot = Slot(self.open.clone());
        self.opened.set(self.opened.get() + 1);
        let dial = tokio::time::timeout(self.connect_timeout.get(), TcpStream::connect(to)).await;
        let tcp = match dial {
            Ok(Ok(tcp)) => tcp,
            // Out of descriptors: that is this proxy's own trouble, and no sign of the backend's.
            Ok(Err(e)) if matches!(e.raw_os_error(), Some(23 | 24)) => {
                return Err(Outcome::NotSent)
            }
            Ok(Err(_)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        Conn::open(Stream::new(tcp), to, slot)
            .await
            .ok_or(Outcome::ConnectFailed)
    }

    /// Sends `call` to a backend and waits for the answer.
    #[expect(
        clippy::too_many_lines,
        reason = "issue 32: code that reads as well as it works"
    )]
    pub async fn attempt(
        &self,
        id: BackendId,
        to: SocketAddr,
        call: &Call,
        deadline: Instant,
        progress: &Rc<impl Progress + 'static>,
    ) -> Ended {
        let mut c = match self.take(id, to).await {
            Some(c) => c,
            None => match self.connect(to).await {
                Ok(c) => c,
                Err(outcome) => return (outcome, None),
            },
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let (body, passed) = match &call.body {
            _ if left.is_zero() || !progress.may_send() => (None, None),
            Payload::Whole(bytes) => {
                c.stream.begin_request(bytes.len());
                (Some(Either::Left(Full::new(bytes.clone()))), None)
            }
            Payload::Coming(coming) => match coming.take() {
                Some(source) => {
                    let (passed, told) = (source.passed.clone(), progress.clone());
                    passed.then(move || told.uploaded());
                    progress.uploading();
                    (Some(Either::Right(source)), Some(passed))
                }
                None => (None, None),
            },
        };
        let Some(body) = body else {
            self.put(id, c); // an unused connection stays warm
            return (Outcome::NotSent, None);
        };
        let mut request = Request::new(body);
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = call.headers.clone();
        if let Ok(text) = format!("{:.3}", left.as_secs_f64()).parse() {
            request.headers_mut().insert("x-time-left", text);
        }
        let Conn {
            sender,
            conn,
            stream,
            ..
        } = &mut c;
        let written = || {
            passed
                .as_ref()
                .map_or_else(|| stream.request_written(), |p| p.ended())
        };
        let exchange = async {
            sender.ready().await?;
            let answer = sender.send_request(request).await?;
            // The backend begins with the last byte: what answers before it is none of this request's, and with
            // its connection ended here it never runs.
            if !written() {
                return Ok(Got::Early(judge(&answer)));
            }
            Ok::<_, hyper::Error>(Got::read(answer).await)
        };
        let whole_by = progress.whole_by();
        let given_up = async {
            match (&passed, whole_by) {
                (Some(passed), _) => passed.stalled(BACKEND_STALL).await,
                (None, Some(at)) => tokio::time::sleep_until(at).await,
                (None, None) => std::future::pending().await,
            }
            if written() {
                std::future::pending::<()>().await;
            }
        };
        let exchanged = tokio::select! {
            biased; // nothing is written once it is too late
            () = given_up => None,
            exchanged = driven(conn, exchange) => exchanged,
        };
        let broken = |cause: String| {
            debug!(event = "attempt_broken", backend = id.0, %to, cause, "no answer that can be used");
        };
        match exchanged {
            Some(Ok(Got::Early(Outcome::Overloaded))) => (Outcome::Overloaded, None),
            Some(Ok(Got::Early(_))) => {
                broken("it answered before the request's last byte".into());
                (Outcome::ConnectFailed, None)
            }
            Some(Ok(Got::Whole(outcome, mut head, body))) => {
                self.heard.borrow_mut().insert(id, Instant::now());
                self.put_if_ready(id, c, body.is_ok(), Instant::now());
                match (outcome, body) {
                    (Outcome::Ok, Ok(body)) => {
                        let body = Content::Whole(body);
                        (
                            Outcome::Ok,
                            Some(Served {
                                headers: cleaned(&mut head.headers),
                                body,
                            }),
                        )
                    }
                    (outcome, Err(e)) => {
                        broken(cause(e.as_ref()));
                        // Cut off: a served one has run, and one that says otherwise cannot be trusted in that.
                        (
                            if outcome == Outcome::Error {
                                outcome
                            } else {
                                Outcome::Reset
                            },
                            None,
                        )
                    }
                    (outcome, Ok(_)) => {
                        if outcome == Outcome::Error {
                            broken(format!("status {}", head.status.as_u16()));
                        }
                        (outcome, None)
                    }
                }
            }
            Some(Ok(Got::Long(mut head, length, held, body))) => {
                self.heard.borrow_mut().insert(id, Instant::now());
                let (pieces, flow) = Flow::new(length);
                let headers = cleaned(&mut head.headers);
                progress.streams(Served {
                    headers,
                    body: Content::Flow(flow),
                });
                // It may have given all long before the client has taken it, and be idle from then on.
                let begun = Instant::now();
                let (outcome, open) = pumped(&mut c.conn, pass_on(held, body, pieces)).await;
                self.put_if_ready(id, c, open && outcome == Outcome::Ok, begun);
                if matches!(outcome, Outcome::Reset | Outcome::TimedOut) {
                    broken(format!("{outcome:?} in a long answer"));
                }
                (outcome, None)
            }
            // The client's body broke off, or the backend's connection before it was all written: the backend
            // begins with the last byte, and never before it.
            Some(Err(e)) if e.is_user() && passed.as_ref().is_some_and(|p| !p.ended()) => {
                (Outcome::NotSent, None)
            }
            other => {
                // What cannot be read as an answer is an answer all the same, and no break.
                let (outcome, why) = match &other {
                    Some(Err(e)) => (
                        if e.is_parse() {
                            Outcome::Error
                        } else {
                            Outcome::Reset
                        },
                        cause(e),
                    ),
                    _ => (Outcome::Reset, "it ended, or took nothing more".into()),
                };
                broken(why);
                let whole = passed
                    .as_ref()
                    .map_or_else(|| c.stream.request_written(), |p| p.ended());
                (
                    if whole {
                        outcome
                    } else {
                        Outcome::ConnectFailed
                    },
                    None,
                )
            }
        }
    }

    /// Keeps a connection whose answer was read to its end, idle `since` then. One look: an answer does not wait for a connection
    /// that is not ready for more.
    fn put_if_ready(&self, id: BackendId, mut c: Conn, whole: bool, since: Instant) {
        let mut cx = Context::from_waker(Waker::noop());
        let Conn { sender, conn, .. } = &mut c;
        let ready = whole && {
            let next = pin!(driven(conn, sender.ready()));
            matches!(next.poll(&mut cx), Poll::Ready(Some(Ok(()))))
        };
        if ready {
            (c.since, c.answered) = (since, Instant::now());
            self.put(id, c);
        }
    }
}

/// Runs `work` to its end and drives its connection for as long as that lasts; whether it still does. Unlike
/// in `driven`, what a connection brought before its end may take `work` long to pass on.
async fn pumped<T>(
    conn: &mut http1::Connection<Stream, Outgoing>,
    work: impl Future<Output = T>,
) -> (T, bool) {
    let mut work = pin!(work);
    let mut open = true;
    poll_fn(|cx| {
        if let Poll::Ready(done) = work.as_mut().poll(cx) {
            return Poll::Ready((done, open));
        }
        if open && std::pin::Pin::new(&mut *conn).poll(cx).is_ready() {
            open = false;
        }
        work.as_mut().poll(cx).map(|done| (done, open))
    })
    .await
}

/// Runs `work` to its end while driving the connection that it is on. `None`: the connection ended first.
/// hyper does not tell `work` of that end by itself as long as the connection's future is kept: a wait for
/// the sender to be ready again would last for ever after an answer with which the backend closed.
pub async fn driven<T>(
    conn: &mut http1::Connection<
        Stream,
        impl hyper::body::Body<Data = Bytes, Error: Into<BoxError>> + 'static,
    >,
    work: impl Future<Output = T>,
) -> Option<T> {
    let mut work = pin!(work);
    let mut over = false;
    poll_fn(|cx| {
        if let Poll::Ready(done) = work.as_mut().poll(cx) {
            return Poll::Ready(Some(done));
        }
        if over {
            return Poll::Ready(None);
        }
        if std::pin::Pin::new(&mut *conn).poll(cx).is_ready() {
            over = true;
            cx.waker().wake_by_ref(); // once more for what it brought before it ended
        }
        work.as_mut().poll(cx).map(Some)
    })
    .await
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;
