//! Discovery: the watch that keeps the backend list up to date.

use super::host::Host;
use super::list::List;
use super::stream::Stream;
use super::upstream::driven;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::Request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shaletide::{Discovery, ListUpdate};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tracing::{info, warn};

/// Calls a second that a quiet fleet may cost discovery: what it handles in the time of a few whole lists.
const CALLS: f64 = 100.0;
/// One call waits so long for news: the least that the fleet can afford, between these. With the longest, a silence
/// is found and mended by a second call inside the 6 s after which what it missed counts as told (docs/design.md).
const LEAST_WAIT: f64 = 1.5;
const MOST_WAIT: f64 = 3.0;
/// The least part of that wait that is drawn: proxies that were answered together do not call together again.
const SPREAD: f64 = 0.75;
/// What an answer may take beyond its wait before discovery counts as silent.
const PROMPT: Duration = Duration::from_secs(1);
/// Where lists are pushed a connection to the agent comes up at once or not at all: what it has counts from the moment
/// it is back, when a call that began before would still wait to be repeated.
const DIAL: Duration = Duration::from_millis(250);
/// Pause after the first failed call in a row; it doubles, once at most, as an agent's calls cost nothing.
const BACKOFF: Duration = Duration::from_millis(50);
/// A list may be longer than a request's body, but not without bound.
const MAX_LIST: usize = 4 * 1024 * 1024;

#[derive(Debug)]
enum WatchError {
    Connect(std::io::Error),
    Http(Box<dyn std::error::Error + Send + Sync>),
    Status(u16),
    Json(serde_json::Error),
    Ended,
    Silent,
}

impl std::fmt::Display for WatchError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            WatchError::Connect(e) => write!(f, "no connection: {e}"),
            WatchError::Http(e) => write!(f, "call broken: {e}"),
            WatchError::Status(code) => write!(f, "answered {code}"),
            WatchError::Json(e) => write!(f, "answer not understood: {e}"),
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
    draw: StdRng,
}

impl Pace {
    /// For one of so many proxies, with a seed of its own.
    pub fn new(mode: Discovery, proxies: u32, seed: u64) -> Pace {
        let most = (f64::from(proxies) / CALLS).clamp(LEAST_WAIT, MOST_WAIT);
        Pace { mode, most, draw: StdRng::seed_from_u64(seed) }
    }

    fn wait(&mut self) -> Duration {
        let wait = self.most * self.draw.random_range(SPREAD..=1.0);
        Duration::from_millis((wait * 1e3) as u64)
    }
}

struct Link {
    sender: http1::SendRequest<Empty<Bytes>>,
    conn: http1::Connection<Stream, Empty<Bytes>>,
}

/// Keeps the list up to date for as long as the program runs. When discovery moves, the call that is out is
/// dropped with its connection and the whole list is asked for at the new address at once.
pub async fn watch(host: Rc<Host>, mut at: watch::Receiver<SocketAddr>, mut index: u64, mut pace: Pace) {
    let asked = pace.mode != Discovery::Push;
    let dial = if asked { PROMPT } else { DIAL };
    let mut whole = !asked; // an agent's answers cost nothing: begin with the truth
    let (mut link, mut failures) = (None, 0u32);
    // A call of the module's is answered once, by what it missed; only what follows waits for news.
    let mut wait = Duration::ZERO;
    if asked {
        host.followed().await;
    }
    loop {
        let (uri, patience) = match whole {
            true => ("/api/targets".to_string(), PROMPT),
            false => (format!("/api/targets?after={index}&wait_ms={}", wait.as_millis()), wait + PROMPT),
        };
        let address = *at.borrow_and_update();
        let call = tokio::time::timeout(patience, fetch(&mut link, address, dial, &uri));
        let answer = tokio::select! {
            answer = call => answer.unwrap_or(Err(WatchError::Silent)),
            Ok(()) = at.changed() => {
                (link, whole, wait) = (None, true, Duration::ZERO);
                continue;
            }
        };
        match answer {
            Ok(list) => {
                if failures > 0 {
                    info!("discovery is back at {}", list.index);
                }
                (failures, wait) = (0, pace.wait());
                // Changes against a newer list than the answer's: discovery began anew, so take it whole.
                let gap = !list.snapshot && (whole || list.index < index);
                if !gap {
                    let update = if list.snapshot { ListUpdate::Full } else { ListUpdate::Changes };
                    host.members(update, &list);
                    index = list.index;
                }
                if gap && whole {
                    warn!("discovery answered with changes to a call for the whole list");
                    tokio::time::sleep(BACKOFF).await;
                }
                whole = gap;
            }
            Err(e) => {
                // The next call is answered at once, by what this one missed.
                (link, wait) = (None, Duration::ZERO);
                failures += 1;
                if failures == 1 {
                    warn!("discovery failed: {e}");
                }
                if asked {
                    host.members(ListUpdate::Lost, &List::default());
                    tokio::select! {
                        () = host.followed() => {} // when to ask again is the module's to say
                        Ok(()) = at.changed() => whole = true,
                    }
                } else {
                    tokio::select! {
                        () = tokio::time::sleep(BACKOFF * failures.min(2)) => {}
                        Ok(()) = at.changed() => whole = true,
                    }
                }
            }
        }
    }
}

async fn fetch(
    link: &mut Option<Link>, at: SocketAddr, dial: Duration, uri: &str,
) -> Result<List, WatchError> {
    let mut live = match link.take() {
        Some(live) if !live.sender.is_closed() => live,
        _ => {
            let tcp = tokio::time::timeout(dial, TcpStream::connect(at)).await;
            let tcp = tcp.unwrap_or(Err(std::io::ErrorKind::TimedOut.into())).map_err(WatchError::Connect)?;
            let (sender, conn) = http1::handshake(Stream::new(tcp)).await.map_err(boxed)?;
            Link { sender, conn }
        }
    };
    let request = Request::get(uri).header("host", at.to_string()).body(Empty::new()).map_err(boxed)?;
    let Link { sender, conn } = &mut live;
    let answer = async {
        sender.ready().await.map_err(boxed)?;
        let answer = sender.send_request(request).await.map_err(boxed)?;
        let status = answer.status().as_u16();
        let body = Limited::new(answer.into_body(), MAX_LIST).collect().await.map_err(WatchError::Http)?;
        Ok((status, body.to_bytes()))
    };
    let (status, body) = driven(conn, answer).await.unwrap_or(Err(WatchError::Ended))?;
    *link = Some(live);
    if status != 200 {
        return Err(WatchError::Status(status));
    }
    serde_json::from_slice(&body).map_err(WatchError::Json)
}

fn boxed(e: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> WatchError {
    WatchError::Http(e.into())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The arithmetic of the design, for any fleet: the call that finds a silence and one more that fails end before
    /// what was missed counts as told; a quiet fleet stays within its calls, and its proxies do not fall into step.
    #[test]
    fn a_silence_is_found_and_mended_in_time_at_a_cost_that_the_fleet_can_afford() {
        for proxies in [1, 3, 48, 100, 200, 300] {
            let mut pace = Pace::new(Discovery::Push, proxies, 7);
            let waits: Vec<f64> = (0..200).map(|_| pace.wait().as_secs_f64()).collect();
            let most = waits.iter().copied().fold(0.0, f64::max);
            let told = f64::max(6.0, most + 2.0);
            let found = most + PROMPT.as_secs_f64();
            // The module's first pause is 0.15 s at most where lists are asked for.
            assert!(found + 0.15 + PROMPT.as_secs_f64() < told, "{proxies}: {most}");
            let mean = waits.iter().sum::<f64>() / waits.len() as f64;
            assert!(f64::from(proxies) / mean <= CALLS / SPREAD, "{proxies}: every {mean} s");
            let distinct: std::collections::BTreeSet<u64> = waits.iter().map(|w| (w * 1e3) as u64).collect();
            assert!(distinct.len() > 50, "{proxies}: in step");
        }
        assert!(
            DIAL + BACKOFF * 2 < Duration::from_millis(500),
            "an agent that is back is heard within the grace"
        );
    }
}
