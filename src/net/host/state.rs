//! The host's state between events: requests, attempts, backends, timers and counters.

use super::backend_directory::BackendDirectory;
use super::timers::TimerQueue;
use crate::net::upstream::{ForwardedRequest, ServedResponse};
use imbl::Vector;
use meadowproxy::settings::Names;
use meadowproxy::{
    Action, AttemptNumber, BackendId, Balancer, ClassId, Event, Idempotency, Micros, RequestClass,
    RequestId, Time,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// The deadline of a request whose body is still arriving.
pub const DEADLINE_UNKNOWN: Time = Time(u64::MAX / 4);

/// The final answer to a request.
pub enum Answer {
    /// A backend's response.
    Served(ServedResponse),
    /// Load was shed.
    Rejected {
        /// After this time the client should retry.
        retry_after: Micros,
    },
    /// All attempts failed.
    Failed,
    /// There was no decision by the deadline.
    TimedOut,
}

/// A request without its final answer.
pub struct OpenRequest {
    pub forwarded: Rc<ForwardedRequest>,
    pub class: ClassId,
    /// By the settings that were in force as the request arrived.
    pub idempotency: Idempotency,
    /// When the first attempt was sent that may have run, of those that have ended.
    pub first_possible_run_at: Option<Time>,
    pub answer: oneshot::Sender<Answer>,
    pub deadline: Time,
    /// How many there have been so far.
    pub attempts: u32,
}

/// Which attempt at which request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    pub request: RequestId,
    pub attempt: AttemptNumber,
}

/// An attempt that has not ended.
pub struct InFlightAttempt {
    pub backend: BackendId,
    /// When it was dispatched; for a streamed body, when its last byte was sent.
    pub sent_at: Time,
    pub task: AbortHandle,
}

/// What happened since the last log line on traffic.
#[derive(Default)]
pub struct RequestCounters {
    pub requests: u64,
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    pub timed_out: u64,
    pub client_disconnected: u64,
    pub attempts: u64,
    pub overloaded: u64,
    pub errors: u64,
    pub resets: u64,
    pub connect_failed: u64,
    pub not_sent: u64,
}

/// The number of counters.
pub const COUNTER_COUNT: usize = 12;

impl RequestCounters {
    /// Each counter with the name of its metric. Some metrics have older words for them: rejected is `refused`, timed out
    /// `overdue`, client disconnected `gone`, overloaded `full`, connect failed `unconnected`, not sent `unsent`.
    pub fn named(&self) -> [(&'static str, u64); COUNTER_COUNT] {
        [
            ("meadowproxy_requests_total", self.requests),
            ("meadowproxy_requests_served_total", self.served),
            ("meadowproxy_requests_refused_total", self.rejected),
            ("meadowproxy_requests_failed_total", self.failed),
            ("meadowproxy_requests_overdue_total", self.timed_out),
            ("meadowproxy_requests_gone_total", self.client_disconnected),
            ("meadowproxy_attempts_total", self.attempts),
            ("meadowproxy_attempts_full_total", self.overloaded),
            ("meadowproxy_attempts_errors_total", self.errors),
            ("meadowproxy_attempts_reset_total", self.resets),
            (
                "meadowproxy_attempts_unconnected_total",
                self.connect_failed,
            ),
            ("meadowproxy_attempts_unsent_total", self.not_sent),
        ]
    }
}

/// The host's mutable state.
pub struct State {
    pub balancer: Balancer,
    pub names: Names,
    /// The classes in force, once settings have changed.
    pub classes: Vector<RequestClass>,
    pub ids_by_name: HashMap<Rc<str>, BackendId>,
    /// By id. No id is ever given again, so that what arrives late for a forgotten backend refers to nothing.
    pub backends: BackendDirectory,
    pub next_backend_id: u32,
    /// Backends that are not in the endpoint list.
    pub unlisted: BTreeSet<BackendId>,
    pub requests: HashMap<RequestId, OpenRequest>,
    pub attempts: HashMap<AttemptKey, InFlightAttempt>,
    pub timers: TimerQueue,
    /// Events that are still to be handled, in order.
    pub events: VecDeque<Event>,
    pub actions: Vec<Action>,
    pub last_request_id: u64,
    pub counters: RequestCounters,
    /// Sums of the counters up to the last log line, in the order of [`RequestCounters::named`].
    pub reported_totals: [u64; COUNTER_COUNT],
}

impl State {
    /// State without backends and requests.
    pub fn new(balancer: Balancer, names: Names) -> State {
        State {
            balancer,
            names,
            classes: Vector::new(),
            ids_by_name: HashMap::new(),
            backends: BackendDirectory::default(),
            next_backend_id: 0,
            unlisted: BTreeSet::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            timers: TimerQueue::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
            last_request_id: 0,
            counters: RequestCounters::default(),
            reported_totals: [0; COUNTER_COUNT],
        }
    }

    /// Adds a request under the next id.
    pub fn add_request(&mut self, request: OpenRequest) -> RequestId {
        self.last_request_id += 1;
        self.counters.requests += 1;
        let id = RequestId(self.last_request_id);
        self.requests.insert(id, request);
        id
    }

    /// Gives a request its final answer, unless it has had one. Returns whether this was it.
    pub fn answer(&mut self, request: RequestId, answer: Answer) -> bool {
        let Some(request) = self.requests.remove(&request) else {
            return false;
        };
        let _ = request.answer.send(answer); // an error: its client has just left
        true
    }

    /// Attempts in flight by backend.
    pub fn in_flight_by_backend(&self) -> BTreeMap<BackendId, u32> {
        let mut counts = BTreeMap::new();
        for attempt in self.attempts.values() {
            *counts.entry(attempt.backend).or_default() += 1;
        }
        counts
    }

    /// How long after the first send that may have run another attempt may be sent: `None` for ever, zero not at all,
    /// else for as long as backends recognise the idempotency key. Settings that changed meanwhile can only shorten it.
    pub fn retry_window(&self, request: &OpenRequest) -> Option<Micros> {
        let at_arrival = retry_window_of(&request.idempotency);
        let in_force = self
            .classes
            .get(request.class.0)
            .and_then(|class| retry_window_of(&class.idempotency));
        [at_arrival, in_force].into_iter().flatten().min()
    }

    /// Until when a backend still drops another attempt at a request with an idempotency key, where any other attempt
    /// may have run or may yet. That one counts from its dispatch, before which it cannot have begun; a later attempt
    /// counts like an earlier one, as it may have been faster.
    pub fn duplicate_deadline(&self, id: RequestId, attempt: AttemptNumber) -> Option<Time> {
        let request = self.requests.get(&id)?;
        let in_flight_sends = (0..request.attempts)
            .map(AttemptNumber)
            .filter(|other| *other != attempt)
            .filter_map(|attempt| {
                let key = AttemptKey {
                    request: id,
                    attempt,
                };
                self.attempts.get(&key)
            })
            .map(|other| other.sent_at);
        let first_send = in_flight_sends.chain(request.first_possible_run_at).min()?;
        let window = self.retry_window(request)?;
        Some(first_send + window)
    }
}

fn retry_window_of(idempotency: &Idempotency) -> Option<Micros> {
    match idempotency {
        Idempotency::Idempotent => None,
        Idempotency::Keyed { window, .. } => Some(*window),
        Idempotency::NonIdempotent => Some(Micros(0)),
    }
}
