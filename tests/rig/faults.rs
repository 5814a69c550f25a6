//! Faults between the proxies of a fleet: each one's datagrams come through a relay of the test's own on loopback,
//! which drops, delays, reorders, doubles, spoils, replays or cuts them off one way, by a seed.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use super::{Arc, Duration, Mutex, SocketAddr};
use std::collections::{HashMap, HashSet};
use std::net::UdpSocket;

/// What happens to datagrams between proxies.
#[derive(Default)]
pub struct Rules {
    /// Parts of all, from 0 to 1.
    pub drop: f64,
    pub duplicate: f64,
    /// One byte of the datagram is changed.
    pub corrupt: f64,
    /// The datagram that came before it to the same proxy comes once more behind it.
    pub replay: f64,
    /// Each is late by an even draw up to this, so that they overtake each other.
    pub max_delay: Duration,
    /// From, to: nothing passes that way.
    pub blocked: HashSet<(usize, usize)>,
    /// From, to: all that passes that way is kept until it is let go.
    pub held: HashSet<(usize, usize)>,
    /// From, to: all that passes that way takes so long.
    pub delays: HashMap<(usize, usize), Duration>,
}

/// A datagram that is kept, behind the number of the proxy that it goes to.
type HeldDatagram = (usize, Vec<u8>);

/// The relays of a fleet, numbered as its proxies.
pub struct Faults {
    sockets: Vec<Arc<UdpSocket>>,
    addresses: Arc<Mutex<HashMap<SocketAddr, usize>>>,
    pub rules: Arc<Mutex<Rules>>,
    held: Arc<Mutex<Vec<HeldDatagram>>>,
    /// The last datagram that passed towards each proxy, to be replayed.
    pub last_datagrams: Arc<Mutex<HashMap<usize, Vec<u8>>>>,
}

impl Faults {
    pub fn new(proxies: usize, seed: u64) -> Faults {
        let bind = |_| Arc::new(UdpSocket::bind("127.0.0.1:0").unwrap());
        let sockets: Vec<Arc<UdpSocket>> = (0..proxies).map(bind).collect();
        let (addresses, rules, held, last_datagrams) = Default::default();
        let faults = Faults {
            sockets,
            addresses,
            rules,
            held,
            last_datagrams,
        };
        (0..proxies).for_each(|to| faults.start_relay(to, seed + to as u64));
        faults
    }

    /// Where the others reach that proxy.
    pub fn address(&self, proxy: usize) -> SocketAddr {
        self.sockets[proxy].local_addr().unwrap()
    }

    /// Where the proxy listens, as its first lines say; an earlier process of it is forgotten.
    pub fn register(&self, proxy: usize, startup_log: &str) -> SocketAddr {
        let at = startup_log
            .lines()
            .find(|l| l.contains("peers_start"))
            .expect("it shares state");
        let at = at
            .split("listen=")
            .nth(1)
            .unwrap()
            .split(' ')
            .next()
            .unwrap()
            .parse()
            .unwrap();
        let mut addresses = self.addresses.lock().unwrap();
        addresses.retain(|_, number| *number != proxy);
        addresses.insert(at, proxy);
        at
    }

    /// What passes between two groups takes so long, both ways.
    pub fn delay_between(&self, one: &[usize], other: &[usize], delay: Duration) {
        let both = one
            .iter()
            .flat_map(|a| other.iter().flat_map(move |b| [(*a, *b), (*b, *a)]));
        self.rules.lock().unwrap().delays = both.map(|pair| (pair, delay)).collect();
    }

    /// Nothing passes between these groups, either way; whoever is in none is alone. Other rules stay as they are.
    pub fn partition(&self, groups: &[&[usize]]) {
        let group = |n: usize| groups.iter().position(|g| g.contains(&n)).ok_or(n);
        let all = 0..self.sockets.len();
        let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b)));
        self.rules.lock().unwrap().blocked =
            pairs.filter(|(a, b)| group(*a) != group(*b)).collect();
    }

    /// What was kept goes on, late.
    pub fn release_held(&self) {
        self.rules.lock().unwrap().held.clear();
        let addresses = self.addresses.lock().unwrap();
        for (to, data) in self.held.lock().unwrap().drain(..) {
            let target = addresses
                .iter()
                .find(|(_, number)| **number == to)
                .map(|(at, _)| *at);
            target
                .into_iter()
                .for_each(|at| drop(self.sockets[to].send_to(&data, at)));
        }
    }

    /// Whatever was wrong ends.
    pub fn heal(&self) {
        *self.rules.lock().unwrap() = Rules::default();
    }

    fn start_relay(&self, to: usize, seed: u64) {
        let (socket, addresses) = (self.sockets[to].clone(), self.addresses.clone());
        let (rules, held, last_datagrams) = (
            self.rules.clone(),
            self.held.clone(),
            self.last_datagrams.clone(),
        );
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut chance = move || {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            (state >> 11) as f64 / (1u64 << 53) as f64
        };
        std::thread::spawn(move || {
            let mut bytes = [0; 2048];
            while let Ok((length, source)) = socket.recv_from(&mut bytes) {
                let (from, target) = {
                    let addresses = addresses.lock().unwrap();
                    let target = addresses
                        .iter()
                        .find(|(_, number)| **number == to)
                        .map(|(at, _)| *at);
                    (addresses.get(&source).copied(), target)
                };
                let (Some(from), Some(target)) = (from, target) else {
                    continue;
                };
                let mut data = bytes[..length].to_vec();
                let (copies, max_delay, delay, replay) = {
                    let rules = rules.lock().unwrap();
                    if rules.held.contains(&(from, to)) {
                        held.lock().unwrap().push((to, data));
                        continue;
                    }
                    let lost = rules.blocked.contains(&(from, to)) || chance() < rules.drop;
                    let copies = if lost {
                        0
                    } else {
                        1 + usize::from(chance() < rules.duplicate)
                    };
                    if length > 0 && chance() < rules.corrupt {
                        data[(chance() * length as f64) as usize] ^= 1 + (chance() * 255.0) as u8;
                    }
                    let delay = rules.delays.get(&(from, to)).copied().unwrap_or_default();
                    (
                        copies,
                        rules.max_delay,
                        delay,
                        copies > 0 && chance() < rules.replay,
                    )
                };
                let previous = if copies > 0 {
                    last_datagrams.lock().unwrap().insert(to, data.clone())
                } else {
                    None
                };
                for data in std::iter::repeat_n(data, copies).chain(previous.filter(|_| replay)) {
                    let (socket, wait) = (socket.clone(), delay + max_delay.mul_f64(chance()));
                    let send = move || drop(socket.send_to(&data, target));
                    if wait.is_zero() {
                        send();
                    } else {
                        std::thread::spawn(move || {
                            std::thread::sleep(wait);
                            send();
                        });
                    }
                }
            }
        });
    }
}
