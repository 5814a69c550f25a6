//! What the workers send out: effects for the request loop and announcements to repeat, with counters of messages.

use super::clocks::monotonic_now;
use super::message::{Announcement, MessageError};
use super::request_loop::Effect;
use meadowproxy::{Micros, Time};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tracing::warn;

/// Minimum time between two log lines on rejected messages of the same cause.
const LOG_INTERVAL: Micros = Micros(1_000_000);

/// Effects for the request loop, announcements to repeat, and counters of coordination messages.
pub struct EffectQueue {
    pub effects: mpsc::Sender<Effect>,
    /// Announcements to repeat, by the time at which they are due; datagrams may be lost.
    pub repeats: BTreeMap<Time, Vec<Announcement>>,
    /// Number of messages sent.
    pub sent: u64,
    /// Number of messages received.
    pub received: u64,
    /// Number of messages rejected, by cause.
    pub rejected: BTreeMap<&'static str, u64>,
    /// When a rejected message was last logged, by cause.
    logged_at: BTreeMap<&'static str, Time>,
}

impl EffectQueue {
    pub fn new(effects: mpsc::Sender<Effect>) -> EffectQueue {
        EffectQueue {
            effects,
            repeats: BTreeMap::new(),
            sent: 0,
            received: 0,
            rejected: BTreeMap::new(),
            logged_at: BTreeMap::new(),
        }
    }

    /// Counts a rejected message, and logs why it was rejected, at a limited rate.
    pub fn record_rejected(&mut self, from: SocketAddr, error: &MessageError) {
        let now = monotonic_now();
        let cause = error.cause();
        *self.rejected.entry(cause).or_default() += 1;
        let logged_at = self.logged_at.get(cause);
        if logged_at.is_some_and(|logged_at| now - *logged_at < LOG_INTERVAL) {
            return;
        }
        self.logged_at.insert(cause, now);
        let event = if matches!(error, MessageError::StaleToken) {
            "effect_refused"
        } else {
            "duties_refused"
        };
        warn!(event, cause, from = %from, mono_us = now.0, "rejected a coordination message: {error}");
    }

    /// Removes and returns the announcements that are due to be repeated.
    pub fn take_due_repeats(&mut self, now: Time) -> Vec<Announcement> {
        let later = self.repeats.split_off(&(now + Micros(1)));
        let due = std::mem::replace(&mut self.repeats, later);
        due.into_values().flatten().collect()
    }
}
