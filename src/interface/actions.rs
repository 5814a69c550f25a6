//! What the decisions ask of the host.

use super::events::Verdict;
use super::ids::{AttemptNumber, BackendId, RequestId, TimerToken};
use super::time::Micros;

/// Something that the host has to carry out, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; it may last until the client gives up.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The backend.
        backend: BackendId,
    },
    /// Final answer: rejected, a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should retry, from now.
        retry_after: Micros,
    },
    /// Final answer: failed; it may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Report an [`Event::TimerFired`](crate::Event::TimerFired) later.
    SetTimer {
        /// The token that the event carries.
        token: TimerToken,
        /// When, from now.
        after: Micros,
    },
    /// Ask discovery for the endpoint list and its changes.
    PollDiscovery,
    /// Publish a verdict to the other proxies, where state is shared.
    PublishVerdict {
        /// The backend.
        backend: BackendId,
        /// What this proxy found out by its own evidence.
        verdict: Verdict,
    },
    /// Write a line to the log.
    Log(String),
}
