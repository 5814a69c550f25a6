//! How changes of the configuration are numbered and decided, under a model checker: every order of events of a small
//! fleet, within bounds. The machines are the real ones; `config.rs` beside this has random storms of a larger fleet.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use meadowproxy::fleet::config::{Acceptor, Change, Edit, Key, Kind, Paxos, Proposer, Step, Value};
use meadowproxy::fleet::lease::{Ballot, Rules, Token};
use meadowproxy::{Micros, Time};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};

const VOTERS: usize = 3;
const HOLDERS: usize = 2;
/// The wall clock when voters start, in milliseconds.
const WALL: u64 = 1000;

const NUMBER: &str = "no two changes have one number";
const KEPT: &str =
    "no two changes are decided after one version, so none that was acknowledged is lost";
const CHAIN: &str =
    "every copy is a prefix of one chain, so a change comes into force everywhere or nowhere";
const FINISHED: &str = "a change of one holder may be finished by the next";
const DROPPED: &str = "a change that was proposed may be dropped";
const RECOVERED: &str = "a change is possible with a voter that had forgotten";

/// What is wrong around the machines under test, on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A holder proposes without having asked a majority what there is.
    NoRead,
    /// A voter that starts anew asks and votes at once.
    NoSilence,
    /// It takes part without having asked the others.
    NoRecovery,
    /// It asks for what is promised and decided, and not for what is under way.
    NoAccepted,
    /// Numbers go on from what is known though a majority forgot.
    NoFloor,
}

/// The bounds of the search, and the fault in it.
#[derive(Clone)]
struct Fleet {
    fault: Fault,
    /// How often a voter forgets; with `all` all of them at once.
    restarts: u8,
    all: bool,
    /// Rounds that each holder gives up for another, and changes that it proposes.
    retries: u8,
    changes: u8,
}

/// A voter's seat: its machine, none while it is silent, its copy, and those of its answers that may still count.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Seat {
    acceptor: Option<Acceptor>,
    copy: Vec<Change>,
    answers: BTreeSet<(usize, Paxos)>,
    /// The rounds that were open as it forgot: its silence outlasts them.
    open: Vec<Option<u32>>,
}

/// A proxy that comes to hold the duty; the second one's token is above the first one's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Player {
    proposer: Option<Proposer>,
    copy: Vec<Change>,
    now: Time,
    /// The round that is open.
    round: Option<u32>,
    retries: u8,
    proposed: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    seats: Vec<Seat>,
    players: Vec<Player>,
    /// All that holders ever said: it may arrive at any time, any number of times, or never.
    said: BTreeSet<(usize, Paxos)>,
    /// What was decided, by what it follows, and whether something else was decided in its place.
    decided: BTreeMap<u64, Change>,
    again: bool,
    twice: bool,
    restarts: u8,
    finished: bool,
    dropped: bool,
    recovered: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Act {
    /// A proxy comes to hold the duty. The one before it may not know.
    Gain(usize),
    /// A holder's round is over without a majority.
    Retry(usize),
    /// A holder proposes an operator's change.
    Propose(usize),
    /// What a holder said arrives at a seat.
    Arrive(usize, Paxos, usize),
    /// The answers of two seats to a holder's round arrive: one alone changes nothing, and it stays good while the round is open.
    Agree(usize, [usize; 2]),
    /// A copy gets the next change from a holder's, by push or by repair: nobody has what no holder has. Seats come first.
    Spread(usize, usize),
    /// A voter forgets all. It is the first one: voters are alike.
    Restart,
    /// All voters do.
    RestartAll,
    /// Its silence is over, and it asks the others; with `all` they all do.
    Wake(usize),
    /// The first one answers the second; with `all` everybody does.
    Tell(usize, usize),
}

fn rules() -> Rules {
    Rules::new(VOTERS, Micros(4000), 0.0).unwrap()
}

fn version(copy: &[Change]) -> u64 {
    copy.last().map_or(0, |change| change.number)
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

fn round_of(message: &Paxos) -> Option<u32> {
    match message {
        Paxos::Promise { round, .. } | Paxos::Accepted { round, .. } => Some(*round),
        _ => None,
    }
}

/// After its silence.
fn awake() -> Time {
    Time(0) + rules().grant_duration()
}

impl Seat {
    /// A voter that takes part since long.
    fn old(place: usize) -> Seat {
        let mut acceptor = woken(place);
        for other in (0..VOTERS).filter(|other| *other != place) {
            acceptor.known(awake(), 0, 0, other, 1, (true, Default::default()));
        }
        assert!(acceptor.votes());
        Seat {
            acceptor: Some(acceptor),
            copy: Vec::new(),
            answers: BTreeSet::new(),
            open: Vec::new(),
        }
    }
}

/// A voter that starts, as its silence is over and it has asked its first question.
fn woken(place: usize) -> Acceptor {
    let mut acceptor = Acceptor::new(rules(), place, 0, Time(0));
    let mut out = Vec::new();
    acceptor.tick(awake(), WALL, 0, &mut out);
    assert_eq!(out, [Paxos::Recover { nonce: 1 }]);
    acceptor
}

impl World {
    fn copy(&mut self, node: usize) -> &mut Vec<Change> {
        match node.checked_sub(VOTERS) {
            None => &mut self.seats[node].copy,
            Some(p) => &mut self.players[p].copy,
        }
    }

    fn copies(&self) -> impl Iterator<Item = &Vec<Change>> {
        self.seats
            .iter()
            .map(|s| &s.copy)
            .chain(self.players.iter().map(|p| &p.copy))
    }

    /// Takes what a holder put out.
    fn say(&mut self, p: usize, out: Vec<Paxos>) {
        for message in out {
            if let Paxos::Prepare { round, .. } | Paxos::Accept { round, .. } = message {
                self.players[p].round = Some(round);
            }
            self.said.insert((p, message));
        }
        self.forget();
    }

    /// Drops what means nothing any more: answers to rounds that are over.
    fn forget(&mut self) {
        let rounds: Vec<Option<u32>> = self.players.iter().map(|p| p.round).collect();
        for seat in &mut self.seats {
            seat.answers
                .retain(|(p, answer)| round_of(answer) == rounds[*p]);
        }
    }

    /// Lets a holder hear an answer.
    fn hear(&mut self, p: usize, voter: usize, answer: Paxos) {
        let player = &mut self.players[p];
        let (now, version, mut out) = (player.now, version(&player.copy), Vec::new());
        let Some(proposer) = &mut player.proposer else {
            return;
        };
        let step = proposer.heard(now, version, voter, answer, &mut out);
        if proposer.is_ready() || proposer.reaching().is_some() {
            player.round = None;
        }
        match step {
            Step::Decided(change) => self.decide(p, change),
            Step::Superseded(_) => self.players[p].proposer = None,
            Step::Wait | Step::Lacks(..) => {}
        }
        self.say(p, out);
    }

    fn decide(&mut self, p: usize, change: Change) {
        let by = change.id as usize;
        self.finished |= by != p;
        self.recovered |= self.restarts > 0;
        let same = |other: &&Change| other.number == change.number && **other != change;
        self.twice |= self.decided.values().find(same).is_some();
        match self.decided.get(&change.after) {
            Some(other) if *other != change => self.again = true,
            _ => drop(self.decided.insert(change.after, change.clone())),
        }
        let kept = |m: &&(usize, Paxos)| matches!(&m.1, Paxos::Accept { change: c, .. } if c.after == change.after && *c != change);
        self.dropped |= self.said.iter().find(kept).is_some();
        let copy = &mut self.players[p].copy;
        if version(copy) == change.after {
            copy.push(change);
        }
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let player = Player {
            proposer: None,
            copy: Vec::new(),
            now: Time(0),
            round: None,
            retries: 0,
            proposed: 0,
        };
        vec![World {
            seats: (0..VOTERS).map(Seat::old).collect(),
            players: vec![player; HOLDERS],
            said: BTreeSet::new(),
            decided: BTreeMap::new(),
            again: false,
            twice: false,
            restarts: 0,
            finished: false,
            dropped: false,
            recovered: false,
        }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        for (p, player) in world.players.iter().enumerate() {
            match &player.proposer {
                None if player.now == Time(0) && player.round.is_none() && player.proposed == 0 => {
                    acts.push(Act::Gain(p));
                }
                None => {}
                Some(proposer) if proposer.is_ready() && player.proposed < self.changes => {
                    acts.push(Act::Propose(p));
                }
                Some(_) if player.round.is_some() && player.retries < self.retries => {
                    acts.push(Act::Retry(p));
                }
                Some(_) => {}
            }
        }
        for (p, message) in &world.said {
            acts.extend((0..VOTERS).map(|seat| Act::Arrive(*p, message.clone(), seat)));
        }
        for (voter, seat) in world.seats.iter().enumerate() {
            match &seat.acceptor {
                None if self.all && voter > 0 => {}
                None => acts.push(Act::Wake(voter)),
                Some(acceptor) if acceptor.votes() => {}
                Some(_) if self.all => acts.push(Act::Tell(voter, voter)),
                Some(_) => acts.extend((0..VOTERS).map(|other| Act::Tell(other, voter))),
            }
        }
        for p in 0..HOLDERS {
            let answered = |seat: &Seat| seat.answers.iter().any(|(to, _)| *to == p);
            let pairs = [[0, 1], [0, 2], [1, 2]];
            let answered = pairs
                .iter()
                .filter(|pair| pair.iter().all(|n| answered(&world.seats[*n])));
            acts.extend(answered.map(|pair| Act::Agree(p, *pair)));
            acts.extend((0..VOTERS + HOLDERS).map(|to| Act::Spread(p, to)));
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
            Act::Gain(p) => {
                let mut proposer = Proposer::new(rules(), token(p));
                let (mut out, known) = (Vec::new(), version(&world.players[p].copy));
                proposer.tick(Time(0), known, &mut out);
                world.players[p].proposer = Some(proposer);
                world.say(p, out);
                if self.fault == Fault::NoRead {
                    for voter in 0..VOTERS / 2 + 1 {
                        let (token, version) = (token(p), version(&world.players[p].copy));
                        let promise = Paxos::Promise {
                            token,
                            round: 1,
                            version,
                            accepted: None,
                            floor: 0,
                        };
                        world.hear(p, voter, promise);
                    }
                }
            }
            Act::Retry(p) => {
                let player = &mut world.players[p];
                player.retries += 1;
                player.now = player.now + rules().bid_timeout();
                let (now, version, mut out) = (player.now, version(&player.copy), Vec::new());
                player.proposer.as_mut()?.tick(now, version, &mut out);
                world.say(p, out);
            }
            Act::Propose(p) => {
                let player = &mut world.players[p];
                player.proposed += 1;
                let (now, version, mut out) = (player.now, version(&player.copy), Vec::new());
                player.proposer.as_mut()?.propose(
                    now,
                    0,
                    version,
                    (p as u64, edits()),
                    &mut out,
                )?;
                world.say(p, out);
            }
            Act::Arrive(p, message, voter) => {
                let seat = &mut world.seats[voter];
                let answer = seat.acceptor.as_mut()?.handle(message, version(&seat.copy));
                // A holder that does not hear that it is none does more than one that does.
                seat.answers.extend(
                    answer
                        .filter(|a| round_of(a).is_some())
                        .map(|answer| (p, answer)),
                );
                world.forget();
            }
            Act::Agree(p, seats) => {
                for voter in seats {
                    let answer = world.seats[voter]
                        .answers
                        .iter()
                        .find(|(to, _)| *to == p)?
                        .1
                        .clone();
                    world.hear(p, voter, answer);
                }
            }
            Act::Spread(from, to) => {
                let theirs = world.players[from].copy.clone();
                let mine = world.copy(to);
                if theirs.len() <= mine.len() || theirs[..mine.len()] != mine[..] {
                    return None;
                }
                mine.push(theirs[mine.len()].clone());
                let version = version(mine);
                if let Some(seat) = world.seats.get_mut(to) {
                    seat.acceptor
                        .iter_mut()
                        .for_each(|a| a.tick(awake(), WALL, version, &mut Vec::new()));
                } else {
                    let player = &mut world.players[to - VOTERS];
                    let mut out = Vec::new();
                    if let Some(proposer) =
                        player.proposer.as_mut().filter(|p| p.reaching().is_some())
                    {
                        proposer.tick(player.now, version, &mut out);
                    }
                    world.say(to - VOTERS, out);
                }
            }
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
            Act::Tell(_, to) if self.all => {
                for from in 0..VOTERS {
                    self.tell(&mut world, from, to);
                }
            }
            Act::Tell(from, to) => self.tell(&mut world, from, to)?,
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        let mut properties = vec![Property::always(NUMBER, |_, world: &World| !world.twice)];
        // Whoever lets a majority forget at once cannot be promised more than numbers.
        if !self.all {
            properties.push(Property::always(KEPT, |_, world: &World| !world.again));
            properties.push(Property::always(CHAIN, |_, world: &World| {
                let longest = world
                    .copies()
                    .max_by_key(|copy| copy.len())
                    .cloned()
                    .unwrap_or_default();
                world.copies().all(|copy| longest.starts_with(copy))
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
                        .seats
                        .iter()
                        .all(|s| s.acceptor.as_ref().is_some_and(Acceptor::votes))
            }));
        }
        properties
    }
}

impl World {
    fn restart(&mut self, voter: usize) {
        let open = self.players.iter().map(|p| p.round).collect();
        let seat = &mut self.seats[voter];
        // What it answered may still arrive.
        *seat = Seat {
            acceptor: None,
            copy: Vec::new(),
            answers: std::mem::take(&mut seat.answers),
            open,
        };
    }
}

impl Fleet {
    fn wake(&self, world: &mut World, voter: usize) -> Option<()> {
        let rounds: Vec<Option<u32>> = world.players.iter().map(|p| p.round).collect();
        let seat = &mut world.seats[voter];
        let same = |(then, now): (&Option<u32>, &Option<u32>)| then.is_some() && then == now;
        if self.fault != Fault::NoSilence && seat.open.iter().zip(&rounds).any(same) {
            return None; // its silence outlasts any round
        }
        seat.open.clear();
        let mut acceptor = woken(voter);
        if self.fault == Fault::NoRecovery {
            for other in (0..VOTERS).filter(|other| *other != voter) {
                acceptor.known(awake(), WALL, 0, other, 1, (true, Default::default()));
            }
        }
        seat.acceptor = Some(acceptor);
        Some(())
    }

    fn tell(&self, world: &mut World, from: usize, to: usize) -> Option<()> {
        let known = version(&world.seats[from].copy);
        let answer = world.seats[from]
            .acceptor
            .as_mut()?
            .handle(Paxos::Recover { nonce: 1 }, known)?;
        let Paxos::Known {
            nonce,
            mut memory,
            remembers,
        } = answer
        else {
            return None;
        };
        if self.fault == Fault::NoAccepted {
            memory.accepted = None;
        }
        let wall = if self.fault == Fault::NoFloor {
            0
        } else {
            WALL
        };
        let seat = &mut world.seats[to];
        let version = version(&seat.copy);
        seat.acceptor
            .as_mut()?
            .known(awake(), wall, version, from, nonce, (remembers, memory));
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
            "two holders, one change each",
            Fleet::of(0, 0, 1),
            vec![FINISHED, DROPPED],
        ),
        (
            "a voter forgets",
            Fleet::of(1, 0, 1),
            vec![FINISHED, DROPPED, RECOVERED],
        ),
        (
            "all voters forget at once",
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
        (Fault::NoRead, Fleet::of(0, 0, 1), KEPT),
        (Fault::NoSilence, Fleet::of(1, 0, 1), KEPT),
        (Fault::NoRecovery, Fleet::of(1, 0, 1), KEPT),
        (Fault::NoAccepted, Fleet::of(1, 0, 1), KEPT),
        (
            Fault::NoFloor,
            Fleet {
                all: true,
                ..Fleet::of(1, 0, 1)
            },
            NUMBER,
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
