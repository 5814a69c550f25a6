//! The record of an endpoint: its entry in the endpoint list, and its health as seen by this proxy and its peers.

use crate::interface::{Backend, Micros, PeerId, Time};

/// The state of one endpoint, without the values computed over all endpoints ([`EndpointLoad`](super::EndpointLoad)).
#[derive(Default)]
pub struct EndpointRecord {
    /// Its entry in the endpoint list.
    pub entry: Backend,
    /// Number of this proxy's attempts in flight.
    pub in_flight: u32,
    /// Running fraction of errors among its outcomes, from 0 to 1.
    pub error_share: f64,
    /// When it last responded, regardless of the outcome.
    pub last_response_at: Time,
    /// Whether an attempt has been without a response for longer than the silence limit.
    pub silent: bool,
    /// Number of ejections without a successful attempt in between.
    pub consecutive_ejections: i32,
    /// Number of successful attempts since the ejection.
    pub health_checks_passed: u32,
    /// Work dispatched within the overload window.
    pub recent_work: Vec<DispatchedWork>,
    /// Allocated by the first [`EndpointRecord::faults_mut`]. It is boxed because most endpoints have no faults.
    faults: Option<Box<EndpointFaults>>,
}

/// The work of one attempt that was dispatched to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct DispatchedWork {
    pub dispatched_at: Time,
    /// Work relative to the mean over all requests.
    pub work: f64,
}

/// The additional state of an endpoint that failed, was overloaded or was disabled by an operator.
#[derive(Debug)]
pub struct EndpointFaults {
    /// When an operator last enabled it, which counts as a start of the process.
    pub enabled_at: Option<Time>,
    /// Earliest end of the ejection; the endpoint stays ejected until its health checks pass. `None` if not ejected.
    pub ejected_until: Option<Time>,
    /// When this proxy last detected a failure of it.
    pub last_failure_at: Time,
    /// Ejections by peers, at most one per peer.
    pub peer_ejections: Vec<PeerEjection>,
    pub latest_peer_verdict: LatestPeerVerdict,
    /// When it was ejected because of peer verdicts alone.
    pub ejected_on_peer_verdicts_at: Option<Time>,
    /// End of the pause after it reported an overload; until then it gets no requests.
    pub overloaded_until: Time,
}

/// A peer's verdict to eject an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PeerEjection {
    pub peer: PeerId,
    pub issued_at: Time,
}

/// The newest ejection that a peer announced.
#[derive(Clone, Copy, Debug)]
pub struct LatestPeerVerdict {
    pub issued_at: Time,
    /// When it is this proxy's turn to health-check the endpoint.
    pub health_check_at: Time,
}

impl EndpointFaults {
    const NONE: EndpointFaults = EndpointFaults {
        enabled_at: None,
        ejected_until: None,
        last_failure_at: Time(0),
        peer_ejections: Vec::new(),
        latest_peer_verdict: LatestPeerVerdict {
            issued_at: Time(0),
            health_check_at: Time(0),
        },
        ejected_on_peer_verdicts_at: None,
        overloaded_until: Time(0),
    };
}

impl EndpointRecord {
    /// Creates the record of a new endpoint.
    pub fn new(entry: Backend) -> EndpointRecord {
        EndpointRecord {
            entry,
            ..EndpointRecord::default()
        }
    }

    /// Returns its faults, or empty ones if there are none.
    pub fn faults(&self) -> &EndpointFaults {
        static NONE: EndpointFaults = EndpointFaults::NONE;
        self.faults.as_deref().unwrap_or(&NONE)
    }

    /// Returns its faults for a change, allocating them if needed.
    pub fn faults_mut(&mut self) -> &mut EndpointFaults {
        self.faults
            .get_or_insert_with(|| Box::new(EndpointFaults::NONE))
    }

    /// Returns whether it is ejected, including the time after `ejected_until` in which it is health-checked.
    pub fn is_ejected(&self) -> bool {
        self.faults().ejected_until.is_some()
    }

    /// Returns when its slow start began: when its process started or an operator enabled it, whichever is later.
    /// `None` means long ago.
    pub fn slow_start_began_at(&self) -> Option<Time> {
        self.entry.started_at.max(self.faults().enabled_at)
    }

    /// Returns whether work was dispatched to it within the last `window`.
    pub fn has_recent_work(&self, now: Time, window: Micros) -> bool {
        self.recent_work
            .last()
            .is_some_and(|dispatched| now - dispatched.dispatched_at < window)
    }

    /// Returns the work that was dispatched to it within the last `window`.
    pub fn work_within(&self, now: Time, window: Micros) -> f64 {
        self.recent_work
            .iter()
            .filter(|dispatched| now - dispatched.dispatched_at < window)
            .map(|dispatched| dispatched.work)
            .sum()
    }

    /// Records the dispatch of an attempt and its work, and drops records that are older than `window`.
    pub fn record_dispatch(&mut self, now: Time, work: f64, window: Micros) {
        self.in_flight += 1;
        self.recent_work
            .retain(|dispatched| now - dispatched.dispatched_at < window);
        self.recent_work.push(DispatchedWork {
            dispatched_at: now,
            work,
        });
    }

    /// Resets everything except its list entry, its attempts in flight and its recent work.
    pub fn reset(&mut self) {
        *self = EndpointRecord {
            entry: std::mem::take(&mut self.entry),
            recent_work: std::mem::take(&mut self.recent_work),
            in_flight: self.in_flight,
            ..EndpointRecord::default()
        };
    }
}
