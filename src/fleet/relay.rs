//! One proxy's word to all others, passed on by all: a state machine without clock, network or threads.
//!
//! Each broadcast orders the members anew by a hash of their addresses, drawn from the broadcast's own number. Its origin
//! cuts the range of hashes into parts and says it to one member of each, with the part that this one has to tell; who
//! gets it does the same with its part, until a part holds nobody else. So a broadcast costs one datagram a member,
//! a few of them the origin's. Every proxy cuts by its own view of the members: where views differ, where a member is dead or a
//! datagram gets lost, a part goes untold; the next broadcast has another tree.

use crate::fleet::membership::wire::{self, check_age};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;

/// To how many others a proxy says a broadcast at most.
pub const FAN_OUT: usize = 8;
/// The most proxies, one after the other, that a broadcast passes: 8 reach 16 million where all views are alike.
pub const MOST_HOPS: u8 = 8;
/// Origins that are remembered at most, and broadcasts of each.
const ORIGINS: usize = 256;
const REMEMBERED: usize = 256;

/// The hashes of the members that whoever gets a broadcast has to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The first one.
    pub from: u32,
    /// The last one.
    pub to: u32,
    /// How many proxies it passed so far.
    pub hops: u8,
}

/// What goes before a broadcast's content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The advertised address of who said it first: not the sender's, who may have passed it on.
    pub origin: SocketAddr,
    /// The origin's incarnation, drawn at its start.
    pub incarnation: u64,
    /// The origin's wall time, microseconds since 1970, and the broadcast's number: strictly increasing for each incarnation.
    pub said_us: u64,
    /// Whom the receiver tells.
    pub part: Part,
}

/// Why a broadcast is not taken.
#[derive(Debug)]
pub enum Refused {
    /// It passed more proxies than any broadcast does.
    Hops(u8),
    /// A part that is none, or that this proxy is not in.
    Astray,
    /// An origin that nobody can answer.
    Origin(SocketAddr),
    /// It came before, or is this proxy's own.
    Repeated,
    /// Said too long ago, or in the future: being passed on makes it no younger.
    Time(wire::DatagramError),
}

impl Refused {
    /// A stable name for logs and counters.
    pub fn cause(&self) -> &'static str {
        match self {
            Refused::Hops(_) => "hops",
            Refused::Astray => "astray",
            Refused::Origin(_) => "origin",
            Refused::Repeated => "repeated",
            Refused::Time(why) => why.cause(),
        }
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Hops(hops) => {
                write!(f, "passed on {hops} times, over the {MOST_HOPS} allowed")
            }
            Refused::Astray => write!(f, "meant for others"),
            Refused::Origin(at) => write!(f, "from {at}, which is no proxy's address"),
            Refused::Repeated => write!(f, "it came before"),
            Refused::Time(why) => write!(f, "{why}"),
        }
    }
}

impl std::error::Error for Refused {}

/// What was heard of one origin within the bound.
#[derive(Debug, Default)]
struct Heard {
    newest: u64,
    /// The broadcasts in the order of their coming.
    recent: VecDeque<u64>,
    /// Nothing up to this is taken: it was forgotten.
    floor: u64,
}

/// One proxy's part in everybody's broadcasts.
#[derive(Debug)]
pub struct Relay {
    own: SocketAddr,
    incarnation: u64,
    /// How old a broadcast may be.
    bound: Micros,
    last_us: u64,
    origins: BTreeMap<u64, Heard>,
}

impl Relay {
    /// For the proxy that is known to others by that address. `incarnation` is drawn at random at each start.
    pub fn new(own: SocketAddr, incarnation: u64, bound: Micros) -> Relay {
        Relay {
            own,
            incarnation,
            bound,
            last_us: 0,
            origins: BTreeMap::new(),
        }
    }

    /// A broadcast of this proxy's own at wall time `now_us`, to be passed on to its part: all.
    pub fn begin(&mut self, now_us: u64) -> Header {
        self.last_us = now_us.max(self.last_us.saturating_add(1));
        let part = Part {
            from: 0,
            to: u32::MAX,
            hops: 0,
        };
        Header {
            origin: self.own,
            incarnation: self.incarnation,
            said_us: self.last_us,
            part,
        }
    }

    /// Takes a broadcast at wall time `now_us`; whether it is the newest of its origin, and not one that a later one overtook.
    ///
    /// # Errors
    /// Why it is neither to be used nor to be passed on.
    pub fn take(&mut self, header: &Header, now_us: u64) -> Result<bool, Refused> {
        let part = header.part;
        if part.hops > MOST_HOPS {
            return Err(Refused::Hops(part.hops));
        }
        if header.origin.port() == 0
            || header.origin.ip().is_unspecified()
            || header.origin.ip().is_multicast()
        {
            return Err(Refused::Origin(header.origin));
        }
        if !(part.from..=part.to).contains(&position(salt(header), self.own)) {
            return Err(Refused::Astray);
        }
        if header.incarnation == self.incarnation {
            return Err(Refused::Repeated);
        }
        check_age(header.said_us, now_us, self.bound).map_err(Refused::Time)?;
        self.note(header, now_us).ok_or(Refused::Repeated)
    }

    /// Remembers a broadcast, if it is new. What is past the bound is refused by its age and need not be remembered.
    fn note(&mut self, header: &Header, now_us: u64) -> Option<bool> {
        let past = now_us.saturating_sub(self.bound.0);
        if !self.origins.contains_key(&header.incarnation) && self.origins.len() >= ORIGINS {
            self.origins.retain(|_, heard| heard.newest >= past);
            let oldest = self
                .origins
                .iter()
                .min_by_key(|(_, heard)| heard.newest)
                .map(|(by, _)| *by);
            oldest
                .filter(|_| self.origins.len() >= ORIGINS)
                .map(|by| self.origins.remove(&by));
        }
        let heard = self.origins.entry(header.incarnation).or_default();
        let said = header.said_us;
        if said <= heard.floor || heard.recent.contains(&said) {
            return None;
        }
        while heard.recent.front().is_some_and(|at| *at < past) || heard.recent.len() >= REMEMBERED
        {
            heard.floor = heard
                .floor
                .max(heard.recent.pop_front().unwrap_or_default());
        }
        heard.recent.push_back(said);
        let newest = said > heard.newest;
        heard.newest = heard.newest.max(said);
        Some(newest)
    }

    /// To whom a broadcast goes from here, of its part, and with which part each: [`FAN_OUT`] at most.
    pub fn pass_on(&self, header: &Header, members: &[SocketAddr]) -> Vec<(SocketAddr, Header)> {
        let part = header.part;
        if part.hops >= MOST_HOPS {
            return Vec::new();
        }
        let others = members
            .iter()
            .filter(|member| ![self.own, header.origin].contains(member));
        let salt = salt(header);
        let placed = others.map(|member| (position(salt, *member), *member));
        let mut within: Vec<(u32, SocketAddr)> = placed
            .filter(|(at, _)| (part.from..=part.to).contains(at))
            .collect();
        within.sort_unstable();
        // Who is told is the first of its part as the sender sees it: those that it tells need not tell it.
        let own = position(salt, self.own);
        let first = within
            .first()
            .is_some_and(|(at, _)| part.hops > 0 && own < *at);
        let begin = if first { own + 1 } else { part.from };
        let runs: Vec<_> = within
            .chunks(within.len().div_ceil(FAN_OUT).max(1))
            .collect();
        let cut = |n: usize| {
            // The parts leave no gap: somebody in it may be known to the one that is told and not here.
            let from = if n == 0 { begin } else { runs[n][0].0 };
            let to = runs
                .get(n + 1)
                .map_or(part.to, |next| next[0].0.saturating_sub(1).max(from));
            let part = Part {
                from,
                to,
                hops: part.hops + 1,
            };
            (runs[n][0].1, Header { part, ..*header })
        };
        (0..runs.len()).map(cut).collect()
    }
}

/// What orders the members anew for each broadcast.
fn salt(header: &Header) -> u64 {
    mix(header.incarnation ^ mix(header.said_us))
}

/// Where a member stands in that order.
fn position(salt: u64, member: SocketAddr) -> u32 {
    let ip = match member.ip() {
        std::net::IpAddr::V4(ip) => u64::from(ip.to_bits()),
        std::net::IpAddr::V6(ip) => mix(ip.to_bits() as u64) ^ (ip.to_bits() >> 64) as u64,
    };
    (mix(salt ^ mix(ip << 16 | u64::from(member.port()))) >> 32) as u32
}

/// The finalizer of SplitMix64: every bit of the input moves half of the output's.
fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}
