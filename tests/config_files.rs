//! The platform's files and the fleet's configuration, under a model checker: proxies with files of any versions, rolled out
//! and back in any order, while changes are committed, spread, fetched and compacted into the files. The machines are the
//! real ones.

use meadowproxy::fleet::config::{
    Change, Edit, Entry, Key, Kind, Overrides, PositionRange, Table, Value,
};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeMap;

/// Proxies meet by the chain alone: one stands for each.
const PROXIES: usize = 1;
const CHANGES: usize = 4;

const STATE: &str = "what is in force is one state of the chain, each change of it complete";
const NEWEST: &str = "it is that of the table or of the file, whichever is later";
const BACK: &str = "it never goes back while a proxy lives";
const DROPPED: &str = "an entry may be dropped that an older file lacks";
const LACKING: &str = "a proxy may be started with a file that is too old";
const REJECTED: &str = "a file may be rejected";

/// What is wrong around the machines under test, on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A file's version hides a change numbered above it.
    HidesAbove,
    /// The table wins by key, whatever the file contains.
    NoVersion,
    /// Files are not checked against what is only in files.
    NoCheck,
    /// Entries go over a file that is too old for them.
    OverAny,
}

#[derive(Clone)]
struct Files {
    fault: Fault,
}

/// The names' values: the number of the change that set them.
type State = BTreeMap<String, u64>;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proxy {
    table_version: u64,
    overrides: Overrides,
    file: u64,
    /// It knows which version is the newest.
    knows_newest: bool,
    in_force: State,
    waiting: Vec<Edit>,
    /// The latest state that it ever had in force since then.
    reached: u64,
    went_back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    chain: Vec<Change>,
    proxies: Vec<Proxy>,
    dropped: bool,
    lacking: bool,
    rejected: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Act {
    /// A change of two names, of the first alone, or of what the files contain.
    Both,
    One,
    Compact(u64),
    /// A proxy's table gets the next change, or the newest state in one step.
    Spread(usize),
    Fetch(usize),
    /// It learns the newest version.
    LearnNewest(usize),
    /// It reads a file that contains the changes up to that one.
    Read(usize, u64),
    /// It starts anew with such a file.
    Start(usize, u64),
}

fn set(name: &str, version: u64) -> Edit {
    Edit {
        key: Key {
            kind: Kind::Tenant,
            name: name.into(),
        },
        value: Value::Set(vec![version as u8]),
    }
}

fn put(state: &mut State, edit: &Edit) {
    if let Value::Set(bytes) = &edit.value {
        state.insert(edit.key.name.clone(), u64::from(bytes[0]));
    }
}

impl World {
    fn newest(&self) -> u64 {
        self.chain.len() as u64
    }

    /// What all files and tables together say at a version.
    fn state(&self, version: u64) -> State {
        let mut state = State::from([("a".into(), 0), ("b".into(), 0)]);
        let edits = self.chain[..version as usize]
            .iter()
            .flat_map(|change| &change.edits);
        edits
            .filter(|edit| edit.key.kind == Kind::Tenant)
            .for_each(|edit| put(&mut state, edit));
        state
    }

    /// The latest version that has this state, none where it is none.
    fn version_of(&self, state: &State) -> Option<u64> {
        (0..=self.newest())
            .rev()
            .find(|version| self.state(*version) == *state)
    }

    fn table(&self, version: u64) -> Table {
        let mut table = Table::default();
        self.chain[..version as usize]
            .iter()
            .for_each(|change| assert!(table.apply(change).is_ok()));
        table
    }

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

impl Files {
    /// The version that the machine gets for a file.
    fn claimed(&self, version: u64) -> u64 {
        match self.fault {
            Fault::HidesAbove => version + 1,
            Fault::NoVersion => 0,
            _ => version,
        }
    }

    fn start(&self, world: &World, version: u64) -> Proxy {
        let overrides = Overrides::new(self.claimed(version));
        let (in_force, waiting) = (world.state(version), Vec::new());
        Proxy {
            table_version: 0,
            overrides,
            file: version,
            knows_newest: false,
            in_force,
            waiting,
            reached: 0,
            went_back: false,
        }
    }

    /// A table came to another version, as the event says.
    fn apply(&self, world: &mut World, p: usize, version: u64, entries: Vec<Entry>) {
        let proxy = &mut world.proxies[p];
        proxy.table_version = version;
        let over = proxy.overrides.apply(version, entries);
        proxy.waiting.extend(over);
        world.lacking |= proxy.overrides.required_file_version().is_some();
        if proxy.overrides.required_file_version().is_none() || self.fault == Fault::OverAny {
            for edit in std::mem::take(&mut proxy.waiting) {
                put(&mut proxy.in_force, &edit);
            }
        }
    }

    fn read(&self, world: &mut World, p: usize, version: u64) {
        let (newest, state) = (world.newest(), world.state(version));
        let proxy = &mut world.proxies[p];
        let known = proxy.knows_newest.then_some(newest);
        let claimed = self.claimed(version);
        if proxy.overrides.check_file(claimed, known).is_err() && self.fault != Fault::NoCheck {
            world.rejected = true;
            return;
        }
        proxy.overrides.set_file(claimed, known);
        proxy.waiting.clear();
        (proxy.file, proxy.in_force) = (version, state);
        for edit in proxy.overrides.entries_over(claimed) {
            put(&mut proxy.in_force, &edit);
        }
    }
}

impl Model for Files {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let (chain, proxies) = Default::default();
        let mut world = World {
            chain,
            proxies,
            dropped: false,
            lacking: false,
            rejected: false,
        };
        world.proxies = (0..PROXIES).map(|_| self.start(&world, 0)).collect();
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Act>) {
        let newest = world.newest();
        if world.chain.len() < CHANGES {
            actions.extend([Act::Both, Act::One]);
            actions.extend((1..=newest).map(Act::Compact));
        }
        for p in 0..PROXIES {
            if world.proxies[p].table_version < newest {
                actions.extend([Act::Spread(p), Act::Fetch(p)]);
            }
            actions.push(Act::LearnNewest(p));
            for version in 0..=newest {
                actions.extend([Act::Read(p, version), Act::Start(p, version)]);
            }
        }
    }

    fn next_state(&self, before: &World, act: Act) -> Option<World> {
        let mut world = before.clone();
        let (version, mut fresh) = (world.newest() + 1, false);
        match act {
            Act::Both => world.commit(vec![set("a", version), set("b", version)]),
            Act::One => world.commit(vec![set("a", version)]),
            Act::Compact(upto) => {
                let so_far = world.table(world.newest()).compacted_version();
                if upto <= so_far {
                    return None;
                }
                world.commit(vec![Edit::compact_up_to(upto)]);
                world.dropped |= world.proxies.iter().any(|proxy| proxy.file < upto);
            }
            Act::Spread(p) => {
                let change = world.chain[world.proxies[p].table_version as usize].clone();
                self.apply(&mut world, p, change.version, change.entries());
            }
            Act::Fetch(p) => {
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
            Act::LearnNewest(p) => {
                let newest = world.newest();
                let proxy = &mut world.proxies[p];
                proxy.knows_newest = true;
                if newest > 0 {
                    proxy.overrides.confirm_file(newest).ok()?;
                }
            }
            Act::Read(p, version) => self.read(&mut world, p, version),
            Act::Start(p, version) => {
                fresh = true;
                world.proxies[p] = self.start(&world, version);
            }
        }
        for p in 0..PROXIES {
            let now = world
                .version_of(&world.proxies[p].in_force)
                .unwrap_or_default();
            let proxy = &mut world.proxies[p];
            let counts = proxy.knows_newest && !fresh;
            proxy.went_back |= counts && now < proxy.reached;
            proxy.reached = if counts { now } else { 0 };
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(STATE, |_, world: &World| {
                world
                    .proxies
                    .iter()
                    .all(|proxy| world.version_of(&proxy.in_force).is_some())
            }),
            Property::always(NEWEST, |_, world: &World| {
                let of = |proxy: &Proxy| match proxy.overrides.required_file_version() {
                    None => world.state(proxy.table_version.max(proxy.file)) == proxy.in_force,
                    Some(_) => true,
                };
                world.proxies.iter().all(of)
            }),
            Property::always(BACK, |_, world: &World| {
                !world.proxies.iter().any(|proxy| proxy.went_back)
            }),
            Property::sometimes(DROPPED, |_, world: &World| world.dropped),
            Property::sometimes(LACKING, |_, world: &World| world.lacking),
            Property::sometimes(REJECTED, |_, world: &World| world.rejected),
        ]
    }
}

fn search(
    fault: Fault,
    threads: usize,
    until: HasDiscoveries,
) -> (usize, BTreeMap<&'static str, Vec<Act>>) {
    let checker = Files { fault }
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
fn whatever_files_the_proxies_have_a_state_of_the_chain_is_in_force() {
    let (states, found) = search(Fault::None, 2, HasDiscoveries::All);
    println!("{states} states");
    assert_eq!(
        found.keys().copied().collect::<Vec<_>>(),
        [REJECTED, LACKING, DROPPED],
        "{found:?}"
    );
}

/// Each part of the rule is needed: without it the search finds a way to what must not be.
#[test]
fn each_fault_is_found() {
    let faults = [
        (Fault::HidesAbove, NEWEST),
        (Fault::NoVersion, STATE),
        (Fault::NoCheck, STATE),
        (Fault::OverAny, STATE),
    ];
    for (fault, property) in faults {
        let (states, found) = search(fault, 1, HasDiscoveries::AllOf([property].into()));
        let way = found
            .get(property)
            .unwrap_or_else(|| panic!("{fault:?} was not found in {states} states"));
        println!(
            "{fault:?}: fails after {} steps, {states} states: {way:?}",
            way.len()
        );
    }
}
