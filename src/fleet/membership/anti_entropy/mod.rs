//! Anti-entropy of member lists: a proxy sends another one a digest of the members it knows, a checksum for each bucket
//! of them, and gets the other's members of the buckets that differ. Members that come in a list are not gossiped.

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

/// The pause until the next comparison after this proxy joined or a list contained new members.
const MIN_INTERVAL: Micros = Micros(200_000);
/// The longest pause between two comparisons.
const MAX_INTERVAL: Micros = Micros(10_000_000);
/// The factor from each pause to the next one, while nothing new is found.
const INTERVAL_GROWTH: f64 = 1.5;
/// The pause until the next comparison after gossip brought a member up, as this proxy may have missed others.
const AFTER_GOSSIP_INTERVAL: Micros = Micros(1_000_000);
/// The most datagrams in response to one digest.
const MAX_RESPONSE_DATAGRAMS: usize = 3;

/// When digests are sent: often while there is something new, then less and less.
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

    /// Starts over with the shortest pause.
    fn reset(&mut self, now: Time) {
        self.interval = MIN_INTERVAL;
        self.bring_forward(now + MIN_INTERVAL);
    }

    fn bring_forward(&mut self, at: Time) {
        self.next_at = self.next_at.min(at);
    }

    fn advance(&mut self, now: Time) {
        self.next_at = now + self.interval;
        self.interval = self.interval.mul_f64(INTERVAL_GROWTH).min(MAX_INTERVAL);
    }
}

/// This proxy's part in the comparison of member lists.
pub(super) struct AntiEntropy {
    schedule: AntiEntropySchedule,
}

impl AntiEntropy {
    pub(super) fn new(now: Time) -> AntiEntropy {
        AntiEntropy {
            schedule: AntiEntropySchedule::new(now),
        }
    }

    /// When [`AntiEntropy::run`] has something to do.
    pub(super) fn next_due(&self) -> Time {
        self.schedule.next_at
    }

    /// This proxy joined: there are probably members that it doesn't know.
    pub(super) fn joined(&mut self, now: Time) {
        self.schedule.reset(now);
    }

    /// Gossip brought a member up.
    pub(super) fn member_up(&mut self, now: Time) {
        self.schedule.bring_forward(now + AFTER_GOSSIP_INTERVAL);
    }

    /// Sends a digest to a random member, if it is time.
    pub(super) fn run(&mut self, swim: &SwimNode, now: ClockReading, outputs: &mut Vec<Output>) {
        if self.schedule.next_at > now.monotonic {
            return;
        }
        self.schedule.advance(now.monotonic);
        let Some(to) = pick_member(swim, now) else {
            return;
        };
        let digest = ListDigest::of(swim, ListDigest::buckets_for(swim.live_count())).encode();
        if swim.try_spend_datagram(digest.len()) {
            let body = Body::ListDigest(digest);
            outputs.push(Output::Send { to, body });
        }
    }

    /// Takes a list that a member sent in response to a digest.
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

    /// Takes a feed, foca's response to an announcement. Its members are merged like any other list, and only the rest
    /// of the message goes to foca, which would gossip each of them.
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

    /// Merges a list; where it contained new members there may be more.
    fn merge(
        &mut self,
        swim: &mut SwimNode,
        members: Vec<KnownMember>,
        now: Time,
    ) -> Result<(), DatagramError> {
        let live_before = swim.live_count();
        // An earlier incarnation of this proxy would make foca gossip that it is down.
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

/// Responds to a digest with the members of the buckets that differ, as many as may be sent now; to an equal one with
/// nothing.
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
    // Bucket by bucket, so that those sent completely are equal from then on. Each response starts with another bucket,
    // as the other proxy may compare with several at once.
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

/// A live member, drawn by this proxy's identity and the time.
fn pick_member(swim: &SwimNode, now: ClockReading) -> Option<SocketAddr> {
    let draw = u64::from(checksum(swim.identity())) ^ swim.scheduled_timers() ^ now.wall_us;
    let index = (draw as usize).checked_rem(swim.live_count())?;
    swim.live_addresses().nth(index)
}
