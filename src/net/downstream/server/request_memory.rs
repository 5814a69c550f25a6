//! Memory of a request: what it takes from the budget, and what is closed to make room for it.

use super::request_error::RequestError;
use super::{Server, EVENT_LOOP_TURN};
use crate::net::host::Answer;
use crate::net::memory_budget::{BudgetedBuffer, MemoryKind, Reservation};
use crate::net::upstream::{ServedBody, BACKEND_CONNECTION_BYTES};
use hyper::http::request::Parts;

/// Most connections that are closed for a request or a body that the memory budget does not allow.
const MAX_CLOSED_FOR_MEMORY: usize = 8;

/// Buffers of a body that is streamed, between and in the two connections, in bytes.
pub const STREAM_BYTES: usize = 24 * 1024;
/// State of a request and its attempt, in bytes.
const REQUEST_STATE_BYTES: usize = 6 * 1024;
/// A header field beside its name and value: its entries in the tables of the client's request, of the one that is
/// forwarded, and of the connection to the backend, in bytes.
const FIELD_BYTES: usize = 3 * 104;
/// How often the names and values of a head are in memory: as they were read, and as they are forwarded.
const HEAD_COPIES: usize = 2;

/// Returns what a request takes in memory that has a head of this size, and no streamed body.
pub fn request_bytes(head_bytes: usize) -> usize {
    REQUEST_STATE_BYTES + head_bytes
}

/// Returns what a head takes in memory wherever it is held, in bytes.
pub fn head_bytes(head: &Parts) -> usize {
    let text: usize = head
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    HEAD_COPIES * (text + head.uri.path().len()) + FIELD_BYTES * head.headers.len()
}

/// Returns whether the answer is a response that is forwarded as it arrives.
pub fn is_streamed(answer: Option<&Answer>) -> bool {
    let Some(Answer::Served(served)) = answer else {
        return false;
    };
    matches!(served.body, ServedBody::Streaming(_))
}

impl Server {
    /// Reserves the memory of a request. Idle connections are closed first if they are in the way.
    pub(super) async fn reserve_memory(
        &self,
        head_bytes: usize,
    ) -> Result<Reservation, RequestError> {
        for _ in 0..MAX_CLOSED_FOR_MEMORY {
            if let Some(reservation) = self.try_reserve(head_bytes) {
                return Ok(reservation);
            }
            if self.host.pool.close_longest_idle() {
                continue;
            }
            if !self.close_paused_request() {
                break;
            }
            self.wait_for_client_close(EVENT_LOOP_TURN).await;
        }
        self.try_reserve(head_bytes).ok_or(RequestError::NoCapacity)
    }

    /// Reserves the memory of a request if there is also enough for a connection to a backend.
    fn try_reserve(&self, head_bytes: usize) -> Option<Reservation> {
        let bytes = request_bytes(head_bytes);
        let budget = self.host.pool.memory_budget();
        let with_connection = bytes + BACKEND_CONNECTION_BYTES;
        let mut reservation = budget.reserve(MemoryKind::Requests, with_connection).ok()?;
        reservation.set(bytes);
        Some(reservation)
    }

    /// Extends a buffered body. Where the budget does not allow it, connections whose client has paused within a request
    /// are closed first. Returns false if that does not suffice.
    pub(super) async fn extend(&self, received: &mut BudgetedBuffer, data: &[u8]) -> bool {
        for _ in 0..MAX_CLOSED_FOR_MEMORY {
            if received.extend(data).is_ok() {
                return true;
            }
            if !self.close_paused_request() {
                return false;
            }
            self.wait_for_client_close(EVENT_LOOP_TURN).await;
        }
        received.extend(data).is_ok()
    }
}
