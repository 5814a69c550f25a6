//! Checks leases with a model checker: within bounds, it explores every order of events in a small fleet. [`Voter`] and
//! [`Candidate`] are the production code. `lease.rs` tests random faults in a larger fleet.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use meadowproxy::fleet::lease::{Ballot, Candidate, LeaseEvent, Message, Rules, Token, Voter};
use meadowproxy::{Micros, Time};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

const VOTERS: usize = 3;
const CANDIDATES: usize = 2;
/// The value of all clocks at the start. It isn't zero, so that a voter may have started long before.
const START: u64 = 100;
/// The maximum drift of a clock: it advances by 1 or 2 units per tick of true time, which is 1.5 units plus or minus a
/// third.
const DRIFT: f64 = 1.0 / 3.0;
/// The term in clock units: two ticks on the slowest clock. A grant lasts 4 units, two ticks on the fastest clock.
const TERM: Micros = Micros(2);
/// Milliseconds of wall time per tick; four ticks are 3 s.
const TICK_WALL_MS: u64 = 750;

const ONE_HOLDER: &str = "at most one candidate holds the lease";
const TOKENS_INCREASE: &str = "each lease has a higher token than the one before";
const SECOND_LEASE: &str = "another lease may follow the first one";

/// A fault that is built into the model, so that the checker has to find its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A voter answers immediately after its start.
    NoInitialSilence,
    /// The term begins when the responses arrive, not when the request was sent.
    TermFromResponse,
    /// A grant lasts no longer than a term, without a margin for clock drift.
    NoDriftMargin,
    /// Ballot numbers do not depend on the wall clock.
    NoWallClock,
}

/// The bounds of the search, and the fault in it.
#[derive(Clone)]
struct Fleet {
    fault: Fault,
    /// The duration in ticks of true time.
    ticks: u64,
    /// The maximum number of ballots of each candidate.
    ballots: u8,
    /// The maximum number of requests (rounds) of each ballot.
    rounds: u32,
    /// The clock rates to check, in units per tick: of the voters, and of the candidates.
    clock_rates: Vec<([u64; VOTERS], [u64; CANDIDATES])>,
    /// The maximum number of voter restarts.
    restarts: u8,
    /// The maximum number of times that a holder drains.
    drains: u8,
    /// Whether voters answer pre-votes and deny requests. Otherwise denials are lost, and a majority grants any
    /// pre-vote at any time, whatever it has granted. As a pre-vote binds no voter, this allows more orders of events
    /// than are possible.
    voters_deny: bool,
}

/// A voter, its clock rate in units per tick, and those of its responses that may still have an effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct VoterNode {
    machine: Voter,
    clock_rate: u64,
    responses: BTreeSet<(usize, Message)>,
}

/// A candidate with its clock and its last round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct CandidateNode {
    machine: Candidate,
    /// The clock rate in units per tick.
    clock_rate: u64,
    /// The ballot and number of the last round.
    round: (Ballot, u32),
    /// Whether a majority granted the last round.
    has_majority: bool,
    request_sent_at: Time,
    /// How far [`Fault::TermFromResponse`] has set the clock back, in units.
    set_back_by: u64,
    /// The number of ballots.
    ballots: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    ticks: u64,
    /// The voters in the order of their hashes: they are interchangeable, so that fewer states differ.
    voters: Vec<VoterNode>,
    candidates: Vec<CandidateNode>,
    /// All messages that candidates ever sent. Each may arrive at any time, any number of times, or never.
    sent: BTreeSet<(usize, Message)>,
    restarts: u8,
    drains: u8,
    /// The token of the last lease.
    latest_token: Option<Token>,
    /// Whether a lease had no higher token than the one before.
    token_not_higher: bool,
    /// The number of leases acquired.
    acquisitions: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// A tick of true time passes. A candidate or voter without an event in it was stalled.
    AdvanceTime,
    /// A candidate's timer fires, on time or late.
    RunTimer(usize),
    /// A candidate's host drains, and the candidate releases its lease.
    Drain(usize),
    /// A message that a candidate sent arrives at a voter.
    DeliverRequest(usize, Message, usize),
    /// The granting responses of a majority arrive at a candidate. None of them has an effect before the last.
    DeliverGrants(usize),
    /// A voter's denial that names a higher ballot arrives at a candidate.
    DeliverDenial(usize, usize),
    /// The denials of a majority arrive at a candidate. Those that name no higher ballot have no effect before the
    /// last.
    DeliverDenials(usize),
    /// A voter restarts with empty memory.
    Restart(usize),
}

/// The hash of a voter's state.
fn state_hash(voter: &VoterNode) -> u64 {
    let mut hasher = DefaultHasher::new();
    voter.hash(&mut hasher);
    hasher.finish()
}

/// The ballot and round of a voter's response, and whether it grants.
fn round_and_grant(response: &Message) -> ((Ballot, u32), bool) {
    match response {
        Message::PreVoteGranted { ballot } => ((*ballot, 0), true),
        Message::Granted { ballot, round } => ((*ballot, *round), true),
        Message::Denied { ballot, round, .. } => ((*ballot, *round), false),
        _ => unreachable!("voters only send responses"),
    }
}

impl World {
    fn voter_clock(&self, voter: usize) -> Time {
        Time(START + self.ticks * self.voters[voter].clock_rate)
    }

    fn clock(&self, c: usize) -> Time {
        Time(START + self.ticks * self.candidates[c].clock_rate - self.candidates[c].set_back_by)
    }

    /// The number of candidates that hold the lease according to their own clocks.
    fn holders(&self) -> usize {
        (0..CANDIDATES)
            .filter(|c| {
                self.candidates[*c]
                    .machine
                    .held_token(self.clock(*c))
                    .is_some()
            })
            .count()
    }

    /// For each voter one response to a candidate's current round, if it has any: those that grant, or those that deny.
    fn responses(&self, c: usize, grants: bool) -> Vec<Message> {
        let counts =
            |(to, response): &&(usize, Message)| *to == c && round_and_grant(response).1 == grants;
        self.voters
            .iter()
            .filter_map(|voter| voter.responses.iter().find(counts).map(|a| a.1))
            .collect()
    }

    /// Delivers responses of distinct voters to a candidate, to which it makes no difference which voters they are.
    fn deliver_responses(&mut self, c: usize, responses: &[Message]) -> Vec<Message> {
        let (mut out, now) = (Vec::new(), self.clock(c));
        for (voter, response) in responses.iter().enumerate() {
            self.candidates[c]
                .machine
                .handle_response(now, voter, *response, &mut out);
        }
        out
    }

    /// Records the messages that a candidate sends, and handles its events.
    fn process_output(&mut self, c: usize, out: Vec<Message>) {
        let now = self.clock(c);
        let candidate = &mut self.candidates[c];
        for message in out {
            match message {
                Message::PreVote { ballot } => {
                    candidate.ballots += 1;
                    (candidate.round, candidate.has_majority) = ((ballot, 0), false);
                }
                Message::RequestGrant { ballot, round } => {
                    (candidate.round, candidate.has_majority) = ((ballot, round), false);
                    candidate.request_sent_at = now;
                }
                _ => {}
            }
            // The request of an earlier round has the same effect on a voter as that of the newest, and its response
            // has none.
            if let Message::RequestGrant { ballot, round } = message {
                self.sent.remove(&(
                    c,
                    Message::RequestGrant {
                        ballot,
                        round: round.saturating_sub(1),
                    },
                ));
            }
            self.sent.insert((c, message));
        }
        for event in candidate.machine.take_events() {
            if let LeaseEvent::Acquired(token) = event {
                self.token_not_higher |= self
                    .latest_token
                    .is_some_and(|latest_token| token <= latest_token);
                self.latest_token = Some(token);
                self.acquisitions += 1;
            }
        }
        self.drop_stale_responses();
    }

    /// Drops responses without effect: those to earlier rounds, and further grants of a round that has its majority.
    fn drop_stale_responses(&mut self) {
        let counts = |(to, response): &(usize, Message)| {
            let (round, grants) = round_and_grant(response);
            let candidate = &self.candidates[*to];
            round == candidate.round && !(grants && candidate.has_majority)
        };
        self.voters
            .iter_mut()
            .for_each(|voter| voter.responses.retain(counts));
    }
}

impl Fleet {
    fn rules(&self) -> Rules {
        Rules::new(VOTERS, TERM, DRIFT).unwrap()
    }

    /// The rules of the voters, without a margin for clock drift in case of [`Fault::NoDriftMargin`].
    fn voter_rules(&self) -> Rules {
        let drift = if self.fault == Fault::NoDriftMargin {
            0.0
        } else {
            DRIFT
        };
        Rules::new(VOTERS, TERM, drift).unwrap()
    }

    /// A voter that started so long ago that its silence is over.
    fn long_running_voter(&self, now: Time) -> Voter {
        Voter::new(
            self.voter_rules(),
            now - self.voter_rules().grant_duration(),
        )
    }

    /// A candidate's wall clock in milliseconds; the second candidate's is half a tick behind the first one's.
    fn wall_ms(&self, world: &World, c: usize) -> u64 {
        match self.fault {
            Fault::NoWallClock => 0,
            _ => TICK_WALL_MS * world.ticks + TICK_WALL_MS / 2 * (1 - c as u64),
        }
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let candidate = |c, clock_rate| CandidateNode {
            machine: Candidate::new(self.rules(), (CANDIDATES - c) as u64),
            clock_rate,
            round: (Ballot::default(), 0),
            has_majority: false,
            request_sent_at: Time(0),
            set_back_by: 0,
            ballots: 0,
        };
        let voter = |clock_rate| VoterNode {
            machine: self.long_running_voter(Time(START)),
            clock_rate,
            responses: BTreeSet::new(),
        };
        let world = |(voters, candidates): &([u64; VOTERS], [u64; CANDIDATES])| World {
            ticks: 0,
            voters: voters.iter().map(|clock_rate| voter(*clock_rate)).collect(),
            candidates: candidates
                .iter()
                .enumerate()
                .map(|(c, clock_rate)| candidate(c, *clock_rate))
                .collect(),
            sent: BTreeSet::new(),
            restarts: 0,
            drains: 0,
            latest_token: None,
            token_not_higher: false,
            acquisitions: 0,
        };
        self.clock_rates.iter().map(world).collect()
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.ticks < self.ticks {
            steps.push(Step::AdvanceTime);
        }
        for c in 0..CANDIDATES {
            let machine = &world.candidates[c].machine;
            if machine.next_tick_at().is_none_or(|at| at <= world.clock(c)) {
                steps.push(Step::RunTimer(c));
            }
            if world.drains < self.drains && machine.held_token(world.clock(c)).is_some() {
                steps.push(Step::Drain(c));
            }
            if world.responses(c, true).len() > VOTERS / 2
                || !self.voters_deny && world.candidates[c].round.1 == 0
            {
                steps.push(Step::DeliverGrants(c));
            }
            if self.voters_deny {
                steps.push(Step::DeliverDenials(c));
                steps.extend((0..VOTERS).map(|voter| Step::DeliverDenial(c, voter)));
            }
        }
        for (c, message) in &world.sent {
            if !self.voters_deny && matches!(message, Message::PreVote { .. }) {
                continue;
            }
            steps.extend((0..VOTERS).map(|voter| Step::DeliverRequest(*c, *message, voter)));
        }
        if world.restarts < self.restarts {
            steps.extend((0..VOTERS).map(Step::Restart));
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let majority = VOTERS / 2 + 1;
        let mut world = before.clone();
        match step {
            Step::AdvanceTime => {
                world.ticks += 1;
                // A pre-vote without effect makes voters drop expired grants, so that fewer states differ without need.
                for voter in 0..VOTERS {
                    let now = world.voter_clock(voter);
                    world.voters[voter].machine.handle(
                        now,
                        Message::PreVote {
                            ballot: Ballot::default(),
                        },
                    );
                }
            }
            Step::RunTimer(c) => {
                let (now, wall_ms, mut out) = (world.clock(c), self.wall_ms(&world, c), Vec::new());
                world.candidates[c]
                    .machine
                    .tick(now, wall_ms, true, &mut out);
                world.process_output(c, out);
            }
            Step::Drain(c) => {
                let (now, mut out) = (world.clock(c), Vec::new());
                world.drains += 1;
                world.candidates[c].machine.release(now, &mut out);
                world.process_output(c, out);
            }
            Step::DeliverRequest(c, message, voter) => {
                let now = world.voter_clock(voter);
                let response = world.voters[voter].machine.handle(now, message);
                world.voters[voter].responses.extend(
                    response
                        .filter(|a| self.voters_deny || round_and_grant(a).1)
                        .map(|response| (c, response)),
                );
                world.drop_stale_responses();
            }
            Step::DeliverGrants(c) => {
                let mut responses = world.responses(c, true);
                if !self.voters_deny && world.candidates[c].round.1 == 0 {
                    responses = vec![
                        Message::PreVoteGranted {
                            ballot: world.candidates[c].round.0
                        };
                        majority
                    ];
                }
                if responses.len() < majority {
                    return None;
                }
                if self.fault == Fault::TermFromResponse
                    && matches!(responses[0], Message::Granted { .. })
                {
                    world.candidates[c].set_back_by +=
                        (world.clock(c) - world.candidates[c].request_sent_at).0;
                }
                let out = world.deliver_responses(c, &responses[..majority]);
                world.candidates[c].has_majority = true;
                world.process_output(c, out);
            }
            Step::DeliverDenial(c, voter) => {
                let higher = |(to, response): &&(usize, Message)| {
                    *to == c
                        && matches!(response, Message::Denied { ballot, highest, .. } if highest > ballot)
                };
                let response = world.voters[voter].responses.iter().find(higher)?.1;
                let out = world.deliver_responses(c, &[response]);
                world.process_output(c, out);
            }
            Step::DeliverDenials(c) => {
                let responses = world.responses(c, false);
                if responses.len() < majority {
                    return None;
                }
                let out = world.deliver_responses(c, &responses);
                world.process_output(c, out);
            }
            Step::Restart(voter) => {
                let now = world.voter_clock(voter);
                world.restarts += 1;
                world.voters[voter].machine = match self.fault {
                    Fault::NoInitialSilence => self.long_running_voter(now),
                    _ => Voter::new(self.voter_rules(), now),
                };
            }
        }
        world.voters.sort_by_cached_key(state_hash);
        (world != *before).then_some(world)
    }

    fn within_boundary(&self, world: &World) -> bool {
        let rounds = world.sent.iter().all(|(_, m)| match m {
            Message::RequestGrant { round, .. } => *round <= self.rounds,
            _ => true,
        });
        rounds && world.candidates.iter().all(|p| p.ballots <= self.ballots)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        vec![
            Property::always(ONE_HOLDER, |_, world: &World| world.holders() <= 1),
            Property::always(TOKENS_INCREASE, |_, world: &World| !world.token_not_higher),
            Property::sometimes(SECOND_LEASE, |_, world: &World| {
                world.acquisitions > 1 && world.holders() == 1
            }),
        ]
    }
}

/// The fastest clocks at voters and the slowest at candidates, with which grants are shortest and terms longest in true
/// time.
const WORST_CLOCK_RATES: ([u64; VOTERS], [u64; CANDIDATES]) = ([2; VOTERS], [1; CANDIDATES]);

impl Fleet {
    /// A search with the worst clock rates, one ballot per candidate and no draining.
    fn worst_case(ticks: u64, rounds: u32, restarts: u8) -> Fleet {
        let clock_rates = vec![WORST_CLOCK_RATES];
        Fleet {
            fault: Fault::None,
            ticks,
            ballots: 1,
            rounds,
            clock_rates,
            restarts,
            drains: 0,
            voters_deny: false,
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
fn no_order_of_events_gives_two_holders() {
    let mixed = vec![
        ([1, 2, 2], [1, 1]),
        ([2, 2, 2], [1, 2]),
        ([1, 1, 2], [2, 1]),
    ];
    let searches = [
        ("a voter restarts", Fleet::worst_case(2, 2, 1)),
        ("renewals end", Fleet::worst_case(3, 2, 0)),
        (
            "a holder drains and starts another election",
            Fleet {
                drains: 1,
                ballots: 2,
                ..Fleet::worst_case(2, 1, 0)
            },
        ),
        (
            "other clocks",
            Fleet {
                clock_rates: mixed,
                ..Fleet::worst_case(2, 1, 0)
            },
        ),
        (
            "voters answer pre-votes and deny",
            Fleet {
                voters_deny: true,
                ..Fleet::worst_case(1, 1, 0)
            },
        ),
    ];
    for (name, fleet) in searches {
        let has_time_for_two = fleet.ticks > 1;
        let (states, depth, found) = fleet.search(4, HasDiscoveries::All);
        println!("{name}: {states} states, depth {depth}");
        // No safety property may be violated. That another lease may follow has to be found where there is time for it.
        let expected: &[&str] = if has_time_for_two {
            &[SECOND_LEASE]
        } else {
            &[]
        };
        assert_eq!(
            found.keys().copied().collect::<Vec<_>>(),
            expected,
            "{name}: {found:#?}"
        );
    }
}

/// Each part of the rules is needed: without it, the search finds a sequence of steps that violates a property.
#[test]
fn each_fault_is_found() {
    let faults = [
        (
            Fault::NoInitialSilence,
            Fleet::worst_case(1, 1, 1),
            ONE_HOLDER,
        ),
        (
            Fault::TermFromResponse,
            Fleet::worst_case(2, 1, 0),
            ONE_HOLDER,
        ),
        (Fault::NoDriftMargin, Fleet::worst_case(1, 1, 0), ONE_HOLDER),
        (
            Fault::NoWallClock,
            Fleet::worst_case(2, 1, 1),
            TOKENS_INCREASE,
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
