//! The admin API's HTTP server. Each connection carries one call.

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

/// The maximum number of concurrent connections: more than operators and their scripts need, and well below the number
/// of reserved descriptors.
const MAX_CONNECTIONS: usize = 16;
/// The time after which a connection is closed.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// The time limit for a call about the fleet: less than [`CONNECTION_TIMEOUT`], so that its caller gets a response.
const FLEET_CALL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The content type of metrics, which Prometheus requires.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";
/// The minimum interval between two log lines about connections that cannot be accepted.
const ACCEPT_LOG_INTERVAL: Duration = Duration::from_secs(1);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Reasons for which a call is rejected. The message is the response's body.
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
    #[error("the path is not valid percent-encoded UTF-8")]
    PathEncoding,
    #[error("the body is larger than 64 KiB")]
    BodyTooLarge,
    #[error("the body is malformed or incomplete")]
    MalformedBody,
    #[error("no response from the fleet within {FLEET_CALL_TIMEOUT:?}, try again")]
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
            CallError::Query(_) | CallError::PathEncoding | CallError::MalformedBody => {
                StatusCode::BAD_REQUEST
            }
            CallError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}

/// The response to a call.
struct CallResponse {
    status: StatusCode,
    body: String,
    content_type: Option<HeaderValue>,
}

impl CallResponse {
    fn ok(body: impl Into<String>) -> CallResponse {
        CallResponse {
            status: StatusCode::OK,
            body: body.into(),
            content_type: None,
        }
    }
}

impl From<CallError> for CallResponse {
    fn from(error: CallError) -> CallResponse {
        CallResponse {
            status: error.status(),
            body: format!("{error}\n"),
            content_type: None,
        }
    }
}

/// The tasks of the open connections, oldest first.
#[derive(Default)]
struct OpenConnections(VecDeque<AbortHandle>);

impl OpenConnections {
    /// Closes the oldest connection if there are [`MAX_CONNECTIONS`].
    fn make_room(&mut self) {
        self.0.retain(|connection| !connection.is_finished());
        if self.0.len() >= MAX_CONNECTIONS {
            if let Some(oldest) = self.0.pop_front() {
                oldest.abort();
            }
        }
    }
}

/// The server of the admin API.
pub struct AdminServer(AdminContext);

impl AdminServer {
    /// Creates a server whose calls read and change these components.
    pub fn new(context: AdminContext) -> Rc<AdminServer> {
        Rc::new(AdminServer(context))
    }

    /// Accepts connections and handles calls until the task is aborted.
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
            let connection = tokio::task::spawn_local(self.clone().serve(tcp));
            open.0.push_back(connection.abort_handle());
            // Lets the connection's task read its call before later connections can displace it.
            tokio::task::yield_now().await;
        }
    }

    /// Serves the single call of a connection.
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

    /// Handles a call and creates its HTTP response.
    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let methods = allowed_methods(request.uri().path());
        let reply = self
            .handle_call(request, methods)
            .await
            .unwrap_or_else(CallResponse::from);
        let mut response = Response::new(Full::new(Bytes::from(reply.body)));
        *response.status_mut() = reply.status;
        if let Some(content_type) = reply.content_type {
            response.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        if reply.status == StatusCode::METHOD_NOT_ALLOWED {
            let names: Vec<&str> = methods.iter().map(Method::as_str).collect();
            if let Ok(names) = HeaderValue::from_str(&names.join(", ")) {
                response.headers_mut().insert(ALLOW, names);
            }
        }
        response
    }

    /// Handles a call on a path with these allowed methods.
    async fn handle_call(
        &self,
        request: Request<Incoming>,
        methods: &[Method],
    ) -> Result<CallResponse, CallError> {
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
            Some(fleet) => handle_fleet_call(&**fleet, request).await,
            None => self.handle_process_call(&request).await,
        }
    }

    /// Handles a call about this process.
    async fn handle_process_call(
        &self,
        request: &Request<Incoming>,
    ) -> Result<CallResponse, CallError> {
        match request.uri().path() {
            "/status" => self.status(),
            "/metrics" => Ok(self.metrics()),
            "/peers" => self.peers(),
            path => {
                let id = backend_id(request.uri().query())?;
                let response = self.change_backend(path, &id)?;
                self.0.disabled_backends.wait_until_flushed().await; // so that the change survives a crash
                Ok(response)
            }
        }
    }

    fn status(&self) -> Result<CallResponse, CallError> {
        match self.0.server.is_accepting() {
            true => Ok(CallResponse::ok("serving\n")),
            false => Err(CallError::NotServing),
        }
    }

    fn metrics(&self) -> CallResponse {
        self.0.host.update_metrics(self.0.server.client_count());
        CallResponse {
            content_type: Some(HeaderValue::from_static(METRICS_CONTENT_TYPE)),
            ..CallResponse::ok(self.0.metrics.render())
        }
    }

    fn peers(&self) -> Result<CallResponse, CallError> {
        let peers = self.0.gossip.as_ref().ok_or(CallError::NoPeers)?;
        Ok(CallResponse::ok(peers.status()))
    }

    /// Disables or enables a backend.
    fn change_backend(&self, path: &str, id: &str) -> Result<CallResponse, CallError> {
        let backends = &self.0.disabled_backends;
        let (is_known, body) = match path {
            "/maintenance/enter" => (backends.disable(id), "out\n"),
            _ => (backends.enable(id), "back\n"),
        };
        match is_known {
            true => Ok(CallResponse::ok(body)),
            false => Err(CallError::UnknownBackend),
        }
    }
}

/// Reads the body of a call about the fleet, and passes the call to its handler.
async fn handle_fleet_call(
    fleet: &dyn FleetAdmin,
    request: Request<Incoming>,
) -> Result<CallResponse, CallError> {
    let (head, body) = request.into_parts();
    let path = decode_path(head.uri.path()).ok_or(CallError::PathEncoding)?;
    let path: Vec<&str> = path.iter().map(String::as_str).collect();
    let reply = fleet.call(&head.method, &path, collect_body(body).await?);
    let (status, body) = tokio::time::timeout(FLEET_CALL_TIMEOUT, reply)
        .await
        .map_err(|_| CallError::FleetTimeout)?;
    Ok(CallResponse {
        status,
        body,
        content_type: None,
    })
}

/// Reads the complete body of a call.
async fn collect_body(body: Incoming) -> Result<Bytes, CallError> {
    let collected = Limited::new(body, MAX_BUFFERED_BODY_BYTES).collect().await;
    collected
        .map(Collected::to_bytes)
        .map_err(|error| match error.is::<LengthLimitError>() {
            true => CallError::BodyTooLarge,
            false => CallError::MalformedBody,
        })
}

#[cfg(test)]
mod tests;
