//! Binding of listening addresses at the start.
//!
//! During a restart the previous process may still be about to close its sockets, so [`bind_with_retry`] retries an
//! address that is in use.

use crate::net::downstream::server;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpListener;
use tracing::warn;

/// How long an address that is in use is retried: two seconds less than a restart may take.
const RETRY_LIMIT: Duration = Duration::from_secs(8);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Reasons for which there is no listening socket.
#[derive(Debug, Error)]
pub enum BindError {
    /// The inherited listening socket cannot be registered with the event loop.
    #[error("inherited listening socket: {0}")]
    Inherited(#[source] io::Error),
    /// The address cannot be bound.
    #[error("{purpose}cannot listen on {address}: {source}")]
    Listen {
        /// Prefix of the message: the address's key in the configuration, a colon and a space; empty for clients.
        purpose: &'static str,
        address: SocketAddr,
        source: io::Error,
    },
}

/// Returns the listener for clients: the inherited socket, or a new one bound to the configured address.
pub async fn bind_client_listener(
    inherited: Option<std::net::TcpListener>,
    address: SocketAddr,
) -> Result<TcpListener, BindError> {
    match inherited {
        Some(socket) => TcpListener::from_std(socket).map_err(BindError::Inherited),
        None => bind_with_retry("", address, server::listen).await,
    }
}

/// Binds an address, and retries for up to [`RETRY_LIMIT`] while another process uses it.
pub async fn bind_with_retry<T>(
    purpose: &'static str,
    address: SocketAddr,
    bind: impl Fn(SocketAddr) -> io::Result<T>,
) -> Result<T, BindError> {
    let started = Instant::now();
    let mut is_logged = false;
    loop {
        let source = match bind(address) {
            Ok(bound) => return Ok(bound),
            Err(error) => error,
        };
        if source.kind() != io::ErrorKind::AddrInUse || started.elapsed() >= RETRY_LIMIT {
            return Err(BindError::Listen {
                purpose,
                address,
                source,
            });
        }
        if !is_logged {
            is_logged = true;
            warn!(
                event = "address_in_use",
                "{purpose}{address} is in use by another process, retrying: {source}"
            );
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
