//! What a proxy remembers: running estimates and plain records. No decisions.

use crate::interface::{Backend, LearnedBackend, LearnedKind, Micros, PeerId, SampledMean, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::ops::{Deref, DerefMut};

/// The proxy's own random numbers, the same on every machine for the same seed.
pub(crate) struct RandomSource(Pcg32);

impl RandomSource {
    pub fn new(seed: u64) -> RandomSource {
        RandomSource(Pcg32::seed_from_u64(seed))
    }

    /// Even from 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// One of the items, each with its weight.
    pub fn pick<T: Copy>(&mut self, weighted: &[(T, f64)]) -> Option<T> {
        let mut left = self.unit() * weighted.iter().map(|w| w.1).sum::<f64>();
        let mut hit = |w: &&(T, f64)| {
            left -= w.1;
            left < 0.0
        };
        weighted
            .iter()
            .find(&mut hit)
            .or(weighted.last())
            .map(|w| w.0)
    }

    /// The same over places with a weight each: what weighs nothing is none of the items, and adds nothing.
    pub fn pick_weight(&mut self, weights: &[f64]) -> Option<usize> {
        let mut left = self.unit() * weights.iter().sum::<f64>();
        let mut hit = |w: &f64| {
            left -= w;
            left < 0.0
        };
        weights
            .iter()
            .position(&mut hit)
            .or_else(|| weights.iter().rposition(|w| *w > 0.0))
    }
}

/// A mean over about the last `cap` samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMean {
    pub value: f64,
    pub count: f64,
}

impl RunningMean {
    pub fn add(&mut self, sample: f64, cap: f64) {
        self.count = (self.count + 1.0).min(cap);
        self.value += (sample - self.value) / self.count;
    }

    pub fn get(&self) -> Option<f64> {
        (self.count > 0.0).then_some(self.value)
    }

    pub fn sampled(&self) -> SampledMean {
        SampledMean {
            value: self.value,
            count: self.count,
        }
    }

    /// A kept mean whose samples count `weight` each; none where the numbers make no sense, as they come from outside.
    pub fn recalled(kept: SampledMean, weight: f64) -> RunningMean {
        let count = kept.count * weight;
        let sound = kept.value > 0.0 && kept.value.is_finite() && count > 0.0 && count.is_finite();
        if sound {
            RunningMean {
                value: kept.value,
                count,
            }
        } else {
            RunningMean::default()
        }
    }
}

impl HardwareClass {
    pub fn memory(&self) -> LearnedKind {
        let (latency, quick) = (self.latency.sampled(), self.recent_latency.sampled());
        LearnedKind {
            latency,
            recent_latency: quick,
            uncontended_latency_s: self.uncontended_latency_s,
            concurrency_limit: self.concurrency_limit,
        }
    }

    /// Takes a memory whose samples count `weight` each, with the hold or without it.
    pub fn recall(&mut self, m: &LearnedKind, weight: f64, hold: bool) {
        (self.latency, self.recent_latency) = (
            RunningMean::recalled(m.latency, weight),
            RunningMean::recalled(m.recent_latency, weight),
        );
        if hold
            && m.uncontended_latency_s > 0.0
            && m.uncontended_latency_s.is_finite()
            && m.concurrency_limit > 0.0
            && m.concurrency_limit.is_finite()
        {
            (self.uncontended_latency_s, self.concurrency_limit) =
                (m.uncontended_latency_s, m.concurrency_limit);
        }
    }
}

impl EndpointRecord {
    /// What outlives a second, with spans counted back from `now`.
    pub fn memory(&self, now: Time) -> LearnedBackend {
        let ejected_for = self.ejected_until.map(|until| until - now);
        LearnedBackend {
            ejected_for,
            consecutive_ejections: self.consecutive_ejections,
            enabled_ago: self.enabled_at.map(|back| now - back),
        }
    }

    /// Takes a memory `age` old. A term that ran out meanwhile leaves it to its trials, as at the end of any term.
    pub fn recall(&mut self, m: &LearnedBackend, now: Time, age: Micros) {
        self.ejected_until = m
            .ejected_for
            .map(|left| now + Micros(left.0.saturating_sub(age.0)));
        self.consecutive_ejections = m.consecutive_ejections;
        self.enabled_at = m
            .enabled_ago
            .map(|ago| now - Micros(ago.0.saturating_add(age.0)));
    }
}

/// Events a second over about the last `memory` seconds, unbiased from the start on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventRate {
    memory: f64,
    events: f64,
    seen: f64,
    at: Option<Time>,
}

impl Default for EventRate {
    /// With a memory of five seconds: some ten of the requests of a proxy that sees few.
    fn default() -> EventRate {
        EventRate::new(5.0)
    }
}

impl EventRate {
    pub fn new(memory: f64) -> EventRate {
        EventRate {
            memory,
            events: 0.0,
            seen: 0.0,
            at: None,
        }
    }

    /// Counts `level` for each second since the last call.
    pub fn pass(&mut self, now: Time, level: f64) {
        let gap = self.at.map_or(0.0, |at| (now - at).as_secs_f64());
        self.add(
            now,
            level * (1.0 - (-gap / self.memory).exp()) * self.memory,
        );
    }

    /// Counts `events` at `now`; none just lets time pass.
    pub fn add(&mut self, now: Time, events: f64) {
        let gap = self.at.map_or(0.0, |at| (now - at).as_secs_f64());
        let fade = (-gap / self.memory).exp();
        self.events = self.events * fade + events;
        self.seen = self.seen * fade + (1.0 - fade) * self.memory;
        self.at = Some(now);
    }

    /// The seconds that count, the latest in full.
    pub fn seen(&self) -> f64 {
        self.seen
    }

    /// `None` until a twentieth of the memory has passed.
    pub fn per_s(&self) -> Option<f64> {
        (self.seen > self.memory / 20.0).then(|| self.events / self.seen)
    }
}

/// What is learned of a kind of machine.
#[derive(Default)]
pub(crate) struct HardwareClass {
    /// Seconds from dispatch to answer, of served requests only, with the class mix taken out.
    pub latency: RunningMean,
    /// The same over few samples.
    pub recent_latency: RunningMean,
    /// The same while nothing crowds it: the least lately, slowly forgotten.
    pub uncontended_latency_s: f64,
    /// Requests that all proxies together hold on one of its backends.
    pub concurrency_limit: f64,
    /// Seconds that went into that number: the more, the slower it moves, as cores do not come and go.
    pub limit_learned_s: f64,
    /// Sum of its backends' readiness.
    pub ready_endpoints: f64,
    /// Requests a second that one backend could serve.
    pub speed_per_s: f64,
    /// Part of all proxies' traffic.
    pub traffic_share: f64,
    /// Part of this proxy's traffic.
    pub proxy_share: f64,
    /// Requests that this proxy had served there, each as a part of its ready backends.
    pub served_per_endpoint: EventRate,
}

/// What is known of a backend, but for what is solved over all of them (`endpoints.rs`). What only one in trouble has
/// is reached through it as its own, and takes no room before.
#[derive(Default)]
pub(crate) struct EndpointRecord {
    pub entry: Backend,
    /// How many attempts of this proxy it holds.
    pub in_flight: u32,
    /// Running share of error answers.
    pub error_share: f64,
    /// When it last answered anything.
    pub last_response_at: Time,
    /// It owes an answer for suspiciously long.
    pub silent: bool,
    /// Ejections without a good answer between them.
    pub consecutive_ejections: i32,
    /// Good answers since the ejection.
    pub health_checks_passed: u32,
    /// Work sent inside the fall window.
    pub recent_work: Vec<(Time, f64)>,
    /// Made by the first write to what is in it.
    pub faults: Option<Box<EndpointFaults>>,
}

/// What is known of a backend that failed, was full or was taken out by hand.
pub(crate) struct EndpointFaults {
    /// When operators gave it back: it may have started as late as that, unless the list tells of a start since.
    pub enabled_at: Option<Time>,
    /// Out of use, until this time at least.
    pub ejected_until: Option<Time>,
    /// When this proxy last found it failing.
    pub last_failure_at: Time,
    /// Other proxies that found it out, and when: one verdict each.
    pub peer_ejections: Vec<(PeerId, Time)>,
    /// The newest verdict: when it was born, and when this proxy's turn to try comes by it.
    pub latest_peer_verdict: (Time, Time),
    /// When it was ejected on their word alone.
    pub ejected_on_peer_verdicts_at: Option<Time>,
    /// It was full and is left alone until then.
    pub overloaded_until: Time,
}

impl EndpointFaults {
    const NONE: EndpointFaults = EndpointFaults {
        enabled_at: None,
        ejected_until: None,
        last_failure_at: Time(0),
        peer_ejections: Vec::new(),
        latest_peer_verdict: (Time(0), Time(0)),
        ejected_on_peer_verdicts_at: None,
        overloaded_until: Time(0),
    };
}

impl Deref for EndpointRecord {
    type Target = EndpointFaults;
    fn deref(&self) -> &EndpointFaults {
        static NONE: EndpointFaults = EndpointFaults::NONE;
        self.faults.as_deref().unwrap_or(&NONE)
    }
}

impl DerefMut for EndpointRecord {
    /// Only for writing what differs from none: this makes room for it.
    fn deref_mut(&mut self) -> &mut EndpointFaults {
        self.faults
            .get_or_insert_with(|| Box::new(EndpointFaults::NONE))
    }
}

/// What is known of a zone as a whole (see [`ZoneFailover`]).
#[derive(Default)]
pub(crate) struct ZoneHealth {
    /// Out of use as a whole.
    pub out_of_use: bool,
    /// The part of the last attempts there that got no answer.
    pub unanswered_share: RunningMean,
    /// Since when as much of it was out as leaves it.
    pub unhealthy_since: Option<Time>,
    /// When it began to return; `None` while it has never been left, or after its ramp.
    pub recovering_since: Option<Time>,
    /// When it was left, within the last minute.
    pub failovers: Vec<Time>,
}
