//! Who a proxy is to the others.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The wall time of the machine's present turn, which it and what foca calls back share.
#[derive(Clone, Debug, Default)]
pub(super) struct Clock(Rc<Cell<u64>>);

impl Clock {
    /// Microseconds since 1970.
    pub fn wall_us(&self) -> u64 {
        self.0.get()
    }

    pub fn set(&self, wall_us: u64) {
        self.0.set(wall_us);
    }
}

/// A proxy as the others know it. One that starts again under its address has a later start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct Member {
    pub addr: SocketAddr,
    pub start_us: u64,
}

impl Member {
    pub fn new(addr: SocketAddr, start_us: u64) -> Member {
        Member { addr, start_us }
    }

    /// The same proxy under a later start.
    pub fn renewed(&self, wall_us: u64) -> Member {
        Member {
            start_us: wall_us.max(self.start_us + 1),
            ..self.clone()
        }
    }
}

impl Identity for Member {
    type Addr = SocketAddr;
    /// foca is not to renew it: it would first tell all that the one before is down. See `parted`.
    fn renew(&self) -> Option<Member> {
        None
    }
    fn addr(&self) -> SocketAddr {
        self.addr
    }
    fn win_addr_conflict(&self, other: &Member) -> bool {
        self.start_us > other.start_us
    }
}
