//! The fleet's configuration at the plan's size, 1,800 proxies in simulated time: how long until a change is in force at the
//! last of them, and what it costs. Seeded, and the same on any machine.

use meadowproxy::fleet::config::{
    Context, Edit, Event, Key, Kind, Message, Outbox, Outgoing, Replica, Rules, Submission, Value,
};
use meadowproxy::fleet::lease::{self, Ballot};
use meadowproxy::{Micros, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

const MS: u64 = 1000;
const VOTERS: usize = 5;
const REGIONS: usize = 7;
/// Prefix, envelope, version and kind of a datagram, about.
const ENVELOPE: usize = 45;

/// What happens next: when, in which order, to whom; a message's sender and place, or a tick.
type Due = Reverse<(u64, u64, usize, Option<(usize, usize)>)>;

struct Fleet {
    proxies: Vec<Replica>,
    /// All addresses twice over: the members of each are those that follow it.
    addresses: Vec<SocketAddr>,
    due: BinaryHeap<Due>,
    messages: Vec<Option<Message>>,
    free: Vec<usize>,
    count: u64,
    now: u64,
    loss: f64,
    /// The last region is cut off.
    cut: bool,
    /// Since a cut the last region and all others take each other for dead: the members of each side, twice over.
    sides: Option<[Vec<SocketAddr>; 2]>,
    random: Pcg32,
    /// The first one's, which is the leader.
    token: u64,
    /// Bytes sent by each.
    bytes: Vec<u64>,
    versions: Vec<u64>,
    /// When each last came to another version.
    at: Vec<u64>,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (n >> 8) as u8, n as u8], 7000))
}

fn place(at: SocketAddr) -> usize {
    match at.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => unreachable!("all are V4"),
    }
}

/// Whether it is of the region that a cut leaves on its own.
fn outside(n: usize) -> bool {
    n % REGIONS == REGIONS - 1
}

/// The members of number `n` of a list that stands twice over.
fn following(twice: &[SocketAddr], n: usize) -> &[SocketAddr] {
    &twice[n + 1..n + twice.len() / 2]
}

impl Fleet {
    fn new(size: usize, seed: u64, loss: f64) -> Fleet {
        let lease = lease::Rules::new(VOTERS, Micros(3_000_000), 0.01).unwrap();
        let mut random = Pcg32::seed_from_u64(seed);
        let voters: Vec<SocketAddr> = (0..VOTERS).map(address).collect();
        let of = |n| Rules {
            lease,
            voters: voters.clone(),
            own: address(n),
        };
        let proxies = (0..size).map(|n| {
            let mut replica = Replica::new(of(n), random.next_u64(), Time(0));
            replica.assume_up_to_date();
            replica
        });
        let proxies: Vec<Replica> = proxies.collect();
        let addresses = (0..size).chain(0..size).map(address).collect();
        // Their clocks' workers do not go in step.
        let due =
            (0..size).map(|n| Reverse((u64::from(random.next_u32() % 100_000), n as u64, n, None)));
        let (bytes, versions, at) = (vec![0; size], vec![0; size], vec![0; size]);
        Fleet {
            due: due.collect(),
            proxies,
            addresses,
            messages: Vec::new(),
            free: Vec::new(),
            count: size as u64,
            now: 0,
            loss,
            cut: false,
            sides: None,
            random,
            token: 1,
            bytes,
            versions,
            at,
        }
    }

    fn act(&mut self, n: usize, act: impl FnOnce(&mut Replica, Time, &Context, &mut Outbox)) {
        let size = self.proxies.len();
        let sides = self.sides.take();
        let members = match &sides {
            None => &self.addresses[n + 1..n + size],
            Some([others, _]) if !outside(n) => following(others, n - n / REGIONS),
            Some([_, last]) => following(last, n / REGIONS),
        };
        let context = Context {
            wall_ms: 1_800_000_000_000 + self.now / MS,
            members,
            zone_members: &[],
            lease: (n == 0).then_some(Ballot {
                number: self.token,
                incarnation: 1,
            }),
            leader: Some(address(0)),
        };
        let mut out = Outbox::new();
        act(&mut self.proxies[n], Time(self.now), &context, &mut out);
        self.sides = sides;
        for event in self.proxies[n].take_events() {
            match event {
                Event::TableChanged { version, .. } => {
                    assert!(version > self.versions[n]);
                    (self.versions[n], self.at[n]) = (version, self.now);
                }
                Event::Superseded(token) => self.token = token.number + 1,
                Event::Outcome { .. } => {}
                Event::Diverged(other) => panic!("{n} and {other} differ"),
            }
        }
        for Outgoing { to, message } in out {
            let to = place(to);
            self.bytes[n] += (postcard::to_stdvec(&message).unwrap().len() + ENVELOPE) as u64;
            let lost = f64::from(self.random.next_u32()) / 4_294_967_296.0 < self.loss;
            let cut = self.cut && outside(n) != outside(to);
            if lost || cut {
                continue;
            }
            // A hop takes up to 5 ms in a region and 20 to 100 ms between two.
            let (least, more) = if n % REGIONS == to % REGIONS {
                (MS, 4 * MS)
            } else {
                (20 * MS, 80 * MS)
            };
            let late = least + u64::from(self.random.next_u32()) % more;
            let slot = self.free.pop().unwrap_or_else(|| {
                self.messages.push(None);
                self.messages.len() - 1
            });
            self.messages[slot] = Some(message);
            self.count += 1;
            self.due
                .push(Reverse((self.now + late, self.count, to, Some((n, slot)))));
        }
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.due.peek().is_some_and(|due| due.0 .0 < end) {
            let Some(Reverse((at, _, n, message))) = self.due.pop() else {
                return;
            };
            self.now = at;
            match message {
                Some((from, slot)) => {
                    self.free.push(slot);
                    let message = self.messages[slot].take().unwrap();
                    self.act(n, |r, now, context, out| {
                        let _ = r.handle(now, context, address(from), message, out);
                    });
                }
                None => {
                    self.act(n, Replica::tick);
                    self.count += 1;
                    self.due.push(Reverse((at + 100 * MS, self.count, n, None)));
                }
            }
        }
        self.now = end;
    }

    /// Has one proxy ask for a change; how long after that each came to it, in milliseconds, sorted.
    fn change(&mut self, id: u64, by: usize, span: u64) -> Vec<u64> {
        let value = Value::Set(vec![id as u8; 200]);
        let edits = vec![Edit {
            key: Key {
                kind: Kind::Tenant,
                name: format!("tenant-{id}"),
            },
            value,
        }];
        let (begun, base) = (self.now, self.versions[by]);
        let before = self.versions.clone();
        self.act(by, |r, now, context, out| {
            r.submit(now, context, Submission { id, base, edits }, out)
                .unwrap();
        });
        self.run(span);
        let newest = self.versions.iter().max().copied().unwrap_or_default();
        let late = |n: usize| match self.versions[n] == newest && before[n] != newest {
            true => (self.at[n] - begun) / MS,
            false => u64::MAX,
        };
        let mut late: Vec<u64> = (0..self.versions.len()).map(late).collect();
        late.sort_unstable();
        late
    }
}

/// Changes one after the other: the last one's times at p50 and p99 of all proxies, and the last proxy's by change, sorted.
fn play(fleet: &mut Fleet, changes: u64) -> Vec<u64> {
    let size = fleet.proxies.len();
    let mut last: Vec<u64> = (0..changes)
        .map(|id| {
            let by = fleet.random.next_u32() as usize % size;
            let late = fleet.change(id, by, 6_000_000);
            if id == 0 {
                println!(
                    "the first: p50 {} ms, p99 {} ms, last {} ms",
                    late[size / 2],
                    late[size * 99 / 100],
                    late[size - 1]
                );
            }
            late[size - 1]
        })
        .collect();
    last.sort_unstable();
    last
}

#[test]
fn a_change_is_in_force_at_the_last_of_1_800_proxies_within_5_s() {
    for (loss, changes) in [(0.0, 6), (0.01, 6), (0.1, 6)] {
        let mut fleet = Fleet::new(1800, 11, loss);
        fleet.run(6_000_000);
        let before: u64 = fleet.bytes.iter().sum();
        fleet.run(2_000_000);
        let quiet = (fleet.bytes.iter().sum::<u64>() - before) as f64 / 1800.0 / 2.0;
        let before: Vec<u64> = fleet.bytes.clone();
        let last = play(&mut fleet, changes);
        let span = 6.0 * changes as f64;
        let sent: Vec<u64> = fleet
            .bytes
            .iter()
            .zip(&before)
            .map(|(now, then)| now - then)
            .collect();
        let mean = sent.iter().sum::<u64>() as f64 / 1800.0;
        let a_change = (mean - quiet * span) / changes as f64;
        println!(
            "{:.0}% lost: {changes} changes, at the last proxy after {last:?} ms; quiet {quiet:.0} bytes/s a proxy, a change \
             {a_change:.0} bytes more; the leader {:.0} bytes/s",
            loss * 100.0,
            sent[0] as f64 / span
        );
        assert!(last.iter().all(|ms| *ms < 5000), "{last:?}");
        assert!(quiet < 200.0 && a_change < 6000.0, "{quiet}, {a_change}");
    }
}

/// A region that was cut off for a minute, with changes in it, is equal within 5 s of the heal.
#[test]
fn a_healed_region_is_equal_within_5_s() {
    let mut fleet = Fleet::new(1800, 12, 0.01);
    fleet.run(6_000_000);
    play(&mut fleet, 1);
    let side = |last: bool| {
        let of: Vec<SocketAddr> = (0..1800)
            .filter(|n| outside(*n) == last)
            .map(address)
            .collect();
        [of.clone(), of].concat()
    };
    (fleet.cut, fleet.sides) = (true, Some([side(false), side(true)]));
    for id in 10..13 {
        fleet.change(id, 7, 20_000_000);
    }
    let newest = fleet.versions[0];
    let behind = (0..1800).filter(|n| fleet.versions[*n] < newest).count();
    assert_eq!(behind, (0..1800).filter(|n| outside(*n)).count());
    fleet.cut = false; // that they live they find out later
    let healed = fleet.now;
    fleet.run(5_000_000);
    assert!(fleet.versions.iter().all(|version| *version == newest));
    let last = (0..1800)
        .filter(|n| outside(*n))
        .map(|n| (fleet.at[n] - healed) / MS)
        .max();
    println!("{behind} proxies, the last equal after {last:?} ms");
}
