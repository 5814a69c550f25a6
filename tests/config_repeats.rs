//! A submission that arrives again at a leader that does not know the ids of earlier changes: it is made once, and what the
//! operator is told of it is true or "unknown". Real replicas in a fleet of three with one voter, on simulated time.

use meadowproxy::fleet::config::{
    AcceptedChange, AppliedChanges, Change, Context, Edit, Event, Key, Kind, Message, Outbox,
    Outgoing, PaxosMessage, PositionRange, Replica, Rules, Submission, SubmissionStatus,
    SubmitError, Table, Value, MAX_APPLIED_IDS,
};
use meadowproxy::fleet::lease::{self, Ballot, Token};
use meadowproxy::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

const TICK: Micros = Micros(50_000);
const SECOND: Micros = Micros(1_000_000);
const WALL_MS: u64 = 1_800_000_000_000;
/// The voter, which is the leader.
const LEADER: usize = 0;
/// Where the first operator calls.
const SUBMITTER: usize = 1;
/// Where the other operators call.
const OTHER: usize = 2;
const SIZE: usize = 3;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16))
}

fn edit(name: &str, value: Value) -> Edit {
    let key = Key {
        kind: Kind::Tenant,
        name: name.into(),
    };
    Edit { key, value }
}

fn set(name: &str, value: &str) -> Edit {
    edit(name, Value::Set(value.into()))
}

struct InFlight {
    from: usize,
    to: usize,
    message: Message,
}

struct Fleet {
    now: Time,
    replicas: Vec<Replica>,
    token: Token,
    /// A proxy that hears and reaches nobody.
    cut_off: Option<usize>,
    /// The submitter hears only how its submissions end, and so learns of no change by itself.
    hears_outcomes_only: bool,
    wire: VecDeque<InFlight>,
    submissions: u64,
    outcomes: BTreeMap<u64, Result<u64, SubmitError>>,
    /// The changes that the voter applied, by version.
    chain: BTreeMap<u64, Change>,
}

impl Fleet {
    fn new() -> Fleet {
        let now = Time(10_000_000);
        let mut fleet = Fleet {
            now,
            replicas: (0..SIZE).map(|n| new_replica(n, now)).collect(),
            token: Token::default(),
            cut_off: None,
            hears_outcomes_only: false,
            wire: VecDeque::new(),
            submissions: 0,
            outcomes: BTreeMap::new(),
            chain: BTreeMap::new(),
        };
        fleet.elect();
        fleet.run(6);
        fleet
    }

    fn elect(&mut self) {
        self.token = Ballot {
            number: self.token.number + 1,
            incarnation: 1,
        };
    }

    fn step(&mut self, n: usize, step: impl FnOnce(&mut Replica, Time, &Context, &mut Outbox)) {
        let members: Vec<SocketAddr> = (0..SIZE).filter(|m| *m != n).map(address).collect();
        let context = Context {
            wall_ms: WALL_MS + self.now.0 / 1000,
            members: &members,
            zone_members: &[],
            lease: (n == LEADER).then_some(self.token),
            leader: Some(address(LEADER)),
        };
        let mut out = Vec::new();
        step(&mut self.replicas[n], self.now, &context, &mut out);
        for Outgoing { to, message } in out {
            let to = usize::from(to.port()) - 1000;
            let from = n;
            self.wire.push_back(InFlight { from, to, message });
        }
        for event in self.replicas[n].take_events() {
            if let Event::Outcome { id, result } = event {
                self.outcomes.insert(id, result);
            }
        }
        let applied = self.replicas[LEADER].table().changes_since(0);
        for change in applied.into_iter().flatten() {
            self.chain.insert(change.version, change.clone());
        }
    }

    /// Delivers everything in flight, and what follows from it.
    fn deliver(&mut self) {
        while let Some(InFlight { from, to, message }) = self.wire.pop_front() {
            let lost = self.hears_outcomes_only
                && to == SUBMITTER
                && !matches!(message, Message::Outcome { .. });
            if self.cut_off != Some(to) && !lost {
                self.step(to, |replica, now, context, out| {
                    // A rejected message is of a catch-up that is over.
                    let _ = replica.handle(now, context, address(from), message, out);
                });
            }
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        for n in 0..SIZE {
            self.step(n, Replica::tick);
            if self.cut_off == Some(n) {
                self.wire.retain(|in_flight| in_flight.from != n);
            }
        }
        self.deliver();
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now + Micros(SECOND.0 * seconds);
        while self.now < end {
            self.tick();
        }
    }

    /// An operator's call at a proxy, for a change made from a version.
    fn submit(&mut self, n: usize, base: u64, edits: Vec<Edit>) -> u64 {
        self.submissions += 1;
        let id = self.submissions;
        self.step(n, |replica, now, context, out| {
            let submission = Submission { id, base, edits };
            replica.submit(now, context, submission, out).unwrap();
        });
        id
    }

    /// A change at [`SUBMITTER`] that comes into force; the answer, and all else for that proxy, is lost.
    fn submit_without_answer(&mut self, edits: Vec<Edit>) -> u64 {
        let base = self.version();
        let id = self.submit(SUBMITTER, base, edits);
        self.cut_off = Some(SUBMITTER);
        self.deliver();
        assert!(self.version() > base, "it is in force");
        assert_eq!(self.outcomes.get(&id), None);
        id
    }

    /// A change at another proxy that is acknowledged.
    fn change(&mut self, edits: Vec<Edit>) -> u64 {
        let base = self.version();
        let id = self.submit(OTHER, base, edits);
        self.deliver();
        match self.outcomes.get(&id) {
            Some(Ok(version)) => *version,
            outcome => panic!("{outcome:?}"),
        }
    }

    fn version(&self) -> u64 {
        self.replicas[LEADER].table().version()
    }

    fn value(&self, name: &str) -> Option<Value> {
        let position = edit(name, Value::Removed).key.position();
        let entry = self.replicas[LEADER].table().get(position)?;
        Some(entry.edit.value.clone())
    }

    /// A datagram of [`OTHER`] with a submission arrives at the leader, also one that arrived before.
    fn receive_again(&mut self, id: u64, base: u64, edits: Vec<Edit>) {
        let message = Message::Submit(Submission { id, base, edits });
        self.wire.push_back(InFlight {
            from: OTHER,
            to: LEADER,
            message,
        });
        self.deliver();
    }

    /// These proxies start from the copies that they stored, as all do in a rollout.
    fn restart(&mut self, proxies: &[usize]) {
        for &n in proxies {
            let table = self.replicas[n].table();
            let entries = table.range(PositionRange::ALL);
            let entries = entries.map(|(_, entry)| entry.clone()).collect();
            let table = Table::restore(table.digest(), entries).unwrap();
            self.replicas[n] = new_replica(n, self.now);
            self.step(n, |replica, _, _, _| replica.restore(table));
        }
        self.elect();
    }

    /// The leader starts with an empty table and fetches another one's, whose log does not reach back.
    fn fetch(&mut self) {
        self.restart(&[OTHER]);
        self.replicas[LEADER] = new_replica(LEADER, self.now);
        self.elect();
    }

    /// The submitter reaches the leader again.
    fn heal(&mut self) {
        self.cut_off = None;
        self.hears_outcomes_only = true;
    }

    /// Checks what became of a change that was in force as `version` before its submission arrived again.
    fn check(&self, id: u64, version: u64) {
        let made: Vec<u64> = self
            .chain
            .values()
            .filter(|change| change.id == id)
            .map(|change| change.version)
            .collect();
        assert_eq!(made, [version], "it is made once");
        match self.outcomes.get(&id) {
            Some(Ok(told)) => assert_eq!(*told, version, "the version is its own"),
            Some(Err(SubmitError::Unknown)) => {}
            outcome => panic!("it is in force, and the operator was told {outcome:?}"),
        }
    }
}

fn new_replica(n: usize, now: Time) -> Replica {
    let rules = Rules {
        lease: lease::Rules::new(1, Micros(3_000_000), 0.01).unwrap(),
        voters: vec![address(LEADER)],
        own: address(n),
    };
    Replica::new(rules, n as u64, now)
}

/// How the leader came to lack the ids of earlier changes.
const LOSSES: [fn(&mut Fleet); 2] = [
    |fleet| fleet.restart(&[LEADER, OTHER]),
    |fleet| fleet.fetch(),
];

/// One change by what it does to the entry t-1.
fn first_changes() -> [Vec<Edit>; 3] {
    [
        vec![set("t-1", "first")],
        vec![edit("t-1", Value::Removed)],
        vec![set("t-0", "first"), set("t-1", "first")],
    ]
}

/// Plays a change without an answer, `between`, the loss of the ids, and the submission again.
fn play(edits: Vec<Edit>, between: fn(&mut Fleet), lose: fn(&mut Fleet)) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.change(vec![set("t-0", "before"), set("t-1", "before")]);
    let id = fleet.submit_without_answer(edits);
    let version = fleet.version();
    between(&mut fleet);
    lose(&mut fleet);
    fleet.run(5); // the voter recovers
    fleet.heal();
    fleet.run(8);
    fleet.check(id, version);
    fleet
}

/// A lost update: an operator's change that arrived again was put over a later one, which is only in the files by now.
#[test]
fn a_repeated_change_is_not_put_over_a_later_one() {
    for edits in first_changes() {
        for lose in LOSSES {
            let between = |fleet: &mut Fleet| {
                let version = fleet.change(vec![set("t-1", "second")]);
                fleet.change(vec![Edit::compact_up_to(version)]);
            };
            let fleet = play(edits.clone(), between, lose);
            assert_eq!(fleet.value("t-1"), None, "the files have the second");
        }
    }
}

/// An operator was told "conflict" (409) of a change in force, which arrived again after another one of the same entry.
#[test]
fn a_change_in_force_is_not_reported_as_a_conflict() {
    for edits in first_changes() {
        for lose in LOSSES {
            let between = |fleet: &mut Fleet| {
                fleet.change(vec![set("t-1", "second")]);
            };
            let fleet = play(edits.clone(), between, lose);
            assert_eq!(fleet.value("t-1"), Some(Value::Set("second".into())));
        }
    }
}

/// An operator was told the version of another change.
#[test]
fn a_change_is_acknowledged_with_its_own_version() {
    for edits in first_changes() {
        for lose in LOSSES {
            let between = |fleet: &mut Fleet| {
                fleet.change(vec![set("t-2", "other")]);
            };
            play(edits.clone(), between, lose);
        }
    }
}

/// An operator was told "conflict" of a change in force, which arrived again after more changes than a leader looked at.
#[test]
fn a_change_is_known_after_many_others() {
    for edits in first_changes() {
        let between = |fleet: &mut Fleet| {
            for n in 0..100 {
                fleet.change(vec![set("t-1", &n.to_string())]);
            }
        };
        let fleet = play(edits, between, |_| {});
        assert!(fleet.outcomes[&2].is_ok(), "the leader knows it");
    }
}

/// A leader that lacks ids makes changes from its own version at once, and such from older ones after a while.
#[test]
fn new_changes_are_made_at_a_leader_without_ids() {
    for lose in LOSSES {
        let mut fleet = Fleet::new();
        fleet.cut_off = Some(SUBMITTER); // whose log has them
        let old = fleet.change(vec![set("t-1", "first")]);
        fleet.change(vec![set("t-2", "second")]);
        lose(&mut fleet);
        fleet.run(5);
        fleet.change(vec![set("t-3", "third")]);
        fleet.run(6);
        let id = fleet.submit(OTHER, old, vec![set("t-4", "fourth")]);
        fleet.run(1);
        assert_eq!(fleet.outcomes.get(&id), None, "not known yet");
        fleet.run(9);
        let outcome = fleet.outcomes.get(&id);
        assert!(matches!(outcome, Some(Ok(_))), "{outcome:?}");
    }
}

/// A change was made again after so many others that its id was no longer kept.
#[test]
fn a_change_beyond_the_kept_ids_is_unknown_until_it_cannot_arrive_again() {
    let made = Time(10_000_000);
    let mut applied = AppliedChanges::new(made);
    let count = MAX_APPLIED_IDS as u64 + 1;
    for version in 1..=count {
        applied.record(version, version);
    }
    let origin = |applied: &AppliedChanges, id, base| {
        let edits = Vec::new();
        applied.status(&Submission { id, base, edits }, count)
    };
    assert_eq!(origin(&applied, 2, 0), SubmissionStatus::Applied(2));
    assert_eq!(origin(&applied, 1, 0), SubmissionStatus::Unknown);
    assert_eq!(
        origin(&applied, 0, 1),
        SubmissionStatus::New,
        "from a known version"
    );
    assert_eq!(
        origin(&applied, 0, count + 1),
        SubmissionStatus::Unknown,
        "from none"
    );
    applied.set_time(made + Micros(14_999_999));
    assert_eq!(origin(&applied, 1, 0), SubmissionStatus::Unknown);
    applied.set_time(made + Micros(15_000_000));
    assert_eq!(
        origin(&applied, 1, 0),
        SubmissionStatus::New,
        "no repeat any more"
    );
}

/// A change was made after its operator was told that all was so already: a duplicate of the submission arrived after the
/// entry had been compacted into the files.
#[test]
fn a_duplicate_of_an_answered_submission_makes_no_change() {
    let mut fleet = Fleet::new();
    let removed = vec![edit("t-1", Value::Removed)];
    let version = fleet.change(removed.clone());
    let id = fleet.submit(OTHER, version, removed.clone());
    fleet.deliver();
    assert_eq!(fleet.outcomes[&id], Ok(version));
    fleet.change(vec![Edit::compact_up_to(version)]);
    fleet.receive_again(id, version, removed);
    assert!(fleet.chain.values().all(|change| change.id != id));
}

/// A change was made after its operator was told that too many wait: a duplicate arrived when there was room again.
#[test]
fn a_duplicate_of_a_rejected_submission_makes_no_change() {
    let mut fleet = Fleet::new();
    let base = fleet.version();
    fleet.elect(); // replies to what the leader proposes under the old token do not count
    let edits = |n: u64| vec![set(&format!("t-{n}"), "new")];
    let last = 166; // one is proposed and 64 wait
    for id in 101..=last {
        fleet.receive_again(id, base, edits(id));
    }
    fleet.run(2);
    fleet.receive_again(last, base, edits(last));
    fleet.run(2);
    assert!(fleet.chain.values().all(|change| change.id != last));
}

/// A lost update: a change that was made from an old version went over a later one that had been compacted into the files.
#[test]
fn a_change_from_before_a_compaction_conflicts_with_it() {
    let mut fleet = Fleet::new();
    let old = fleet.change(vec![set("t-1", "first")]);
    let later = fleet.change(vec![set("t-1", "second")]);
    fleet.change(vec![Edit::compact_up_to(later)]);
    let compaction = fleet.version();
    let id = fleet.submit(OTHER, old, vec![set("t-1", "from the first")]);
    fleet.deliver();
    let conflict = SubmitError::Conflict {
        key: "tenants.t-1".into(),
        version: compaction,
    };
    assert_eq!(fleet.outcomes[&id], Err(conflict));
    fleet.change(vec![set("t-1", "from the compaction")]);
}

/// An operator was told the version of another change: the leader finished the one that an earlier leader had proposed, while
/// its submission waited here behind another one.
#[test]
fn a_queued_change_that_an_earlier_leader_proposed_has_its_own_version() {
    let rules = Rules {
        lease: lease::Rules::new(3, Micros(3_000_000), 0.01).unwrap(),
        voters: (0..3).map(address).collect(),
        own: address(3),
    };
    let first_token = Ballot {
        number: 1,
        incarnation: 1,
    };
    let now = Time(10_000_000);
    let mut leader = Replica::new(rules, 1, now);
    let context = Context {
        wall_ms: WALL_MS,
        members: &[],
        zone_members: &[],
        lease: Some(second_token()),
        leader: Some(address(3)),
    };
    let submitter = address(4);
    let mut out = Vec::new();
    leader.tick(now, &context, &mut out);
    let mut receive = |from, message| {
        let mut out = Vec::new();
        leader
            .handle(now, &context, from, message, &mut out)
            .unwrap();
        out
    };
    let submission = |id, name: &str| Submission {
        id,
        base: 0,
        edits: vec![set(name, "new")],
    };
    receive(submitter, Message::Submit(submission(9, "t-9")));
    receive(submitter, Message::Submit(submission(7, "t-7")));
    let proposed = Change {
        version: 1,
        previous: 0,
        id: 7,
        edits: submission(7, "t-7").edits,
    };
    let promise = PaxosMessage::Promise {
        token: second_token(),
        round: 1,
        version: 0,
        accepted: Some(AcceptedChange {
            token: first_token,
            change: proposed,
        }),
        version_floor: 0,
    };
    let mut sent = Vec::new();
    for voter in [0, 1] {
        sent.extend(receive(address(voter), Message::Paxos(promise.clone())));
    }
    assert_eq!(
        outcomes_with_accepting_voters(sent, receive),
        BTreeMap::from([(7, Ok(1)), (9, Ok(2))])
    );
}

/// Lets two voters accept all that a leader of the second token proposes, and returns the outcomes that it sends.
fn outcomes_with_accepting_voters(
    mut sent: Outbox,
    mut receive: impl FnMut(SocketAddr, Message) -> Outbox,
) -> BTreeMap<u64, Result<u64, SubmitError>> {
    let token = second_token();
    let mut outcomes = BTreeMap::new();
    while !sent.is_empty() {
        let mut rounds = BTreeSet::new();
        for outgoing in std::mem::take(&mut sent) {
            match outgoing.message {
                Message::Paxos(PaxosMessage::Accept { round, .. }) => drop(rounds.insert(round)),
                Message::Outcome { id, result } => drop(outcomes.insert(id, result)),
                _ => {}
            }
        }
        for (round, voter) in rounds
            .into_iter()
            .flat_map(|round| [(round, 0), (round, 1)])
        {
            let accepted = Message::Paxos(PaxosMessage::Accepted { token, round });
            sent.extend(receive(address(voter), accepted));
        }
    }
    outcomes
}

fn second_token() -> Token {
    Ballot {
        number: 2,
        incarnation: 1,
    }
}
