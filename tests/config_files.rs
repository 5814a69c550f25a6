//! Checks with a model checker which entries of the replicated configuration override a proxy's own file. Files of any
//! version are rolled out and back in any order, while changes are committed, applied one by one, fetched in one step
//! and compacted into the files. [`Overrides`] and [`Table`] are the production code.

use meadowproxy::fleet::config::{
    Change, Edit, Entry, Key, Kind, Overrides, PositionRange, Table, Value,
};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeMap;

/// Proxies affect each other only through the chain of changes, so a single one covers a fleet of any size.
const PROXIES: usize = 1;
/// The maximum number of changes.
const CHANGES: usize = 4;

const FROM_CHAIN: &str =
    "the configuration in force is one that the chain has had, with each change complete";
const IS_NEWEST: &str = "the configuration in force is the newer one of the table's and the file's";
const NEVER_REVERTS: &str =
    "the configuration in force never returns to an earlier one while a proxy runs";
const ENTRY_DROPPED: &str = "an entry may be dropped that an older file lacks";
const FILE_TOO_OLD: &str = "a proxy may be started with a file that is too old";
const FILE_REJECTED: &str = "a file may be rejected";

/// A fault that is built into the model, so that the checker has to find its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A file claims to contain one more change than it does.
    ClaimsTooMuch,
    /// Files state no version, so all entries of the table override them.
    NoFileVersion,
    /// A file is accepted even if it lacks changes that are only in files.
    NoFileCheck,
    /// Entries override even a file that lacks changes compacted before them.
    OverridesOldFile,
}

/// The model: one chain of changes, and proxies with files of any version.
#[derive(Clone)]
struct OverrideModel {
    fault: Fault,
}

/// A configuration: each tenant's value is the version of the change that set it.
type Configuration = BTreeMap<String, u64>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proxy {
    table_version: u64,
    overrides: Overrides,
    /// The version up to which the file in force contains all changes.
    file: u64,
    /// Whether this proxy knows the newest version of the chain.
    knows_newest: bool,
    in_force: Configuration,
    /// Edits that are not in force, as the file is too old for them.
    waiting: Vec<Edit>,
    /// The version of the configuration in force, once the proxy knows the newest version.
    version_in_force: u64,
    /// Whether that version ever decreased.
    has_reverted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    chain: Vec<Change>,
    proxies: Vec<Proxy>,
    /// Whether a compaction ever dropped entries that a proxy's file lacked.
    entry_dropped: bool,
    /// Whether a proxy's file ever lacked compacted changes.
    file_too_old: bool,
    /// Whether a file was ever rejected.
    file_rejected: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// A change sets both tenants.
    ChangeBoth,
    /// A change sets the first tenant.
    ChangeFirst,
    /// A change compacts the entries up to this version into the files.
    Compact(u64),
    /// A proxy's table applies the next change.
    ApplyNext(usize),
    /// A proxy's table is replaced by the newest one in one step.
    FetchTable(usize),
    /// A proxy learns the newest version.
    LearnNewest(usize),
    /// A proxy reads a file that contains the changes up to this version.
    ReadFile(usize, u64),
    /// A proxy restarts with a file that contains the changes up to this version.
    Restart(usize, u64),
}

/// An edit that sets a tenant to the version of its change.
fn set(name: &str, version: u64) -> Edit {
    Edit {
        key: Key {
            kind: Kind::Tenant,
            name: name.into(),
        },
        value: Value::Set(vec![version as u8]),
    }
}

/// Applies an edit to a configuration.
fn apply_edit(state: &mut Configuration, edit: &Edit) {
    if let Value::Set(bytes) = &edit.value {
        state.insert(edit.key.name.clone(), u64::from(bytes[0]));
    }
}

impl World {
    fn newest(&self) -> u64 {
        self.chain.len() as u64
    }

    /// The configuration that results from the initial files and all changes up to `version`.
    fn configuration(&self, version: u64) -> Configuration {
        let mut state = Configuration::from([("a".into(), 0), ("b".into(), 0)]);
        let edits = self.chain[..version as usize]
            .iter()
            .flat_map(|change| &change.edits);
        edits
            .filter(|edit| edit.key.kind == Kind::Tenant)
            .for_each(|edit| apply_edit(&mut state, edit));
        state
    }

    /// The latest version of the chain with this configuration, if there is any.
    fn version_of(&self, state: &Configuration) -> Option<u64> {
        (0..=self.newest())
            .rev()
            .find(|version| self.configuration(*version) == *state)
    }

    /// The table of a replica that applied all changes up to `version`.
    fn table(&self, version: u64) -> Table {
        let mut table = Table::default();
        self.chain[..version as usize]
            .iter()
            .for_each(|change| assert!(table.apply(change).is_ok()));
        table
    }

    /// Adds a change to the chain.
    fn commit(&mut self, edits: Vec<Edit>) {
        let previous = self.newest();
        self.chain.push(Change {
            version: previous + 1,
            previous,
            id: previous,
            edits,
        });
    }
}

impl OverrideModel {
    /// The version that a file claims to contain all changes up to.
    fn claimed_version(&self, version: u64) -> u64 {
        match self.fault {
            Fault::ClaimsTooMuch => version + 1,
            Fault::NoFileVersion => 0,
            _ => version,
        }
    }

    /// A proxy that starts with an empty table and the file of `version`.
    fn start_proxy(&self, world: &World, version: u64) -> Proxy {
        let overrides = Overrides::new(self.claimed_version(version));
        let (in_force, waiting) = (world.configuration(version), Vec::new());
        Proxy {
            table_version: 0,
            overrides,
            file: version,
            knows_newest: false,
            in_force,
            waiting,
            version_in_force: 0,
            has_reverted: false,
        }
    }

    /// A proxy's table changes to `version`, with these entries changed.
    fn apply(&self, world: &mut World, p: usize, version: u64, entries: Vec<Entry>) {
        let proxy = &mut world.proxies[p];
        proxy.table_version = version;
        let over = proxy.overrides.apply(version, entries);
        proxy.waiting.extend(over);
        world.file_too_old |= proxy.overrides.required_file_version().is_some();
        if proxy.overrides.required_file_version().is_none()
            || self.fault == Fault::OverridesOldFile
        {
            for edit in std::mem::take(&mut proxy.waiting) {
                apply_edit(&mut proxy.in_force, &edit);
            }
        }
    }

    /// A proxy reads the file of `version`, and puts it in force unless it rejects it.
    fn read_file(&self, world: &mut World, p: usize, version: u64) {
        let (newest, state) = (world.newest(), world.configuration(version));
        let proxy = &mut world.proxies[p];
        let known = proxy.knows_newest.then_some(newest);
        let claimed = self.claimed_version(version);
        if proxy.overrides.check_file(claimed, known).is_err() && self.fault != Fault::NoFileCheck {
            world.file_rejected = true;
            return;
        }
        proxy.overrides.set_file(claimed, known);
        proxy.waiting.clear();
        (proxy.file, proxy.in_force) = (version, state);
        for edit in proxy.overrides.entries_over(claimed) {
            apply_edit(&mut proxy.in_force, &edit);
        }
    }
}

impl Model for OverrideModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let (chain, proxies) = Default::default();
        let mut world = World {
            chain,
            proxies,
            entry_dropped: false,
            file_too_old: false,
            file_rejected: false,
        };
        world.proxies = (0..PROXIES).map(|_| self.start_proxy(&world, 0)).collect();
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        let newest = world.newest();
        if world.chain.len() < CHANGES {
            actions.extend([Step::ChangeBoth, Step::ChangeFirst]);
            actions.extend((1..=newest).map(Step::Compact));
        }
        for p in 0..PROXIES {
            if world.proxies[p].table_version < newest {
                actions.extend([Step::ApplyNext(p), Step::FetchTable(p)]);
            }
            actions.push(Step::LearnNewest(p));
            for version in 0..=newest {
                actions.extend([Step::ReadFile(p, version), Step::Restart(p, version)]);
            }
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        let (version, mut fresh) = (world.newest() + 1, false);
        match step {
            Step::ChangeBoth => world.commit(vec![set("a", version), set("b", version)]),
            Step::ChangeFirst => world.commit(vec![set("a", version)]),
            Step::Compact(compacted_version) => {
                let so_far = world.table(world.newest()).compacted_version();
                if compacted_version <= so_far {
                    return None;
                }
                world.commit(vec![Edit::compact_up_to(compacted_version)]);
                world.entry_dropped |= world
                    .proxies
                    .iter()
                    .any(|proxy| proxy.file < compacted_version);
            }
            Step::ApplyNext(p) => {
                let change = world.chain[world.proxies[p].table_version as usize].clone();
                self.apply(&mut world, p, change.version, change.entries());
            }
            Step::FetchTable(p) => {
                let (mine, theirs) = (
                    world.table(world.proxies[p].table_version),
                    world.table(world.newest()),
                );
                let entries = theirs
                    .range(PositionRange::ALL)
                    .filter(|(at, entry)| mine.get(*at) != Some(entry));
                let entries = entries.map(|(_, entry)| entry.clone()).collect();
                let newest = world.newest();
                self.apply(&mut world, p, newest, entries);
            }
            Step::LearnNewest(p) => {
                let newest = world.newest();
                let proxy = &mut world.proxies[p];
                proxy.knows_newest = true;
                if newest > 0 {
                    proxy.overrides.confirm_file(newest).ok()?;
                }
            }
            Step::ReadFile(p, version) => self.read_file(&mut world, p, version),
            Step::Restart(p, version) => {
                fresh = true;
                world.proxies[p] = self.start_proxy(&world, version);
            }
        }
        for p in 0..PROXIES {
            let now = world
                .version_of(&world.proxies[p].in_force)
                .unwrap_or_default();
            let proxy = &mut world.proxies[p];
            let counts = proxy.knows_newest && !fresh;
            proxy.has_reverted |= counts && now < proxy.version_in_force;
            proxy.version_in_force = if counts { now } else { 0 };
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(FROM_CHAIN, |_, world: &World| {
                world
                    .proxies
                    .iter()
                    .all(|proxy| world.version_of(&proxy.in_force).is_some())
            }),
            Property::always(IS_NEWEST, |_, world: &World| {
                let is_newest = |proxy: &Proxy| match proxy.overrides.required_file_version() {
                    None => {
                        world.configuration(proxy.table_version.max(proxy.file)) == proxy.in_force
                    }
                    Some(_) => true,
                };
                world.proxies.iter().all(is_newest)
            }),
            Property::always(NEVER_REVERTS, |_, world: &World| {
                !world.proxies.iter().any(|proxy| proxy.has_reverted)
            }),
            Property::sometimes(ENTRY_DROPPED, |_, world: &World| world.entry_dropped),
            Property::sometimes(FILE_TOO_OLD, |_, world: &World| world.file_too_old),
            Property::sometimes(FILE_REJECTED, |_, world: &World| world.file_rejected),
        ]
    }
}

/// Searches the model breadth-first. Returns the number of states, and for each violated or reached property the steps
/// to it.
fn search(
    fault: Fault,
    threads: usize,
    until: HasDiscoveries,
) -> (usize, BTreeMap<&'static str, Vec<Step>>) {
    let checker = OverrideModel { fault }
        .checker()
        .threads(threads)
        .finish_when(until)
        .spawn_bfs()
        .join();
    let found = checker
        .discoveries()
        .into_iter()
        .map(|(name, path)| (name, path.into_actions()))
        .collect();
    (checker.unique_state_count(), found)
}

#[test]
fn with_any_files_a_configuration_of_the_chain_is_in_force() {
    let (states, found) = search(Fault::None, 2, HasDiscoveries::All);
    println!("{states} states");
    assert_eq!(
        found.keys().copied().collect::<Vec<_>>(),
        [FILE_REJECTED, FILE_TOO_OLD, ENTRY_DROPPED],
        "{found:?}"
    );
}

/// Each part of the rules is needed: without it, the search finds a sequence of steps that violates a property.
#[test]
fn each_fault_is_found() {
    let faults = [
        (Fault::ClaimsTooMuch, IS_NEWEST),
        (Fault::NoFileVersion, FROM_CHAIN),
        (Fault::NoFileCheck, FROM_CHAIN),
        (Fault::OverridesOldFile, FROM_CHAIN),
    ];
    for (fault, property) in faults {
        let (states, found) = search(fault, 1, HasDiscoveries::AllOf([property].into()));
        let steps = found.get(property).unwrap_or_else(|| {
            panic!("{property:?} holds in all {states} states despite {fault:?}")
        });
        println!(
            "{fault:?}: {property:?} fails after {} steps, {states} states: {steps:?}",
            steps.len()
        );
    }
}
