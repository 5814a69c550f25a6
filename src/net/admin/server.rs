//! Takes the operators' calls, one to a connection, and answers them.

use super::routes::{allowed_methods, backend_id, decode_path, is_fleet_call, QueryError};
use super::{AdminContext, FleetAdmin};
use crate::net::observed_stream::ObservedStream;
use crate::net::MAX_BUFFERED_BODY_BYTES;
use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tracing::warn;

/// Calls at once: more than staff and scripts need, and well within the reserved descriptors.
const MAX_CONNECTIONS: usize = 16;
/// A connection is cut after this time.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// A call on the fleet takes at most this time: less than [`CONNECTION_TIMEOUT`], so that its caller gets an answer.
const FLEET_CALL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Prometheus takes no metrics without it.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";
/// At most one line in this time about a listener that fails.
const ACCEPT_LOG_INTERVAL: Duration = Duration::from_secs(1);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Why a call is not carried out.
#[derive(Debug, Error)]
enum CallError {
    #[error("no such call")]
    UnknownCall,
    #[error("wrong method")]
    WrongMethod,
    #[error("no duties in the configuration")]
    NoFleet,
    #[error("state is not shared: no peers in the configuration")]
    NoPeers,
    #[error("not taking clients")]
    NotServing,
    #[error("no backend of that id was ever listed")]
    UnknownBackend,
    #[error(transparent)]
    Query(#[from] QueryError),
    #[error("the path is badly encoded")]
    PathEncoding,
    #[error("a body is at most 64 KiB")]
    BodyTooLarge,
    #[error("the body is broken")]
    BrokenBody,
    #[error("no answer in time, ask again")]
    FleetTimeout,
}

impl CallError {
    fn status(&self) -> StatusCode {
        match self {
            CallError::UnknownCall
            | CallError::NoFleet
            | CallError::NoPeers
            | CallError::UnknownBackend => StatusCode::NOT_FOUND,
            CallError::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            CallError::NotServing | CallError::FleetTimeout => StatusCode::SERVICE_UNAVAILABLE,
            CallError::Query(_) | CallError::PathEncoding | CallError::BrokenBody => {
                StatusCode::BAD_REQUEST
            }
            CallError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

/// The answer to a call.
struct CallAnswer {
    status: StatusCode,
    body: String,
    content_type: Option<HeaderValue>,
}

impl CallAnswer {
    fn ok(body: impl Into<String>) -> CallAnswer {
        CallAnswer {
            status: StatusCode::OK,
            body: body.into(),
            content_type: None,
        }
    }
}

impl From<CallError> for CallAnswer {
    fn from(error: CallError) -> CallAnswer {
        CallAnswer {
            status: error.status(),
            body: format!("{error}\n"),
            content_type: None,
        }
    }
}

/// The oldest calls make way for new ones above [`MAX_CONNECTIONS`].
#[derive(Default)]
struct OpenConnections(VecDeque<AbortHandle>);

impl OpenConnections {
    fn make_room(&mut self) {
        self.0.retain(|call| !call.is_finished());
        if self.0.len() >= MAX_CONNECTIONS {
            if let Some(oldest) = self.0.pop_front() {
                oldest.abort();
            }
        }
    }
}

/// Answers the operators' calls.
pub struct AdminServer(AdminContext);

impl AdminServer {
    /// A server over these parts of the proxy.
    pub fn new(context: AdminContext) -> Rc<AdminServer> {
        Rc::new(AdminServer(context))
    }

    /// Answers calls for as long as the program runs.
    pub async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut open = OpenConnections::default();
        let mut logged_at = None::<Instant>;
        loop {
            let tcp = match listener.accept().await {
                Ok((tcp, _)) => tcp,
                Err(error) => {
                    if logged_at.is_none_or(|at| at.elapsed() >= ACCEPT_LOG_INTERVAL) {
                        logged_at = Some(Instant::now());
                        warn!("control: accept: {error}");
                    }
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            open.make_room();
            let call = tokio::task::spawn_local(self.clone().serve(tcp));
            open.0.push_back(call.abort_handle());
            // A call that has arrived is read before later ones can push it out.
            tokio::task::yield_now().await;
        }
    }

    async fn serve(self: Rc<Self>, tcp: TcpStream) {
        let service = service_fn(|request| {
            let server = self.clone();
            async move { Ok::<_, Infallible>(server.respond(request).await) }
        });
        let mut builder = http1::Builder::new();
        builder.keep_alive(false).max_buf_size(MAX_HEAD_BYTES);
        let connection = builder.serve_connection(ObservedStream::new(tcp), service);
        let _ = tokio::time::timeout(CONNECTION_TIMEOUT, connection).await;
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let methods = allowed_methods(request.uri().path());
        let answer = self
            .answer(request, methods)
            .await
            .unwrap_or_else(CallAnswer::from);
        let mut response = Response::new(Full::new(Bytes::from(answer.body)));
        *response.status_mut() = answer.status;
        if let Some(content_type) = answer.content_type {
            response.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        if answer.status == StatusCode::METHOD_NOT_ALLOWED {
            let names: Vec<&str> = methods.iter().map(Method::as_str).collect();
            if let Ok(names) = HeaderValue::from_str(&names.join(", ")) {
                response.headers_mut().insert(ALLOW, names);
            }
        }
        response
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        methods: &[Method],
    ) -> Result<CallAnswer, CallError> {
        if methods.is_empty() {
            return Err(CallError::UnknownCall);
        }
        let fleet = match is_fleet_call(request.uri().path()) {
            true => Some(self.0.fleet.as_ref().ok_or(CallError::NoFleet)?),
            false => None,
        };
        if !methods.contains(request.method()) {
            return Err(CallError::WrongMethod);
        }
        match fleet {
            Some(fleet) => answer_fleet_call(&**fleet, request).await,
            None => self.answer_process_call(&request).await,
        }
    }

    /// Answers a call on this process.
    async fn answer_process_call(
        &self,
        request: &Request<Incoming>,
    ) -> Result<CallAnswer, CallError> {
        match request.uri().path() {
            "/status" => self.status(),
            "/metrics" => Ok(self.metrics()),
            "/peers" => self.peers(),
            path => {
                let id = backend_id(request.uri().query())?;
                let answer = self.change_backend(path, &id)?;
                self.0.disabled_backends.wait_until_flushed().await; // what is acknowledged survives a crash
                Ok(answer)
            }
        }
    }

    fn status(&self) -> Result<CallAnswer, CallError> {
        match self.0.server.is_accepting() {
            true => Ok(CallAnswer::ok("serving\n")),
            false => Err(CallError::NotServing),
        }
    }

    fn metrics(&self) -> CallAnswer {
        self.0.host.update_metrics(self.0.server.client_count());
        CallAnswer {
            content_type: Some(HeaderValue::from_static(METRICS_CONTENT_TYPE)),
            ..CallAnswer::ok(self.0.metrics.render())
        }
    }

    fn peers(&self) -> Result<CallAnswer, CallError> {
        let peers = self.0.gossip.as_ref().ok_or(CallError::NoPeers)?;
        Ok(CallAnswer::ok(peers.status()))
    }

    fn change_backend(&self, path: &str, id: &str) -> Result<CallAnswer, CallError> {
        let backends = &self.0.disabled_backends;
        let (is_known, body) = match path {
            "/maintenance/enter" => (backends.disable(id), "out\n"),
            _ => (backends.enable(id), "back\n"),
        };
        match is_known {
            true => Ok(CallAnswer::ok(body)),
            false => Err(CallError::UnknownBackend),
        }
    }
}

async fn answer_fleet_call(
    fleet: &dyn FleetAdmin,
    request: Request<Incoming>,
) -> Result<CallAnswer, CallError> {
    let (head, body) = request.into_parts();
    let path = decode_path(head.uri.path()).ok_or(CallError::PathEncoding)?;
    let path: Vec<&str> = path.iter().map(String::as_str).collect();
    let reply = fleet.call(&head.method, &path, collect_body(body).await?);
    let (status, body) = tokio::time::timeout(FLEET_CALL_TIMEOUT, reply)
        .await
        .map_err(|_| CallError::FleetTimeout)?;
    Ok(CallAnswer {
        status,
        body,
        content_type: None,
    })
}

/// The complete body of a call.
async fn collect_body(body: Incoming) -> Result<Bytes, CallError> {
    let collected = Limited::new(body, MAX_BUFFERED_BODY_BYTES).collect().await;
    collected
        .map(Collected::to_bytes)
        .map_err(|error| match error.is::<LengthLimitError>() {
            true => CallError::BodyTooLarge,
            false => CallError::BrokenBody,
        })
}

#[cfg(test)]
mod tests;
