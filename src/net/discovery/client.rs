//! HTTP client for discovery: one call requests the endpoint list, or the changes to it.

use super::endpoint_list::{AnswerError, ListAnswer};
use crate::net::connection_driver::{drive_until_closed, BoxError};
use crate::net::observed_stream::ObservedStream;
use bytes::{Buf, Bytes};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;

/// Maximum size of an answer: four times that of a list of 25,000 backends.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// Answers of at least this size are parsed on a blocking thread: parsing this much takes the event loop half a
/// millisecond.
pub const MIN_OFFLOADED_PARSE_BYTES: usize = 32 * 1024;

/// Why a call to discovery failed.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    #[error("HTTP exchange failed: {0}")]
    Http(#[source] BoxError),
    #[error("answered with status {}", .0.as_u16())]
    Status(StatusCode),
    #[error(transparent)]
    Answer(#[from] AnswerError),
    /// The answer to a call for the full list has only changes.
    #[error("changes received in answer to a call for the full list")]
    ChangesOnly,
    #[error("connection closed before the answer was complete")]
    ConnectionEnded,
    #[error("no answer in time")]
    Timeout,
}

impl DiscoveryError {
    fn http(error: impl Into<BoxError>) -> DiscoveryError {
        DiscoveryError::Http(error.into())
    }
}

/// A connection to discovery, kept open between calls.
pub struct DiscoveryConnection {
    sender: http1::SendRequest<Empty<Bytes>>,
    connection: http1::Connection<ObservedStream, Empty<Bytes>>,
}

/// The result of a call.
pub struct CallResult {
    /// Its connection, if it can be reused.
    pub connection: Option<DiscoveryConnection>,
    pub answer: Result<ListAnswer, DiscoveryError>,
}

/// Calls discovery, reusing the connection of an earlier call if it is still open.
pub async fn call(
    connection: Option<DiscoveryConnection>,
    address: SocketAddr,
    connect_timeout: Duration,
    uri: String,
) -> CallResult {
    let reusable = connection.filter(|connection| !connection.sender.is_closed());
    let connected = match reusable {
        Some(connection) => Ok(connection),
        None => connect(address, connect_timeout).await,
    };
    let mut connection = match connected {
        Ok(connection) => connection,
        Err(error) => return failure(error),
    };
    match exchange(&mut connection, address, &uri).await {
        Ok(list) => CallResult {
            connection: Some(connection),
            answer: Ok(list),
        },
        Err(error) => failure(error),
    }
}

fn failure(error: DiscoveryError) -> CallResult {
    CallResult {
        connection: None,
        answer: Err(error),
    }
}

async fn connect(
    address: SocketAddr,
    timeout: Duration,
) -> Result<DiscoveryConnection, DiscoveryError> {
    let connected = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
    let tcp = connected
        .unwrap_or(Err(io::ErrorKind::TimedOut.into()))
        .map_err(DiscoveryError::Connect)?;
    let (sender, connection) = http1::handshake(ObservedStream::new(tcp))
        .await
        .map_err(DiscoveryError::http)?;
    Ok(DiscoveryConnection { sender, connection })
}

async fn exchange(
    connection: &mut DiscoveryConnection,
    address: SocketAddr,
    uri: &str,
) -> Result<ListAnswer, DiscoveryError> {
    let request = Request::get(uri)
        .header("host", address.to_string())
        .body(Empty::new())
        .map_err(DiscoveryError::http)?;
    let DiscoveryConnection { sender, connection } = connection;
    let work = async {
        sender.ready().await.map_err(DiscoveryError::http)?;
        let response = sender
            .send_request(request)
            .await
            .map_err(DiscoveryError::http)?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES)
            .collect()
            .await
            .map_err(DiscoveryError::Http)?;
        Ok((status, body.aggregate()))
    };
    let exchanged = drive_until_closed(connection, work).await;
    let (status, body) = exchanged.unwrap_or(Err(DiscoveryError::ConnectionEnded))?;
    if status != StatusCode::OK {
        return Err(DiscoveryError::Status(status));
    }
    parse_answer(body).await
}

/// Parses an answer; one of at least [`MIN_OFFLOADED_PARSE_BYTES`] on a blocking thread.
pub async fn parse_answer(body: impl Buf + Send + 'static) -> Result<ListAnswer, DiscoveryError> {
    if body.remaining() < MIN_OFFLOADED_PARSE_BYTES {
        return Ok(ListAnswer::read(body)?);
    }
    let read = tokio::task::spawn_blocking(move || ListAnswer::read(body)).await;
    Ok(read.map_err(DiscoveryError::http)??)
}
