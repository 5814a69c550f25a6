//! Tests of the replicated configuration. A fleet of real replicas runs in a simulated network that loses, duplicates
//! and delays messages and is partitioned; leaders fail or don't know that they were superseded, and voters and other
//! proxies restart. Further tests cover single rules: recovery of voters, catch-up, and which messages are rejected.

use meadowproxy::fleet::config::{
    AcceptedChange, Acceptor, AcceptorState, Change, Context, Digest, Edit, Entry, Event, Key,
    Kind, Message, Node, Outbox, Outgoing, PaxosMessage, PositionRange, RecoveryReply, Replica,
    Rules, Submission, Table, Value,
};
use meadowproxy::fleet::lease::{self, Ballot, Token};
use meadowproxy::{Micros, Time};
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Microseconds in a millisecond.
const MS_US: u64 = 1000;
/// Microseconds between two ticks of a replica.
const TICK_US: u64 = 50 * MS_US;
/// The wall clock at the start, in milliseconds since the Unix epoch.
const WALL_START_MS: u64 = 1_800_000_000_000;

/// The address of proxy `n`.
fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16))
}

fn lease_rules(voters: usize) -> lease::Rules {
    lease::Rules::new(voters, Micros(3_000_000), 0.01).unwrap()
}

/// An edit of tenant `t-{name}` that sets it, removes it or returns it to the file, by `value`.
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

/// A simulated proxy: its replica and what the test knows of it.
struct Proxy {
    replica: Replica,
    /// The token under which this proxy believes that it is the leader.
    lease: Option<Token>,
    is_up: bool,
    /// The table's version according to the replica's events.
    version: u64,
}

/// The faults of the simulated network.
#[derive(Clone, Copy, Debug)]
struct NetworkConditions {
    /// The share of the messages that is lost.
    loss_rate: f64,
    /// The share of the messages that is delivered twice.
    duplication_rate: f64,
    /// The maximum delay of a message beyond 1 ms, in microseconds.
    max_delay_us: u64,
}

/// The simulated fleet with its network, and what the checks compare.
struct Fleet {
    now_us: u64,
    voters: usize,
    proxies: Vec<Proxy>,
    /// The side of the partition that each proxy is on; messages pass only between proxies of the same side.
    partition_sides: Vec<u8>,
    conditions: NetworkConditions,
    /// Messages by arrival time and sequence number, with sender and recipient.
    in_flight: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sent_count: u64,
    rng: Pcg32,
    last_token_number: u64,
    leader: Option<usize>,
    /// The Merkle root of each version that any proxy ever had.
    roots: BTreeMap<u64, u64>,
    /// The change that follows each version.
    changes_by_previous: BTreeMap<u64, Change>,
    /// The tables that the proxies saved last, by proxy.
    snapshots: Vec<Table>,
    /// The version of each acknowledged submission, by its id.
    acknowledged: BTreeMap<u64, u64>,
    rejected: u64,
    submitted: u64,
    /// Events that changed more than two entries at once.
    bulk_events: u64,
}

impl Fleet {
    fn new(size: usize, voters: usize, seed: u64, conditions: NetworkConditions) -> Fleet {
        let mut fleet = Fleet {
            now_us: 10_000_000,
            voters,
            proxies: Vec::new(),
            partition_sides: vec![0; size],
            conditions,
            in_flight: BTreeMap::new(),
            sent_count: 0,
            rng: Pcg32::seed_from_u64(seed),
            last_token_number: WALL_START_MS,
            leader: None,
            roots: BTreeMap::new(),
            changes_by_previous: BTreeMap::new(),
            snapshots: Vec::new(),
            acknowledged: BTreeMap::new(),
            rejected: 0,
            submitted: 0,
            bulk_events: 0,
        };
        fleet.proxies = (0..size).map(|n| fleet.new_proxy(n)).collect();
        fleet
    }

    fn new_proxy(&mut self, n: usize) -> Proxy {
        let voters = (0..self.voters).map(address).collect();
        let rules = Rules {
            lease: lease_rules(self.voters),
            voters,
            own: address(n),
        };
        let replica = Replica::new(rules, self.rng.next_u64(), Time(self.now_us));
        Proxy {
            replica,
            lease: None,
            is_up: true,
            version: 0,
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        ((u64::from(self.rng.next_u32()) * below as u64) >> 32) as usize
    }

    fn chance(&mut self, probability: f64) -> bool {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0 < probability
    }

    /// Calls the replica of proxy `n`, sends its messages and checks its table.
    fn step(&mut self, n: usize, call: impl FnOnce(&mut Replica, Time, &Context, &mut Outbox)) {
        let members: Vec<SocketAddr> = (0..self.proxies.len())
            .filter(|m| *m != n)
            .map(address)
            .collect();
        let leader = self.leader.map(address);
        let context = Context {
            wall_ms: WALL_START_MS + self.now_us / MS_US,
            members: &members,
            zone_members: &members[..members.len() / 4],
            lease: self.proxies[n].lease,
            leader,
        };
        let mut out = Vec::new();
        call(
            &mut self.proxies[n].replica,
            Time(self.now_us),
            &context,
            &mut out,
        );
        for Outgoing { to, message } in out {
            self.send(n, to, message);
        }
        self.check_changes(n);
        self.handle_events(n);
        self.check_root(n);
    }

    /// Checks that all proxies have the same change after each version.
    fn check_changes(&mut self, n: usize) {
        let proxy = &self.proxies[n];
        let changes = proxy.replica.table().changes_since(proxy.version);
        for change in changes.into_iter().flatten() {
            let known = self
                .changes_by_previous
                .entry(change.previous)
                .or_insert(change.clone());
            assert_eq!(
                known, change,
                "two different changes follow version {}",
                change.previous
            );
        }
    }

    fn handle_events(&mut self, n: usize) {
        let proxy = &mut self.proxies[n];
        for event in proxy.replica.take_events() {
            match event {
                Event::TableChanged { version, entries } => {
                    assert!(
                        version > proxy.version,
                        "proxy {n}'s table version went from {} back to {version}",
                        proxy.version
                    );
                    proxy.version = version;
                    self.bulk_events += u64::from(entries.len() > 2);
                }
                Event::Outcome {
                    id,
                    result: Ok(version),
                } => drop(self.acknowledged.insert(id, version)),
                Event::Outcome { .. } => self.rejected += 1,
                Event::Superseded(_) => proxy.lease = None,
                Event::Diverged(other) => {
                    panic!(
                        "proxies {n} and {other} have different tables of version {}",
                        proxy.version
                    )
                }
            }
        }
    }

    /// Checks that the table has the version of the last event, and that all tables of a version are equal.
    fn check_root(&mut self, n: usize) {
        let proxy = &self.proxies[n];
        let digest = proxy.replica.table().digest();
        assert_eq!(digest.version, proxy.version);
        let root = *self.roots.entry(digest.version).or_insert(digest.root);
        assert_eq!(
            root, digest.root,
            "two tables of version {} differ",
            digest.version
        );
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let to = usize::from(to.port()) - 1000;
        if self.chance(self.conditions.loss_rate) {
            return;
        }
        let count = 1 + usize::from(self.chance(self.conditions.duplication_rate));
        for _ in 0..count {
            let late = self.draw(self.conditions.max_delay_us as usize) as u64;
            self.sent_count += 1;
            self.in_flight.insert(
                (self.now_us + MS_US + late, self.sent_count),
                (from, to, message.clone()),
            );
        }
    }

    /// Runs the fleet for `span_us` of simulated time.
    fn run(&mut self, span_us: u64) {
        let end = self.now_us + span_us;
        let mut tick = self.now_us;
        while self.now_us < end {
            let message = self
                .in_flight
                .first_key_value()
                .map_or(u64::MAX, |((at, _), _)| *at);
            if message < tick {
                let ((at, _), (from, to, message)) = self.in_flight.pop_first().unwrap();
                self.now_us = at;
                if self.proxies[to].is_up && self.partition_sides[from] == self.partition_sides[to]
                {
                    self.step(to, |r, now, context, out| {
                        // A replica may reject a late message: its catch-up is over, or it was sent to a former
                        // process.
                        let _ = r.handle(now, context, address(from), message, out);
                    });
                }
            } else {
                self.now_us = tick;
                for n in 0..self.proxies.len() {
                    if self.proxies[n].is_up {
                        self.step(n, Replica::tick);
                    }
                }
                tick += TICK_US;
            }
        }
    }

    /// Makes a proxy the leader. The former leader isn't notified.
    fn elect(&mut self, n: usize) {
        self.last_token_number += 1;
        self.proxies[n].lease = Some(Ballot {
            number: self.last_token_number,
            incarnation: n as u64,
        });
        self.leader = Some(n);
    }

    /// Runs the fleet with one proxy as the leader, which is elected again each time it learns of a higher token.
    fn run_with_leader(&mut self, leader: usize, seconds: usize) {
        for _ in 0..seconds {
            if self.proxies[leader].lease.is_none() || self.leader != Some(leader) {
                self.elect(leader);
            }
            self.run(1_000_000);
        }
    }

    fn submit(&mut self, n: usize, edits: Vec<Edit>) -> u64 {
        self.submitted += 1;
        let (id, base) = (self.submitted, self.proxies[n].version);
        let submission = Submission { id, base, edits };
        self.step(n, |r, now, context, out| {
            drop(r.submit(now, context, submission, out));
        });
        id
    }

    /// All changes that any proxy applied, in the order of their versions.
    fn chain(&self) -> Vec<Change> {
        self.changes_by_previous.values().cloned().collect()
    }

    fn versions(&self) -> BTreeSet<u64> {
        self.proxies.iter().map(|p| p.version).collect()
    }
}

/// The number of voters in fleets with random faults.
const VOTERS: usize = 5;

/// A voter that restarted, and the time of its restart in microseconds.
struct Restarted {
    voter: usize,
    at_us: u64,
}

impl Fleet {
    /// Causes a random fault or submits a random change. Returns whether the caller should let time pass afterwards.
    fn random_action(&mut self, restarted: &mut Vec<Restarted>) -> bool {
        let size = self.proxies.len();
        match self.draw(10) {
            0 => {
                let n = self.draw(size);
                if self.proxies[n].is_up {
                    self.elect(n);
                }
            }
            1 => {
                // The lease ends, if this proxy has one.
                let n = self.draw(size);
                self.proxies[n].lease = None;
            }
            2 => {
                let cut = self.draw(size);
                self.partition_sides = (0..size).map(|n| u8::from(n % size < cut)).collect();
            }
            3 => self.partition_sides = vec![0; size],
            4 => self.restart_any(restarted),
            5 => {
                self.snapshots = self
                    .proxies
                    .iter()
                    .map(|p| p.replica.table().clone())
                    .collect();
            }
            _ => return self.submit_any(),
        }
        true
    }

    /// Restarts a proxy, with or without its snapshot. At any time fewer than half of the voters recover from a
    /// restart: a voter counts as recovering until it votes, and for at least 8 s.
    fn restart_any(&mut self, restarted: &mut Vec<Restarted>) {
        let n = self.draw(self.proxies.len());
        let now_us = self.now_us;
        restarted.retain(|earlier| {
            let voting = self.proxies[earlier.voter].replica.is_voting() == Some(true);
            !voting || now_us - earlier.at_us < 8_000_000
        });
        let allowed = n >= VOTERS
            || restarted.len() < VOTERS / 2 && !restarted.iter().any(|earlier| earlier.voter == n);
        if !allowed {
            return;
        }
        if n < VOTERS {
            restarted.push(Restarted {
                voter: n,
                at_us: now_us,
            });
        }
        self.proxies[n] = self.new_proxy(n);
        let has_snapshot = self.chance(0.5);
        if let Some(table) = self.snapshots.get(n).filter(|_| has_snapshot).cloned() {
            let entries = table
                .range(PositionRange::ALL)
                .map(|(_, entry)| entry.clone())
                .collect();
            let table =
                Table::restore(table.digest(), entries).expect("the table was saved unchanged");
            self.step(n, |r, _, _, _| r.restore(table));
        }
    }

    /// Submits a change of up to three entries, or one that compacts the table. Returns whether time passes afterwards.
    fn submit_any(&mut self) -> bool {
        let n = self.draw(self.proxies.len());
        if self.chance(0.1) {
            // The files rolled out contain the changes up to this version, which may be one that does not exist yet.
            let compacted_version =
                (self.proxies[n].version + self.draw(2) as u64).saturating_sub(self.draw(9) as u64);
            self.submit(n, vec![Edit::compact_up_to(compacted_version)]);
            return false;
        }
        let edits: BTreeMap<usize, u64> = (0..1 + self.draw(3))
            .map(|_| (self.draw(30), self.rng.next_u64()))
            .collect();
        let edits = edits.into_iter().map(|(name, value)| edit(name, value));
        self.submit(n, edits.collect());
        true
    }

    /// Ends all faults, and checks that a new change is acknowledged and that all tables become equal.
    fn recover(&mut self) {
        let size = self.proxies.len();
        self.partition_sides = vec![0; size];
        self.conditions = NetworkConditions {
            loss_rate: 0.0,
            duplication_rate: 0.0,
            max_delay_us: 20 * MS_US,
        };
        let leader = self.draw(size);
        self.run_with_leader(leader, 12);
        let at = self.draw(size);
        let last = self.submit(at, vec![edit(99, 5)]);
        self.run_with_leader(leader, 5);
        assert!(
            self.acknowledged.contains_key(&last),
            "no change was acknowledged after the faults; table versions: {:?}",
            self.versions()
        );
        assert_eq!(
            self.versions().len(),
            1,
            "the tables have different versions"
        );
    }

    /// Checks that the changes form a single chain that contains every acknowledged change.
    fn check_chain(&self) {
        let chain = self.chain();
        let ends = (chain[0].previous, chain[chain.len() - 1].version);
        assert_eq!(
            (ends.0, Some(&ends.1)),
            (0, self.versions().first()),
            "the chain does not lead from version 0 to the version of the tables"
        );
        for pair in chain.windows(2) {
            assert_eq!(
                pair[1].previous, pair[0].version,
                "the chain has a gap or a branch"
            );
        }
        let ids: BTreeMap<u64, u64> = chain.iter().map(|c| (c.id, c.version)).collect();
        assert_eq!(ids.len(), chain.len(), "a change was applied twice");
        for (id, version) in &self.acknowledged {
            // A submission that changes nothing is acknowledged with the version of the table that already had its
            // values.
            let is_consistent = ids
                .get(id)
                .map_or(*version <= chain[chain.len() - 1].version, |committed| {
                    committed == version
                });
            assert!(
                is_consistent,
                "change {id} was acknowledged with version {version} but has {:?}",
                ids.get(id)
            );
        }
    }
}

/// Changes the configuration during random faults. Checks that no table's version decreases, that tables of the same
/// version are equal, that after the faults changes are accepted again and all tables become equal, and that no
/// acknowledged change is lost.
fn random_faults(seed: u64, size: usize, conditions: NetworkConditions) -> Fleet {
    let mut fleet = Fleet::new(size, VOTERS, seed, conditions);
    fleet.run(4_000_000);
    let mut restarted = Vec::new();
    for _ in 0..60 {
        if fleet.random_action(&mut restarted) {
            let span = 1 + fleet.draw(900) as u64 * MS_US;
            fleet.run(span);
        }
    }
    fleet.recover();
    fleet.check_chain();
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn no_faults_split_or_lose_the_configuration(
        seed in any::<u64>(), size in 8usize..40, loss_rate in 0.0..0.4, duplication_rate in 0.0..0.3,
        max_delay_us in 1000u64..800_000,
    ) {
        random_faults(seed, size, NetworkConditions { loss_rate, duplication_rate, max_delay_us });
    }
}

#[test]
fn changes_are_acknowledged_during_faults() {
    let conditions = NetworkConditions {
        loss_rate: 0.05,
        duplication_rate: 0.05,
        max_delay_us: 100 * MS_US,
    };
    let fleets: Vec<Fleet> = (0..6)
        .map(|seed| random_faults(seed, 24, conditions))
        .collect();
    let acknowledged: usize = fleets.iter().map(|f| f.acknowledged.len()).sum();
    let submitted: u64 = fleets.iter().map(|f| f.submitted).sum();
    println!("{acknowledged} of {submitted} changes acknowledged");
    assert!(
        acknowledged as u64 * 4 > submitted,
        "only {acknowledged} of {submitted} changes were acknowledged"
    );
}

/// With five voters, at most two other proxies and heavy loss, often only a minority of the voters has an accepted
/// change.
#[test]
fn small_fleets_keep_acknowledged_changes() {
    for seed in 0..40 {
        random_faults(
            seed,
            5 + seed as usize % 3,
            NetworkConditions {
                loss_rate: 0.45,
                duplication_rate: 0.1,
                max_delay_us: 900 * MS_US,
            },
        );
    }
}

/// With a single voter that voter is the majority.
#[test]
fn a_single_voter_commits_changes() {
    let mut fleet = Fleet::new(
        3,
        1,
        3,
        NetworkConditions {
            loss_rate: 0.1,
            duplication_rate: 0.1,
            max_delay_us: 50 * MS_US,
        },
    );
    fleet.run_with_leader(0, 6);
    for n in 0..3 {
        let id = fleet.submit(n, vec![edit(n, 9)]);
        fleet.run_with_leader(0, 3);
        assert!(fleet.acknowledged.contains_key(&id));
    }
    assert_eq!((fleet.versions().len(), fleet.chain().len()), (1, 3));
}

/// A recovering voter waits until its table reaches the highest version that another voter reported. If that voter
/// fails before it has sent its changes, no proxy has that version: after 60 s the recovering voter asks the others
/// again, and votes.
#[test]
fn a_voter_does_not_wait_forever_for_a_version_that_no_proxy_has() {
    let rules = lease_rules(3);
    let mut acceptor = Acceptor::new(rules, 1, 7, Time(0));
    let (mut now, mut out) = (Time(0) + rules.grant_duration(), Vec::new());
    acceptor.tick(now, WALL_START_MS, 9, &mut out);
    let request = |out: &[PaxosMessage]| match out {
        [PaxosMessage::Recover { nonce }] => *nonce,
        _ => panic!("{out:?}"),
    };
    let reply = |voter, nonce, is_complete, version| RecoveryReply {
        voter,
        nonce,
        state: AcceptorState {
            version,
            ..AcceptorState::default()
        },
        is_complete,
    };
    acceptor.on_recovery_reply(now, WALL_START_MS, 9, reply(0, request(&out), true, 10));
    acceptor.on_recovery_reply(now, WALL_START_MS, 9, reply(2, request(&out), false, 9));
    assert_eq!(
        (acceptor.catch_up_target(), acceptor.is_voting()),
        (Some(10), false)
    );
    now = now + Micros(59_000_000);
    out.clear();
    acceptor.tick(now, WALL_START_MS, 9, &mut out);
    assert_eq!(out, []);
    now = now + Micros(1_000_000);
    acceptor.tick(now, WALL_START_MS, 9, &mut out);
    for other in [0, 2] {
        acceptor.on_recovery_reply(now, WALL_START_MS, 9, reply(other, request(&out), false, 9));
    }
    assert!(acceptor.is_voting());
}

/// A proxy that isn't a voter.
const OTHER: usize = 7;

/// A replica of proxy `own` that has applied these changes.
fn replica_with(own: usize, changes: impl Iterator<Item = Change>) -> Replica {
    let voters = (0..5).map(address).collect();
    let rules = Rules {
        lease: lease_rules(5),
        voters,
        own: address(own),
    };
    let mut replica = Replica::new(rules, own as u64, Time(0));
    for change in changes {
        apply(&mut replica, vec![change]);
    }
    replica.take_events();
    replica
}

fn apply(replica: &mut Replica, changes: Vec<Change>) {
    let message = Message::Changes {
        changes,
        version: 0,
        push: false,
    };
    replica
        .handle(
            Time(0),
            &context(&[]),
            address(OTHER),
            message,
            &mut Vec::new(),
        )
        .unwrap();
}

fn context(members: &[SocketAddr]) -> Context<'_> {
    Context {
        wall_ms: WALL_START_MS,
        members,
        zone_members: &[],
        lease: None,
        leader: None,
    }
}

/// A chain of changes from version 0, with one edit each.
fn changes(edits: impl Iterator<Item = Edit>) -> impl Iterator<Item = Change> {
    let numbered = |(n, edit): (u64, Edit)| Change {
        version: n + 1,
        previous: n,
        id: n,
        edits: vec![edit],
    };
    (0..).zip(edits).map(numbered)
}

/// Passes messages between two replicas until the second one has caught up. `loss` is the share of the messages that is
/// lost, and the first replica applies the changes in `later` meanwhile. Returns the number of messages in both
/// directions, and the events of the second replica.
fn catch_up(
    first: &mut Replica,
    second: &mut Replica,
    loss: f64,
    mut later: Vec<Change>,
) -> (usize, Vec<Event>) {
    let (a, b) = (address(8), address(9));
    let mut rng = Pcg32::seed_from_u64(5);
    let (mut now, mut message_count, mut events) = (Time(0), 0, Vec::new());
    while second.table().digest() != first.table().digest() || !later.is_empty() {
        now = now + Micros(50_000);
        let mut wire = Vec::new();
        first.tick(now, &context(&[b]), &mut wire);
        let mut wire: Vec<_> = wire.into_iter().map(|m| (a, m.to, m.message)).collect();
        let mut out = Vec::new();
        second.tick(now, &context(&[a]), &mut out);
        wire.extend(out.into_iter().map(|m| (b, m.to, m.message)));
        while let Some((from, to, message)) = wire.pop() {
            if f64::from(rng.next_u32()) / 4_294_967_296.0 < loss || (to != a && to != b) {
                continue;
            }
            message_count += 1;
            now = now + Micros(200);
            let (mut out, members) = (Vec::new(), [a, b]);
            let replica = if to == a { &mut *first } else { &mut *second };
            for _ in 0..1 + usize::from(rng.next_u32() % 10 == 0) {
                let _ = replica.handle(now, &context(&members), from, message.clone(), &mut out);
            }
            wire.extend(out.into_iter().map(|m| (to, m.to, m.message)));
        }
        if message_count > 20 && !later.is_empty() {
            apply(first, vec![later.remove(0)]);
        }
        events.extend(second.take_events());
        assert!(
            now < Time(600_000_000),
            "after 10 minutes the second table is at {:?}, the first at {:?}",
            second.table().digest(),
            first.table().digest()
        );
    }
    let entries = |r: &Replica| {
        r.table()
            .range(PositionRange::ALL)
            .map(|(_, e)| e.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(entries(first), entries(second));
    (message_count, events)
}

/// A replica with an empty table fetches all ranges of a table whose log no longer reaches back that far, and installs
/// them in one step, while changes continue at the other replica.
#[test]
fn a_table_older_than_the_log_is_fetched_and_installed_in_one_step() {
    let mut chain: Vec<Change> = changes((0..9000).map(|n| edit(n % 6000, n as u64))).collect();
    let later = chain.split_off(8990);
    let mut first = replica_with(8, chain.into_iter());
    let mut second = replica_with(9, std::iter::empty());
    let (message_count, events) = catch_up(&mut first, &mut second, 0.02, later);
    let Event::TableChanged { version, entries } = &events[0] else {
        panic!("{:?}", events[0])
    };
    println!(
        "{message_count} messages; the first installed version is {version}, with {} entries",
        entries.len()
    );
    assert!(
        *version >= 8990 && entries.len() == 6000,
        "{version}, {}",
        entries.len()
    );
}

/// A replica that fetches a table by ranges drops the compacted entries that it still has. Its event does not list
/// them, as the proxy's own file may not contain them yet.
#[test]
fn a_fetched_table_reports_no_compacted_entries() {
    let edits = (0..9000).map(|n| {
        if n == 8000 {
            Edit::compact_up_to(4000)
        } else {
            edit(n, 9)
        }
    });
    let chain: Vec<Change> = changes(edits).collect();
    let mut second = replica_with(9, chain[..3000].iter().cloned());
    let mut first = replica_with(8, chain.into_iter());
    assert_eq!(
        (first.table().len(), first.table().compacted_version()),
        (5000, 4000)
    );
    let (_, events) = catch_up(&mut first, &mut second, 0.0, Vec::new());
    let Event::TableChanged { version, entries } = &events[0] else {
        panic!("{:?}", events[0])
    };
    assert_eq!((*version, entries.len()), (9000, 5000));
    assert!(entries
        .iter()
        .all(|entry| entry.edit.value != Value::AsFile));
}

/// A replica whose table differs in 10 of 20,000 entries fetches only the ranges that contain them.
#[test]
fn few_differences_among_many_entries_cost_few_messages() {
    let most = 20_000;
    let chain: Vec<Change> = changes(
        (0..most)
            .map(|n| edit(n, 9))
            .chain((0..5000).map(|n| edit(n % 10, n as u64))),
    )
    .collect();
    let mut second = replica_with(9, chain[..most].iter().cloned());
    let mut first = replica_with(8, chain.into_iter());
    let (message_count, events) = catch_up(&mut first, &mut second, 0.0, Vec::new());
    let Event::TableChanged { version, entries } = &events[0] else {
        panic!("{:?}", events[0])
    };
    assert_eq!((*version, entries.len()), (most as u64 + 5000, 10));
    println!("{message_count} messages");
    assert!(
        message_count < 120,
        "{message_count} messages for 10 entries"
    );
}

/// With equal tables of the planned size, a digest exchange costs one message of at most 20 bytes.
#[test]
fn equal_tables_cost_one_small_message_at_151_000_entries() {
    let change_of_16 = |n: u64| Change {
        version: n + 1,
        previous: n,
        id: n,
        edits: (0..16).map(|m| edit(n as usize * 16 + m, 9)).collect(),
    };
    let mut first = replica_with(8, (0..9438).map(change_of_16));
    let mut second = first.clone();
    assert!(first.table().len() >= 151_000);
    let mut out = Vec::new();
    first.assume_up_to_date();
    first.tick(Time(10_000_000), &context(&[address(9)]), &mut out);
    assert_eq!(out.len(), 1);
    let bytes = postcard::to_stdvec(&out[0].message).unwrap();
    println!("{} bytes", bytes.len());
    assert!(bytes.len() <= 20, "{} bytes", bytes.len());
    let mut answers = Vec::new();
    second
        .handle(
            Time(0),
            &context(&[]),
            address(8),
            out.remove(0).message,
            &mut answers,
        )
        .unwrap();
    assert_eq!(answers, []);
}

fn key() -> impl Strategy<Value = Key> {
    (0..2, "[a-c]{0,2}").prop_map(|(kind, name)| Key {
        kind: if kind == 0 {
            Kind::RequestClass
        } else {
            Kind::Tenant
        },
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
        .prop_map(|(version, previous, id, edits)| Change {
            version,
            previous,
            id,
            edits,
        })
}

fn any_range() -> impl Strategy<Value = PositionRange> {
    any::<(u64, u64)>().prop_map(|(first, last)| PositionRange { first, last })
}

fn any_token() -> impl Strategy<Value = Token> {
    (0u64..5, 0u64..3).prop_map(|(number, incarnation)| Ballot {
        number,
        incarnation,
    })
}

fn any_paxos() -> impl Strategy<Value = PaxosMessage> {
    let accepted = move || {
        let accepted = (any_token(), any_change());
        prop::option::of(accepted.prop_map(|(token, change)| AcceptedChange { token, change }))
    };
    prop_oneof![
        (any_token(), 0u32..3).prop_map(|(token, round)| PaxosMessage::Prepare { token, round }),
        (any_token(), 0u32..3, 0u64..6, accepted(), 0u64..3).prop_map(
            |(token, round, version, accepted, version_floor)| PaxosMessage::Promise {
                token,
                round,
                version,
                accepted,
                version_floor
            }
        ),
        (any_token(), 0u32..3, any_change()).prop_map(|(token, round, change)| {
            PaxosMessage::Accept {
                token,
                round,
                change,
            }
        }),
        (any_token(), 0u32..3).prop_map(|(token, round)| PaxosMessage::Accepted { token, round }),
        (any_token(), 0u32..3, 0u64..6).prop_map(|(token, round, version)| PaxosMessage::Behind {
            token,
            round,
            version
        }),
        (any_token(), any_token())
            .prop_map(|(token, highest)| PaxosMessage::Nack { token, highest }),
        any::<u64>().prop_map(|nonce| PaxosMessage::Recover { nonce }),
        (any::<u64>(), any::<bool>()).prop_map(|(nonce, is_complete)| PaxosMessage::RecoverReply {
            nonce,
            state: AcceptorState::default(),
            is_complete
        }),
    ]
}

fn any_message() -> impl Strategy<Value = Message> {
    let digest = || (0u64..8, any::<u64>()).prop_map(|(version, root)| Digest { version, root });
    let node = || (0u8..6, any::<u16>()).prop_map(|(level, index)| Node { level, index });
    let entry = || (any_edit(), 0u64..9).prop_map(|(edit, version)| Entry { edit, version });
    prop_oneof![
        any_paxos().prop_map(Message::Paxos),
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
        (digest(), any::<(bool, bool)>()).prop_map(|(digest, (is_new, wants_reply))| {
            Message::Digest {
                digest,
                is_new,
                wants_reply,
            }
        }),
        (0u64..9).prop_map(|version| Message::ChangesSince { version }),
        node().prop_map(|node| Message::CompareNode { node }),
        (digest(), node(), prop::collection::vec(any::<u64>(), 0..20)).prop_map(
            |(digest, node, hashes)| Message::NodeHashes {
                digest,
                node,
                hashes
            }
        ),
        any_range().prop_map(|range| Message::FetchRange { range }),
        (digest(), any_range(), prop::collection::vec(entry(), 0..4)).prop_map(
            |(digest, range, entries)| Message::RangeEntries {
                digest,
                range,
                entries
            }
        ),
        (
            any::<u64>(),
            0u64..9,
            prop::collection::vec(any_edit(), 0..3)
        )
            .prop_map(|(id, base, edits)| Message::Submit(Submission { id, base, edits })),
        (any::<u64>(), any::<u64>()).prop_map(|(id, version)| Message::Outcome {
            id,
            result: Ok(version)
        }),
    ]
}

proptest! {
    /// Arbitrary messages from any proxy cause no panic and never decrease the table's version; a rejected one changes
    /// nothing.
    #[test]
    fn no_messages_break_a_replica(
        own in 0usize..8, sent in prop::collection::vec((0usize..9, any_message(), any::<bool>()), 1..60),
    ) {
        let mut replica = replica_with(own, std::iter::empty());
        let members: Vec<SocketAddr> = (0..9).filter(|n| *n != own).map(address).collect();
        let mut now = Time(0);
        let mut version = 0;
        for (from, message, leads) in sent {
            now = now + Micros(400_000);
            let lease = leads.then_some(Ballot { number: 4, incarnation: 1 });
            let context = Context { lease, ..context(&members) };
            let before = replica.table().digest();
            let mut out = Vec::new();
            if replica.handle(now, &context, address(from), message, &mut out).is_err() {
                prop_assert_eq!(replica.table().digest(), before);
            }
            replica.tick(now, &context, &mut out);
            for event in replica.take_events() {
                if let Event::TableChanged { version: new, .. } = event {
                    prop_assert!(new > version);
                    version = new;
                }
            }
            prop_assert!(out.len() < 400, "sent {} messages", out.len());
        }
    }
}

/// The cause for which a replica rejects a message, empty if it accepts it. Checks that the table stays unchanged.
fn rejection_cause(replica: &mut Replica, message: Message, from: usize) -> &'static str {
    let before = replica.table().digest();
    let result = replica.handle(
        Time(0),
        &context(&[]),
        address(from),
        message,
        &mut Vec::new(),
    );
    assert_eq!(replica.table().digest(), before);
    result.err().map_or("", |error| error.cause())
}

#[test]
fn invalid_changes_are_rejected_by_cause() {
    let mut replica = replica_with(9, changes((0..3).map(|n| edit(n, 9))));
    let edit_of_size = |name: usize, value: usize| Edit {
        key: Key {
            kind: Kind::RequestClass,
            name: "n".repeat(name),
        },
        value: Value::Set(vec![0; value]),
    };
    let change = |version: u64, previous: u64, edits: Vec<Edit>| Change {
        version,
        previous,
        id: 1,
        edits,
    };
    let invalid = [
        (change(4, 4, vec![edit_of_size(1, 1)]), "number"),
        (change(1 << 53, 3, vec![edit_of_size(1, 1)]), "number"),
        (change(4, 3, vec![]), "entry"),
        (change(4, 3, vec![edit_of_size(0, 1)]), "entry"),
        (change(4, 3, vec![edit_of_size(129, 1)]), "entry"),
        (change(4, 3, vec![edit_of_size(1, 513)]), "entry"),
        (
            change(4, 3, vec![edit_of_size(1, 500), edit_of_size(2, 500)]),
            "entry",
        ),
        (
            change(4, 3, vec![edit_of_size(1, 1), edit_of_size(1, 1)]),
            "entry",
        ),
        (
            change(4, 3, (1..18).map(|n| edit_of_size(n, 1)).collect()),
            "entry",
        ),
    ];
    for (change, cause) in invalid {
        let message = Message::Changes {
            changes: vec![change.clone()],
            version: 0,
            push: true,
        };
        assert_eq!(
            rejection_cause(&mut replica, message, OTHER),
            cause,
            "{change:?}"
        );
    }
}

#[test]
fn unexpected_messages_are_rejected_by_cause() {
    let mut replica = replica_with(9, changes((0..3).map(|n| edit(n, 9))));
    let token = Ballot {
        number: 1,
        incarnation: 1,
    };
    let accepted = Message::Paxos(PaxosMessage::Accepted { token, round: 1 });
    let prepare = Message::Paxos(PaxosMessage::Prepare { token, round: 1 });
    let invalid_node = Message::CompareNode {
        node: Node { level: 4, index: 0 },
    };
    let invalid_range = Message::FetchRange {
        range: PositionRange { first: 2, last: 1 },
    };
    let digest = Digest {
        version: 9,
        root: 1,
    };
    let unrequested_entries = Message::RangeEntries {
        digest,
        range: PositionRange { first: 0, last: 9 },
        entries: Vec::new(),
    };
    let unrequested_hashes = Message::NodeHashes {
        digest,
        node: Node::ROOT,
        hashes: vec![0; 16],
    };
    let unexpected = [
        (accepted, OTHER, "stranger"),
        (prepare, 0, "no_voter"),
        (invalid_node, OTHER, "unasked"),
        (invalid_range, OTHER, "unasked"),
        (unrequested_entries, OTHER, "unasked"),
        (unrequested_hashes, OTHER, "unasked"),
    ];
    for (message, from, cause) in unexpected {
        let rejected = rejection_cause(&mut replica, message.clone(), from);
        assert_eq!(rejected, cause, "{message:?}");
    }
}
