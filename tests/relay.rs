//! Tests of broadcasts over the relay tree. With 30, 300 and 1,800 proxies in simulated time and datagrams lost: how
//! long each proxy is without a new heartbeat of the lease holder, and how long an update takes to the last proxy.
//! Other tests check which broadcasts are rejected, and the tree. Random numbers are seeded.

use meadowproxy::fleet::relay::{
    BroadcastError, BroadcastHeader, HashRange, Relay, FAN_OUT, MAX_HOPS,
};
use meadowproxy::Micros;
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::SocketAddr;

const SECOND_US: u64 = 1_000_000;
/// The wall clock at the start, in microseconds since the Unix epoch.
const WALL_START_US: u64 = 1_700_000_000 * SECOND_US;
/// How long a proxy relies on one heartbeat of the lease holder, by default.
const MAX_AGE_US: u64 = 5 * SECOND_US;
/// The maximum time from a decision until its update is in force at the last proxy.
const UPDATE_DEADLINE_US: u64 = 2 * SECOND_US;
/// The interval at which the lease holder broadcasts heartbeats and each proxy sends digests.
const HEARTBEAT_INTERVAL_US: u64 = SECOND_US;
/// The times after a decision at which its update is broadcast.
const UPDATE_BROADCASTS_US: [u64; 3] = [0, 200_000, 600_000];

/// The address of proxy `n`.
fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000))
}

/// The number of the proxy with that address.
fn number(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

fn seconds(span_us: u64) -> f64 {
    span_us as f64 / SECOND_US as f64
}

/// A simulated event. Proxies are identified by their numbers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The lease holder broadcasts a heartbeat or the update.
    Originate { is_update: bool },
    /// A proxy sends its digests.
    SendDigests { from: usize },
    /// A broadcast arrives; `header` is the index in [`Fleet::headers`].
    Broadcast {
        to: usize,
        header: usize,
        is_update: bool,
    },
    /// A digest arrives.
    Digest {
        to: usize,
        from: usize,
        heartbeat_age_us: u64,
        has_update: bool,
    },
    /// A request for the update arrives.
    UpdateRequest { to: usize, from: usize },
    /// The update arrives, in response to a request or to a digest.
    Update { to: usize },
}

/// A simulated proxy.
struct Proxy {
    relay: Relay,
    members: Vec<SocketAddr>,
    /// The index of the member that got the last digest, modulo the number of members.
    next_digest: usize,
    /// When the newest heartbeat that this proxy knows of was sent.
    heartbeat_us: u64,
    /// The longest time without a newer heartbeat.
    longest_gap_us: u64,
    /// When the update arrived, if it has.
    updated_at_us: Option<u64>,
}

/// A scheduled event. Of events at the same time, the one scheduled first is handled first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at_us: u64,
    sequence: u64,
    event: Event,
}

/// The simulated fleet and its network. The first proxy holds the lease.
struct Fleet {
    proxies: Vec<Proxy>,
    alive: Vec<bool>,
    headers: Vec<BroadcastHeader>,
    events: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    now_us: u64,
    /// The share of the datagrams that is lost.
    loss_rate: f64,
    random: Pcg32,
    /// The number of broadcast datagrams that each proxy sent.
    sent: Vec<u64>,
}

/// Creates a fleet in which `dead_percent` of the proxies are dead without the others knowing, and in which each proxy
/// doesn't know the same percentage of the others.
fn fleet(size: usize, seed: u64, loss_rate: f64, dead_percent: u32) -> Fleet {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut proxy = |n: usize| {
        let known = (0..size).filter(|m| *m != n && random.next_u32() % 100 >= dead_percent);
        let members = known.map(address).collect();
        Proxy {
            relay: Relay::new(address(n), random.next_u64(), Micros(MAX_AGE_US)),
            members,
            next_digest: random.next_u32() as usize,
            heartbeat_us: 0,
            longest_gap_us: 0,
            updated_at_us: None,
        }
    };
    let proxies: Vec<Proxy> = (0..size).map(&mut proxy).collect();
    let alive = (0..size)
        .map(|n| n == 0 || random.next_u32() % 100 >= dead_percent)
        .collect();
    let mut fleet = Fleet {
        proxies,
        alive,
        headers: Vec::new(),
        events: BinaryHeap::new(),
        scheduled: 0,
        now_us: 0,
        loss_rate,
        random,
        sent: vec![0; size],
    };
    fleet.schedule(0, Event::Originate { is_update: false });
    for n in 0..size {
        let phase_us = u64::from(fleet.random.next_u32()) % HEARTBEAT_INTERVAL_US;
        fleet.schedule(phase_us, Event::SendDigests { from: n });
    }
    fleet
}

impl Fleet {
    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(Scheduled {
            at_us: self.now_us + delay_us,
            sequence: self.scheduled,
            event,
        }));
    }

    /// Sends a datagram, which takes 1 to 60 ms or is lost.
    fn send(&mut self, event: Event) {
        let is_lost = f64::from(self.random.next_u32()) / 4_294_967_296.0 < self.loss_rate;
        let latency_us = 1000 + u64::from(self.random.next_u32()) % 59_000;
        if !is_lost {
            self.schedule(latency_us, event);
        }
    }

    fn run_until(&mut self, end_us: u64) {
        while let Some(Reverse(next)) = self.events.peek().copied() {
            if next.at_us > end_us {
                break;
            }
            self.events.pop();
            self.now_us = next.at_us;
            self.handle(next.event);
        }
        self.now_us = end_us;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Originate { is_update } => self.originate(is_update),
            Event::Broadcast {
                to,
                header,
                is_update,
            } if self.alive[to] => self.receive_broadcast(to, header, is_update),
            Event::SendDigests { from } if self.alive[from] => self.send_digests(from),
            Event::Digest {
                to,
                from,
                heartbeat_age_us,
                has_update,
            } if self.alive[to] => {
                self.learn_heartbeat(to, self.now_us.saturating_sub(heartbeat_age_us));
                match (self.proxies[to].updated_at_us.is_some(), has_update) {
                    (true, false) => self.send(Event::Update { to: from }),
                    (false, true) => self.send(Event::UpdateRequest { to: from, from: to }),
                    _ => {}
                }
            }
            Event::UpdateRequest { to, from } if self.alive[to] => {
                self.send(Event::Update { to: from });
            }
            Event::Update { to } if self.alive[to] => {
                self.proxies[to].updated_at_us.get_or_insert(self.now_us);
            }
            _ => {}
        }
    }

    /// The lease holder broadcasts a heartbeat or the update. Each broadcast counts as a heartbeat.
    fn originate(&mut self, is_update: bool) {
        let header = self.proxies[0].relay.originate(WALL_START_US + self.now_us);
        self.proxies[0].heartbeat_us = self.now_us;
        self.forward(0, &header, is_update);
        if !is_update {
            self.schedule(HEARTBEAT_INTERVAL_US, Event::Originate { is_update: false });
        }
    }

    fn receive_broadcast(&mut self, to: usize, header: usize, is_update: bool) {
        let header = self.headers[header];
        let wall_us = WALL_START_US + self.now_us;
        match self.proxies[to].relay.accept(&header, wall_us) {
            Ok(is_newest) => {
                if is_newest {
                    self.learn_heartbeat(to, self.now_us);
                }
                self.forward(to, &header, is_update);
                if is_update {
                    self.proxies[to].updated_at_us.get_or_insert(self.now_us);
                }
            }
            // Proxies that know different members may send a broadcast to the same member.
            Err(error) => assert_eq!(error.cause(), "repeated"),
        }
    }

    fn send_digests(&mut self, from: usize) {
        self.schedule(HEARTBEAT_INTERVAL_US, Event::SendDigests { from });
        let age_us = if from == 0 {
            0
        } else {
            self.now_us - self.proxies[from].heartbeat_us
        };
        let has_update = self.proxies[from].updated_at_us.is_some();
        for _ in 0..2 {
            let proxy = &mut self.proxies[from];
            proxy.next_digest = proxy.next_digest.wrapping_add(1);
            let to = number(proxy.members[proxy.next_digest % proxy.members.len()]);
            self.send(Event::Digest {
                to,
                from,
                heartbeat_age_us: age_us / 1000 * 1000,
                has_update,
            });
        }
    }

    /// Records a newer heartbeat, and how long the proxy was without one.
    fn learn_heartbeat(&mut self, n: usize, sent_us: u64) {
        let proxy = &mut self.proxies[n];
        if sent_us > proxy.heartbeat_us {
            let gap_us = self.now_us - proxy.heartbeat_us;
            proxy.longest_gap_us = proxy.longest_gap_us.max(gap_us);
            proxy.heartbeat_us = sent_us;
        }
    }

    fn forward(&mut self, from: usize, header: &BroadcastHeader, is_update: bool) {
        let proxy = &self.proxies[from];
        let next = proxy.relay.forward(header, &proxy.members);
        assert!(next.len() <= FAN_OUT);
        self.sent[from] += next.len() as u64;
        for forward in next {
            self.headers.push(forward.header);
            self.send(Event::Broadcast {
                to: number(forward.to),
                header: self.headers.len() - 1,
                is_update,
            });
        }
    }

    /// The longest time without a newer heartbeat at each live proxy since the last call, sorted.
    fn take_longest_gaps_us(&mut self) -> Vec<u64> {
        let now_us = self.now_us;
        let live = self
            .proxies
            .iter_mut()
            .zip(&self.alive)
            .skip(1)
            .filter(|(_, alive)| **alive);
        let mut gaps_us: Vec<u64> = live
            .map(|(proxy, _)| {
                let longest_us = std::mem::take(&mut proxy.longest_gap_us);
                longest_us.max(now_us - proxy.heartbeat_us)
            })
            .collect();
        gaps_us.sort_unstable();
        gaps_us
    }

    /// Broadcasts an update. Returns how long it takes to the last live proxy, or `None` if that is longer than 10 s.
    fn update_us(&mut self) -> Option<u64> {
        for proxy in &mut self.proxies {
            proxy.updated_at_us = None;
        }
        let begin_us = self.now_us;
        self.proxies[0].updated_at_us = Some(begin_us);
        for delay_us in UPDATE_BROADCASTS_US {
            self.schedule(delay_us, Event::Originate { is_update: true });
        }
        self.run_until(begin_us + 10 * SECOND_US);
        let live = self
            .proxies
            .iter()
            .zip(&self.alive)
            .filter(|(_, alive)| **alive);
        live.map(|(proxy, _)| proxy.updated_at_us.map(|at_us| at_us - begin_us))
            .collect::<Option<Vec<u64>>>()?
            .into_iter()
            .max()
    }
}

/// A number of simulated seconds or updates, which is smaller in a debug build.
fn in_build(debug: u64, release: u64) -> u64 {
    if cfg!(debug_assertions) {
        debug
    } else {
        release
    }
}

/// With 1% of the datagrams lost, no proxy is without a newer heartbeat for longer than the maximum age. With 10% lost,
/// even if 3% of the proxies are dead and as many unknown, at most 1 in 100 proxies ever is. On average each proxy
/// sends at most one datagram per heartbeat, and the lease holder at most as many as the fan-out.
#[test]
fn heartbeats_reach_all_proxies_in_time() {
    for (size, span_s) in [
        (30, 600),
        (300, in_build(60, 600)),
        (1800, in_build(15, 120)),
    ] {
        for (loss, dead_percent) in [(0.0, 0), (0.01, 0), (0.1, 0), (0.1, 3)] {
            let mut fleet = fleet(size, 11, loss, dead_percent);
            fleet.run_until(3 * SECOND_US); // by then each proxy has had a heartbeat
            fleet.take_longest_gaps_us();
            fleet.sent.fill(0);
            fleet.run_until((3 + span_s) * SECOND_US);
            let gaps_us = fleet.take_longest_gaps_us();
            let quantile_s =
                |part: f64| seconds(gaps_us[((gaps_us.len() - 1) as f64 * part) as usize]);
            let longest_us = *gaps_us.last().unwrap();
            let over = gaps_us
                .iter()
                .filter(|gap_us| **gap_us > MAX_AGE_US)
                .count();
            let mean = fleet.sent[1..].iter().sum::<u64>() as f64 / (size as u64 * span_s) as f64;
            let holder = fleet.sent[0] as f64 / span_s as f64;
            println!(
                "{size} proxies, {loss} lost, {dead_percent}% dead, {span_s} s: longest time without a newer \
                 heartbeat p50 {:.2} s, p99 {:.2} s, maximum {:.2} s, {over} proxies over 5 s; {mean:.2} datagrams/s \
                 per proxy, the holder {holder:.1}",
                quantile_s(0.5),
                quantile_s(0.99),
                seconds(longest_us)
            );
            let allowed = if loss < 0.1 { 0 } else { size / 100 };
            assert!(
                over <= allowed,
                "{size} proxies, {loss} lost, {dead_percent}% dead: {over} proxies had no heartbeat for over 5 s"
            );
            assert!(
                holder <= FAN_OUT as f64 && mean <= 1.0,
                "{holder} datagrams/s from the holder, {mean} from each proxy"
            );
            // Without loss each heartbeat reaches all proxies.
            assert!(
                loss > 0.0 || longest_us < HEARTBEAT_INTERVAL_US + SECOND_US / 2,
                "a proxy had no heartbeat for {longest_us} us without loss"
            );
        }
    }
}

/// With 1% of the datagrams lost, an update reaches the last proxy within 2 s, the time that a decision to drain may
/// take.
#[test]
fn an_update_reaches_all_proxies_within_its_deadline() {
    for (size, updates) in [
        (30, 100),
        (300, in_build(20, 200)),
        (1800, in_build(3, 100)),
    ] {
        for loss in [0.01, 0.1] {
            let mut fleet = fleet(size, 13, loss, 0);
            fleet.run_until(SECOND_US);
            let mut took_us: Vec<u64> = (0..updates)
                .map(|_| fleet.update_us().unwrap_or(u64::MAX))
                .collect();
            took_us.sort_unstable();
            let late = took_us
                .iter()
                .filter(|took_us| **took_us > UPDATE_DEADLINE_US)
                .count();
            let last = took_us.len() - 1;
            println!(
                "{size} proxies, {loss} lost: an update reaches the last proxy after p50 {:.2} s, \
                 maximum {:.2} s; {late} of {updates} take over 2 s",
                seconds(took_us[last / 2]),
                seconds(took_us[last])
            );
            assert!(
                loss > 0.01 || late == 0,
                "{size} proxies: {late} of {updates} updates took over 2 s"
            );
        }
    }
}

/// Broadcasts from `origin` and returns the header that the member `own_address` receives. It has to be a child of the
/// origin.
fn receive_from(
    origin: &mut Relay,
    now_us: u64,
    own_address: SocketAddr,
    members: &[SocketAddr],
) -> BroadcastHeader {
    let header = origin.originate(now_us);
    let next = origin.forward(&header, members);
    next.into_iter()
        .find(|forward| forward.to == own_address)
        .expect("the member is a child of the origin")
        .header
}

/// A broadcast is accepted once. One that a later broadcast overtook is accepted but isn't the newest. A broadcast is
/// rejected with a cause if it is too old, ahead of the clock, was forwarded too often, is meant for other members, has
/// no origin or is the receiver's own.
#[test]
fn late_duplicate_and_misdirected_broadcasts_are_rejected_by_cause() {
    let own_address = address(2);
    let mut origin = Relay::new(address(1), 1, Micros(MAX_AGE_US));
    let mut relay = Relay::new(own_address, 2, Micros(MAX_AGE_US));
    let start_us = WALL_START_US;
    let first = receive_from(&mut origin, start_us, own_address, &[own_address]);
    let second = receive_from(&mut origin, start_us, own_address, &[own_address]);
    assert!(
        second.sent_us > first.sent_us,
        "broadcasts within the same microsecond don't have increasing times"
    );
    assert!(relay.accept(&second, start_us).unwrap());
    assert!(
        !relay.accept(&first, start_us).unwrap(),
        "an overtaken broadcast was the newest"
    );
    let cause = |relay: &mut Relay, header: &BroadcastHeader, now_us| {
        relay.accept(header, now_us).unwrap_err().cause()
    };
    assert_eq!(cause(&mut relay, &first, start_us), "repeated");
    assert_eq!(cause(&mut relay, &second, start_us), "repeated");
    let later_us = start_us + SECOND_US;
    let third = receive_from(&mut origin, later_us, own_address, &[own_address]);
    assert_eq!(
        cause(&mut relay, &third, later_us + MAX_AGE_US + 1),
        "stale"
    );
    assert_eq!(cause(&mut relay, &third, start_us - 2 * SECOND_US), "ahead");
    let with_range = |first, last, hops| BroadcastHeader {
        range: HashRange { first, last, hops },
        ..third
    };
    let too_many_hops = with_range(0, u32::MAX, MAX_HOPS + 1);
    assert_eq!(cause(&mut relay, &too_many_hops, later_us), "hops");
    assert_eq!(cause(&mut relay, &with_range(1, 0, 1), later_us), "astray");
    assert_eq!(cause(&mut origin, &third, later_us), "repeated");
    let from_nowhere = BroadcastHeader {
        origin: SocketAddr::from(([0, 0, 0, 0], 7000)),
        ..third
    };
    assert_eq!(cause(&mut relay, &from_nowhere, later_us), "origin");
    assert!(
        relay.accept(&third, later_us).unwrap(),
        "a broadcast was a duplicate of a rejected one"
    );
    assert!(
        relay
            .forward(&with_range(0, u32::MAX, MAX_HOPS), &[address(3)])
            .is_empty(),
        "a broadcast was forwarded beyond the maximum number of hops"
    );
    assert!(matches!(
        relay.accept(&third, later_us),
        Err(BroadcastError::Duplicate)
    ));
}

/// Each broadcast has a different tree, so that a proxy below a dead member in one tree is elsewhere in the next.
#[test]
fn each_broadcast_has_a_tree_of_its_own() {
    let members: Vec<SocketAddr> = (1..300).map(address).collect();
    let mut origin = Relay::new(address(0), 1, Micros(MAX_AGE_US));
    let mut first_level = BTreeSet::new();
    for n in 0..50 {
        let header = origin.originate(WALL_START_US + n * SECOND_US);
        let next = origin.forward(&header, &members);
        first_level.extend(next.into_iter().map(|forward| forward.to));
    }
    assert!(
        first_level.len() > 150,
        "the first levels of 50 broadcasts had only {} different members",
        first_level.len()
    );
}

/// The relay remembers a limited number of origins, and forgets the oldest first. After 1,000 origins, no broadcast of
/// the last 200 is accepted twice.
#[test]
fn the_oldest_of_many_origins_are_forgotten_first() {
    let own_address = address(2);
    let mut relay = Relay::new(own_address, 0, Micros(MAX_AGE_US));
    let mut received = Vec::new();
    for n in 1..=1000u64 {
        let mut origin = Relay::new(address(1), n, Micros(MAX_AGE_US));
        let now_us = WALL_START_US + n;
        let header = receive_from(&mut origin, now_us, own_address, &[own_address]);
        assert!(relay.accept(&header, now_us).unwrap());
        received.push(header);
    }
    assert!(received[800..]
        .iter()
        .all(|header| relay.accept(header, WALL_START_US + 1000).is_err()));
}

proptest! {
    /// If all proxies know the same members, each of them but the origin gets a broadcast exactly once. The ranges that
    /// a proxy assigns are contiguous and don't overlap, and it sends the broadcast to at most as many members as the
    /// fan-out.
    #[test]
    fn with_equal_views_each_member_gets_a_broadcast_once(ports in prop::collection::btree_set(1u16.., 1..200), seed: u64, now_us in WALL_START_US..2 * WALL_START_US) {
        let members: Vec<SocketAddr> = ports.into_iter().map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
        let relay = |at: SocketAddr| Relay::new(at, seed ^ u64::from(at.port()), Micros(MAX_AGE_US));
        let origin = members[0];
        let mut in_flight = vec![(origin, relay(origin).originate(now_us))];
        let mut received = BTreeSet::new();
        while let Some((to, header)) = in_flight.pop() {
            let mut relay = relay(to);
            if to != origin {
                prop_assert!(received.insert(to), "{to} received the broadcast twice");
                prop_assert!(relay.accept(&header, now_us).unwrap());
            }
            let next = relay.forward(&header, &members);
            prop_assert!(next.len() <= FAN_OUT);
            if let (Some(first), Some(last)) = (next.first(), next.last()) {
                prop_assert!(first.header.range.first >= header.range.first && last.header.range.last == header.range.last);
                prop_assert!(next.windows(2).all(|two| two[0].header.range.last + 1 == two[1].header.range.first));
            }
            in_flight.extend(next.into_iter().map(|forward| (forward.to, forward.header)));
        }
        prop_assert_eq!(received.len(), members.len() - 1);
    }
}
