//! Handles one request: validates it, reads its body, passes it to the host, and builds the response.

use super::client_connection::ClientConnection;
use super::request_error::{plain_response, RequestError};
use super::request_memory::{head_bytes, is_streamed, request_bytes, STREAM_BYTES};
use super::{RequestRules, Server};
use crate::net::downstream::response_body::ResponseBody;
use crate::net::downstream::upload::Upload;
use crate::net::host::{Answer, Host, PendingRequest};
use crate::net::memory_budget::Reservation;
use crate::net::upstream::{ForwardedRequest, RequestBody, ServedBody, StreamedUpload};
use crate::net::{strip_hop_by_hop, to_duration, to_micros, MAX_BUFFERED_BODY_BYTES};
use bytes::Bytes;
use http_body_util::{BodyExt, Either};
use hyper::body::Incoming;
use hyper::header::RETRY_AFTER;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use meadowproxy::{ClassId, Idempotency, Micros, RequestArrival, RequestId};
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A validated request whose body is either complete or streamed.
struct AdmittedRequest {
    arrival: RequestArrival,
    forwarded: Rc<ForwardedRequest>,
    idempotency: Idempotency,
    memory: Reservation,
}

impl Server {
    /// Validates a request, passes it to the host, and returns the response to its final answer.
    pub(super) async fn proxy(
        self: &Rc<Self>,
        request: Request<Incoming>,
        client: &ClientConnection,
        started_at: Instant,
    ) -> Result<Response<ResponseBody>, RequestError> {
        let rules = self.rules.borrow().clone(); // a request keeps the rules that were in force when it arrived
        let admitted = self
            .validate_and_read(request, client, started_at, &rules)
            .await?;
        let forwarded = admitted.forwarded;
        let is_idempotent = matches!(admitted.idempotency, Idempotency::Idempotent);
        let PendingRequest { id, answer } =
            self.host
                .accept_request(admitted.arrival, &forwarded, admitted.idempotency);
        let mut guard = DisconnectGuard {
            host: &self.host,
            request: id,
            is_armed: true,
        };
        let answer = self.final_answer(id, answer, &forwarded.body).await;
        guard.is_armed = false;
        if !matches!(answer, Some(Answer::Served(_))) {
            drain_unsent(&forwarded.body);
        }
        let mut memory = admitted.memory;
        let streamed_bytes = request_bytes(forwarded.head_bytes) + STREAM_BYTES;
        if !is_streamed(answer.as_ref()) {
            memory.set(request_bytes(forwarded.head_bytes));
        } else if let Err(error) = memory.grow_to(streamed_bytes) {
            if is_idempotent {
                return Err(error.into());
            }
            memory.set(streamed_bytes); // the response of a request that must not be repeated is not rejected
        }
        let mut response = response_to(answer, rules.max_retry_after);
        response.body_mut().keep_memory(memory);
        Ok(response)
    }

    /// Validates a request and reads as much of its body as is buffered.
    async fn validate_and_read(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
        started_at: Instant,
        rules: &RequestRules,
    ) -> Result<AdmittedRequest, RequestError> {
        let (head, body) = request.into_parts();
        let class = self.class_of(&head.uri)?;
        let idempotency = rules.classes[class.0].idempotency;
        if !head.headers.contains_key("x-correlation-id") {
            return Err(RequestError::NoCorrelationId);
        }
        if !fits_class(&head, &idempotency) {
            return Err(RequestError::ClassMismatch);
        }
        let max_time = rules.deadlines[class.0];
        let time_left = header_number(&head.headers, "x-time-left")
            .map_or(max_time, Micros::from_secs_f64)
            .min(max_time);
        let upload = Upload::new(body, client.stream.peer_monitor(), started_at);
        client.receive_body(upload.progress.clone());
        let head_bytes = head_bytes(&head);
        let mut memory = match self.reserve_memory(head_bytes).await {
            Ok(memory) => memory,
            Err(error) => {
                tokio::task::spawn_local(drain(upload));
                return Err(error);
            }
        };
        let received = self.receive(upload).await?;
        // The time of a buffered request starts with its last byte.
        let margin = self.host.response_margin();
        let time_left = Micros(time_left.0.saturating_sub(margin.0));
        let time_until_answer = self.time_until_answer(class, time_left)?;
        let body = match received {
            Either::Left(complete) => RequestBody::Buffered(complete),
            Either::Right(upload) => {
                if let Err(error) = memory.grow_to(request_bytes(head_bytes) + STREAM_BYTES) {
                    tokio::task::spawn_local(drain(upload));
                    return Err(error.into());
                }
                RequestBody::Streaming(StreamedUpload::new(
                    upload,
                    to_duration(time_left),
                    self.shutdown.clone(),
                ))
            }
        };
        let arrival = self.arrival(class, &head.headers, time_until_answer);
        let mut headers = head.headers;
        strip_hop_by_hop(&mut headers);
        let forwarded = ForwardedRequest {
            method: head.method,
            uri: origin_form(&head.uri)?,
            headers,
            body,
            head_bytes,
            client: Some(client.stream.peer_monitor()),
        };
        Ok(AdmittedRequest {
            arrival,
            forwarded: Rc::new(forwarded),
            idempotency,
            memory,
        })
    }

    /// Buffers a body up to [`MAX_BUFFERED_BODY_BYTES`]. Returns the upload of a longer one, which has to be streamed.
    async fn receive(&self, mut upload: Upload) -> Result<Either<Bytes, Upload>, RequestError> {
        let mut received = self.host.pool.memory_budget().buffer(upload.length());
        let is_short = |upload: &Upload| {
            let length = upload.length();
            length.is_none_or(|n| n <= MAX_BUFFERED_BODY_BYTES as u64)
        };
        while is_short(&upload) && received.len() <= MAX_BUFFERED_BODY_BYTES {
            let Some(frame) = upload.frame().await else {
                return Ok(Either::Left(received.freeze()));
            };
            let data = frame?.into_data().unwrap_or_default();
            if !self.extend(&mut received, &data).await {
                tokio::task::spawn_local(drain(upload));
                return Err(RequestError::NoCapacity);
            }
        }
        if !received.is_empty() {
            upload.put_back(received.freeze());
        }
        Ok(Either::Right(upload))
    }

    /// Returns how long a request that completes now may take: `time_left`, or less while the process shuts down. A
    /// request that a shutdown leaves too little time is rejected before any attempt, which does the client no harm.
    fn time_until_answer(&self, class: ClassId, time_left: Micros) -> Result<Micros, RequestError> {
        let now = Instant::now();
        let deadline = now + to_duration(time_left);
        let answer_by = self.shutdown.answer_by(now, deadline);
        if answer_by == deadline {
            return Ok(time_left);
        }
        let time_until_answer = to_micros(answer_by.saturating_duration_since(now));
        if self.host.is_feasible(class, time_until_answer) {
            Ok(time_until_answer)
        } else {
            Err(RequestError::ShuttingDown)
        }
    }

    /// Builds the balancer's description of a request; the host replaces its id.
    fn arrival(&self, class: ClassId, headers: &HeaderMap, time_left: Micros) -> RequestArrival {
        let tenant = header_text(headers, "x-account");
        let work_hint_us = header_number(headers, "x-weight-hint");
        RequestArrival {
            request: RequestId(0),
            class,
            tenant: tenant.and_then(|name| self.host.tenant(name)),
            time_left,
            work_hint: work_hint_us.map(|us| Micros(us as u64)),
            client_retry: headers.get("x-repeat").is_some_and(|value| value == "1"),
        }
    }

    /// Returns the class named by the first path segment.
    fn class_of(&self, uri: &Uri) -> Result<ClassId, RequestError> {
        let name = uri.path().split('/').nth(1);
        name.and_then(|name| self.host.class(name))
            .ok_or(RequestError::UnknownClass)
    }

    /// Waits for the final answer, and ends the request at its deadline, which may move on before it is reached.
    async fn final_answer(
        &self,
        id: RequestId,
        answer: oneshot::Receiver<Answer>,
        body: &RequestBody,
    ) -> Option<Answer> {
        let mut answer = pin!(answer);
        while let Some(deadline) = self.host.request_deadline(id) {
            if deadline <= Instant::now() {
                self.host.deadline_expired(id);
                break;
            }
            tokio::select! {
                biased;
                answer = answer.as_mut() => return answer.ok(),
                () = upload_sent(body) => {} // its deadline is final from now on
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
        answer.await.ok()
    }
}

/// Returns whether the method and the idempotency key match the class. A request treated as safer than it is could be
/// retried and executed twice.
fn fits_class(head: &Parts, idempotency: &Idempotency) -> bool {
    match idempotency {
        Idempotency::Idempotent => head.method == Method::GET || head.method == Method::HEAD,
        Idempotency::Keyed { .. } => {
            head.method == Method::POST && head.headers.contains_key("idempotency-key")
        }
        Idempotency::NonIdempotent => head.method == Method::POST,
    }
}

/// Returns the target without scheme and authority.
fn origin_form(uri: &Uri) -> Result<Uri, RequestError> {
    let path = uri.path_and_query().ok_or(RequestError::NoPath)?;
    path.as_str().parse().map_err(|_| RequestError::NoPath)
}

fn response_to(answer: Option<Answer>, max_retry_after: Micros) -> Response<ResponseBody> {
    match answer {
        Some(Answer::Served(served)) => {
            let mut response = Response::new(match served.body {
                ServedBody::Buffered(body) => ResponseBody::buffered(body),
                ServedBody::Streaming(stream) => ResponseBody::streaming(stream),
            });
            *response.headers_mut() = served.headers;
            response
        }
        Some(Answer::Rejected { retry_after }) => {
            let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "refused\n");
            let retry_after_s = retry_after.min(max_retry_after).as_secs_f64();
            if let Ok(text) = format!("{retry_after_s:.3}").parse() {
                response.headers_mut().insert(RETRY_AFTER, text);
            }
            response
        }
        Some(Answer::Failed) => plain_response(StatusCode::BAD_GATEWAY, "failed\n"),
        Some(Answer::TimedOut) | None => plain_response(StatusCode::GATEWAY_TIMEOUT, "timed out\n"),
    }
}

/// Tells the host that the client has disconnected if the request's future is dropped before its final answer.
struct DisconnectGuard<'a> {
    host: &'a Rc<Host>,
    request: RequestId,
    is_armed: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if self.is_armed {
            self.host.client_disconnected(self.request);
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses a header as a finite, non-negative number.
fn header_number(headers: &HeaderMap, name: &str) -> Option<f64> {
    let number: f64 = header_text(headers, name)?.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

/// Reads the rest of a streamed body that no backend took: a client that is still sending reads the response only once
/// its body has been read to the end.
fn drain_unsent(body: &RequestBody) {
    if let RequestBody::Streaming(upload) = body {
        if let Some(rest) = upload.take() {
            tokio::task::spawn_local(drain(rest));
        }
    }
}

/// Reads and discards a body until it ends or fails. It is not buffered: it may be larger than memory.
async fn drain(mut rest: Upload) {
    while let Some(Ok(_)) = rest.frame().await {}
}

/// Waits until a streamed body was sent; never returns for a buffered one.
async fn upload_sent(body: &RequestBody) {
    match body {
        RequestBody::Buffered(_) => std::future::pending().await,
        RequestBody::Streaming(upload) => upload.sent().await,
    }
}
