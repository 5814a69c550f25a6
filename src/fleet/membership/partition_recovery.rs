//! Rejoining after a network partition: for a proxy that the others declared down, and for all proxies on the smaller
//! side of a partition that has healed.

use super::config::ClockReading;
use super::event::{MembershipEvent, Output};
use super::member::Member;
use super::swim::{KnownMember, SwimNode};
use crate::interface::{Micros, Time};
use foca::State;
use std::collections::HashSet;

/// A proxy considers itself on the smaller side of a partition if more than one member is down per this number of live
/// members, itself included. If less than a quarter of the fleet is cut off, the larger side stays below this ratio,
/// and the smaller side exceeds it even before it has detected that all the others are down.
const LIVE_PER_DOWN: usize = 3;
/// The time after a rejoin during which updates from members of this proxy's former side are ignored: they may still
/// say that the members of the other side are down.
const IGNORE_UPDATES_PERIOD: Micros = Micros(5_000_000);

/// Brings this proxy back into the fleet under a later incarnation.
pub(super) struct PartitionRecovery {
    /// The members that were on this proxy's side of the last partition, in their incarnations of that time. A member
    /// that has rejoined has a later incarnation and does not match.
    former_side: HashSet<Member>,
    ignore_updates_until: Time,
}

impl PartitionRecovery {
    pub(super) fn new(now: Time) -> PartitionRecovery {
        PartitionRecovery {
            former_side: HashSet::new(),
            ignore_updates_until: now,
        }
    }

    /// Joins again under a later incarnation, and discards the updates that still waited to be sent. foca's own rejoin
    /// is not used: it first announces that the previous incarnation is down, and a member that receives this
    /// announcement first would declare the new incarnation down as well. On the smaller side of a partition, this
    /// proxy also forgets the members that it considers down, so that they need not rejoin.
    pub(super) fn rejoin(
        &mut self,
        swim: &mut SwimNode,
        now: ClockReading,
        outputs: &mut Vec<Output>,
    ) {
        let renewed = swim.identity().renewed(now.wall_us);
        let mut known_members: Vec<KnownMember> = swim.known_members().cloned().collect();
        if is_on_smaller_side(swim) {
            known_members.retain(|member| member.state() != State::Down);
            self.former_side = known_members
                .iter()
                .map(|member| member.id().clone())
                .collect();
            self.ignore_updates_until = now.monotonic + IGNORE_UPDATES_PERIOD;
        }
        if let Err(error) = swim.restart(renewed, known_members) {
            outputs.push(Output::Event(MembershipEvent::TimerFailed(error)));
        }
        outputs.push(Output::Event(MembershipEvent::Rejoined {
            members: swim.live_count(),
        }));
    }

    /// Whether a message from the member `from` shows that a partition has healed and this proxy has to rejoin: the
    /// member is considered down here, and this proxy is on the smaller side. On the larger side, foca tells the member
    /// to rejoin instead.
    pub(super) fn is_healed_by(&self, from: &Member, swim: &SwimNode) -> bool {
        let is_down = |member: &KnownMember| member.state() == State::Down && member.id() == from;
        swim.known_members().any(is_down) && is_on_smaller_side(swim)
    }

    /// Whether updates from the member `from` are ignored, as they may date from the partition. The member's own state
    /// is still accepted.
    pub(super) fn ignores_updates_from(&self, from: &Member, now: Time) -> bool {
        now < self.ignore_updates_until && self.former_side.contains(from)
    }
}

/// Whether this proxy is on the smaller side of a partition, or on one of two equal sides.
fn is_on_smaller_side(swim: &SwimNode) -> bool {
    let down = swim
        .known_members()
        .filter(|member| member.state() == State::Down)
        .count();
    down * LIVE_PER_DOWN > swim.live_count() + 1
}
