//! Discovery: the watch that keeps the backend list up to date.

pub mod endpoint_list;

use crate::net::discovery::endpoint_list::{Answer, Unread};
use crate::net::host::Host;
use crate::net::observed_stream::Stream;
use crate::net::upstream::driven;
use bytes::{Buf, Bytes};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::Request;
use meadowproxy::{queued_poll_timeout, Discovery, EndpointUpdate, POLL_TIMEOUT};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::task::{AbortHandle, JoinHandle};
use tracing::{info, warn};

/// Calls a second that a quiet fleet may cost discovery: what it handles in the time of a few whole lists.
const CALLS: f64 = 100.0;
/// One call waits so long for news: the least that the fleet can afford, between these. With the longest, a silence
/// is found and mended by a second call inside the 6 s after which what it missed counts as told (docs/design.md).
const LEAST_WAIT: f64 = 1.5;
const MOST_WAIT: f64 = 2.8;
/// The least part of that wait that is drawn: proxies that were answered together do not call together again.
const SPREAD: f64 = 0.75;
/// What an answer may take beyond its wait before discovery counts as silent.
const PROMPT: Duration = Duration::from_secs(1);
/// ... and one that waits for no news: it may stand in a line, where each call given up and made again makes it longer.
const IN_LINE: Duration = Duration::from_micros(POLL_TIMEOUT.0);
/// Where lists are pushed a connection to the agent comes up at once or not at all: what it has counts from the moment
/// it is back, when a call that began before would still wait to be repeated.
const DIAL: Duration = Duration::from_millis(250);
/// Pause after the first failed call in a row; it doubles, once at most, as an agent's calls cost nothing.
const BACKOFF: Duration = Duration::from_millis(50);
/// A call that was given up is listened to for so long: what discovery writes to it counts as told all the same.
const OVERDUE: Duration = Duration::from_secs(10);
/// ... and so many at once, of which the oldest makes way: each holds a descriptor, and maybe half a list.
const LISTENED: usize = 4;
/// A list may be longer than a request's body, but not without bound: four times that of 25,000 backends.
const MAX_LIST: usize = 16 * 1024 * 1024;
/// Longer ones are read beside the event loop: this much takes it half a millisecond.
const READ_ASIDE: usize = 32 * 1024;

#[derive(Debug)]
enum WatchError {
    Connect(std::io::Error),
    Http(Box<dyn std::error::Error + Send + Sync>),
    Status(u16),
    Unread(Unread),
    /// Only changes, to a call for the whole list.
    Part,
    Ended,
    Silent,
}

impl std::fmt::Display for WatchError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WatchError::Connect(e) => write!(f, "no connection: {e}"),
            WatchError::Http(e) => write!(f, "call broken: {e}"),
            WatchError::Status(code) => write!(f, "answered {code}"),
            WatchError::Unread(Unread::Json(e)) => write!(f, "answer not understood: {e}"),
            WatchError::Part => write!(f, "changes in answer to a call for the whole list"),
            WatchError::Unread(Unread::Garbled) => {
                write!(f, "no entry of the whole list makes sense")
            }
            WatchError::Ended => write!(f, "connection ended"),
            WatchError::Silent => write!(f, "silent"),
        }
    }
}

impl std::error::Error for WatchError {}

/// How the list is asked for, and how long each call may wait for news.
pub struct Pace {
    mode: Discovery,
    /// Seconds.
    most: f64,
    /// The patience with a call after one that was refused.
    in_full_line: Duration,
    draw: StdRng,
}

impl Pace {
    /// For one of so many proxies, with a seed of its own.
    pub fn new(mode: Discovery, proxies: u32, seed: u64) -> Pace {
        let most = (f64::from(proxies) / CALLS).clamp(LEAST_WAIT, MOST_WAIT);
        let in_full_line = match mode {
            Discovery::Poll {
                staleness_limit: within,
            } => Duration::from_micros(queued_poll_timeout(proxies, within).0),
            Discovery::Push => IN_LINE, // an agent has one caller
        };
        Pace {
            mode,
            most,
            in_full_line,
            draw: StdRng::seed_from_u64(seed),
        }
    }

    fn wait(&mut self) -> Duration {
        let wait = self.most * self.draw.random_range(SPREAD..=1.0);
        Duration::from_millis((wait * 1e3) as u64)
    }

    fn soon(&mut self) -> Duration {
        BACKOFF.mul_f64(self.draw.random_range(1.0..=2.0))
    }
}

struct Link {
    sender: http1::SendRequest<Empty<Bytes>>,
    conn: http1::Connection<Stream, Empty<Bytes>>,
}

/// What a call came to, and its connection where that can be used again.
type Fetched = (Option<Link>, Result<Answer, WatchError>);

/// A call, by what was known as it began.
struct Asked {
    /// Whose numbers its answer will speak in.
    era: u64,
    /// How many lists had been taken.
    taken: u64,
    index: u64,
    whole: bool,
}

/// What an answer is beside the list in force.
#[derive(Debug, PartialEq)]
enum News {
    Taken,
    /// It crossed with a newer one.
    Old,
    /// It cannot be applied to the list in force: the whole one is needed.
    Gap,
}

/// How far the list is known, by the calls that are waited for and by those that were given up.
struct Known {
    host: Rc<Host>,
    index: Cell<u64>,
    /// Lists taken so far.
    taken: Cell<u64>,
    /// Versions are counted anew at each address and with each beginning of discovery: the era of the list in force, ...
    era: Cell<u64>,
    /// ... and that of calls that begin now.
    latest: Cell<u64>,
    /// A call that was given up has answered with news.
    late: Notify,
    listened: RefCell<VecDeque<AbortHandle>>,
}

impl Known {
    fn new(host: Rc<Host>, index: u64) -> Known {
        let (taken, era, latest) = Default::default();
        Known {
            host,
            index: Cell::new(index),
            taken,
            era,
            latest,
            late: Notify::new(),
            listened: RefCell::default(),
        }
    }

    /// A call that begins now: for the whole list where that has to be, or where none of this era is held.
    fn asked(&self, whole: bool) -> Asked {
        let (era, taken, index) = (self.latest.get(), self.taken.get(), self.index.get());
        Asked {
            era,
            taken,
            index,
            whole: whole || era != self.era.get(),
        }
    }

    /// From now on versions are counted anew.
    fn begin_era(&self) {
        self.latest.set(self.latest.get() + 1);
    }

    /// Takes an answer if it is newer than the list in force. Of two answers whose calls were out at the same time the
    /// higher index is the newer; an index may only go back in the answer to a call that began after the list in
    /// force came: then discovery has begun anew.
    fn take(&self, call: &Asked, list: &Answer) -> News {
        let (era, index) = (self.era.get(), self.index.get());
        let crossed = call.taken != self.taken.get() && list.index <= index;
        if call.era < era || (call.era == era && crossed) {
            return News::Old;
        }
        if !list.snapshot && (call.whole || list.index < call.index) {
            return News::Gap;
        }
        if call.era == era && list.index < index && era == self.latest.get() {
            self.begin_era();
            self.era.set(self.latest.get());
        } else {
            self.era.set(call.era);
        }
        self.taken.set(self.taken.get() + 1);
        self.index.set(list.index);
        self.host.take(
            if list.snapshot {
                EndpointUpdate::Full
            } else {
                EndpointUpdate::Incremental
            },
            &list.lines,
        );
        News::Taken
    }

    /// What came of a call in time.
    fn answered(&self, call: &Asked, list: &Answer) -> Result<News, WatchError> {
        match self.take(call, list) {
            News::Gap if call.whole => Err(WatchError::Part),
            news => Ok(news),
        }
    }

    /// Listens on for the answer to a call that was given up, and takes it if it is news.
    fn listen(self: &Rc<Self>, asked: Asked, call: JoinHandle<Fetched>) {
        let mut listened = self.listened.borrow_mut();
        listened.retain(|call| !call.is_finished());
        listened.push_back(call.abort_handle());
        if listened.len() > LISTENED {
            listened
                .pop_front()
                .into_iter()
                .for_each(|oldest| oldest.abort());
        }
        let known = self.clone();
        tokio::task::spawn_local(known.hear(asked, call));
    }

    async fn hear(self: Rc<Self>, asked: Asked, mut call: JoinHandle<Fetched>) {
        let answer = tokio::time::timeout(OVERDUE, &mut call).await;
        call.abort(); // unanswered, it would hold its connection
        let Ok(Ok((_, Ok(list)))) = answer else {
            return;
        };
        let same = asked.era == self.era.get() && list.index == self.index.get();
        if !same && self.take(&asked, &list) == News::Taken {
            info!("discovery answered a call late, with {}", list.index);
            self.late.notify_one();
        }
    }

    /// A call failed. What was said before, of when to call again, was of earlier ones.
    fn lost(&self, asked: bool) {
        std::pin::pin!(self.late.notified()).as_mut().enable();
        if asked {
            self.host.lost();
        }
    }
}

/// Keeps the list up to date for as long as the program runs. When discovery moves, the whole list is asked for at the
/// new address at once; a call that is given up, then or as it stays silent, is still listened to.
#[expect(
    clippy::cognitive_complexity,
    reason = "issue 32: code that reads as well as it works"
)]
#[expect(
    clippy::too_many_lines,
    reason = "issue 32: code that reads as well as it works"
)]
pub async fn watch(
    host: Rc<Host>,
    mut at: watch::Receiver<SocketAddr>,
    index: u64,
    mut pace: Pace,
) {
    let known = Rc::new(Known::new(host.clone(), index));
    let asked = pace.mode != Discovery::Push;
    let dial = if asked { PROMPT } else { DIAL };
    // An agent's answers cost nothing: begin with the truth.
    let (mut whole, mut link, mut failures) = (!asked, None, 0u32);
    // A call of the module's is answered once, by what it missed; only what follows waits for news.
    let mut wait = Duration::ZERO;
    let mut patient = IN_LINE;
    let (mut address, mut moved) = (*at.borrow_and_update(), false);
    if asked {
        host.followed().await;
    }
    loop {
        let to = *at.borrow_and_update();
        if to != address {
            // Whichever came first, this or an answer, or the end of a pause.
            known.begin_era();
            (address, moved, link, wait) = (to, true, None, Duration::ZERO);
        }
        let call = known.asked(whole);
        let (uri, patience) = match call.whole {
            true => ("/api/targets".to_string(), patient),
            false if wait.is_zero() => (
                format!("/api/targets?after={}&wait_ms=0", call.index),
                patient,
            ),
            false => {
                let uri = format!(
                    "/api/targets?after={}&wait_ms={}",
                    call.index,
                    wait.as_millis()
                );
                (uri, wait + PROMPT)
            }
        };
        let mut fetched = tokio::task::spawn_local(fetch(link.take(), address, dial, uri));
        let answer = tokio::select! {
            answer = tokio::time::timeout(patience, &mut fetched) => answer,
            Ok(()) = at.changed() => {
                known.listen(call, fetched);
                continue;
            }
        };
        let news = match answer {
            Ok(Ok((kept, answer))) => {
                link = kept;
                answer.and_then(|list| known.answered(&call, &list))
            }
            Ok(Err(_)) => Err(WatchError::Ended),
            Err(_) => {
                known.listen(call, fetched);
                Err(WatchError::Silent)
            }
        };
        match news {
            Ok(news) => {
                if failures > 0 {
                    info!("discovery is back at {}", known.index.get());
                }
                (failures, wait, moved) = (0, pace.wait(), false);
                whole = news == News::Gap;
            }
            Err(e) => {
                patient = if matches!(e, WatchError::Status(_)) {
                    pace.in_full_line
                } else {
                    IN_LINE
                };
                wait = Duration::ZERO; // the next call is answered at once, by what this one missed
                failures += 1;
                if failures == 1 {
                    warn!("discovery failed: {e}");
                }
                known.lost(asked);
                let again = match (asked, std::mem::take(&mut moved)) {
                    (false, _) => BACKOFF * failures.min(2),
                    (true, true) => pace.soon(), // what the new address tells counts soon, whatever came before
                    (true, false) => Duration::MAX, // it is the module's to say
                };
                tokio::select! {
                    () = host.followed() => {}
                    () = known.late.notified() => {} // the list goes on
                    () = tokio::time::sleep(again) => {}
                    Ok(()) = at.changed() => {}
                }
            }
        }
    }
}

async fn fetch(link: Option<Link>, at: SocketAddr, dial: Duration, uri: String) -> Fetched {
    let live = match link.filter(|live| !live.sender.is_closed()) {
        Some(live) => Ok(live),
        None => open(at, dial).await,
    };
    match live {
        Ok(mut live) => match ask(&mut live, at, &uri).await {
            Ok(list) => (Some(live), Ok(list)),
            Err(e) => (None, Err(e)),
        },
        Err(e) => (None, Err(e)),
    }
}

async fn open(at: SocketAddr, dial: Duration) -> Result<Link, WatchError> {
    let tcp = tokio::time::timeout(dial, TcpStream::connect(at)).await;
    let tcp = tcp
        .unwrap_or(Err(std::io::ErrorKind::TimedOut.into()))
        .map_err(WatchError::Connect)?;
    let (sender, conn) = http1::handshake(Stream::new(tcp)).await.map_err(boxed)?;
    Ok(Link { sender, conn })
}

async fn ask(live: &mut Link, at: SocketAddr, uri: &str) -> Result<Answer, WatchError> {
    let request = Request::get(uri)
        .header("host", at.to_string())
        .body(Empty::new())
        .map_err(boxed)?;
    let Link { sender, conn } = live;
    let answer = async {
        sender.ready().await.map_err(boxed)?;
        let answer = sender.send_request(request).await.map_err(boxed)?;
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), MAX_LIST)
            .collect()
            .await
            .map_err(WatchError::Http)?;
        Ok((status, body.aggregate()))
    };
    let (status, body) = driven(conn, answer)
        .await
        .unwrap_or(Err(WatchError::Ended))?;
    if status != 200 {
        return Err(WatchError::Status(status));
    }
    read(body).await
}

async fn read(body: impl Buf + Send + 'static) -> Result<Answer, WatchError> {
    let answer = match body.remaining() {
        ..READ_ASIDE => Answer::read(body),
        _ => tokio::task::spawn_blocking(move || Answer::read(body))
            .await
            .map_err(boxed)?,
    };
    answer.map_err(WatchError::Unread)
}

fn boxed(e: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> WatchError {
    WatchError::Http(e.into())
}

#[cfg(test)]
mod tests;
