//! A UDP relay at a real proxy's address in the plan. It forwards what other proxies send there to the process, and applies
//! the same network conditions that lightweight proxies apply when they send.

use super::plan::Plan;
use super::protocol::{Conditions, MAX_DELAY_US};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often the relay's thread checks whether to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The current network conditions, shared by all relays of a fleet.
pub type SharedConditions = Arc<Mutex<Conditions>>;

/// What a relay shares with its thread.
struct RelayState {
    plan: Plan,
    number: u32,
    socket: UdpSocket,
    conditions: SharedConditions,
    /// The address at which the proxy process listens, once one is running.
    target: Mutex<Option<SocketAddr>>,
    ended: AtomicBool,
}

/// A running relay; its thread stops after the relay is dropped.
pub struct Relay(Arc<RelayState>);

impl Relay {
    /// Binds the proxy's address in the plan and starts the relay's thread.
    pub fn start(plan: Plan, number: u32, conditions: SharedConditions) -> io::Result<Relay> {
        let socket = UdpSocket::bind(plan.address(number))?;
        socket.set_read_timeout(Some(POLL_INTERVAL))?;
        let (target, ended) = Default::default();
        let state = Arc::new(RelayState {
            plan,
            number,
            socket,
            conditions,
            target,
            ended,
        });
        let running = state.clone();
        std::thread::spawn(move || running.run());
        Ok(Relay(state))
    }

    /// Sets the address to which datagrams are forwarded.
    pub fn set_target(&self, address: SocketAddr) {
        *self.0.target.lock().expect("the lock is not poisoned") = Some(address);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.0.ended.store(true, Relaxed);
    }
}

impl RelayState {
    fn run(self: Arc<Self>) {
        let mut random = Pcg32::seed_from_u64(self.plan.seed ^ (u64::from(self.number) << 32));
        let mut random_fraction =
            move || f64::from(random.next_u32()) / (f64::from(u32::MAX) + 1.0);
        let mut bytes = [0; 2048];
        while !self.ended.load(Relaxed) {
            let Ok((length, from)) = self.socket.recv_from(&mut bytes) else {
                continue;
            };
            let Some(target) = *self.target.lock().expect("the lock is not poisoned") else {
                continue;
            };
            let conditions = *self.conditions.lock().expect("the lock is not poisoned");
            let passes = |from| conditions.passes(&self.plan, from, self.number);
            if !self.plan.proxy(from).is_none_or(passes) {
                continue;
            }
            // Datagrams from the plan's port come from lightweight proxies, which have injected their faults already.
            let faults = if from.port() == self.plan.port {
                Default::default()
            } else {
                conditions.faults
            };
            if random_fraction() < faults.lost {
                continue;
            }
            let copies = if random_fraction() < faults.duplicated {
                2
            } else {
                1
            };
            for _ in 0..copies {
                if random_fraction() >= faults.delayed {
                    let _ = self.socket.send_to(&bytes[..length], target); // UDP does not guarantee delivery
                    continue;
                }
                let (state, data) = (self.clone(), bytes[..length].to_vec());
                let delay = Duration::from_micros((random_fraction() * MAX_DELAY_US as f64) as u64);
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    let _ = state.socket.send_to(&data, target);
                });
            }
        }
    }
}
