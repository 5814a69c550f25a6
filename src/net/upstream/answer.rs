//! A backend's answer: what it says, how much of it is held, and how a long one goes on.

use super::BoxError;
use crate::net::downstream::body::Piece;
use crate::net::{strip_hop_by_hop, MAX_BODY};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Response, StatusCode};
use meadowproxy::Outcome;
use std::pin::pin;
use std::time::Duration;
use tokio::sync::mpsc;

/// An answer of unknown length is held no longer than this before its first bytes go on.
const HOLD_BACK: Duration = Duration::from_secs(1);
/// A client that takes nothing of its answer for so long is let go; the kernel's buffers hide shorter pauses.
const CLIENT_STALL: Duration = Duration::from_secs(30);
/// A backend that gives nothing of an answer it began, or takes nothing of a body, for so long is taken for dead.
pub const BACKEND_STALL: Duration = Duration::from_secs(10);

/// An answer as far as it is held.
pub enum Got {
    /// Its head came before the request had gone out.
    Early(Outcome),
    /// With its body, where that came whole and is no longer than what is held.
    Whole(Outcome, Parts, Result<Bytes, BoxError>),
    /// Served and long: its length where known, what came so far, and the rest.
    Long(Parts, Option<u64>, Bytes, Incoming),
}

impl Got {
    pub async fn read(answer: Response<Incoming>) -> Got {
        let outcome = judge(&answer);
        let (head, mut body) = answer.into_parts();
        if !framed(&head.headers) {
            let why = "its framing is not told in one way, or coded".into();
            return Got::Whole(Outcome::Error, head, Err(why));
        }
        let length = body.size_hint().exact();
        if outcome == Outcome::Ok && length.is_some_and(|n| n > MAX_BODY as u64) {
            return Got::Long(head, length, Bytes::new(), body);
        }
        let mut held = BytesMut::new();
        let mut patience = pin!(tokio::time::sleep(HOLD_BACK));
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = patience.as_mut(), if outcome == Outcome::Ok && length.is_none() && !held.is_empty() => {
                    return Got::Long(head, None, held.freeze(), body);
                }
            };
            match frame {
                None => return Got::Whole(outcome, head, Ok(held.freeze())),
                Some(Err(e)) => return Got::Whole(outcome, head, Err(e.into())),
                Some(Ok(frame)) => {
                    held.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()));
                }
            }
            if held.len() > MAX_BODY {
                return match outcome {
                    Outcome::Ok => Got::Long(head, None, held.freeze(), body),
                    _ => Got::Whole(outcome, head, Err("longer than what is held".into())),
                };
            }
        }
    }
}

/// Passes a long answer on, a piece at a time, for as long as the backend gives and the client takes.
pub async fn pass_on(held: Bytes, mut body: Incoming, pieces: mpsc::Sender<Piece>) -> Outcome {
    let mut next = held;
    loop {
        if !next.is_empty() {
            let taken = tokio::time::timeout(CLIENT_STALL, pieces.send(Piece::Data(next))).await;
            if !matches!(taken, Ok(Ok(()))) {
                return Outcome::Cancelled;
            }
        }
        next = match tokio::time::timeout(BACKEND_STALL, body.frame()).await {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(None) => {
                let _ = pieces.send(Piece::End).await; // a client that knows the length may have gone on
                return Outcome::Ok;
            }
            Ok(Some(Err(_))) => return Outcome::Reset,
            Err(_) => return Outcome::TimedOut,
        };
    }
}

pub fn cleaned(headers: &mut HeaderMap) -> HeaderMap {
    strip_hop_by_hop(headers);
    headers.remove("x-backend-load");
    std::mem::take(headers)
}

/// What an answer says. Whatever the protocol does not list may have run.
pub fn judge(answer: &Response<Incoming>) -> Outcome {
    let unprocessed = answer
        .headers()
        .get("x-unprocessed")
        .is_some_and(|v| v == "1");
    match answer.status() {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => {
            Outcome::Overloaded
        }
        _ => Outcome::Error,
    }
}

/// Whether it says in one way how its body ends, and codes it in none that the client would not be told of.
fn framed(headers: &HeaderMap) -> bool {
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

/// An error with all that it comes from.
pub fn cause(e: &dyn std::error::Error) -> String {
    let sources = std::iter::successors(e.source(), |e| e.source());
    sources.fold(e.to_string(), |text, source| format!("{text}: {source}"))
}
