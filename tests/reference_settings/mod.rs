//! A reference implementation of reading and changing settings, which searches all names linearly, as the program did
//! before its tables were indexed by name. Tests compare the program's results with it.
#![allow(dead_code)]
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use meadowproxy::*;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Names in the order of their ids. Zones and kinds that first occur in an endpoint list get the next id.
#[derive(Clone, Debug, Default)]
pub struct Names {
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<EntryName>,
    tenants: Vec<EntryName>,
}

/// The name of a class or tenant. One that the settings no longer contain keeps its id for its open requests.
#[derive(Clone, Debug)]
struct EntryName {
    name: String,
    in_use: bool,
}

impl EntryName {
    fn new(name: &str) -> EntryName {
        EntryName {
            name: name.into(),
            in_use: true,
        }
    }
    fn find(table: &[EntryName], name: &str) -> Option<usize> {
        table.iter().position(|n| n.in_use && n.name == name)
    }
}

/// The id of the name, which is added if it is new.
fn id_of(names: &mut Vec<String>, name: &str) -> u32 {
    let at = names.iter().position(|n| n == name).unwrap_or_else(|| {
        names.push(name.into());
        names.len() - 1
    });
    at as u32
}

impl Names {
    /// The id of the class in use of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        EntryName::find(&self.classes, name).map(ClassId)
    }

    /// The id of the tenant in use of that name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        EntryName::find(&self.tenants, name).map(TenantId)
    }

    /// The id of the kind of that name, if an endpoint list or the settings contained it.
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
            .filter(|n| n.in_use)
            .map(|n| n.name.as_str())
    }

    /// Adds the zone and kind of an endpoint list's row, unless they have ids already.
    pub fn add_zone_and_kind(&mut self, zone: &str, kind: &str) {
        id_of(&mut self.zones, zone);
        id_of(&mut self.kinds, kind);
    }

    /// The id of the zone of that name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones
            .iter()
            .position(|z| z == name)
            .map(|n| ZoneId(n as u32))
    }
}

/// The keys read so far and the errors found.
#[derive(Default)]
struct ReadState {
    /// The paths that were read.
    read_paths: RefCell<BTreeSet<String>>,
    /// The errors in the order of reading, at most one for each path, as path and message.
    errors: RefCell<Vec<(String, String)>>,
}

impl ReadState {
    /// Whether the value at the path, or one inside it, has an error.
    fn has_error(&self, path: &str) -> bool {
        let inside = |rest: &str| rest.is_empty() || rest.starts_with(['.', '[']);
        self.errors
            .borrow()
            .iter()
            .any(|(p, _)| p.strip_prefix(path).is_some_and(inside))
    }
    /// The value that was read, or the first error.
    fn result<T>(&self, read: T) -> Result<T, String> {
        self.errors
            .borrow()
            .first()
            .map_or(Ok(read), |(_, text)| Err(text.clone()))
    }
}

/// Reads a value inside the settings at a path. An error is recorded and a valid default returned in its place, so that
/// reading continues and finds further errors.
struct Reader<'a> {
    path: String,
    value: Option<&'a Value>,
    state: Rc<ReadState>,
}

impl<'a> Reader<'a> {
    fn root(settings: &'a Value) -> Reader<'a> {
        Reader {
            path: String::new(),
            value: Some(settings),
            state: Rc::default(),
        }
    }
    fn get(&self, name: &str) -> Reader<'a> {
        let path = if self.path.is_empty() {
            name.into()
        } else {
            format!("{}.{name}", self.path)
        };
        self.state.read_paths.borrow_mut().insert(path.clone());
        Reader {
            path,
            value: self.value.and_then(|v| v.get(name)),
            state: self.state.clone(),
        }
    }
    /// Records an error, unless the path has one already.
    fn add_error(&self, text: String) {
        let mut errors = self.state.errors.borrow_mut();
        if errors.iter().all(|(path, _)| *path != self.path) {
            errors.push((self.path.clone(), format!("{}: {text}", self.path)));
        }
    }
    /// Returns the value, or records that `what` was expected and returns `fallback`.
    fn expected<T>(&self, value: Option<T>, what: &str, fallback: T) -> T {
        value.unwrap_or_else(|| {
            self.add_error(match self.value {
                Some(v) => format!("expected {what}, got {v}"),
                None => format!("missing, expected {what}"),
            });
            fallback
        })
    }
    fn text(&self) -> &'a str {
        self.expected(self.value.and_then(Value::as_str), "text", "")
    }
    fn boolean(&self) -> bool {
        self.expected(self.value.and_then(Value::as_bool), "true or false", false)
    }
    fn number_value(&self) -> f64 {
        self.expected(self.value.and_then(Value::as_f64), "a number", 1.0)
    }
    fn integer(&self) -> Option<u64> {
        self.value.and_then(Value::as_u64)
    }
    fn micros(&self) -> Micros {
        Micros(self.expected(self.integer(), "whole microseconds", 1))
    }
    fn count(&self, fallback: u32) -> u32 {
        self.expected(
            self.integer().and_then(|n| u32::try_from(n).ok()),
            "a whole number",
            fallback,
        )
    }
    fn list(&self) -> Vec<Reader<'a>> {
        let items = self.expected(
            self.value.and_then(Value::as_array).map(Vec::as_slice),
            "an array",
            &[],
        );
        let item = |(i, v)| Reader {
            path: format!("{}[{i}]", self.path),
            value: Some(v),
            state: self.state.clone(),
        };
        items.iter().enumerate().map(item).collect()
    }
}

/// Reads the settings or returns the first error. Unknown keys are ignored; see [`unknown`].
pub fn read(settings: &Value) -> Result<(Config, Names), String> {
    let root = Reader::root(settings);
    let read = read_with(&root, Names::default());
    root.state.result(read)
}

/// All errors of the settings: first values that cannot be read, then those that are out of bounds.
pub fn errors(settings: &Value) -> Vec<String> {
    let root = Reader::root(settings);
    let (config, _) = read_with(&root, Names::default());
    network_of(&root);
    let implied = |e: &ConfigError| e.field == "classes" && root.state.has_error("profiles");
    let bounds = config
        .errors()
        .into_iter()
        .filter(|e| !implied(e))
        .map(|e| e.to_string());
    let errors = root.state.errors.borrow();
    errors
        .iter()
        .map(|(_, text)| text.clone())
        .chain(bounds)
        .collect()
}

/// The paths of values that are not read.
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
    let root = Reader::root(settings);
    read_with(&root, Names::default());
    network_of(&root);
    let mut all = Vec::new();
    leaves("", settings, &mut all);
    let read_paths = root.state.read_paths.borrow();
    all.retain(|path| !read_paths.contains(path) && !root.state.has_error(path));
    all
}

/// Reads the configuration; `names` holds the zones and kinds that have ids already.
fn read_with(root: &Reader, mut names: Names) -> (Config, Names) {
    let zones = root.get("zones").list();
    for zone in &zones {
        id_of(&mut names.zones, zone.text());
    }
    for kind in root.get("kinds").list() {
        id_of(&mut names.kinds, kind.text());
    }
    let my_zone = root.get("my_zone");
    let zone = my_zone.value.and_then(Value::as_str);
    let zone = match zones.is_empty() && !root.state.has_error("zones") {
        // If the settings list no zones, `my_zone` may have any name.
        true => Some(id_of(&mut names.zones, zone.unwrap_or_default()) as usize),
        false => zone.and_then(|name| names.zones.iter().position(|z| z == name)),
    };
    if zone.is_some() || !root.state.has_error("zones") {
        my_zone.expected(zone, "one of zones", 0);
    }
    let classes = root
        .get("profiles")
        .list()
        .iter()
        .map(|key| class(key, &mut names))
        .collect();
    let mut tenants = Vec::new();
    for tenant in root.get("customers").list() {
        names
            .tenants
            .push(EntryName::new(tenant.get("name").text()));
        tenants.push(Tenant {
            quota_per_s: tenant.get("quota_rps").number_value(),
        });
    }
    let (limits, rules, blend) = (root.get("limits"), root.get("rules"), root.get("blend"));
    let must_ask = rules.get("must_ask_in_us");
    let discovery = match root.get("discovery").text() {
        "automatic" => Discovery::Push,
        "subscribe" => Discovery::Poll {
            staleness_limit: must_ask.micros(),
        },
        _ => root
            .get("discovery")
            .expected(None, "automatic or subscribe", Discovery::Push),
    };
    let config = Config {
        proxy_count: root.get("group_size").count(u32::MAX),
        proxy_index: root.get("position").count(0),
        zone: ZoneId(zone.unwrap_or(0) as u32),
        classes,
        tenants: tenants.into(),
        over_quota_weight: root.get("over_share_worth").number_value(),
        overall_objective_weight: blend.get("whole").number_value(),
        worst_class_objective_weight: blend.get("worst_class").number_value(),
        cross_zone_cost: root.get("costs").get("cross_zone").number_value(),
        discovery,
        max_attempts: limits.get("max_attempts").count(1),
        cancellation: limits.get("cancel").boolean(),
        hedging: limits.get("parallel_tries").boolean(),
        timer_resolution: root.get("granularity_us").micros(),
        slow_start_min_readiness: rules.get("cold_from").number_value(),
        slow_start_duration: rules.get("ramp_time_us").micros(),
        overload_multiple: rules.get("fall_multiple").number_value(),
        overload_window: rules.get("tip_after_us").micros(),
        zone_failover: locality(&root.get("locality")),
        regions: regions(&root.get("locality").get("regions"), &mut names),
    };
    (config, names)
}

/// Reads an entry of `profiles` and gives its name the next class id.
fn class(class: &Reader, names: &mut Names) -> RequestClass {
    let name = class.get("name");
    if EntryName::find(&names.classes, name.text()).is_some() {
        name.add_error("duplicate name".into());
    }
    names.classes.push(EntryName::new(name.text()));
    let (scope, window) = (class.get("key_scope"), class.get("window_us"));
    let idempotency = match class.get("effect").text() {
        "free" => Idempotency::Idempotent,
        "guarded" => {
            let scope = match scope.text() {
                "all" => KeyScope::All,
                "zone" => KeyScope::Zone,
                "cell" => KeyScope::Cell,
                _ => scope.expected(None, "all, zone or cell", KeyScope::All),
            };
            Idempotency::Keyed {
                scope,
                window: window.micros(),
            }
        }
        "single_shot" => Idempotency::NonIdempotent,
        _ => class.get("effect").expected(
            None,
            "free, guarded or single_shot",
            Idempotency::Idempotent,
        ),
    };
    let stretch = class.get("aim_stretch");
    let (aim, deadline) = (class.get("aim_us"), class.get("deadline_us"));
    if deadline.micros().0 == 0 {
        deadline.expected(None, "a time above 0", ());
    } else if aim
        .integer()
        .zip(deadline.integer())
        .is_some_and(|(aim, deadline)| aim > deadline)
    {
        aim.add_error("expected no more than deadline_us".into());
    }
    RequestClass {
        latency_objective: aim.micros(),
        objective_per_work: if stretch.value.is_some() {
            stretch.number_value()
        } else {
            0.0
        },
        idempotency,
        priority_weight: class.get("gain").number_value(),
        late_weight: class.get("late_worth").number_value(),
    }
}

/// Reads `locality`, if present; both of its keys are required.
fn locality(key: &Reader) -> Option<ZoneFailover> {
    key.value?;
    Some(ZoneFailover {
        unhealthy_threshold: key.get("leave_share").number_value(),
        recovery_ramp: key.get("ramp_us").micros(),
    })
}

/// Reads `locality.regions`, a table of zone names to region names. A new zone gets the next id.
fn regions(key: &Reader, names: &mut Names) -> BTreeMap<ZoneId, RegionId> {
    let Some(value) = key.value else {
        return BTreeMap::new();
    };
    let none = serde_json::Map::new();
    let table = key.expected(
        value.as_object(),
        "a table of zones and their regions",
        &none,
    );
    let mut known = Vec::new();
    let entry = |zone: &String| {
        let region = RegionId(1 + id_of(&mut known, key.get(zone).text()));
        (ZoneId(id_of(&mut names.zones, zone)), region)
    };
    table.keys().map(entry).collect()
}

/// The settings that only the network side of a proxy uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// The time after which a connection that is not established counts as failed.
    pub connect_timeout: Micros,
    /// The idle time after which backends close connections.
    pub conn_idle: Micros,
    /// The longest Retry-After delay that clients observe.
    pub max_retry_after: Micros,
    /// The longest time that a client waits, by class id.
    pub deadlines: Vec<Micros>,
}

/// Reads the network settings or returns the first error.
pub fn network(settings: &Value) -> Result<Network, String> {
    let root = Reader::root(settings);
    let read = network_of(&root);
    root.state.result(read)
}

/// Reads the network settings and records errors.
fn network_of(root: &Reader) -> Network {
    let limits = root.get("limits");
    let deadline = |class: &Reader| class.get("deadline_us").micros();
    Network {
        connect_timeout: limits.get("dial_timeout_us").micros(),
        conn_idle: limits.get("conn_idle_us").micros(),
        max_retry_after: limits.get("max_retry_after_us").micros(),
        deadlines: root.get("profiles").list().iter().map(deadline).collect(),
    }
}

/// A change from settings in force to new ones while requests are open.
#[derive(Clone, Debug)]
pub struct Change {
    /// The balancer's configuration, for [`Event::ConfigChanged`].
    pub config: Config,
    /// Whether each class id is in use.
    pub in_use: Vec<bool>,
    /// The new ids of classes whose rules changed, each with its previous id.
    pub successors: Vec<ClassSuccessor>,
    /// The names of all ids.
    pub names: Names,
    /// The network settings.
    pub network: Network,
    /// A summary of the changes to classes for the log.
    pub summary: String,
}

/// The stricter of the idempotency under which a request arrived and the one now in force.
fn stricter(arrived: Idempotency, now: Idempotency) -> Idempotency {
    let rank = |scope| match scope {
        KeyScope::Cell => 0,
        KeyScope::Zone => 1,
        KeyScope::All => 2,
    };
    match (arrived, now) {
        (arrived, Idempotency::Idempotent) => arrived,
        (
            Idempotency::Keyed {
                scope: first_scope,
                window: first_window,
            },
            Idempotency::Keyed {
                scope: second_scope,
                window: second_window,
            },
        ) => Idempotency::Keyed {
            scope: if rank(first_scope) <= rank(second_scope) {
                first_scope
            } else {
                second_scope
            },
            window: first_window.min(second_window),
        },
        // A request that arrived as idempotent has no idempotency key by which a backend could detect a repeat.
        _ => Idempotency::NonIdempotent,
    }
}

/// Reads settings that replace others. Classes and tenants keep their ids, except that a class whose rules changed gets
/// a new one.
pub fn change(
    settings: &Value,
    names: &Names,
    config: &Config,
    old_network: &Network,
) -> Result<Change, String> {
    let known_names = Names {
        classes: Vec::new(),
        tenants: Vec::new(),
        ..names.clone()
    };
    let root = Reader::root(settings);
    let read = read_with(&root, known_names);
    let (new_config, new_names) = root.state.result(read)?;
    let new_network = network(settings)?;
    new_config.clone().validated().map_err(|e| e.to_string())?;
    if new_config.discovery != config.discovery {
        return Err("discovery: cannot change without a restart".into());
    }
    let (mut classes, mut deadlines) = (
        config.classes.iter().cloned().collect::<Vec<_>>(),
        old_network.deadlines.clone(),
    );
    let mut class_names = names.classes.clone();
    class_names.iter_mut().for_each(|n| n.in_use = false);
    let (mut successors, mut summary) = (Vec::new(), Vec::new());
    for ((class, new_entry), deadline) in new_config
        .classes
        .iter()
        .zip(&new_names.classes)
        .zip(&new_network.deadlines)
    {
        let unchanged = |k: &usize| {
            class_names[*k].name == new_entry.name
                && classes[*k] == *class
                && deadlines[*k] == *deadline
        };
        let old = EntryName::find(&names.classes, &new_entry.name);
        let id = (0..classes.len()).find(unchanged).unwrap_or_else(|| {
            classes.push(class.clone());
            deadlines.push(*deadline);
            class_names.push(new_entry.clone());
            successors.extend(old.map(|old| ClassSuccessor {
                class: ClassId(classes.len() - 1),
                predecessor: ClassId(old),
            }));
            classes.len() - 1
        });
        class_names[id].in_use = true;
        if old != Some(id) {
            summary.push(format!(
                "{} {}",
                if old.is_some() { "changed" } else { "new" },
                new_entry.name
            ));
        }
    }
    // Requests open under a previous id obey the stricter of its rules and those now in force.
    for (id, class) in classes
        .iter_mut()
        .enumerate()
        .filter(|(n, _)| !class_names[*n].in_use)
    {
        let now = new_names
            .classes
            .iter()
            .position(|new_entry| new_entry.name == class_names[id].name);
        class.idempotency = now.map_or(class.idempotency, |at| {
            stricter(class.idempotency, new_config.classes[at].idempotency)
        });
    }
    let dropped = |n: &&EntryName| n.in_use && EntryName::find(&class_names, &n.name).is_none();
    summary.extend(
        names
            .classes
            .iter()
            .filter(dropped)
            .map(|n| format!("dropped {}", n.name)),
    );
    let (mut tenants, mut tenant_names) = (
        config.tenants.iter().cloned().collect::<Vec<_>>(),
        names.tenants.clone(),
    );
    tenant_names.iter_mut().for_each(|n| n.in_use = false);
    for (tenant, new_entry) in new_config.tenants.iter().zip(&new_names.tenants) {
        match tenant_names.iter().position(|n| n.name == new_entry.name) {
            Some(at) => (tenant_names[at].in_use, tenants[at]) = (true, tenant.clone()),
            None => {
                tenant_names.push(new_entry.clone());
                tenants.push(tenant.clone());
            }
        }
    }
    let in_use = class_names.iter().map(|n| n.in_use).collect();
    let summary = if summary.is_empty() {
        "classes unchanged".into()
    } else {
        summary.join(", ")
    };
    let names = Names {
        classes: class_names,
        tenants: tenant_names,
        ..new_names
    };
    let config = Config {
        classes: classes.into(),
        tenants: tenants.into(),
        ..new_config
    };
    Ok(Change {
        config,
        in_use,
        successors,
        names,
        network: Network {
            deadlines,
            ..new_network
        },
        summary,
    })
}
