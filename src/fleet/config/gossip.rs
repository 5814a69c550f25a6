//! How committed changes and digests spread: a change goes to some members drawn at random, each of which passes it on while
//! it is new there, and the leader repeats it; a digest goes to one other proxy at regular intervals.

use super::batch;
use super::change::Change;
use super::message::{Message, Outbox, Outgoing};
use super::peers::{Context, PeerSampler};
use crate::interface::{Micros, Time};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Members that a change is passed on to.
const FANOUT: usize = 6;
/// When the leader sends a change again, after it was committed.
const REPEAT_AFTER: [Micros; 2] = [Micros(200_000), Micros(600_000)];
/// The interval of digests.
const DIGEST_INTERVAL: Micros = Micros(1_000_000);
/// The interval of digests while this replica waits for changes.
const CATCH_UP_INTERVAL: Micros = Micros(200_000);
/// Each so many digests one goes to a voter, whether it is believed alive or not.
const VOTER_DIGEST_ONE_IN: u32 = 5;

/// Sends changes to members drawn at random. `version`: of this replica's table.
pub(super) fn push_changes(
    changes: &[Change],
    version: u64,
    context: &Context,
    peers: &mut PeerSampler,
    out: &mut Outbox,
) {
    for to in peers.sample(context.members, FANOUT) {
        for part in batch::split(changes.to_vec(), Change::size) {
            let message = Message::Changes {
                changes: part,
                version,
                push: true,
            };
            out.push(Outgoing { to, message });
        }
    }
}

#[derive(Clone, Debug)]
struct Repeat {
    at: Time,
    change: Change,
}

/// The changes that the leader sends again, so that a lost datagram delays nobody until the next digest.
#[derive(Clone, Debug, Default)]
pub(super) struct Repeats {
    queue: VecDeque<Repeat>,
}

impl Repeats {
    /// A change was committed here.
    pub(super) fn schedule(&mut self, now: Time, change: &Change) {
        self.queue.extend(REPEAT_AFTER.map(|pause| Repeat {
            at: now + pause,
            change: change.clone(),
        }));
        self.queue.make_contiguous().sort_by_key(|repeat| repeat.at);
    }

    /// The next change that is due.
    pub(super) fn next_due(&mut self, now: Time) -> Option<Change> {
        let due = self.queue.front().is_some_and(|repeat| repeat.at <= now);
        if !due {
            return None;
        }
        self.queue.pop_front().map(|repeat| repeat.change)
    }
}

/// What decides when the next digest goes out, and to whom.
#[derive(Clone, Copy, Debug)]
pub(super) struct DigestNeed<'a> {
    /// A voter or the leader waits for changes before it can go on.
    pub(super) is_catching_up: bool,
    /// This replica has just started.
    pub(super) is_new: bool,
    /// The other voters.
    pub(super) voters: &'a [SocketAddr],
}

/// When digests go out, and to whom.
#[derive(Clone, Debug)]
pub(super) struct DigestSchedule {
    due: Time,
    sent: u32,
}

impl DigestSchedule {
    pub(super) fn new(now: Time) -> DigestSchedule {
        DigestSchedule { due: now, sent: 0 }
    }

    pub(super) fn is_due(&self, now: Time) -> bool {
        now >= self.due
    }

    /// Counts a digest that is due and selects its receiver, if there is any.
    pub(super) fn next_receiver(
        &mut self,
        now: Time,
        need: DigestNeed,
        context: &Context,
        peers: &mut PeerSampler,
    ) -> Option<SocketAddr> {
        let interval = if need.is_new || need.is_catching_up {
            CATCH_UP_INTERVAL
        } else {
            DIGEST_INTERVAL
        };
        self.due = now + interval;
        self.sent = self.sent.wrapping_add(1);
        let to_voter = need.is_catching_up
            || self.sent.is_multiple_of(VOTER_DIGEST_ONE_IN)
            || context.members.is_empty();
        if to_voter {
            peers.choose(need.voters)
        } else if need.is_new {
            peers.choose_nearby(context)
        } else {
            peers.choose(context.members)
        }
    }
}
