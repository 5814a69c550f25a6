//! An attempt: sends a request to a backend, reads the response, and determines the outcome.

use super::connection::{OutgoingBody, PooledConnection};
use super::pool::ConnectionPool;
use super::response::{
    error_chain, forward_body, outcome_of, strip_backend_headers, BackendResponse,
    BufferedResponse, StreamingResponse, BACKEND_STALL_TIMEOUT,
};
use super::{AttemptResult, ForwardedRequest, Progress, RequestBody, ServedBody, ServedResponse};
use crate::net::connection_driver::{drive_past_close, drive_until_closed};
use crate::net::downstream::response_stream::ResponseStream;
use crate::net::downstream::upload::UploadProgress;
use crate::net::memory_budget::MemoryBudget;
use crate::net::observed_stream::ObservedStream;
use crate::net::paced_body::PacedBody;
use http_body_util::Either;
use hyper::Request;
use meadowproxy::{BackendId, Outcome};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::debug;

/// The backend that an attempt is sent to.
#[derive(Clone, Copy)]
struct Target {
    backend: BackendId,
    address: SocketAddr,
}

impl Target {
    fn log_failure(&self, cause: impl std::fmt::Display) {
        debug!(
            event = "attempt_broken",
            backend = self.backend.0,
            to = %self.address,
            cause = cause.to_string(),
            "attempt ended without a usable response"
        );
    }
}

/// A response or an error. `None` if the connection ended first, or the request could not be sent in time.
type ExchangeResult = Option<Result<BackendResponse, hyper::Error>>;

/// The body that an attempt sends.
struct OutgoingRequestBody {
    body: OutgoingBody,
    /// The progress of a streamed body.
    upload: Option<Rc<UploadProgress>>,
}

/// What is needed to read a response.
struct ResponseReading<'a, P> {
    progress: &'a Rc<P>,
    budget: &'a MemoryBudget,
}

/// Tells whether the last byte of a request was sent. A backend does not execute the request before it has that byte.
struct SendStatus {
    stream: ObservedStream,
    upload: Option<Rc<UploadProgress>>,
}

impl SendStatus {
    fn is_sent(&self) -> bool {
        match &self.upload {
            Some(upload) => upload.has_ended(),
            None => self.stream.request_written(),
        }
    }

    /// Waits until the request can no longer be sent in time. Never returns if it was sent by then.
    async fn expired(&self, send_deadline: Option<Instant>) {
        match (&self.upload, send_deadline) {
            (Some(upload), _) => upload.stalled(BACKEND_STALL_TIMEOUT).await,
            (None, Some(deadline)) => tokio::time::sleep_until(deadline).await,
            (None, None) => std::future::pending().await,
        }
        if self.is_sent() {
            std::future::pending::<()>().await;
        }
    }
}

impl ConnectionPool {
    /// Sends `request` to a backend and waits for the response. `deadline` is sent along as `X-Time-Left`; the caller
    /// enforces it.
    pub async fn attempt(
        &self,
        backend: BackendId,
        address: SocketAddr,
        request: &ForwardedRequest,
        deadline: Instant,
        progress: &Rc<impl Progress + 'static>,
    ) -> AttemptResult {
        let target = Target { backend, address };
        let mut connection = match self.check_out(backend, address).await {
            Ok(connection) => connection,
            Err(outcome) => return AttemptResult::without_response(outcome),
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        let prepared = match time_left.is_zero() || !progress.may_send() {
            true => None,
            false => begin_sending(&connection.stream, &request.body, progress),
        };
        let Some(outgoing) = prepared else {
            self.check_in(backend, connection); // nothing was sent on it
            return AttemptResult::without_response(Outcome::NotSent);
        };
        connection.slot.grow_for_head(request.head_bytes);
        let status = SendStatus {
            stream: connection.stream.clone(),
            upload: outgoing.upload,
        };
        let request = http_request(request, outgoing.body, time_left);
        let send_deadline = progress.send_deadline();
        let reading = ResponseReading {
            progress,
            budget: self.memory_budget(),
        };
        let exchanged = tokio::select! {
            biased; // checked first, so that nothing is written after the send deadline
            () = status.expired(send_deadline) => None,
            exchanged = exchange(&mut connection, request, &status, reading) => exchanged,
        };
        self.finish(target, connection, &status, exchanged, progress)
            .await
    }

    /// Determines the outcome of the exchange, and forwards a streamed response.
    async fn finish(
        &self,
        target: Target,
        connection: PooledConnection,
        status: &SendStatus,
        exchanged: ExchangeResult,
        progress: &Rc<impl Progress + 'static>,
    ) -> AttemptResult {
        match exchanged {
            Some(Ok(BackendResponse::BeforeRequestSent(Outcome::Overloaded))) => {
                AttemptResult::without_response(Outcome::Overloaded)
            }
            Some(Ok(BackendResponse::BeforeRequestSent(_))) => {
                target.log_failure("response before the request was completely sent");
                AttemptResult::without_response(Outcome::ConnectFailed)
            }
            Some(Ok(BackendResponse::Buffered(response))) => {
                self.finish_buffered(target, connection, response)
            }
            Some(Ok(BackendResponse::Streaming(response))) => {
                let outcome = self
                    .forward_streaming(target, connection, response, progress)
                    .await;
                AttemptResult::without_response(outcome)
            }
            Some(Err(error)) => {
                AttemptResult::without_response(failure_outcome(target, status, Some(&error)))
            }
            None => AttemptResult::without_response(failure_outcome(target, status, None)),
        }
    }

    fn finish_buffered(
        &self,
        target: Target,
        connection: PooledConnection,
        response: BufferedResponse,
    ) -> AttemptResult {
        self.record_response(target.backend);
        if response.body.is_ok() {
            self.check_in_if_ready(target.backend, connection, Instant::now());
        }
        let BufferedResponse {
            outcome,
            mut head,
            body,
        } = response;
        match (outcome, body) {
            (Outcome::Ok, Ok(body)) => AttemptResult {
                outcome,
                response: Some(ServedResponse {
                    headers: strip_backend_headers(&mut head.headers),
                    body: ServedBody::Buffered(body),
                }),
            },
            (outcome, Ok(_)) => {
                if outcome == Outcome::Error {
                    target.log_failure(format!("status {}", head.status.as_u16()));
                }
                AttemptResult::without_response(outcome)
            }
            (outcome, Err(error)) => {
                target.log_failure(error_chain(error.as_ref()));
                // The body is unusable. A request answered with 200 was executed, and a truncated response that claims
                // the opposite is not trusted.
                AttemptResult::without_response(match outcome {
                    Outcome::Error => outcome,
                    _ => Outcome::Reset,
                })
            }
        }
    }

    async fn forward_streaming(
        &self,
        target: Target,
        mut connection: PooledConnection,
        response: StreamingResponse,
        progress: &Rc<impl Progress + 'static>,
    ) -> Outcome {
        self.record_response(target.backend);
        let StreamingResponse {
            mut head,
            length,
            received,
            rest,
        } = response;
        let (chunks, stream) = ResponseStream::new(length);
        progress.response_started(ServedResponse {
            headers: strip_backend_headers(&mut head.headers),
            body: ServedBody::Streaming(stream),
        });
        // The backend may send everything long before the client has read it. For the backend's idle timeout the
        // connection may be idle from here on.
        let started = Instant::now();
        let driven = drive_past_close(
            &mut connection.connection,
            forward_body(received, rest, chunks),
        )
        .await;
        let outcome = driven.value;
        if driven.is_open && outcome == Outcome::Ok {
            self.check_in_if_ready(target.backend, connection, started);
        }
        if matches!(outcome, Outcome::Reset | Outcome::TimedOut) {
            target.log_failure(format!("streamed response ended with {outcome:?}"));
        }
        outcome
    }
}

/// Starts sending the request and returns its body. `None` if another attempt has taken a streamed body.
fn begin_sending(
    stream: &ObservedStream,
    body: &RequestBody,
    progress: &Rc<impl Progress + 'static>,
) -> Option<OutgoingRequestBody> {
    match body {
        RequestBody::Buffered(bytes) => {
            stream.begin_request(bytes.len());
            Some(OutgoingRequestBody {
                body: Either::Left(PacedBody::new(bytes.clone(), stream.clone())),
                upload: None,
            })
        }
        RequestBody::Streaming(upload) => {
            let mut source = upload.take()?;
            source.pace(stream.clone());
            let upload = source.progress.clone();
            let finished = progress.clone();
            upload.on_end(move || finished.upload_finished());
            progress.upload_started();
            Some(OutgoingRequestBody {
                body: Either::Right(source),
                upload: Some(upload),
            })
        }
    }
}

fn http_request(
    forwarded: &ForwardedRequest,
    body: OutgoingBody,
    time_left: Duration,
) -> Request<OutgoingBody> {
    let mut request = Request::new(body);
    *request.method_mut() = forwarded.method.clone();
    *request.uri_mut() = forwarded.uri.clone();
    *request.headers_mut() = forwarded.headers.clone();
    if let Ok(text) = format!("{:.3}", time_left.as_secs_f64()).parse() {
        request.headers_mut().insert("x-time-left", text);
    }
    request
}

/// Sends the request and reads its response.
async fn exchange(
    connection: &mut PooledConnection,
    request: Request<OutgoingBody>,
    status: &SendStatus,
    reading: ResponseReading<'_, impl Progress + 'static>,
) -> ExchangeResult {
    let PooledConnection {
        sender, connection, ..
    } = connection;
    let work = async {
        sender.ready().await?;
        let response = sender.send_request(request).await?;
        // A response that arrives before the request's last byte cannot be a response to it. The connection is dropped,
        // so the request is never executed.
        if !status.is_sent() {
            return Ok(BackendResponse::BeforeRequestSent(outcome_of(&response)));
        }
        let forward_by = reading.progress.forward_by();
        Ok(BackendResponse::read(response, forward_by, reading.budget).await)
    };
    drive_until_closed(connection, work).await
}

/// Returns the outcome of an attempt without a response. Without an error, the connection ended or the backend stopped
/// reading.
fn failure_outcome(target: Target, status: &SendStatus, error: Option<&hyper::Error>) -> Outcome {
    let is_upload_cut = status.upload.is_some() && !status.is_sent();
    if is_upload_cut && error.is_some_and(hyper::Error::is_user) {
        // The client's body ended early: the backend never executes the request.
        return Outcome::NotSent;
    }
    match (error, &status.upload) {
        (Some(error), _) => target.log_failure(error_chain(error)),
        (None, Some(upload)) if is_upload_cut => {
            target.log_failure(format!("body not forwarded to its end: {upload}"));
        }
        (None, _) => target.log_failure("connection ended, or request not sent in time"),
    }
    if !status.is_sent() {
        return Outcome::ConnectFailed;
    }
    // Bytes that cannot be parsed as a response still are a response, not a reset.
    match error {
        Some(error) if error.is_parse() => Outcome::Error,
        _ => Outcome::Reset,
    }
}
