//! Spreads committed changes and digests by gossip. A change goes to a few random members, and each member that did not have
//! it forwards it; the leader also retransmits it. A digest goes to one other proxy at regular intervals.

use super::batch;
use super::change::Change;
use super::message::{Message, Outbox, Outgoing};
use super::peers::{Context, PeerSampler};
use crate::interface::{Micros, Time};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The number of members that a change is sent to.
const FANOUT: usize = 6;
/// The times after the commit at which the leader sends a change again.
const RETRANSMIT_DELAYS: [Micros; 2] = [Micros(200_000), Micros(600_000)];
/// The interval between digests.
const DIGEST_INTERVAL: Micros = Micros(1_000_000);
/// The interval between digests while this replica has just started or waits for changes.
const CATCH_UP_INTERVAL: Micros = Micros(200_000);
/// One digest in this many goes to a voter, even if that voter is not known to be alive.
const VOTER_DIGEST_PERIOD: u32 = 5;

/// Sends changes to [`FANOUT`] random members. `version` is the version of this replica's table.
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
struct Retransmission {
    at: Time,
    change: Change,
}

/// The changes that the leader is going to send again, so that a member that lost a datagram doesn't have to wait for the
/// next digest.
#[derive(Clone, Debug, Default)]
pub(super) struct Retransmissions {
    queue: VecDeque<Retransmission>,
}

impl Retransmissions {
    /// Schedules the retransmissions of a change that was committed at `now`.
    pub(super) fn schedule(&mut self, now: Time, change: &Change) {
        self.queue
            .extend(RETRANSMIT_DELAYS.map(|pause| Retransmission {
                at: now + pause,
                change: change.clone(),
            }));
        self.queue.make_contiguous().sort_by_key(|entry| entry.at);
    }

    /// Removes and returns the next change that is due.
    pub(super) fn next_due(&mut self, now: Time) -> Option<Change> {
        let due = self.queue.front().is_some_and(|entry| entry.at <= now);
        if !due {
            return None;
        }
        self.queue.pop_front().map(|entry| entry.change)
    }
}

/// The conditions that determine the next digest's receiver and the interval after it.
#[derive(Clone, Copy, Debug)]
pub(super) struct DigestNeed<'a> {
    /// This replica, as a voter or the leader, waits for changes.
    pub(super) is_catching_up: bool,
    /// This replica has just started.
    pub(super) is_new: bool,
    /// The other voters.
    pub(super) voters: &'a [SocketAddr],
}

/// Schedules digests and selects their receivers.
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

    /// Returns the receiver of a digest that is due, if there is one, and schedules the next digest.
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
            || self.sent.is_multiple_of(VOTER_DIGEST_PERIOD)
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
