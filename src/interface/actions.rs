//! The actions that the balancer asks the host to carry out.

use super::events::Verdict;
use super::ids::{AttemptNumber, BackendId, RequestId, TimerToken};
use super::time::Micros;

/// An action for the host. Actions must be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to the backend. It may last until the client's deadline.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The backend.
        backend: BackendId,
    },
    /// Final answer: the request was rejected, and the client may safely retry it.
    Reject {
        /// The request.
        request: RequestId,
        /// Time from now after which the client should retry.
        retry_after: Micros,
    },
    /// Final answer: the request failed. A backend may have processed it.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Report an [`Event::TimerFired`](crate::Event::TimerFired) after a delay.
    SetTimer {
        /// The token to report in the event.
        token: TimerToken,
        /// The delay from now.
        after: Micros,
    },
    /// Request the endpoint list and its changes from service discovery.
    PollDiscovery,
    /// Publish a health verdict to the other proxies, if the host shares state with them.
    PublishVerdict {
        /// The backend.
        backend: BackendId,
        /// This proxy's verdict.
        verdict: Verdict,
    },
    /// Write the line to the log.
    Log(String),
}
