//! Backend responses: determines their outcome, buffers them up to a limit, and forwards long ones to the client.

use crate::net::connection_driver::BoxError;
use crate::net::downstream::response_stream::ResponseChunk;
use crate::net::memory_budget::MemoryBudget;
use crate::net::{strip_hop_by_hop, MAX_BUFFERED_BODY_BYTES};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Response, StatusCode};
use meadowproxy::Outcome;
use std::pin::pin;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A response of unknown length is buffered at most this long before its first bytes are forwarded.
const MAX_BUFFERING_TIME: Duration = Duration::from_secs(1);
/// A client that reads nothing of its response for this time is dropped. The kernel's buffers hide shorter pauses.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// A backend that sends nothing of a response it has begun, or reads nothing of a body, for this time counts as failed.
pub const BACKEND_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a response's body cannot be used.
#[derive(Debug, Error)]
enum BodyError {
    /// Its headers frame the body ambiguously, or name a transfer coding that the client would not learn of.
    #[error("ambiguous message framing or unsupported transfer coding")]
    Framing,
    /// It belongs to an error response and is longer than the buffer.
    #[error("error response body longer than {MAX_BUFFERED_BODY_BYTES} bytes")]
    TooLong,
}

/// A backend's response, read as far as it is buffered.
pub enum BackendResponse {
    /// Its head arrived before the request was completely sent; the outcome is the one that the head states.
    BeforeRequestSent(Outcome),
    Buffered(BufferedResponse),
    Streaming(StreamingResponse),
}

/// A response that was read to its end.
pub struct BufferedResponse {
    pub outcome: Outcome,
    pub head: Parts,
    /// The body, or why it cannot be used.
    pub body: Result<Bytes, BoxError>,
}

/// A served response that is too long, or takes too long, to be buffered.
pub struct StreamingResponse {
    pub head: Parts,
    /// The body's length in bytes, if known.
    pub length: Option<u64>,
    /// What was received of the body, in parts.
    pub received: Vec<Bytes>,
    pub rest: Incoming,
}

impl BackendResponse {
    /// Reads a response until it is complete or has to be streamed. One of unknown length is streamed from `forward_by` on
    /// at the latest, as it may turn out to be a long one, of which only the first bytes are due in time.
    /// Where the budget does not allow to buffer it, it is streamed too.
    pub async fn read(
        response: Response<Incoming>,
        forward_by: Option<Instant>,
        budget: &MemoryBudget,
    ) -> BackendResponse {
        let outcome = outcome_of(&response);
        let (head, mut body) = response.into_parts();
        let buffered = |head, body| {
            BackendResponse::Buffered(BufferedResponse {
                outcome,
                head,
                body,
            })
        };
        if !has_one_framing(&head.headers) {
            return buffered(head, Err(BodyError::Framing.into()));
        }
        let length = body.size_hint().exact();
        let streaming = |head, received, rest| {
            BackendResponse::Streaming(StreamingResponse {
                head,
                length,
                received,
                rest,
            })
        };
        if outcome == Outcome::Ok && length.is_some_and(|n| n > MAX_BUFFERED_BODY_BYTES as u64) {
            return streaming(head, Vec::new(), body);
        }
        let mut received = budget.buffer(length);
        let buffered_until = Instant::now() + MAX_BUFFERING_TIME;
        let buffered_until = forward_by.map_or(buffered_until, |due| due.min(buffered_until));
        let mut buffering_timeout = pin!(tokio::time::sleep_until(buffered_until));
        loop {
            let may_stream = outcome == Outcome::Ok && length.is_none() && !received.is_empty();
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = buffering_timeout.as_mut(), if may_stream => {
                    return streaming(head, vec![received.freeze()], body);
                }
            };
            let data = match frame {
                None => return buffered(head, Ok(received.freeze())),
                Some(Err(error)) => return buffered(head, Err(error.into())),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let is_too_long = received.len() + data.len() > MAX_BUFFERED_BODY_BYTES;
            if is_too_long || received.extend(&data).is_err() {
                return match outcome {
                    Outcome::Ok => streaming(head, vec![received.freeze(), data], body),
                    _ => buffered(head, Err(BodyError::TooLong.into())),
                };
            }
        }
    }
}

/// Forwards a streamed response chunk by chunk, for as long as the backend sends and the client reads.
pub async fn forward_body(
    received: Vec<Bytes>,
    mut rest: Incoming,
    chunks: mpsc::Sender<ResponseChunk>,
) -> Outcome {
    for part in received {
        if !forward_chunk(part, &chunks).await {
            return Outcome::Cancelled;
        }
    }
    loop {
        let next = match tokio::time::timeout(BACKEND_STALL_TIMEOUT, rest.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(None) => {
                // A client that knows the length may have stopped reading.
                let _ = chunks.send(ResponseChunk::End).await;
                return Outcome::Ok;
            }
            Ok(Some(Err(_))) => return Outcome::Reset,
            Err(_) => return Outcome::TimedOut,
        };
        if !forward_chunk(next, &chunks).await {
            return Outcome::Cancelled;
        }
    }
}

/// Forwards a chunk; returns false if the client does not take it.
async fn forward_chunk(data: Bytes, chunks: &mpsc::Sender<ResponseChunk>) -> bool {
    if data.is_empty() {
        return true;
    }
    let sending = chunks.send(ResponseChunk::Data(data));
    let sent = tokio::time::timeout(CLIENT_STALL_TIMEOUT, sending).await;
    matches!(sent, Ok(Ok(())))
}

/// Strips the headers meant for the proxy, and takes those that are forwarded to the client.
pub fn strip_backend_headers(headers: &mut HeaderMap) -> HeaderMap {
    strip_hop_by_hop(headers);
    headers.remove("x-backend-load");
    std::mem::take(headers)
}

/// Returns the outcome that a response's head states. Under a status that the protocol does not list the request may
/// have been executed.
pub fn outcome_of(response: &Response<Incoming>) -> Outcome {
    let is_unprocessed = response
        .headers()
        .get("x-unprocessed")
        .is_some_and(|value| value == "1");
    match response.status() {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_unprocessed => {
            Outcome::Overloaded
        }
        _ => Outcome::Error,
    }
}

/// Returns whether the headers frame the body unambiguously and name no transfer coding other than `chunked`.
fn has_one_framing(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(only), None) => {
            only.as_bytes().eq_ignore_ascii_case(b"chunked")
                && !headers.contains_key(CONTENT_LENGTH)
        }
        _ => false,
    }
}

/// Formats an error with all its sources, for the log.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let sources = std::iter::successors(error.source(), |source| source.source());
    sources.fold(error.to_string(), |text, source| {
        format!("{text}: {source}")
    })
}
