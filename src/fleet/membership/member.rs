//! How a proxy identifies itself to the other members.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The wall time of the current step, shared with the callbacks of the SWIM implementation.
#[derive(Clone, Debug, Default)]
pub(super) struct WallClock(Rc<Cell<u64>>);

impl WallClock {
    /// Microseconds since 1970.
    pub(super) fn now_us(&self) -> u64 {
        self.0.get()
    }

    pub(super) fn set(&self, now_us: u64) {
        self.0.set(now_us);
    }
}

/// A proxy's identity: its address, and its incarnation by the time of its start. Of two with one address, the one that
/// started later wins.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Member {
    /// The advertised address.
    pub(super) address: SocketAddr,
    /// Wall time of the start, microseconds since 1970.
    pub(super) started_us: u64,
}

impl Member {
    pub(super) fn new(address: SocketAddr, started_us: u64) -> Member {
        Member {
            address,
            started_us,
        }
    }

    /// The same proxy with a later start.
    pub(super) fn renewed(&self, now_us: u64) -> Member {
        Member {
            started_us: now_us.max(self.started_us + 1),
            ..self.clone()
        }
    }
}

impl Identity for Member {
    type Addr = SocketAddr;

    /// Renewal is left to `PartitionRecovery`: foca's own would first announce that the previous incarnation is down.
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
