//! Compares the settings' indexed tables of classes and tenants with a reference implementation (`reference_settings`)
//! that searches linearly: reading, replacing and changing settings give the same results and errors.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

mod reference_settings;

use meadowproxy::settings::{
    ActiveSettings, EndpointRow, EntryChange, Names, ReadOptions, Settings, SettingsChange,
    SettingsError,
};
use meadowproxy::{Backend, BackendId, ClassId, Config, TenantId};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use serde_json::{json, Value};
use std::collections::BTreeSet;

const ENTRY_NAMES: [&str; 6] = ["a", "b", "c", "d", "e", ""];
const READ_OPTIONS: ReadOptions = ReadOptions {
    strict: true,
    compute_digest: true,
};
const ZONES: [&str; 4] = ["p", "q", "r", "s"];

/// Entries of `profiles`.
fn profile() -> impl Strategy<Value = Value> {
    let effects = [
        "free",
        "single_shot",
        "guarded zone 500",
        "guarded cell 900",
        "guarded all 200",
    ];
    let (name, effect) = (
        prop::sample::select(&ENTRY_NAMES[..5]),
        prop::sample::select(effects.to_vec()),
    );
    (name, effect, 1..3u64, 3..5u64, 0..2u32).prop_map(|(name, effect, aim, deadline, late)| {
        let words: Vec<&str> = effect.split(' ').collect();
        let (aim, deadline, late) = (aim * 100_000, deadline * 100_000, f64::from(late) / 2.0);
        let mut profile = json!({"name": name, "aim_us": aim, "deadline_us": deadline, "effect": words[0],
            "gain": 1.5, "late_worth": late});
        if let [_, scope, window] = words[..] {
            profile["key_scope"] = scope.into();
            profile["window_us"] = window.parse::<u64>().unwrap().into();
        }
        profile
    })
}

/// Entries of `customers`.
fn customer() -> impl Strategy<Value = Value> {
    let quota = prop::sample::select(vec![0.1, 0.7, 3.0, 1.0 / 3.0]);
    (prop::sample::select(&ENTRY_NAMES[..5]), quota)
        .prop_map(|(name, quota)| json!({"name": name, "quota_rps": quota}))
}

/// The first entry of each name, in their order.
fn distinct(entries: Vec<Value>) -> Vec<Value> {
    let mut names = BTreeSet::new();
    entries
        .into_iter()
        .filter(|e| names.insert(e["name"].to_string()))
        .collect()
}

/// Valid settings. Tenants may occur twice, which is not an error.
fn valid_settings() -> impl Strategy<Value = Value> {
    let (profiles, customers) = (
        prop::collection::vec(profile(), 1..9).prop_map(distinct),
        prop::collection::vec(customer(), 0..7),
    );
    let zones = prop::sample::subsequence(ZONES.to_vec(), 0..4);
    let regions = prop::option::of(prop::sample::subsequence(ZONES.to_vec(), 0..4));
    (profiles, customers, zones, regions, 1..4u32).prop_map(|(profiles, customers, zones, regions, most)| {
        let mut settings = json!({"blend":{"whole":0.6,"worst_class":0.2},"costs":{"cross_zone":0.0},
            "customers":customers,"discovery":"automatic","position":0,"group_size":3,"granularity_us":5000,
            "kinds":["big"],"my_zone":zones.last().unwrap_or(&"alone"),"zones":zones,
            "limits":{"cancel":true,"max_attempts":most,"parallel_tries":true,"dial_timeout_us":300000,
            "conn_idle_us":60000000,"max_retry_after_us":2000000},"over_share_worth":0.1,"profiles":profiles,
            "rules":{"cold_from":0.3,"fall_multiple":2.5,"ramp_time_us":9000000,"tip_after_us":2000000}});
        if let Some(regions) = regions {
            let table: serde_json::Map<_, _> = regions
                .iter()
                .enumerate()
                .map(|(n, zone)| (zone.to_string(), json!(format!("g{}", n % 2))))
                .collect();
            settings["locality"] = json!({"leave_share":0.5,"ramp_us":5000000,"regions":table});
        }
        settings
    })
}

/// A change to a value somewhere in the settings.
#[derive(Clone, Debug)]
enum Mutation {
    Replace(Value),
    Remove,
    Add,
}

/// Mutations, each with the index that picks its value.
fn mutation() -> impl Strategy<Value = (prop::sample::Index, Mutation)> {
    let values = vec![
        json!(null),
        json!("a"),
        json!(-1),
        json!(0),
        json!(1.5),
        json!([]),
        json!({}),
        json!([{"x": 1}]),
    ];
    let replace = prop::sample::select(values).prop_map(Mutation::Replace);
    (
        any::<prop::sample::Index>(),
        prop_oneof![4 => replace, 2 => Just(Mutation::Remove), 1 => Just(Mutation::Add)],
    )
}

/// Collects the JSON pointers of all values.
fn pointers(value: &Value, at: String, all: &mut Vec<String>) {
    match value {
        Value::Object(keys) => keys
            .iter()
            .for_each(|(key, v)| pointers(v, format!("{at}/{key}"), all)),
        Value::Array(items) => items
            .iter()
            .enumerate()
            .for_each(|(n, v)| pointers(v, format!("{at}/{n}"), all)),
        _ => {}
    }
    all.push(at);
}

/// Applies the mutations to the settings.
fn mutated(mut settings: Value, mutations: Vec<(prop::sample::Index, Mutation)>) -> Value {
    for (at, mutation) in mutations {
        let mut all = Vec::new();
        pointers(&settings, String::new(), &mut all);
        all.retain(|path| !path.is_empty());
        let Some(path) = all.get(at.index(all.len().max(1))).cloned() else {
            continue;
        };
        let (parent, key) = path.rsplit_once('/').unwrap();
        match (mutation, settings.pointer_mut(parent).unwrap()) {
            (Mutation::Replace(value), parent) => match parent {
                Value::Array(items) => items[key.parse::<usize>().unwrap()] = value,
                parent => parent[key] = value,
            },
            (Mutation::Remove, Value::Object(keys)) => drop(keys.remove(key)),
            (Mutation::Remove, Value::Array(items)) => drop(items.remove(key.parse().unwrap())),
            (Mutation::Add, Value::Object(keys)) => {
                drop(keys.insert("extra".into(), json!({"deep": [1, 2]})));
            }
            _ => {}
        }
    }
    settings
}

/// Mostly valid settings; a quarter have up to three mutations.
fn settings() -> impl Strategy<Value = Value> {
    let mutations =
        prop_oneof![3 => Just(Vec::new()), 1 => prop::collection::vec(mutation(), 1..4)];
    (valid_settings(), mutations).prop_map(|(settings, mutations)| mutated(settings, mutations))
}

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

fn read(settings: &Value) -> Settings {
    Settings::from_value(settings, READ_OPTIONS)
}

/// The change to the settings, which must be the same whether or not they are read as a replacement of those in force.
fn change(active: &ActiveSettings, settings: &Value) -> Result<SettingsChange, String> {
    let (separate, replacing) = (
        read(settings),
        Settings::replacing(settings, READ_OPTIONS, active),
    );
    assert_eq!(
        (separate.errors(), separate.first_error()),
        (replacing.errors(), replacing.first_error())
    );
    assert_eq!(
        (separate.unknown_paths(), separate.digest(&[])),
        (replacing.unknown_paths(), replacing.digest(&[]))
    );
    let change = active.change_to(&replacing);
    assert_eq!(active.change_to(&separate), change);
    change.map_err(|error| error.to_string())
}

fn texts(errors: &[SettingsError]) -> Vec<String> {
    errors.iter().map(ToString::to_string).collect()
}

/// Adds the zone and kind of an endpoint list's row to the names.
fn add_zone_and_kind(names: &mut Names, zone: &str, kind: &str) {
    names.backend_for(
        &EndpointRow::new("b", zone, kind, Backend::default()),
        BackendId(0),
    );
}

/// The settings in force according to the reference implementation.
struct ReferenceState {
    config: Config,
    names: reference_settings::Names,
    network: reference_settings::Network,
    live: Vec<bool>,
}

impl ReferenceState {
    /// Checks that the settings in force equal those of the reference.
    fn assert_equals(&self, active: &ActiveSettings) {
        assert_eq!(self.config, *active.config);
        let sum: f64 = self.config.tenants.iter().map(|t| t.quota_per_s).sum();
        assert_eq!(active.config.quota_sum_per_s(), sum);
        let network = (
            self.network.connect_timeout,
            self.network.conn_idle,
            self.network.max_retry_after,
        );
        let now = &active.network;
        assert_eq!(
            network,
            (now.connect_timeout, now.conn_idle, now.max_retry_after)
        );
        assert!(self.network.deadlines.iter().eq(now.deadlines.iter()));
        for name in ENTRY_NAMES {
            assert_eq!(
                self.names.class(name),
                active.names.class(name),
                "class {name}"
            );
            assert_eq!(
                self.names.tenant(name),
                active.names.tenant(name),
                "tenant {name}"
            );
        }
        for number in 0..self.config.classes.len() + 1 {
            let number = ClassId(number);
            assert_eq!(
                self.names.class_name(number),
                active.names.class_name(number)
            );
        }
        for number in (0..9).map(meadowproxy::ZoneId) {
            assert_eq!(self.names.zone_name(number), active.names.zone_name(number));
        }
        for number in (0..9).map(meadowproxy::HardwareClassId) {
            assert_eq!(self.names.kind_name(number), active.names.kind_name(number));
        }
    }

    /// Changes to the settings with the reference implementation; the result or error must equal `change`.
    fn apply(&mut self, settings: &Value, change: &Result<SettingsChange, String>) {
        let reference =
            reference_settings::change(settings, &self.names, &self.config, &self.network);
        let (reference, change) = match (reference, change) {
            (Ok(reference), Ok(change)) => (reference, change),
            (reference, change) => {
                let (reference, change) = (reference.err(), change.as_ref().err());
                assert_eq!(reference.as_ref(), change);
                return;
            }
        };
        assert_eq!(
            (&reference.successors, &reference.summary),
            (&change.successors, &change.summary)
        );
        let mut live = self.live.clone();
        live.resize(reference.in_use.len(), true);
        change
            .retired
            .iter()
            .for_each(|id| assert!(std::mem::replace(&mut live[id.0], false), "{id:?} unused"));
        change
            .reinstated
            .iter()
            .for_each(|id| assert!(!std::mem::replace(&mut live[id.0], true), "{id:?} in use"));
        assert_eq!(live, reference.in_use);
        (self.config, self.names, self.network, self.live) =
            (reference.config, reference.names, reference.network, live);
        self.assert_equals(&change.to);
    }
}

/// Valid and invalid settings give the same configuration or first error, the same errors in the same order, the same
/// unknown keys, and the digest of the JSON.
#[test]
fn settings_are_read_as_by_the_reference() {
    let run = runner(3000).run(&settings(), |settings| {
        let active = read(&settings);
        assert_eq!(
            reference_settings::errors(&settings),
            texts(&active.errors())
        );
        assert_eq!(
            reference_settings::unknown(&settings),
            active.unknown_paths()
        );
        assert_eq!(
            blake3::hash(settings.to_string().as_bytes()).as_bytes(),
            &active.digest(&[])
        );
        let mut shared = settings.clone();
        shared.as_object_mut().unwrap().remove("my_zone");
        assert_eq!(
            blake3::hash(shared.to_string().as_bytes()).as_bytes(),
            &active.digest(&["my_zone"])
        );
        let first = reference_settings::read(&settings)
            .err()
            .or(reference_settings::network(&settings).err());
        assert_eq!(first, active.first_error().map(|error| error.to_string()));
        match (reference_settings::read(&settings), active.config()) {
            (Ok((reference, _)), Ok((config, _))) => assert_eq!(reference, config),
            (reference, config) => {
                let error = config.err().map(|error| error.to_string());
                assert_eq!(reference.err(), error);
            }
        }
        Ok(())
    });
    run.unwrap();
}

/// Settings replace each other in any order, while endpoint lists introduce zones and kinds between and during reads.
#[test]
fn settings_are_replaced_as_by_the_reference() {
    let listed = || {
        (
            prop::option::of(prop::sample::select(ZONES.to_vec())),
            prop::sample::select(vec!["big", "small"]),
        )
    };
    let steps = prop::collection::vec((settings(), listed(), listed()), 1..12);
    let run = runner(1500).run(&(valid_settings(), steps), |(first, steps)| {
        let mut active = ActiveSettings::initial(&read(&first)).unwrap();
        let (config, names) = reference_settings::read(&first).unwrap();
        let (network, live) = (
            reference_settings::network(&first).unwrap(),
            vec![true; config.classes.len()],
        );
        let mut reference = ReferenceState {
            config,
            names,
            network,
            live,
        };
        reference.assert_equals(&active);
        for (settings, before, during) in steps {
            let mut announce = |(zone, kind): (Option<&str>, &str), names: &mut Names| {
                if let Some(zone) = zone {
                    reference.names.add_zone_and_kind(zone, kind);
                    add_zone_and_kind(names, zone, kind);
                }
            };
            announce(before, &mut active.names);
            let mut now = active.names.clone();
            let mut change = change(&active, &settings);
            announce(during, &mut now);
            if let Ok(change) = &mut change {
                change.renumber_zones_and_kinds(&now);
            }
            reference.apply(&settings, &change);
            active.names = now;
            if let Ok(change) = change {
                active = change.to;
            }
        }
        Ok(())
    });
    run.unwrap();
}

/// The change from one file to the next as entry changes in the order of the file: sets all entries, or only those that
/// differ, and removes those that are gone.
fn entry_changes(before: &Value, after: &Value, all: bool) -> Vec<EntryChange> {
    let entries = |settings: &Value, list: &str| settings[list].as_array().unwrap().clone();
    let named = |list: &[Value], name: &Value| list.iter().find(|e| e["name"] == *name).cloned();
    let mut changes = Vec::new();
    type Make = (fn(Value) -> EntryChange, fn(String) -> EntryChange);
    let lists: [(&str, Make); 2] = [
        (
            "profiles",
            (EntryChange::SetProfile, EntryChange::RemoveProfile),
        ),
        (
            "customers",
            (EntryChange::SetCustomer, EntryChange::RemoveCustomer),
        ),
    ];
    for (list, (set, remove)) in lists {
        let (was, is) = (entries(before, list), entries(after, list));
        let is_changed = |e: &&Value| all || named(&was, &e["name"]).as_ref() != Some(*e);
        changes.extend(is.iter().filter(is_changed).cloned().map(set));
        let gone = was.iter().filter(|e| named(&is, &e["name"]).is_none());
        changes.extend(gone.map(|e| remove(e["name"].as_str().unwrap().into())));
    }
    changes
}

/// Replacing the file and changing all its entries give equal tables and equal changes for the balancer. Changing only
/// the entries that differ gives the same rules under every name, but not always the same class ids: the whole file can
/// return a class to an older id whose rules have become equally strict, which an unnamed entry can't.
#[test]
fn entry_changes_equal_replacing_the_file() {
    let lists = || {
        (
            prop::collection::vec(profile(), 1..9),
            prop::collection::vec(customer(), 0..7),
        )
    };
    let run = runner(1500).run(
        &(valid_settings(), prop::collection::vec(lists(), 1..10)),
        |(first, steps)| {
            let mut file = first;
            file["customers"] = distinct(file["customers"].as_array().unwrap().clone()).into();
            let mut active = ActiveSettings::initial(&read(&file)).unwrap();
            let mut by_difference = active.clone();
            for (profiles, customers) in steps {
                let mut next = file.clone();
                (next["profiles"], next["customers"]) =
                    (distinct(profiles).into(), distinct(customers).into());
                let whole = change(&active, &next).unwrap();
                let mut changed_by_entry = active
                    .change_entries(&entry_changes(&file, &next, true))
                    .unwrap();
                // The order in the summary differs: it lists set entries first, and then dropped ones in the order of
                // their ids or, for entry changes, of the calls.
                let summary_items = |change: &SettingsChange| {
                    change
                        .summary
                        .split(", ")
                        .map(String::from)
                        .collect::<BTreeSet<_>>()
                };
                assert_eq!(summary_items(&whole), summary_items(&changed_by_entry));
                changed_by_entry.summary = whole.summary.clone();
                assert_eq!(whole, changed_by_entry);
                by_difference = by_difference
                    .change_entries(&entry_changes(&file, &next, false))
                    .unwrap()
                    .to;
                let rules = |active: &ActiveSettings, name: &str| {
                    let number = active.names.class(name)?.0;
                    Some((
                        active.config.classes[number].clone(),
                        active.network.deadlines[number],
                    ))
                };
                for name in ENTRY_NAMES {
                    assert_eq!(
                        rules(&whole.to, name),
                        rules(&by_difference, name),
                        "{name}"
                    );
                    assert_eq!(
                        whole.to.names.tenant(name),
                        by_difference.names.tenant(name),
                        "{name}"
                    );
                }
                assert_eq!(whole.to.config.tenants, by_difference.config.tenants);
                assert_eq!(
                    whole.to.config.quota_sum_per_s(),
                    by_difference.config.quota_sum_per_s()
                );
                (active, file) = (whole.to, next);
            }
            Ok(())
        },
    );
    run.unwrap();
}

/// Settings without classes and tenants.
fn settings_without_entries() -> Value {
    json!({"blend":{"whole":0.6,"worst_class":0.2},"costs":{"cross_zone":0.0},"customers":[],
        "discovery":"automatic","position":0,"group_size":1,"granularity_us":5000,"kinds":[],"zones":[],
        "limits":{"cancel":true,"max_attempts":1,"parallel_tries":true,"dial_timeout_us":1,"conn_idle_us":1,
        "max_retry_after_us":1},"over_share_worth":0.1,"profiles":[],
        "rules":{"cold_from":0.3,"fall_multiple":2.5,"ramp_time_us":1,"tip_after_us":1}})
}

/// Each of many names keeps its id and missing names are not found: after reading all at once, after adding them one by
/// one, and in earlier tables that share most of their data with the later ones.
#[test]
fn each_of_many_names_keeps_its_id() {
    let class = |n: usize| json!({"name":format!("c{n}"),"aim_us":1,"deadline_us":9,"effect":"free","gain":1.0,"late_worth":0.0});
    let tenant = |n: usize| json!({"name":format!("t{n}"),"quota_rps":1.0 + n as f64});
    let assert_found = |active: &ActiveSettings, count: usize| {
        assert_eq!(
            (active.config.classes.len(), active.config.tenants.len()),
            (count, count)
        );
        for n in 0..count {
            let (class, tenant) = (
                active.names.class(&format!("c{n}")),
                active.names.tenant(&format!("t{n}")),
            );
            assert_eq!((class, tenant), (Some(ClassId(n)), Some(TenantId(n))));
            assert_eq!(active.names.class_name(ClassId(n)), Some(&*format!("c{n}")));
            assert_eq!(active.config.tenants[n].quota_per_s, 1.0 + n as f64);
        }
        for n in count..count + 200 {
            assert_eq!(active.names.class(&format!("c{n}")), None);
            assert_eq!(active.names.tenant(&format!("t{n}")), None);
        }
    };
    for read_at_once in [1, 8, 9, 63, 1000, 3000] {
        let mut file = settings_without_entries();
        file["profiles"] = (0..read_at_once).map(class).collect();
        file["customers"] = (0..read_at_once).map(tenant).collect();
        let first = ActiveSettings::initial(&read(&file)).unwrap();
        let mut active = first.clone();
        for n in read_at_once..read_at_once + 100 {
            let both = [
                EntryChange::SetCustomer(tenant(n)),
                EntryChange::SetProfile(class(n)),
            ];
            active = active.change_entries(&both).unwrap().to;
        }
        assert_found(&active, read_at_once + 100);
        assert_found(&first, read_at_once);
    }
}

/// A duplicate name is reported whether or not its class is within bounds.
#[test]
fn duplicate_names_are_reported_also_for_classes_out_of_bounds() {
    let profile = |gain: f64| json!({"name":"a","aim_us":1,"deadline_us":9,"effect":"free","gain":gain,"late_worth":0.0});
    let mut file = settings_without_entries();
    file["profiles"] = json!([profile(1.0)]);
    let active = ActiveSettings::initial(&read(&file)).unwrap();
    for gain in [0.0, 1.0, 2.0] {
        file["profiles"] = json!([profile(gain), profile(gain)]);
        let error = change(&active, &file).unwrap_err();
        assert!(error.contains("duplicate name"), "{error}");
    }
}

/// All errors are reported at once, each under its key, and none of the valid changes beside them is applied.
#[test]
fn entry_changes_apply_all_or_report_each_error_by_key() {
    let profile = |name: &str, gain: f64| json!({"name":name,"aim_us":1,"deadline_us":9,"effect":"free","gain":gain,"late_worth":0.0});
    let mut first = settings_without_entries();
    (first["profiles"], first["customers"]) = (
        json!([profile("a", 1.0)]),
        json!([{"name":"t","quota_rps":1.0}]),
    );
    let active = ActiveSettings::initial(&read(&first)).unwrap();
    let before = active.clone();
    let mut late = profile("c", 1.0);
    late["aim_us"] = json!(10);
    let invalid_changes = [
        EntryChange::SetCustomer(json!({"name":"u","quota_rps":2.0})),
        EntryChange::SetCustomer(json!({"name":"t","quota_rps":"many"})),
        EntryChange::SetCustomer(json!({"name":"v","quota_rps":-1.0})),
        EntryChange::SetCustomer(json!({"quota_rps":1.0})),
        EntryChange::SetProfile(profile("b", 0.0)),
        EntryChange::SetProfile(late),
        EntryChange::RemoveCustomer("x".into()),
        EntryChange::RemoveProfile("a".into()),
        EntryChange::RemoveProfile("a".into()),
    ];
    let errors = [
        "customers[t].quota_rps: expected a number, got \"many\"",
        "customers[v]: quota_per_s: expected a finite rate above 0",
        "customers[].name: missing, expected text",
        "profiles[b]: worth: expected a finite number above 0",
        "profiles[c].aim_us: expected no more than deadline_us",
        "customers[x]: no entry of this name exists",
        "profiles[a]: duplicate name",
    ];
    assert_eq!(
        texts(&active.change_entries(&invalid_changes).unwrap_err()),
        errors
    );
    let none = active
        .change_entries(&[EntryChange::RemoveProfile("a".into())])
        .unwrap_err();
    assert_eq!(texts(&none), ["profiles: expected at least one class"]);
    assert_eq!(active, before);
    let swap = [
        EntryChange::RemoveProfile("a".into()),
        EntryChange::SetProfile(profile("b", 1.0)),
    ];
    let change = active.change_entries(&swap).unwrap();
    assert_eq!(
        (change.summary.as_str(), change.retired),
        ("dropped a, new b", vec![ClassId(0)])
    );
    assert_eq!(
        (change.to.names.class("a"), change.to.names.class("b")),
        (None, Some(ClassId(1)))
    );
}
