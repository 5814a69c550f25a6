//! [`Settings`]: a settings document that was read, and the configuration built from it. This module maps the keys of
//! the document to the fields of [`Config`].

use super::active::{ActiveSettings, NetworkSettings};
use super::entries::{CUSTOMERS, PROFILES};
use super::error::SettingsError;
use super::field::{collect_leaf_paths, Diagnostics, Field};
use super::list_stream::extract_lists;
use super::lists::{ListNotes, ListedClasses, ListedTenants, LongLists, ReadOptions};
use super::name_table::NameTable;
use super::names::{ClassNames, Names, TenantNames};
use super::replacement::ListReplacement;
use crate::interface::{Config, ConfigError, Discovery, RegionId, ZoneFailover, ZoneId};
use serde_json::Value;
use std::collections::BTreeMap;

const ZONES: &str = "zones";

/// A settings document: its long lists, already converted, and the JSON of all other keys.
pub struct Settings {
    rest: Value,
    lists: LongLists,
}

/// A configuration and the entries of the long lists from which it was built.
pub(super) struct ParsedSettings {
    pub config: Config,
    pub classes: ListedClasses,
    pub tenants: ListedTenants,
}

impl Settings {
    /// Joins the parts of a document: `rest` is the document in which each list that `lists` received is empty, as
    /// [`extract_lists`] returns it.
    pub fn new(rest: Value, lists: LongLists) -> Settings {
        Settings { rest, lists }
    }

    /// Reads settings from a JSON value.
    pub fn from_value(settings: &Value, options: ReadOptions) -> Settings {
        Settings::with_lists(settings, LongLists::new(options))
    }

    /// Reads settings that replace those in force, for [`ActiveSettings::change_to`] of the same `base`.
    pub fn replacing(settings: &Value, options: ReadOptions, base: &ActiveSettings) -> Settings {
        Settings::with_lists(settings, LongLists::replacing(options, base))
    }

    fn with_lists(settings: &Value, mut lists: LongLists) -> Settings {
        // Reading from a value in memory can't fail.
        let rest = extract_lists(settings, &mut lists).unwrap_or_default();
        Settings { rest, lists }
    }

    fn root(&self) -> Field<'_> {
        let diagnostics = Diagnostics::new(self.lists.options.strict);
        Field::root(&self.rest, diagnostics)
    }

    /// Builds the load balancer's configuration and its names, or returns the first error.
    pub fn config(&self) -> Result<(Config, Names), SettingsError> {
        let mut names = Names::default();
        let parsed = self.parse(&mut names)?;
        let tenants = parsed.tenants;
        names.classes = ClassNames::from_names(parsed.classes.names);
        names.tenants = TenantNames::from_names(tenants.names, &tenants.name_numbers);
        Ok((parsed.config, names))
    }

    /// Builds the settings of the sockets, or returns the first error.
    pub fn network(&self) -> Result<NetworkSettings, SettingsError> {
        let root = self.root();
        let network = self.read_network(&root);
        root.diagnostics.check(network)
    }

    /// Builds the configuration, or returns the first error. `names` holds the zones and kinds that have numbers
    /// already; new ones are added to it.
    pub(super) fn parse(&self, names: &mut Names) -> Result<ParsedSettings, SettingsError> {
        let root = self.root();
        let parsed = self.read(&root, names);
        root.diagnostics.check(parsed)
    }

    /// The lists as a change of those in force, if the settings were read as a replacement.
    pub(super) fn replacement(&self) -> Option<&ListReplacement> {
        self.lists.replacement.as_deref()
    }

    /// Returns the first error of [`Settings::config`], or else of [`Settings::network`].
    pub fn first_error(&self) -> Option<SettingsError> {
        let root = self.root();
        self.read(&root, &mut Names::default());
        self.read_network(&root);
        root.diagnostics.check(()).err()
    }

    /// Returns all errors: first values of the wrong type or form, then values out of range.
    pub fn errors(&self) -> Vec<SettingsError> {
        let root = self.root();
        let parsed = self.read(&root, &mut Names::default());
        self.read_network(&root);
        let is_consequence = |error: &ConfigError| {
            error.field == "classes" && root.diagnostics.has_error_within(PROFILES)
        };
        let mut errors = root.diagnostics.errors();
        let out_of_range = parsed.config.errors().into_iter();
        let out_of_range = out_of_range.filter(|error| !is_consequence(error));
        errors.extend(out_of_range.map(SettingsError::from));
        errors
    }

    /// Returns the paths of values that have no meaning as settings. Requires [`ReadOptions::strict`].
    pub fn unknown_paths(&self) -> Vec<String> {
        let root = self.root();
        self.read(&root, &mut Names::default());
        self.read_network(&root);
        let mut unknown = Vec::new();
        for (key, value) in self.rest.as_object().into_iter().flatten() {
            if let Some(notes) = self.notes_of_list(key, value) {
                unknown.extend(notes.unread_paths.iter().cloned());
                continue;
            }
            let mut paths = Vec::new();
            collect_leaf_paths(key, value, &mut paths);
            unknown.extend(root.diagnostics.retain_unread(paths));
        }
        unknown
    }

    /// Returns the notes of the long list under this key, `None` if the key or its value is no long list.
    fn notes_of_list(&self, key: &str, value: &Value) -> Option<&ListNotes> {
        if !value.is_array() {
            return None;
        }
        match key {
            PROFILES => Some(&self.lists.class_notes),
            CUSTOMERS => Some(&self.lists.tenant_notes),
            _ => None,
        }
    }

    /// Returns the BLAKE3 hash of the settings without the keys `without`. They are hashed as JSON with sorted keys, so
    /// that equal settings have equal digests. Requires [`ReadOptions::compute_digest`].
    pub fn digest(&self, without: &[&str]) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        let Some(entries) = self.rest.as_object() else {
            hasher.update(self.rest.to_string().as_bytes());
            return *hasher.finalize().as_bytes();
        };
        hasher.update(b"{");
        let entries = entries.iter();
        let included = entries.filter(|(key, _)| !without.contains(&key.as_str()));
        for (index, (key, value)) in included.enumerate() {
            if index > 0 {
                hasher.update(b",");
            }
            hasher.update(Value::from(key.as_str()).to_string().as_bytes());
            hasher.update(b":");
            self.digest_value(key, value, &mut hasher);
        }
        hasher.update(b"}");
        *hasher.finalize().as_bytes()
    }

    fn digest_value(&self, key: &str, value: &Value, hasher: &mut blake3::Hasher) {
        let Some(notes) = self.notes_of_list(key, value) else {
            hasher.update(value.to_string().as_bytes());
            return;
        };
        hasher.update(b"[");
        for chunk in &notes.text_chunks {
            hasher.update(chunk.as_bytes());
        }
        hasher.update(b"]");
    }

    fn read(&self, root: &Field, names: &mut Names) -> ParsedSettings {
        let zone = read_own_zone(root, names);
        let classes = self.read_list(root, &self.lists.class_notes, &self.lists.classes);
        let tenants = self.read_list(root, &self.lists.tenant_notes, &self.lists.tenants);
        let limits = root.get("limits");
        let rules = root.get("rules");
        let objective = root.get("blend");
        let discovery = read_discovery(root, &rules);
        let config = Config {
            proxy_count: root.get("group_size").count(u32::MAX),
            proxy_index: root.get("position").count(0),
            zone,
            classes: classes.classes.clone(),
            tenants: tenants.tenants.clone(),
            over_quota_weight: root.get("over_share_worth").number(),
            overall_objective_weight: objective.get("whole").number(),
            worst_class_objective_weight: objective.get("worst_class").number(),
            cross_zone_cost: root.get("costs").get("cross_zone").number(),
            discovery,
            max_attempts: limits.get("max_attempts").count(1),
            cancellation: limits.get("cancel").flag(),
            hedging: limits.get("parallel_tries").flag(),
            timer_resolution: root.get("granularity_us").micros(),
            slow_start_min_readiness: rules.get("cold_from").number(),
            slow_start_duration: rules.get("ramp_time_us").micros(),
            overload_multiple: rules.get("fall_multiple").number(),
            overload_window: rules.get("tip_after_us").micros(),
            zone_failover: read_zone_failover(&root.get("locality")),
            regions: read_regions(&root.get("locality").get("regions"), names),
        };
        ParsedSettings {
            config,
            classes,
            tenants,
        }
    }

    fn read_network(&self, root: &Field) -> NetworkSettings {
        let limits = root.get("limits");
        let classes = self.read_list(&self.root(), &self.lists.class_notes, &self.lists.classes);
        NetworkSettings {
            connect_timeout: limits.get("dial_timeout_us").micros(),
            conn_idle: limits.get("conn_idle_us").micros(),
            max_retry_after: limits.get("max_retry_after_us").micros(),
            deadlines: classes.deadlines,
        }
    }

    /// Returns the entries of a long list, none if the settings have no list under its key.
    fn read_list<T: Clone + Default>(&self, root: &Field, notes: &ListNotes, entries: &T) -> T {
        // Called for its error if the key is missing or its value is no list.
        root.get(notes.name).list();
        if !self.rest[notes.name].is_array() {
            return T::default();
        }
        root.diagnostics.append(&notes.diagnostics);
        entries.clone()
    }
}

impl ActiveSettings {
    /// Builds the settings in force at the start of the process, or returns the first error.
    pub fn initial(settings: &Settings) -> Result<ActiveSettings, SettingsError> {
        let (config, names) = settings.config()?;
        let network = settings.network()?;
        Ok(ActiveSettings {
            config: config.validated()?,
            names,
            network,
        })
    }
}

/// Reads the proxy's own zone. Numbers the zones and kinds in the order in which the settings list them.
fn read_own_zone(root: &Field, names: &mut Names) -> ZoneId {
    let zones = root.get(ZONES).list();
    for zone in &zones {
        names.zones.get_or_insert(zone.text());
    }
    for kind in root.get("kinds").list() {
        names.kinds.get_or_insert(kind.text());
    }
    let own_zone = root.get("my_zone");
    let name = own_zone.value.and_then(Value::as_str);
    let zones_unreadable = root.diagnostics.has_error_within(ZONES);
    let number = if zones.is_empty() && !zones_unreadable {
        // With an empty list of zones, `my_zone` is the only one and may have any name.
        Some(names.zones.get_or_insert(name.unwrap_or_default()))
    } else {
        name.and_then(|name| names.zones.get(name))
    };
    if number.is_some() || !zones_unreadable {
        own_zone.or_default(number, "one of zones", 0);
    }
    ZoneId(number.unwrap_or(0))
}

fn read_discovery(root: &Field, rules: &Field) -> Discovery {
    let staleness_limit = rules.get("must_ask_in_us");
    let discovery = root.get("discovery");
    match discovery.text() {
        "automatic" => Discovery::Push,
        "subscribe" => Discovery::Poll {
            staleness_limit: staleness_limit.micros(),
        },
        _ => discovery.or_default(None, "automatic or subscribe", Discovery::Push),
    }
}

/// Reads `locality`, which is optional; if it is present, both of its keys are required.
fn read_zone_failover(locality: &Field) -> Option<ZoneFailover> {
    locality.value?;
    Some(ZoneFailover {
        unhealthy_threshold: locality.get("leave_share").number(),
        recovery_ramp: locality.get("ramp_us").micros(),
    })
}

/// Reads `locality.regions`, a table of region names by zone name. A zone that is new here gets its number here.
fn read_regions(regions: &Field, names: &mut Names) -> BTreeMap<ZoneId, RegionId> {
    let Some(value) = regions.value else {
        return BTreeMap::new();
    };
    let empty = serde_json::Map::new();
    let table = value.as_object();
    let table = regions.or_default(table, "a table of zones and their regions", &empty);
    let mut region_names = NameTable::default();
    let mut by_zone = BTreeMap::new();
    for zone in table.keys() {
        let region = region_names.get_or_insert(regions.get(zone).text());
        let zone = names.zones.get_or_insert(zone);
        // Region 0 holds all zones that the table doesn't list.
        by_zone.insert(ZoneId(zone), RegionId(1 + region));
    }
    by_zone
}
