//! Injects network faults between the proxies of a fleet. Datagrams to each proxy pass through a relay of the test on
//! loopback, which drops, delays, reorders, duplicates, corrupts, replays or blocks them in one direction, drawn from a
//! seed.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use super::{Arc, Duration, Mutex, SocketAddr};
use std::collections::{HashMap, HashSet};
use std::net::UdpSocket;

/// Faults that the relays apply to datagrams between proxies. The default applies none.
#[derive(Default)]
pub struct Rules {
    /// Probability that a datagram is dropped, from 0 to 1.
    pub drop: f64,
    /// Probability that a datagram is sent twice.
    pub duplicate: f64,
    /// Probability that one byte of the datagram is changed.
    pub corrupt: f64,
    /// Probability that the previous datagram to the same proxy is sent again after this one.
    pub replay: f64,
    /// Upper bound of each datagram's delay, which is drawn uniformly, so that datagrams are reordered.
    pub max_delay: Duration,
    /// Pairs (from, to) of proxies between which every datagram is dropped.
    pub blocked: HashSet<(usize, usize)>,
    /// Pairs (from, to) of proxies whose datagrams are held until [`Faults::release_held`].
    pub held: HashSet<(usize, usize)>,
    /// Fixed delays of the datagrams between pairs (from, to) of proxies, in addition to `max_delay`.
    pub delays: HashMap<(usize, usize), Duration>,
}

/// Number of the destination proxy and the bytes of a held datagram.
type HeldDatagram = (usize, Vec<u8>);

/// The relays of a fleet, one per proxy and with the same numbers.
pub struct Faults {
    sockets: Vec<Arc<UdpSocket>>,
    /// Number of the proxy that listens on an address.
    addresses: Arc<Mutex<HashMap<SocketAddr, usize>>>,
    pub rules: Arc<Mutex<Rules>>,
    /// Datagrams held back by [`Rules::held`].
    held: Arc<Mutex<Vec<HeldDatagram>>>,
    /// The last datagram sent to each proxy, used for replays.
    pub last_datagrams: Arc<Mutex<HashMap<usize, Vec<u8>>>>,
}

impl Faults {
    /// Starts a relay for each proxy.
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

    /// Returns the relay address at which the other proxies reach this one.
    pub fn address(&self, proxy: usize) -> SocketAddr {
        self.sockets[proxy].local_addr().unwrap()
    }

    /// Returns the address on which a proxy listens according to its startup log, and relays to it from now on instead of to
    /// the proxy's previous process.
    pub fn register(&self, proxy: usize, startup_log: &str) -> SocketAddr {
        let at = startup_log
            .lines()
            .find(|l| l.contains("peers_start"))
            .expect("a line with peers_start");
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

    /// Delays all datagrams between two groups of proxies by the same time in both directions.
    pub fn delay_between(&self, first: &[usize], second: &[usize], delay: Duration) {
        let both = first
            .iter()
            .flat_map(|a| second.iter().flat_map(move |b| [(*a, *b), (*b, *a)]));
        self.rules.lock().unwrap().delays = both.map(|pair| (pair, delay)).collect();
    }

    /// Blocks all datagrams between these groups of proxies. A proxy in none of them is isolated. Other rules stay as
    /// they are.
    pub fn partition(&self, groups: &[&[usize]]) {
        let group = |n: usize| groups.iter().position(|g| g.contains(&n)).ok_or(n);
        let all = 0..self.sockets.len();
        let pairs = all.clone().flat_map(|a| all.clone().map(move |b| (a, b)));
        self.rules.lock().unwrap().blocked =
            pairs.filter(|(a, b)| group(*a) != group(*b)).collect();
    }

    /// Delivers the datagrams that were held, and holds no more.
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

    /// Ends all faults.
    pub fn heal(&self) {
        *self.rules.lock().unwrap() = Rules::default();
    }

    /// Starts the thread that relays datagrams to the proxy `to`.
    fn start_relay(&self, to: usize, seed: u64) {
        let (socket, addresses) = (self.sockets[to].clone(), self.addresses.clone());
        let (rules, held, last_datagrams) = (
            self.rules.clone(),
            self.held.clone(),
            self.last_datagrams.clone(),
        );
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut draw_fraction = move || {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            (state >> 11) as f64 / (1u64 << 53) as f64
        };
        std::thread::spawn(move || {
            let mut buffer = [0; 2048];
            while let Ok((length, sender)) = socket.recv_from(&mut buffer) {
                let (from, target) = {
                    let addresses = addresses.lock().unwrap();
                    let target = addresses
                        .iter()
                        .find(|(_, number)| **number == to)
                        .map(|(at, _)| *at);
                    (addresses.get(&sender).copied(), target)
                };
                let (Some(from), Some(target)) = (from, target) else {
                    continue;
                };
                let mut data = buffer[..length].to_vec();
                let (copies, max_delay, delay, replay) = {
                    let rules = rules.lock().unwrap();
                    if rules.held.contains(&(from, to)) {
                        held.lock().unwrap().push((to, data));
                        continue;
                    }
                    let lost = rules.blocked.contains(&(from, to)) || draw_fraction() < rules.drop;
                    let copies = if lost {
                        0
                    } else {
                        1 + usize::from(draw_fraction() < rules.duplicate)
                    };
                    if length > 0 && draw_fraction() < rules.corrupt {
                        data[(draw_fraction() * length as f64) as usize] ^=
                            1 + (draw_fraction() * 255.0) as u8;
                    }
                    let delay = rules.delays.get(&(from, to)).copied().unwrap_or_default();
                    (
                        copies,
                        rules.max_delay,
                        delay,
                        copies > 0 && draw_fraction() < rules.replay,
                    )
                };
                let previous = if copies > 0 {
                    last_datagrams.lock().unwrap().insert(to, data.clone())
                } else {
                    None
                };
                for data in std::iter::repeat_n(data, copies).chain(previous.filter(|_| replay)) {
                    let (socket, wait) =
                        (socket.clone(), delay + max_delay.mul_f64(draw_fraction()));
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
