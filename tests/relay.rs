//! Broadcasts over the relay tree: for how long each proxy goes without a heartbeat of the lease holder, and how long an
//! update takes to reach the last proxy, at 30, 300 and 1,800 proxies in simulated time with datagrams lost; and which
//! broadcasts are rejected. Seeded.

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
/// The wall clock at the simulation's start.
const WALL_START_US: u64 = 1_700_000_000 * SECOND_US;
/// For how long a proxy acts on one heartbeat of the holder, by default.
const MAX_AGE_US: u64 = 5 * SECOND_US;
/// How long after its decision an update has to be in force at the last proxy.
const UPDATE_DEADLINE_US: u64 = 2 * SECOND_US;
/// How often the holder broadcasts a heartbeat, and each proxy sends digests.
const HEARTBEAT_INTERVAL_US: u64 = SECOND_US;
/// When an update is broadcast, after its decision.
const UPDATE_BROADCASTS_US: [u64; 3] = [0, 200_000, 600_000];

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000))
}

/// The number of the proxy with that address.
fn number(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => unreachable!("all are V4"),
    }
}

fn seconds(span_us: u64) -> f64 {
    span_us as f64 / SECOND_US as f64
}

/// Proxies are given by their numbers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The holder broadcasts a heartbeat, or the update.
    Originate { is_update: bool },
    /// A proxy sends its digests.
    SendDigests { from: usize },
    /// A broadcast arrives; `header` is the index of its header.
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

struct Proxy {
    relay: Relay,
    members: Vec<SocketAddr>,
    /// Which member the next digest goes to.
    next_digest: usize,
    /// When the newest heartbeat that it knows was sent.
    heartbeat_us: u64,
    /// The longest time without a newer heartbeat.
    longest_gap_us: u64,
    /// When the update arrived.
    updated_at_us: Option<u64>,
}

/// An event at its time; of those at one time, the one scheduled first comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at_us: u64,
    sequence: u64,
    event: Event,
}

struct Fleet {
    proxies: Vec<Proxy>,
    alive: Vec<bool>,
    headers: Vec<BroadcastHeader>,
    events: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    now_us: u64,
    loss: f64,
    random: Pcg32,
    /// Datagrams of broadcasts that each proxy sent.
    sent: Vec<u64>,
}

/// The first proxy holds the lease. So many percent are dead and not known to be; each proxy lacks as many of the others.
fn fleet(size: usize, seed: u64, loss: f64, dead_percent: u32) -> Fleet {
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
        loss,
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

    /// A datagram takes 1 to 60 ms, or gets lost.
    fn send(&mut self, event: Event) {
        let is_lost = f64::from(self.random.next_u32()) / 4_294_967_296.0 < self.loss;
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
            // Of two proxies that know other members, one may send it to a member that another sent it to.
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

    /// The longest time without a newer heartbeat at each live proxy, in order, since the last call.
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

    /// How long an update takes to the last live proxy; `None` where it isn't there within 10 s.
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

/// Seconds of simulated time, or updates: fewer in a debug build.
fn in_build(debug: u64, release: u64) -> u64 {
    if cfg!(debug_assertions) {
        debug
    } else {
        release
    }
}

/// No proxy goes without a newer heartbeat for longer than the maximum age with 1% of the datagrams lost; with 10% lost,
/// also with 3% of the members dead and as many unknown besides, 1 in 100 at most ever does. Each sends about one datagram
/// a heartbeat, the holder no more than the fan-out.
#[test]
fn heartbeats_reach_all_in_time_by_relay() {
    for (size, span_s) in [
        (30, 600),
        (300, in_build(60, 600)),
        (1800, in_build(15, 120)),
    ] {
        for (loss, dead_percent) in [(0.0, 0), (0.01, 0), (0.1, 0), (0.1, 3)] {
            let mut fleet = fleet(size, 11, loss, dead_percent);
            fleet.run_until(3 * SECOND_US); // each has had a heartbeat
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
                "{size} proxies, {loss} lost, {dead_percent}% dead, {span_s} s: without a newer heartbeat p50 {:.2} s, \
                 p99 {:.2}, most {:.2}, {over} of them over 5 s; datagrams a second {mean:.2} each, the holder {holder:.1}",
                quantile_s(0.5),
                quantile_s(0.99),
                seconds(longest_us)
            );
            let allowed = if loss < 0.1 { 0 } else { size / 100 };
            assert!(
                over <= allowed,
                "{size} proxies, {loss} lost, {dead_percent}% dead: {over} went without a heartbeat"
            );
            assert!(
                holder <= FAN_OUT as f64 && mean <= 1.0,
                "{holder} by the holder, {mean} by each"
            );
            // Without loss the last heartbeat reached all.
            assert!(
                loss > 0.0 || longest_us < HEARTBEAT_INTERVAL_US + SECOND_US / 2,
                "{longest_us} us"
            );
        }
    }
}

/// With 1% lost an update is at the last proxy within the 2 s that a decision to drain is granted.
#[test]
fn an_update_reaches_all_within_its_deadline_by_relay() {
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
                "{size} proxies, {loss} lost: an update at the last one after p50 {:.2} s, most {:.2}; {late} of {updates} \
                 later than 2 s",
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

/// A broadcast of that origin, as a member gets it that is a child of the origin.
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
        .expect("few enough for one level")
        .header
}

/// A broadcast is accepted once. One that a later one overtook is forwarded, but isn't the newest; one that is too old, or
/// was forwarded too often, or is meant for other members, is rejected by its cause, and so is the own one that returns.
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
        "numbers increase within a microsecond"
    );
    assert!(relay.accept(&second, start_us).unwrap());
    assert!(!relay.accept(&first, start_us).unwrap(), "overtaken");
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
        "a rejected one does not count as received"
    );
    assert!(
        relay
            .forward(&with_range(0, u32::MAX, MAX_HOPS), &[address(3)])
            .is_empty(),
        "the hops are bounded"
    );
    assert!(matches!(
        relay.accept(&third, later_us),
        Err(BroadcastError::Duplicate)
    ));
}

/// Broadcasts have different trees: who is below a dead member in one isn't in the next.
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
        "the first levels of 50 broadcasts had {} members",
        first_level.len()
    );
}

/// However many origins there are, memory is bounded; and no broadcast of those remembered is accepted twice.
#[test]
fn many_origins_are_forgotten_in_the_order_of_their_age() {
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
    /// Whatever the members: where all proxies know the same ones, each but the origin gets a broadcast exactly once, the
    /// ranges that one proxy assigns leave no gap and don't overlap, and none sends it to more than the fan-out.
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
                prop_assert!(received.insert(to), "{to} twice");
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
