//! The fleet's configuration at this proxy: its copy and its part in the duty under one lock, operators' calls on it, and
//! what the request loop is told.

use super::call::{json_line as line, Answer, Call};
use super::clocks::{mono, wall};
use super::duty_lease::{DutyLease, Outgoing};
use super::message::{Duty, DutyMessage};
use super::request_loop::Effect;
use super::tables::Tables;
use crate::net::config::overlay::{Newest, Overlay};
use hyper::{Method, StatusCode};
use meadowproxy::fleet::config::{
    Edit, Entry, Event, Key, Kind, Message, Refused, Rejected, Replica, Rules, Submission,
    Surroundings, Table, Value,
};
use meadowproxy::fleet::lease;
use meadowproxy::{Micros, Time};
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use tokio::sync::oneshot;
use tracing::{info, warn};

/// A change's caller hears within this time, in which the door still answers.
const ANSWER: Micros = Micros(800_000);
/// How often the figures are set.
const BEAT: Micros = Micros(1_000_000);

pub struct Configuring {
    pub leases: DutyLease,
    pub replica: Replica,
    /// Who waits for the outcome of a change, since when.
    calls: BTreeMap<u64, (oneshot::Sender<Answer>, Time)>,
    /// What the request loop is to be told: the version, and the last value of each entry.
    untold: Option<(u64, BTreeMap<Key, Entry>)>,
    /// The newest version that was heard of, for the request loop.
    newest: Newest,
    beat_at: Time,
}

impl Configuring {
    pub fn new(
        rules: lease::Rules,
        voters: Vec<SocketAddr>,
        own: SocketAddr,
        incarnation: u64,
        newest: Newest,
    ) -> Configuring {
        let now = mono();
        let of = Rules {
            lease: rules,
            voters: voters.clone(),
            own,
        };
        Configuring {
            leases: DutyLease::new(Duty::Config, rules, voters, own, incarnation),
            replica: Replica::new(of, drawn(), now),
            calls: BTreeMap::new(),
            untold: None,
            newest,
            beat_at: now,
        }
    }

    /// Carries out what the copy's machine says.
    fn settle(&mut self, mail: &mut Outgoing) {
        for event in self.replica.events() {
            match event {
                Event::InForce { version, entries } => {
                    let untold = self.untold.get_or_insert_with(Default::default);
                    untold.0 = version;
                    untold.1.extend(
                        entries
                            .into_iter()
                            .map(|entry| (entry.edit.key.clone(), entry)),
                    );
                }
                Event::Outcome { id, result } => {
                    if let Some((answer, _)) = self.calls.remove(&id) {
                        let _ = answer.send(self.outcome(result)); // who asked may be gone
                    }
                }
                Event::Superseded(token) => self.leases.observe_token(token, mail),
                Event::Diverged(other) => {
                    let digest = self.replica.table().digest();
                    warn!(event = "config_diverged", version = digest.version, other = %other,
                        "another copy of this version has another content");
                }
            }
        }
    }

    fn outcome(&self, result: Result<u64, Rejected>) -> Answer {
        match result {
            Ok(version) => (StatusCode::OK, line(&json!({ "version": version }))),
            Err(why) => {
                let status =
                    StatusCode::from_u16(why.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
                let told = match &why {
                    Rejected::Conflict { key, number } => {
                        json!({ "field": key, "why": why.to_string(), "version": number })
                    }
                    Rejected::Invalid(invalid) => {
                        json!({ "field": invalid.key, "why": invalid.why })
                    }
                    Rejected::NoHolder => {
                        json!({ "field": "holder", "why": self.leases.why_no_holder() })
                    }
                    why => json!({ "field": "holder", "why": why.to_string() }),
                };
                (status, line(&told))
            }
        }
    }
}

impl Tables {
    /// Lets the copy's machine act, and carries out what comes of it.
    fn configure<T>(
        &self,
        act: impl FnOnce(&mut Configuring, Time, &Surroundings, &mut Vec<(SocketAddr, Message)>) -> T,
    ) -> T {
        let (mut mail, mut out) = (Outgoing::new(), Vec::new());
        let (result, started) = {
            let mut config = self.config.lock();
            let seen = self.roster.lock().seen.clone();
            let members = seen.as_ref().map_or(&[][..], |seen| &seen.members);
            let (before, new) = (config.replica.table().version(), config.replica.is_new());
            let now = mono();
            let around = Surroundings {
                wall_ms: wall().0 / 1000,
                members,
                near: &[],
                holding: config.leases.held_token(),
                holder: config.leases.holder(),
            };
            let result = act(&mut config, now, &around, &mut out);
            config.settle(&mut mail);
            let digest = config.replica.table().digest();
            if digest.version != before {
                info!(
                    event = "config_copy",
                    version = digest.version,
                    digest = format!("{:016x}", digest.root),
                    mono_us = now.0,
                    "the configuration is at another version"
                );
            }
            if !config.replica.is_new() {
                config
                    .newest
                    .store(config.replica.newest(), Ordering::Relaxed);
            }
            self.tell(&mut config);
            (result, new && !config.replica.is_new())
        };
        mail.extend(
            out.into_iter()
                .map(|(to, message)| (to, DutyMessage::Config(message))),
        );
        self.send(mail);
        if started {
            self.admit_clients();
        }
        result
    }

    /// Tells the request loop what changed, in one step; while its queue is full that grows together.
    fn tell(&self, config: &mut Configuring) {
        let Some((version, entries)) = config.untold.take() else {
            return;
        };
        let list = entries.values().cloned().collect();
        if self
            .outbox
            .lock()
            .effects
            .try_send(Effect::ChangeConfig {
                version,
                entries: list,
            })
            .is_err()
        {
            config.untold = Some((version, entries));
        }
    }

    /// Begins with the copy of an earlier process.
    pub fn restore(&self, table: Table) {
        self.configure(|config, _, _, _| config.replica.restore(table));
    }

    /// Lets time pass for the configuration; when its lease is to be looked at next.
    pub fn config_tick(&self) -> Option<Time> {
        let mut mail = Outgoing::new();
        let next = {
            let mut config = self.config.lock();
            if !config.replica.is_new() {
                config.leases.set_eligible();
            }
            let next = config.leases.tick(&mut mail);
            let now = mono();
            if now >= config.beat_at {
                config.beat_at = now + BEAT;
                figures(&config);
            }
            next
        };
        self.send(mail);
        self.configure(|config, now, around, out| {
            config.replica.tick(now, around, out);
            let late = |(_, since): &(oneshot::Sender<Answer>, Time)| now - *since >= ANSWER;
            let late: Vec<u64> = config
                .calls
                .iter()
                .filter(|(_, call)| late(call))
                .map(|(id, _)| *id)
                .collect();
            for id in late {
                config.replica.withdraw(id);
                let told = config.outcome(Err(Rejected::Unknown));
                config
                    .calls
                    .remove(&id)
                    .map(|(answer, _)| answer.send(told));
            }
        });
        next
    }

    /// Takes another proxy's message.
    pub fn configured(&self, from: SocketAddr, message: Message) -> Result<(), Refused> {
        self.configure(|config, now, around, out| {
            config.replica.handle(now, around, from, message, out)
        })
    }

    /// Asks for an operator's change, which is answered once its outcome is known.
    pub fn config_change(&self, base: u64, edits: Vec<Edit>, answer: oneshot::Sender<Answer>) {
        self.configure(|config, now, around, out| {
            let id = drawn();
            config.calls.insert(id, (answer, now));
            if let Err(why) =
                config
                    .replica
                    .submit(now, around, Submission { id, base, edits }, out)
            {
                let told = config.outcome(Err(why));
                config
                    .calls
                    .remove(&id)
                    .map(|(answer, _)| answer.send(told));
            }
        });
    }

    pub fn config_entry(&self, kind: &str, name: &str) -> Answer {
        let key = kind_of(kind).map(|kind| Key {
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
        match entry {
            None => (
                StatusCode::NOT_FOUND,
                line(&json!({ "field": "path", "why": "never changed since the file" })),
            ),
            Some(entry) => {
                let (state, value) = match &entry.edit.value {
                    Value::Set(bytes) => ("set", serde_json::from_slice(bytes).unwrap_or_default()),
                    Value::Removed => ("removed", serde_json::Value::Null),
                    Value::AsFile => ("as_file", serde_json::Value::Null),
                };
                (
                    StatusCode::OK,
                    line(&json!({ "version": entry.number, "state": state, "value": value })),
                )
            }
        }
    }

    pub fn config_status(&self) -> serde_json::Value {
        let config = self.config.lock();
        let seen = self
            .roster
            .lock()
            .seen
            .as_ref()
            .map(|seen| (seen.config, seen.file));
        let (table, digest) = (config.replica.table(), config.replica.table().digest());
        let mut status = config.leases.status();
        let more = json!({
            "version": digest.version, "digest": format!("{:016x}", digest.root), "entries": table.len(),
            "contained": table.contained(),
            "in_force": seen.map(|seen| seen.0), "file": seen.map(|seen| seen.1), "newest": config.replica.newest(), "new": config.replica.is_new(),
            "proposed": config.replica.proposed(), "keeps": config.replica.keeps(),
            "fetching": config.replica.is_fetching(), "votes": config.replica.votes(),
            "unanswered": config.replica.unanswered().iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
        });
        if let (Some(status), serde_json::Value::Object(more)) = (status.as_object_mut(), more) {
            status.extend(more);
        }
        status
    }
}

/// The change that a call asks for and the version that it was made from, or all that is wrong with it, here and for the settings in
/// force; `None` where it asks for none.
pub fn change(call: &Call, overlay: &Overlay) -> Option<Result<(u64, Vec<Edit>), Answer>> {
    let path: Vec<&str> = call.path.iter().map(String::as_str).collect();
    let read = match (&call.method, path.as_slice()) {
        (&Method::PUT, ["config"]) => read(&call.body),
        (&Method::PUT, ["config", "file"]) => read_contained(&call.body, overlay),
        (&Method::PUT, ["config", kind, name]) => read_one(&call.body, kind, name, false),
        (&Method::DELETE, ["config", kind, name]) => read_one(&call.body, kind, name, true),
        (&Method::DELETE, ["config", kind, name, "override"]) => {
            read_override(&call.body, kind, name)
        }
        _ => return None,
    };
    Some(read.and_then(|(base, edits)| {
        taken_back(&edits, overlay)?;
        let unfit = overlay.check(&edits);
        let error = |text: &String| match text.split_once(": ") {
            Some((field, why)) => (field.to_string(), why.to_string()),
            None => ("entries".to_string(), text.clone()),
        };
        match unfit.is_empty() {
            true => Ok((base, edits)),
            false => Err(wrong(unfit.iter().map(error).collect())),
        }
    }))
}

/// Only what was changed, and not since by a file, can be taken back.
fn taken_back(edits: &[Edit], overlay: &Overlay) -> Result<(), Answer> {
    let all = || {
        edits
            .iter()
            .filter(|edit| edit.value == Value::AsFile)
            .map(|edit| &edit.key)
    };
    let none: Vec<_> = all().filter(|key| !overlay.is_changed(key)).collect();
    if !none.is_empty() {
        let error = |key: &&Key| (key.to_string(), "never changed since the file".to_string());
        return Err(refused(
            StatusCode::NOT_FOUND,
            none.iter().map(error).collect(),
        ));
    }
    let contained: Vec<_> = all().filter(|key| !overlay.is_over(key)).collect();
    if !contained.is_empty() {
        let error = |key: &&Key| (key.to_string(), "the file contains that change".to_string());
        return Err(wrong(contained.iter().map(error).collect()));
    }
    Ok(())
}

/// A number that no other proxy draws.
fn drawn() -> u64 {
    RandomState::new().build_hasher().finish()
}

fn figures(config: &Configuring) {
    let digest = config.replica.table().digest();
    metrics::gauge!("meadowproxy_config_version").set(digest.version as f64);
    metrics::gauge!("meadowproxy_config_newest_version").set(config.replica.newest() as f64);
    // As many bits as a figure has: equal versions have equal ones.
    metrics::gauge!("meadowproxy_config_digest").set((digest.root >> 12) as f64);
    metrics::gauge!("meadowproxy_config_entries").set(config.replica.table().len() as f64);
    let heard = config.leases.since_heartbeat();
    if heard.0 < u64::MAX {
        metrics::gauge!("meadowproxy_config_heard_seconds").set(heard.as_secs_f64());
    }
}

/// The body of a change of several entries.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Several {
    /// The version that it was made from.
    version: u64,
    entries: Vec<Item>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Item {
    kind: String,
    name: String,
    #[serde(default)]
    value: Option<serde_json::Value>,
    /// The change is taken back: what the file says counts again.
    #[serde(default)]
    as_file: bool,
}

/// The body of a change of one entry, whose path names it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct One {
    version: u64,
    #[serde(default)]
    value: Option<serde_json::Value>,
}

/// The body of the taking back of a change, whose path names the entry.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Taken {
    version: u64,
}

/// The body of the change that says which changes are in the platform's files.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Contained {
    version: u64,
    contains: u64,
}

fn parsed<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Answer> {
    let mut reader = serde_json::Deserializer::from_slice(body);
    let read = serde_path_to_error::deserialize(&mut reader);
    let read = read.map_err(|e| wrong(vec![(e.path().to_string(), e.inner().to_string())]))?;
    reader
        .end()
        .map_err(|e| wrong(vec![("body".into(), e.to_string())]))?;
    Ok(read)
}

/// A no that names every error by its key.
fn wrong(errors: Vec<(String, String)>) -> Answer {
    refused(StatusCode::UNPROCESSABLE_ENTITY, errors)
}

fn refused(status: StatusCode, errors: Vec<(String, String)>) -> Answer {
    let errors: Vec<_> = errors
        .iter()
        .map(|(field, why)| json!({ "field": field, "why": why }))
        .collect();
    let mut told = errors.first().cloned().unwrap_or_default();
    told["errors"] = errors.into();
    (status, line(&told))
}

fn kind_of(name: &str) -> Option<Kind> {
    [Kind::Route, Kind::Tenant]
        .into_iter()
        .find(|kind| kind.name() == name)
}

fn read(body: &[u8]) -> Result<(u64, Vec<Edit>), Answer> {
    let several: Several = parsed(body)?;
    let items = several
        .entries
        .into_iter()
        .enumerate()
        .map(|(n, item)| (format!("entries[{n}]"), item));
    checked(several.version, items.collect())
}

fn read_contained(body: &[u8], overlay: &Overlay) -> Result<(u64, Vec<Edit>), Answer> {
    let Contained { version, contains } = parsed(body)?;
    // Who says so has rolled the file out: here it is in force, too.
    let most = overlay.file_version().min(version);
    if contains > most {
        return Err(wrong(vec![(
            "contains".into(),
            format!("expected at most {most}, the version of the file in force here"),
        )]));
    }
    Ok((version, vec![Edit::contains(contains)]))
}

fn read_one(body: &[u8], kind: &str, name: &str, remove: bool) -> Result<(u64, Vec<Edit>), Answer> {
    let One { version, value } = parsed(body)?;
    if remove && value.is_some() {
        return Err(wrong(vec![(
            "value".into(),
            "not where the entry is removed".into(),
        )]));
    }
    if !remove && value.is_none() {
        return Err(wrong(vec![("value".into(), "missing".into())]));
    }
    let item = Item {
        kind: kind.into(),
        name: name.into(),
        value,
        as_file: false,
    };
    checked(version, vec![(String::new(), item)])
}

fn read_override(body: &[u8], kind: &str, name: &str) -> Result<(u64, Vec<Edit>), Answer> {
    let Taken { version } = parsed(body)?;
    let item = Item {
        kind: kind.into(),
        name: name.into(),
        value: None,
        as_file: true,
    };
    checked(version, vec![(String::new(), item)])
}

/// The entries of a change, or all that is wrong with them.
fn checked(version: u64, items: Vec<(String, Item)>) -> Result<(u64, Vec<Edit>), Answer> {
    let (mut edits, mut errors) = (Vec::new(), Vec::new());
    for (path, item) in items {
        let at = |key: &str| {
            if path.is_empty() {
                key.to_string()
            } else {
                format!("{path}.{key}")
            }
        };
        let Some(kind) = kind_of(&item.kind) else {
            errors.push((at("kind"), "expected routes or tenants".to_string()));
            continue;
        };
        let key = Key {
            kind,
            name: item.name,
        };
        if let Err(why) = key.check() {
            errors.push((at("name"), why.why));
            continue;
        }
        let value = match item.value {
            None if item.as_file => Value::AsFile,
            None => Value::Removed,
            Some(_) if item.as_file => {
                errors.push((at("value"), "not where the change is taken back".into()));
                continue;
            }
            Some(value) if !value.is_object() => {
                errors.push((at("value"), "expected an object".into()));
                continue;
            }
            Some(value) if value["name"] != key.name => {
                errors.push((at("value.name"), "expected the entry's name".into()));
                continue;
            }
            Some(value) => Value::Set(value.to_string().into_bytes()),
        };
        let edit = Edit { key, value };
        match edit.check() {
            Ok(()) => edits.push(edit),
            Err(why) => errors.push((at("value"), why.why)),
        }
    }
    if !errors.is_empty() {
        return Err(wrong(errors));
    }
    match meadowproxy::fleet::config::check(&edits) {
        Ok(()) => Ok((version, edits)),
        Err(why) => Err(wrong(vec![(why.key, why.why)])),
    }
}

#[cfg(test)]
mod stored_formats;
