//! The fleet's configuration in a simulated network: lost, doubled and late messages, cuts, holders that die or do not
//! know that they are none any more, voters that forget, proxies that start anew. Real machines, a random host.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use meadowproxy::fleet::config::{
    Acceptor, Change, Digest, Edit, Entry, Event, Key, Kind, Memory, Message, Node, Paxos, Replica,
    Rules, Submission, Surroundings, Table, Value,
};
use meadowproxy::fleet::lease::{self, Ballot, Token};
use meadowproxy::{Micros, Time};
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const MS: u64 = 1000;
const TICK: u64 = 50 * MS;
/// The wall clock at the start, in milliseconds since 1970.
const WALL: u64 = 1_800_000_000_000;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16))
}

fn lease_rules(voters: usize) -> lease::Rules {
    lease::Rules::new(voters, Micros(3_000_000), 0.01).unwrap()
}

fn edit(name: usize, value: u64) -> Edit {
    let value = match value % 7 {
        0 => Value::Removed,
        1 => Value::AsFile,
        _ => Value::Set(value.to_le_bytes().to_vec()),
    };
    Edit {
        key: Key {
            kind: Kind::Tenant,
            name: format!("t-{name}"),
        },
        value,
    }
}

struct Proxy {
    replica: Replica,
    /// The token under which it believes to hold the duty.
    holding: Option<Token>,
    up: bool,
    /// Its version's history in this life.
    version: u64,
}

/// What befalls the messages.
#[derive(Clone, Copy, Debug)]
struct Weather {
    loss: f64,
    doubled: f64,
    late_us: u64,
}

struct Fleet {
    now: u64,
    voters: usize,
    proxies: Vec<Proxy>,
    /// Which side of a cut each is on.
    side: Vec<u8>,
    weather: Weather,
    wire: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sent: u64,
    random: Pcg32,
    token: u64,
    holder: Option<usize>,
    /// The root of each version that any proxy ever had, and the change that followed each.
    roots: BTreeMap<u64, u64>,
    links: BTreeMap<u64, Change>,
    /// Copies that proxies kept at some time.
    kept: Vec<Table>,
    acknowledged: BTreeMap<u64, u64>,
    refused: u64,
    submitted: u64,
    steps_of_many: u64,
}

impl Fleet {
    fn new(size: usize, voters: usize, seed: u64, weather: Weather) -> Fleet {
        let mut fleet = Fleet {
            now: 10_000_000,
            voters,
            proxies: Vec::new(),
            side: vec![0; size],
            weather,
            wire: BTreeMap::new(),
            sent: 0,
            random: Pcg32::seed_from_u64(seed),
            token: WALL,
            holder: None,
            roots: BTreeMap::new(),
            links: BTreeMap::new(),
            kept: Vec::new(),
            acknowledged: BTreeMap::new(),
            refused: 0,
            submitted: 0,
            steps_of_many: 0,
        };
        fleet.proxies = (0..size).map(|n| fleet.fresh(n)).collect();
        fleet
    }

    fn fresh(&mut self, n: usize) -> Proxy {
        let voters = (0..self.voters).map(address).collect();
        let rules = Rules {
            lease: lease_rules(self.voters),
            voters,
            own: address(n),
        };
        let replica = Replica::new(rules, self.random.next_u64(), Time(self.now));
        Proxy {
            replica,
            holding: None,
            up: true,
            version: 0,
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        ((u64::from(self.random.next_u32()) * below as u64) >> 32) as usize
    }

    fn chance(&mut self, of: f64) -> bool {
        f64::from(self.random.next_u32()) / 4_294_967_296.0 < of
    }

    /// Lets one proxy act, and checks what its copy became.
    fn act(
        &mut self,
        n: usize,
        act: impl FnOnce(&mut Replica, Time, &Surroundings, &mut Vec<(SocketAddr, Message)>),
    ) {
        let members: Vec<SocketAddr> = (0..self.proxies.len())
            .filter(|m| *m != n)
            .map(address)
            .collect();
        let holder = self.holder.map(address);
        let around = Surroundings {
            wall_ms: WALL + self.now / MS,
            members: &members,
            near: &members[..members.len() / 4],
            holding: self.proxies[n].holding,
            holder,
        };
        let mut out = Vec::new();
        act(
            &mut self.proxies[n].replica,
            Time(self.now),
            &around,
            &mut out,
        );
        for (to, message) in out {
            self.post(n, to, message);
        }
        let proxy = &mut self.proxies[n];
        for change in proxy
            .replica
            .table()
            .since(proxy.version)
            .into_iter()
            .flatten()
        {
            let link = self.links.entry(change.after).or_insert(change.clone());
            assert_eq!(link, change, "two changes follow version {}", change.after);
        }
        let mut versions = Vec::new();
        for event in proxy.replica.events() {
            match event {
                Event::InForce { version, entries } => {
                    assert!(
                        version > proxy.version,
                        "proxy {n} went from {} to {version}",
                        proxy.version
                    );
                    proxy.version = version;
                    self.steps_of_many += u64::from(entries.len() > 2);
                    versions.push(version);
                }
                Event::Outcome {
                    id,
                    result: Ok(number),
                } => drop(self.acknowledged.insert(id, number)),
                Event::Outcome { .. } => self.refused += 1,
                Event::Superseded(_) => proxy.holding = None,
                Event::Diverged(other) => {
                    panic!("proxy {n} and {other} differ at version {}", proxy.version)
                }
            }
        }
        let digest = proxy.replica.table().digest();
        assert_eq!(digest.version, proxy.version);
        let root = *self.roots.entry(digest.version).or_insert(digest.root);
        assert_eq!(
            root, digest.root,
            "two states have version {}",
            digest.version
        );
    }

    fn post(&mut self, from: usize, to: SocketAddr, message: Message) {
        let to = usize::from(to.port()) - 1000;
        if self.chance(self.weather.loss) {
            return;
        }
        let copies = 1 + usize::from(self.chance(self.weather.doubled));
        for _ in 0..copies {
            let late = self.draw(self.weather.late_us as usize) as u64;
            self.sent += 1;
            self.wire.insert(
                (self.now + MS + late, self.sent),
                (from, to, message.clone()),
            );
        }
    }

    /// Until that time, in steps of the earliest message or tick.
    fn run(&mut self, span: u64) {
        let end = self.now + span;
        let mut tick = self.now;
        while self.now < end {
            let message = self
                .wire
                .first_key_value()
                .map_or(u64::MAX, |((at, _), _)| *at);
            if message < tick {
                let ((at, _), (from, to, message)) = self.wire.pop_first().unwrap();
                self.now = at;
                if self.proxies[to].up && self.side[from] == self.side[to] {
                    self.act(to, |r, now, around, out| {
                        // What is refused here came late: from a repair that is over, or from an earlier life.
                        let _ = r.handle(now, around, address(from), message, out);
                    });
                }
            } else {
                self.now = tick;
                for n in 0..self.proxies.len() {
                    if self.proxies[n].up {
                        self.act(n, Replica::tick);
                    }
                }
                tick += TICK;
            }
        }
    }

    /// Gives the duty to a proxy. The one before it does not know yet.
    fn elect(&mut self, n: usize) {
        self.token += 1;
        self.proxies[n].holding = Some(Ballot {
            number: self.token,
            incarnation: n as u64,
        });
        self.holder = Some(n);
    }

    /// Some seconds in which one proxy holds the duty, and bids again where it is told of a higher token.
    fn settle(&mut self, holder: usize, seconds: usize) {
        for _ in 0..seconds {
            if self.proxies[holder].holding.is_none() || self.holder != Some(holder) {
                self.elect(holder);
            }
            self.run(1_000_000);
        }
    }

    fn submit(&mut self, n: usize, edits: Vec<Edit>) -> u64 {
        self.submitted += 1;
        let (id, base) = (self.submitted, self.proxies[n].version);
        let submission = Submission { id, base, edits };
        self.act(n, |r, now, around, out| {
            drop(r.submit(now, around, submission, out));
        });
        id
    }

    /// The whole chain, as the proxies came to its changes.
    fn chain(&self) -> Vec<Change> {
        self.links.values().cloned().collect()
    }

    fn versions(&self) -> BTreeSet<u64> {
        self.proxies.iter().map(|p| p.version).collect()
    }
}

/// Whatever befalls the fleet while it changes: no copy goes back, no two states have one version, all are equal in
/// the end, changes can be made again, and what was acknowledged is there.
fn storm(seed: u64, size: usize, weather: Weather) -> Fleet {
    let voters = 5;
    let mut fleet = Fleet::new(size, voters, seed, weather);
    fleet.run(4_000_000);
    let mut forgot: Vec<(usize, u64)> = Vec::new();
    for _ in 0..60 {
        match fleet.draw(10) {
            0 => {
                let n = fleet.draw(size);
                if fleet.proxies[n].up {
                    fleet.elect(n);
                }
            }
            1 => {
                // A holder ends: its lease is over, or it dies with its memory below.
                let n = fleet.draw(size);
                fleet.proxies[n].holding = None;
            }
            2 => {
                let cut = fleet.draw(size);
                fleet.side = (0..size).map(|n| u8::from(n % size < cut)).collect();
            }
            3 => fleet.side = vec![0; size],
            4 => {
                // Fewer than half of the voters forget within the time in which one comes back.
                let n = fleet.draw(size);
                let now = fleet.now;
                forgot.retain(|(n, at)| {
                    let voting = fleet.proxies[*n].replica.votes() == Some(true);
                    !voting || now - at < 8_000_000
                });
                if n >= voters || forgot.len() < voters / 2 && !forgot.iter().any(|f| f.0 == n) {
                    if n < voters {
                        forgot.push((n, now));
                    }
                    fleet.proxies[n] = fleet.fresh(n);
                    let begins = fleet.chance(0.5);
                    if let Some(table) = fleet.kept.get(n).filter(|_| begins).cloned() {
                        let entries = table
                            .range(0, u64::MAX)
                            .map(|(_, entry)| entry.clone())
                            .collect();
                        let table =
                            Table::restore(table.digest(), entries).expect("as it was kept");
                        fleet.act(n, |r, _, _, _| r.restore(table));
                    }
                }
            }
            5 => {
                fleet.kept = fleet
                    .proxies
                    .iter()
                    .map(|p| p.replica.table().clone())
                    .collect();
            }
            _ => {
                let n = fleet.draw(size);
                if fleet.chance(0.1) {
                    // Files are rolled out that contain a part of the changes, now and then one that nobody made.
                    let upto = (fleet.proxies[n].version + fleet.draw(2) as u64)
                        .saturating_sub(fleet.draw(9) as u64);
                    fleet.submit(n, vec![Edit::contains(upto)]);
                    continue;
                }
                let edits: BTreeMap<usize, u64> = (0..1 + fleet.draw(3))
                    .map(|_| (fleet.draw(30), fleet.random.next_u64()))
                    .collect();
                fleet.submit(
                    n,
                    edits
                        .into_iter()
                        .map(|(name, value)| edit(name, value))
                        .collect(),
                );
            }
        }
        let span = 1 + fleet.draw(900) as u64 * MS;
        fleet.run(span);
    }
    fleet.side = vec![0; size];
    fleet.weather = Weather {
        loss: 0.0,
        doubled: 0.0,
        late_us: 20 * MS,
    };
    let holder = fleet.draw(size);
    fleet.settle(holder, 12);
    let at = fleet.draw(size);
    let last = fleet.submit(at, vec![edit(99, 5)]);
    fleet.settle(holder, 5);
    assert!(
        fleet.acknowledged.contains_key(&last),
        "changes can be made again: {:?}",
        fleet.versions()
    );
    assert_eq!(fleet.versions().len(), 1, "all are equal");
    let chain = fleet.chain();
    let ends = (chain[0].after, chain[chain.len() - 1].number);
    assert_eq!(
        (ends.0, Some(&ends.1)),
        (0, fleet.versions().first()),
        "all of it"
    );
    for pair in chain.windows(2) {
        assert_eq!(pair[1].after, pair[0].number, "one chain");
    }
    let ids: BTreeMap<u64, u64> = chain.iter().map(|c| (c.id, c.number)).collect();
    assert_eq!(ids.len(), chain.len(), "no change twice");
    for (id, number) in &fleet.acknowledged {
        // One that changed nothing has the number of the state in which all was so already.
        let kept = ids
            .get(id)
            .map_or(*number <= chain[chain.len() - 1].number, |n| n == number);
        assert!(
            kept,
            "change {id} was acknowledged as {number}, and is {:?}",
            ids.get(id)
        );
    }
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn no_storm_splits_or_loses_the_configuration(
        seed in any::<u64>(), size in 8usize..40, loss in 0.0..0.4, doubled in 0.0..0.3, late_us in 1000u64..800_000,
    ) {
        storm(seed, size, Weather { loss, doubled, late_us });
    }
}

#[test]
fn storms_acknowledge_and_refuse() {
    let weather = Weather {
        loss: 0.05,
        doubled: 0.05,
        late_us: 100 * MS,
    };
    let fleets: Vec<Fleet> = (0..6).map(|seed| storm(seed, 24, weather)).collect();
    let acknowledged: usize = fleets.iter().map(|f| f.acknowledged.len()).sum();
    let submitted: u64 = fleets.iter().map(|f| f.submitted).sum();
    println!("{acknowledged} of {submitted} acknowledged");
    assert!(
        acknowledged as u64 * 4 > submitted,
        "{acknowledged} of {submitted}"
    );
}

/// Small fleets of voters whose messages are mostly lost, so that what is under way is often known to few.
#[test]
fn voters_alone_keep_what_they_acknowledged() {
    for seed in 0..40 {
        storm(
            seed,
            5 + seed as usize % 3,
            Weather {
                loss: 0.45,
                doubled: 0.1,
                late_us: 900 * MS,
            },
        );
    }
}

/// The least fleet: one voter's word is the majority.
#[test]
fn one_voter_decides_alone() {
    let mut fleet = Fleet::new(
        3,
        1,
        3,
        Weather {
            loss: 0.1,
            doubled: 0.1,
            late_us: 50 * MS,
        },
    );
    fleet.settle(0, 6);
    for n in 0..3 {
        let id = fleet.submit(n, vec![edit(n, 9)]);
        fleet.settle(0, 3);
        assert!(fleet.acknowledged.contains_key(&id));
    }
    assert_eq!((fleet.versions().len(), fleet.chain().len()), (1, 3));
}

/// Two voters recover from a third that dies before they have what it told of: they ask again, and changes go on.
#[test]
fn voters_do_not_wait_for_ever_for_a_version_that_nobody_has() {
    let rules = lease_rules(3);
    let mut acceptor = Acceptor::new(rules, 1, 7, Time(0));
    let (mut now, mut out) = (Time(0) + rules.grant_duration(), Vec::new());
    acceptor.tick(now, WALL, 9, &mut out);
    let asked = |out: &[Paxos]| match out {
        [Paxos::Recover { nonce }] => *nonce,
        _ => panic!("{out:?}"),
    };
    let memory = |version| Memory {
        version,
        ..Memory::default()
    };
    acceptor.known(now, WALL, 9, 0, asked(&out), (true, memory(10)));
    acceptor.known(now, WALL, 9, 2, asked(&out), (false, memory(9)));
    assert_eq!((acceptor.reaching(), acceptor.votes()), (Some(10), false));
    now = now + Micros(59_000_000);
    out.clear();
    acceptor.tick(now, WALL, 9, &mut out);
    assert_eq!(out, []);
    now = now + Micros(1_000_000);
    acceptor.tick(now, WALL, 9, &mut out);
    for other in [0, 2] {
        acceptor.known(now, WALL, 9, other, asked(&out), (false, memory(9)));
    }
    assert!(acceptor.votes());
}

const OTHER: usize = 7;

/// A proxy that is no voter, with so many changes of one entry each, told by another.
fn filled(own: usize, changes: impl Iterator<Item = Change>) -> Replica {
    let voters = (0..5).map(address).collect();
    let rules = Rules {
        lease: lease_rules(5),
        voters,
        own: address(own),
    };
    let mut replica = Replica::new(rules, own as u64, Time(0));
    for change in changes {
        tell(&mut replica, vec![change]);
    }
    replica.events();
    replica
}

fn tell(replica: &mut Replica, changes: Vec<Change>) {
    let message = Message::Changes {
        changes,
        version: 0,
        push: false,
    };
    replica
        .handle(
            Time(0),
            &around(&[]),
            address(OTHER),
            message,
            &mut Vec::new(),
        )
        .unwrap();
}

fn around(members: &[SocketAddr]) -> Surroundings<'_> {
    Surroundings {
        wall_ms: WALL,
        members,
        near: &[],
        holding: None,
        holder: None,
    }
}

/// A chain of changes, of these entries.
fn changes(edits: impl Iterator<Item = Edit>) -> impl Iterator<Item = Change> {
    let numbered = |(n, edit): (u64, Edit)| Change {
        number: n + 1,
        after: n,
        id: n,
        edits: vec![edit],
    };
    (0..).zip(edits).map(numbered)
}

/// Passes messages between two proxies until the second one is as the first; each one that is lost by chance costs time.
/// Gives how many went either way, and the events of the second.
fn repair(
    first: &mut Replica,
    second: &mut Replica,
    loss: f64,
    mut later: Vec<Change>,
) -> (usize, Vec<Event>) {
    let (a, b) = (address(8), address(9));
    let mut random = Pcg32::seed_from_u64(5);
    let (mut now, mut passed, mut events) = (Time(0), 0, Vec::new());
    while second.table().digest() != first.table().digest() || !later.is_empty() {
        now = now + Micros(50_000);
        let mut wire = Vec::new();
        first.tick(now, &around(&[b]), &mut wire);
        let mut wire: Vec<_> = wire.into_iter().map(|(to, m)| (a, to, m)).collect();
        let mut out = Vec::new();
        second.tick(now, &around(&[a]), &mut out);
        wire.extend(out.into_iter().map(|(to, m)| (b, to, m)));
        while let Some((from, to, message)) = wire.pop() {
            if f64::from(random.next_u32()) / 4_294_967_296.0 < loss || (to != a && to != b) {
                continue;
            }
            passed += 1;
            now = now + Micros(200);
            let (mut out, members) = (Vec::new(), [a, b]);
            let replica = if to == a { &mut *first } else { &mut *second };
            for _ in 0..1 + usize::from(random.next_u32() % 10 == 0) {
                let _ = replica.handle(now, &around(&members), from, message.clone(), &mut out);
            }
            wire.extend(out.into_iter().map(|(next, m)| (to, next, m)));
        }
        if passed > 20 && !later.is_empty() {
            tell(first, vec![later.remove(0)]);
        }
        events.extend(second.events());
        assert!(
            now < Time(600_000_000),
            "still {:?} of {:?}",
            second.table().digest(),
            first.table().digest()
        );
    }
    let entries = |r: &Replica| {
        r.table()
            .range(0, u64::MAX)
            .map(|(_, e)| e.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(entries(first), entries(second));
    (passed, events)
}

/// A proxy without anything gets all in parts, while the other one goes on, and it is in force in one step.
#[test]
fn what_no_log_reaches_is_fetched_beside_the_copy_and_taken_in_one_step() {
    let mut chain: Vec<Change> = changes((0..9000).map(|n| edit(n % 6000, n as u64))).collect();
    let later = chain.split_off(8990);
    let mut first = filled(8, chain.into_iter());
    let mut second = filled(9, std::iter::empty());
    let (passed, events) = repair(&mut first, &mut second, 0.02, later);
    let Event::InForce { version, entries } = &events[0] else {
        panic!("{:?}", events[0])
    };
    println!(
        "{passed} messages; first in force {version} with {} entries",
        entries.len()
    );
    assert!(
        *version >= 8990 && entries.len() == 6000,
        "{version}, {}",
        entries.len()
    );
}

/// What the files contain is dropped, also at a copy that has it and gets the newest state by ranges: there the entries are gone
/// without a word, as the proxy's own file may not contain them yet.
#[test]
fn a_fetched_state_says_nothing_of_what_the_files_contain() {
    let edits = (0..9000).map(|n| {
        if n == 8000 {
            Edit::contains(4000)
        } else {
            edit(n, 9)
        }
    });
    let chain: Vec<Change> = changes(edits).collect();
    let mut second = filled(9, chain[..3000].iter().cloned());
    let mut first = filled(8, chain.into_iter());
    assert_eq!(
        (first.table().len(), first.table().contained()),
        (5000, 4000)
    );
    let (_, events) = repair(&mut first, &mut second, 0.0, Vec::new());
    let Event::InForce { version, entries } = &events[0] else {
        panic!("{:?}", events[0])
    };
    assert_eq!((*version, entries.len()), (9000, 5000));
    assert!(entries
        .iter()
        .all(|entry| entry.edit.value != Value::AsFile));
}

/// A copy that differs in few of many entries asks for these ranges only.
#[test]
fn few_differences_among_many_entries_cost_few_messages() {
    let most = 20_000;
    let chain: Vec<Change> = changes(
        (0..most)
            .map(|n| edit(n, 9))
            .chain((0..5000).map(|n| edit(n % 10, n as u64))),
    )
    .collect();
    let mut second = filled(9, chain[..most].iter().cloned());
    let mut first = filled(8, chain.into_iter());
    let (passed, events) = repair(&mut first, &mut second, 0.0, Vec::new());
    let Event::InForce { version, entries } = &events[0] else {
        panic!("{:?}", events[0])
    };
    assert_eq!((*version, entries.len()), (most as u64 + 5000, 10));
    println!("{passed} messages");
    assert!(passed < 120, "{passed} messages");
}

/// At the plan's size equal copies cost one message of some bytes, and a change one of its own size a member.
#[test]
fn equal_copies_cost_one_small_message_at_151_000_entries() {
    let many = |n: u64| Change {
        number: n + 1,
        after: n,
        id: n,
        edits: (0..16).map(|m| edit(n as usize * 16 + m, 9)).collect(),
    };
    let mut first = filled(8, (0..9438).map(many));
    let mut second = first.clone();
    assert!(first.table().len() >= 151_000);
    let mut out = Vec::new();
    first.take_part();
    first.tick(Time(10_000_000), &around(&[address(9)]), &mut out);
    assert_eq!(out.len(), 1);
    let bytes = postcard::to_stdvec(&out[0].1).unwrap();
    println!("{} bytes", bytes.len());
    assert!(bytes.len() <= 20, "{} bytes", bytes.len());
    let mut answers = Vec::new();
    second
        .handle(
            Time(0),
            &around(&[]),
            address(8),
            out.remove(0).1,
            &mut answers,
        )
        .unwrap();
    assert_eq!(answers, []);
}

fn key() -> impl Strategy<Value = Key> {
    (0..2, "[a-c]{0,2}").prop_map(|(kind, name)| Key {
        kind: if kind == 0 { Kind::Route } else { Kind::Tenant },
        name,
    })
}

fn any_edit() -> impl Strategy<Value = Edit> {
    let value = prop_oneof![
        Just(Value::Removed),
        Just(Value::AsFile),
        prop::collection::vec(any::<u8>(), 0..600).prop_map(Value::Set),
    ];
    (key(), value).prop_map(|(key, value)| Edit { key, value })
}

fn any_change() -> impl Strategy<Value = Change> {
    (
        0u64..6,
        0u64..6,
        any::<u64>(),
        prop::collection::vec(any_edit(), 0..3),
    )
        .prop_map(|(number, after, id, edits)| Change {
            number,
            after,
            id,
            edits,
        })
}

fn any_message() -> impl Strategy<Value = Message> {
    let digest = || (0u64..8, any::<u64>()).prop_map(|(version, root)| Digest { version, root });
    let node = || (0u8..6, any::<u16>()).prop_map(|(level, index)| Node { level, index });
    let token = || {
        (0u64..5, 0u64..3).prop_map(|(number, by)| Ballot {
            number,
            incarnation: by,
        })
    };
    let entry = || (any_edit(), 0u64..9).prop_map(|(edit, number)| Entry { edit, number });
    let accepted = move || prop::option::of((token(), any_change()));
    let paxos = prop_oneof![
        (token(), 0u32..3).prop_map(|(token, round)| Paxos::Prepare { token, round }),
        (token(), 0u32..3, 0u64..6, accepted(), 0u64..3).prop_map(
            |(token, round, version, accepted, floor)| Paxos::Promise {
                token,
                round,
                version,
                accepted,
                floor
            }
        ),
        (token(), 0u32..3, any_change()).prop_map(|(token, round, change)| Paxos::Accept {
            token,
            round,
            change
        }),
        (token(), 0u32..3).prop_map(|(token, round)| Paxos::Accepted { token, round }),
        (token(), 0u32..3, 0u64..6).prop_map(|(token, round, version)| Paxos::Behind {
            token,
            round,
            version
        }),
        (token(), token()).prop_map(|(token, highest)| Paxos::Refused { token, highest }),
        any::<u64>().prop_map(|nonce| Paxos::Recover { nonce }),
        (any::<u64>(), any::<bool>()).prop_map(|(nonce, remembers)| Paxos::Known {
            nonce,
            memory: Default::default(),
            remembers
        }),
    ];
    prop_oneof![
        paxos.prop_map(Message::Paxos),
        (
            prop::collection::vec(any_change(), 0..4),
            0u64..9,
            any::<bool>()
        )
            .prop_map(|(changes, version, push)| Message::Changes {
                changes,
                version,
                push
            }),
        (digest(), any::<(bool, bool)>()).prop_map(|(digest, (new, ask))| Message::Digest {
            digest,
            new,
            ask
        }),
        (0u64..9).prop_map(|version| Message::Since { version }),
        node().prop_map(|node| Message::Hashes { node }),
        (digest(), node(), prop::collection::vec(any::<u64>(), 0..20)).prop_map(
            |(digest, node, hashes)| Message::Children {
                digest,
                node,
                hashes
            }
        ),
        any::<(u64, u64)>().prop_map(|(from, to)| Message::Range { from, to }),
        (
            digest(),
            any::<(u64, u64)>(),
            prop::collection::vec(entry(), 0..4)
        )
            .prop_map(|(digest, (from, to), entries)| Message::Part {
                digest,
                from,
                to,
                entries
            }),
        (
            any::<u64>(),
            0u64..9,
            prop::collection::vec(any_edit(), 0..3)
        )
            .prop_map(|(id, base, edits)| Message::Submit(Submission { id, base, edits })),
        (any::<u64>(), any::<u64>()).prop_map(|(id, number)| Message::Outcome {
            id,
            result: Ok(number)
        }),
    ]
}

proptest! {
    /// Whatever is said by whom: nothing panics, no copy goes back, and what is refused changes nothing.
    #[test]
    fn no_words_break_a_copy(
        own in 0usize..8, said in prop::collection::vec((0usize..9, any_message(), any::<bool>()), 1..60),
    ) {
        let mut replica = filled(own, std::iter::empty());
        let members: Vec<SocketAddr> = (0..9).filter(|n| *n != own).map(address).collect();
        let mut now = Time(0);
        let mut version = 0;
        for (from, message, holds) in said {
            now = now + Micros(400_000);
            let holding = holds.then_some(Ballot { number: 4, incarnation: 1 });
            let around = Surroundings { holding, ..around(&members) };
            let before = replica.table().digest();
            let mut out = Vec::new();
            if replica.handle(now, &around, address(from), message, &mut out).is_err() {
                prop_assert_eq!(replica.table().digest(), before);
            }
            replica.tick(now, &around, &mut out);
            for event in replica.events() {
                if let Event::InForce { version: new, .. } = event {
                    prop_assert!(new > version);
                    version = new;
                }
            }
            prop_assert!(out.len() < 400, "{} messages", out.len());
        }
    }
}

/// Each bound refuses what is beyond it, by its cause, and keeps nothing of it.
#[test]
fn what_is_out_of_bounds_is_refused_by_cause() {
    let mut replica = filled(9, changes((0..3).map(|n| edit(n, 9))));
    let before = replica.table().digest();
    let of = |name: usize, value: usize| Edit {
        key: Key {
            kind: Kind::Route,
            name: "n".repeat(name),
        },
        value: Value::Set(vec![0; value]),
    };
    let change = |number: u64, after: u64, edits: Vec<Edit>| Change {
        number,
        after,
        id: 1,
        edits,
    };
    let wrong = [
        (change(4, 4, vec![of(1, 1)]), "number"),
        (change(1 << 53, 3, vec![of(1, 1)]), "number"),
        (change(4, 3, vec![]), "entry"),
        (change(4, 3, vec![of(0, 1)]), "entry"),
        (change(4, 3, vec![of(129, 1)]), "entry"),
        (change(4, 3, vec![of(1, 513)]), "entry"),
        (change(4, 3, vec![of(1, 500), of(2, 500)]), "entry"),
        (change(4, 3, vec![of(1, 1), of(1, 1)]), "entry"),
        (change(4, 3, (1..18).map(|n| of(n, 1)).collect()), "entry"),
    ];
    let mut cause = |message: Message, from: usize| {
        let refused = replica.handle(
            Time(0),
            &around(&[]),
            address(from),
            message,
            &mut Vec::new(),
        );
        assert_eq!(replica.table().digest(), before);
        refused.err().map_or("", |why| why.cause())
    };
    for (change, why) in wrong {
        let told = Message::Changes {
            changes: vec![change.clone()],
            version: 0,
            push: true,
        };
        assert_eq!(cause(told, OTHER), why, "{change:?}");
    }
    let token = Ballot {
        number: 1,
        incarnation: 1,
    };
    assert_eq!(
        cause(Message::Paxos(Paxos::Accepted { token, round: 1 }), OTHER),
        "stranger"
    );
    assert_eq!(
        cause(Message::Paxos(Paxos::Prepare { token, round: 1 }), 0),
        "no_voter"
    );
    assert_eq!(
        cause(
            Message::Hashes {
                node: Node { level: 4, index: 0 }
            },
            OTHER
        ),
        "unasked"
    );
    assert_eq!(cause(Message::Range { from: 2, to: 1 }, OTHER), "unasked");
    let digest = Digest {
        version: 9,
        root: 1,
    };
    let part = Message::Part {
        digest,
        from: 0,
        to: 9,
        entries: Vec::new(),
    };
    assert_eq!(cause(part, OTHER), "unasked");
    let children = Message::Children {
        digest,
        node: Node::ROOT,
        hashes: vec![0; 16],
    };
    assert_eq!(cause(children, OTHER), "unasked");
}
