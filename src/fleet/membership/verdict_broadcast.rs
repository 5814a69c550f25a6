//! The broadcast of verdicts on backends, as custom broadcasts of the SWIM protocol. A receiver forwards a verdict if
//! it is new to it, among the newest ones on its backend, and not older than the maximum age.

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

/// The maximum length of a backend's name in a broadcast, in bytes.
const MAX_BACKEND_NAME_BYTES: usize = 200;
/// The maximum number of verdicts that are remembered.
const MAX_REMEMBERED: usize = 16_384;
/// The maximum number of verdicts on one backend that are forwarded. The newest ones suffice: a proxy acts when two
/// others agree, and older verdicts do not change that.
const MAX_FORWARDED_PER_BACKEND: usize = 3;

/// One proxy's verdict on one backend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct VerdictBroadcast {
    /// The advertised address of the proxy that reached the verdict.
    pub(super) origin: SocketAddr,
    /// Wall time of the verdict, in microseconds since 1970. It is also the version among verdicts with the same key.
    pub(super) created_us: u64,
    /// The backend's name in discovery's list.
    pub(super) backend: String,
    /// The verdict.
    pub(super) verdict: Verdict,
}

impl VerdictBroadcast {
    /// Encodes the broadcast; `None` if the backend's name is too long.
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

/// The backend and the origin of a verdict. Of several verdicts with the same key, only the latest is valid.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct VerdictKey {
    backend: String,
    origin: SocketAddr,
}

/// The order of the verdicts on one backend: by creation time, and for equal times by origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct VerdictVersion {
    created_us: u64,
    origin: SocketAddr,
}

/// Determines which of the broadcasts that still wait to be sent are dropped for a new one.
pub(super) struct Supersedes {
    key: VerdictKey,
    created_us: u64,
    /// Broadcasts on the same backend that were created before this time are dropped.
    oldest_forwarded_us: u64,
    /// Broadcasts on any backend that were created before this time are dropped: they are older than the maximum age.
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

/// The verdicts known so far, and the ones received that have not been reported yet.
pub(super) struct VerdictStore {
    own_address: SocketAddr,
    max_age: Micros,
    clock: WallClock,
    /// The creation time of the latest verdict with each key, in microseconds since 1970.
    pub(super) latest_us: HashMap<VerdictKey, u64>,
    /// The verdicts that are forwarded, by backend, the newest first.
    forwarded: HashMap<String, Vec<VerdictVersion>>,
    /// Other proxies' verdicts that have not been reported yet.
    pub(super) unreported: Vec<VerdictBroadcast>,
    /// The number of received verdicts that were older than the maximum age.
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

    /// Removes and returns other proxies' verdicts that have not been reported yet.
    pub(super) fn take_unreported(&mut self) -> Vec<VerdictBroadcast> {
        std::mem::take(&mut self.unreported)
    }

    /// Stores a verdict of this proxy (`is_own`) or of another one. If it has to be sent or forwarded, returns which
    /// waiting broadcasts it supersedes.
    fn store(&mut self, broadcast: VerdictBroadcast, is_own: bool) -> Option<Supersedes> {
        let now_us = self.clock.now_us();
        if check_age(broadcast.created_us, now_us, self.max_age).is_err() {
            self.stale += 1;
            return None; // not an error: it was not too old when it was sent, and the datagram is valid
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

    /// Removes expired verdicts if the store is full. Returns whether there is room for one more.
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

    /// Inserts a verdict into the versions on its backend. Returns the creation time of the oldest one that is
    /// forwarded, or 0 while there are fewer than [`MAX_FORWARDED_PER_BACKEND`].
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

/// Receives foca's custom broadcasts and stores their verdicts.
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
