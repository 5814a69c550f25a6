//! A submission that arrives any number of times, under a model checker: at leaders that applied the earlier changes one by
//! one, or fetched them in one step, or started from a stored copy. `config_repeats.rs` plays single cases.

use meadowproxy::fleet::config::{AppliedChanges, Submission, SubmissionStatus};
use meadowproxy::Time;
use stateright::{Checker, HasDiscoveries, Model, Property};

const REPLICAS: usize = 2;
/// The submission whose repeats are modelled.
const ID: u64 = 1;
/// Ids of all other changes are above this.
const OTHER_IDS: u64 = 100;
const MAX_OTHER_CHANGES: usize = 2;
/// Time passes in steps of this, in microseconds.
const TIME_STEP: u64 = 5_000_000;
/// A submission is sent for 10 s, and a datagram is 5 s on its way at most.
const LAST_ARRIVAL: u64 = 15_000_000;
const LAST_TIME: u64 = 4 * TIME_STEP;

const ONCE: &str = "a change is made once";
const TRUE: &str = "an operator is told the change's own version";
const KNOWN: &str = "a repeat may be recognised";
const UNKNOWN: &str = "a repeat may find a leader that does not know it";
const LATE: &str = "a new submission from an old version may be made after a fetch";

/// What is wrong around the code under test, on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A replica that fetched the table takes the ids that it has for all.
    FetchKeepsIds,
    /// A submission arrives after the time in which it may.
    LateRepeats,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Replica {
    applied: AppliedChanges,
    /// How many changes of the chain are in its table.
    version: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    /// The ids of the committed changes; the first one has version 1.
    chain: Vec<u64>,
    replicas: Vec<Replica>,
    leader: usize,
    /// The version that the operator made the change from, and when it was first sent.
    base: Option<(u64, u64)>,
    told_wrong: bool,
    recognised: bool,
    not_known: bool,
    made_after_fetch: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Act {
    TimePasses,
    /// The operator calls, with the version that the replica has.
    Submit(usize),
    /// The submission arrives at the leader.
    Arrive,
    /// Another change is made.
    Change,
    /// A replica applies the next change.
    Apply(usize),
    /// A replica gets the leader's table in one step, as a fetch or from a copy.
    Install(usize),
    /// A replica that has all changes becomes the leader.
    Lead(usize),
}

struct Repeats(Fault);

impl World {
    fn commit(&mut self, id: u64) {
        self.chain.push(id);
        let leader = &mut self.replicas[self.leader];
        leader.version = self.chain.len();
        leader.applied.record(id, leader.version as u64);
    }

    fn arrive(&mut self, base: u64) {
        let submission = Submission {
            id: ID,
            base,
            edits: Vec::new(),
        };
        let leader = &self.replicas[self.leader];
        match leader.applied.status(&submission, leader.version as u64) {
            SubmissionStatus::New => {
                self.made_after_fetch |= leader.version as u64 > base;
                self.commit(ID);
            }
            SubmissionStatus::Applied(version) => {
                self.recognised = true;
                self.told_wrong |= self.chain.get(version as usize - 1) != Some(&ID);
            }
            SubmissionStatus::Unknown => self.not_known |= self.chain.contains(&ID),
        }
    }
}

impl Model for Repeats {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let replica = Replica {
            applied: AppliedChanges::new(Time(0)),
            version: 0,
        };
        vec![World {
            now: 0,
            chain: Vec::new(),
            replicas: vec![replica; REPLICAS],
            leader: 0,
            base: None,
            told_wrong: false,
            recognised: false,
            not_known: false,
            made_after_fetch: false,
        }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        if world.now < LAST_TIME {
            acts.push(Act::TimePasses);
        }
        match world.base {
            None => acts.extend((0..REPLICAS).map(Act::Submit)),
            Some((_, sent)) => {
                if self.0 == Fault::LateRepeats || world.now < sent + LAST_ARRIVAL {
                    acts.push(Act::Arrive);
                }
            }
        }
        let others = world.chain.iter().filter(|id| **id != ID).count();
        if others < MAX_OTHER_CHANGES {
            acts.push(Act::Change);
        }
        for n in 0..REPLICAS {
            if world.replicas[n].version < world.chain.len() {
                acts.push(Act::Apply(n));
                acts.push(Act::Install(n));
            } else if n != world.leader {
                acts.push(Act::Lead(n));
            }
        }
    }

    fn next_state(&self, before: &World, act: Act) -> Option<World> {
        let mut world = before.clone();
        match act {
            Act::TimePasses => {
                world.now += TIME_STEP;
                for replica in &mut world.replicas {
                    replica.applied.set_time(Time(world.now));
                }
            }
            Act::Submit(n) => world.base = Some((world.replicas[n].version as u64, world.now)),
            Act::Arrive => world.arrive(world.base?.0),
            Act::Change => world.commit(OTHER_IDS + world.chain.len() as u64),
            Act::Apply(n) => {
                let replica = &mut world.replicas[n];
                let id = world.chain[replica.version];
                replica.version += 1;
                replica.applied.record(id, replica.version as u64);
            }
            Act::Install(n) => {
                let replica = &mut world.replicas[n];
                replica.version = world.chain.len();
                if self.0 != Fault::FetchKeepsIds {
                    replica.applied.forget_ids_up_to(replica.version as u64);
                }
            }
            Act::Lead(n) => world.leader = n,
        }
        (world != *before).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Repeats>> {
        vec![
            Property::always(ONCE, |_, world: &World| {
                world.chain.iter().filter(|id| **id == ID).count() <= 1
            }),
            Property::always(TRUE, |_, world: &World| !world.told_wrong),
            Property::sometimes(KNOWN, |_, world: &World| world.recognised),
            Property::sometimes(UNKNOWN, |_, world: &World| world.not_known),
            Property::sometimes(LATE, |_, world: &World| world.made_after_fetch),
        ]
    }
}

/// A change was made twice where its submission arrived again after the leader had fetched its table.
#[test]
fn no_order_of_repeats_and_fetches_makes_a_change_twice() {
    let checker = Repeats(Fault::None)
        .checker()
        .threads(3)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

/// Both parts of the rule are needed: the ids lost with a fetch, and the time in which repeats arrive.
#[test]
fn each_fault_of_repeats_is_found() {
    for fault in [Fault::FetchKeepsIds, Fault::LateRepeats] {
        let checker = Repeats(fault)
            .checker()
            .threads(1)
            .finish_when(HasDiscoveries::AllOf([ONCE].into()))
            .spawn_bfs()
            .join();
        let path = checker.discovery(ONCE);
        assert!(path.is_some(), "{fault:?} was not found");
    }
}
