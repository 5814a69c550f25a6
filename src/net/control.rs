//! The operators' door: one call to a connection, on an address of its own.

use super::maintenance::Maintenance;
use super::peers::Peers;
use super::server::Server;
use super::stream::Stream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use std::borrow::Cow;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use tracing::warn;

/// Connections at once: more than staff and scripts need, and well within the descriptors kept for it.
const MOST: usize = 16;
/// A call that is not over by then is cut.
const PATIENCE: Duration = Duration::from_secs(2);
const MAX_HEAD: usize = 8 * 1024;

/// What a call comes to.
type Said = Result<Cow<'static, str>, (StatusCode, &'static str)>;

pub struct Control {
    server: Rc<Server>,
    maintenance: Rc<Maintenance>,
    peers: Option<Rc<Peers>>,
}

impl Control {
    pub fn new(server: Rc<Server>, maintenance: Rc<Maintenance>, peers: Option<Rc<Peers>>) -> Rc<Control> {
        Rc::new(Control { server, maintenance, peers })
    }

    /// Answers calls for as long as the program runs.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut open: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            let tcp = match listener.accept().await {
                Ok((tcp, _)) => tcp,
                Err(e) => {
                    warn!("control: accept: {e}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            open.retain(|call| !call.is_finished());
            if open.len() >= MOST {
                open.pop_front().into_iter().for_each(|oldest| oldest.abort());
            }
            let control = self.clone();
            let call = tokio::task::spawn_local(async move {
                let answer = |request| std::future::ready(Ok::<_, Infallible>(control.answer(&request)));
                let service = service_fn(answer);
                let mut builder = http1::Builder::new();
                builder.keep_alive(false).max_buf_size(MAX_HEAD);
                let conn = builder.serve_connection(Stream::new(tcp), service);
                let _ = tokio::time::timeout(PATIENCE, conn).await;
            });
            open.push_back(call.abort_handle());
            // A call that is here already is read before those that come later can push it out.
            tokio::task::yield_now().await;
        }
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let (status, text) = match self.call(request) {
            Ok(text) => (StatusCode::OK, text),
            Err((status, text)) => (status, Cow::Borrowed(text)),
        };
        let mut response = Response::new(Full::new(Bytes::from(text.into_owned())));
        *response.status_mut() = status;
        if status == StatusCode::METHOD_NOT_ALLOWED {
            let read = ["/status", "/peers"].contains(&request.uri().path());
            let allowed = if read { "GET" } else { "PUT" };
            response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
        }
        response
    }

    fn call(&self, request: &Request<Incoming>) -> Said {
        let unknown = (StatusCode::NOT_FOUND, "no backend of that id was ever listed\n");
        let path = request.uri().path();
        let method = match path {
            "/status" | "/peers" => Method::GET,
            "/maintenance/enter" | "/maintenance/exit" => Method::PUT,
            _ => return Err((StatusCode::NOT_FOUND, "no such call\n")),
        };
        if request.method() != method {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "wrong method\n"));
        }
        if path == "/status" {
            let not_yet = (StatusCode::SERVICE_UNAVAILABLE, "not taking clients\n");
            return if self.server.taking() { Ok("serving\n".into()) } else { Err(not_yet) };
        }
        if path == "/peers" {
            let alone = (StatusCode::NOT_FOUND, "state is not shared: no peers in the configuration\n");
            return self.peers.as_ref().map(|p| p.status().into()).ok_or(alone);
        }
        let id = who(request.uri().query()).map_err(|text| (StatusCode::BAD_REQUEST, text))?;
        let (known, done) = match path {
            "/maintenance/enter" => (self.maintenance.enter(&id), "out\n"),
            _ => (self.maintenance.exit(&id), "back\n"),
        };
        known.then_some(done.into()).ok_or(unknown)
    }
}

/// The one `who` of a query, decoded.
fn who(query: Option<&str>) -> Result<String, &'static str> {
    let pairs = query.unwrap_or_default().split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    let mut ids = pairs.filter(|(name, _)| *name == "who").map(|(_, id)| id);
    match (ids.next(), ids.next()) {
        (None, _) => Err("who is missing\n"),
        (Some(_), Some(_)) => Err("who stands twice\n"),
        (Some(""), None) => Err("who is empty\n"),
        (Some(id), None) => decoded(id).ok_or("who is badly encoded\n"),
    }
}

/// Percent-decoding that takes nothing broken.
fn decoded(text: &str) -> Option<String> {
    let mut bytes = text.bytes();
    let mut out = Vec::with_capacity(text.len());
    while let Some(byte) = bytes.next() {
        out.push(match byte {
            b'%' => {
                let mut digit = || char::from(bytes.next()?).to_digit(16).map(|d| d as u8);
                digit()? << 4 | digit()?
            }
            b'+' => b' ',
            other => other,
        });
    }
    String::from_utf8(out).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_id_is_taken_only_from_a_sound_query() {
        for (query, id) in [("who=a-1", "a-1"), ("x=1&who=a%2F%c3%a9+b&y", "a/é b")] {
            assert_eq!(who(Some(query)).as_deref(), Ok(id), "{query}");
        }
        for bad in ["", "who", "who=", "whom=a", "who=a&who=a", "who=%", "who=%4", "who=%zz", "who=%ff"] {
            assert!(who(Some(bad)).is_err(), "{bad}");
        }
        assert!(who(None).is_err());
    }
}
