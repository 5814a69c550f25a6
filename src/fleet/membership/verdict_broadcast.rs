//! Verdicts on backends, spread as custom broadcasts of the SWIM protocol: each is passed on while it is new to the
//! receiver, among the newest on its backend, and within the maximum age.

use super::member::{Member, WallClock};
use super::wire::DatagramError;
use crate::fleet::message_age::check_age;
use crate::interface::{Micros, Verdict};
use foca::{BroadcastHandler, Invalidates};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The longest name of a backend in a broadcast.
const MAX_BACKEND_NAME_BYTES: usize = 200;
/// How many verdicts are remembered at most.
const MAX_REMEMBERED: usize = 16_384;
/// How many verdicts on one backend are passed on, the newest first: a proxy acts on the agreement of two others, and
/// older verdicts change nothing for it.
const MAX_FORWARDED_PER_BACKEND: usize = 3;

/// One proxy's verdict on one backend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct VerdictBroadcast {
    /// The advertised address of the proxy that reached the verdict.
    pub(super) origin: SocketAddr,
    /// When it did, wall time in microseconds since 1970: also the version among verdicts with the same key.
    pub(super) created_us: u64,
    /// The backend's name in discovery's list.
    pub(super) backend: String,
    /// The verdict.
    pub(super) verdict: Verdict,
}

impl VerdictBroadcast {
    /// Its bytes as a broadcast; `None` where the backend's name is too long.
    pub(super) fn encode(&self) -> Option<Vec<u8>> {
        if self.backend.len() > MAX_BACKEND_NAME_BYTES {
            return None;
        }
        postcard::to_stdvec(self).ok()
    }

    fn decode(bytes: &[u8]) -> Result<VerdictBroadcast, DatagramError> {
        let broadcast: VerdictBroadcast =
            postcard::from_bytes(bytes).map_err(DatagramError::Malformed)?;
        let length = broadcast.backend.len();
        if length > MAX_BACKEND_NAME_BYTES {
            return Err(DatagramError::Oversized { length });
        }
        Ok(broadcast)
    }

    fn key(&self) -> VerdictKey {
        VerdictKey {
            backend: self.backend.clone(),
            origin: self.origin,
        }
    }

    fn version(&self) -> VerdictVersion {
        VerdictVersion {
            created_us: self.created_us,
            origin: self.origin,
        }
    }
}

/// Of verdicts with the same key the latest counts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct VerdictKey {
    backend: String,
    origin: SocketAddr,
}

/// A verdict among others on the same backend, ordered by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct VerdictVersion {
    created_us: u64,
    origin: SocketAddr,
}

/// Which broadcasts that still wait to be sent are replaced by a new one.
pub(super) struct Supersedes {
    key: VerdictKey,
    created_us: u64,
    /// On the same backend, those created before this.
    oldest_forwarded_us: u64,
    /// On whatever backend, those created before this: they are past the maximum age.
    expired_before_us: u64,
}

impl Invalidates for Supersedes {
    fn invalidates(&self, other: &Supersedes) -> bool {
        let outdated = self.key == other.key && self.created_us >= other.created_us;
        let surplus =
            self.key.backend == other.key.backend && other.created_us < self.oldest_forwarded_us;
        outdated || surplus || other.created_us < self.expired_before_us
    }
}

/// The verdicts received so far, and those of them that have yet to be reported.
pub(super) struct VerdictStore {
    own_address: SocketAddr,
    max_age: Micros,
    clock: WallClock,
    /// When the latest verdict with each key was created.
    pub(super) latest_us: HashMap<VerdictKey, u64>,
    /// The verdicts that are passed on, by backend, the newest first.
    forwarded: HashMap<String, Vec<VerdictVersion>>,
    /// Others' verdicts that have not been reported yet.
    pub(super) unreported: Vec<VerdictBroadcast>,
    /// How many verdicts arrived past the maximum age.
    pub(super) stale: u64,
}

pub(super) type SharedVerdictStore = Rc<RefCell<VerdictStore>>;

impl VerdictStore {
    pub(super) fn shared(
        own_address: SocketAddr,
        max_age: Micros,
        clock: WallClock,
    ) -> SharedVerdictStore {
        Rc::new(RefCell::new(VerdictStore {
            own_address,
            max_age,
            clock,
            latest_us: HashMap::new(),
            forwarded: HashMap::new(),
            unreported: Vec::new(),
            stale: 0,
        }))
    }

    /// Takes others' verdicts that have not been reported yet.
    pub(super) fn take_unreported(&mut self) -> Vec<VerdictBroadcast> {
        std::mem::take(&mut self.unreported)
    }

    /// Stores a verdict of this proxy (`is_own`) or of another one; what it supersedes, if it is to be passed on.
    fn store(&mut self, broadcast: VerdictBroadcast, is_own: bool) -> Option<Supersedes> {
        let now_us = self.clock.now_us();
        if check_age(broadcast.created_us, now_us, self.max_age).is_err() {
            self.stale += 1;
            return None; // the sender had it in time: the datagram itself is valid
        }
        let is_echo = broadcast.origin == self.own_address && !is_own;
        if is_echo || self.is_known(&broadcast) || !self.evict_expired(now_us) {
            return None;
        }
        let key = broadcast.key();
        let created_us = broadcast.created_us;
        self.latest_us.insert(key.clone(), created_us);
        let expired_before_us = now_us.saturating_sub(self.max_age.0);
        let oldest_forwarded_us = self.insert_version(&broadcast, expired_before_us);
        if !is_own {
            self.unreported.push(broadcast);
        }
        (is_own || created_us >= oldest_forwarded_us).then_some(Supersedes {
            key,
            created_us,
            oldest_forwarded_us,
            expired_before_us,
        })
    }

    fn is_known(&self, broadcast: &VerdictBroadcast) -> bool {
        self.latest_us
            .get(&broadcast.key())
            .is_some_and(|latest_us| *latest_us >= broadcast.created_us)
    }

    /// Forgets expired verdicts when the store is full; whether it has capacity for one more.
    fn evict_expired(&mut self, now_us: u64) -> bool {
        if self.latest_us.len() < MAX_REMEMBERED {
            return true;
        }
        let max_age = self.max_age.0;
        let is_current = |created_us: u64| created_us.saturating_add(max_age) >= now_us;
        self.latest_us.retain(|_, latest_us| is_current(*latest_us));
        self.forwarded
            .retain(|_, versions| versions.iter().any(|v| is_current(v.created_us)));
        self.latest_us.len() < MAX_REMEMBERED
    }

    /// Counts a verdict among those on its backend; when the oldest that is passed on was created, or 0 while there are
    /// fewer than [`MAX_FORWARDED_PER_BACKEND`].
    fn insert_version(&mut self, broadcast: &VerdictBroadcast, expired_before_us: u64) -> u64 {
        let versions = self.forwarded.entry(broadcast.backend.clone()).or_default();
        versions.retain(|v| v.origin != broadcast.origin && v.created_us >= expired_before_us);
        versions.push(broadcast.version());
        versions.sort_unstable_by(|a, b| b.cmp(a));
        versions.truncate(MAX_FORWARDED_PER_BACKEND);
        versions
            .get(MAX_FORWARDED_PER_BACKEND - 1)
            .map_or(0, |oldest| oldest.created_us)
    }
}

/// Connects the SWIM implementation to the store.
pub(super) struct VerdictHandler(pub(super) SharedVerdictStore);

impl BroadcastHandler<Member> for VerdictHandler {
    type Key = Supersedes;
    type Error = DatagramError;

    fn receive_item(
        &mut self,
        data: &[u8],
        sender: Option<&Member>,
    ) -> Result<Option<Supersedes>, DatagramError> {
        let broadcast = VerdictBroadcast::decode(data)?;
        let is_own = sender.is_none();
        Ok(self.0.borrow_mut().store(broadcast, is_own))
    }
}
