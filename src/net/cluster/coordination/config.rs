//! Drives the fleet's replicated configuration at this proxy: its [`Replica`] and the leader's lease under one lock, the
//! operators' calls on them, and the changes that go to the request loop.

mod change_call;

pub use change_call::parse_change;

use super::door::{line, Answer};
use super::leases::{Leases, Mail};
use super::message::{Duties, Duty};
use super::tables::Tables;
use super::{mono, wall, Effect};
use crate::net::config::fleet_overrides::NewestVersion;
use change_call::kind_named;
use hyper::StatusCode;
use meadowproxy::fleet::config::{
    Context, Edit, Entry, Event, Key, Message, MessageError, Outbox, Replica, Rules, Submission,
    SubmitError, Table, Value,
};
use meadowproxy::fleet::lease;
use meadowproxy::{Micros, Time};
use serde_json::json;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;
use tracing::{info, warn};

/// A call is answered within this time, before the operators' connection gives up.
const CALL_TIMEOUT: Micros = Micros(800_000);
/// How often the metrics are set.
const METRICS_INTERVAL: Micros = Micros(1_000_000);

/// An operator's call that waits for its change's outcome.
struct WaitingCall {
    answer: oneshot::Sender<Answer>,
    since: Time,
}

/// Changes that the request loop does not have yet.
#[derive(Default)]
struct UnsentChanges {
    version: u64,
    /// The last value of each entry.
    entries: BTreeMap<Key, Entry>,
}

pub struct ConfigDriver {
    pub leases: Leases,
    pub replica: Replica,
    /// By the submission's id.
    calls: BTreeMap<u64, WaitingCall>,
    unsent: Option<UnsentChanges>,
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
        let now = mono();
        let rules = Rules {
            lease,
            voters: voters.clone(),
            own,
        };
        ConfigDriver {
            leases: Leases::new(Duty::Config, lease, voters, own, incarnation),
            replica: Replica::new(rules, random_id(), now),
            calls: BTreeMap::new(),
            unsent: None,
            newest,
            metrics_due: now,
        }
    }

    /// Carries out the replica's events.
    fn carry_out_events(&mut self, mail: &mut Mail) {
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
                Event::Outcome { id, result } => self.answer_call(id, result),
                Event::Superseded(token) => self.leases.learn(token, mail),
                Event::Diverged(other) => {
                    let digest = self.replica.table().digest();
                    warn!(event = "config_diverged", version = digest.version, other = %other,
                        "another replica has other content at this version");
                }
            }
        }
    }

    fn answer_call(&mut self, id: u64, result: Result<u64, SubmitError>) {
        if let Some(call) = self.calls.remove(&id) {
            let _ = call.answer.send(self.answer(result)); // the caller may have gone
        }
    }

    fn answer(&self, result: Result<u64, SubmitError>) -> Answer {
        let error = match result {
            Ok(version) => return (StatusCode::OK, line(&json!({ "version": version }))),
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
                json!({ "field": "holder", "why": self.leases.why_no_holder() })
            }
            error => json!({ "field": "holder", "why": error.to_string() }),
        };
        (status, line(&body))
    }

    /// Answers the calls that no outcome came for in time.
    fn time_out_calls(&mut self, now: Time) {
        let late: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| now - call.since >= CALL_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.replica.withdraw(id);
            self.answer_call(id, Err(SubmitError::Unknown));
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
        let heard = self.leases.heard();
        if heard.0 < u64::MAX {
            metrics::gauge!("meadowproxy_config_heard_seconds").set(heard.as_secs_f64());
        }
    }
}

impl Tables {
    /// Runs a step of the configuration, and carries out what comes of it.
    fn config_step<T>(
        &self,
        step: impl FnOnce(&mut ConfigDriver, Time, &Context, &mut Outbox) -> T,
    ) -> T {
        let mut mail = Mail::new();
        let mut out = Outbox::new();
        let (result, became_ready) = {
            let mut config = self.config.lock();
            let seen = self.roster.lock().seen.clone();
            let members = seen.as_ref().map_or(&[][..], |seen| &seen.members);
            let previous_version = config.replica.table().version();
            let was_new = config.replica.is_new();
            let now = mono();
            let context = Context {
                wall_ms: wall().0 / 1000,
                members,
                zone_members: &[],
                lease: config.leases.holds(),
                leader: config.leases.holder(),
            };
            let result = step(&mut config, now, &context, &mut out);
            config.carry_out_events(&mut mail);
            log_version(&config.replica, previous_version, now);
            let is_new = config.replica.is_new();
            if !is_new {
                let newest = config.replica.newest_version();
                config.newest.store(newest, Ordering::Relaxed);
            }
            self.send_config_changes(&mut config);
            (result, was_new && !is_new)
        };
        let messages = out.into_iter();
        mail.extend(messages.map(|outgoing| (outgoing.to, Duties::Config(outgoing.message))));
        self.send(mail);
        if became_ready {
            self.welcome();
        }
        result
    }

    /// Sends the request loop what changed, in one step; while its queue is full that accumulates.
    fn send_config_changes(&self, config: &mut ConfigDriver) {
        let Some(unsent) = config.unsent.take() else {
            return;
        };
        let entries = unsent.entries.values().cloned().collect();
        let effect = Effect::Config(unsent.version, entries);
        if self.outbox.lock().effects.try_send(effect).is_err() {
            config.unsent = Some(unsent);
        }
    }

    /// Starts from the snapshot of an earlier process.
    pub fn restore_config(&self, table: Table) {
        self.config_step(|config, _, _, _| config.replica.restore(table));
    }

    /// Lets time pass for the configuration; returns when its lease is due next.
    pub fn config_tick(&self) -> Option<Time> {
        let mut mail = Mail::new();
        let lease_due = {
            let mut config = self.config.lock();
            if !config.replica.is_new() {
                config.leases.ready();
            }
            let lease_due = config.leases.tick(&mut mail);
            let now = mono();
            if now >= config.metrics_due {
                config.metrics_due = now + METRICS_INTERVAL;
                config.set_metrics();
            }
            lease_due
        };
        self.send(mail);
        self.config_step(|config, now, context, out| {
            config.replica.tick(now, context, out);
            config.time_out_calls(now);
        });
        lease_due
    }

    /// Handles another proxy's message.
    pub fn handle_config_message(
        &self,
        from: SocketAddr,
        message: Message,
    ) -> Result<(), MessageError> {
        self.config_step(|config, now, context, out| {
            config.replica.handle(now, context, from, message, out)
        })
    }

    /// Submits an operator's change, which is answered once its outcome is known.
    pub fn config_change(&self, base: u64, edits: Vec<Edit>, answer: oneshot::Sender<Answer>) {
        self.config_step(|config, now, context, out| {
            let id = random_id();
            config.calls.insert(id, WaitingCall { answer, since: now });
            let submission = Submission { id, base, edits };
            if let Err(error) = config.replica.submit(now, context, submission, out) {
                config.answer_call(id, Err(error));
            }
        });
    }

    pub fn config_entry(&self, kind: &str, name: &str) -> Answer {
        let key = kind_named(kind).map(|kind| Key {
            kind,
            name: name.into(),
        });
        let config = self.config.lock();
        let table = config.replica.table();
        let entry = key.and_then(|key| {
            table
                .get(key.position())
                .filter(|entry| entry.edit.key == key)
        });
        let Some(entry) = entry else {
            let body = json!({ "field": "path", "why": "never changed since the file" });
            return (StatusCode::NOT_FOUND, line(&body));
        };
        let (state, value) = match &entry.edit.value {
            Value::Set(bytes) => ("set", serde_json::from_slice(bytes).unwrap_or_default()),
            Value::Removed => ("removed", serde_json::Value::Null),
            Value::AsFile => ("as_file", serde_json::Value::Null),
        };
        let body = json!({ "version": entry.version, "state": state, "value": value });
        (StatusCode::OK, line(&body))
    }

    pub fn config_status(&self) -> serde_json::Value {
        let config = self.config.lock();
        let seen = self
            .roster
            .lock()
            .seen
            .as_ref()
            .map(|seen| (seen.config, seen.file));
        let replica = &config.replica;
        let table = replica.table();
        let digest = table.digest();
        let mut status = config.leases.status();
        let more = json!({
            "version": digest.version, "digest": format!("{:016x}", digest.root), "entries": table.len(),
            "contained": table.compacted_version(),
            "in_force": seen.map(|seen| seen.0), "file": seen.map(|seen| seen.1),
            "newest": replica.newest_version(), "new": replica.is_new(),
            "proposed": replica.proposed_version(), "keeps": replica.accepted_version(),
            "fetching": replica.is_fetching(), "votes": replica.is_voting(),
            "unanswered": replica.unanswered_voters().iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
        });
        if let (Some(status), serde_json::Value::Object(more)) = (status.as_object_mut(), more) {
            status.extend(more);
        }
        status
    }
}

fn log_version(replica: &Replica, previous_version: u64, now: Time) {
    let digest = replica.table().digest();
    if digest.version != previous_version {
        info!(
            event = "config_copy",
            version = digest.version,
            digest = format!("{:016x}", digest.root),
            mono_us = now.0,
            "the configuration is at another version"
        );
    }
}

/// A number that no other proxy draws.
fn random_id() -> u64 {
    RandomState::new().build_hasher().finish()
}

#[cfg(test)]
mod stored_formats;
