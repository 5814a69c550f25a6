//! What the host keeps between events: requests, attempts, backends, timers and counts.

use super::known::Directory;
use crate::net::upstream::{Call, Served};
use imbl::Vector;
use meadowproxy::settings::Names;
use meadowproxy::{
    Action, AttemptNumber, BackendId, Balancer, ClassId, Event, Idempotency, Micros, RequestClass,
    RequestId, Time, TimerToken,
};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// The deadline of a request whose body still comes.
pub const UNKNOWN: Time = Time(u64::MAX / 4);

/// The final answer to a request.
pub enum Answer {
    Served(Served),
    /// With the time after which the client had better come again.
    Refused(Micros),
    Failed,
    TimedOut,
}

pub struct Live {
    pub call: Rc<Call>,
    pub class: ClassId,
    /// What a second run would do, by the settings that it came under.
    pub effect: Idempotency,
    /// When the first attempt that may have run was sent, of those that have ended.
    pub ran: Option<Time>,
    pub answer: oneshot::Sender<Answer>,
    pub deadline: Time,
    pub attempts: u32,
}

pub struct Flight {
    pub backend: BackendId,
    /// For a body that goes out as it comes: its last byte.
    pub sent: Time,
    pub task: AbortHandle,
}

/// What happened since the last line about it.
#[derive(Default)]
pub struct Counts {
    pub requests: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub timed_out: u64,
    pub gone: u64,
    pub attempts: u64,
    pub full: u64,
    pub errors: u64,
    pub resets: u64,
    pub unconnected: u64,
    pub unsent: u64,
}

/// How many things are counted.
pub const COUNTED: usize = 12;

impl Counts {
    /// Each under its name at the door.
    pub fn named(&self) -> [(&'static str, u64); COUNTED] {
        [
            ("meadowproxy_requests_total", self.requests),
            ("meadowproxy_requests_served_total", self.served),
            ("meadowproxy_requests_refused_total", self.refused),
            ("meadowproxy_requests_failed_total", self.failed),
            ("meadowproxy_requests_overdue_total", self.timed_out),
            ("meadowproxy_requests_gone_total", self.gone),
            ("meadowproxy_attempts_total", self.attempts),
            ("meadowproxy_attempts_full_total", self.full),
            ("meadowproxy_attempts_errors_total", self.errors),
            ("meadowproxy_attempts_reset_total", self.resets),
            ("meadowproxy_attempts_unconnected_total", self.unconnected),
            ("meadowproxy_attempts_unsent_total", self.unsent),
        ]
    }
}

pub struct State {
    pub balancer: Balancer,
    pub names: Names,
    /// The classes as they stand now, once settings have changed.
    pub classes: Vector<RequestClass>,
    pub numbers: HashMap<Rc<str>, BackendId>,
    /// By number. No number is ever given again, so that what comes late on one that was forgotten names nothing.
    pub backends: Directory,
    /// The next number.
    pub next: u32,
    /// Those that the list does not hold.
    pub unlisted: BTreeSet<BackendId>,
    pub requests: HashMap<RequestId, Live>,
    pub attempts: HashMap<(RequestId, AttemptNumber), Flight>,
    pub timers: BinaryHeap<Reverse<(Time, TimerToken)>>,
    pub events: VecDeque<Event>,
    pub actions: Vec<Action>,
    pub last: u64,
    pub counts: Counts,
    /// What lines were written about already, under the names of [`Counts::named`].
    pub told: [u64; COUNTED],
}

impl State {
    /// How long after the first send that may have run a copy may be sent: for ever, as long as a keyed one is
    /// dropped, or not at all. Settings that changed meanwhile can only take from that.
    pub fn window(&self, live: &Live) -> Option<Micros> {
        let window = |effect: &Idempotency| match effect {
            Idempotency::Idempotent => None,
            Idempotency::Keyed { window, .. } => Some(*window),
            Idempotency::NonIdempotent => Some(Micros(0)),
        };
        let now = self
            .classes
            .get(live.class.0)
            .map(|class| &class.idempotency);
        [Some(&live.effect), now]
            .into_iter()
            .flatten()
            .filter_map(window)
            .min()
    }

    /// Until when a copy of a keyed request is still dropped, where any other copy may have run or may yet. That one
    /// counts from its dispatch, which is before it can have begun; and a later one counts as well as an earlier, as
    /// it may have been faster.
    pub fn repeat_until(&self, request: RequestId, attempt: AttemptNumber) -> Option<Time> {
        let live = self.requests.get(&request)?;
        let others = (0..live.attempts)
            .map(AttemptNumber)
            .filter(|no| *no != attempt);
        let sent = others
            .filter_map(|no| self.attempts.get(&(request, no)))
            .map(|f| f.sent);
        sent.chain(live.ran)
            .min()
            .zip(self.window(live))
            .map(|(at, window)| at + window)
    }

    pub fn new(balancer: Balancer, names: Names) -> State {
        State {
            balancer,
            names,
            classes: Vector::new(),
            numbers: HashMap::new(),
            backends: Directory::default(),
            next: 0,
            unlisted: BTreeSet::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            timers: BinaryHeap::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            last: 0,
            counts: Counts::default(),
            told: [0; COUNTED],
        }
    }
}
