//! Attempts at backends, from their dispatch to their end.

use super::state::{Answer, Flight, Live, State, UNKNOWN};
use super::Host;
use crate::net::observed_stream::Peer;
use crate::net::upstream::{Ended, Payload, Progress, Served};
use meadowproxy::{AttemptEnd, AttemptNumber, BackendId, Event, Micros, Outcome, RequestId, Time};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;
use tracing::debug;

impl Host {
    pub(super) fn dispatch(
        self: &Rc<Self>,
        s: &mut State,
        now: Time,
        request: RequestId,
        backend: BackendId,
    ) {
        let Some(live) = s.requests.get_mut(&request) else {
            return;
        };
        let attempt = AttemptNumber(live.attempts);
        live.attempts += 1;
        s.counts.attempts += 1;
        let call = live.call.clone();
        let deadline = match &call.body {
            Payload::Whole(_) => live.deadline,
            Payload::Coming(coming) => now + coming.left,
        };
        let deadline = self.clock.instant(deadline);
        let Some(to) = s.backends.get(&backend).map(|b| b.address) else {
            return;
        };
        let host = self.clone();
        let task = tokio::task::spawn_local(async move {
            let leg = Rc::new(Leg {
                host: host.clone(),
                request,
                attempt,
                backend,
                to,
            });
            let ended = host.pool.attempt(backend, to, &call, deadline, &leg).await;
            host.attempt_ended(request, attempt, ended);
        });
        let flight = Flight {
            backend,
            sent: now,
            task: task.abort_handle(),
        };
        s.attempts.insert((request, attempt), flight);
    }

    /// At the moment of the first byte: the list still allows it and names that address, the request and its client
    /// still wait for it, and a repeat is still one that is dropped.
    pub(super) fn may_send(
        self: &Rc<Self>,
        request: RequestId,
        attempt: AttemptNumber,
        backend: BackendId,
        to: SocketAddr,
    ) -> bool {
        let client = |live: &Live| live.call.client.as_ref().is_some_and(Peer::has_left);
        if self
            .state
            .borrow()
            .requests
            .get(&request)
            .is_some_and(client)
        {
            self.client_gone(request);
        }
        let s = self.state.borrow();
        s.backends
            .get(&backend)
            .is_some_and(|b| b.open() && b.address == to)
            && s.requests.contains_key(&request)
            && s.repeat_until(request, attempt)
                .is_none_or(|at| self.clock.now() < at)
    }

    /// When the last byte of a keyed request must be out that goes out from now on: a copy that is sent later than
    /// this may run first, and it then is the repeat.
    pub(super) fn whole_by(&self, request: RequestId, attempt: AttemptNumber) -> Option<Time> {
        let s = self.state.borrow();
        let window = s.window(s.requests.get(&request)?).filter(|w| w.0 > 0)?;
        let alone = self.clock.now() + window;
        Some(
            s.repeat_until(request, attempt)
                .map_or(alone, |at| at.min(alone)),
        )
    }

    /// When the request's time is up.
    pub fn due(&self, id: RequestId) -> Time {
        self.state
            .borrow()
            .requests
            .get(&id)
            .map_or(UNKNOWN, |r| r.deadline)
    }

    pub(super) fn uploaded(self: &Rc<Self>, request: RequestId, attempt: AttemptNumber) {
        let now = self.clock.now();
        let time_left = {
            let mut s = self.state.borrow_mut();
            s.attempts
                .get_mut(&(request, attempt))
                .into_iter()
                .for_each(|flight| flight.sent = now);
            let Some(live) = s.requests.get_mut(&request) else {
                return;
            };
            let Payload::Coming(coming) = &live.call.body else {
                return;
            };
            coming.is_sent();
            live.deadline = now + Micros(coming.left.0.saturating_sub(self.margin().0));
            live.deadline - now
        };
        self.tell(Event::UploadFinished {
            request,
            attempt,
            time_left,
        });
    }

    /// A long answer begins: it is the client's from here on, and no other attempt is of use.
    pub(super) fn streams(
        self: &Rc<Self>,
        request: RequestId,
        attempt: AttemptNumber,
        served: Served,
    ) {
        let others: Vec<AttemptNumber> = self
            .attempts_of(request)
            .into_iter()
            .filter(|no| *no != attempt)
            .collect();
        {
            let mut s = self.state.borrow_mut();
            let Some(live) = s.requests.remove(&request) else {
                return;
            };
            s.counts.served += 1;
            let _ = live.answer.send(Answer::Served(served));
        }
        self.tell(Event::ResponseStarted { request, attempt });
        others
            .into_iter()
            .for_each(|no| self.attempt_ended(request, no, (Outcome::Cancelled, None)));
    }

    pub(super) fn attempt_ended(
        self: &Rc<Self>,
        request: RequestId,
        attempt: AttemptNumber,
        (outcome, served): Ended,
    ) {
        let end = {
            let mut s = self.state.borrow_mut();
            let Some(flight) = s.attempts.remove(&(request, attempt)) else {
                return;
            };
            flight.task.abort(); // closes its connection, if it is still on one
            match outcome {
                Outcome::Overloaded => s.counts.full += 1,
                Outcome::Error => s.counts.errors += 1,
                Outcome::Reset => s.counts.resets += 1,
                Outcome::ConnectFailed => s.counts.unconnected += 1,
                Outcome::NotSent => s.counts.unsent += 1,
                Outcome::TimedOut => self
                    .pool
                    .unanswered(flight.backend, self.clock.instant(flight.sent)),
                _ => {}
            }
            if let Some(live) = s
                .requests
                .get_mut(&request)
                .filter(|_| !outcome.proves_not_run())
            {
                live.ran = Some(live.ran.map_or(flight.sent, |at| at.min(flight.sent)));
            }
            if let Some(served) = served {
                if let Some(live) = s.requests.remove(&request) {
                    s.counts.served += 1;
                    let _ = live.answer.send(Answer::Served(served));
                }
            }
            let settled = !s.requests.contains_key(&request);
            if !matches!(outcome, Outcome::Ok | Outcome::Cancelled) {
                debug!(
                    "request {} attempt {} at {}: {outcome:?}",
                    request.0, attempt.0, flight.backend.0
                );
            }
            AttemptEnd {
                request,
                attempt,
                outcome,
                latency: self.clock.now() - flight.sent,
                answered: settled,
            }
        };
        self.tell(Event::AttemptEnded(end));
    }

    pub(super) fn attempts_of(&self, id: RequestId) -> Vec<AttemptNumber> {
        let s = self.state.borrow();
        let count = s.requests.get(&id).map_or(0, |r| r.attempts);
        (0..count)
            .map(AttemptNumber)
            .filter(|no| s.attempts.contains_key(&(id, *no)))
            .collect()
    }

    /// For a module that may not cancel: nothing goes on for a client that left.
    pub(super) fn drop_attempts(self: &Rc<Self>, id: RequestId) {
        let left: Vec<AttemptNumber> = {
            let s = self.state.borrow();
            s.attempts
                .keys()
                .filter(|k| k.0 == id)
                .map(|k| k.1)
                .collect()
        };
        left.into_iter()
            .for_each(|no| self.attempt_ended(id, no, (Outcome::Cancelled, None)));
    }
}

/// An attempt's ties to its request.
struct Leg {
    host: Rc<Host>,
    request: RequestId,
    attempt: AttemptNumber,
    backend: BackendId,
    to: SocketAddr,
}

impl Progress for Leg {
    fn may_send(&self) -> bool {
        self.host
            .may_send(self.request, self.attempt, self.backend, self.to)
    }
    fn whole_by(&self) -> Option<Instant> {
        self.host
            .whole_by(self.request, self.attempt)
            .map(|at| self.host.clock.instant(at))
    }
    fn uploading(&self) {
        self.host.tell(Event::UploadStarted {
            request: self.request,
            attempt: self.attempt,
        });
    }
    fn uploaded(&self) {
        self.host.uploaded(self.request, self.attempt);
    }
    fn streams(&self, served: Served) {
        self.host.streams(self.request, self.attempt, served);
    }
}

#[cfg(test)]
mod tests;
