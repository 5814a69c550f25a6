//! Operations on the fleet's replicated configuration at this proxy, each under one lock: the steps of its
//! [`ConfigDriver`], and the operators' calls that read it.

use super::call::{json_line, CallResponse};
use super::clocks::{monotonic_now, wall_now};
use super::config_change::{kind_by_name, ConfigChange};
use super::config_driver::ConfigDriver;
use super::duty_lease::DutyMessages;
use super::message::DutyMessage;
use super::request_loop::Effect;
use super::shared_state::SharedState;
use hyper::StatusCode;
use meadowproxy::fleet::config::{
    Context, Key, Message, MessageError, Outbox, Replica, Table, Value,
};
use meadowproxy::Time;
use serde_json::json;
use std::net::SocketAddr;
use tokio::sync::oneshot;
use tracing::info;

impl SharedState {
    /// Runs a step of the configuration, then sends the messages and the changes that result.
    fn step_config<T>(
        &self,
        step: impl FnOnce(&mut ConfigDriver, Time, &Context, &mut Outbox) -> T,
    ) -> T {
        let mut outgoing = DutyMessages::new();
        let mut outbox = Outbox::new();
        let (result, became_ready) = {
            let mut config = self.config.lock();
            let loop_view = self.fleet_view.lock().loop_view.clone();
            let members = loop_view
                .as_ref()
                .map_or(&[][..], |loop_view| &loop_view.members);
            let previous_version = config.replica.table().version();
            let was_new = config.replica.is_new();
            let now = monotonic_now();
            let context = Context {
                wall_ms: wall_now().0 / 1000,
                members,
                zone_members: &[],
                lease: config.lease.held_token(),
                leader: config.lease.holder(),
            };
            let result = step(&mut config, now, &context, &mut outbox);
            config.handle_events(&mut outgoing);
            log_version_change(&config.replica, previous_version, now);
            config.publish_newest_version();
            self.send_config_changes(&mut config);
            (result, was_new && !config.replica.is_new())
        };
        let messages = outbox.into_iter();
        outgoing
            .extend(messages.map(|envelope| (envelope.to, DutyMessage::Config(envelope.message))));
        self.send(outgoing);
        if became_ready {
            self.signal_ready_if_caught_up();
        }
        result
    }

    /// Sends the accumulated changes to the request loop as one effect; keeps them while its queue is full.
    fn send_config_changes(&self, config: &mut ConfigDriver) {
        let Some(unsent) = config.unsent.take() else {
            return;
        };
        let entries = unsent.entries.values().cloned().collect();
        let effect = Effect::ChangeConfig {
            version: unsent.version,
            entries,
        };
        if self.effect_queue.lock().effects.try_send(effect).is_err() {
            config.unsent = Some(unsent);
        }
    }

    /// Restores the table that an earlier process saved.
    pub fn restore_config(&self, table: Table) {
        self.step_config(|config, _, _, _| config.replica.restore(table));
    }

    /// Runs the timers of the configuration that are due. Returns when those of its lease are due next.
    pub fn config_tick(&self) -> Option<Time> {
        let mut outgoing = DutyMessages::new();
        let lease_due = {
            let mut config = self.config.lock();
            if !config.replica.is_new() {
                config.lease.set_eligible();
            }
            let lease_due = config.lease.tick(&mut outgoing);
            config.update_metrics(monotonic_now());
            lease_due
        };
        self.send(outgoing);
        self.step_config(|config, now, context, outbox| {
            config.replica.tick(now, context, outbox);
            config.time_out_calls(now);
        });
        lease_due
    }

    /// Handles a message about the configuration from another proxy.
    pub fn handle_config_message(
        &self,
        from: SocketAddr,
        message: Message,
    ) -> Result<(), MessageError> {
        self.step_config(|config, now, context, outbox| {
            config.replica.handle(now, context, from, message, outbox)
        })
    }

    /// Submits an operator's change. The response is sent once its outcome is known.
    pub fn submit_config_change(
        &self,
        change: ConfigChange,
        response_sender: oneshot::Sender<CallResponse>,
    ) {
        self.step_config(|config, now, context, outbox| {
            config.submit(now, context, change, response_sender, outbox);
        });
    }

    /// Returns one entry, for an operator.
    pub fn config_entry(&self, kind: &str, name: &str) -> CallResponse {
        let key = kind_by_name(kind).map(|kind| Key {
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
            return (StatusCode::NOT_FOUND, json_line(&body));
        };
        let (state, value) = match &entry.edit.value {
            Value::Set(bytes) => ("set", serde_json::from_slice(bytes).unwrap_or_default()),
            Value::Removed => ("removed", serde_json::Value::Null),
            Value::AsFile => ("as_file", serde_json::Value::Null),
        };
        let body = json!({ "version": entry.version, "state": state, "value": value });
        (StatusCode::OK, json_line(&body))
    }

    /// Returns the state of the configuration and of its lease, for an operator.
    pub fn config_status(&self) -> serde_json::Value {
        let config = self.config.lock();
        let loop_view = self
            .fleet_view
            .lock()
            .loop_view
            .as_ref()
            .map(|loop_view| (loop_view.config_version, loop_view.file_version));
        let replica = &config.replica;
        let table = replica.table();
        let digest = table.digest();
        let mut status = config.lease.status();
        let details = json!({
            "version": digest.version, "digest": format!("{:016x}", digest.root), "entries": table.len(),
            "contained": table.compacted_version(),
            "in_force": loop_view.map(|loop_view| loop_view.0), "file": loop_view.map(|loop_view| loop_view.1),
            "newest": replica.newest_version(), "new": replica.is_new(),
            "proposed": replica.proposed_version(), "keeps": replica.accepted_version(),
            "fetching": replica.is_fetching(), "votes": replica.is_voting(),
            "unanswered": replica.unanswered_voters().iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
        });
        if let (Some(status), serde_json::Value::Object(details)) =
            (status.as_object_mut(), details)
        {
            status.extend(details);
        }
        status
    }
}

/// Logs the version of the table if a step changed it.
fn log_version_change(replica: &Replica, previous_version: u64, now: Time) {
    let digest = replica.table().digest();
    if digest.version != previous_version {
        info!(
            event = "config_copy",
            version = digest.version,
            digest = format!("{:016x}", digest.root),
            mono_us = now.0,
            "version of the configuration table changed"
        );
    }
}

#[cfg(test)]
mod stored_formats;
