//! State of the fleet's replicated configuration at this proxy: the replica, the lease of the leader, operators' calls
//! that wait for the outcome of their change, and changes not yet sent to the request loop.

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

/// Time after which a call without an outcome gets a response, before the operator's connection times out.
const CALL_TIMEOUT: Micros = Micros(800_000);
/// How often the metrics are updated.
const METRICS_INTERVAL: Micros = Micros(1_000_000);

/// An operator's call that waits for the outcome of its change.
struct PendingCall {
    response_sender: oneshot::Sender<CallResponse>,
    submitted_at: Time,
}

/// Changes that have not been sent to the request loop yet.
#[derive(Default)]
pub struct UnsentChanges {
    /// Version of the configuration after the changes.
    pub version: u64,
    /// The last value of each changed entry.
    pub entries: BTreeMap<Key, Entry>,
}

/// Drives this proxy's replica of the configuration, and the lease with which a proxy becomes its leader.
pub struct ConfigDriver {
    pub lease: DutyLease,
    pub replica: Replica,
    /// Calls without an outcome, by the id of their submission.
    pending_calls: BTreeMap<u64, PendingCall>,
    pub unsent: Option<UnsentChanges>,
    /// The newest version that this proxy knows of, read by the request loop.
    newest: NewestVersion,
    next_metrics_at: Time,
}

impl ConfigDriver {
    pub fn new(
        lease: lease::Rules,
        voters: Vec<SocketAddr>,
        own_address: SocketAddr,
        incarnation: u64,
        newest: NewestVersion,
    ) -> ConfigDriver {
        let now = monotonic_now();
        let rules = Rules {
            lease,
            voters: voters.clone(),
            own: own_address,
        };
        ConfigDriver {
            lease: DutyLease::new(Duty::Config, lease, voters, own_address, incarnation),
            replica: Replica::new(rules, random_id(), now),
            pending_calls: BTreeMap::new(),
            unsent: None,
            newest,
            next_metrics_at: now,
        }
    }

    /// Handles the replica's events.
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
                        "another replica has different content at the same version");
                }
            }
        }
    }

    /// Responds to the call of a submission, if it is waiting.
    fn complete_call(&mut self, id: u64, result: Result<u64, SubmitError>) {
        if let Some(call) = self.pending_calls.remove(&id) {
            let _ = call.response_sender.send(self.outcome_response(result)); // fails if the caller is gone
        }
    }

    /// Formats the outcome of a change as the response to an operator.
    pub fn outcome_response(&self, result: Result<u64, SubmitError>) -> CallResponse {
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

    /// Submits an operator's change. The response is sent once its outcome is known.
    pub fn submit(
        &mut self,
        now: Time,
        context: &Context,
        change: ConfigChange,
        response_sender: oneshot::Sender<CallResponse>,
        outbox: &mut Outbox,
    ) {
        let id = random_id();
        self.pending_calls.insert(
            id,
            PendingCall {
                response_sender,
                submitted_at: now,
            },
        );
        let submission = Submission {
            id,
            base: change.base,
            edits: change.edits,
        };
        if let Err(error) = self.replica.submit(now, context, submission, outbox) {
            self.complete_call(id, Err(error));
        }
    }

    /// Publishes the newest known version for the request loop, once this replica is up to date.
    pub fn publish_newest_version(&self) {
        if !self.replica.is_new() {
            let newest = self.replica.newest_version();
            self.newest.store(newest, Ordering::Relaxed);
        }
    }

    /// Responds to the calls whose outcome did not arrive in time that it is unknown.
    pub fn time_out_calls(&mut self, now: Time) {
        let overdue: Vec<u64> = self
            .pending_calls
            .iter()
            .filter(|(_, call)| now - call.submitted_at >= CALL_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            self.replica.stop_resending(id);
            self.complete_call(id, Err(SubmitError::Unknown));
        }
    }

    /// Updates the metrics if they are due.
    pub fn update_metrics(&mut self, now: Time) {
        if now >= self.next_metrics_at {
            self.next_metrics_at = now + METRICS_INTERVAL;
            self.set_metrics();
        }
    }

    fn set_metrics(&self) {
        let table = self.replica.table();
        let digest = table.digest();
        metrics::gauge!("meadowproxy_config_version").set(digest.version as f64);
        metrics::gauge!("meadowproxy_config_newest_version")
            .set(self.replica.newest_version() as f64);
        // Truncated to 52 bits, which a float holds exactly: replicas with equal tables report equal values.
        metrics::gauge!("meadowproxy_config_digest").set((digest.root >> 12) as f64);
        metrics::gauge!("meadowproxy_config_entries").set(table.len() as f64);
        let since_heartbeat = self.lease.since_heartbeat();
        if since_heartbeat.0 < u64::MAX {
            metrics::gauge!("meadowproxy_config_heard_seconds").set(since_heartbeat.as_secs_f64());
        }
    }
}

/// Returns a random number, to be unique among all proxies.
fn random_id() -> u64 {
    RandomState::new().build_hasher().finish()
}
