//! The record of an endpoint: its entry in the list and its health as this proxy and its peers found it.

use crate::interface::{Backend, Micros, PeerId, Time};

/// What is known of an endpoint, but for what is solved over all of them ([`EndpointLoad`](super::EndpointLoad)).
#[derive(Default)]
pub struct EndpointRecord {
    /// Its entry in the endpoint list.
    pub entry: Backend,
    /// Attempts of this proxy in flight.
    pub in_flight: u32,
    /// Running share of error responses, from 0 to 1.
    pub error_share: f64,
    /// When it last responded, with whatever outcome.
    pub last_response_at: Time,
    /// An attempt has been without a response for suspiciously long.
    pub silent: bool,
    /// Ejections without a successful attempt between them.
    pub consecutive_ejections: i32,
    /// Successful attempts since the ejection.
    pub health_checks_passed: u32,
    /// Work dispatched within the overload window.
    pub recent_work: Vec<DispatchedWork>,
    /// Boxed, as most endpoints have none: made by the first [`EndpointRecord::faults_mut`].
    faults: Option<Box<EndpointFaults>>,
}

/// Work that was dispatched to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct DispatchedWork {
    pub dispatched_at: Time,
    /// Relative to the mean over all requests.
    pub work: f64,
}

/// What is known of an endpoint that failed, was overloaded or was disabled by operators.
#[derive(Debug)]
pub struct EndpointFaults {
    /// When operators enabled it again, which counts as a start.
    pub enabled_at: Option<Time>,
    /// Ejected until this time at least, and until health checks pass.
    pub ejected_until: Option<Time>,
    /// When this proxy last found it failing.
    pub last_failure_at: Time,
    /// Peers that ejected it: one verdict each.
    pub peer_ejections: Vec<PeerEjection>,
    pub latest_peer_verdict: LatestPeerVerdict,
    /// When it was ejected on peer verdicts alone.
    pub ejected_on_peer_verdicts_at: Option<Time>,
    /// It reported an overload, and gets nothing until then.
    pub overloaded_until: Time,
}

/// A peer's verdict that an endpoint is to be ejected.
#[derive(Clone, Copy, Debug)]
pub struct PeerEjection {
    pub peer: PeerId,
    pub issued_at: Time,
}

/// The newest ejection that a peer announced.
#[derive(Clone, Copy, Debug)]
pub struct LatestPeerVerdict {
    pub issued_at: Time,
    /// When this proxy's turn to check the endpoint's health comes.
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
    /// The record of an endpoint of which only its entry is known.
    pub fn new(entry: Backend) -> EndpointRecord {
        EndpointRecord {
            entry,
            ..EndpointRecord::default()
        }
    }

    /// Its faults, to read.
    pub fn faults(&self) -> &EndpointFaults {
        static NONE: EndpointFaults = EndpointFaults::NONE;
        self.faults.as_deref().unwrap_or(&NONE)
    }

    /// Its faults, to write: this allocates them.
    pub fn faults_mut(&mut self) -> &mut EndpointFaults {
        self.faults
            .get_or_insert_with(|| Box::new(EndpointFaults::NONE))
    }

    /// Whether it is ejected, be its term over or not.
    pub fn is_ejected(&self) -> bool {
        self.faults().ejected_until.is_some()
    }

    /// When its slow start began: with its process or when operators enabled it; `None` means long ago.
    pub fn slow_start_began_at(&self) -> Option<Time> {
        self.entry.started_at.max(self.faults().enabled_at)
    }

    /// Whether work was dispatched to it within the last `window`.
    pub fn has_recent_work(&self, now: Time, window: Micros) -> bool {
        self.recent_work
            .last()
            .is_some_and(|dispatched| now - dispatched.dispatched_at < window)
    }

    /// Work that was dispatched to it within the last `window`.
    pub fn work_within(&self, now: Time, window: Micros) -> f64 {
        self.recent_work
            .iter()
            .filter(|dispatched| now - dispatched.dispatched_at < window)
            .map(|dispatched| dispatched.work)
            .sum()
    }

    /// An attempt of so much work was dispatched to it; forgets what is older than `window`.
    pub fn record_dispatch(&mut self, now: Time, work: f64, window: Micros) {
        self.in_flight += 1;
        self.recent_work
            .retain(|dispatched| now - dispatched.dispatched_at < window);
        self.recent_work.push(DispatchedWork {
            dispatched_at: now,
            work,
        });
    }

    /// Forgets all but its entry, its attempts in flight and the work dispatched to it.
    pub fn reset(&mut self) {
        *self = EndpointRecord {
            entry: std::mem::take(&mut self.entry),
            recent_work: std::mem::take(&mut self.recent_work),
            in_flight: self.in_flight,
            ..EndpointRecord::default()
        };
    }
}
