//! What a proxy remembers: running estimates and plain records. No decisions.

use crate::interface::{Backend, LearnedBackend, LearnedKind, Micros, PeerId, SampledMean, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::ops::{Deref, DerefMut};

/// The proxy's own random numbers, the same on every machine for the same seed.
pub(crate) struct Dice(Pcg32);

impl Dice {
    pub fn new(seed: u64) -> Dice {
        Dice(Pcg32::seed_from_u64(seed))
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
pub(crate) struct Mean {
    pub value: f64,
    pub count: f64,
}

impl Mean {
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
    pub fn recalled(kept: SampledMean, weight: f64) -> Mean {
        let count = kept.count * weight;
        let sound = kept.value > 0.0 && kept.value.is_finite() && count > 0.0 && count.is_finite();
        if sound {
            Mean {
                value: kept.value,
                count,
            }
        } else {
            Mean::default()
        }
    }
}

impl Kind {
    pub fn memory(&self) -> LearnedKind {
        let (latency, quick) = (self.latency.sampled(), self.quick.sampled());
        LearnedKind {
            latency,
            recent_latency: quick,
            uncontended_latency_s: self.alone,
            concurrency_limit: self.hold,
        }
    }

    /// Takes a memory whose samples count `weight` each, with the hold or without it.
    pub fn recall(&mut self, m: &LearnedKind, weight: f64, hold: bool) {
        (self.latency, self.quick) = (
            Mean::recalled(m.latency, weight),
            Mean::recalled(m.recent_latency, weight),
        );
        if hold
            && m.uncontended_latency_s > 0.0
            && m.uncontended_latency_s.is_finite()
            && m.concurrency_limit > 0.0
            && m.concurrency_limit.is_finite()
        {
            (self.alone, self.hold) = (m.uncontended_latency_s, m.concurrency_limit);
        }
    }
}

impl Record {
    /// What outlives a second, with spans counted back from `now`.
    pub fn memory(&self, now: Time) -> LearnedBackend {
        let ejected_for = self.ejected.map(|until| until - now);
        LearnedBackend {
            ejected_for,
            consecutive_ejections: self.strikes,
            enabled_ago: self.back.map(|back| now - back),
        }
    }

    /// Takes a memory `age` old. A term that ran out meanwhile leaves it to its trials, as at the end of any term.
    pub fn recall(&mut self, m: &LearnedBackend, now: Time, age: Micros) {
        self.ejected = m
            .ejected_for
            .map(|left| now + Micros(left.0.saturating_sub(age.0)));
        self.strikes = m.consecutive_ejections;
        self.back = m
            .enabled_ago
            .map(|ago| now - Micros(ago.0.saturating_add(age.0)));
    }
}

/// Events a second over about the last `memory` seconds, unbiased from the start on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    memory: f64,
    events: f64,
    seen: f64,
    at: Option<Time>,
}

impl Default for Rate {
    /// With a memory of five seconds: some ten of the requests of a proxy that sees few.
    fn default() -> Rate {
        Rate::new(5.0)
    }
}

impl Rate {
    pub fn new(memory: f64) -> Rate {
        Rate {
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
pub(crate) struct Kind {
    /// Seconds from dispatch to answer, of served requests only, with the class mix taken out.
    pub latency: Mean,
    /// The same over few samples.
    pub quick: Mean,
    /// The same while nothing crowds it: the least lately, slowly forgotten.
    pub alone: f64,
    /// Requests that all proxies together hold on one of its backends.
    pub hold: f64,
    /// Seconds that went into that number: the more, the slower it moves, as cores do not come and go.
    pub learned: f64,
    /// Sum of its backends' readiness.
    pub ready: f64,
    /// Requests a second that one backend could serve.
    pub speed: f64,
    /// Part of all proxies' traffic.
    pub share: f64,
    /// Part of this proxy's traffic.
    pub pull: f64,
    /// Requests that this proxy had served there, each as a part of its ready backends.
    pub served: Rate,
}

/// What is known of a backend, but for what is solved over all of them (`endpoints.rs`). What only one in trouble has
/// is reached through it as its own, and takes no room before.
#[derive(Default)]
pub(crate) struct Record {
    pub entry: Backend,
    /// How many attempts of this proxy it holds.
    pub out: u32,
    /// Running share of error answers.
    pub errors: f64,
    /// When it last answered anything.
    pub answered: Time,
    /// It owes an answer for suspiciously long.
    pub silent: bool,
    /// Ejections without a good answer between them.
    pub strikes: i32,
    /// Good answers since the ejection.
    pub trials: u32,
    /// Work sent inside the fall window.
    pub spent: Vec<(Time, f64)>,
    /// Made by the first write to what is in it.
    pub trouble: Option<Box<Trouble>>,
}

/// What is known of a backend that failed, was full or was taken out by hand.
pub(crate) struct Trouble {
    /// When operators gave it back: it may have started as late as that, unless the list tells of a start since.
    pub back: Option<Time>,
    /// Out of use, until this time at least.
    pub ejected: Option<Time>,
    /// When this proxy last found it failing.
    pub failed: Time,
    /// Other proxies that found it out, and when: one verdict each.
    pub heard: Vec<(PeerId, Time)>,
    /// The newest verdict: when it was born, and when this proxy's turn to try comes by it.
    pub word: (Time, Time),
    /// When it was ejected on their word alone.
    pub hearsay: Option<Time>,
    /// It was full and is left alone until then.
    pub full_until: Time,
}

impl Trouble {
    const NONE: Trouble = Trouble {
        back: None,
        ejected: None,
        failed: Time(0),
        heard: Vec::new(),
        word: (Time(0), Time(0)),
        hearsay: None,
        full_until: Time(0),
    };
}

impl Deref for Record {
    type Target = Trouble;
    fn deref(&self) -> &Trouble {
        static NONE: Trouble = Trouble::NONE;
        self.trouble.as_deref().unwrap_or(&NONE)
    }
}

impl DerefMut for Record {
    /// Only for writing what differs from none: this makes room for it.
    fn deref_mut(&mut self) -> &mut Trouble {
        self.trouble.get_or_insert_with(|| Box::new(Trouble::NONE))
    }
}

/// What is known of a zone as a whole (see [`ZoneFailover`]).
#[derive(Default)]
pub(crate) struct Zone {
    /// Out of use as a whole.
    pub left: bool,
    /// The part of the last attempts there that got no answer.
    pub fails: Mean,
    /// Since when as much of it was out as leaves it.
    pub bad: Option<Time>,
    /// When it began to return; `None` while it has never been left, or after its ramp.
    pub since: Option<Time>,
    /// When it was left, within the last minute.
    pub lefts: Vec<Time>,
}
