//! Broadcasts that all proxies pass on: how long each goes without the holder's word, and how long a window's step takes to
//! reach the last one, at 30, 300 and 1,800 proxies in simulated time with datagrams lost; and what is refused. Seeded.

use meadowproxy::fleet::relay::{Header, Part, Refused, Relay, FAN_OUT, MOST_HOPS};
use meadowproxy::Micros;
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::SocketAddr;

const S: u64 = 1_000_000;
/// The wall clock at the simulation's start.
const WALL: u64 = 1_700_000_000 * S;
/// For how long a proxy goes by the holder's word, by default.
const MAX_AGE: u64 = 5 * S;
/// How long after its decision a window's step has to be in force at the last proxy.
const TOLD: u64 = 2 * S;
/// How often the holder says that it is there, and digests go out.
const BEAT: u64 = S;
/// When a step is said, as in service.
const SAID: [u64; 3] = [0, 200_000, 600_000];

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7000))
}

fn place(at: SocketAddr) -> usize {
    match at.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => unreachable!("all are V4"),
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The holder's: its beat (false), or a step (true).
    Say(bool),
    /// A proxy's digests.
    Digest(usize),
    /// A broadcast arrives: its header's place in the list; whether it carries the step.
    Broadcast(usize, usize, bool),
    /// A digest arrives from one: the age that it tells of the holder, and whether its sender has the step.
    Digested(usize, usize, u64, bool),
    /// The step is asked of one by another, or sent to one.
    Asked(usize, usize),
    Sent(usize),
}

struct Proxy {
    relay: Relay,
    members: Vec<SocketAddr>,
    turn: usize,
    heard: u64,
    /// The longest time for which it went by one word.
    longest: u64,
    /// When the step came.
    step: Option<u64>,
}

struct Fleet {
    proxies: Vec<Proxy>,
    alive: Vec<bool>,
    headers: Vec<Header>,
    due: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    now: u64,
    loss: f64,
    random: Pcg32,
    /// Datagrams of broadcasts that each sent.
    sent: Vec<u64>,
}

/// The first one holds the duty. So many of a hundred are dead and not known to be; each misses as many of the others.
fn fleet(size: usize, seed: u64, loss: f64, dead: u32) -> Fleet {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut one = |n: usize| {
        let known = (0..size).filter(|m| *m != n && random.next_u32() % 100 >= dead);
        let members = known.map(address).collect();
        let relay = Relay::new(address(n), random.next_u64(), Micros(MAX_AGE));
        Proxy {
            relay,
            members,
            turn: random.next_u32() as usize,
            heard: 0,
            longest: 0,
            step: None,
        }
    };
    let proxies: Vec<Proxy> = (0..size).map(&mut one).collect();
    let alive = (0..size)
        .map(|n| n == 0 || random.next_u32() % 100 >= dead)
        .collect();
    let mut fleet = Fleet {
        proxies,
        alive,
        headers: Vec::new(),
        due: BinaryHeap::new(),
        count: 0,
        now: 0,
        loss,
        random,
        sent: vec![0; size],
    };
    fleet.after(0, Event::Say(false));
    for n in 0..size {
        let phase = u64::from(fleet.random.next_u32()) % BEAT;
        fleet.after(phase, Event::Digest(n));
    }
    fleet
}

impl Fleet {
    fn after(&mut self, span: u64, event: Event) {
        self.count += 1;
        self.due.push(Reverse((self.now + span, self.count, event)));
    }

    /// A datagram takes 1 to 60 ms, or never arrives.
    fn send(&mut self, event: Event) {
        let lost = f64::from(self.random.next_u32()) / 4_294_967_296.0 < self.loss;
        let late = 1000 + u64::from(self.random.next_u32()) % 59_000;
        if !lost {
            self.after(late, event);
        }
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((at, _, event))) = self.due.peek().copied() {
            if at > until {
                break;
            }
            self.due.pop();
            self.now = at;
            self.happen(event);
        }
        self.now = until;
    }

    fn happen(&mut self, event: Event) {
        let wall = WALL + self.now;
        match event {
            Event::Say(step) => {
                let header = self.proxies[0].relay.begin(wall);
                self.proxies[0].heard = self.now;
                self.pass_on(0, &header, step);
                if !step {
                    self.after(BEAT, Event::Say(false));
                }
            }
            Event::Broadcast(at, header, step) if self.alive[at] => {
                let header = self.headers[header];
                match self.proxies[at].relay.take(&header, wall) {
                    Ok(newest) => {
                        if newest {
                            self.hear(at, self.now);
                        }
                        self.pass_on(at, &header, step);
                        if step {
                            self.proxies[at].step.get_or_insert(self.now);
                        }
                    }
                    // Of two that see other members one may tell what another told.
                    Err(why) => assert_eq!(why.cause(), "repeated"),
                }
            }
            Event::Digest(from) if self.alive[from] => {
                self.after(BEAT, Event::Digest(from));
                let age = if from == 0 {
                    0
                } else {
                    self.now - self.proxies[from].heard
                };
                let step = self.proxies[from].step.is_some();
                for _ in 0..2 {
                    let proxy = &mut self.proxies[from];
                    proxy.turn = proxy.turn.wrapping_add(1);
                    let to = place(proxy.members[proxy.turn % proxy.members.len()]);
                    self.send(Event::Digested(to, from, age / 1000 * 1000, step));
                }
            }
            Event::Digested(at, from, age, theirs) if self.alive[at] => {
                self.hear(at, self.now.saturating_sub(age));
                match (self.proxies[at].step.is_some(), theirs) {
                    (true, false) => self.send(Event::Sent(from)),
                    (false, true) => self.send(Event::Asked(from, at)),
                    _ => {}
                }
            }
            Event::Asked(at, from) if self.alive[at] => self.send(Event::Sent(from)),
            Event::Sent(at) if self.alive[at] => {
                self.proxies[at].step.get_or_insert(self.now);
            }
            _ => {}
        }
    }

    fn hear(&mut self, at: usize, said: u64) {
        let (now, proxy) = (self.now, &mut self.proxies[at]);
        if said > proxy.heard {
            proxy.longest = proxy.longest.max(now - proxy.heard);
            proxy.heard = said;
        }
    }

    fn pass_on(&mut self, from: usize, header: &Header, step: bool) {
        let proxy = &self.proxies[from];
        let next = proxy.relay.pass_on(header, &proxy.members);
        assert!(next.len() <= FAN_OUT);
        self.sent[from] += next.len() as u64;
        for (to, header) in next {
            self.headers.push(header);
            self.send(Event::Broadcast(place(to), self.headers.len() - 1, step));
        }
    }

    /// The longest time without a newer word of each live proxy, in order, since the last call.
    fn longest(&mut self) -> Vec<u64> {
        let now = self.now;
        let live = self
            .proxies
            .iter_mut()
            .zip(&self.alive)
            .skip(1)
            .filter(|(_, alive)| **alive);
        let mut all: Vec<u64> = live
            .map(|(p, _)| std::mem::take(&mut p.longest).max(now - p.heard))
            .collect();
        all.sort_unstable();
        all
    }

    /// How long a step takes to the last live proxy; `None` where it is not there within 10 s.
    fn step(&mut self) -> Option<u64> {
        self.proxies.iter_mut().for_each(|p| p.step = None);
        let begun = self.now;
        self.proxies[0].step = Some(begun);
        SAID.iter()
            .for_each(|after| self.after(*after, Event::Say(true)));
        self.run(begun + 10 * S);
        let live = self
            .proxies
            .iter()
            .zip(&self.alive)
            .filter(|(_, alive)| **alive);
        live.map(|(p, _)| p.step.map(|at| at - begun))
            .collect::<Option<Vec<u64>>>()?
            .into_iter()
            .max()
    }
}

/// Seconds of simulated time and steps: fewer in a debug build.
fn bound(debug: u64, release: u64) -> u64 {
    if cfg!(debug_assertions) {
        debug
    } else {
        release
    }
}

/// No proxy goes by one word for longer than `max_age` with 1% of the datagrams lost; with 10% lost, also with 3% of the members
/// dead and as many unknown besides, 1 in 100 at most ever does. Each sends about one datagram a beat, the holder no more
/// than the fan-out.
#[test]
fn the_holders_word_reaches_all_in_time_by_relay() {
    for (size, seconds) in [(30, 600), (300, bound(60, 600)), (1800, bound(15, 120))] {
        for (loss, dead) in [(0.0, 0), (0.01, 0), (0.1, 0), (0.1, 3)] {
            let mut fleet = fleet(size, 11, loss, dead);
            fleet.run(3 * S); // all have heard once
            fleet.longest();
            fleet.sent.fill(0);
            fleet.run((3 + seconds) * S);
            let longest = fleet.longest();
            let at =
                |part: f64| longest[((longest.len() - 1) as f64 * part) as usize] as f64 / S as f64;
            let (most, over) = (
                *longest.last().unwrap(),
                longest.iter().filter(|t| **t > MAX_AGE).count(),
            );
            let mean = fleet.sent[1..].iter().sum::<u64>() as f64 / (size as u64 * seconds) as f64;
            let holder = fleet.sent[0] as f64 / seconds as f64;
            println!(
                "{size} proxies, {loss} lost, {dead}% dead, {seconds} s: without a newer word p50 {:.2} s, p99 {:.2}, \
                 most {:.2}, {over} of them over 5 s; datagrams a second {mean:.2} each, the holder {holder:.1}",
                at(0.5),
                at(0.99),
                most as f64 / S as f64
            );
            let allowed = if loss < 0.1 { 0 } else { size / 100 };
            assert!(
                over <= allowed,
                "{size} proxies, {loss} lost, {dead}% dead: {over} went without a word"
            );
            assert!(
                holder <= FAN_OUT as f64 && mean <= 1.0,
                "{holder} by the holder, {mean} by each"
            );
            // Without loss the last beat reached all.
            assert!(loss > 0.0 || most < BEAT + S / 2, "{most} us");
        }
    }
}

/// With 1% lost a step is at the last proxy within the 2 s that a decision to drain is granted.
#[test]
fn a_step_reaches_all_within_the_grace_by_relay() {
    for (size, steps) in [(30, 100), (300, bound(20, 200)), (1800, bound(3, 100))] {
        for loss in [0.01, 0.1] {
            let mut fleet = fleet(size, 13, loss, 0);
            fleet.run(S);
            let mut took: Vec<u64> = (0..steps)
                .map(|_| fleet.step().unwrap_or(u64::MAX))
                .collect();
            took.sort_unstable();
            let late = took.iter().filter(|t| **t > TOLD).count();
            let s = |n: usize| took[n] as f64 / S as f64;
            let last = took.len() - 1;
            println!(
                "{size} proxies, {loss} lost: a step at the last one after p50 {:.2} s, most {:.2}; {late} of {steps} later \
                 than 2 s",
                s(last / 2),
                s(last)
            );
            assert!(
                loss > 0.01 || late == 0,
                "{size} proxies: {late} of {steps} steps took over 2 s"
            );
        }
    }
}

fn header(by: &mut Relay, now: u64, own: SocketAddr, members: &[SocketAddr]) -> Header {
    let header = by.begin(now);
    let next = by.pass_on(&header, members);
    next.into_iter()
        .find(|(to, _)| *to == own)
        .expect("few enough to be told directly")
        .1
}

/// A broadcast is taken once. One that a later one overtook is passed on, but is not the newest; one that is too old, or
/// passed on too often, or meant for others, is refused by its cause, and so is the own one that comes back.
#[test]
fn what_is_late_doubled_or_astray_is_refused_by_cause() {
    let (a, b) = (address(1), address(2));
    let mut origin = Relay::new(a, 1, Micros(MAX_AGE));
    let mut relay = Relay::new(b, 2, Micros(MAX_AGE));
    let first = header(&mut origin, WALL, b, &[b]);
    let second = header(&mut origin, WALL, b, &[b]);
    assert!(
        second.said_us > first.said_us,
        "numbers rise within a microsecond"
    );
    assert!(relay.take(&second, WALL).unwrap());
    assert!(!relay.take(&first, WALL).unwrap(), "overtaken");
    let cause =
        |relay: &mut Relay, header: &Header, now| relay.take(header, now).unwrap_err().cause();
    assert_eq!(cause(&mut relay, &first, WALL), "repeated");
    assert_eq!(cause(&mut relay, &second, WALL), "repeated");
    let third = header(&mut origin, WALL + S, b, &[b]);
    assert_eq!(cause(&mut relay, &third, WALL + S + MAX_AGE + 1), "stale");
    assert_eq!(cause(&mut relay, &third, WALL - 2 * S), "ahead");
    let part = |from, to, hops| Header {
        part: Part { from, to, hops },
        ..third
    };
    assert_eq!(
        cause(&mut relay, &part(0, u32::MAX, MOST_HOPS + 1), WALL + S),
        "hops"
    );
    assert_eq!(cause(&mut relay, &part(1, 0, 1), WALL + S), "astray");
    assert_eq!(cause(&mut origin, &third, WALL + S), "repeated");
    let nobody = Header {
        origin: SocketAddr::from(([0, 0, 0, 0], 7000)),
        ..third
    };
    assert_eq!(cause(&mut relay, &nobody, WALL + S), "origin");
    assert!(
        relay.take(&third, WALL + S).unwrap(),
        "what was refused did not count as seen"
    );
    assert!(
        relay
            .pass_on(&part(0, u32::MAX, MOST_HOPS), &[address(3)])
            .is_empty(),
        "the hops are bounded"
    );
    assert!(matches!(
        relay.take(&third, WALL + S),
        Err(Refused::Repeated)
    ));
}

/// No two broadcasts go the same way: who is below a dead member in one tree is not in the next.
#[test]
fn each_broadcast_has_a_tree_of_its_own() {
    let members: Vec<SocketAddr> = (1..300).map(address).collect();
    let mut origin = Relay::new(address(0), 1, Micros(MAX_AGE));
    let mut first = BTreeSet::new();
    for n in 0..50 {
        let header = origin.begin(WALL + n * S);
        first.extend(
            origin
                .pass_on(&header, &members)
                .into_iter()
                .map(|(to, _)| to),
        );
    }
    assert!(
        first.len() > 150,
        "50 broadcasts went to {} members first",
        first.len()
    );
}

/// Origins without end take no memory without end, and none of them is taken twice within the bound on those kept.
#[test]
fn many_origins_are_forgotten_in_the_order_of_their_age() {
    let b = address(2);
    let mut relay = Relay::new(b, 0, Micros(MAX_AGE));
    let mut said = Vec::new();
    for n in 1..=1000u64 {
        let mut origin = Relay::new(address(1), n, Micros(MAX_AGE));
        let header = header(&mut origin, WALL + n, b, &[b]);
        assert!(relay.take(&header, WALL + n).unwrap());
        said.push(header);
    }
    assert!(said[800..]
        .iter()
        .all(|header| relay.take(header, WALL + 1000).is_err()));
}

proptest! {
    /// Whatever the members: where all views are alike each one but the origin gets a broadcast exactly once, the parts of
    /// one proxy's cut leave no gap and do not overlap, and nobody says it to more than the fan-out.
    #[test]
    fn with_equal_views_each_member_is_told_once(ports in prop::collection::btree_set(1u16.., 1..200), by: u64, now in WALL..2 * WALL) {
        let members: Vec<SocketAddr> = ports.into_iter().map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
        let relay = |at: SocketAddr| Relay::new(at, by ^ u64::from(at.port()), Micros(MAX_AGE));
        let origin = members[0];
        let mut waiting = vec![(origin, relay(origin).begin(now))];
        let mut told = BTreeSet::new();
        while let Some((at, header)) = waiting.pop() {
            let mut own = relay(at);
            if at != origin {
                prop_assert!(told.insert(at), "{at} twice");
                prop_assert!(own.take(&header, now).unwrap());
            }
            let next = own.pass_on(&header, &members);
            prop_assert!(next.len() <= FAN_OUT);
            if let (Some(first), Some(last)) = (next.first(), next.last()) {
                prop_assert!(first.1.part.from >= header.part.from && last.1.part.to == header.part.to);
                prop_assert!(next.windows(2).all(|two| two[0].1.part.to + 1 == two[1].1.part.from));
            }
            waiting.extend(next);
        }
        prop_assert_eq!(told.len(), members.len() - 1);
    }
}
