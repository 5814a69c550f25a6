//! The host of the decisions: sole owner of the [`Balancer`]. Events go in, and the actions that it decides on are carried
//! out.
//!
//! - `requests`: requests from their arrival to their final answer.
//! - `attempts`: attempts at backends, from their dispatch to their end.
//! - `endpoints`: updates of the endpoint list; `backend_directory` records what is known of each backend.
//! - `disabled`: backends that operators or maintenance windows keep out of use.
//! - `learned_state`: what survives a restart.
//! - `timers`: the balancer's timers.
//! - `report`: log lines and metrics.

mod attempts;
mod backend_directory;
mod disabled;
#[cfg(test)]
mod disconnect_tests;
mod endpoints;
#[cfg(test)]
mod example;
mod learned_state;
mod report;
mod requests;
mod state;
mod timers;

pub use backend_directory::DisableReason;
pub use endpoints::BackendStatus;
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

/// Part of the client's time that is reserved for the response's way back, on top of the lag of timers.
const BASE_RESPONSE_MARGIN: Micros = Micros(3_000);
/// Upper bound of that part.
const MAX_RESPONSE_MARGIN: Micros = Micros(20_000);

/// A verdict of this proxy on a backend, for the other proxies of its fleet.
pub type NamedVerdict = (String, Verdict);

/// Owner of the balancer and of everything that its decisions are about.
pub struct Host {
    state: RefCell<State>,
    pub clock: Clock,
    pub pool: Rc<ConnectionPool>,
    /// A timer was set that fires before all others.
    earlier_timer: Notify,
    /// The balancer wants discovery to be polled.
    poll_request: Notify,
    /// Whether discovery has answered.
    list_received: watch::Sender<bool>,
    /// How late timers fire: a decaying maximum, in microseconds.
    timer_lag_us: Cell<u64>,
    /// Where this proxy's verdicts go, while state is shared.
    verdict_sender: RefCell<Option<mpsc::Sender<NamedVerdict>>>,
}

impl Host {
    /// A host without backends.
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

    /// The request class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.state.borrow().names.class(name)
    }

    /// The tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.state.borrow().names.tenant(name)
    }

    /// The names in force, with all ids given so far: shared, not copied.
    pub fn names(&self) -> Names {
        self.state.borrow().names.clone()
    }

    /// Part of a client's time that is reserved for the response's way back.
    pub fn response_margin(&self) -> Micros {
        let margin_us = BASE_RESPONSE_MARGIN.0 + self.timer_lag_us.get();
        Micros(margin_us.min(MAX_RESPONSE_MARGIN.0))
    }

    /// Sends this proxy's verdicts there from now on, under the backends' names.
    pub fn publish_verdicts_to(&self, sender: mpsc::Sender<NamedVerdict>) {
        *self.verdict_sender.borrow_mut() = Some(sender);
    }

    /// Takes another proxy's verdict; one on a backend that no endpoint list named here is ignored.
    pub fn receive_verdict(self: &Rc<Self>, name: &str, verdict: PeerVerdict) {
        let backend = self.state.borrow().ids_by_name.get(name).copied();
        if let Some(backend) = backend {
            self.handle_event(Event::VerdictReceived(PeerVerdict { backend, ..verdict }));
        }
    }

    /// Puts settings in force that were read against [`Host::names`], which endpoint lists may have added to since.
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

    /// So many processes are this proxy now.
    pub fn set_process_count(self: &Rc<Self>, processes: u32) {
        self.handle_event(Event::ProcessCountChanged { processes });
    }

    /// Waits until the balancer wants discovery to be polled.
    pub async fn poll_requested(&self) {
        self.poll_request.notified().await;
    }

    /// Passes an event to the balancer and carries out its actions, and those of all events that follow from them.
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
            s.actions = actions; // its allocation is used again
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
            // A full queue drops the newest: a verdict that is late by so many is of no use.
            let _ = sender.try_send((name, verdict));
        }
    }
}
