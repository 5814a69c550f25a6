//! Checks duplicates of a submission with a model checker: the submission arrives any number of times, at leaders that
//! applied the earlier changes one by one, or replaced their table in one step by a fetch or from a stored copy.
//! [`AppliedChanges`] is the production code. `config_repeats.rs` tests single scenarios with whole replicas.

use meadowproxy::fleet::config::{AppliedChanges, Submission, SubmissionStatus};
use meadowproxy::Time;
use stateright::{Checker, HasDiscoveries, Model, Property};

const REPLICAS: usize = 2;
/// The id of the submission whose duplicates are modelled.
const ID: u64 = 1;
/// The ids of the other changes start here.
const OTHER_IDS: u64 = 100;
const MAX_OTHER_CHANGES: usize = 2;
/// The length of a time step in microseconds.
const TIME_STEP_US: u64 = 5_000_000;
/// How long after it was first sent a submission may arrive, in microseconds: it is sent again for 10 s, and a datagram
/// is in transit for at most 5 s.
const LAST_ARRIVAL_US: u64 = 15_000_000;
const LAST_TIME_US: u64 = 4 * TIME_STEP_US;

const APPLIED_ONCE: &str = "a submission is applied at most once";
const OWN_VERSION: &str = "a submission is acknowledged with the version of its own change";
const RECOGNIZED: &str = "a duplicate may be recognized";
const NOT_RECOGNIZED: &str = "a duplicate may reach a leader that does not recognize it";
const APPLIED_AFTER_FETCH: &str =
    "a new submission from an old version may be applied after a fetch";

/// A fault that is built into the model, so that the checker has to find its effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A replica that fetched a table treats the ids that it knows as complete.
    FetchKeepsIds,
    /// A submission arrives later than [`LAST_ARRIVAL_US`].
    LateDuplicates,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Replica {
    applied: AppliedChanges,
    /// The number of changes of the chain that are in the replica's table.
    version: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now_us: u64,
    /// The ids of the committed changes; the first one has version 1.
    chain: Vec<u64>,
    replicas: Vec<Replica>,
    leader: usize,
    /// The version that the submission was made from, and when it was first sent.
    base: Option<(u64, u64)>,
    /// Whether the submission was acknowledged with the version of another change.
    wrong_version_reported: bool,
    /// Whether a duplicate was recognized.
    recognized: bool,
    /// Whether a leader did not recognize a duplicate.
    not_recognized: bool,
    /// Whether the submission was applied at a leader with a later version than its base.
    applied_after_fetch: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    AdvanceTime,
    /// An operator submits the change, made from the version of a replica's table.
    Submit(usize),
    /// The submission arrives at the leader.
    Deliver,
    /// The leader applies another change.
    OtherChange,
    /// A replica applies the next change.
    Apply(usize),
    /// A replica replaces its table by the newest one in one step, as a fetch or a stored copy does.
    Install(usize),
    /// A replica that has all changes becomes the leader.
    BecomeLeader(usize),
}

/// The model: one submission, other changes, and replicas of which one is the leader.
struct DuplicateModel(Fault);

impl World {
    /// The leader applies a change.
    fn commit(&mut self, id: u64) {
        self.chain.push(id);
        let leader = &mut self.replicas[self.leader];
        leader.version = self.chain.len();
        leader.applied.record(id, leader.version as u64);
    }

    /// The submission arrives at the leader.
    fn deliver(&mut self, base: u64) {
        let submission = Submission {
            id: ID,
            base,
            edits: Vec::new(),
        };
        let leader = &self.replicas[self.leader];
        match leader.applied.status(&submission, leader.version as u64) {
            SubmissionStatus::New => {
                self.applied_after_fetch |= leader.version as u64 > base;
                self.commit(ID);
            }
            SubmissionStatus::Applied(version) => {
                self.recognized = true;
                self.wrong_version_reported |= self.chain.get(version as usize - 1) != Some(&ID);
            }
            SubmissionStatus::Unknown => self.not_recognized |= self.chain.contains(&ID),
        }
    }
}

impl Model for DuplicateModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let replica = Replica {
            applied: AppliedChanges::new(Time(0)),
            version: 0,
        };
        vec![World {
            now_us: 0,
            chain: Vec::new(),
            replicas: vec![replica; REPLICAS],
            leader: 0,
            base: None,
            wrong_version_reported: false,
            recognized: false,
            not_recognized: false,
            applied_after_fetch: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now_us < LAST_TIME_US {
            steps.push(Step::AdvanceTime);
        }
        match world.base {
            None => steps.extend((0..REPLICAS).map(Step::Submit)),
            Some((_, sent_us)) => {
                if self.0 == Fault::LateDuplicates || world.now_us < sent_us + LAST_ARRIVAL_US {
                    steps.push(Step::Deliver);
                }
            }
        }
        let other_changes = world.chain.iter().filter(|id| **id != ID).count();
        if other_changes < MAX_OTHER_CHANGES {
            steps.push(Step::OtherChange);
        }
        for n in 0..REPLICAS {
            if world.replicas[n].version < world.chain.len() {
                steps.push(Step::Apply(n));
                steps.push(Step::Install(n));
            } else if n != world.leader {
                steps.push(Step::BecomeLeader(n));
            }
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        match step {
            Step::AdvanceTime => {
                world.now_us += TIME_STEP_US;
                for replica in &mut world.replicas {
                    replica.applied.set_time(Time(world.now_us));
                }
            }
            Step::Submit(n) => world.base = Some((world.replicas[n].version as u64, world.now_us)),
            Step::Deliver => world.deliver(world.base?.0),
            Step::OtherChange => world.commit(OTHER_IDS + world.chain.len() as u64),
            Step::Apply(n) => {
                let replica = &mut world.replicas[n];
                let id = world.chain[replica.version];
                replica.version += 1;
                replica.applied.record(id, replica.version as u64);
            }
            Step::Install(n) => {
                let replica = &mut world.replicas[n];
                replica.version = world.chain.len();
                if self.0 != Fault::FetchKeepsIds {
                    replica.applied.forget_ids_up_to(replica.version as u64);
                }
            }
            Step::BecomeLeader(n) => world.leader = n,
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<DuplicateModel>> {
        vec![
            Property::always(APPLIED_ONCE, |_, world: &World| {
                world.chain.iter().filter(|id| **id == ID).count() <= 1
            }),
            Property::always(OWN_VERSION, |_, world: &World| {
                !world.wrong_version_reported
            }),
            Property::sometimes(RECOGNIZED, |_, world: &World| world.recognized),
            Property::sometimes(NOT_RECOGNIZED, |_, world: &World| world.not_recognized),
            Property::sometimes(APPLIED_AFTER_FETCH, |_, world: &World| {
                world.applied_after_fetch
            }),
        ]
    }
}

/// A change was applied twice if its submission arrived again after the leader had fetched its table.
#[test]
fn no_order_of_duplicates_and_fetches_applies_a_change_twice() {
    let checker = DuplicateModel(Fault::None)
        .checker()
        .threads(3)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

/// Both parts of the rule are needed: a fetch discards the known ids, and duplicates arrive only for a limited time.
#[test]
fn each_fault_is_found() {
    for fault in [Fault::FetchKeepsIds, Fault::LateDuplicates] {
        let checker = DuplicateModel(fault)
            .checker()
            .threads(1)
            .finish_when(HasDiscoveries::AllOf([APPLIED_ONCE].into()))
            .spawn_bfs()
            .join();
        let path = checker.discovery(APPLIED_ONCE);
        assert!(
            path.is_some(),
            "{APPLIED_ONCE:?} holds in all states despite {fault:?}"
        );
    }
}
