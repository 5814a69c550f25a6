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
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Member {
    pub addr: SocketAddr,
    pub start_us: u64,
    /// This proxy's own, by which it is renewed; it is not told.
    #[serde(skip)]
    clock: Option<Clock>,
}

impl Member {
    pub fn new(addr: SocketAddr, start_us: u64) -> Member {
        Member { addr, start_us, clock: None }
    }

    /// This proxy itself, started now.
    pub fn own(addr: SocketAddr, clock: Clock) -> Member {
        Member { addr, start_us: clock.wall_us(), clock: Some(clock) }
    }
}

impl PartialEq for Member {
    fn eq(&self, other: &Member) -> bool {
        (self.addr, self.start_us) == (other.addr, other.start_us)
    }
}

impl Eq for Member {}

impl Identity for Member {
    type Addr = SocketAddr;
    fn renew(&self) -> Option<Member> {
        let now_us = self.clock.as_ref()?.wall_us();
        Some(Member { start_us: now_us.max(self.start_us + 1), ..self.clone() })
    }
    fn addr(&self) -> SocketAddr {
        self.addr
    }
    fn win_addr_conflict(&self, other: &Member) -> bool {
        self.start_us > other.start_us
    }
}
