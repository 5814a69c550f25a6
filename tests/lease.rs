//! Leases: random schedules of a fleet of five voters and three candidates, and tests of single rules.

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
    /// A candidate does nothing for so many milliseconds, and takes the messages that arrived meanwhile afterwards.
    Stall(usize, u64),
    /// A candidate drains, and wants the duty again after so many milliseconds.
    Drain(usize, u64),
    Die(usize),
    Restart(usize),
    RestartAll,
}

/// Network conditions and faults of one simulation.
#[derive(Clone, Debug)]
struct Conditions {
    seed: u64,
    loss_rate: f64,
    duplication_rate: f64,
    /// Milliseconds that a tenth of the messages take at most; the others take 20.
    delay: u64,
    faults: Vec<(u64, Fault)>,
}

const VOTERS: usize = 5;
const CANDIDATES: usize = 3;
/// Faults, loss and delay end after so many milliseconds of true time.
const FAULTS_END_MS: u64 = 20_000;
const MAX_DELAY_MS: u64 = 2_000;

/// A node's clock: true time with an error of its rate, from a start of its own.
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

struct CandidateNode {
    machine: Candidate,
    clock: LocalClock,
    /// How far its wall clock is ahead, in milliseconds.
    wall_ahead_ms: u64,
    stalled_until_ms: u64,
    unwanted_until_ms: u64,
}

struct SimulatedFleet {
    conditions: Conditions,
    random: Pcg32,
    rules: Rules,
    ms: u64,
    voters: Vec<(Voter, LocalClock)>,
    candidates: Vec<CandidateNode>,
    /// By the millisecond it arrives and a number; `true` to the voter, else to the candidate.
    network: BTreeMap<(u64, u64), (bool, usize, usize, Message)>,
    sent: u64,
    latest: Token,
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
            unwanted_until_ms: 0,
        };
        let candidates = (0..CANDIDATES).map(|_| candidate()).collect();
        let (network, latest, acquisitions) = (BTreeMap::new(), Token::default(), 0);
        SimulatedFleet {
            conditions,
            random,
            rules,
            ms: 0,
            voters,
            candidates,
            network,
            sent: 0,
            latest,
            acquisitions,
        }
    }

    fn chance(&mut self, part: f64) -> bool {
        f64::from(self.random.next_u32()) < part * 4_294_967_296.0
    }

    fn send(&mut self, to_voter: bool, voter: usize, candidate: usize, message: Message) {
        let faulty = self.ms < FAULTS_END_MS;
        let copies = if faulty {
            u64::from(!self.chance(self.conditions.loss_rate))
        } else {
            1
        };
        let copies = copies + u64::from(faulty && self.chance(self.conditions.duplication_rate));
        for _ in 0..copies {
            let late = faulty && self.chance(0.1);
            let delay = 1 + u64::from(self.random.next_u32())
                % if late { self.conditions.delay } else { 20 };
            self.sent += 1;
            self.network.insert(
                (self.ms + delay, self.sent),
                (to_voter, voter, candidate, message),
            );
        }
    }

    /// Sends what a candidate emitted and checks what became of it.
    fn finish_step(&mut self, candidate: usize, out: Vec<Message>) {
        for message in out {
            (0..VOTERS).for_each(|voter| self.send(true, voter, candidate, message));
        }
        for change in self.candidates[candidate].machine.take_events() {
            if let LeaseEvent::Acquired(token) = change {
                assert!(
                    token > self.latest,
                    "{token:?} after {:?} at {} ms",
                    self.latest,
                    self.ms
                );
                self.latest = token;
                self.acquisitions += 1;
            }
        }
        self.holder();
    }

    /// Who holds the duty by its own clock: one at most.
    fn holder(&self) -> Option<usize> {
        let holds = |r: &usize| {
            self.candidates[*r]
                .machine
                .held_token(self.candidates[*r].clock.at(self.ms))
                .is_some()
        };
        let holders: Vec<usize> = (0..CANDIDATES).filter(holds).collect();
        assert!(holders.len() <= 1, "{holders:?} hold at {} ms", self.ms);
        holders.first().copied()
    }

    fn inject(&mut self, fault: Fault) {
        let until = |ms: u64| (self.ms + ms).min(FAULTS_END_MS);
        match fault {
            Fault::Stall(r, ms) => self.candidates[r].stalled_until_ms = until(ms),
            Fault::Drain(r, ms) => self.candidates[r].unwanted_until_ms = until(ms),
            Fault::Die(r) => {
                self.candidates[r].machine = Candidate::new(self.rules, self.random.next_u64());
            }
            Fault::Restart(v) => self.restart(v),
            Fault::RestartAll => (0..VOTERS).for_each(|v| self.restart(v)),
        }
    }

    fn restart(&mut self, voter: usize) {
        let now = self.voters[voter].1.at(self.ms);
        self.voters[voter].0 = Voter::new(self.rules, now);
    }

    fn arrive(&mut self, to_voter: bool, voter: usize, candidate: usize, message: Message) {
        if to_voter {
            let (machine, clock) = &mut self.voters[voter];
            if let Some(answer) = machine.handle(clock.at(self.ms), message) {
                self.send(false, voter, candidate, answer);
            }
        } else if self.ms < self.candidates[candidate].stalled_until_ms {
            let due = (self.candidates[candidate].stalled_until_ms, self.sent);
            self.sent += 1;
            self.network
                .insert(due, (to_voter, voter, candidate, message));
        } else {
            let CandidateNode { machine, clock, .. } = &mut self.candidates[candidate];
            let mut out = Vec::new();
            machine.handle_response(clock.at(self.ms), voter, message, &mut out);
            self.finish_step(candidate, out);
        }
    }

    fn wake(&mut self, candidate: usize) {
        let CandidateNode {
            machine,
            clock,
            wall_ahead_ms,
            stalled_until_ms,
            unwanted_until_ms,
        } = &mut self.candidates[candidate];
        let (now, wanted) = (clock.at(self.ms), self.ms >= *unwanted_until_ms);
        if self.ms >= *stalled_until_ms
            && (!wanted || machine.next_tick_at().is_none_or(|at| at <= now))
        {
            let mut out = Vec::new();
            machine.tick(
                now,
                1_800_000_000_000 + self.ms + *wall_ahead_ms,
                wanted,
                &mut out,
            );
            self.finish_step(candidate, out);
        }
    }

    /// One millisecond of true time.
    fn advance_1_ms(&mut self) {
        self.ms += 1;
        self.holder();
        while let Some(due) = self
            .network
            .first_entry()
            .filter(|first| first.key().0 <= self.ms)
        {
            let (to_voter, voter, candidate, message) = due.remove();
            self.arrive(to_voter, voter, candidate, message);
        }
        (0..CANDIDATES).for_each(|candidate| self.wake(candidate));
        let now = self.ms;
        let (due, later) = std::mem::take(&mut self.conditions.faults)
            .into_iter()
            .partition(|t| t.0 <= now);
        self.conditions.faults = later;
        Vec::into_iter(due).for_each(|(_, fault)| self.inject(fault));
    }
}

fn conditions() -> impl Strategy<Value = Conditions> {
    let fault = prop_oneof![
        3 => (0..CANDIDATES, 100..6_000u64).prop_map(|(r, ms)| Fault::Stall(r, ms)),
        2 => (0..CANDIDATES, 100..4_000u64).prop_map(|(r, ms)| Fault::Drain(r, ms)),
        2 => (0..CANDIDATES).prop_map(Fault::Die),
        2 => (0..VOTERS).prop_map(Fault::Restart),
        1 => Just(Fault::RestartAll),
    ];
    let faults = proptest::collection::vec((0..FAULTS_END_MS, fault), 0..12);
    (any::<u64>(), 0.0..0.4, 0.0..0.3, 1..MAX_DELAY_MS, faults).prop_map(
        |(seed, loss_rate, duplication_rate, delay, faults)| Conditions {
            seed,
            loss_rate,
            duplication_rate,
            delay,
            faults,
        },
    )
}

/// Five voters, three candidates: one holder at most at every millisecond, tokens that grow, and after the faults
/// (its last messages still on their way) a holder again within four terms, who keeps the duty.
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
        while fleet.ms < FAULTS_END_MS + MAX_DELAY_MS {
            fleet.advance_1_ms();
        }
        while fleet.holder().is_none() {
            fleet.advance_1_ms();
            prop_assert!(
                fleet.ms < FAULTS_END_MS + MAX_DELAY_MS + 12_000,
                "nobody holds the duty"
            );
        }
        longest.set(longest.get().max(fleet.ms - FAULTS_END_MS));
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
        "{} leases, a holder again at most {} ms after the faults",
        acquisitions.get(),
        longest.get()
    );
}

const START: Time = Time(1_000_000_000);

fn rules() -> Rules {
    Rules::new(3, Micros(3_000_000), 0.01).unwrap()
}

/// Delivers messages between a candidate and voters, without loss or delay, until there are none left.
fn deliver_all(now: Time, candidate: &mut Candidate, voters: &mut [Voter], mut out: Vec<Message>) {
    while !out.is_empty() {
        let messages = std::mem::take(&mut out);
        for message in messages {
            for (v, voter) in voters.iter_mut().enumerate() {
                if let Some(answer) = voter.handle(now, message) {
                    candidate.handle_response(now, v, answer, &mut out);
                }
            }
        }
    }
}

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
fn a_stalled_holder_finds_its_term_over_before_its_next_act() {
    let (mut voters, mut candidate, token) = acquired_lease();
    let late = START + rules().term();
    assert_eq!(candidate.held_token(late - Micros(1)), Some(token));
    assert_eq!(candidate.held_token(late), None);
    // Responses that waited for it meanwhile do not restore the lease.
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
        "a lease that was interrupted has a token of its own"
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
            "the duty is held"
        );
    }
    // A restarted voter grants the other's pre-vote; that must not take its grant from the holder.
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
    // A request that arrives behind its release is not granted.
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
fn a_higher_token_ends_the_lease_and_the_next_bid_is_above_it() {
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
        "it is silent after its start"
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
fn rules_out_of_range_are_named() {
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
        for (kind, (number, by, round, now), from) in messages {
            let (ballot, highest) = (Ballot { number, incarnation: by }, Ballot { number: by, incarnation: number });
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
            prop_assert!(next.is_none_or(|at| at >= Time(now)), "it would be ticked for ever");
            candidate.handle_response(Time(now), from, message, &mut out);
            candidate.observe_token(Time(now), highest, &mut out);
        }
    }
}
