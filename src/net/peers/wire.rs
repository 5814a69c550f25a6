//! Datagrams between proxies: a prefix (magic `SHTP`, version (u8), CRC-32 of the rest (u32, little endian)) and an
//! [`Envelope`] in postcard. Whatever else arrives is refused by cause; nothing here panics on input.

use serde::{Deserialize, Serialize};
use shaletide::Micros;
use std::collections::{HashSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;

const MAGIC: [u8; 4] = *b"SHTP";
/// Raised whenever the envelope's or a body's shape changes.
pub const VERSION: u8 = 2;
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
    pub cluster: Cluster,
    /// The sender's advertised address.
    pub from: SocketAddr,
    /// Wall time of sending, microseconds since 1970; strictly increasing for each sender.
    pub sent_us: u64,
    pub body: Body,
}

/// What is in a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// foca's: membership, and facts inside.
    Swim(Vec<u8>),
    /// A new proxy asks for a snapshot; the answer's parts carry the same number.
    Ask { nonce: u64 },
    /// One part, from 0, of so many of a snapshot's bytes.
    Part { nonce: u64, index: u16, of: u16, bytes: Vec<u8> },
    /// On duties and windows, of a codec of its own.
    Duty(Vec<u8>),
}

/// Why a datagram is not used.
#[derive(Debug)]
pub enum Refused {
    Oversized(usize),
    Short(usize),
    Magic,
    Version(u8),
    Checksum,
    Garbled(postcard::Error),
    Cluster,
    Stale(Micros),
    Ahead(Micros),
    Replayed,
    /// A call that only members may make, or a part that nobody asked for.
    Unasked,
    /// On duties, which this proxy has none of, or whose worker has too much to do.
    Unheard,
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
            Refused::Stale(age) => write!(f, "sent {:.1} s ago", age.secs()),
            Refused::Ahead(by) => write!(f, "sent {:.1} s in the future", by.secs()),
            Refused::Replayed => write!(f, "it came before"),
            Refused::Unasked => write!(f, "from no member, or not asked for"),
            Refused::Unheard => write!(f, "on duties, with nobody here to take it"),
            Refused::Swim(e) => write!(f, "membership: {e}"),
        }
    }
}

impl std::error::Error for Refused {}

/// The datagram's bytes.
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
pub fn decode(bytes: &[u8]) -> Result<Envelope, Refused> {
    if bytes.len() > MOST {
        return Err(Refused::Oversized(bytes.len()));
    }
    let (prefix, body) = bytes.split_at_checked(PREFIX).ok_or(Refused::Short(bytes.len()))?;
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
pub struct Gate {
    cluster: Cluster,
    bound: Micros,
    seen: HashSet<(SocketAddr, u64)>,
    /// The same by arrival.
    order: VecDeque<(SocketAddr, u64)>,
}

impl Gate {
    pub fn new(cluster: Cluster, bound: Micros) -> Gate {
        Gate { cluster, bound, seen: HashSet::new(), order: VecDeque::new() }
    }

    /// Checks an envelope at wall time `now_us`.
    pub fn admit(&mut self, envelope: &Envelope, now_us: u64) -> Result<(), Refused> {
        if envelope.cluster != self.cluster {
            return Err(Refused::Cluster);
        }
        fresh(envelope.sent_us, now_us, self.bound)?;
        // What is past the bound is refused by its age: it need not be remembered.
        let past = |at: u64| at.saturating_add(self.bound.0) < now_us;
        while self.order.front().is_some_and(|(_, at)| past(*at)) || self.order.len() >= REMEMBERED {
            let Some(key) = self.order.pop_front() else { break };
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
pub fn fresh(then_us: u64, now_us: u64, bound: Micros) -> Result<Micros, Refused> {
    let (ahead, age) = (Micros(then_us.saturating_sub(now_us)), Micros(now_us.saturating_sub(then_us)));
    if ahead > AHEAD {
        return Err(Refused::Ahead(ahead));
    }
    if age > bound {
        return Err(Refused::Stale(age));
    }
    Ok(age)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn envelope() -> impl Strategy<Value = Envelope> {
        let bytes = || proptest::collection::vec(any::<u8>(), 0..900);
        let body = prop_oneof![
            bytes().prop_map(Body::Swim),
            bytes().prop_map(Body::Duty),
            any::<u64>().prop_map(|nonce| Body::Ask { nonce }),
            (any::<u64>(), any::<u16>(), any::<u16>(), bytes())
                .prop_map(|(nonce, index, of, bytes)| Body::Part { nonce, index, of, bytes }),
        ];
        (any::<[u8; 8]>(), any::<([u8; 4], u16)>(), any::<u64>(), body)
            .prop_map(|(cluster, from, sent_us, body)| Envelope { cluster, from: from.into(), sent_us, body })
    }

    proptest! {
        /// A datagram decodes to what was sent; with any byte changed, cut anywhere or with bytes added it is
        /// refused, and junk of any sort never panics.
        #[test]
        fn only_whole_datagrams_are_read(e in envelope(), at in any::<prop::sample::Index>(), flip in 1u8..,
                                         cut in any::<prop::sample::Index>(),
                                         junk in proptest::collection::vec(any::<u8>(), 1..64)) {
            let bytes = encode(&e).unwrap();
            prop_assert_eq!(&decode(&bytes).unwrap(), &e);
            let mut changed = bytes.clone();
            let i = at.index(changed.len());
            changed[i] ^= flip;
            prop_assert!(decode(&changed).is_err(), "a change at byte {} was taken", i);
            prop_assert!(decode(&bytes[..cut.index(bytes.len())]).is_err());
            prop_assert!(decode(&[&bytes[..], &junk].concat()).is_err());
            let _ = decode(&junk);
        }
    }

    #[test]
    fn each_datagram_of_the_cluster_is_let_in_once_and_fresh() {
        let mine = cluster("lagos");
        let mut gate = Gate::new(mine, Micros(5_000_000));
        let now = 1_000_000_000;
        let of = |cluster, sent_us| Envelope {
            cluster,
            from: SocketAddr::from(([127, 0, 0, 1], 7)),
            sent_us,
            body: Body::Ask { nonce: 1 },
        };
        let mut cause =
            |cluster, sent_us, at| gate.admit(&of(cluster, sent_us), at).err().map_or("", |e| e.cause());
        assert_eq!(cause(mine, now - 10, now), "");
        assert_eq!(cause(mine, now - 10, now + 1), "replayed");
        assert_eq!(cause(mine, now - 10, now + 6_000_000), "stale", "forgotten only once too old anyway");
        assert_eq!(cause(mine, now - 11, now), "", "late, out of order, and new");
        assert_eq!(cause(cluster("other"), now, now), "cluster");
        assert_eq!(cause(mine, now + 2_000_000, now), "ahead");
    }
}
