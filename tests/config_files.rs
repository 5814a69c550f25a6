//! The platform's files beside the fleet's configuration, under a model checker: proxies with files of any versions, rolled out
//! and back in any order, while changes are decided, spread, fetched and dropped from the table as the files contain them. The
//! machines are the real ones.

use meadowproxy::fleet::config::{Change, Edit, Entry, Key, Kind, Overrides, Table, Value};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeMap;

/// Proxies meet by the chain alone: one stands for each.
const PROXIES: usize = 1;
const CHANGES: usize = 4;

const STATE: &str = "what is in force is one state of the chain, each change of it whole";
const NEWEST: &str = "it is that of the copy or of the file, whichever is later";
const BACK: &str = "it never goes back while a proxy lives";
const DROPPED: &str = "an entry may be dropped that an older file lacks";
const LACKING: &str = "a proxy may be started with a file that is too old";
const REFUSED: &str = "a file may be refused";

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
    copy: u64,
    overrides: Overrides,
    file: u64,
    /// Somebody told it which version is the newest.
    heard: bool,
    in_force: State,
    waiting: Vec<(Key, Value)>,
    /// The latest state that it ever had in force since it was told.
    reached: u64,
    back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    chain: Vec<Change>,
    proxies: Vec<Proxy>,
    dropped: bool,
    lacking: bool,
    refused: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Act {
    /// A change of two names, of the first alone, or of what the files contain.
    Both,
    One,
    Contained(u64),
    /// A proxy's copy gets the next change, or the newest state in one step.
    Spread(usize),
    Fetch(usize),
    /// It is told the newest version.
    Hear(usize),
    /// It reads a file that contains the changes up to that one.
    Read(usize, u64),
    /// It starts anew with such a file.
    Start(usize, u64),
}

fn set(name: &str, number: u64) -> Edit {
    Edit {
        key: Key {
            kind: Kind::Tenant,
            name: name.into(),
        },
        value: Value::Set(vec![number as u8]),
    }
}

fn put(state: &mut State, key: &Key, value: &Value) {
    if let Value::Set(bytes) = value {
        state.insert(key.name.clone(), u64::from(bytes[0]));
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
            .for_each(|e| put(&mut state, &e.key, &e.value));
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

    fn decide(&mut self, edits: Vec<Edit>) {
        let after = self.newest();
        self.chain.push(Change {
            number: after + 1,
            after,
            id: after,
            edits,
        });
    }
}

impl Files {
    /// What the machine is told of a file's version.
    fn told(&self, version: u64) -> u64 {
        match self.fault {
            Fault::HidesAbove => version + 1,
            Fault::NoVersion => 0,
            _ => version,
        }
    }

    fn start(&self, world: &World, version: u64) -> Proxy {
        let overrides = Overrides::new(self.told(version));
        let (in_force, waiting) = (world.state(version), Vec::new());
        let (copy, file, heard, reached, back) = (0, version, false, 0, false);
        Proxy {
            copy,
            overrides,
            file,
            heard,
            in_force,
            waiting,
            reached,
            back,
        }
    }

    /// A copy came to another version, as the event says.
    fn take(&self, world: &mut World, p: usize, version: u64, entries: Vec<Entry>) {
        let proxy = &mut world.proxies[p];
        proxy.copy = version;
        let over = proxy.overrides.take(version, entries);
        proxy.waiting.extend(over);
        world.lacking |= proxy.overrides.lacks().is_some();
        if proxy.overrides.lacks().is_none() || self.fault == Fault::OverAny {
            for (key, value) in std::mem::take(&mut proxy.waiting) {
                put(&mut proxy.in_force, &key, &value);
            }
        }
    }

    fn read(&self, world: &mut World, p: usize, version: u64) {
        let (newest, state) = (world.newest(), world.state(version));
        let proxy = &mut world.proxies[p];
        let (heard, told) = (proxy.heard.then_some(newest), self.told(version));
        if proxy.overrides.check(told, heard).is_err() && self.fault != Fault::NoCheck {
            world.refused = true;
            return;
        }
        proxy.overrides.read(told, heard);
        proxy.waiting.clear();
        (proxy.file, proxy.in_force) = (version, state);
        for (key, value) in proxy.overrides.over(told) {
            put(&mut proxy.in_force, key, value);
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
            refused: false,
        };
        world.proxies = (0..PROXIES).map(|_| self.start(&world, 0)).collect();
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Act>) {
        let newest = world.newest();
        if world.chain.len() < CHANGES {
            actions.extend([Act::Both, Act::One]);
            actions.extend((1..=newest).map(Act::Contained));
        }
        for p in 0..PROXIES {
            if world.proxies[p].copy < newest {
                actions.extend([Act::Spread(p), Act::Fetch(p)]);
            }
            actions.push(Act::Hear(p));
            for version in 0..=newest {
                actions.extend([Act::Read(p, version), Act::Start(p, version)]);
            }
        }
    }

    fn next_state(&self, before: &World, act: Act) -> Option<World> {
        let mut world = before.clone();
        let (number, mut fresh) = (world.newest() + 1, false);
        match act {
            Act::Both => world.decide(vec![set("a", number), set("b", number)]),
            Act::One => world.decide(vec![set("a", number)]),
            Act::Contained(upto) => {
                let so_far = world.table(world.newest()).contained();
                if upto <= so_far {
                    return None;
                }
                world.decide(vec![Edit::contains(upto)]);
                world.dropped |= world.proxies.iter().any(|proxy| proxy.file < upto);
            }
            Act::Spread(p) => {
                let change = world.chain[world.proxies[p].copy as usize].clone();
                self.take(&mut world, p, change.number, change.entries());
            }
            Act::Fetch(p) => {
                let (mine, theirs) = (
                    world.table(world.proxies[p].copy),
                    world.table(world.newest()),
                );
                let entries = theirs
                    .range(0, u64::MAX)
                    .filter(|(at, entry)| mine.get(*at) != Some(entry));
                let entries = entries.map(|(_, entry)| entry.clone()).collect();
                let newest = world.newest();
                self.take(&mut world, p, newest, entries);
            }
            Act::Hear(p) => {
                let newest = world.newest();
                let proxy = &mut world.proxies[p];
                proxy.heard = true;
                if newest > 0 {
                    proxy.overrides.heard(newest).ok()?;
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
            let counts = proxy.heard && !fresh;
            proxy.back |= counts && now < proxy.reached;
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
                let of = |proxy: &Proxy| match proxy.overrides.lacks() {
                    None => world.state(proxy.copy.max(proxy.file)) == proxy.in_force,
                    Some(_) => true,
                };
                world.proxies.iter().all(of)
            }),
            Property::always(BACK, |_, world: &World| {
                !world.proxies.iter().any(|proxy| proxy.back)
            }),
            Property::sometimes(DROPPED, |_, world: &World| world.dropped),
            Property::sometimes(LACKING, |_, world: &World| world.lacking),
            Property::sometimes(REFUSED, |_, world: &World| world.refused),
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
        [REFUSED, LACKING, DROPPED],
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
