//! Datagrams between proxies: a prefix (magic `SHTP`, version (u8), CRC-32 of the rest (u32, little endian)) and an
//! [`Envelope`] in postcard. Whatever else arrives is refused by cause; nothing here panics on input.

use crate::interface::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{HashSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

const MAGIC: [u8; 4] = *b"SHTP";
/// Raised whenever the envelope's or a body's shape changes.
pub const VERSION: u8 = 3;
const PREFIX: usize = 9;
/// Bytes of a datagram at most: below every usual path's limit, so that none is cut up on its way.
pub const MOST: usize = 1400;
/// Bytes of a body at most: prefix and envelope take under 60.
pub const MOST_BODY: usize = 1300;
/// A sender's clock may run ahead of ours by so much.
const AHEAD: Micros = Micros(1_000_000);
/// Datagrams remembered against replays: a proxy gets some thirty a second, and each is remembered for seconds.
const REMEMBERED: usize = 16_384;

/// The first bytes of the BLAKE3 of a cluster's name.
pub type Cluster = [u8; 8];

/// The cluster of that name.
pub fn cluster(name: &str) -> Cluster {
    let mut id = Cluster::default();
    id.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    id
}

/// What every datagram carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Whose fleet.
    pub cluster: Cluster,
    /// The sender's advertised address.
    pub from: SocketAddr,
    /// Wall time of sending, microseconds since 1970; strictly increasing for each sender.
    pub sent_us: u64,
    /// What it says.
    pub body: Body,
}

/// What is in a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// foca's: membership, and facts inside.
    Swim(Vec<u8>),
    /// A new proxy asks for a snapshot; the answer's parts carry the same number.
    Ask {
        /// The asker's number.
        nonce: u64,
    },
    /// One part, from 0, of so many of a snapshot's bytes.
    Part {
        /// The asker's number.
        nonce: u64,
        /// Which part, from 0.
        index: u16,
        /// How many there are.
        of: u16,
        /// The part itself.
        bytes: Vec<u8>,
    },
    /// On duties and windows, of a codec of its own.
    Duty(Vec<u8>),
    /// The sums over the members that the sender knows, part by part, each a u32 in little endian.
    Compare(Vec<u8>),
    /// Members of the parts in which the one that compared differs, each as foca's in postcard.
    Members(Vec<u8>),
}

/// Why a datagram is not used.
#[derive(Debug)]
pub enum Refused {
    /// So many bytes, over what is allowed.
    Oversized(usize),
    /// So many bytes, shorter than the prefix.
    Short(usize),
    /// Not a proxy's datagram.
    Magic,
    /// Of another version.
    Version(u8),
    /// The checksum does not hold.
    Checksum,
    /// It does not decode.
    Garbled(postcard::Error),
    /// From another cluster.
    Cluster,
    /// Sent so long ago, past the bound.
    Stale(Micros),
    /// Sent so far in the future.
    Ahead(Micros),
    /// It came before.
    Replayed,
    /// A call that only members may make, or a part that nobody asked for.
    Unasked,
    /// On duties, which this proxy has none of, or whose worker has too much to do.
    Unheard,
    /// Membership refuses it.
    Swim(foca::Error),
}

impl Refused {
    /// A stable name for logs and counters.
    pub fn cause(&self) -> &'static str {
        match self {
            Refused::Oversized(_) => "oversized",
            Refused::Short(_) => "short",
            Refused::Magic => "magic",
            Refused::Version(_) => "version",
            Refused::Checksum => "checksum",
            Refused::Garbled(_) => "garbled",
            Refused::Cluster => "cluster",
            Refused::Stale(_) => "stale",
            Refused::Ahead(_) => "ahead",
            Refused::Replayed => "replayed",
            Refused::Unasked => "unasked",
            Refused::Unheard => "unheard",
            Refused::Swim(_) => "swim",
        }
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Oversized(n) => write!(f, "{n} bytes or more, over the {MOST} allowed"),
            Refused::Short(n) => write!(f, "{n} bytes, shorter than any datagram"),
            Refused::Magic => write!(f, "not a proxy's datagram"),
            Refused::Version(v) => write!(f, "version {v}, this program reads {VERSION}"),
            Refused::Checksum => write!(f, "the checksum does not hold"),
            Refused::Garbled(e) => write!(f, "does not decode: {e}"),
            Refused::Cluster => write!(f, "from another cluster"),
            Refused::Stale(age) => write!(f, "sent {:.1} s ago", age.as_secs_f64()),
            Refused::Ahead(by) => write!(f, "sent {:.1} s in the future", by.as_secs_f64()),
            Refused::Replayed => write!(f, "it came before"),
            Refused::Unasked => write!(f, "from no member, or not asked for"),
            Refused::Unheard => write!(f, "on duties, with nobody here to take it"),
            Refused::Swim(e) => write!(f, "membership: {e}"),
        }
    }
}

impl std::error::Error for Refused {}

/// The sending side of one proxy's datagrams: whichever thread sends, each has a later time than the one before.
#[derive(Debug)]
pub struct Seal {
    cluster: Cluster,
    own: SocketAddr,
    /// The last datagram's time.
    last_us: AtomicU64,
}

impl Seal {
    /// For datagrams from `own`, the sender's advertised address, within the cluster.
    pub fn new(cluster: Cluster, own: SocketAddr) -> Seal {
        Seal {
            cluster,
            own,
            last_us: AtomicU64::new(0),
        }
    }

    /// The bytes of a datagram sent at wall time `now_us`, or just after the last one.
    ///
    /// # Errors
    /// Where the body is too large for one datagram.
    pub fn seal(&self, body: Body, now_us: u64) -> Result<Vec<u8>, Refused> {
        let next = |last: u64| now_us.max(last.saturating_add(1));
        let last = self
            .last_us
            .fetch_update(Relaxed, Relaxed, |last| Some(next(last)));
        let sent_us = last.map_or(now_us, next);
        encode(&Envelope {
            cluster: self.cluster,
            from: self.own,
            sent_us,
            body,
        })
    }
}

/// The datagram's bytes.
///
/// # Errors
/// Where the envelope is too large for one datagram.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, Refused> {
    let body = postcard::to_stdvec(envelope).map_err(Refused::Garbled)?;
    let length = PREFIX + body.len();
    if length > MOST {
        return Err(Refused::Oversized(length));
    }
    let mut bytes = Vec::with_capacity(length);
    bytes.extend_from_slice(&MAGIC);
    bytes.push(VERSION);
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// An envelope from a datagram's bytes.
///
/// # Errors
/// Why they are no whole datagram of this version.
pub fn decode(bytes: &[u8]) -> Result<Envelope, Refused> {
    if bytes.len() > MOST {
        return Err(Refused::Oversized(bytes.len()));
    }
    let (prefix, body) = bytes
        .split_at_checked(PREFIX)
        .ok_or(Refused::Short(bytes.len()))?;
    if prefix[..4] != MAGIC {
        return Err(Refused::Magic);
    }
    if prefix[4] != VERSION {
        return Err(Refused::Version(prefix[4]));
    }
    if prefix[5..] != crc32fast::hash(body).to_le_bytes() {
        return Err(Refused::Checksum);
    }
    match postcard::take_from_bytes(body) {
        Ok((envelope, [])) => Ok(envelope),
        Ok(_) => Err(Refused::Garbled(postcard::Error::DeserializeBadEncoding)),
        Err(e) => Err(Refused::Garbled(e)),
    }
}

/// Lets each datagram of the cluster in once, and none that is older than the bound.
#[derive(Debug)]
pub struct Gate {
    cluster: Cluster,
    bound: Micros,
    seen: HashSet<(SocketAddr, u64)>,
    /// The same by arrival.
    order: VecDeque<(SocketAddr, u64)>,
}

impl Gate {
    /// For that cluster; `bound`: how old a datagram may be.
    pub fn new(cluster: Cluster, bound: Micros) -> Gate {
        Gate {
            cluster,
            bound,
            seen: HashSet::new(),
            order: VecDeque::new(),
        }
    }

    /// Checks an envelope at wall time `now_us`.
    ///
    /// # Errors
    /// Why it is not let in.
    pub fn admit(&mut self, envelope: &Envelope, now_us: u64) -> Result<(), Refused> {
        if envelope.cluster != self.cluster {
            return Err(Refused::Cluster);
        }
        fresh(envelope.sent_us, now_us, self.bound)?;
        // What is past the bound is refused by its age: it need not be remembered.
        let past = |at: u64| at.saturating_add(self.bound.0) < now_us;
        while self.order.front().is_some_and(|(_, at)| past(*at)) || self.order.len() >= REMEMBERED
        {
            let Some(key) = self.order.pop_front() else {
                break;
            };
            self.seen.remove(&key);
        }
        let key = (envelope.from, envelope.sent_us);
        if !self.seen.insert(key) {
            return Err(Refused::Replayed);
        }
        self.order.push_back(key);
        Ok(())
    }
}

/// The age of what was made at `then_us`, if it is within the bound.
///
/// # Errors
/// Where it is too old or too far in the future.
pub fn fresh(then_us: u64, now_us: u64, bound: Micros) -> Result<Micros, Refused> {
    let (ahead, age) = (
        Micros(then_us.saturating_sub(now_us)),
        Micros(now_us.saturating_sub(then_us)),
    );
    if ahead > AHEAD {
        return Err(Refused::Ahead(ahead));
    }
    if age > bound {
        return Err(Refused::Stale(age));
    }
    Ok(age)
}
