//! What the host reports to the decisions.

use super::endpoints::{Backend, EndpointUpdate};
use super::ids::{AttemptNumber, BackendId, ClassId, PeerId, RequestId, TenantId, TimerToken};
use super::learned_state::LearnedState;
use super::time::{Micros, Time};
use super::validated_config::ValidatedConfig;

/// Something that happened, to be reported in order and with its time.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed, or could not be had.
    EndpointsUpdated {
        /// How far the update reaches.
        update: EndpointUpdate,
        /// The entries.
        backends: Vec<Backend>,
    },
    /// A client's request: it is owed one final answer.
    RequestArrived(RequestArrival),
    /// The response has begun to stream: no time-out runs for this attempt any more.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The request's body is streamed to this attempt's backend and cannot be sent to another. Its time counts from
    /// its last byte.
    UploadStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The last byte of a streamed body was sent.
    UploadFinished {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// When the client gives up, from now.
        time_left: Micros,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected; no answer is owed.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// Operators take the backend out of use, whatever the endpoint list says of it.
    BackendDisabled {
        /// The backend.
        backend: BackendId,
    },
    /// Operators put the backend back into use. It may have restarted at any time until then.
    BackendEnabled {
        /// The backend.
        backend: BackendId,
        /// When they did so.
        since: Time,
    },
    /// The number of processes that run as this proxy: two while a new version takes over from an old one.
    ProcessCountChanged {
        /// How many, this one included.
        processes: u32,
    },
    /// The configuration changed. Open requests end under the rules and with the attempts that they came with.
    ConfigChanged {
        /// The new configuration; numbers of classes and tenants keep their meaning, and new ones come last.
        config: Box<ValidatedConfig>,
        /// Classes that are no longer in use.
        retired: Vec<ClassId>,
        /// Retired classes that are in use again. New numbers are in use.
        reinstated: Vec<ClassId>,
        /// Classes that take over another's estimates.
        successors: Vec<ClassSuccessor>,
    },
    /// What an earlier process of this proxy had learned, to be reported after the first endpoint list. Kinds and
    /// backends that are unknown by then are dropped.
    StateRestored {
        /// The state, as [`Balancer::learned_state`](crate::Balancer::learned_state) returned it.
        state: Box<LearnedState>,
        /// Time since it was taken.
        age: Micros,
    },
    /// A proxy's verdict on a backend: another's, or this one's own as it is published. Each is reported once.
    VerdictReceived(PeerVerdict),
    /// A timer fell due.
    TimerFired {
        /// Which timer.
        token: TimerToken,
    },
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestArrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// When the client gives up, from now.
    pub time_left: Micros,
    /// The work expected, as processor time on a standard core.
    pub work_hint: Option<Micros>,
    /// Whether the client says that this is a retry.
    pub client_retry: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the dispatch; for a streamed body, since its last byte was sent.
    pub latency: Micros,
    /// Whether the request has had its final answer, so that none is owed any more.
    pub answered: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error response; it may have run.
    Error,
    /// Rejected by the backend for want of capacity; it did not run.
    Overloaded,
    /// No response in time; it may have run or still run.
    TimedOut,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled by this proxy; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt did not run.
    pub fn proves_unprocessed(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// What a proxy found out about a backend by its own evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Verdict {
    /// The backend was ejected.
    Ejected {
        /// How long the ejection lasts at first.
        duration: Micros,
        /// Ejections without a successful attempt between them, this one included.
        consecutive_ejections: u8,
    },
    /// The backend passed its health checks after an ejection and is in use again.
    Readmitted,
}

/// A verdict that the proxies of the fleet share.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerVerdict {
    /// The backend.
    pub backend: BackendId,
    /// The proxy that found it; `None` is this proxy.
    pub origin: Option<PeerId>,
    /// What it found.
    pub verdict: Verdict,
    /// Time since it was found.
    pub age: Micros,
    /// An older verdict is not used.
    pub max_age: Micros,
    /// Live proxies beside this one.
    pub live_peers: u32,
    /// This proxy's place, from 0, in the order in which the live proxies health-check the backend. The order is drawn
    /// anew for each verdict and is the same at all proxies; the verdict's origin comes last.
    pub health_check_turn: u32,
}

/// A class that takes over another's estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassSuccessor {
    /// The new class.
    pub class: ClassId,
    /// The class whose estimates it takes over.
    pub predecessor: ClassId,
}
