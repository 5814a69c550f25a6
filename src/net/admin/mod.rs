//! The operators' door: one call to a connection, on an address of its own. What this process knows is answered in the
//! same turn of the loop, a ban once it is on disk; calls on windows, duties and the configuration go to those who keep
//! them, and come back later.

pub mod disabled_backends;
pub mod prometheus;

use crate::net::admin::disabled_backends::Maintenance;
use crate::net::admin::prometheus::Figures;
use crate::net::cluster::gossip::GossipDriver;
use crate::net::downstream::server::Server;
use crate::net::host::Host;
use crate::net::observed_stream::Stream;
use crate::net::MAX_BODY;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use std::borrow::Cow;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use tracing::warn;

/// Connections at once: more than staff and scripts need, and well within the descriptors kept for it.
const MOST: usize = 16;
/// A call that is not over by then is cut.
const PATIENCE: Duration = Duration::from_secs(2);
const MAX_HEAD: usize = 8 * 1024;
/// The form of the figures, without which Prometheus does not take them.
const FIGURES: &str = "text/plain; version=0.0.4";
/// Lines about a failing listener come no faster.
const TELL_EVERY: Duration = Duration::from_secs(1);
/// Calls on duties, windows and the configuration have so long, within [`PATIENCE`], so that their caller hears of it.
const ANSWER_WITHIN: Duration = Duration::from_secs(1);

/// Why a call is not carried out.
type Refusal = (StatusCode, &'static str);

/// Status and text that a call on duties, windows or the configuration comes to, once its keepers have said so.
pub type Later = Pin<Box<dyn Future<Output = (StatusCode, String)>>>;

/// Who answers the calls on duties, windows and the configuration.
pub trait DutiesDoor {
    /// `path`: its segments, decoded; only calls that the door knows come here. `body` is at most 64 KiB of
    /// anything. The future is dropped where the caller leaves or it takes over a second.
    fn call(&self, method: &Method, path: &[&str], body: Bytes) -> Later;
}

/// Who knows or carries out what calls ask for.
#[derive(Clone)]
pub struct Keepers {
    pub host: Rc<Host>,
    pub server: Rc<Server>,
    pub maintenance: Rc<Maintenance>,
    pub peers: Option<Rc<GossipDriver>>,
    /// `None`: there are no duties, no windows and no configuration of the fleet.
    pub duties: Option<Rc<dyn DutiesDoor>>,
    /// What the process's recorder holds.
    pub figures: Figures,
}

pub struct Control(Keepers);

impl Control {
    pub fn new(keepers: Keepers) -> Rc<Control> {
        Rc::new(Control(keepers))
    }

    /// Answers calls for as long as the program runs.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let (mut open, mut told) = (VecDeque::<AbortHandle>::new(), None::<Instant>);
        loop {
            let tcp = match listener.accept().await {
                Ok((tcp, _)) => tcp,
                Err(e) => {
                    if told.is_none_or(|at| at.elapsed() >= TELL_EVERY) {
                        told = Some(Instant::now());
                        warn!("control: accept: {e}");
                    }
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            };
            open.retain(|call| !call.is_finished());
            if open.len() >= MOST {
                open.pop_front()
                    .into_iter()
                    .for_each(|oldest| oldest.abort());
            }
            let control = self.clone();
            let call = tokio::task::spawn_local(async move {
                let service = service_fn(|request| {
                    let control = control.clone();
                    async move { Ok::<_, Infallible>(control.answer(request).await) }
                });
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

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let figures = request.uri().path() == "/metrics";
        let methods = methods(request.uri().path());
        let said = self.said(request, methods).await;
        let (status, text) = said.unwrap_or_else(|(status, text)| (status, text.into()));
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        if figures && status == StatusCode::OK {
            response
                .headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static(FIGURES));
        }
        if status == StatusCode::METHOD_NOT_ALLOWED {
            let names: Vec<&str> = methods.iter().map(Method::as_str).collect();
            let names = HeaderValue::from_str(&names.join(", "));
            names
                .into_iter()
                .for_each(|names| drop(response.headers_mut().insert(ALLOW, names)));
        }
        response
    }

    async fn said(
        &self,
        request: Request<Incoming>,
        methods: &[Method],
    ) -> Result<(StatusCode, String), Refusal> {
        if methods.is_empty() {
            return Err((StatusCode::NOT_FOUND, "no such call\n"));
        }
        let off = (StatusCode::NOT_FOUND, "no duties in the configuration\n");
        let fleet = ["/windows", "/duties", "/config"]
            .iter()
            .any(|call| request.uri().path().starts_with(call));
        let duties = fleet
            .then(|| self.0.duties.as_ref().ok_or(off))
            .transpose()?;
        if !methods.contains(request.method()) {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "wrong method\n"));
        }
        match duties {
            Some(duties) => ask(&**duties, request).await,
            None => {
                let text = self.call(&request)?;
                if request.uri().path().starts_with("/maintenance/") {
                    self.0.maintenance.settled().await; // the yes is to outlive a crash
                }
                Ok((StatusCode::OK, text.into_owned()))
            }
        }
    }

    /// A call that this process answers by itself.
    fn call(&self, request: &Request<Incoming>) -> Result<Cow<'static, str>, Refusal> {
        let unknown = (
            StatusCode::NOT_FOUND,
            "no backend of that id was ever listed\n",
        );
        let path = request.uri().path();
        if path == "/status" {
            let not_yet = (StatusCode::SERVICE_UNAVAILABLE, "not taking clients\n");
            return if self.0.server.taking() {
                Ok("serving\n".into())
            } else {
                Err(not_yet)
            };
        }
        if path == "/metrics" {
            self.0.host.figures(self.0.server.clients());
            return Ok(self.0.figures.render().into());
        }
        if path == "/peers" {
            let alone = (
                StatusCode::NOT_FOUND,
                "state is not shared: no peers in the configuration\n",
            );
            return self
                .0
                .peers
                .as_ref()
                .map(|p| p.status().into())
                .ok_or(alone);
        }
        let id = who(request.uri().query()).map_err(|text| (StatusCode::BAD_REQUEST, text))?;
        let (known, done) = match path {
            "/maintenance/enter" => (self.0.maintenance.enter(&id), "out\n"),
            _ => (self.0.maintenance.exit(&id), "back\n"),
        };
        known.then_some(done.into()).ok_or(unknown)
    }
}

/// The methods that a call takes; none where there is no such call.
fn methods(path: &str) -> &'static [Method] {
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match segments[..] {
        ["status" | "peers" | "metrics" | "windows" | "duties"] => &[Method::GET],
        ["config"] => &[Method::GET, Method::PUT],
        ["config", "file"] => &[Method::PUT],
        ["config", "routes" | "tenants", name] if !name.is_empty() => {
            &[Method::GET, Method::PUT, Method::DELETE]
        }
        ["config", "routes" | "tenants", name, "override"] if !name.is_empty() => &[Method::DELETE],
        ["maintenance", "enter" | "exit"] => &[Method::PUT],
        ["windows", id] if !id.is_empty() => &[Method::PUT, Method::DELETE],
        ["windows", id, "extend" | "begin"] if !id.is_empty() => &[Method::POST],
        _ => &[],
    }
}

/// Has a call answered by those who keep duties, windows and the configuration.
async fn ask(
    duties: &dyn DutiesDoor,
    request: Request<Incoming>,
) -> Result<(StatusCode, String), Refusal> {
    let (head, body) = request.into_parts();
    let badly = (StatusCode::BAD_REQUEST, "the path is badly encoded\n");
    let path: Option<Vec<String>> = head.uri.path().split('/').skip(1).map(decoded).collect();
    let path = path.ok_or(badly)?;
    let path: Vec<&str> = path.iter().map(String::as_str).collect();
    let answer = duties.call(&head.method, &path, whole(body).await?);
    let late = (
        StatusCode::SERVICE_UNAVAILABLE,
        "no answer in time, ask again\n",
    );
    tokio::time::timeout(ANSWER_WITHIN, answer)
        .await
        .map_err(|_| late)
}

/// The whole body of a call, or why it is refused.
async fn whole(body: Incoming) -> Result<Bytes, Refusal> {
    let all = Limited::new(body, MAX_BODY).collect().await;
    all.map(http_body_util::Collected::to_bytes)
        .map_err(|e| match e.is::<LengthLimitError>() {
            true => (StatusCode::PAYLOAD_TOO_LARGE, "a body is at most 64 KiB\n"),
            false => (StatusCode::BAD_REQUEST, "the body is broken\n"),
        })
}

/// The one `who` of a query, decoded.
fn who(query: Option<&str>) -> Result<String, &'static str> {
    let pairs = query
        .unwrap_or_default()
        .split('&')
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    let mut ids = pairs.filter(|(name, _)| *name == "who").map(|(_, id)| id);
    match (ids.next(), ids.next()) {
        (None, _) => Err("who is missing\n"),
        (Some(_), Some(_)) => Err("who stands twice\n"),
        (Some(""), None) => Err("who is empty\n"),
        (Some(id), None) => decoded(&id.replace('+', " ")).ok_or("who is badly encoded\n"),
    }
}

/// Percent-decoding that takes nothing broken: the crate would leave a `%zz` as it stands.
fn decoded(text: &str) -> Option<String> {
    let byte = |rest: &str| rest.bytes().take(2).filter(u8::is_ascii_hexdigit).count() == 2;
    let sound = text.split('%').skip(1).all(byte);
    let bytes = percent_encoding::percent_decode_str(text);
    sound
        .then(|| bytes.decode_utf8().ok().map(Cow::into_owned))
        .flatten()
}

#[cfg(test)]
mod tests;
