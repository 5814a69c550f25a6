//! The listening address of the admin API, which a reload may open, change or close.

use super::server::AdminServer;
use super::AdminContext;
use crate::net::downstream::server;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use tracing::info;

/// The new address cannot be bound; the server continues on the old one.
#[derive(Debug, Error)]
#[error("control: cannot listen on {address}: {source}")]
pub struct AdminListenError {
    address: SocketAddr,
    source: io::Error,
}

/// A running [`AdminServer`] and its address.
struct Running {
    address: SocketAddr,
    task: AbortHandle,
}

/// Owns the admin API's server, if one runs.
pub struct AdminListener {
    running: Option<Running>,
    context: AdminContext,
}

impl AdminListener {
    /// Creates a listener that does not listen yet.
    pub fn closed(context: AdminContext) -> AdminListener {
        AdminListener {
            running: None,
            context,
        }
    }

    /// Starts a server on `listener`, which is bound to `address`, and stops the previous server.
    pub fn serve(&mut self, address: SocketAddr, listener: TcpListener) {
        info!("control on {}", listener.local_addr().unwrap_or(address));
        self.close();
        let server = AdminServer::new(self.context.clone());
        let task = tokio::task::spawn_local(server.run(listener)).abort_handle();
        self.running = Some(Running { address, task });
    }

    /// Changes the listening address, or stops listening if it is `None`. If an error occurs, nothing changes.
    pub fn move_to(&mut self, address: Option<SocketAddr>) -> Result<(), AdminListenError> {
        if address == self.running.as_ref().map(|running| running.address) {
            return Ok(());
        }
        let Some(address) = address else {
            self.close();
            return Ok(());
        };
        let listener =
            server::listen(address).map_err(|source| AdminListenError { address, source })?;
        self.serve(address, listener);
        Ok(())
    }

    fn close(&mut self) {
        if let Some(running) = self.running.take() {
            running.task.abort();
        }
    }
}
