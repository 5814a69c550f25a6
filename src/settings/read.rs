//! From the settings' values to the module's configuration, its names, and the sockets' part.

use super::change::Reread;
use super::key::{Key, Notes};
use super::lists::{
    leaves, Customer, Customers, Lists, Long, Reading, Route, Routes, CUSTOMERS, PROFILES,
};
use super::names::{Classes, Names, Tenants};
use super::numbered::Numbered;
use super::sift::sift;
use super::{InForce, Network};
use crate::interface::{
    Config, ConfigError, Discovery, Idempotency, KeyScope, RegionId, RequestClass, Tenant,
    ZoneFailover, ZoneId,
};
use serde_json::Value;
use std::collections::BTreeMap;

/// A configuration and the entries that it was made of.
pub(super) struct Read {
    pub config: Config,
    pub routes: Routes,
    pub customers: Customers,
}

/// Settings whose long lists have been read, and the values of all else.
pub struct Settings {
    rest: Value,
    lists: Lists,
}

impl Settings {
    /// `rest`: the settings with an empty list in the place of each that `lists` took.
    pub fn new(rest: Value, lists: Lists) -> Settings {
        Settings { rest, lists }
    }

    /// The same from the whole of them.
    pub fn of(whole: &Value, reading: Reading) -> Settings {
        Settings::sifted(whole, Lists::new(reading))
    }

    /// The same of settings that are to follow those in force, for [`InForce::change`] of the same `base`.
    pub fn over(whole: &Value, reading: Reading, base: &InForce) -> Settings {
        Settings::sifted(whole, Lists::over(reading, base))
    }

    fn sifted(whole: &Value, mut lists: Lists) -> Settings {
        // A value that is at hand can always be walked through.
        let rest = sift(whole, &mut lists).unwrap_or_default();
        Settings { rest, lists }
    }

    fn root(&self) -> Key<'_> {
        Key::root(&self.rest, Notes::new(self.lists.reading.strict))
    }

    /// The list, where the settings hold one of that name.
    fn list<T: Clone + Default>(&self, root: &Key, list: &Long, read: &T) -> T {
        root.get(list.name).list(); // missing, or no list: noted there
        if !self.rest[list.name].is_array() {
            return T::default();
        }
        root.notes.join(&list.notes);
        read.clone()
    }

    /// The module's configuration and the names that go with it, or what is wrong first.
    pub fn config(&self) -> Result<(Config, Names), String> {
        let root = self.root();
        let mut names = Names::default();
        let read = self.read(&root, &mut names);
        let Read {
            config,
            routes,
            customers,
        } = root.notes.sound(read)?;
        names.classes = Classes::first(routes.names);
        names.tenants = Tenants::first(customers.names, &customers.of);
        Ok((config, names))
    }

    /// The part that concerns sockets, or what is wrong with it first.
    pub fn network(&self) -> Result<Network, String> {
        let root = self.root();
        let read = self.read_network(&root);
        root.notes.sound(read)
    }

    /// What [`Settings::config`] or [`Settings::network`] would say is wrong, first of the one and then of the other.
    pub fn first_error(&self) -> Option<String> {
        let root = self.root();
        self.read(&root, &mut Names::default());
        self.read_network(&root);
        root.notes.sound(()).err()
    }

    /// All that is wrong, one text each: values that cannot be read, then such as break a bound.
    pub fn errors(&self) -> Vec<String> {
        let root = self.root();
        let Read { config, .. } = self.read(&root, &mut Names::default());
        self.read_network(&root);
        let follows = |e: &ConfigError| e.field == "classes" && root.notes.misread(PROFILES);
        let bounds = config
            .errors()
            .into_iter()
            .filter(|e| !follows(e))
            .map(|e| e.to_string());
        root.notes.texts().into_iter().chain(bounds).collect()
    }

    /// Paths of values that nothing reads; known only to a strict [`Reading`].
    pub fn unknown(&self) -> Vec<String> {
        let root = self.root();
        self.read(&root, &mut Names::default());
        self.read_network(&root);
        let mut all = Vec::new();
        for (key, value) in self.rest.as_object().into_iter().flatten() {
            match key.as_str() {
                PROFILES if value.is_array() => {
                    all.extend(self.lists.profiles.unread.iter().cloned());
                }
                CUSTOMERS if value.is_array() => {
                    all.extend(self.lists.customers.unread.iter().cloned());
                }
                _ => {
                    let mut paths = Vec::new();
                    leaves(key, value, &mut paths);
                    all.extend(root.notes.unread(paths));
                }
            }
        }
        all
    }

    /// BLAKE3 of the settings as JSON with ordered keys, so that equal settings have equal digests; the keys `without`
    /// are left out. Known only to a digested [`Reading`].
    pub fn digest(&self, without: &[&str]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        let mut add = |text: &str| {
            hasher.update(text.as_bytes());
        };
        let Some(keys) = self.rest.as_object() else {
            add(&self.rest.to_string());
            return *hasher.finalize().as_bytes();
        };
        add("{");
        let kept = keys
            .iter()
            .filter(|(key, _)| !without.contains(&key.as_str()));
        for (n, (key, value)) in kept.enumerate() {
            add(if n > 0 { "," } else { "" });
            add(&Value::from(key.as_str()).to_string());
            add(":");
            let pieces = match key.as_str() {
                PROFILES if value.is_array() => &self.lists.profiles.text,
                CUSTOMERS if value.is_array() => &self.lists.customers.text,
                _ => {
                    add(&value.to_string());
                    continue;
                }
            };
            add("[");
            pieces.iter().for_each(|piece| add(piece));
            add("]");
        }
        add("}");
        *hasher.finalize().as_bytes()
    }

    fn read(&self, root: &Key, names: &mut Names) -> Read {
        let (zones, listed) = (root.get("zones"), root.get("zones").list());
        for zone in &listed {
            names.zones.number(zone.text());
        }
        for kind in root.get("kinds").list() {
            names.kinds.number(kind.text());
        }
        let my_zone = root.get("my_zone");
        let zone = my_zone.value.and_then(Value::as_str);
        let zones_unread = zones.notes.misread("zones");
        let zone = match listed.is_empty() && !zones_unread {
            // Without zones it has one to itself, whatever its name.
            true => Some(names.zones.number(zone.unwrap_or_default())),
            false => zone.and_then(|name| names.zones.get(name)),
        };
        if zone.is_some() || !zones_unread {
            my_zone.want(zone, "one of zones", 0);
        }
        let routes = self.list(root, &self.lists.profiles, &self.lists.routes);
        let customers = self.list(root, &self.lists.customers, &self.lists.tenants);
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
            zone: ZoneId(zone.unwrap_or(0)),
            classes: routes.classes.clone(),
            tenants: customers.tenants.clone(),
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
            slow_start: rules.get("ramp_time_us").micros(),
            overload_multiple: rules.get("fall_multiple").real(),
            overload_window: rules.get("tip_after_us").micros(),
            zone_failover: locality(&root.get("locality")),
            regions: regions(&root.get("locality").get("regions"), names),
        };
        Read {
            config,
            routes,
            customers,
        }
    }

    fn read_network(&self, root: &Key) -> Network {
        let limits = root.get("limits");
        let routes = self.list(&self.root(), &self.lists.profiles, &self.lists.routes);
        Network {
            connect_timeout: limits.get("dial_timeout_us").micros(),
            conn_idle: limits.get("conn_idle_us").micros(),
            max_retry_after: limits.get("max_retry_after_us").micros(),
            deadlines: routes.deadlines,
        }
    }

    /// The lists as they came, where they came over those in force.
    pub(super) fn reread(&self) -> Option<&Reread> {
        self.lists.over.as_deref()
    }

    /// What they come to, or what is wrong first. `names`: the places and kinds that have numbers already.
    pub(super) fn sound(&self, names: &mut Names) -> Result<Read, String> {
        let root = self.root();
        let read = self.read(&root, names);
        root.notes.sound(read)
    }
}

/// One of `profiles`; `new` tells whether its name stands there for the first time.
pub(super) fn route(key: &Key, new: impl FnOnce(&str) -> bool) -> Route {
    let name = key.get("name");
    if !new(name.text()) {
        name.wrong("the name stands twice".into());
    }
    let (scope, window) = (key.get("key_scope"), key.get("window_us"));
    let effect = match key.get("effect").text() {
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
        _ => key.get("effect").want(
            None,
            "free, guarded or single_shot",
            Idempotency::Idempotent,
        ),
    };
    let stretch = key.get("aim_stretch");
    let (aim, deadline) = (key.get("aim_us"), key.get("deadline_us"));
    if deadline.micros().0 == 0 {
        deadline.want(None, "a time above 0", ());
    } else if aim
        .whole()
        .zip(deadline.whole())
        .is_some_and(|(aim, deadline)| aim > deadline)
    {
        aim.wrong("expected no more than deadline_us".into());
    }
    let class = RequestClass {
        latency_objective: aim.micros(),
        objective_per_work: if stretch.value.is_some() {
            stretch.real()
        } else {
            0.0
        },
        idempotency: effect,
        priority_weight: key.get("gain").real(),
        late_weight: key.get("late_worth").real(),
    };
    Route {
        name: name.text().into(),
        class,
        deadline: deadline.micros(),
    }
}

/// One of `customers`.
pub(super) fn customer(key: &Key) -> Customer {
    let name = key.get("name").text().into();
    Customer {
        name,
        tenant: Tenant {
            quota_per_s: key.get("quota_rps").real(),
        },
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
    let mut known = Numbered::default();
    let entry = |zone: &String| {
        let region = RegionId(1 + known.number(key.get(zone).text()));
        (ZoneId(names.zones.number(zone)), region)
    };
    table.keys().map(entry).collect()
}
