//! The tables of classes and tenants against the plain way of reading and comparing (`plain`), which walks all of them.
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

const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", ""];
const READING: ReadOptions = ReadOptions {
    strict: true,
    compute_digest: true,
};
const ZONES: [&str; 4] = ["p", "q", "r", "s"];

fn route() -> impl Strategy<Value = Value> {
    let effects = [
        "free",
        "single_shot",
        "guarded zone 500",
        "guarded cell 900",
        "guarded all 200",
    ];
    let (name, effect) = (
        prop::sample::select(&NAMES[..5]),
        prop::sample::select(effects.to_vec()),
    );
    (name, effect, 1..3u64, 3..5u64, 0..2u32).prop_map(|(name, effect, aim, deadline, late)| {
        let words: Vec<&str> = effect.split(' ').collect();
        let (aim, deadline, late) = (aim * 100_000, deadline * 100_000, f64::from(late) / 2.0);
        let mut route = json!({"name": name, "aim_us": aim, "deadline_us": deadline, "effect": words[0],
            "gain": 1.5, "late_worth": late});
        if let [_, scope, window] = words[..] {
            route["key_scope"] = scope.into();
            route["window_us"] = window.parse::<u64>().unwrap().into();
        }
        route
    })
}

fn customer() -> impl Strategy<Value = Value> {
    let quota = prop::sample::select(vec![0.1, 0.7, 3.0, 1.0 / 3.0]);
    (prop::sample::select(&NAMES[..5]), quota)
        .prop_map(|(name, quota)| json!({"name": name, "quota_rps": quota}))
}

/// The first entry of each name, in the order that they came.
fn distinct(entries: Vec<Value>) -> Vec<Value> {
    let mut names = BTreeSet::new();
    entries
        .into_iter()
        .filter(|e| names.insert(e["name"].to_string()))
        .collect()
}

/// Sound settings; tenants may stand twice, which is no error.
fn sound() -> impl Strategy<Value = Value> {
    let (routes, customers) = (
        prop::collection::vec(route(), 1..9).prop_map(distinct),
        prop::collection::vec(customer(), 0..7),
    );
    let zones = prop::sample::subsequence(ZONES.to_vec(), 0..4);
    let regions = prop::option::of(prop::sample::subsequence(ZONES.to_vec(), 0..4));
    (routes, customers, zones, regions, 1..4u32).prop_map(|(routes, customers, zones, regions, most)| {
        let mut settings = json!({"blend":{"whole":0.6,"worst_class":0.2},"costs":{"cross_zone":0.0},
            "customers":customers,"discovery":"automatic","position":0,"group_size":3,"granularity_us":5000,
            "kinds":["big"],"my_zone":zones.last().unwrap_or(&"alone"),"zones":zones,
            "limits":{"cancel":true,"max_attempts":most,"parallel_tries":true,"dial_timeout_us":300000,
            "conn_idle_us":60000000,"max_retry_after_us":2000000},"over_share_worth":0.1,"profiles":routes,
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

/// What is done to a value somewhere inside.
#[derive(Clone, Debug)]
enum Flaw {
    Put(Value),
    Remove,
    Add,
}

fn flaw() -> impl Strategy<Value = (prop::sample::Index, Flaw)> {
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
    let put = prop::sample::select(values).prop_map(Flaw::Put);
    (
        any::<prop::sample::Index>(),
        prop_oneof![4 => put, 2 => Just(Flaw::Remove), 1 => Just(Flaw::Add)],
    )
}

/// JSON pointers of all values inside.
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

fn flawed(mut settings: Value, flaws: Vec<(prop::sample::Index, Flaw)>) -> Value {
    for (at, flaw) in flaws {
        let mut all = Vec::new();
        pointers(&settings, String::new(), &mut all);
        all.retain(|path| !path.is_empty());
        let Some(path) = all.get(at.index(all.len().max(1))).cloned() else {
            continue;
        };
        let (parent, key) = path.rsplit_once('/').unwrap();
        match (flaw, settings.pointer_mut(parent).unwrap()) {
            (Flaw::Put(value), parent) => match parent {
                Value::Array(items) => items[key.parse::<usize>().unwrap()] = value,
                parent => parent[key] = value,
            },
            (Flaw::Remove, Value::Object(keys)) => drop(keys.remove(key)),
            (Flaw::Remove, Value::Array(items)) => drop(items.remove(key.parse().unwrap())),
            (Flaw::Add, Value::Object(keys)) => {
                drop(keys.insert("extra".into(), json!({"deep": [1, 2]})));
            }
            _ => {}
        }
    }
    settings
}

/// Sound ones mostly, with up to three flaws else.
fn settings() -> impl Strategy<Value = Value> {
    let flaws = prop_oneof![3 => Just(Vec::new()), 1 => prop::collection::vec(flaw(), 1..4)];
    (sound(), flaws).prop_map(|(settings, flaws)| flawed(settings, flaws))
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
    Settings::from_value(settings, READING)
}

/// The change to these settings: the same whether their lists are read beside the tables in force or over them.
fn change(tables: &ActiveSettings, settings: &Value) -> Result<SettingsChange, String> {
    let (beside, over) = (
        read(settings),
        Settings::replacing(settings, READING, tables),
    );
    assert_eq!(
        (beside.errors(), beside.first_error()),
        (over.errors(), over.first_error())
    );
    assert_eq!(
        (beside.unknown_paths(), beside.digest(&[])),
        (over.unknown_paths(), over.digest(&[]))
    );
    let change = tables.change_to(&over);
    assert_eq!(tables.change_to(&beside), change);
    change.map_err(|error| error.to_string())
}

fn texts(errors: &[SettingsError]) -> Vec<String> {
    errors.iter().map(ToString::to_string).collect()
}

fn meet(names: &mut Names, zone: &str, kind: &str) {
    names.backend_for(
        &EndpointRow::new("b", zone, kind, Backend::default()),
        BackendId(0),
    );
}

/// What the plain way has in force.
struct Plain {
    config: Config,
    names: reference_settings::Names,
    network: reference_settings::Network,
    live: Vec<bool>,
}

impl Plain {
    fn same(&self, tables: &ActiveSettings) {
        assert_eq!(self.config, *tables.config);
        let sum: f64 = self.config.tenants.iter().map(|t| t.quota_per_s).sum();
        assert_eq!(tables.config.quota_sum_per_s(), sum);
        let network = (
            self.network.connect_timeout,
            self.network.conn_idle,
            self.network.max_retry_after,
        );
        let now = &tables.network;
        assert_eq!(
            network,
            (now.connect_timeout, now.conn_idle, now.max_retry_after)
        );
        assert!(self.network.deadlines.iter().eq(now.deadlines.iter()));
        for name in NAMES {
            assert_eq!(
                self.names.class(name),
                tables.names.class(name),
                "class {name}"
            );
            assert_eq!(
                self.names.tenant(name),
                tables.names.tenant(name),
                "tenant {name}"
            );
        }
        for number in 0..self.config.classes.len() + 1 {
            let number = ClassId(number);
            assert_eq!(
                self.names.class_name(number),
                tables.names.class_name(number)
            );
        }
        for number in (0..9).map(meadowproxy::ZoneId) {
            assert_eq!(self.names.zone_name(number), tables.names.zone_name(number));
        }
        for number in (0..9).map(meadowproxy::HardwareClassId) {
            assert_eq!(self.names.kind_name(number), tables.names.kind_name(number));
        }
    }

    /// Takes what the plain way makes of the settings, or its error; the other way's must be the same.
    fn take(&mut self, settings: &Value, change: &Result<SettingsChange, String>) {
        let plain = reference_settings::change(settings, &self.names, &self.config, &self.network);
        let (plain, change) = match (plain, change) {
            (Ok(plain), Ok(change)) => (plain, change),
            (plain, change) => {
                let (plain, change) = (plain.err(), change.as_ref().err());
                assert_eq!(plain.as_ref(), change);
                return;
            }
        };
        assert_eq!(
            (&plain.successors, &plain.told),
            (&change.successors, &change.summary)
        );
        let mut live = self.live.clone();
        live.resize(plain.live.len(), true);
        change
            .retired
            .iter()
            .for_each(|id| assert!(std::mem::replace(&mut live[id.0], false), "{id:?} was out"));
        change
            .reinstated
            .iter()
            .for_each(|id| assert!(!std::mem::replace(&mut live[id.0], true), "{id:?} was in"));
        assert_eq!(live, plain.live);
        (self.config, self.names, self.network, self.live) =
            (plain.config, plain.names, plain.network, live);
        self.same(&change.to);
    }
}

/// Any settings, sound or not: the same configuration or the same first error, the same errors in the same order, the
/// same keys that nothing reads, and the digest of the JSON.
#[test]
fn settings_read_as_the_plain_way_reads_them() {
    let run = runner(3000).run(&settings(), |settings| {
        let tables = read(&settings);
        assert_eq!(
            reference_settings::errors(&settings),
            texts(&tables.errors())
        );
        assert_eq!(
            reference_settings::unknown(&settings),
            tables.unknown_paths()
        );
        assert_eq!(
            blake3::hash(settings.to_string().as_bytes()).as_bytes(),
            &tables.digest(&[])
        );
        let mut shared = settings.clone();
        shared.as_object_mut().unwrap().remove("my_zone");
        assert_eq!(
            blake3::hash(shared.to_string().as_bytes()).as_bytes(),
            &tables.digest(&["my_zone"])
        );
        let first = reference_settings::read(&settings)
            .err()
            .or(reference_settings::network(&settings).err());
        assert_eq!(first, tables.first_error().map(|error| error.to_string()));
        match (reference_settings::read(&settings), tables.config()) {
            (Ok((plain, _)), Ok((config, _))) => assert_eq!(plain, config),
            (plain, config) => {
                let error = config.err().map(|error| error.to_string());
                assert_eq!(plain.err(), error);
            }
        }
        Ok(())
    });
    run.unwrap();
}

/// Settings that follow each other in any order, with zones and kinds that lists name between and during the readings.
#[test]
fn settings_follow_each_other_as_the_plain_way_has_them() {
    let met = || {
        (
            prop::option::of(prop::sample::select(ZONES.to_vec())),
            prop::sample::select(vec!["big", "small"]),
        )
    };
    let steps = prop::collection::vec((settings(), met(), met()), 1..12);
    let run = runner(1500).run(&(sound(), steps), |(first, steps)| {
        let mut tables = ActiveSettings::initial(&read(&first)).unwrap();
        let (config, names) = reference_settings::read(&first).unwrap();
        let (network, live) = (
            reference_settings::network(&first).unwrap(),
            vec![true; config.classes.len()],
        );
        let mut plain = Plain {
            config,
            names,
            network,
            live,
        };
        plain.same(&tables);
        for (settings, before, during) in steps {
            let mut see = |(zone, kind): (Option<&str>, &str), names: &mut Names| {
                if let Some(zone) = zone {
                    plain.names.meet(zone, kind);
                    meet(names, zone, kind);
                }
            };
            see(before, &mut tables.names);
            let mut now = tables.names.clone();
            let mut change = change(&tables, &settings);
            see(during, &mut now);
            if let Ok(change) = &mut change {
                change.renumber_zones_and_kinds(&now);
            }
            plain.take(&settings, &change);
            tables.names = now;
            if let Ok(change) = change {
                tables = change.to;
            }
        }
        Ok(())
    });
    run.unwrap();
}

/// The change from one file to the next as amendments in the order of the file: every entry that stands there, or only
/// those that differ, and what is gone.
fn amendments(before: &Value, after: &Value, all: bool) -> Vec<EntryChange> {
    let entries = |settings: &Value, list: &str| settings[list].as_array().unwrap().clone();
    let named = |list: &[Value], name: &Value| list.iter().find(|e| e["name"] == *name).cloned();
    let mut told = Vec::new();
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
        let differs = |e: &&Value| all || named(&was, &e["name"]).as_ref() != Some(*e);
        told.extend(is.iter().filter(differs).cloned().map(set));
        let gone = was.iter().filter(|e| named(&is, &e["name"]).is_none());
        told.extend(gone.map(|e| remove(e["name"].as_str().unwrap().into())));
    }
    told
}

/// A file changed as a whole and the same change entry by entry: equal tables, and the module is told the same. Named
/// alone, what differs comes to the same rules under every name. Not always to the same number: a whole file brings a
/// class back to an older number whose rules were made as strict as its own meanwhile, and who does not name it does not.
#[test]
fn amendments_come_to_what_the_whole_file_does() {
    let lists = || {
        (
            prop::collection::vec(route(), 1..9),
            prop::collection::vec(customer(), 0..7),
        )
    };
    let run = runner(1500).run(
        &(sound(), prop::collection::vec(lists(), 1..10)),
        |(first, steps)| {
            let mut file = first;
            file["customers"] = distinct(file["customers"].as_array().unwrap().clone()).into();
            let mut tables = ActiveSettings::initial(&read(&file)).unwrap();
            let mut by_difference = tables.clone();
            for (routes, customers) in steps {
                let mut next = file.clone();
                (next["profiles"], next["customers"]) =
                    (distinct(routes).into(), distinct(customers).into());
                let whole = change(&tables, &next).unwrap();
                let mut amended = tables
                    .change_entries(&amendments(&file, &next, true))
                    .unwrap();
                // The log's line says first what is set; the file's numbers order what was dropped, and here the calls do.
                let told = |change: &SettingsChange| {
                    change
                        .summary
                        .split(", ")
                        .map(String::from)
                        .collect::<BTreeSet<_>>()
                };
                assert_eq!(told(&whole), told(&amended));
                amended.summary = whole.summary.clone();
                assert_eq!(whole, amended);
                by_difference = by_difference
                    .change_entries(&amendments(&file, &next, false))
                    .unwrap()
                    .to;
                let rules = |tables: &ActiveSettings, name: &str| {
                    let number = tables.names.class(name)?.0;
                    Some((
                        tables.config.classes[number].clone(),
                        tables.network.deadlines[number],
                    ))
                };
                for name in NAMES {
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
                (tables, file) = (whole.to, next);
            }
            Ok(())
        },
    );
    run.unwrap();
}

/// Settings with no class and no tenant.
fn bare() -> Value {
    json!({"blend":{"whole":0.6,"worst_class":0.2},"costs":{"cross_zone":0.0},"customers":[],
        "discovery":"automatic","position":0,"group_size":1,"granularity_us":5000,"kinds":[],"zones":[],
        "limits":{"cancel":true,"max_attempts":1,"parallel_tries":true,"dial_timeout_us":1,"conn_idle_us":1,
        "max_retry_after_us":1},"over_share_worth":0.1,"profiles":[],
        "rules":{"cold_from":0.3,"fall_multiple":2.5,"ramp_time_us":1,"tip_after_us":1}})
}

/// Each of many names is found under its own number, and none that is not there: read at once, added one by one, and in
/// tables from before that share most with those.
#[test]
fn each_of_many_names_keeps_its_number() {
    let class = |n: usize| json!({"name":format!("c{n}"),"aim_us":1,"deadline_us":9,"effect":"free","gain":1.0,"late_worth":0.0});
    let tenant = |n: usize| json!({"name":format!("t{n}"),"quota_rps":1.0 + n as f64});
    let found = |tables: &ActiveSettings, many: usize| {
        assert_eq!(
            (tables.config.classes.len(), tables.config.tenants.len()),
            (many, many)
        );
        for n in 0..many {
            let (class, tenant) = (
                tables.names.class(&format!("c{n}")),
                tables.names.tenant(&format!("t{n}")),
            );
            assert_eq!((class, tenant), (Some(ClassId(n)), Some(TenantId(n))));
            assert_eq!(tables.names.class_name(ClassId(n)), Some(&*format!("c{n}")));
            assert_eq!(tables.config.tenants[n].quota_per_s, 1.0 + n as f64);
        }
        for n in many..many + 200 {
            assert_eq!(tables.names.class(&format!("c{n}")), None);
            assert_eq!(tables.names.tenant(&format!("t{n}")), None);
        }
    };
    for read_at_once in [1, 8, 9, 63, 1000, 3000] {
        let mut file = bare();
        file["profiles"] = (0..read_at_once).map(class).collect();
        file["customers"] = (0..read_at_once).map(tenant).collect();
        let first = ActiveSettings::initial(&read(&file)).unwrap();
        let mut tables = first.clone();
        for n in read_at_once..read_at_once + 100 {
            let both = [
                EntryChange::SetCustomer(tenant(n)),
                EntryChange::SetProfile(class(n)),
            ];
            tables = tables.change_entries(&both).unwrap().to;
        }
        found(&tables, read_at_once + 100);
        found(&first, read_at_once);
    }
}

/// A name that stands twice is told so whether its route breaks a bound or not, read beside the tables in force or over them.
#[test]
fn a_name_that_stands_twice_is_told_also_of_unsound_routes() {
    let route = |gain: f64| json!({"name":"a","aim_us":1,"deadline_us":9,"effect":"free","gain":gain,"late_worth":0.0});
    let mut file = bare();
    file["profiles"] = json!([route(1.0)]);
    let tables = ActiveSettings::initial(&read(&file)).unwrap();
    for gain in [0.0, 1.0, 2.0] {
        file["profiles"] = json!([route(gain), route(gain)]);
        let told = change(&tables, &file).unwrap_err();
        assert!(told.contains("duplicate name"), "{told}");
    }
}

/// Each error under its key, all of them at once, and nothing is kept of the good ones beside them.
#[test]
fn amendments_are_taken_whole_or_told_by_key() {
    let route = |name: &str, gain: f64| json!({"name":name,"aim_us":1,"deadline_us":9,"effect":"free","gain":gain,"late_worth":0.0});
    let mut first = bare();
    (first["profiles"], first["customers"]) = (
        json!([route("a", 1.0)]),
        json!([{"name":"t","quota_rps":1.0}]),
    );
    let tables = ActiveSettings::initial(&read(&first)).unwrap();
    let before = tables.clone();
    let mut late = route("c", 1.0);
    late["aim_us"] = json!(10);
    let bad = [
        EntryChange::SetCustomer(json!({"name":"u","quota_rps":2.0})),
        EntryChange::SetCustomer(json!({"name":"t","quota_rps":"many"})),
        EntryChange::SetCustomer(json!({"name":"v","quota_rps":-1.0})),
        EntryChange::SetCustomer(json!({"quota_rps":1.0})),
        EntryChange::SetProfile(route("b", 0.0)),
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
    assert_eq!(texts(&tables.change_entries(&bad).unwrap_err()), errors);
    let none = tables
        .change_entries(&[EntryChange::RemoveProfile("a".into())])
        .unwrap_err();
    assert_eq!(texts(&none), ["profiles: expected at least one class"]);
    assert_eq!(tables, before);
    let swap = [
        EntryChange::RemoveProfile("a".into()),
        EntryChange::SetProfile(route("b", 1.0)),
    ];
    let change = tables.change_entries(&swap).unwrap();
    assert_eq!(
        (change.summary.as_str(), change.retired),
        ("dropped a, new b", vec![ClassId(0)])
    );
    assert_eq!(
        (change.to.names.class("a"), change.to.names.class("b")),
        (None, Some(ClassId(1)))
    );
}
