//! The operators' door: one call to a connection, on an address of its own.

use super::server::Server;
use super::stream::Stream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
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
type Said = Result<&'static str, (StatusCode, &'static str)>;

pub struct Control {
    server: Rc<Server>,
}

impl Control {
    pub fn new(server: Rc<Server>) -> Rc<Control> {
        Rc::new(Control { server })
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
            Err(no) => no,
        };
        let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
        *response.status_mut() = status;
        if status == StatusCode::METHOD_NOT_ALLOWED {
            let allowed = if request.uri().path() == "/status" { "GET" } else { "PUT" };
            response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
        }
        response
    }

    fn call(&self, request: &Request<Incoming>) -> Said {
        let wrong_method = Err((StatusCode::METHOD_NOT_ALLOWED, "wrong method\n"));
        match (request.uri().path(), request.method()) {
            ("/status", &Method::GET) if self.server.taking() => Ok("serving\n"),
            ("/status", &Method::GET) => Err((StatusCode::SERVICE_UNAVAILABLE, "not taking clients\n")),
            ("/status", _) => wrong_method,
            _ => Err((StatusCode::NOT_FOUND, "no such call\n")),
        }
    }
}
