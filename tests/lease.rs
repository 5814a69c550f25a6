//! Tests of leases: random faults in a simulated fleet of five voters and three candidates, and tests of single rules.

use meadowproxy::fleet::fencing::{Fence, StaleToken};
use meadowproxy::fleet::lease::{
    Ballot, Candidate, LeaseEvent, LossReason, Message, Rules, RulesError, Token, Voter,
};
use meadowproxy::{Micros, Time};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cell::Cell;
use std::collections::BTreeMap;

/// A fault in the simulated fleet, at a candidate or voter given by its index.
#[derive(Clone, Debug)]
enum Fault {
    /// A candidate stalls for this number of milliseconds, and afterwards handles the messages that arrived in the
    /// meantime.
    Stall(usize, u64),
    /// A candidate drains, and wants the duty again after this number of milliseconds.
    Drain(usize, u64),
    /// A candidate crashes, and starts again without state.
    Crash(usize),
    /// A voter restarts with empty memory.
    Restart(usize),
    /// All voters restart with empty memory.
    RestartAll,
}

/// Network conditions and faults of one simulation.
#[derive(Clone, Debug)]
struct Conditions {
    seed: u64,
    loss_rate: f64,
    duplication_rate: f64,
    /// The maximum latency of a tenth of the messages, in milliseconds. The others take at most 20 ms.
    max_delay_ms: u64,
    /// The faults, with the time of each in milliseconds.
    faults: Vec<(u64, Fault)>,
}

const VOTERS: usize = 5;
const CANDIDATES: usize = 3;
/// When faults, loss and long delays end, in milliseconds of true time.
const FAULTS_END_MS: u64 = 20_000;
const MAX_DELAY_MS: u64 = 2_000;

/// A node's monotonic clock. Its rate differs from that of true time by up to 10%, and it starts at a random value.
#[derive(Clone, Copy)]
struct LocalClock {
    rate: f64,
    offset_us: u64,
}

impl LocalClock {
    fn draw(random: &mut Pcg32) -> LocalClock {
        LocalClock {
            rate: 1.0 + 0.1 * (f64::from(random.next_u32()) / 2_147_483_648.0 - 1.0),
            offset_us: random.next_u64() >> 16,
        }
    }

    fn at(self, ms: u64) -> Time {
        Time(self.offset_us + (ms as f64 * 1e3 * self.rate) as u64)
    }
}

/// A candidate with its clocks and the faults that affect it.
struct CandidateNode {
    machine: Candidate,
    clock: LocalClock,
    /// How far the wall clock is ahead, in milliseconds.
    wall_ahead_ms: u64,
    stalled_until_ms: u64,
    /// Until then the candidate doesn't want the duty, because it drains.
    draining_until_ms: u64,
}

/// The simulated voters and candidates, and the network between them.
struct SimulatedFleet {
    conditions: Conditions,
    random: Pcg32,
    rules: Rules,
    /// True time in milliseconds.
    now_ms: u64,
    voters: Vec<(Voter, LocalClock)>,
    candidates: Vec<CandidateNode>,
    /// The messages in flight, by arrival time in milliseconds and sequence number: whether the message goes to the
    /// voter or to the candidate, the indices of both, and the message.
    network: BTreeMap<(u64, u64), (bool, usize, usize, Message)>,
    sent: u64,
    /// The token of the last lease.
    latest_token: Token,
    acquisitions: u32,
}

impl SimulatedFleet {
    fn new(conditions: Conditions) -> SimulatedFleet {
        let mut random = Pcg32::seed_from_u64(conditions.seed);
        let rules = Rules::new(VOTERS, Micros(3_000_000), 0.1).unwrap();
        let mut voter = || {
            let clock = LocalClock::draw(&mut random);
            (Voter::new(rules, clock.at(0)), clock)
        };
        let voters = (0..VOTERS).map(|_| voter()).collect();
        let mut candidate = || CandidateNode {
            machine: Candidate::new(rules, random.next_u64()),
            clock: LocalClock::draw(&mut random),
            wall_ahead_ms: u64::from(random.next_u32() % 1_000),
            stalled_until_ms: 0,
            draining_until_ms: 0,
        };
        let candidates = (0..CANDIDATES).map(|_| candidate()).collect();
        let (network, latest_token, acquisitions) = (BTreeMap::new(), Token::default(), 0);
        SimulatedFleet {
            conditions,
            random,
            rules,
            now_ms: 0,
            voters,
            candidates,
            network,
            sent: 0,
            latest_token,
            acquisitions,
        }
    }

    fn chance(&mut self, probability: f64) -> bool {
        f64::from(self.random.next_u32()) < probability * 4_294_967_296.0
    }

    fn send(&mut self, to_voter: bool, voter: usize, candidate: usize, message: Message) {
        let faulty = self.now_ms < FAULTS_END_MS;
        let copies = if faulty {
            u64::from(!self.chance(self.conditions.loss_rate))
        } else {
            1
        };
        let copies = copies + u64::from(faulty && self.chance(self.conditions.duplication_rate));
        for _ in 0..copies {
            let late = faulty && self.chance(0.1);
            let delay = 1 + u64::from(self.random.next_u32())
                % if late {
                    self.conditions.max_delay_ms
                } else {
                    20
                };
            self.sent += 1;
            self.network.insert(
                (self.now_ms + delay, self.sent),
                (to_voter, voter, candidate, message),
            );
        }
    }

    /// Sends a candidate's messages to all voters, handles its events and checks that at most one candidate holds the
    /// lease.
    fn process_output(&mut self, candidate: usize, out: Vec<Message>) {
        for message in out {
            (0..VOTERS).for_each(|voter| self.send(true, voter, candidate, message));
        }
        for event in self.candidates[candidate].machine.take_events() {
            if let LeaseEvent::Acquired(token) = event {
                assert!(
                    token > self.latest_token,
                    "the lease after {:?} got the lower or equal token {token:?} at {} ms",
                    self.latest_token,
                    self.now_ms
                );
                self.latest_token = token;
                self.acquisitions += 1;
            }
        }
        self.holder();
    }

    /// The candidate that holds the lease according to its own clock. Checks that there is at most one.
    fn holder(&self) -> Option<usize> {
        let holds = |r: &usize| {
            self.candidates[*r]
                .machine
                .held_token(self.candidates[*r].clock.at(self.now_ms))
                .is_some()
        };
        let holders: Vec<usize> = (0..CANDIDATES).filter(holds).collect();
        assert!(
            holders.len() <= 1,
            "candidates {holders:?} hold the lease at {} ms",
            self.now_ms
        );
        holders.first().copied()
    }

    fn inject(&mut self, fault: Fault) {
        let until = |ms: u64| (self.now_ms + ms).min(FAULTS_END_MS);
        match fault {
            Fault::Stall(r, ms) => self.candidates[r].stalled_until_ms = until(ms),
            Fault::Drain(r, ms) => self.candidates[r].draining_until_ms = until(ms),
            Fault::Crash(r) => {
                self.candidates[r].machine = Candidate::new(self.rules, self.random.next_u64());
            }
            Fault::Restart(v) => self.restart(v),
            Fault::RestartAll => (0..VOTERS).for_each(|v| self.restart(v)),
        }
    }

    fn restart(&mut self, voter: usize) {
        let now = self.voters[voter].1.at(self.now_ms);
        self.voters[voter].0 = Voter::new(self.rules, now);
    }

    /// Delivers a message, or postpones it if the candidate is stalled.
    fn deliver(&mut self, to_voter: bool, voter: usize, candidate: usize, message: Message) {
        if to_voter {
            let (machine, clock) = &mut self.voters[voter];
            if let Some(response) = machine.handle(clock.at(self.now_ms), message) {
                self.send(false, voter, candidate, response);
            }
        } else if self.now_ms < self.candidates[candidate].stalled_until_ms {
            let due = (self.candidates[candidate].stalled_until_ms, self.sent);
            self.sent += 1;
            self.network
                .insert(due, (to_voter, voter, candidate, message));
        } else {
            let CandidateNode { machine, clock, .. } = &mut self.candidates[candidate];
            let mut out = Vec::new();
            machine.handle_response(clock.at(self.now_ms), voter, message, &mut out);
            self.process_output(candidate, out);
        }
    }

    /// Calls a candidate's timer if it is due, or in any case while the candidate drains. Does nothing while it is stalled.
    fn run_timer(&mut self, candidate: usize) {
        let CandidateNode {
            machine,
            clock,
            wall_ahead_ms,
            stalled_until_ms,
            draining_until_ms,
        } = &mut self.candidates[candidate];
        let (now, wanted) = (clock.at(self.now_ms), self.now_ms >= *draining_until_ms);
        if self.now_ms >= *stalled_until_ms
            && (!wanted || machine.next_tick_at().is_none_or(|at| at <= now))
        {
            let mut out = Vec::new();
            machine.tick(
                now,
                1_800_000_000_000 + self.now_ms + *wall_ahead_ms,
                wanted,
                &mut out,
            );
            self.process_output(candidate, out);
        }
    }

    /// Advances true time by one millisecond.
    fn advance_1_ms(&mut self) {
        self.now_ms += 1;
        self.holder();
        while let Some(due) = self
            .network
            .first_entry()
            .filter(|first| first.key().0 <= self.now_ms)
        {
            let (to_voter, voter, candidate, message) = due.remove();
            self.deliver(to_voter, voter, candidate, message);
        }
        (0..CANDIDATES).for_each(|candidate| self.run_timer(candidate));
        let now = self.now_ms;
        let (due, later) = std::mem::take(&mut self.conditions.faults)
            .into_iter()
            .partition(|fault| fault.0 <= now);
        self.conditions.faults = later;
        Vec::into_iter(due).for_each(|(_, fault)| self.inject(fault));
    }
}

fn conditions() -> impl Strategy<Value = Conditions> {
    let fault = prop_oneof![
        3 => (0..CANDIDATES, 100..6_000u64).prop_map(|(r, ms)| Fault::Stall(r, ms)),
        2 => (0..CANDIDATES, 100..4_000u64).prop_map(|(r, ms)| Fault::Drain(r, ms)),
        2 => (0..CANDIDATES).prop_map(Fault::Crash),
        2 => (0..VOTERS).prop_map(Fault::Restart),
        1 => Just(Fault::RestartAll),
    ];
    let faults = proptest::collection::vec((0..FAULTS_END_MS, fault), 0..12);
    (any::<u64>(), 0.0..0.4, 0.0..0.3, 1..MAX_DELAY_MS, faults).prop_map(
        |(seed, loss_rate, duplication_rate, max_delay_ms, faults)| Conditions {
            seed,
            loss_rate,
            duplication_rate,
            max_delay_ms,
            faults,
        },
    )
}

/// With five voters and three candidates, at most one candidate holds the lease at every millisecond, and tokens
/// increase. When the faults are over and the last delayed messages have arrived, a candidate acquires the lease within
/// four terms and keeps it.
#[test]
fn random_faults_never_give_two_holders_and_a_holder_follows() {
    let config = ProptestConfig {
        cases: 128,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let (longest, acquisitions) = (Cell::new(0), Cell::new(0));
    let run = |conditions: Conditions| {
        let mut fleet = SimulatedFleet::new(conditions);
        while fleet.now_ms < FAULTS_END_MS + MAX_DELAY_MS {
            fleet.advance_1_ms();
        }
        while fleet.holder().is_none() {
            fleet.advance_1_ms();
            prop_assert!(
                fleet.now_ms < FAULTS_END_MS + MAX_DELAY_MS + 12_000,
                "no candidate holds the lease within four terms after the faults"
            );
        }
        longest.set(longest.get().max(fleet.now_ms - FAULTS_END_MS));
        acquisitions.set(acquisitions.get() + fleet.acquisitions);
        let holder = fleet.holder();
        for _ in 0..6_000 {
            fleet.advance_1_ms();
            prop_assert_eq!(fleet.holder(), holder);
        }
        Ok(())
    };
    runner.run(&conditions(), run).unwrap();
    println!(
        "{} leases; at most {} ms from the end of the faults until a candidate held the lease",
        acquisitions.get(),
        longest.get()
    );
}

const START: Time = Time(1_000_000_000);

fn rules() -> Rules {
    Rules::new(3, Micros(3_000_000), 0.01).unwrap()
}

/// Delivers messages between a candidate and voters without loss or delay, including all responses.
fn deliver_all(now: Time, candidate: &mut Candidate, voters: &mut [Voter], mut out: Vec<Message>) {
    while !out.is_empty() {
        let messages = std::mem::take(&mut out);
        for message in messages {
            for (v, voter) in voters.iter_mut().enumerate() {
                if let Some(response) = voter.handle(now, message) {
                    candidate.handle_response(now, v, response, &mut out);
                }
            }
        }
    }
}

/// Calls a candidate's timer and delivers all messages. Returns the token if the candidate holds the lease.
fn tick(now: Time, candidate: &mut Candidate, voters: &mut [Voter]) -> Option<Token> {
    let mut out = Vec::new();
    candidate.tick(now, 7, true, &mut out);
    deliver_all(now, candidate, voters, out);
    candidate.held_token(now)
}

/// Voters whose silence is over, and a candidate that holds the lease.
fn acquired_lease() -> (Vec<Voter>, Candidate, Token) {
    let mut voters = vec![Voter::new(rules(), START - rules().grant_duration()); 3];
    let mut candidate = Candidate::new(rules(), 1);
    let token = tick(START, &mut candidate, &mut voters).unwrap();
    assert_eq!(
        (token.number, candidate.take_events()),
        (7, vec![LeaseEvent::Acquired(token)])
    );
    (voters, candidate, token)
}

#[test]
fn a_holder_that_stalled_for_a_term_does_not_act_on_its_lease() {
    let (mut voters, mut candidate, token) = acquired_lease();
    let late = START + rules().term();
    assert_eq!(candidate.held_token(late - Micros(1)), Some(token));
    assert_eq!(candidate.held_token(late), None);
    // Responses that arrived during the stall do not restore the lease.
    let mut out = Vec::new();
    candidate.handle_response(
        late,
        0,
        Message::Granted {
            ballot: token,
            round: 1,
        },
        &mut out,
    );
    assert_eq!(
        (candidate.held_token(late), &out[..]),
        (None, &[Message::Release { ballot: token }][..])
    );
    assert_eq!(
        candidate.take_events(),
        [LeaseEvent::Lost(token, LossReason::Expired)]
    );
    deliver_all(late, &mut candidate, &mut voters, out);
    let reacquired = tick(
        candidate.next_tick_at().unwrap(),
        &mut candidate,
        &mut voters,
    );
    assert!(
        reacquired > Some(token),
        "the lease after an interruption has no higher token"
    );
}

#[test]
fn a_draining_holder_releases_at_once_and_a_renewing_one_keeps_its_token() {
    let (mut voters, mut candidate, token) = acquired_lease();
    let mut other = Candidate::new(rules(), 2);
    for _ in 0..9 {
        let now = candidate.next_tick_at().unwrap();
        assert_eq!(tick(now, &mut candidate, &mut voters), Some(token));
        let asked = other.next_tick_at().unwrap_or(now).max(now);
        assert_eq!(
            tick(asked, &mut other, &mut voters),
            None,
            "another candidate acquired a lease that is held"
        );
    }
    // A restarted voter grants the pre-vote of the other candidate. This must not keep the holder from its grant.
    let now = candidate.next_tick_at().unwrap();
    voters[0] = Voter::new(rules(), now - rules().grant_duration());
    assert_eq!(
        tick(
            other.next_tick_at().unwrap().max(now),
            &mut other,
            &mut voters
        ),
        None
    );
    assert_eq!(tick(now, &mut candidate, &mut voters), Some(token));
    assert_eq!(voters[0].granted_ballot(now), Some(token));
    let mut out = Vec::new();
    candidate.release(now, &mut out);
    assert_eq!(
        (candidate.next_tick_at(), candidate.take_events()),
        (None, vec![LeaseEvent::Lost(token, LossReason::Released)])
    );
    deliver_all(now, &mut candidate, &mut voters, out);
    // A request that arrives after the release of its lease is not granted.
    let late = voters[1].handle(
        now,
        Message::RequestGrant {
            ballot: token,
            round: 1,
        },
    );
    assert!(matches!(late, Some(Message::Denied { .. })), "{late:?}");
    assert!(tick(other.next_tick_at().unwrap(), &mut other, &mut voters) > Some(token));
}

#[test]
fn a_higher_token_ends_the_lease_and_the_next_ballot_is_above_it() {
    let (mut voters, mut candidate, token) = acquired_lease();
    let higher = Ballot {
        number: 90,
        incarnation: 5,
    };
    let mut out = Vec::new();
    candidate.observe_token(START, token, &mut out);
    assert_eq!(candidate.held_token(START), Some(token));
    candidate.observe_token(START, higher, &mut out);
    assert_eq!(
        candidate.take_events(),
        [LeaseEvent::Lost(token, LossReason::Superseded(higher))]
    );
    deliver_all(START, &mut candidate, &mut voters, out);
    assert!(
        tick(
            candidate.next_tick_at().unwrap(),
            &mut candidate,
            &mut voters
        ) > Some(higher)
    );
    // A restarted voter that observed a token grants nothing below it.
    let mut voter = Voter::new(rules(), START);
    let request = Message::RequestGrant {
        ballot: token,
        round: 1,
    };
    voter.observe_token(higher);
    assert_eq!(
        voter.handle(START, request),
        None,
        "the voter answered during its silence after the start"
    );
    let denied = Message::Denied {
        ballot: token,
        round: 1,
        highest: higher,
    };
    assert_eq!(
        voter.handle(START + rules().grant_duration(), request),
        Some(denied)
    );
}

#[test]
fn the_fence_rejects_and_counts_stale_tokens() {
    let (low, high) = (
        Ballot {
            number: 4,
            incarnation: 9,
        },
        Ballot {
            number: 5,
            incarnation: 1,
        },
    );
    let mut fence = Fence::default();
    assert_eq!(fence.admit("calendar", low), Ok(()));
    fence.observe("calendar", high);
    fence.observe("calendar", low);
    assert_eq!(
        fence.admit("calendar", low),
        Err(StaleToken { highest: high })
    );
    assert_eq!(
        (fence.admit("calendar", high), fence.admit("other", low)),
        (Ok(()), Ok(()))
    );
    assert_eq!(
        (fence.rejected(), fence.highest(&"calendar")),
        (1, Some(high))
    );
    assert_eq!(
        fence.tokens().collect::<Vec<_>>(),
        [(&"calendar", high), (&"other", low)]
    );
}

#[test]
fn each_rule_out_of_range_has_its_error() {
    let term = Micros(1_000);
    assert_eq!(Rules::new(4, term, 0.0), Err(RulesError::Voters(4)));
    assert_eq!(
        Rules::new(3, Micros(u64::MAX), 0.0),
        Err(RulesError::Term(Micros(u64::MAX)))
    );
    for drift in [-0.1, 0.5, f64::NAN] {
        assert_eq!(Rules::new(3, term, drift), Err(RulesError::Drift));
    }
    assert_eq!(
        Rules::new(3, term, 0.25).unwrap().grant_duration(),
        Micros(1_667)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    /// Arbitrary messages at arbitrary times cause no panic.
    #[test]
    fn no_message_causes_a_panic(messages in proptest::collection::vec(
        (0..6u8, any::<(u64, u64, u32, u64)>(), 0..300usize), 1..40,
    )) {
        let (mut voter, mut candidate, mut out) = (Voter::new(rules(), Time(0)), Candidate::new(rules(), 3), Vec::new());
        for (kind, (number, incarnation, round, now), from) in messages {
            let (ballot, highest) = (Ballot { number, incarnation }, Ballot { number: incarnation, incarnation: number });
            let message = match kind {
                0 => Message::PreVote { ballot },
                1 => Message::PreVoteGranted { ballot },
                2 => Message::RequestGrant { ballot, round },
                3 => Message::Granted { ballot, round },
                4 => Message::Denied { ballot, round, highest },
                _ => Message::Release { ballot },
            };
            voter.handle(Time(now), message);
            candidate.tick(Time(now), number, kind != 0, &mut out);
            let next = candidate.next_tick_at();
            prop_assert!(next.is_none_or(|at| at >= Time(now)), "the next tick at {next:?} is before now, {now} us");
            candidate.handle_response(Time(now), from, message, &mut out);
            candidate.observe_token(Time(now), highest, &mut out);
        }
    }
}
