//! The host's mutable state: requests, attempts, backends, timers and counters.

use super::backend_directory::BackendDirectory;
use super::listed_names::{ListedNames, NameHash};
use super::timers::TimerQueue;
use crate::net::upstream::{ForwardedRequest, RequestBody, ServedResponse};
use imbl::Vector;
use meadowproxy::settings::Names;
use meadowproxy::{
    Action, AttemptNumber, BackendId, Balancer, ClassId, Event, Idempotency, Micros, Outcome,
    RequestClass, RequestId, Time,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// The final answer to a request.
pub enum Answer {
    /// The response of a backend.
    Served(ServedResponse),
    /// Rejected by load shedding.
    Rejected {
        /// How long the client should wait before it retries.
        retry_after: Micros,
    },
    /// All attempts failed.
    Failed,
    /// The balancer made no decision by the deadline.
    TimedOut,
}

/// A request that has no final answer yet.
pub struct OpenRequest {
    pub forwarded: Rc<ForwardedRequest>,
    pub class: ClassId,
    /// From the settings in force when the request arrived.
    pub idempotency: Idempotency,
    /// Of the attempts that have ended and may have been executed, when the first was sent.
    pub first_possible_run_at: Option<Time>,
    pub answer: oneshot::Sender<Answer>,
    /// Until when it has to be answered if its body was complete when it arrived.
    pub buffered_deadline: Instant,
    /// The number of attempts dispatched so far.
    pub attempts: u32,
}

impl OpenRequest {
    /// Returns until when the client waits for the answer.
    pub fn deadline(&self) -> Instant {
        match &self.forwarded.body {
            RequestBody::Buffered(_) => self.buffered_deadline,
            RequestBody::Streaming(upload) => upload.deadline(),
        }
    }

    /// Returns until when the request has to be answered, see [`StreamedUpload::answer_deadline`].
    ///
    /// [`StreamedUpload::answer_deadline`]: crate::net::upstream::StreamedUpload::answer_deadline
    pub fn answer_deadline(&self) -> Instant {
        match &self.forwarded.body {
            RequestBody::Buffered(_) => self.buffered_deadline,
            RequestBody::Streaming(upload) => upload.answer_deadline(),
        }
    }

    /// Returns the outcome of attempts that are in flight at the deadline: a backend does not execute a request before
    /// it has the body's last byte.
    pub fn outcome_at_deadline(&self) -> Outcome {
        match &self.forwarded.body {
            RequestBody::Streaming(upload) if !upload.has_ended() => Outcome::ConnectFailed,
            _ => Outcome::TimedOut,
        }
    }
}

/// Identifies an attempt of a request.
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

/// Counters since the last log line on traffic.
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
    /// Returns each counter with the name of its metric. Some metrics keep older terms: `refused` for rejected,
    /// `overdue` for timed out, `gone` for client disconnected, `full` for overloaded, `unconnected` for connect
    /// failed, and `unsent` for not sent.
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
    /// The classes in force; empty until settings change for the first time.
    pub classes: Vector<RequestClass>,
    pub ids_by_name: HashMap<Rc<str>, BackendId>,
    /// The backends by id. Ids are never reused, so that a late event for a removed backend does not refer to another
    /// one.
    pub backends: BackendDirectory,
    pub next_backend_id: u32,
    /// The known backends that are not in the endpoint list.
    pub unlisted: BTreeSet<BackendId>,
    /// The names that were listed once, with and without a record.
    pub listed_names: ListedNames,
    pub requests: HashMap<RequestId, OpenRequest>,
    pub attempts: HashMap<AttemptKey, InFlightAttempt>,
    pub timers: TimerQueue,
    /// Events that the balancer has not handled yet, in order.
    pub events: VecDeque<Event>,
    /// Buffer for the actions of one event, empty between events.
    pub actions: Vec<Action>,
    pub last_request_id: u64,
    pub counters: RequestCounters,
    /// Totals of the counters up to the last log line, in the order of [`RequestCounters::named`].
    pub reported_totals: [u64; COUNTER_COUNT],
}

impl State {
    /// Creates the state without backends and requests.
    pub fn new(balancer: Balancer, names: Names) -> State {
        State {
            balancer,
            names,
            classes: Vector::new(),
            ids_by_name: HashMap::new(),
            backends: BackendDirectory::default(),
            next_backend_id: 0,
            unlisted: BTreeSet::new(),
            listed_names: ListedNames::default(),
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

    /// Gives a request its final answer. Returns false if it already had one or was abandoned.
    pub fn answer(&mut self, request: RequestId, answer: Answer) -> bool {
        let Some(request) = self.requests.remove(&request) else {
            return false;
        };
        let _ = request.answer.send(answer); // fails if the client has just disconnected
        true
    }

    /// Returns whether an endpoint list contains the backend or contained it once, in this process or an earlier one.
    pub fn was_listed(&self, name: &str) -> bool {
        let record = self
            .ids_by_name
            .get(name)
            .and_then(|id| self.backends.get(id));
        record.is_some_and(|record| record.entry.is_some())
            || self.listed_names.contains(NameHash::of(name))
    }

    /// Returns the number of attempts in flight by backend.
    pub fn in_flight_by_backend(&self) -> BTreeMap<BackendId, u32> {
        let mut counts = BTreeMap::new();
        for attempt in self.attempts.values() {
            *counts.entry(attempt.backend).or_default() += 1;
        }
        counts
    }

    /// Returns how long after the first attempt that may have been executed another one may be sent: `None` without
    /// limit, zero never, and otherwise for as long as backends recognise the idempotency key. Changes of settings
    /// since the request arrived can only shorten it.
    pub fn retry_window(&self, request: &OpenRequest) -> Option<Micros> {
        let at_arrival = retry_window_of(&request.idempotency);
        let in_force = self
            .classes
            .get(request.class.0)
            .and_then(|class| retry_window_of(&class.idempotency));
        [at_arrival, in_force].into_iter().flatten().min()
    }

    /// Returns until when a backend still drops `attempt` as a duplicate of another attempt that may have been executed
    /// or still may be. The window starts with the dispatch of that other attempt, before which it cannot have been
    /// executed. Later attempts count like earlier ones, as they may have reached a backend first.
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
