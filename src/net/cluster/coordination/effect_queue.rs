//! What leaves the workers, and the counts of messages.

use super::clocks::monotonic_now;
use super::message::{Announcement, MessageError};
use super::request_loop::Effect;
use meadowproxy::{Micros, Time};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc;
use tracing::warn;

/// Rejected messages of one cause are logged so often at most.
const LOG_INTERVAL: Micros = Micros(1_000_000);

/// Effects for the request loop, announcements to repeat, and counters.
pub struct EffectQueue {
    pub effects: mpsc::Sender<Effect>,
    /// Announcements that are sent again at these times, as datagrams may be lost.
    pub repeats: BTreeMap<Time, Vec<Announcement>>,
    pub sent: u64,
    pub received: u64,
    /// Rejected messages by cause.
    pub rejected: BTreeMap<&'static str, u64>,
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

    /// Counts a message that is not used, and logs why, at a limited rate.
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
        warn!(event, cause, from = %from, mono_us = now.0, "rejected a message: {error}");
    }

    /// Takes the announcements that are due to be sent again.
    pub fn take_due_repeats(&mut self, now: Time) -> Vec<Announcement> {
        let later = self.repeats.split_off(&(now + Micros(1)));
        let due = std::mem::replace(&mut self.repeats, later);
        due.into_values().flatten().collect()
    }
}
