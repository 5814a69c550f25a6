//! The state behind the lock: the replica, the leader's lease, the operators' calls that wait for an outcome, and the
//! changes that the request loop does not have yet.

use super::call::{json_line, CallResponse};
use super::clocks::monotonic_now;
use super::config_change::ConfigChange;
use super::duty_lease::{DutyLease, DutyMessages};
use super::message::Duty;
use crate::net::config::fleet_overrides::NewestVersion;
use hyper::StatusCode;
use meadowproxy::fleet::config::{
    Context, Entry, Event, Key, Outbox, Replica, Rules, Submission, SubmitError,
};
use meadowproxy::fleet::lease;
use meadowproxy::{Micros, Time};
use serde_json::json;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;
use tracing::warn;

/// A call is answered within this time, before the operators' connection gives up.
const CALL_TIMEOUT: Micros = Micros(800_000);
/// How often the metrics are set.
const METRICS_INTERVAL: Micros = Micros(1_000_000);

/// An operator's call that waits for its change's outcome.
struct PendingCall {
    answer: oneshot::Sender<CallResponse>,
    since: Time,
}

/// Changes that the request loop does not have yet.
#[derive(Default)]
pub struct UnsentChanges {
    pub version: u64,
    /// The last value of each entry.
    pub entries: BTreeMap<Key, Entry>,
}

/// This proxy's part in the replicated configuration.
pub struct ConfigDriver {
    pub lease: DutyLease,
    pub replica: Replica,
    /// By the submission's id.
    calls: BTreeMap<u64, PendingCall>,
    pub unsent: Option<UnsentChanges>,
    /// The newest version that this proxy knows of, for the request loop.
    newest: NewestVersion,
    metrics_due: Time,
}

impl ConfigDriver {
    pub fn new(
        lease: lease::Rules,
        voters: Vec<SocketAddr>,
        own: SocketAddr,
        incarnation: u64,
        newest: NewestVersion,
    ) -> ConfigDriver {
        let now = monotonic_now();
        let rules = Rules {
            lease,
            voters: voters.clone(),
            own,
        };
        ConfigDriver {
            lease: DutyLease::new(Duty::Config, lease, voters, own, incarnation),
            replica: Replica::new(rules, random_id(), now),
            calls: BTreeMap::new(),
            unsent: None,
            newest,
            metrics_due: now,
        }
    }

    /// Carries out the replica's events.
    pub fn handle_events(&mut self, duty_messages: &mut DutyMessages) {
        for event in self.replica.take_events() {
            match event {
                Event::TableChanged { version, entries } => {
                    let unsent = self.unsent.get_or_insert_default();
                    unsent.version = version;
                    let entries = entries.into_iter();
                    unsent
                        .entries
                        .extend(entries.map(|entry| (entry.edit.key.clone(), entry)));
                }
                Event::Outcome { id, result } => self.complete_call(id, result),
                Event::Superseded(token) => self.lease.observe_token(token, duty_messages),
                Event::Diverged(other) => {
                    let digest = self.replica.table().digest();
                    warn!(event = "config_diverged", version = digest.version, other = %other,
                        "another replica has other content at this version");
                }
            }
        }
    }

    fn complete_call(&mut self, id: u64, result: Result<u64, SubmitError>) {
        if let Some(call) = self.calls.remove(&id) {
            let _ = call.answer.send(self.answer(result)); // the caller may have gone
        }
    }

    pub fn answer(&self, result: Result<u64, SubmitError>) -> CallResponse {
        let error = match result {
            Ok(version) => return (StatusCode::OK, json_line(&json!({ "version": version }))),
            Err(error) => error,
        };
        let status =
            StatusCode::from_u16(error.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let body = match &error {
            SubmitError::Conflict { key, version } => {
                json!({ "field": key, "why": error.to_string(), "version": version })
            }
            SubmitError::Invalid(invalid) => {
                json!({ "field": invalid.key, "why": invalid.reason })
            }
            SubmitError::NoLeader => {
                json!({ "field": "holder", "why": self.lease.no_holder_reason() })
            }
            error => json!({ "field": "holder", "why": error.to_string() }),
        };
        (status, json_line(&body))
    }

    /// Submits an operator's change, which is answered once its outcome is known.
    pub fn submit(
        &mut self,
        now: Time,
        context: &Context,
        change: ConfigChange,
        answer: oneshot::Sender<CallResponse>,
        out: &mut Outbox,
    ) {
        let id = random_id();
        self.calls.insert(id, PendingCall { answer, since: now });
        let submission = Submission {
            id,
            base: change.base,
            edits: change.edits,
        };
        if let Err(error) = self.replica.submit(now, context, submission, out) {
            self.complete_call(id, Err(error));
        }
    }

    /// Shows the request loop the newest version, once this replica is up to date.
    pub fn publish_newest_version(&self) {
        if !self.replica.is_new() {
            let newest = self.replica.newest_version();
            self.newest.store(newest, Ordering::Relaxed);
        }
    }

    /// Answers the calls that no outcome came for in time.
    pub fn time_out_calls(&mut self, now: Time) {
        let late: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| now - call.since >= CALL_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.replica.stop_resending(id);
            self.complete_call(id, Err(SubmitError::Unknown));
        }
    }

    /// Sets the metrics, where they are due.
    pub fn update_metrics(&mut self, now: Time) {
        if now >= self.metrics_due {
            self.metrics_due = now + METRICS_INTERVAL;
            self.set_metrics();
        }
    }

    fn set_metrics(&self) {
        let table = self.replica.table();
        let digest = table.digest();
        metrics::gauge!("meadowproxy_config_version").set(digest.version as f64);
        metrics::gauge!("meadowproxy_config_newest_version")
            .set(self.replica.newest_version() as f64);
        // As many bits as a float has: equal versions have equal ones.
        metrics::gauge!("meadowproxy_config_digest").set((digest.root >> 12) as f64);
        metrics::gauge!("meadowproxy_config_entries").set(table.len() as f64);
        let heard = self.lease.since_heartbeat();
        if heard.0 < u64::MAX {
            metrics::gauge!("meadowproxy_config_heard_seconds").set(heard.as_secs_f64());
        }
    }
}

/// A number that no other proxy draws.
fn random_id() -> u64 {
    RandomState::new().build_hasher().finish()
}
