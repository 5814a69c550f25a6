//! Tests duplicates of a submission that reach a leader which doesn't know the ids of earlier changes: the change is
//! applied only once, and the outcome that the operator gets is correct or "unknown". Three real replicas, one of them
//! a voter, run in simulated time.

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
/// The wall clock at time 0, in milliseconds since the Unix epoch.
const WALL_START_MS: u64 = 1_800_000_000_000;
/// The only voter, which is always the leader.
const LEADER: usize = 0;
/// The proxy where the operator submits the change whose duplicates are tested.
const SUBMITTER: usize = 1;
/// The proxy where operators submit the other changes.
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

/// A message in the simulated network.
struct InFlight {
    from: usize,
    to: usize,
    message: Message,
}

/// The three replicas and the network between them.
struct Fleet {
    now: Time,
    replicas: Vec<Replica>,
    token: Token,
    /// A proxy that receives no messages, and whose messages do not arrive.
    isolated: Option<usize>,
    /// Whether the submitter receives only outcomes of submissions, so that it doesn't learn of changes by itself.
    receives_outcomes_only: bool,
    in_flight: VecDeque<InFlight>,
    submissions: u64,
    /// The outcome of each submission, by its id.
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
            isolated: None,
            receives_outcomes_only: false,
            in_flight: VecDeque::new(),
            submissions: 0,
            outcomes: BTreeMap::new(),
            chain: BTreeMap::new(),
        };
        fleet.elect();
        fleet.run(6);
        fleet
    }

    /// Gives the leader a new token.
    fn elect(&mut self) {
        self.token = Ballot {
            number: self.token.number + 1,
            incarnation: 1,
        };
    }

    /// Calls the replica of proxy `n`, sends its messages, and records outcomes and the leader's changes.
    fn step(&mut self, n: usize, call: impl FnOnce(&mut Replica, Time, &Context, &mut Outbox)) {
        let members: Vec<SocketAddr> = (0..SIZE).filter(|m| *m != n).map(address).collect();
        let context = Context {
            wall_ms: WALL_START_MS + self.now.0 / 1000,
            members: &members,
            zone_members: &[],
            lease: (n == LEADER).then_some(self.token),
            leader: Some(address(LEADER)),
        };
        let mut out = Vec::new();
        call(&mut self.replicas[n], self.now, &context, &mut out);
        for Outgoing { to, message } in out {
            let to = usize::from(to.port()) - 1000;
            let from = n;
            self.in_flight.push_back(InFlight { from, to, message });
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

    /// Delivers all messages in flight, and those sent in response.
    fn deliver(&mut self) {
        while let Some(InFlight { from, to, message }) = self.in_flight.pop_front() {
            let lost = self.receives_outcomes_only
                && to == SUBMITTER
                && !matches!(message, Message::Outcome { .. });
            if self.isolated != Some(to) && !lost {
                self.step(to, |replica, now, context, out| {
                    // A replica rejects a message of a catch-up that is over.
                    let _ = replica.handle(now, context, address(from), message, out);
                });
            }
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        for n in 0..SIZE {
            self.step(n, Replica::tick);
            if self.isolated == Some(n) {
                self.in_flight.retain(|message| message.from != n);
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

    /// Submits an operator's change at a proxy, made from version `base`.
    fn submit(&mut self, n: usize, base: u64, edits: Vec<Edit>) -> u64 {
        self.submissions += 1;
        let id = self.submissions;
        self.step(n, |replica, now, context, out| {
            let submission = Submission { id, base, edits };
            replica.submit(now, context, submission, out).unwrap();
        });
        id
    }

    /// Submits a change at [`SUBMITTER`] that comes into force, and loses the outcome and all other messages to that
    /// proxy.
    fn submit_without_answer(&mut self, edits: Vec<Edit>) -> u64 {
        let base = self.version();
        let id = self.submit(SUBMITTER, base, edits);
        self.isolated = Some(SUBMITTER);
        self.deliver();
        assert!(self.version() > base, "the change is not in force");
        assert_eq!(self.outcomes.get(&id), None);
        id
    }

    /// Submits a change at [`OTHER`] that is acknowledged. Returns its version.
    fn change(&mut self, edits: Vec<Edit>) -> u64 {
        let base = self.version();
        let id = self.submit(OTHER, base, edits);
        self.deliver();
        match self.outcomes.get(&id) {
            Some(Ok(version)) => *version,
            outcome => panic!("the change was not acknowledged: {outcome:?}"),
        }
    }

    /// The version of the leader's table.
    fn version(&self) -> u64 {
        self.replicas[LEADER].table().version()
    }

    /// The value of a tenant's entry in the leader's table.
    fn value(&self, name: &str) -> Option<Value> {
        let position = edit(name, Value::Removed).key.position();
        let entry = self.replicas[LEADER].table().get(position)?;
        Some(entry.edit.value.clone())
    }

    /// Delivers a submission from [`OTHER`] to the leader, possibly a duplicate.
    fn receive(&mut self, id: u64, base: u64, edits: Vec<Edit>) {
        let message = Message::Submit(Submission { id, base, edits });
        self.in_flight.push_back(InFlight {
            from: OTHER,
            to: LEADER,
            message,
        });
        self.deliver();
    }

    /// Restarts proxies from their stored copies of the table, as a rollout does with all of them.
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

    /// Restarts the leader with an empty table, so that it fetches the table of a replica that has no log of earlier
    /// changes.
    fn restart_and_fetch(&mut self) {
        self.restart(&[OTHER]);
        self.replicas[LEADER] = new_replica(LEADER, self.now);
        self.elect();
    }

    /// Connects the submitter to the leader again.
    fn reconnect(&mut self) {
        self.isolated = None;
        self.receives_outcomes_only = true;
    }

    /// Checks that a change was applied once, as `version`, and that its outcome is this version or unknown.
    fn check_applied_once(&self, id: u64, version: u64) {
        let applied: Vec<u64> = self
            .chain
            .values()
            .filter(|change| change.id == id)
            .map(|change| change.version)
            .collect();
        assert_eq!(applied, [version], "the versions of change {id}");
        match self.outcomes.get(&id) {
            Some(Ok(reported)) => assert_eq!(*reported, version, "the outcome of change {id}"),
            Some(Err(SubmitError::Unknown)) => {}
            outcome => panic!("change {id} is in force, but its outcome is {outcome:?}"),
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

/// The ways in which a leader loses the ids of earlier changes.
const ID_LOSSES: [fn(&mut Fleet); 2] = [
    |fleet| fleet.restart(&[LEADER, OTHER]),
    |fleet| fleet.restart_and_fetch(),
];

/// Changes that set the entry t-1, remove it, or set it together with another entry.
fn first_changes() -> [Vec<Edit>; 3] {
    [
        vec![set("t-1", "first")],
        vec![edit("t-1", Value::Removed)],
        vec![set("t-0", "first"), set("t-1", "first")],
    ]
}

/// Submits a change whose outcome is lost, calls `between`, loses the ids with `lose_ids`, and lets the submission
/// arrive again.
fn run_scenario(edits: Vec<Edit>, between: fn(&mut Fleet), lose_ids: fn(&mut Fleet)) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.change(vec![set("t-0", "before"), set("t-1", "before")]);
    let id = fleet.submit_without_answer(edits);
    let version = fleet.version();
    between(&mut fleet);
    lose_ids(&mut fleet);
    fleet.run(5); // for the recovery of the voter
    fleet.reconnect();
    fleet.run(8);
    fleet.check_applied_once(id, version);
    fleet
}

/// A lost update: a duplicate of an operator's change overwrote a later change of the same entry, which was by then
/// only in the files.
#[test]
fn a_duplicate_does_not_overwrite_a_later_change() {
    for edits in first_changes() {
        for lose_ids in ID_LOSSES {
            let between = |fleet: &mut Fleet| {
                let version = fleet.change(vec![set("t-1", "second")]);
                fleet.change(vec![Edit::compact_up_to(version)]);
            };
            let fleet = run_scenario(edits.clone(), between, lose_ids);
            assert_eq!(
                fleet.value("t-1"),
                None,
                "the duplicate set the entry again after its compaction"
            );
        }
    }
}

/// An operator got "conflict" (409) for a change in force, because its duplicate arrived after another change of the
/// entry.
#[test]
fn a_change_in_force_is_not_reported_as_a_conflict() {
    for edits in first_changes() {
        for lose_ids in ID_LOSSES {
            let between = |fleet: &mut Fleet| {
                fleet.change(vec![set("t-1", "second")]);
            };
            let fleet = run_scenario(edits.clone(), between, lose_ids);
            assert_eq!(fleet.value("t-1"), Some(Value::Set("second".into())));
        }
    }
}

/// A change was acknowledged with the version of another change.
#[test]
fn a_change_is_acknowledged_with_its_own_version() {
    for edits in first_changes() {
        for lose_ids in ID_LOSSES {
            let between = |fleet: &mut Fleet| {
                fleet.change(vec![set("t-2", "other")]);
            };
            run_scenario(edits.clone(), between, lose_ids);
        }
    }
}

/// An operator got "conflict" for a change in force, because its duplicate arrived after more changes of the entry than
/// a leader looked at.
#[test]
fn a_duplicate_is_recognized_after_many_other_changes() {
    for edits in first_changes() {
        let between = |fleet: &mut Fleet| {
            for n in 0..100 {
                fleet.change(vec![set("t-1", &n.to_string())]);
            }
        };
        let fleet = run_scenario(edits, between, |_| {});
        assert!(
            fleet.outcomes[&2].is_ok(),
            "the leader did not recognize the duplicate"
        );
    }
}

/// A leader without the ids of earlier changes applies a change from its own version at once, and one from an older
/// version only when no duplicate can arrive any more.
#[test]
fn a_leader_without_ids_applies_new_changes() {
    for lose_ids in ID_LOSSES {
        let mut fleet = Fleet::new();
        fleet.isolated = Some(SUBMITTER); // its log has the ids
        let old = fleet.change(vec![set("t-1", "first")]);
        fleet.change(vec![set("t-2", "second")]);
        lose_ids(&mut fleet);
        fleet.run(5);
        fleet.change(vec![set("t-3", "third")]);
        fleet.run(6);
        let id = fleet.submit(OTHER, old, vec![set("t-4", "fourth")]);
        fleet.run(1);
        assert_eq!(
            fleet.outcomes.get(&id),
            None,
            "it was answered while it might have been a duplicate"
        );
        fleet.run(9);
        let outcome = fleet.outcomes.get(&id);
        assert!(matches!(outcome, Some(Ok(_))), "{outcome:?}");
    }
}

/// A duplicate was applied again after more than [`MAX_APPLIED_IDS`] other changes, when its id was no longer kept.
#[test]
fn a_change_whose_id_was_discarded_is_unknown_while_a_duplicate_may_arrive() {
    let start = Time(10_000_000);
    let mut applied = AppliedChanges::new(start);
    let count = MAX_APPLIED_IDS as u64 + 1;
    for version in 1..=count {
        applied.record(version, version);
    }
    let status = |applied: &AppliedChanges, id, base| {
        let edits = Vec::new();
        applied.status(&Submission { id, base, edits }, count)
    };
    assert_eq!(status(&applied, 2, 0), SubmissionStatus::Applied(2));
    assert_eq!(status(&applied, 1, 0), SubmissionStatus::Unknown);
    assert_eq!(
        status(&applied, 0, 1),
        SubmissionStatus::New,
        "its base is the first version whose later ids are known"
    );
    assert_eq!(
        status(&applied, 0, count + 1),
        SubmissionStatus::Unknown,
        "its base is above the table's version"
    );
    applied.set_time(start + Micros(14_999_999));
    assert_eq!(status(&applied, 1, 0), SubmissionStatus::Unknown);
    applied.set_time(start + Micros(15_000_000));
    assert_eq!(
        status(&applied, 1, 0),
        SubmissionStatus::New,
        "no duplicate can arrive any more"
    );
}

/// A change was applied although its operator had been told that the entries already had these values: a duplicate of
/// the submission arrived after the entry had been compacted into the files.
#[test]
fn a_duplicate_of_an_answered_submission_makes_no_change() {
    let mut fleet = Fleet::new();
    let removed = vec![edit("t-1", Value::Removed)];
    let version = fleet.change(removed.clone());
    let id = fleet.submit(OTHER, version, removed.clone());
    fleet.deliver();
    assert_eq!(fleet.outcomes[&id], Ok(version));
    fleet.change(vec![Edit::compact_up_to(version)]);
    fleet.receive(id, version, removed);
    assert!(fleet.chain.values().all(|change| change.id != id));
}

/// A change was applied although its submission had been rejected because the queue was full: a duplicate arrived when
/// there was room again.
#[test]
fn a_duplicate_of_a_rejected_submission_makes_no_change() {
    let mut fleet = Fleet::new();
    let base = fleet.version();
    fleet.elect(); // replies to what the leader proposes under the old token do not count
    let edits = |n: u64| vec![set(&format!("t-{n}"), "new")];
    let last = 166; // one is proposed, 64 are queued, and this one is rejected
    for id in 101..=last {
        fleet.receive(id, base, edits(id));
    }
    fleet.run(2);
    fleet.receive(last, base, edits(last));
    fleet.run(2);
    assert!(fleet.chain.values().all(|change| change.id != last));
}

/// A lost update: a change made from an old version overwrote a later one that had been compacted into the files.
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

/// A change was acknowledged with the version of another change: the leader committed the change, which an earlier
/// leader had proposed, while its submission was also queued here, behind another one.
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
        wall_ms: WALL_START_MS,
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

/// Lets two voters accept all proposals of the leader with the second token. Returns the outcomes that the leader
/// sends.
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
