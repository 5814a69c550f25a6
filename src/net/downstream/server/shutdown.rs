//! Graceful shutdown: answers the requests already accepted, then closes the connections.

use super::{Pressure, Server, EVENT_LOOP_TURN};
use crate::net::to_duration;
use std::io::ErrorKind;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tracing::info;

/// How long connections are still accepted after SIGTERM; new ones arrive for up to 0.4 s.
const ACCEPT_LINGER: Duration = Duration::from_millis(500);
/// Time after the longest deadline for sending the last responses.
const FLUSH_TIME: Duration = Duration::from_millis(100);

impl Server {
    /// Shuts the server down. With `successor_accepts` another process accepts the clients that still arrive.
    pub(super) async fn shut_down(self: &Rc<Self>, listener: TcpListener, successor_accepts: bool) {
        self.shutdown.begin(self.longest_deadline());
        if successor_accepts {
            info!("another process accepts new clients; the listener is closed");
            drop(listener);
            self.wait_for_clients_to_leave().await;
        } else {
            self.accept_remaining(listener).await;
        }
        self.close_connections().await;
    }

    /// Waits for clients to close their connections, each of which is told to close with its next response. Idle
    /// connections are closed only after this wait, as a close may cross a request in transit.
    async fn wait_for_clients_to_leave(&self) {
        let end = Instant::now() + ACCEPT_LINGER;
        while self.client_count() > 0 && Instant::now() < end {
            let _ = tokio::time::timeout_at(end, self.client_closed.notified()).await;
        }
    }

    /// Accepts the connections that still arrive, then empties the backlog.
    async fn accept_remaining(self: &Rc<Self>, listener: TcpListener) {
        let mut linger = pin!(tokio::time::sleep(ACCEPT_LINGER));
        loop {
            tokio::select! {
                () = self.accept(&listener) => {}
                () = &mut linger => break,
            }
        }
        // Connections that the kernel has accepted must be answered: the backlog is emptied before the listener closes.
        let Ok(listener) = listener.into_std() else {
            return;
        };
        let end = Instant::now() + ACCEPT_LINGER;
        loop {
            match listener.accept() {
                Ok((stream, _)) => self.add_std_client(stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock || Instant::now() >= end => {
                    return;
                }
                Err(_) => {
                    // Out of descriptors: each connection that closes frees one.
                    let _ = self.close_least_useful(Pressure::OutOfDescriptors)
                        || self.host.pool.close_longest_idle();
                    self.wait_for_client_close(EVENT_LOOP_TURN).await;
                }
            }
        }
    }

    fn add_std_client(self: &Rc<Self>, stream: std::net::TcpStream) {
        let tcp = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        if let Ok(tcp) = tcp {
            self.add_client(tcp);
        }
    }

    /// Closes connections as they become idle, until none is left. After the longest deadline no answer is due any
    /// more, so a connection with an incomplete request does not delay the exit. A response or an upload that is still
    /// being streamed does, until the platform kills the process.
    async fn close_connections(&self) {
        let end = Instant::now() + to_duration(self.longest_deadline()) + FLUSH_TIME;
        while self.client_count() > 0 && (Instant::now() < end || self.is_any_busy()) {
            // Repeated, as a connection whose request has just arrived ignores the first notification.
            for client in self.clients.borrow().values() {
                client.close.notify_one();
            }
            self.wait_for_client_close(EVENT_LOOP_TURN).await;
        }
    }

    fn longest_deadline(&self) -> meadowproxy::Micros {
        let rules = self.rules.borrow();
        rules.deadlines.iter().max().copied().unwrap_or_default()
    }

    pub(super) fn is_any_busy(&self) -> bool {
        let clients = self.clients.borrow();
        clients.values().any(|client| client.is_busy.get())
    }
}
