//! Rejoining after a partition: for a proxy that the others declared down, and for the smaller side of a fleet that was
//! split.

use super::config::ClockReading;
use super::event::{MembershipEvent, Output};
use super::member::Member;
use super::swim::{KnownMember, SwimNode};
use crate::interface::{Micros, Time};
use foca::State;
use std::collections::HashSet;

/// This proxy is on the smaller side of a partition when there is at least one member down for so many live ones. The
/// larger side has fewer down where less than a quarter of the fleet is cut off, and the smaller side has more even
/// before it has found all the others down.
const LIVE_PER_DOWN: usize = 3;
/// For so long after this proxy rejoined, updates from its former side are ignored: they may still say that the other
/// side is down.
const DISTRUST_PERIOD: Micros = Micros(5_000_000);

/// Brings this proxy back into the fleet under a later incarnation.
pub(super) struct PartitionRecovery {
    /// The members that were on this proxy's side of the last partition. One that rejoined too has a later incarnation
    /// and isn't among them.
    former_side: HashSet<Member>,
    distrust_until: Time,
}

impl PartitionRecovery {
    pub(super) fn new(now: Time) -> PartitionRecovery {
        PartitionRecovery {
            former_side: HashSet::new(),
            distrust_until: now,
        }
    }

    /// Joins again under a later incarnation, with nothing left to send from before. foca's own way would first announce
    /// that the previous incarnation is down; a member that gets this first would declare the new one down as well. On
    /// the smaller side of a partition this proxy forgets whom it considers down, so that they need not rejoin.
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
            self.distrust_until = now.monotonic + DISTRUST_PERIOD;
        }
        if let Err(error) = swim.restart(renewed, known_members) {
            outputs.push(Output::Event(MembershipEvent::TimerFailed(error)));
        }
        outputs.push(Output::Event(MembershipEvent::Rejoined {
            members: swim.live_count(),
        }));
    }

    /// Whether a message from that member shows that a partition has healed and this proxy has to rejoin: the member is
    /// down here, and this proxy is on the smaller side. On the larger side foca tells the member to rejoin instead.
    pub(super) fn is_healed_by(&self, from: &Member, swim: &SwimNode) -> bool {
        let is_down = |member: &KnownMember| member.state() == State::Down && member.id() == from;
        swim.known_members().any(is_down) && is_on_smaller_side(swim)
    }

    /// Whether updates from that member are ignored: they may date from the partition. Its own state still counts.
    pub(super) fn distrusts(&self, from: &Member, now: Time) -> bool {
        now < self.distrust_until && self.former_side.contains(from)
    }
}

/// Whether this proxy is on the smaller side of a partition, or on either of two equal ones.
fn is_on_smaller_side(swim: &SwimNode) -> bool {
    let down = swim
        .known_members()
        .filter(|member| member.state() == State::Down)
        .count();
    down * LIVE_PER_DOWN > swim.live_count() + 1
}
