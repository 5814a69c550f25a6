//! Checks with a model checker how changes of the configuration get versions and are committed: within bounds, it
//! explores every order of events in a small fleet. [`Proposer`] and [`Acceptor`] are the production code. `config.rs`
//! tests random faults in a larger fleet.

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
/// The wall clock when a voter restarts, in milliseconds.
const WALL_MS: u64 = 1000;

const UNIQUE_VERSIONS: &str = "no two changes have the same version";
const DURABLE: &str =
    "no two changes are committed after the same version, so no acknowledged change is lost";
const ONE_CHAIN: &str =
    "all tables are prefixes of one chain, so a change is applied everywhere or nowhere";
const FINISHED_BY_NEXT: &str = "a leader may commit a change that an earlier leader proposed";
const CHANGE_DROPPED: &str = "a proposed change may lose against another one and be dropped";
const CHANGE_AFTER_RESTART: &str =
    "a change may be committed after a restart, with all voters voting again";

/// A fault that is built into the model, so that the checker has to find its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A leader proposes without the promises of a majority.
    NoPrepare,
    /// A restarted voter recovers and votes at once, without its initial silence.
    NoSilence,
    /// A restarted voter votes without the other voters' states.
    NoRecovery,
    /// A restarted voter recovers promises and versions, but not the accepted change.
    NoAcceptedChange,
    /// After a restart of a majority, versions continue after the known ones instead of above the wall clock.
    NoVersionFloor,
}

/// The bounds of the search, and the fault in it.
#[derive(Clone)]
struct Fleet {
    fault: Fault,
    /// The maximum number of restarts.
    max_restarts: u8,
    /// Whether all voters restart at once, or only the first one.
    restart_all: bool,
    /// The maximum number of rounds that each leader gives up and repeats.
    max_retries: u8,
    /// The maximum number of changes that each leader proposes.
    max_changes: u8,
}

/// A voter of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Voter {
    /// `None` while the voter is silent after a restart.
    acceptor: Option<Acceptor>,
    /// The changes in the voter's table.
    chain: Vec<Change>,
    /// The replies to leaders that may still have an effect, with the leader's index.
    replies: BTreeSet<(usize, PaxosMessage)>,
    /// Each leader's open round when the voter restarted. Its silence lasts longer than these rounds.
    open_rounds: Vec<Option<u32>>,
}

/// A proxy that may become the leader. The second one's token is higher than the first one's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leader {
    /// `None` before the election, and after the leader was superseded.
    proposer: Option<Proposer>,
    /// The changes in the proxy's table.
    chain: Vec<Change>,
    now: Time,
    /// The open round.
    round: Option<u32>,
    retries: u8,
    /// The number of changes proposed.
    proposed: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    voters: Vec<Voter>,
    leaders: Vec<Leader>,
    /// All requests that leaders ever sent. Each may arrive at any time, any number of times, or never.
    sent: BTreeSet<(usize, PaxosMessage)>,
    /// The committed changes, by their previous version.
    committed: BTreeMap<u64, Change>,
    /// Whether two different changes were committed after the same version.
    overwritten: bool,
    /// Whether two different committed changes had the same version.
    version_reused: bool,
    restarts: u8,
    /// Whether a leader committed a change that another leader proposed.
    finished: bool,
    /// Whether a change was committed in place of another proposed change.
    dropped: bool,
    /// Whether a change was committed after a restart.
    recovered: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// A proxy becomes the leader. An earlier leader may not know that it was superseded.
    Elect(usize),
    /// A leader's round times out without a majority.
    Retry(usize),
    /// A leader proposes an operator's change.
    Propose(usize),
    /// A leader's request arrives at a voter.
    DeliverRequest(usize, PaxosMessage, usize),
    /// The replies of two voters to a leader's round arrive. A single reply changes nothing, and stays valid while the
    /// round is open.
    DeliverReplies(usize, [usize; 2]),
    /// A proxy gets the next change from a leader, by gossip or by catch-up. No proxy has a change that no leader has.
    /// The voters come first in the numbering of the proxies, then the leaders.
    ApplyNext(usize, usize),
    /// The first voter restarts with empty memory. The voters are interchangeable, so that one is enough.
    Restart,
    /// All voters restart with empty memory.
    RestartAll,
    /// A voter's silence is over, and it requests the others' states. With `restart_all`, all voters do so.
    EndSilence(usize),
    /// The first voter replies to the recovery request of the second. With `restart_all`, all voters reply.
    RecoveryReply(usize, usize),
}

fn rules() -> Rules {
    Rules::new(VOTERS, Micros(4000), 0.0).unwrap()
}

/// The version of a table with these changes.
fn version(chain: &[Change]) -> u64 {
    chain.last().map_or(0, |change| change.version)
}

/// The token of a leader.
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

/// The round that a reply belongs to.
fn round_of(message: &PaxosMessage) -> Option<u32> {
    match message {
        PaxosMessage::Promise { round, .. } | PaxosMessage::Accepted { round, .. } => Some(*round),
        _ => None,
    }
}

/// When the silence of a voter that starts at 0 is over.
fn silence_end() -> Time {
    Time(0) + rules().grant_duration()
}

impl Voter {
    /// A voter whose recovery was long ago.
    fn long_running(index: usize) -> Voter {
        let mut acceptor = voter_in_recovery(index);
        for other in (0..VOTERS).filter(|other| *other != index) {
            acceptor.on_recovery_reply(silence_end(), 0, 0, empty_reply(other));
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

/// The recovery reply of a voter that never accepted a change.
fn empty_reply(voter: usize) -> RecoveryReply {
    RecoveryReply {
        voter,
        nonce: 1,
        state: AcceptorState::default(),
        is_complete: true,
    }
}

/// A voter after its start and its silence, that has just sent its first recovery request.
fn voter_in_recovery(index: usize) -> Acceptor {
    let mut acceptor = Acceptor::new(rules(), index, 0, Time(0));
    let mut out = Vec::new();
    acceptor.tick(silence_end(), WALL_MS, 0, &mut out);
    assert_eq!(out, [PaxosMessage::Recover { nonce: 1 }]);
    acceptor
}

impl World {
    /// The changes in the table of a voter or leader; the voters are numbered first.
    fn chain(&mut self, node: usize) -> &mut Vec<Change> {
        match node.checked_sub(VOTERS) {
            None => &mut self.voters[node].chain,
            Some(p) => &mut self.leaders[p].chain,
        }
    }

    /// The tables of all voters and leaders.
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

    /// Delivers a voter's reply to a leader.
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

    /// Records that a leader committed a change, and compares it with the other changes.
    fn commit(&mut self, p: usize, change: Change) {
        let proposer = change.id as usize;
        self.finished |= proposer != p;
        self.recovered |= self.restarts > 0;
        let has_same_version =
            |other: &&Change| other.version == change.version && **other != change;
        self.version_reused |= self.committed.values().find(has_same_version).is_some();
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
    type Action = Step;

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

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for (p, leader) in world.leaders.iter().enumerate() {
            match &leader.proposer {
                None if leader.now == Time(0) && leader.round.is_none() && leader.proposed == 0 => {
                    steps.push(Step::Elect(p));
                }
                None => {}
                Some(proposer) if proposer.is_ready() && leader.proposed < self.max_changes => {
                    steps.push(Step::Propose(p));
                }
                Some(_) if leader.round.is_some() && leader.retries < self.max_retries => {
                    steps.push(Step::Retry(p));
                }
                Some(_) => {}
            }
        }
        for (p, message) in &world.sent {
            steps.extend((0..VOTERS).map(|voter| Step::DeliverRequest(*p, message.clone(), voter)));
        }
        for (index, voter) in world.voters.iter().enumerate() {
            match &voter.acceptor {
                None if self.restart_all && index > 0 => {}
                None => steps.push(Step::EndSilence(index)),
                Some(acceptor) if acceptor.is_voting() => {}
                Some(_) if self.restart_all => steps.push(Step::RecoveryReply(index, index)),
                Some(_) => steps.extend((0..VOTERS).map(|other| Step::RecoveryReply(other, index))),
            }
        }
        for p in 0..LEADERS {
            let replied = |voter: &Voter| voter.replies.iter().any(|(to, _)| *to == p);
            let pairs = [[0, 1], [0, 2], [1, 2]];
            let replied = pairs
                .iter()
                .filter(|pair| pair.iter().all(|n| replied(&world.voters[*n])));
            steps.extend(replied.map(|pair| Step::DeliverReplies(p, *pair)));
            steps.extend((0..VOTERS + LEADERS).map(|to| Step::ApplyNext(p, to)));
        }
        if world.restarts < self.max_restarts {
            steps.push(if self.restart_all {
                Step::RestartAll
            } else {
                Step::Restart
            });
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        match step {
            Step::Elect(p) => world.elect(p, self.fault),
            Step::Retry(p) => world.retry(p)?,
            Step::Propose(p) => world.propose(p)?,
            Step::DeliverRequest(p, message, voter) => world.deliver_request(p, message, voter)?,
            Step::DeliverReplies(p, voters) => {
                for voter in voters {
                    let replies = &world.voters[voter].replies;
                    let reply = replies.iter().find(|(to, _)| *to == p)?.1.clone();
                    world.deliver_reply(p, voter, reply);
                }
            }
            Step::ApplyNext(from, to) => world.apply_next(from, to)?,
            Step::Restart => {
                world.restarts += 1;
                world.restart(0);
            }
            Step::RestartAll => {
                world.restarts += 1;
                (0..VOTERS).for_each(|voter| world.restart(voter));
            }
            Step::EndSilence(_) if self.restart_all => {
                for voter in 0..VOTERS {
                    self.end_silence(&mut world, voter)?;
                }
            }
            Step::EndSilence(voter) => self.end_silence(&mut world, voter)?,
            Step::RecoveryReply(_, to) if self.restart_all => {
                for from in 0..VOTERS {
                    self.reply_to_recovery(&mut world, from, to);
                }
            }
            Step::RecoveryReply(from, to) => self.reply_to_recovery(&mut world, from, to)?,
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        let mut properties = vec![Property::always(UNIQUE_VERSIONS, |_, world: &World| {
            !world.version_reused
        })];
        // When a majority restarts at once, changes may be lost; only versions stay unique.
        if !self.restart_all {
            properties.push(Property::always(DURABLE, |_, world: &World| {
                !world.overwritten
            }));
            properties.push(Property::always(ONE_CHAIN, |_, world: &World| {
                let longest = world
                    .chains()
                    .max_by_key(|chain| chain.len())
                    .cloned()
                    .unwrap_or_default();
                world.chains().all(|chain| longest.starts_with(chain))
            }));
            properties.push(Property::sometimes(FINISHED_BY_NEXT, |_, world: &World| {
                world.finished
            }));
            properties.push(Property::sometimes(CHANGE_DROPPED, |_, world: &World| {
                world.dropped
            }));
        }
        if self.max_restarts > 0 {
            properties.push(Property::sometimes(
                CHANGE_AFTER_RESTART,
                |_, world: &World| {
                    world.recovered
                        && world
                            .voters
                            .iter()
                            .all(|voter| voter.acceptor.as_ref().is_some_and(Acceptor::is_voting))
                },
            ));
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

    /// Delivers a leader's request to a voter. From now on the voter's reply may arrive.
    fn deliver_request(&mut self, p: usize, message: PaxosMessage, voter: usize) -> Option<()> {
        let voter = &mut self.voters[voter];
        let version = version(&voter.chain);
        let reply = voter.acceptor.as_mut()?.handle(message, version);
        // Other replies only tell a leader that it was superseded. The model leaves them out, as a leader that doesn't
        // learn of it does more.
        let reply = reply.filter(|reply| round_of(reply).is_some());
        voter.replies.extend(reply.map(|reply| (p, reply)));
        self.drop_late_replies();
        Some(())
    }

    /// A proxy applies the next change that a leader has. Returns `None` if there is none.
    fn apply_next(&mut self, from: usize, to: usize) -> Option<()> {
        let theirs = self.leaders[from].chain.clone();
        let mine = self.chain(to);
        if theirs.len() <= mine.len() || theirs[..mine.len()] != mine[..] {
            return None;
        }
        mine.push(theirs[mine.len()].clone());
        let version = version(mine);
        if let Some(voter) = self.voters.get_mut(to) {
            if let Some(acceptor) = &mut voter.acceptor {
                acceptor.tick(silence_end(), WALL_MS, version, &mut Vec::new());
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
        // Replies from before the restart may still arrive.
        *voter = Voter {
            acceptor: None,
            chain: Vec::new(),
            replies: std::mem::take(&mut voter.replies),
            open_rounds,
        };
    }
}

impl Fleet {
    /// Ends a voter's silence. Returns `None` while a round is open that was open when the voter restarted, as the
    /// silence lasts longer than any round.
    fn end_silence(&self, world: &mut World, voter: usize) -> Option<()> {
        let rounds: Vec<Option<u32>> = world.leaders.iter().map(|p| p.round).collect();
        let restarted = &mut world.voters[voter];
        let still_open = |(then, now): (&Option<u32>, &Option<u32>)| then.is_some() && then == now;
        if self.fault != Fault::NoSilence
            && restarted.open_rounds.iter().zip(&rounds).any(still_open)
        {
            return None;
        }
        restarted.open_rounds.clear();
        let mut acceptor = voter_in_recovery(voter);
        if self.fault == Fault::NoRecovery {
            for other in (0..VOTERS).filter(|other| *other != voter) {
                acceptor.on_recovery_reply(silence_end(), WALL_MS, 0, empty_reply(other));
            }
        }
        restarted.acceptor = Some(acceptor);
        Some(())
    }

    /// Delivers the reply of voter `from` to the recovery request of voter `to`.
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
        if self.fault == Fault::NoAcceptedChange {
            state.accepted = None;
        }
        let wall_ms = if self.fault == Fault::NoVersionFloor {
            0
        } else {
            WALL_MS
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
            .on_recovery_reply(silence_end(), wall_ms, version, reply);
        Some(())
    }

    fn with_bounds(max_restarts: u8, max_retries: u8, max_changes: u8) -> Fleet {
        Fleet {
            fault: Fault::None,
            max_restarts,
            restart_all: false,
            max_retries,
            max_changes,
        }
    }

    /// Searches the model breadth-first. Returns the number of states, the maximum depth, and the steps to each
    /// discovery. With one thread these are as few as possible.
    fn search(
        self,
        threads: usize,
        until: HasDiscoveries,
    ) -> (usize, usize, BTreeMap<&'static str, Vec<Step>>) {
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
            Fleet::with_bounds(0, 0, 1),
            vec![FINISHED_BY_NEXT, CHANGE_DROPPED],
        ),
        (
            "a voter restarts",
            Fleet::with_bounds(1, 0, 1),
            vec![FINISHED_BY_NEXT, CHANGE_DROPPED, CHANGE_AFTER_RESTART],
        ),
        (
            "all voters restart at once",
            Fleet {
                restart_all: true,
                ..Fleet::with_bounds(1, 0, 1)
            },
            vec![CHANGE_AFTER_RESTART],
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

/// Each part of the rules is needed: without it, the search finds a sequence of steps that violates a property.
#[test]
fn each_fault_is_found() {
    let faults = [
        (Fault::NoPrepare, Fleet::with_bounds(0, 0, 1), DURABLE),
        (Fault::NoSilence, Fleet::with_bounds(1, 0, 1), DURABLE),
        (Fault::NoRecovery, Fleet::with_bounds(1, 0, 1), DURABLE),
        (
            Fault::NoAcceptedChange,
            Fleet::with_bounds(1, 0, 1),
            DURABLE,
        ),
        (
            Fault::NoVersionFloor,
            Fleet {
                restart_all: true,
                ..Fleet::with_bounds(1, 0, 1)
            },
            UNIQUE_VERSIONS,
        ),
    ];
    for (fault, fleet, property) in faults {
        let (states, _, found) =
            Fleet { fault, ..fleet }.search(1, HasDiscoveries::AllOf([property].into()));
        let steps = found.get(property).unwrap_or_else(|| {
            panic!("{property:?} holds in all {states} states despite {fault:?}")
        });
        println!(
            "{fault:?}: {property:?} fails after {} steps, {states} states: {steps:?}",
            steps.len()
        );
    }
}
