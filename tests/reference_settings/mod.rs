//! Reading and comparing settings the plain way, each name against each: as the program did it before its tables were
//! found by name, kept as what they are held against.
#![allow(dead_code)]
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use meadowproxy::*;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Names in the order of their numbers. Places and kinds met first in a list are numbered then.
#[derive(Clone, Debug, Default)]
pub struct Names {
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<Named>,
    tenants: Vec<Named>,
}

/// The name of a class or tenant. One that the settings dropped keeps its number, for what is still open under it.
#[derive(Clone, Debug)]
struct Named {
    name: String,
    live: bool,
}

impl Named {
    fn new(name: &str) -> Named {
        Named {
            name: name.into(),
            live: true,
        }
    }
    fn find(table: &[Named], name: &str) -> Option<usize> {
        table.iter().position(|n| n.live && n.name == name)
    }
}

fn number(names: &mut Vec<String>, name: &str) -> u32 {
    let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.into());
        names.len() - 1
    });
    at as u32
}

impl Names {
    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        Named::find(&self.classes, name).map(ClassId)
    }

    /// The tenant of that name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        Named::find(&self.tenants, name).map(TenantId)
    }

    /// The kind of that name, if a list or the settings named it.
    pub fn kind(&self, name: &str) -> Option<HardwareClassId> {
        self.kinds
            .iter()
            .position(|k| k == name)
            .map(|n| HardwareClassId(n as u32))
    }

    /// The name of a kind.
    pub fn kind_name(&self, kind: HardwareClassId) -> Option<&str> {
        self.kinds.get(kind.0 as usize).map(String::as_str)
    }

    /// The name of a zone.
    pub fn zone_name(&self, zone: ZoneId) -> Option<&str> {
        self.zones.get(zone.0 as usize).map(String::as_str)
    }

    /// The name of a class in use.
    pub fn class_name(&self, class: ClassId) -> Option<&str> {
        self.classes
            .get(class.0)
            .filter(|n| n.live)
            .map(|n| n.name.as_str())
    }

    /// The zone and the kind of a list's row get their numbers.
    pub fn meet(&mut self, zone: &str, kind: &str) {
        number(&mut self.zones, zone);
        number(&mut self.kinds, kind);
    }

    /// The number of a zone.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones
            .iter()
            .position(|z| z == name)
            .map(|n| ZoneId(n as u32))
    }
}

/// What reading came upon.
#[derive(Default)]
struct Notes {
    /// Paths that were asked for.
    seen: RefCell<BTreeSet<String>>,
    /// What was wrong, in the order of reading: one text for a path.
    wrong: RefCell<Vec<(String, String)>>,
}

impl Notes {
    /// Whether the value there, or one inside it, could not be read.
    fn misread(&self, path: &str) -> bool {
        let inside = |rest: &str| rest.is_empty() || rest.starts_with(['.', '[']);
        self.wrong
            .borrow()
            .iter()
            .any(|(p, _)| p.strip_prefix(path).is_some_and(inside))
    }
    /// What was read, or the first that was wrong.
    fn sound<T>(&self, read: T) -> Result<T, String> {
        self.wrong
            .borrow()
            .first()
            .map_or(Ok(read), |(_, text)| Err(text.clone()))
    }
}

/// A value inside the settings, with the path that led to it. One that is wrong is noted, and a stand-in that breaks
/// no rule takes its place, so that reading goes on to what else is wrong.
struct Key<'a> {
    path: String,
    value: Option<&'a Value>,
    notes: Rc<Notes>,
}

impl<'a> Key<'a> {
    fn root(settings: &'a Value) -> Key<'a> {
        Key {
            path: String::new(),
            value: Some(settings),
            notes: Rc::default(),
        }
    }
    fn get(&self, name: &str) -> Key<'a> {
        let path = if self.path.is_empty() {
            name.into()
        } else {
            format!("{}.{name}", self.path)
        };
        self.notes.seen.borrow_mut().insert(path.clone());
        Key {
            path,
            value: self.value.and_then(|v| v.get(name)),
            notes: self.notes.clone(),
        }
    }
    fn wrong(&self, text: String) {
        let mut wrong = self.notes.wrong.borrow_mut();
        if wrong.iter().all(|(path, _)| *path != self.path) {
            wrong.push((self.path.clone(), format!("{}: {text}", self.path)));
        }
    }
    fn want<T>(&self, got: Option<T>, what: &str, stand_in: T) -> T {
        got.unwrap_or_else(|| {
            self.wrong(match self.value {
                Some(v) => format!("expected {what}, got {v}"),
                None => format!("missing, expected {what}"),
            });
            stand_in
        })
    }
    fn text(&self) -> &'a str {
        self.want(self.value.and_then(Value::as_str), "text", "")
    }
    fn flag(&self) -> bool {
        self.want(self.value.and_then(Value::as_bool), "true or false", false)
    }
    fn real(&self) -> f64 {
        self.want(self.value.and_then(Value::as_f64), "a number", 1.0)
    }
    fn whole(&self) -> Option<u64> {
        self.value.and_then(Value::as_u64)
    }
    fn micros(&self) -> Micros {
        Micros(self.want(self.whole(), "whole microseconds", 1))
    }
    fn count(&self, stand_in: u32) -> u32 {
        self.want(
            self.whole().and_then(|n| u32::try_from(n).ok()),
            "a whole number",
            stand_in,
        )
    }
    fn list(&self) -> Vec<Key<'a>> {
        let items = self.want(
            self.value.and_then(Value::as_array).map(Vec::as_slice),
            "an array",
            &[],
        );
        let item = |(i, v)| Key {
            path: format!("{}[{i}]", self.path),
            value: Some(v),
            notes: self.notes.clone(),
        };
        items.iter().enumerate().map(item).collect()
    }
}

/// Reads the settings, or says what is wrong first; unknown keys are skipped (see [`unknown`]).
pub fn read(settings: &Value) -> Result<(Config, Names), String> {
    let root = Key::root(settings);
    let read = read_with(&root, Names::default());
    root.notes.sound(read)
}

/// All that is wrong with the settings, one text each: values that cannot be read, then such as break a bound.
pub fn errors(settings: &Value) -> Vec<String> {
    let root = Key::root(settings);
    let (config, _) = read_with(&root, Names::default());
    network_of(&root);
    let follows = |e: &ConfigError| e.field == "classes" && root.notes.misread("profiles");
    let bounds = config
        .errors()
        .into_iter()
        .filter(|e| !follows(e))
        .map(|e| e.to_string());
    let wrong = root.notes.wrong.borrow();
    wrong
        .iter()
        .map(|(_, text)| text.clone())
        .chain(bounds)
        .collect()
}

/// Paths of values that nothing reads.
pub fn unknown(settings: &Value) -> Vec<String> {
    fn leaves(path: &str, value: &Value, all: &mut Vec<String>) {
        match value {
            Value::Object(keys) if !keys.is_empty() => keys.iter().for_each(|(name, inner)| {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                leaves(&path, inner, all);
            }),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                items
                    .iter()
                    .enumerate()
                    .for_each(|(i, v)| leaves(&format!("{path}[{i}]"), v, all));
            }
            _ => all.push(path.into()),
        }
    }
    let root = Key::root(settings);
    read_with(&root, Names::default());
    network_of(&root);
    let mut all = Vec::new();
    leaves("", settings, &mut all);
    let seen = root.notes.seen.borrow();
    all.retain(|path| !seen.contains(path) && !root.notes.misread(path));
    all
}

/// `names`: the places and kinds that have numbers already.
fn read_with(root: &Key, mut names: Names) -> (Config, Names) {
    let zones = root.get("zones").list();
    for zone in &zones {
        number(&mut names.zones, zone.text());
    }
    for kind in root.get("kinds").list() {
        number(&mut names.kinds, kind.text());
    }
    let my_zone = root.get("my_zone");
    let zone = my_zone.value.and_then(Value::as_str);
    let zone = match zones.is_empty() && !root.notes.misread("zones") {
        // Without zones it has one to itself, whatever its name.
        true => Some(number(&mut names.zones, zone.unwrap_or_default()) as usize),
        false => zone.and_then(|name| names.zones.iter().position(|z| z == name)),
    };
    if zone.is_some() || !root.notes.misread("zones") {
        my_zone.want(zone, "one of zones", 0);
    }
    let classes = root
        .get("profiles")
        .list()
        .iter()
        .map(|key| class(key, &mut names))
        .collect();
    let mut tenants = Vec::new();
    for tenant in root.get("customers").list() {
        names.tenants.push(Named::new(tenant.get("name").text()));
        tenants.push(Tenant {
            quota_per_s: tenant.get("quota_rps").real(),
        });
    }
    let (limits, rules, goal) = (root.get("limits"), root.get("rules"), root.get("blend"));
    let must_ask = rules.get("must_ask_in_us");
    let discovery = match root.get("discovery").text() {
        "automatic" => Discovery::Push,
        "subscribe" => Discovery::Poll {
            staleness_limit: must_ask.micros(),
        },
        _ => root
            .get("discovery")
            .want(None, "automatic or subscribe", Discovery::Push),
    };
    let config = Config {
        proxy_count: root.get("group_size").count(u32::MAX),
        proxy_index: root.get("position").count(0),
        zone: ZoneId(zone.unwrap_or(0) as u32),
        classes,
        tenants: tenants.into(),
        over_quota_weight: root.get("over_share_worth").real(),
        overall_objective_weight: goal.get("whole").real(),
        worst_class_objective_weight: goal.get("worst_class").real(),
        cross_zone_cost: root.get("costs").get("cross_zone").real(),
        discovery,
        max_attempts: limits.get("max_attempts").count(1),
        cancellation: limits.get("cancel").flag(),
        hedging: limits.get("parallel_tries").flag(),
        timer_resolution: root.get("granularity_us").micros(),
        slow_start_min_readiness: rules.get("cold_from").real(),
        slow_start_duration: rules.get("ramp_time_us").micros(),
        overload_multiple: rules.get("fall_multiple").real(),
        overload_window: rules.get("tip_after_us").micros(),
        zone_failover: locality(&root.get("locality")),
        regions: regions(&root.get("locality").get("regions"), &mut names),
    };
    (config, names)
}

/// One of `profiles`; its name gets the next number.
fn class(class: &Key, names: &mut Names) -> RequestClass {
    let name = class.get("name");
    if Named::find(&names.classes, name.text()).is_some() {
        name.wrong("duplicate name".into());
    }
    names.classes.push(Named::new(name.text()));
    let (scope, window) = (class.get("key_scope"), class.get("window_us"));
    let effect = match class.get("effect").text() {
        "free" => Idempotency::Idempotent,
        "guarded" => {
            let scope = match scope.text() {
                "all" => KeyScope::All,
                "zone" => KeyScope::Zone,
                "cell" => KeyScope::Cell,
                _ => scope.want(None, "all, zone or cell", KeyScope::All),
            };
            Idempotency::Keyed {
                scope,
                window: window.micros(),
            }
        }
        "single_shot" => Idempotency::NonIdempotent,
        _ => class.get("effect").want(
            None,
            "free, guarded or single_shot",
            Idempotency::Idempotent,
        ),
    };
    let stretch = class.get("aim_stretch");
    let (aim, deadline) = (class.get("aim_us"), class.get("deadline_us"));
    if deadline.micros().0 == 0 {
        deadline.want(None, "a time above 0", ());
    } else if aim
        .whole()
        .zip(deadline.whole())
        .is_some_and(|(aim, deadline)| aim > deadline)
    {
        aim.wrong("expected no more than deadline_us".into());
    }
    RequestClass {
        latency_objective: aim.micros(),
        objective_per_work: if stretch.value.is_some() {
            stretch.real()
        } else {
            0.0
        },
        idempotency: effect,
        priority_weight: class.get("gain").real(),
        late_weight: class.get("late_worth").real(),
    }
}

/// `locality`, where it stands: both keys, or an error that names the missing one.
fn locality(key: &Key) -> Option<ZoneFailover> {
    key.value?;
    Some(ZoneFailover {
        unhealthy_threshold: key.get("leave_share").real(),
        recovery_ramp: key.get("ramp_us").micros(),
    })
}

/// `locality.regions`: zone names to region names. A zone that no list has named yet gets its number here.
fn regions(key: &Key, names: &mut Names) -> BTreeMap<ZoneId, RegionId> {
    let Some(value) = key.value else {
        return BTreeMap::new();
    };
    let none = serde_json::Map::new();
    let table = key.want(
        value.as_object(),
        "a table of zones and their regions",
        &none,
    );
    let mut known = Vec::new();
    let entry = |zone: &String| {
        let region = RegionId(1 + number(&mut known, key.get(zone).text()));
        (ZoneId(number(&mut names.zones, zone)), region)
    };
    table.keys().map(entry).collect()
}

/// What only a proxy on real sockets needs of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// A connection that is not up by then counts as failed.
    pub connect_timeout: Micros,
    /// Backends close connections that were idle for so long.
    pub conn_idle: Micros,
    /// The longest advice that a client follows.
    pub max_retry_after: Micros,
    /// How long a client waits at most, by class.
    pub deadlines: Vec<Micros>,
}

/// Reads the part of the settings that concerns sockets.
pub fn network(settings: &Value) -> Result<Network, String> {
    let root = Key::root(settings);
    let read = network_of(&root);
    root.notes.sound(read)
}

fn network_of(root: &Key) -> Network {
    let limits = root.get("limits");
    let deadline = |class: &Key| class.get("deadline_us").micros();
    Network {
        connect_timeout: limits.get("dial_timeout_us").micros(),
        conn_idle: limits.get("conn_idle_us").micros(),
        max_retry_after: limits.get("max_retry_after_us").micros(),
        deadlines: root.get("profiles").list().iter().map(deadline).collect(),
    }
}

/// Settings that take the place of others while requests are open.
#[derive(Clone, Debug)]
pub struct Change {
    /// The module's part, for [`Event::ConfigChanged`].
    pub config: Config,
    /// Which numbers of classes are in use.
    pub live: Vec<bool>,
    /// New numbers of classes that were there under other rules, each with the old number.
    pub successors: Vec<ClassSuccessor>,
    /// Names for all numbers.
    pub names: Names,
    /// The sockets' part.
    pub network: Network,
    /// What became of the classes, in words.
    pub told: String,
}

/// What may be done with a request that came under one effect while another is in force.
fn stricter(came: Idempotency, now: Idempotency) -> Idempotency {
    let reach = |scope| match scope {
        KeyScope::Cell => 0,
        KeyScope::Zone => 1,
        KeyScope::All => 2,
    };
    match (came, now) {
        (came, Idempotency::Idempotent) => came,
        (
            Idempotency::Keyed {
                scope: a,
                window: long,
            },
            Idempotency::Keyed {
                scope: b,
                window: short,
            },
        ) => Idempotency::Keyed {
            scope: if reach(a) <= reach(b) { a } else { b },
            window: long.min(short),
        },
        // One that came as free has no key by which a repeat would be dropped.
        _ => Idempotency::NonIdempotent,
    }
}

/// Reads settings that follow others. A class or tenant keeps its number; a class whose rules differ gets a new one.
pub fn change(
    settings: &Value,
    names: &Names,
    config: &Config,
    before: &Network,
) -> Result<Change, String> {
    let places = Names {
        classes: Vec::new(),
        tenants: Vec::new(),
        ..names.clone()
    };
    let root = Key::root(settings);
    let read = read_with(&root, places);
    let (fresh, fresh_names) = root.notes.sound(read)?;
    let fresh_network = network(settings)?;
    fresh.clone().validated().map_err(|e| e.to_string())?;
    if fresh.discovery != config.discovery {
        return Err("discovery: cannot change without a restart".into());
    }
    let (mut classes, mut deadlines) = (
        config.classes.iter().cloned().collect::<Vec<_>>(),
        before.deadlines.clone(),
    );
    let mut named = names.classes.clone();
    named.iter_mut().for_each(|n| n.live = false);
    let (mut successors, mut told) = (Vec::new(), Vec::new());
    for ((class, new), deadline) in fresh
        .classes
        .iter()
        .zip(&fresh_names.classes)
        .zip(&fresh_network.deadlines)
    {
        let same = |k: &usize| {
            named[*k].name == new.name && classes[*k] == *class && deadlines[*k] == *deadline
        };
        let old = Named::find(&names.classes, &new.name);
        let number = (0..classes.len()).find(same).unwrap_or_else(|| {
            classes.push(class.clone());
            deadlines.push(*deadline);
            named.push(new.clone());
            successors.extend(old.map(|old| ClassSuccessor {
                class: ClassId(classes.len() - 1),
                predecessor: ClassId(old),
            }));
            classes.len() - 1
        });
        named[number].live = true;
        if old != Some(number) {
            told.push(format!(
                "{} {}",
                if old.is_some() { "changed" } else { "new" },
                new.name
            ));
        }
    }
    // What is still open under an old number obeys the stricter of its rules and those that hold now.
    for (number, class) in classes
        .iter_mut()
        .enumerate()
        .filter(|(n, _)| !named[*n].live)
    {
        let now = fresh_names
            .classes
            .iter()
            .position(|new| new.name == named[number].name);
        class.idempotency = now.map_or(class.idempotency, |at| {
            stricter(class.idempotency, fresh.classes[at].idempotency)
        });
    }
    let dropped = |n: &&Named| n.live && Named::find(&named, &n.name).is_none();
    told.extend(
        names
            .classes
            .iter()
            .filter(dropped)
            .map(|n| format!("dropped {}", n.name)),
    );
    let (mut tenants, mut customers) = (
        config.tenants.iter().cloned().collect::<Vec<_>>(),
        names.tenants.clone(),
    );
    customers.iter_mut().for_each(|n| n.live = false);
    for (tenant, new) in fresh.tenants.iter().zip(&fresh_names.tenants) {
        match customers.iter().position(|n| n.name == new.name) {
            Some(at) => (customers[at].live, tenants[at]) = (true, tenant.clone()),
            None => {
                customers.push(new.clone());
                tenants.push(tenant.clone());
            }
        }
    }
    let live = named.iter().map(|n| n.live).collect();
    let told = if told.is_empty() {
        "classes unchanged".into()
    } else {
        told.join(", ")
    };
    let names = Names {
        classes: named,
        tenants: customers,
        ..fresh_names
    };
    let config = Config {
        classes: classes.into(),
        tenants: tenants.into(),
        ..fresh
    };
    Ok(Change {
        config,
        live,
        successors,
        names,
        network: Network {
            deadlines,
            ..fresh_network
        },
        told,
    })
}
