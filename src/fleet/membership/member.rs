//! The identity by which the SWIM implementation tells proxies and their incarnations apart.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The wall time of the current step, shared with the callbacks of the SWIM implementation, which receive no clock
/// reading.
#[derive(Clone, Debug, Default)]
pub(super) struct WallClock(Rc<Cell<u64>>);

impl WallClock {
    /// The wall time of the current step, in microseconds since 1970.
    pub(super) fn now_us(&self) -> u64 {
        self.0.get()
    }

    pub(super) fn set(&self, now_us: u64) {
        self.0.set(now_us);
    }
}

/// A proxy's identity: its address, and its start time as its incarnation. Of two identities with the same address, the
/// one that started later wins.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Member {
    /// The advertised address.
    pub(super) address: SocketAddr,
    /// Wall time of the start, in microseconds since 1970.
    pub(super) started_us: u64,
}

impl Member {
    pub(super) fn new(address: SocketAddr, started_us: u64) -> Member {
        Member {
            address,
            started_us,
        }
    }

    /// The same proxy with a later start time: `now_us`, but at least 1 us after the previous one.
    pub(super) fn renewed(&self, now_us: u64) -> Member {
        Member {
            started_us: now_us.max(self.started_us + 1),
            ..self.clone()
        }
    }
}

impl Identity for Member {
    type Addr = SocketAddr;

    /// Disables foca's automatic rejoin, which would first announce that the previous incarnation is down.
    /// `PartitionRecovery` rejoins instead.
    fn renew(&self) -> Option<Member> {
        None
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        self.started_us > other.started_us
    }
}
