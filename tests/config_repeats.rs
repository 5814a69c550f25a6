//! A submission that arrives again at a leader: it is made once, and what the operator is told of it is true.

use meadowproxy::fleet::config::{
    AcceptedChange, Change, Context, Edit, Key, Kind, Message, Paxos, Replica, Rules, Submission,
    Value,
};
use meadowproxy::fleet::lease::{self, Ballot};
use meadowproxy::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const WALL_MS: u64 = 1_800_000_000_000;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16))
}

fn set(name: &str, value: &str) -> Edit {
    let key = Key {
        kind: Kind::Tenant,
        name: name.into(),
    };
    let value = Value::Set(value.into());
    Edit { key, value }
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
    let token = |number| Ballot {
        number,
        incarnation: 1,
    };
    let now = Time(10_000_000);
    let mut leader = Replica::new(rules, 1, now);
    let context = Context {
        wall_ms: WALL_MS,
        members: &[],
        zone_members: &[],
        lease: Some(token(2)),
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
    let promise = Paxos::Promise {
        token: token(2),
        round: 1,
        version: 0,
        accepted: Some(AcceptedChange {
            token: token(1),
            change: proposed,
        }),
        version_floor: 0,
    };
    let mut sent = Vec::new();
    for voter in [0, 1] {
        sent.extend(receive(address(voter), Message::Paxos(promise.clone())));
    }
    let mut outcomes = BTreeMap::new();
    while !sent.is_empty() {
        let mut rounds = BTreeSet::new();
        for outgoing in std::mem::take(&mut sent) {
            match outgoing.message {
                Message::Paxos(Paxos::Accept { round, .. }) => drop(rounds.insert(round)),
                Message::Outcome { id, result } => drop(outcomes.insert(id, result)),
                _ => {}
            }
        }
        for (round, voter) in rounds
            .into_iter()
            .flat_map(|round| [(round, 0), (round, 1)])
        {
            let token = token(2);
            let accepted = Message::Paxos(Paxos::Accepted { token, round });
            sent.extend(receive(address(voter), accepted));
        }
    }
    assert_eq!(outcomes, BTreeMap::from([(7, Ok(1)), (9, Ok(2))]));
}
