//! The events that a host reports to the balancer.

use super::endpoints::{Backend, EndpointUpdate};
use super::ids::{AttemptNumber, BackendId, ClassId, PeerId, RequestId, TenantId, TimerToken};
use super::learned_state::LearnedState;
use super::time::{Micros, Time};
use super::validated_config::ValidatedConfig;

/// An event that the host reports to [`Balancer::handle`](crate::Balancer::handle), in order of time.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed, or could not be fetched.
    EndpointsUpdated {
        /// How `backends` relates to the list that is known already.
        update: EndpointUpdate,
        /// The entries of the update.
        backends: Vec<Backend>,
    },
    /// A client request arrived. It must get exactly one final answer.
    RequestArrived(RequestArrival),
    /// The backend started to stream its response. The attempt has no timeout from here on.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The request body is being streamed to this attempt's backend and cannot be sent to another one. Its deadline
    /// and latency are counted from the last byte of the body.
    UploadStarted {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// The last byte of a streamed request body was sent.
    UploadFinished {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// Time from now until the client's deadline.
        time_left: Micros,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected, so the request needs no answer.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// An operator disabled the backend, regardless of its state in the endpoint list.
    BackendDisabled {
        /// The backend.
        backend: BackendId,
    },
    /// An operator enabled the backend again. It may have restarted while it was disabled.
    BackendEnabled {
        /// The backend.
        backend: BackendId,
        /// When it was enabled.
        since: Time,
    },
    /// The number of processes running as this proxy changed; there are two during a hot restart.
    ProcessCountChanged {
        /// The number of processes, including this one.
        processes: u32,
    },
    /// The configuration changed. Pending requests keep the rules and the attempt limit that they arrived with.
    ConfigChanged {
        /// The new configuration. Existing classes and tenants keep their numbers, and new ones are appended.
        config: Box<ValidatedConfig>,
        /// Classes that are no longer in use.
        retired: Vec<ClassId>,
        /// Retired classes that are in use again. New classes are in use without being listed here.
        reinstated: Vec<ClassId>,
        /// Classes that inherit the estimates of another class.
        successors: Vec<ClassSuccessor>,
    },
    /// The state that an earlier process of this proxy learned. Report it after the first endpoint list: entries for
    /// hardware classes and backends that are not known by then are dropped.
    StateRestored {
        /// The state that [`Balancer::learned_state`](crate::Balancer::learned_state) returned.
        state: Box<LearnedState>,
        /// Time since the state was taken.
        age: Micros,
    },
    /// A health verdict on a backend, from a peer or from this proxy itself once it is published. Report each verdict
    /// once.
    VerdictReceived(PeerVerdict),
    /// A timer expired.
    TimerFired {
        /// The token of its [`Action::SetTimer`](crate::Action::SetTimer).
        token: TimerToken,
    },
}

/// A client request that arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestArrival {
    /// The request's id.
    pub request: RequestId,
    /// The request's class.
    pub class: ClassId,
    /// The request's tenant, if any.
    pub tenant: Option<TenantId>,
    /// Time from now until the client's deadline.
    pub time_left: Micros,
    /// The expected CPU time on a standard core, if known.
    pub work_hint: Option<Micros>,
    /// Whether the client marked the request as a retry.
    pub client_retry: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the dispatch or, for a streamed body, since its last byte was sent.
    pub latency: Micros,
    /// Whether the client already got the request's final answer.
    pub answered: bool,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend served the request.
    Ok,
    /// The backend returned an error response; it may have processed the request.
    Error,
    /// The backend rejected the request for lack of capacity, without processing it.
    Overloaded,
    /// No response arrived in time; the backend may have processed the request or still be processing it.
    TimedOut,
    /// No connection was established.
    ConnectFailed,
    /// The connection broke; the backend may have processed the request.
    Reset,
    /// This proxy cancelled the attempt; the backend may have processed the request.
    Cancelled,
    /// The request was not sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the backend did not process the request.
    pub fn proves_unprocessed(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A proxy's verdict on the health of a backend, based on its own attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Verdict {
    /// The backend was ejected.
    Ejected {
        /// Minimum duration of the ejection; after it the backend also has to pass health checks.
        duration: Micros,
        /// Number of ejections without a successful attempt in between, including this one.
        consecutive_ejections: u8,
    },
    /// The backend passed its health checks after an ejection and was readmitted.
    Readmitted,
}

/// A health verdict that was shared among the proxies of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerVerdict {
    /// The backend.
    pub backend: BackendId,
    /// The proxy that issued the verdict; `None` for this proxy.
    pub origin: Option<PeerId>,
    /// The verdict.
    pub verdict: Verdict,
    /// Time since the verdict was issued.
    pub age: Micros,
    /// Older verdicts are ignored.
    pub max_age: Micros,
    /// Number of live proxies, without this one.
    pub live_peers: u32,
    /// This proxy's position, from 0, in the order in which the live proxies health-check the backend. The order is
    /// random for each verdict and the same on all proxies; the proxy that issued the verdict comes last.
    pub health_check_turn: u32,
}

/// A class that inherits the estimates of another class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassSuccessor {
    /// The class that inherits the estimates.
    pub class: ClassId,
    /// The class that the estimates are copied from.
    pub predecessor: ClassId,
}
