//! [`Host`] drives one [`Balancer`] in a test: it carries out the actions on a clock of its own and panics when an
//! action breaks a rule (attempt limit, safe repeats, deadlines, one final answer). Use it for tests of one proxy.
#![allow(dead_code)]
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use meadowproxy::*;
use std::collections::BTreeMap;

/// An attempt at a request, and its outcome once it has ended.
#[derive(Clone)]
pub struct Attempt {
    pub backend: BackendId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent_at: Time,
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether the backend may have processed the request: no outcome proves the contrary.
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(|o| !o.proves_unprocessed())
    }
}

/// A request that has arrived, with its attempts and its final answer.
pub struct OpenRequest {
    pub class: usize,
    pub deadline: Time,
    pub attempts: Vec<Attempt>,
    pub response_started: bool,
    /// `served`, `rejected`, `failed` or `disconnected`; none while the client still waits.
    pub answer: Option<&'static str>,
}

/// Drives a balancer and records its actions.
pub struct Host {
    pub cfg: Config,
    pub balancer: Balancer,
    pub now: Time,
    /// The endpoints last announced to the balancer, including removed ones.
    pub backends: BTreeMap<BackendId, Backend>,
    pub requests: BTreeMap<RequestId, OpenRequest>,
    pub timers: Vec<(Time, TimerToken)>,
    pub discovery_polls: u32,
    pub timers_set: usize,
    /// Attempts that the balancer has cancelled and that end when time next advances.
    pub cancellations: Vec<(RequestId, usize)>,
    pub log_lines: Vec<String>,
    pub verdicts: Vec<(BackendId, Verdict)>,
    /// The actions returned for the most recent event.
    pub last_actions: Vec<Action>,
    /// Whether requests arrive marked as client retries.
    pub client_retry: bool,
    next_request: u64,
}

/// A ready backend with two cells per zone.
pub fn backend(id: u32, zone: u32, hardware_class: u32) -> Backend {
    Backend {
        id: BackendId(id),
        address_hash: u64::from(id),
        zone: ZoneId(zone),
        cell: CellId(u64::from(zone) * 2 + u64::from(id % 2)),
        hardware_class: HardwareClassId(hardware_class),
        state: BackendState::Ready,
        started_at: None,
    }
}

/// A request class with a latency objective of 400 ms.
pub fn class(idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: Micros(400_000),
        objective_per_work: 0.0,
        idempotency,
        priority_weight: 1.0,
        late_weight: 0.0,
    }
}

impl Host {
    pub fn new(cfg: Config, seed: u64) -> Host {
        let balancer = Balancer::new(cfg.clone(), seed).expect("a valid configuration");
        Host {
            cfg,
            balancer,
            now: Time(1_000_000_000),
            backends: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            discovery_polls: 0,
            timers_set: 0,
            cancellations: Vec::new(),
            log_lines: Vec::new(),
            verdicts: Vec::new(),
            last_actions: Vec::new(),
            client_retry: false,
            next_request: 0,
        }
    }

    /// Passes the event to the balancer and carries out the actions that it returns.
    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.last_actions = actions.clone();
        for action in actions {
            self.apply(action);
        }
    }

    /// Checks the action and records it; dispatched attempts stay in flight until a test ends them.
    fn apply(&mut self, action: Action) {
        match action {
            Action::Dispatch { request, backend } => {
                let r = self
                    .requests
                    .get_mut(&request)
                    .expect("a dispatch names an open request");
                assert!(
                    r.answer.is_none(),
                    "request {request:?} was dispatched after its final answer"
                );
                let b = self
                    .backends
                    .get(&backend)
                    .expect("a dispatch names an announced backend");
                assert_eq!(
                    b.state,
                    BackendState::Ready,
                    "dispatched to a draining or removed backend"
                );
                assert!(
                    r.attempts.len() < self.cfg.max_attempts as usize,
                    "more attempts than max_attempts"
                );
                assert!(
                    self.cfg.hedging || r.attempts.iter().all(|t| t.outcome.is_some()),
                    "two attempts in flight at once without hedging"
                );
                for t in r.attempts.iter().filter(|t| t.may_have_run()) {
                    match self.cfg.classes[r.class].idempotency {
                        Idempotency::Idempotent => {}
                        Idempotency::NonIdempotent => {
                            panic!("a non-idempotent request that may have run was sent again")
                        }
                        Idempotency::Keyed { scope, window } => {
                            assert!(
                                self.now <= t.sent_at + window,
                                "an idempotency key was reused after its window"
                            );
                            let same_scope = match scope {
                                KeyScope::All => true,
                                KeyScope::Zone => t.zone == b.zone,
                                KeyScope::Cell => t.cell == b.cell,
                            };
                            assert!(
                                same_scope,
                                "an idempotency key was reused outside its scope"
                            );
                        }
                    }
                }
                let (zone, cell, sent_at) = (b.zone, b.cell, self.now);
                r.attempts.push(Attempt {
                    backend,
                    zone,
                    cell,
                    sent_at,
                    outcome: None,
                });
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                assert!(
                    retry_after > Micros(0),
                    "rejected without a Retry-After delay"
                );
                let r = self.requests.get_mut(&request).expect("a known request");
                let may_have_run = r.attempts.iter().any(Attempt::may_have_run);
                let safe_to_repeat = matches!(
                    self.cfg.classes[r.class].idempotency,
                    Idempotency::Idempotent
                        | Idempotency::Keyed {
                            scope: KeyScope::All,
                            ..
                        }
                );
                assert!(
                    safe_to_repeat || !may_have_run,
                    "rejected a request that may have run"
                );
                assert!(
                    r.answer.replace("rejected").is_none(),
                    "request {request:?} was answered twice"
                );
            }
            Action::Fail { request } => {
                let r = self.requests.get_mut(&request).expect("a known request");
                assert!(
                    r.answer.replace("failed").is_none(),
                    "request {request:?} was answered twice"
                );
            }
            Action::Cancel { request, attempt } => {
                assert!(
                    self.cfg.cancellation,
                    "attempt cancelled although cancellation is off"
                );
                let r = &self.requests[&request];
                assert!(
                    (attempt.0 as usize) < r.attempts.len(),
                    "cancelled an attempt that was never sent"
                );
                self.cancellations.push((request, attempt.0 as usize));
            }
            Action::SetTimer { token, after } => {
                self.timers_set += 1;
                self.timers.push((self.now + after, token));
            }
            Action::PollDiscovery => {
                assert_ne!(self.cfg.discovery, Discovery::Push);
                self.discovery_polls += 1;
            }
            Action::PublishVerdict { backend, verdict } => self.verdicts.push((backend, verdict)),
            Action::Log(text) => self.log_lines.push(text),
        }
    }

    /// Announces the backends to the balancer; a full or cached update removes those that it doesn't list.
    pub fn update_endpoints(&mut self, update: EndpointUpdate, backends: Vec<Backend>) {
        if matches!(update, EndpointUpdate::Full | EndpointUpdate::Cached) {
            self.backends
                .values_mut()
                .for_each(|b| b.state = BackendState::Removed);
        }
        for b in &backends {
            self.backends.insert(b.id, b.clone());
        }
        self.handle(Event::EndpointsUpdated { update, backends });
    }

    /// A request of the class arrives `time_left_us` before its deadline.
    pub fn arrive(&mut self, class: usize, time_left_us: u64) -> RequestId {
        self.arrive_for_tenant(class, time_left_us, None)
    }

    /// Like [`Host::arrive`], for a request of the tenant.
    pub fn arrive_for_tenant(
        &mut self,
        class: usize,
        time_left_us: u64,
        tenant: Option<TenantId>,
    ) -> RequestId {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let deadline = self.now + Micros(time_left_us);
        let open = OpenRequest {
            class,
            deadline,
            attempts: Vec::new(),
            response_started: false,
            answer: None,
        };
        self.requests.insert(id, open);
        self.handle(Event::RequestArrived(RequestArrival {
            request: id,
            class: ClassId(class),
            tenant,
            time_left: Micros(time_left_us),
            work_hint: None,
            client_retry: self.client_retry,
        }));
        id
    }

    /// `count` requests arrive at the same moment.
    pub fn burst(&mut self, count: usize, class: usize, time_left_us: u64) -> Vec<RequestId> {
        (0..count)
            .map(|_| self.arrive(class, time_left_us))
            .collect()
    }

    /// Reports events that name a request, an attempt and a timer that the balancer doesn't know.
    pub fn report_unknown_ids(
        &mut self,
        request: RequestId,
        attempt: AttemptNumber,
        token: TimerToken,
    ) {
        let (outcome, latency) = (Outcome::Error, Micros(5));
        self.handle(Event::TimerFired { token });
        self.handle(Event::ClientDisconnected { request });
        self.handle(Event::ResponseStarted { request, attempt });
        self.handle(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            latency,
            answered: false,
        }));
    }

    /// Ends an attempt with the outcome, if it is in flight; the first success answers the request.
    pub fn end_attempt(&mut self, id: RequestId, index: usize, outcome: Outcome) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(t) = r.attempts.get_mut(index).filter(|t| t.outcome.is_none()) else {
            return;
        };
        t.outcome = Some(outcome);
        let latency = now - t.sent_at;
        if outcome == Outcome::Ok && r.answer.is_none() {
            r.answer = Some("served");
        }
        let answered = r.answer.is_some();
        let attempt = AttemptNumber(index as u32);
        self.handle(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt,
            outcome,
            latency,
            answered,
        }));
    }

    /// The response to an attempt in flight starts streaming to the client.
    pub fn start_response(&mut self, id: RequestId, index: usize) {
        let Some(r) = self
            .requests
            .get_mut(&id)
            .filter(|r| r.answer.is_none() && !r.response_started)
        else {
            return;
        };
        if r.attempts.get(index).is_some_and(|t| t.outcome.is_none()) {
            r.response_started = true;
            self.handle(Event::ResponseStarted {
                request: id,
                attempt: AttemptNumber(index as u32),
            });
        }
    }

    /// Advances the clock by `span_us` in steps of the timer resolution: fires timers, ends cancelled and timed-out
    /// attempts, and checks that each request is answered at most 16 ms after its deadline.
    pub fn advance(&mut self, span_us: u64) {
        let until = self.now + Micros(span_us);
        while self.now < until {
            self.now = (self.now + self.cfg.timer_resolution).min(until);
            let (due, rest) = std::mem::take(&mut self.timers)
                .into_iter()
                .partition(|t| t.0 <= self.now);
            self.timers = rest;
            let due: Vec<(Time, TimerToken)> = due;
            for (_, token) in due {
                self.handle(Event::TimerFired { token });
            }
            for (id, index) in std::mem::take(&mut self.cancellations) {
                self.end_attempt(id, index, Outcome::Cancelled);
            }
            for (id, index) in self.attempts_in_flight() {
                let r = &self.requests[&id];
                if r.deadline <= self.now && !r.response_started {
                    self.end_attempt(id, index, Outcome::TimedOut);
                }
            }
            for (id, r) in &self.requests {
                let waiting = r.answer.is_none() && !r.response_started;
                assert!(
                    !waiting || self.now < r.deadline + Micros(16_000),
                    "{id:?} has no answer 16 ms after its deadline"
                );
            }
        }
    }

    /// The backends of the request's attempts, in the order of sending.
    pub fn backends_attempted(&self, id: RequestId) -> Vec<u32> {
        self.requests[&id]
            .attempts
            .iter()
            .map(|t| t.backend.0)
            .collect()
    }

    /// Advances the clock by `span_us`, then ends every attempt in flight with success.
    pub fn serve_all(&mut self, span_us: u64) {
        self.advance(span_us);
        for (id, index) in self.attempts_in_flight() {
            self.end_attempt(id, index, Outcome::Ok);
        }
    }

    /// The request and index of each attempt that has not ended.
    pub fn attempts_in_flight(&self) -> Vec<(RequestId, usize)> {
        let each = self.requests.iter().flat_map(|(id, r)| {
            r.attempts
                .iter()
                .enumerate()
                .filter(|(_, t)| t.outcome.is_none())
                .map(|(index, _)| (*id, index))
        });
        each.collect()
    }
}
