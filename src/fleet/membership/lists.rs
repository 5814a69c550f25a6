//! Lists of members that end whole: a proxy tells another the sums over its members, part by part, and is given the
//! members of the parts that differ. What comes in a list is not passed on as news: it is none.

use super::member::Member;
use super::ration::ENVELOPE;
use super::wire::{Body, Refused, MOST_BODY};
use super::{Membership, Now, Out, Output};
use crate::interface::Micros;
use foca::State;
use std::net::SocketAddr;

/// The first comparison after this proxy found a member or a list brought it news, and the longest pause between two.
/// Each without news is half as long again after the one before.
const SOON: Micros = Micros(200_000);
pub(super) const SELDOM: Micros = Micros(10_000_000);
const LONGER: f64 = 1.5;
/// After news of a member that came otherwise, as more may have come past this proxy.
const AFTER: Micros = Micros(1_000_000);
/// Members in a part, in the mean: so many fit into a datagram, with room for a draw above it.
const PART: usize = 48;
const MOST_PARTS: usize = 256;
/// Datagrams of an answer at most: another one is asked for more.
const ANSWERS: usize = 3;

type Known = foca::Member<Member>;

fn mark(member: &Member) -> u32 {
    let bytes = postcard::to_stdvec(member).unwrap_or_default(); // an address and a number always encode
    crc32fast::hash(&bytes)
}

/// Which part of so many a member is in: by its address, so that a later start stays there.
fn part(addr: SocketAddr, parts: usize) -> usize {
    let bytes = postcard::to_stdvec(&addr).unwrap_or_default();
    crc32fast::hash(&bytes) as usize % parts
}

fn sums<'a>(members: impl Iterator<Item = &'a Member>, parts: usize) -> Vec<u32> {
    let mut sums = vec![0u32; parts];
    for member in members {
        let sum = &mut sums[part(member.addr, parts)];
        *sum = sum.wrapping_add(mark(member));
    }
    sums
}

impl Membership {
    /// The next comparison comes soon: there is news to be had.
    pub(super) fn compare_soon(&mut self, now: Now) {
        self.compare_at = self.compare_at.min(now.time + SOON);
        self.pause = SOON;
    }

    /// A member was up that came by no list.
    pub(super) fn compare_after_news(&mut self, now: Now) {
        self.compare_at = self.compare_at.min(now.time + AFTER);
    }

    /// Tells a member drawn at random the sums over those known here.
    pub(super) fn compare(&mut self, now: Now, out: &mut Out) {
        self.compare_at = now.time + self.pause;
        self.pause = self.pause.mul_f64(LONGER).min(SELDOM);
        let known = self.swim.num_members();
        if known == 0 {
            return;
        }
        let drawn =
            (u64::from(mark(self.swim.identity())) ^ self.timer ^ now.wall_us) as usize % known;
        let Some(to) = self.swim.iter_members().nth(drawn).map(|m| m.id().addr) else {
            return;
        };
        let parts = known.div_ceil(PART).min(MOST_PARTS);
        let sums: Vec<u8> = self
            .sums(parts)
            .into_iter()
            .flat_map(u32::to_le_bytes)
            .collect();
        if self.ration.borrow_mut().bucket.take(sums.len()) {
            out.push(Output::Send(to, Body::Compare(sums)));
        }
    }

    fn sums(&self, parts: usize) -> Vec<u32> {
        let live = self.swim.iter_members().map(foca::Member::id);
        sums(live.chain([self.swim.identity()]), parts)
    }

    /// Gives a member those of the parts in which it differs, as many as may go now; one that is equal gets nothing.
    pub(super) fn compared(
        &mut self,
        to: SocketAddr,
        theirs: &[u8],
        now: Now,
        out: &mut Out,
    ) -> Result<(), Refused> {
        let parts = theirs.len() / 4;
        if !theirs.len().is_multiple_of(4) || !(1..=MOST_PARTS).contains(&parts) {
            return Err(Refused::Garbled(postcard::Error::DeserializeBadEncoding));
        }
        if !self.swim.iter_members().any(|m| m.id().addr == to) {
            return Err(Refused::Unasked);
        }
        let own = self.sums(parts);
        let differ: Vec<bool> = own
            .iter()
            .zip(theirs.chunks_exact(4))
            .map(|(own, theirs)| own.to_le_bytes() != theirs)
            .collect();
        let own = foca::Member::alive(self.swim.identity().clone());
        let mut members: Vec<&Known> = self.swim.iter_members().chain([&own]).collect();
        members.retain(|m| m.id().addr != to && differ[part(m.id().addr, parts)]);
        if members.is_empty() {
            return Ok(());
        }
        // Whole parts, so that they are equal from then on; each answer begins elsewhere, as several may be asked at once.
        let begin = now.wall_us as usize % parts;
        members.sort_by_cached_key(|m| (part(m.id().addr, parts) + parts - begin) % parts);
        let mut bucket = self.ration.borrow_mut();
        let mut lists = vec![Vec::new()];
        for member in members {
            let Ok(bytes) = postcard::to_stdvec(member) else {
                continue;
            };
            if lists
                .last()
                .is_some_and(|list| list.len() + bytes.len() > MOST_BODY)
            {
                lists.push(Vec::new());
            }
            lists
                .last_mut()
                .into_iter()
                .for_each(|list| list.extend(&bytes));
        }
        for list in lists.into_iter().take(ANSWERS) {
            if !bucket.bucket.take(list.len()) {
                break;
            }
            out.push(Output::Send(to, Body::Members(list)));
        }
        Ok(())
    }

    /// Takes a list that a member gave.
    pub(super) fn given(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        now: Now,
    ) -> Result<(), Refused> {
        if !self.swim.iter_members().any(|m| m.id().addr == from) {
            return Err(Refused::Unasked);
        }
        let (members, rest) = members(bytes, usize::MAX).map_err(Refused::Garbled)?;
        if !rest.is_empty() {
            return Err(Refused::Garbled(postcard::Error::DeserializeBadEncoding));
        }
        self.list(members, now)
    }

    /// Takes members of a list, which go no further; whoever got some that were new asks for more.
    pub(super) fn list(&mut self, members: Vec<Known>, now: Now) -> Result<(), Refused> {
        let before = self.swim.num_members();
        // What others say of this one's earlier starts foca would answer by telling all that they are down.
        let others = members.into_iter().filter(|m| m.id().addr != self.own);
        self.swim
            .apply_many(others, false, &mut self.outbox)
            .map_err(Refused::Swim)?;
        if self.swim.num_members() > before {
            self.compare_soon(now);
        }
        Ok(())
    }

    /// foca's answer to an announce holds members as well: they are taken as any other list, and only the rest of the
    /// message is left to foca, which would pass each of them on to the whole fleet.
    pub(super) fn feed(
        &mut self,
        header: &foca::Header<Member>,
        bytes: &[u8],
        now: Now,
    ) -> Result<(), Refused> {
        let after = postcard::take_from_bytes::<foca::Header<Member>>(bytes)
            .map_err(Refused::Garbled)?
            .1;
        let head = &bytes[..bytes.len() - after.len()];
        let (members, rest) = match after.split_at_checked(2) {
            Some((count, listed)) => {
                let count = u16::from_be_bytes([count[0], count[1]]);
                members(listed, usize::from(count)).map_err(Refused::Garbled)?
            }
            None => (Vec::new(), after),
        };
        let bare = [head, &[0, 0], rest].concat();
        self.swim
            .handle_data(&bare, &mut self.outbox)
            .map_err(Refused::Swim)?;
        let active = |m: &Known| *m.id() == header.src && m.state() != State::Down;
        let taken =
            header.dst == *self.swim.identity() && self.swim.iter_membership_state().any(active);
        if taken {
            self.list(members, now)
        } else {
            Ok(())
        }
    }
}

/// So many members at most from the bytes, and what comes after.
fn members(mut bytes: &[u8], most: usize) -> Result<(Vec<Known>, &[u8]), postcard::Error> {
    let mut members = Vec::new();
    while !bytes.is_empty() && members.len() < most {
        let (member, rest) = postcard::take_from_bytes(bytes)?;
        members.push(member);
        bytes = rest;
    }
    Ok((members, bytes))
}

const _: () = assert!(MOST_BODY + ENVELOPE <= super::wire::MOST);
