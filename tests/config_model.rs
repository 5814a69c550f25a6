//! How changes of the configuration get versions and are committed, under a model checker: every order of events of a small
//! fleet, within bounds. The machines are the real ones; `config.rs` has random faults in a larger fleet.

use meadowproxy::fleet::config::{
    Acceptor, AcceptorState, Change, Edit, Key, Kind, PaxosMessage, Proposal, Proposer,
    RecoveryReply, ReplyOutcome, Value,
};
use meadowproxy::fleet::lease::{Ballot, Rules, Token};
use meadowproxy::{Micros, Time};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const VOTERS: usize = 3;
const LEADERS: usize = 2;
/// The wall clock when voters start, in milliseconds.
const WALL: u64 = 1000;

const VERSION: &str = "no two changes have one version";
const DURABLE: &str =
    "no two changes are committed after one version, so none that was acknowledged is lost";
const CHAIN: &str =
    "every table is a prefix of one chain, so a change is applied everywhere or nowhere";
const FINISHED: &str = "a change of one leader may be finished by the next";
const DROPPED: &str = "a change that was proposed may be dropped";
const RECOVERED: &str = "a change is possible with a voter that had restarted";

/// What is wrong around the machines under test, on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A leader proposes without a majority's promises.
    NoPrepare,
    /// A voter that restarts recovers and votes at once.
    NoSilence,
    /// It votes without the other voters' states.
    NoRecovery,
    /// It recovers promises and versions, and not the accepted change.
    NoAccepted,
    /// Versions go on from what is known though a majority restarted.
    NoFloor,
}

/// The bounds of the search, and the fault in it.
#[derive(Clone)]
struct Fleet {
    fault: Fault,
    /// How often a voter restarts; with `all` all of them at once.
    restarts: u8,
    all: bool,
    /// Rounds that each leader gives up for another, and changes that it proposes.
    retries: u8,
    changes: u8,
}

/// A voter: its acceptor, none while it is silent, its table's changes, and those of its replies that may still count.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Voter {
    acceptor: Option<Acceptor>,
    chain: Vec<Change>,
    replies: BTreeSet<(usize, PaxosMessage)>,
    /// The rounds that were open as it restarted: its silence outlasts them.
    open_rounds: Vec<Option<u32>>,
}

/// A proxy that becomes the leader; the second one's token is above the first one's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leader {
    proposer: Option<Proposer>,
    chain: Vec<Change>,
    now: Time,
    /// The round that is open.
    round: Option<u32>,
    retries: u8,
    proposed: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    voters: Vec<Voter>,
    leaders: Vec<Leader>,
    /// All requests that leaders ever sent: each may arrive at any time, any number of times, or never.
    sent: BTreeSet<(usize, PaxosMessage)>,
    /// The committed changes, by the version that they follow.
    committed: BTreeMap<u64, Change>,
    /// Another change was committed in the place of one.
    overwritten: bool,
    /// Two changes had one version.
    version_reused: bool,
    restarts: u8,
    finished: bool,
    dropped: bool,
    recovered: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Act {
    /// A proxy becomes the leader. The one before it may not know.
    Elect(usize),
    /// A leader's round is over without a majority.
    Retry(usize),
    /// A leader proposes an operator's change.
    Propose(usize),
    /// A leader's request arrives at a voter.
    Arrive(usize, PaxosMessage, usize),
    /// The replies of two voters to a leader's round arrive: one alone changes nothing, and it stays valid while the round is open.
    Agree(usize, [usize; 2]),
    /// A proxy gets the next change from a leader, by gossip or by catch-up: nobody has what no leader has. Voters come first.
    Spread(usize, usize),
    /// A voter restarts and forgets all. It is the first one: voters are alike.
    Restart,
    /// All voters do.
    RestartAll,
    /// Its silence is over, and it requests the others' states; with `all` they all do.
    Wake(usize),
    /// The first one replies to the second; with `all` everybody does.
    RecoverReply(usize, usize),
}

fn rules() -> Rules {
    Rules::new(VOTERS, Micros(4000), 0.0).unwrap()
}

fn version(chain: &[Change]) -> u64 {
    chain.last().map_or(0, |change| change.version)
}

fn token(p: usize) -> Token {
    Ballot {
        number: p as u64 + 1,
        incarnation: 0,
    }
}

fn edits() -> Vec<Edit> {
    vec![Edit {
        key: Key {
            kind: Kind::Tenant,
            name: "a".into(),
        },
        value: Value::Removed,
    }]
}

fn round_of(message: &PaxosMessage) -> Option<u32> {
    match message {
        PaxosMessage::Promise { round, .. } | PaxosMessage::Accepted { round, .. } => Some(*round),
        _ => None,
    }
}

/// After its silence.
fn awake() -> Time {
    Time(0) + rules().grant_duration()
}

impl Voter {
    /// A voter that has voted for long.
    fn long_running(index: usize) -> Voter {
        let mut acceptor = woken(index);
        for other in (0..VOTERS).filter(|other| *other != index) {
            acceptor.on_recovery_reply(awake(), 0, 0, empty_reply(other));
        }
        assert!(acceptor.is_voting());
        Voter {
            acceptor: Some(acceptor),
            chain: Vec::new(),
            replies: BTreeSet::new(),
            open_rounds: Vec::new(),
        }
    }
}

/// The reply of a voter that never accepted anything.
fn empty_reply(voter: usize) -> RecoveryReply {
    RecoveryReply {
        voter,
        nonce: 1,
        state: AcceptorState::default(),
        is_complete: true,
    }
}

/// A voter that starts, as its silence is over and it has sent its first recovery request.
fn woken(index: usize) -> Acceptor {
    let mut acceptor = Acceptor::new(rules(), index, 0, Time(0));
    let mut out = Vec::new();
    acceptor.tick(awake(), WALL, 0, &mut out);
    assert_eq!(out, [PaxosMessage::Recover { nonce: 1 }]);
    acceptor
}

impl World {
    fn chain(&mut self, node: usize) -> &mut Vec<Change> {
        match node.checked_sub(VOTERS) {
            None => &mut self.voters[node].chain,
            Some(p) => &mut self.leaders[p].chain,
        }
    }

    fn chains(&self) -> impl Iterator<Item = &Vec<Change>> {
        self.voters
            .iter()
            .map(|voter| &voter.chain)
            .chain(self.leaders.iter().map(|leader| &leader.chain))
    }

    /// Records the requests that a leader sends.
    fn send(&mut self, p: usize, out: Vec<PaxosMessage>) {
        for message in out {
            if let PaxosMessage::Prepare { round, .. } | PaxosMessage::Accept { round, .. } =
                message
            {
                self.leaders[p].round = Some(round);
            }
            self.sent.insert((p, message));
        }
        self.drop_late_replies();
    }

    /// Drops the replies to rounds that are over.
    fn drop_late_replies(&mut self) {
        let rounds: Vec<Option<u32>> = self.leaders.iter().map(|p| p.round).collect();
        for voter in &mut self.voters {
            voter
                .replies
                .retain(|(p, reply)| round_of(reply) == rounds[*p]);
        }
    }

    /// A reply arrives at a leader.
    fn deliver_reply(&mut self, p: usize, voter: usize, reply: PaxosMessage) {
        let leader = &mut self.leaders[p];
        let (now, version, mut out) = (leader.now, version(&leader.chain), Vec::new());
        let Some(proposer) = &mut leader.proposer else {
            return;
        };
        let step = proposer.handle(now, version, voter, reply, &mut out);
        if proposer.is_ready() || proposer.catch_up_target().is_some() {
            leader.round = None;
        }
        match step {
            ReplyOutcome::Committed(change) => self.commit(p, change),
            ReplyOutcome::Superseded(_) => self.leaders[p].proposer = None,
            ReplyOutcome::Wait | ReplyOutcome::VoterBehind { .. } => {}
        }
        self.send(p, out);
    }

    fn commit(&mut self, p: usize, change: Change) {
        let by = change.id as usize;
        self.finished |= by != p;
        self.recovered |= self.restarts > 0;
        let same = |other: &&Change| other.version == change.version && **other != change;
        self.version_reused |= self.committed.values().find(same).is_some();
        match self.committed.get(&change.previous) {
            Some(other) if *other != change => self.overwritten = true,
            _ => drop(self.committed.insert(change.previous, change.clone())),
        }
        let competes = |m: &&(usize, PaxosMessage)| matches!(&m.1, PaxosMessage::Accept { change: c, .. } if c.previous == change.previous && *c != change);
        self.dropped |= self.sent.iter().find(competes).is_some();
        let chain = &mut self.leaders[p].chain;
        if version(chain) == change.previous {
            chain.push(change);
        }
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let leader = Leader {
            proposer: None,
            chain: Vec::new(),
            now: Time(0),
            round: None,
            retries: 0,
            proposed: 0,
        };
        vec![World {
            voters: (0..VOTERS).map(Voter::long_running).collect(),
            leaders: vec![leader; LEADERS],
            sent: BTreeSet::new(),
            committed: BTreeMap::new(),
            overwritten: false,
            version_reused: false,
            restarts: 0,
            finished: false,
            dropped: false,
            recovered: false,
        }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        for (p, leader) in world.leaders.iter().enumerate() {
            match &leader.proposer {
                None if leader.now == Time(0) && leader.round.is_none() && leader.proposed == 0 => {
                    acts.push(Act::Elect(p));
                }
                None => {}
                Some(proposer) if proposer.is_ready() && leader.proposed < self.changes => {
                    acts.push(Act::Propose(p));
                }
                Some(_) if leader.round.is_some() && leader.retries < self.retries => {
                    acts.push(Act::Retry(p));
                }
                Some(_) => {}
            }
        }
        for (p, message) in &world.sent {
            acts.extend((0..VOTERS).map(|voter| Act::Arrive(*p, message.clone(), voter)));
        }
        for (index, voter) in world.voters.iter().enumerate() {
            match &voter.acceptor {
                None if self.all && index > 0 => {}
                None => acts.push(Act::Wake(index)),
                Some(acceptor) if acceptor.is_voting() => {}
                Some(_) if self.all => acts.push(Act::RecoverReply(index, index)),
                Some(_) => acts.extend((0..VOTERS).map(|other| Act::RecoverReply(other, index))),
            }
        }
        for p in 0..LEADERS {
            let replied = |voter: &Voter| voter.replies.iter().any(|(to, _)| *to == p);
            let pairs = [[0, 1], [0, 2], [1, 2]];
            let replied = pairs
                .iter()
                .filter(|pair| pair.iter().all(|n| replied(&world.voters[*n])));
            acts.extend(replied.map(|pair| Act::Agree(p, *pair)));
            acts.extend((0..VOTERS + LEADERS).map(|to| Act::Spread(p, to)));
        }
        if world.restarts < self.restarts {
            acts.push(if self.all {
                Act::RestartAll
            } else {
                Act::Restart
            });
        }
    }

    fn next_state(&self, before: &World, act: Act) -> Option<World> {
        let mut world = before.clone();
        match act {
            Act::Elect(p) => world.elect(p, self.fault),
            Act::Retry(p) => world.retry(p)?,
            Act::Propose(p) => world.propose(p)?,
            Act::Arrive(p, message, voter) => world.deliver_request(p, message, voter)?,
            Act::Agree(p, voters) => {
                for voter in voters {
                    let replies = &world.voters[voter].replies;
                    let reply = replies.iter().find(|(to, _)| *to == p)?.1.clone();
                    world.deliver_reply(p, voter, reply);
                }
            }
            Act::Spread(from, to) => world.spread(from, to)?,
            Act::Restart => {
                world.restarts += 1;
                world.restart(0);
            }
            Act::RestartAll => {
                world.restarts += 1;
                (0..VOTERS).for_each(|voter| world.restart(voter));
            }
            Act::Wake(_) if self.all => {
                for voter in 0..VOTERS {
                    self.wake(&mut world, voter)?;
                }
            }
            Act::Wake(voter) => self.wake(&mut world, voter)?,
            Act::RecoverReply(_, to) if self.all => {
                for from in 0..VOTERS {
                    self.reply_to_recovery(&mut world, from, to);
                }
            }
            Act::RecoverReply(from, to) => self.reply_to_recovery(&mut world, from, to)?,
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        let mut properties = vec![Property::always(VERSION, |_, world: &World| {
            !world.version_reused
        })];
        // A fleet whose majority restarts at once cannot be promised more than versions.
        if !self.all {
            properties.push(Property::always(DURABLE, |_, world: &World| {
                !world.overwritten
            }));
            properties.push(Property::always(CHAIN, |_, world: &World| {
                let longest = world
                    .chains()
                    .max_by_key(|chain| chain.len())
                    .cloned()
                    .unwrap_or_default();
                world.chains().all(|chain| longest.starts_with(chain))
            }));
            properties.push(Property::sometimes(FINISHED, |_, world: &World| {
                world.finished
            }));
            properties.push(Property::sometimes(DROPPED, |_, world: &World| {
                world.dropped
            }));
        }
        if self.restarts > 0 {
            properties.push(Property::sometimes(RECOVERED, |_, world: &World| {
                world.recovered
                    && world
                        .voters
                        .iter()
                        .all(|voter| voter.acceptor.as_ref().is_some_and(Acceptor::is_voting))
            }));
        }
        properties
    }
}

impl World {
    fn elect(&mut self, p: usize, fault: Fault) {
        let mut proposer = Proposer::new(rules(), token(p));
        let known = version(&self.leaders[p].chain);
        let mut out = Vec::new();
        proposer.tick(Time(0), known, &mut out);
        self.leaders[p].proposer = Some(proposer);
        self.send(p, out);
        if fault == Fault::NoPrepare {
            for voter in 0..VOTERS / 2 + 1 {
                let promise = PaxosMessage::Promise {
                    token: token(p),
                    round: 1,
                    version: version(&self.leaders[p].chain),
                    accepted: None,
                    version_floor: 0,
                };
                self.deliver_reply(p, voter, promise);
            }
        }
    }

    fn retry(&mut self, p: usize) -> Option<()> {
        let leader = &mut self.leaders[p];
        leader.retries += 1;
        leader.now = leader.now + rules().election_timeout();
        let version = version(&leader.chain);
        let mut out = Vec::new();
        let proposer = leader.proposer.as_mut()?;
        proposer.tick(leader.now, version, &mut out);
        self.send(p, out);
        Some(())
    }

    fn propose(&mut self, p: usize) -> Option<()> {
        let leader = &mut self.leaders[p];
        leader.proposed += 1;
        let version = version(&leader.chain);
        let mut out = Vec::new();
        let proposal = Proposal {
            id: p as u64,
            edits: edits(),
        };
        let proposer = leader.proposer.as_mut()?;
        proposer.propose(leader.now, 0, version, proposal, &mut out)?;
        self.send(p, out);
        Some(())
    }

    /// A leader's request arrives at a voter, whose reply may arrive from now on.
    fn deliver_request(&mut self, p: usize, message: PaxosMessage, voter: usize) -> Option<()> {
        let voter = &mut self.voters[voter];
        let version = version(&voter.chain);
        let reply = voter.acceptor.as_mut()?.handle(message, version);
        // A leader that does not learn that it was superseded does more than one that does.
        let reply = reply.filter(|reply| round_of(reply).is_some());
        voter.replies.extend(reply.map(|reply| (p, reply)));
        self.drop_late_replies();
        Some(())
    }

    fn spread(&mut self, from: usize, to: usize) -> Option<()> {
        let theirs = self.leaders[from].chain.clone();
        let mine = self.chain(to);
        if theirs.len() <= mine.len() || theirs[..mine.len()] != mine[..] {
            return None;
        }
        mine.push(theirs[mine.len()].clone());
        let version = version(mine);
        if let Some(voter) = self.voters.get_mut(to) {
            if let Some(acceptor) = &mut voter.acceptor {
                acceptor.tick(awake(), WALL, version, &mut Vec::new());
            }
            return Some(());
        }
        let p = to - VOTERS;
        let leader = &mut self.leaders[p];
        let mut out = Vec::new();
        if let Some(proposer) = &mut leader.proposer {
            if proposer.catch_up_target().is_some() {
                proposer.tick(leader.now, version, &mut out);
            }
        }
        self.send(p, out);
        Some(())
    }

    fn restart(&mut self, voter: usize) {
        let open_rounds = self.leaders.iter().map(|p| p.round).collect();
        let voter = &mut self.voters[voter];
        // Its replies may still arrive.
        *voter = Voter {
            acceptor: None,
            chain: Vec::new(),
            replies: std::mem::take(&mut voter.replies),
            open_rounds,
        };
    }
}

impl Fleet {
    fn wake(&self, world: &mut World, voter: usize) -> Option<()> {
        let rounds: Vec<Option<u32>> = world.leaders.iter().map(|p| p.round).collect();
        let restarted = &mut world.voters[voter];
        let same = |(then, now): (&Option<u32>, &Option<u32>)| then.is_some() && then == now;
        if self.fault != Fault::NoSilence && restarted.open_rounds.iter().zip(&rounds).any(same) {
            return None; // its silence outlasts any round
        }
        restarted.open_rounds.clear();
        let mut acceptor = woken(voter);
        if self.fault == Fault::NoRecovery {
            for other in (0..VOTERS).filter(|other| *other != voter) {
                acceptor.on_recovery_reply(awake(), WALL, 0, empty_reply(other));
            }
        }
        restarted.acceptor = Some(acceptor);
        Some(())
    }

    fn reply_to_recovery(&self, world: &mut World, from: usize, to: usize) -> Option<()> {
        let known = version(&world.voters[from].chain);
        let reply = world.voters[from]
            .acceptor
            .as_mut()?
            .handle(PaxosMessage::Recover { nonce: 1 }, known)?;
        let PaxosMessage::RecoverReply {
            nonce,
            mut state,
            is_complete,
        } = reply
        else {
            return None;
        };
        if self.fault == Fault::NoAccepted {
            state.accepted = None;
        }
        let wall = if self.fault == Fault::NoFloor {
            0
        } else {
            WALL
        };
        let voter = &mut world.voters[to];
        let version = version(&voter.chain);
        let reply = RecoveryReply {
            voter: from,
            nonce,
            state,
            is_complete,
        };
        voter
            .acceptor
            .as_mut()?
            .on_recovery_reply(awake(), wall, version, reply);
        Some(())
    }

    fn of(restarts: u8, retries: u8, changes: u8) -> Fleet {
        Fleet {
            fault: Fault::None,
            restarts,
            all: false,
            retries,
            changes,
        }
    }

    /// The states seen, the longest way to one, and the ways to what was found. One thread finds the shortest.
    fn search(
        self,
        threads: usize,
        until: HasDiscoveries,
    ) -> (usize, usize, BTreeMap<&'static str, Vec<Act>>) {
        let checker = self
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
        (checker.unique_state_count(), checker.max_depth(), found)
    }
}

#[test]
fn no_order_of_events_splits_the_chain() {
    let searches = [
        (
            "two leaders, one change each",
            Fleet::of(0, 0, 1),
            vec![FINISHED, DROPPED],
        ),
        (
            "a voter restarts",
            Fleet::of(1, 0, 1),
            vec![FINISHED, DROPPED, RECOVERED],
        ),
        (
            "all voters restart at once",
            Fleet {
                all: true,
                ..Fleet::of(1, 0, 1)
            },
            vec![RECOVERED],
        ),
    ];
    for (name, fleet, expected) in searches {
        let (states, depth, found) = fleet.search(3, HasDiscoveries::All);
        println!("{name}: {states} states, depth {depth}");
        assert_eq!(
            found.keys().copied().collect::<BTreeSet<_>>(),
            expected.into_iter().collect(),
            "{name}: {found:?}"
        );
    }
}

/// Each part of the rules is needed: without it the search finds a way to what must not be.
#[test]
fn each_fault_is_found() {
    let faults = [
        (Fault::NoPrepare, Fleet::of(0, 0, 1), DURABLE),
        (Fault::NoSilence, Fleet::of(1, 0, 1), DURABLE),
        (Fault::NoRecovery, Fleet::of(1, 0, 1), DURABLE),
        (Fault::NoAccepted, Fleet::of(1, 0, 1), DURABLE),
        (
            Fault::NoFloor,
            Fleet {
                all: true,
                ..Fleet::of(1, 0, 1)
            },
            VERSION,
        ),
    ];
    for (fault, fleet, property) in faults {
        let (states, _, found) =
            Fleet { fault, ..fleet }.search(1, HasDiscoveries::AllOf([property].into()));
        let way = found
            .get(property)
            .unwrap_or_else(|| panic!("{fault:?} was not found in {states} states"));
        println!(
            "{fault:?}: {property} fails after {} steps, {states} states: {way:?}",
            way.len()
        );
    }
}
