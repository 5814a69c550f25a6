//! Anti-entropy for member lists: completes the list of a proxy that missed gossip.
//!
//! A proxy sends a random member a [`ListDigest`] of the members it knows, with one checksum for each bucket of
//! members, and receives the other proxy's members of the buckets that differ. Members received in a list are not
//! gossiped.

mod list_digest;
mod member_list;

use super::config::ClockReading;
use super::event::Output;
use super::member::Member;
use super::swim::{KnownMember, SwimNode};
use super::wire::{Body, DatagramError};
use crate::interface::{Micros, Time};
use foca::State;
use list_digest::{bucket, checksum, ListDigest};
use member_list::{decode_members, encode_lists, Feed};
use std::net::SocketAddr;

/// The time until the next digest is sent after this proxy joined or received a list with new members.
const MIN_INTERVAL: Micros = Micros(200_000);
/// The maximum time between two digests.
const MAX_INTERVAL: Micros = Micros(10_000_000);
/// The factor by which the time between digests grows while no new members are found.
const INTERVAL_GROWTH: f64 = 1.5;
/// The maximum time until the next digest after gossip brought a member up, as this proxy may have missed others.
const AFTER_GOSSIP_INTERVAL: Micros = Micros(1_000_000);
/// The maximum number of datagrams sent in response to one digest.
const MAX_RESPONSE_DATAGRAMS: usize = 3;

/// The times at which digests are sent: the first one [`MIN_INTERVAL`] after new members were found, the next ones
/// after exponentially growing intervals of up to [`MAX_INTERVAL`].
struct AntiEntropySchedule {
    next_at: Time,
    interval: Micros,
}

impl AntiEntropySchedule {
    fn new(now: Time) -> AntiEntropySchedule {
        AntiEntropySchedule {
            next_at: now + MAX_INTERVAL,
            interval: MAX_INTERVAL,
        }
    }

    /// Restarts with the shortest interval.
    fn reset(&mut self, now: Time) {
        self.interval = MIN_INTERVAL;
        self.bring_forward(now + MIN_INTERVAL);
    }

    /// Makes the next digest due at `at`, unless it is due earlier.
    fn bring_forward(&mut self, at: Time) {
        self.next_at = self.next_at.min(at);
    }

    /// Schedules the digest after one that is sent now.
    fn advance(&mut self, now: Time) {
        self.next_at = now + self.interval;
        self.interval = self.interval.mul_f64(INTERVAL_GROWTH).min(MAX_INTERVAL);
    }
}

/// Compares this proxy's member list with the lists of other proxies.
pub(super) struct AntiEntropy {
    schedule: AntiEntropySchedule,
}

impl AntiEntropy {
    pub(super) fn new(now: Time) -> AntiEntropy {
        AntiEntropy {
            schedule: AntiEntropySchedule::new(now),
        }
    }

    /// When [`AntiEntropy::run`] sends the next digest.
    pub(super) fn next_due(&self) -> Time {
        self.schedule.next_at
    }

    /// Schedules a digest soon after this proxy joined, as there are probably members that it doesn't know.
    pub(super) fn on_joined(&mut self, now: Time) {
        self.schedule.reset(now);
    }

    /// Schedules a digest after gossip brought a member up.
    pub(super) fn on_member_up(&mut self, now: Time) {
        self.schedule.bring_forward(now + AFTER_GOSSIP_INTERVAL);
    }

    /// Sends a digest to a random member if one is due and the egress limit allows it.
    pub(super) fn run(&mut self, swim: &SwimNode, now: ClockReading, outputs: &mut Vec<Output>) {
        if self.schedule.next_at > now.monotonic {
            return;
        }
        self.schedule.advance(now.monotonic);
        let Some(to) = random_member(swim, now) else {
            return;
        };
        let digest = ListDigest::of(swim, ListDigest::bucket_count(swim.live_count())).encode();
        if swim.try_spend_datagram(digest.len()) {
            let body = Body::ListDigest(digest);
            outputs.push(Output::Send { to, body });
        }
    }

    /// Merges a list that a member sent in response to a digest.
    pub(super) fn receive_list(
        &mut self,
        swim: &mut SwimNode,
        from: SocketAddr,
        list: &[u8],
        now: Time,
    ) -> Result<(), DatagramError> {
        if !swim.is_live(from) {
            return Err(DatagramError::Unsolicited);
        }
        let decoded = decode_members(list, usize::MAX)?;
        if !decoded.rest.is_empty() {
            return Err(DatagramError::invalid_content());
        }
        self.merge(swim, decoded.members, now)
    }

    /// Processes a feed, foca's response to an announcement. Its members are merged like any other list, and only the
    /// rest of the message is passed to foca, which would gossip each of the members.
    pub(super) fn receive_feed(
        &mut self,
        swim: &mut SwimNode,
        header: &foca::Header<Member>,
        message: &[u8],
        now: Time,
    ) -> Result<(), DatagramError> {
        let feed = Feed::decode(message)?;
        swim.handle_message(&feed.without_members)
            .map_err(DatagramError::Swim)?;
        let is_active = |m: &KnownMember| *m.id() == header.src && m.state() != State::Down;
        if header.dst != *swim.identity() || !swim.known_members().any(is_active) {
            return Ok(());
        }
        self.merge(swim, feed.members, now)
    }

    /// Merges the members of a list. If some were new, the next digest is due soon, as there may be more.
    fn merge(
        &mut self,
        swim: &mut SwimNode,
        members: Vec<KnownMember>,
        now: Time,
    ) -> Result<(), DatagramError> {
        let live_before = swim.live_count();
        // For an earlier incarnation of this proxy in the list, foca would gossip that it is down.
        let own_address = swim.identity().address;
        let others = members
            .into_iter()
            .filter(|member| member.id().address != own_address);
        swim.merge(others).map_err(DatagramError::Swim)?;
        if swim.live_count() > live_before {
            self.schedule.reset(now);
        }
        Ok(())
    }
}

/// Responds to a digest with this proxy's members of the buckets that differ, up to [`MAX_RESPONSE_DATAGRAMS`] and as
/// far as the egress limit allows. An equal digest gets no response.
pub(super) fn respond_to_digest(
    swim: &SwimNode,
    to: SocketAddr,
    digest: &[u8],
    now: ClockReading,
    outputs: &mut Vec<Output>,
) -> Result<(), DatagramError> {
    let theirs = ListDigest::decode(digest)?;
    if !swim.is_live(to) {
        return Err(DatagramError::Unsolicited);
    }
    let buckets = theirs.buckets();
    let ours = ListDigest::of(swim, buckets);
    let own = foca::Member::alive(swim.identity().clone());
    let bucket_of = |member: &KnownMember| bucket(member.id().address, buckets);
    let mut members: Vec<&KnownMember> = swim
        .live_members()
        .chain([&own])
        .filter(|member| member.id().address != to && ours.differs(&theirs, bucket_of(member)))
        .collect();
    // The members are sent bucket by bucket, so that buckets that were sent completely are equal afterwards. The first
    // bucket changes with the time, because the other proxy may receive responses of several proxies at once.
    let first_bucket = now.wall_us as usize % buckets;
    members.sort_by_cached_key(|member| (bucket_of(member) + buckets - first_bucket) % buckets);
    for list in encode_lists(members)
        .into_iter()
        .take(MAX_RESPONSE_DATAGRAMS)
    {
        if !swim.try_spend_datagram(list.len()) {
            break;
        }
        let body = Body::MemberList(list);
        outputs.push(Output::Send { to, body });
    }
    Ok(())
}

/// A live member, selected pseudo-randomly by this proxy's identity, the number of scheduled timers and the time.
fn random_member(swim: &SwimNode, now: ClockReading) -> Option<SocketAddr> {
    let random = u64::from(checksum(swim.identity())) ^ swim.scheduled_timers() ^ now.wall_us;
    let index = (random as usize).checked_rem(swim.live_count())?;
    swim.live_addresses().nth(index)
}
