//! Runs the [`Balancer`]: the [`Host`] is its sole owner, passes it events, and executes the actions that it returns.
//!
//! - `requests`: handles requests from their arrival to their final answer.
//! - `attempts`: handles attempts at backends, from their dispatch to their end.
//! - `endpoints`: applies updates of the endpoint list; `backend_directory` stores what is known of each backend.
//! - `disabled`: disables backends for operators and maintenance windows.
//! - `listed_names`: remembers which names were listed, for operators' calls.
//! - `learned_state`: exports and restores the state that survives a restart.
//! - `timers`: fires the balancer's timers.
//! - `report`: log lines and metrics on traffic.

mod attempts;
mod backend_directory;
mod disabled;
#[cfg(test)]
mod disconnect_tests;
mod endpoints;
#[cfg(test)]
mod example;
mod learned_state;
mod listed_names;
mod report;
mod requests;
mod state;
mod timers;

pub use backend_directory::DisableReason;
pub use endpoints::BackendStatus;
pub use listed_names::NameHash;
pub use requests::PendingRequest;
pub use state::Answer;

use crate::net::upstream::ConnectionPool;
use crate::net::Clock;
use meadowproxy::settings::{Names, SettingsChange};
use meadowproxy::{
    Action, AttemptEnd, AttemptNumber, Balancer, ClassId, Event, Micros, Outcome, PeerVerdict,
    RequestId, TenantId, Time, Verdict,
};
use state::{AttemptKey, State};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{mpsc, watch, Notify};
use tracing::info;

/// Part of a client's time that is reserved for returning the response, in addition to the timer lag.
const BASE_RESPONSE_MARGIN: Micros = Micros(3_000);
/// Maximum of the reserved time, with the timer lag.
const MAX_RESPONSE_MARGIN: Micros = Micros(20_000);

/// A response that has begun is forwarded so many timer resolutions before its request's deadline, as the balancer gives
/// the request up one of them before it.
const FORWARDING_MARGIN_TICKS: u64 = 4;

/// A verdict of this proxy for the other proxies of its fleet, with the name of the backend that it is about.
pub type NamedVerdict = (String, Verdict);

/// Owner of the balancer and of the requests, attempts and backends that it decides on.
pub struct Host {
    state: RefCell<State>,
    pub clock: Clock,
    pub pool: Rc<ConnectionPool>,
    /// Notified when a timer is set that is due before all others.
    earlier_timer: Notify,
    /// Notified when the balancer requests a poll of discovery.
    poll_request: Notify,
    /// Whether discovery has answered.
    list_received: watch::Sender<bool>,
    /// Decaying maximum of how late timers fire, in microseconds.
    timer_lag_us: Cell<u64>,
    /// Receives this proxy's verdicts, if the fleet shares state.
    verdict_sender: RefCell<Option<mpsc::Sender<NamedVerdict>>>,
}

impl Host {
    /// Creates a host without backends.
    pub fn new(
        balancer: Balancer,
        names: Names,
        clock: Clock,
        pool: Rc<ConnectionPool>,
    ) -> Rc<Host> {
        Rc::new(Host {
            state: RefCell::new(State::new(balancer, names)),
            clock,
            pool,
            earlier_timer: Notify::new(),
            poll_request: Notify::new(),
            list_received: watch::channel(false).0,
            timer_lag_us: Cell::new(0),
            verdict_sender: RefCell::new(None),
        })
    }

    /// Returns the request class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.state.borrow().names.class(name)
    }

    /// Returns the tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.state.borrow().names.tenant(name)
    }

    /// Returns the names in force with all ids assigned so far. Cloning shares them and does not copy.
    pub fn names(&self) -> Names {
        self.state.borrow().names.clone()
    }

    /// Returns the part of a client's time that is reserved for returning the response.
    pub fn response_margin(&self) -> Micros {
        let margin_us = BASE_RESPONSE_MARGIN.0 + self.timer_lag_us.get();
        Micros(margin_us.min(MAX_RESPONSE_MARGIN.0))
    }

    /// Returns how long before its deadline a request's response must be forwarded, for the balancer not to give the
    /// request up.
    pub fn forwarding_margin(&self) -> Micros {
        let resolution = self.state.borrow().balancer.timer_resolution();
        Micros(FORWARDING_MARGIN_TICKS * resolution.0 + self.response_margin().0)
    }

    /// Sends this proxy's verdicts to `sender` from now on.
    pub fn publish_verdicts_to(&self, sender: mpsc::Sender<NamedVerdict>) {
        *self.verdict_sender.borrow_mut() = Some(sender);
    }

    /// Passes another proxy's verdict to the balancer. A verdict on a backend that is not known here is ignored.
    pub fn receive_verdict(self: &Rc<Self>, name: &str, verdict: PeerVerdict) {
        let backend = self.state.borrow().ids_by_name.get(name).copied();
        if let Some(backend) = backend {
            self.handle_event(Event::VerdictReceived(PeerVerdict { backend, ..verdict }));
        }
    }

    /// Applies settings that were read against [`Host::names`], to which endpoint lists may have added since.
    pub fn apply_settings(self: &Rc<Self>, change: SettingsChange) {
        let SettingsChange {
            to,
            retired,
            reinstated,
            successors,
            ..
        } = change;
        let config = to.config;
        {
            let mut s = self.state.borrow_mut();
            s.names = to.names;
            s.classes = config.classes.clone();
        }
        self.handle_event(Event::ConfigChanged {
            config: Box::new(config),
            retired,
            reinstated,
            successors,
        });
    }

    /// Tells the balancer how many processes make up this proxy; two during a hot restart.
    pub fn set_process_count(self: &Rc<Self>, processes: u32) {
        self.handle_event(Event::ProcessCountChanged { processes });
    }

    /// Waits until the balancer requests a poll of discovery.
    pub async fn poll_requested(&self) {
        self.poll_request.notified().await;
    }

    /// Passes an event to the balancer and executes its actions, and those of all events that result from them.
    fn handle_event(self: &Rc<Self>, event: Event) {
        let mut s = self.state.borrow_mut();
        let s = &mut *s;
        s.events.push_back(event);
        while let Some(event) = s.events.pop_front() {
            let now = self.clock.now();
            s.balancer.handle(now, event, &mut s.actions);
            let mut actions = std::mem::take(&mut s.actions);
            for action in actions.drain(..) {
                self.execute(s, now, action);
            }
            s.actions = actions; // keeps its allocation for the next event
        }
    }

    fn execute(self: &Rc<Self>, s: &mut State, now: Time, action: Action) {
        match action {
            Action::Dispatch { request, backend } => self.dispatch(s, now, request, backend),
            Action::Reject {
                request,
                retry_after,
            } => {
                s.counters.rejected += 1;
                s.answer(request, Answer::Rejected { retry_after });
            }
            Action::Fail { request } => {
                s.counters.failed += 1;
                s.answer(request, Answer::Failed);
            }
            Action::Cancel { request, attempt } => self.cancel(s, now, request, attempt),
            Action::SetTimer { token, after } => {
                if s.timers.set(now + after, token) {
                    self.earlier_timer.notify_one();
                }
            }
            Action::PollDiscovery => self.poll_request.notify_one(),
            Action::PublishVerdict { backend, verdict } => {
                if let Some(record) = s.backends.get(&backend) {
                    self.publish_verdict(record.name.to_string(), verdict);
                }
            }
            Action::Log(text) => info!("{text}"),
        }
    }

    fn cancel(&self, s: &mut State, now: Time, request: RequestId, attempt: AttemptNumber) {
        let Some(in_flight) = s.attempts.remove(&AttemptKey { request, attempt }) else {
            return;
        };
        in_flight.task.abort();
        let sent_at = self.clock.instant(in_flight.sent_at);
        self.pool
            .record_unanswered_attempt(in_flight.backend, sent_at);
        s.events.push_back(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome: Outcome::Cancelled,
            latency: now - in_flight.sent_at,
            answered: !s.requests.contains_key(&request),
        }));
    }

    fn publish_verdict(&self, name: String, verdict: Verdict) {
        if let Some(sender) = self.verdict_sender.borrow().as_ref() {
            // A full queue drops the newest verdict: behind that many others it would arrive too late to be of use.
            let _ = sender.try_send((name, verdict));
        }
    }
}
