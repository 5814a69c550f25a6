//! Tests the replicated configuration at the planned size, 1,800 proxies in simulated time: how long a change takes to
//! be in force at the last proxy, and how many bytes it costs. The random numbers are seeded, so that results are the
//! same on any machine.

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

/// Microseconds in a millisecond.
const MS_US: u64 = 1000;
const VOTERS: usize = 5;
const REGIONS: usize = 7;
/// The approximate size in bytes of what a datagram adds to a message: prefix, envelope, version and kind.
const ENVELOPE: usize = 45;

/// A scheduled event: its time in microseconds, its sequence number and its proxy. For a message also the sender and
/// the message's index in [`Fleet::messages`]; none for a tick.
type Scheduled = Reverse<(u64, u64, usize, Option<(usize, usize)>)>;

/// The simulated fleet and its network.
struct Fleet {
    proxies: Vec<Replica>,
    /// The addresses of all proxies, listed twice: the members that proxy `n` knows are the slice that follows its
    /// address.
    addresses: Vec<SocketAddr>,
    scheduled: BinaryHeap<Scheduled>,
    /// The messages in flight.
    messages: Vec<Option<Message>>,
    /// The unused indices of `messages`.
    free_slots: Vec<usize>,
    sequence: u64,
    now_us: u64,
    /// The share of the messages that is lost.
    loss_rate: f64,
    /// Whether the last region is partitioned from the others.
    is_partitioned: bool,
    /// While the last region and the others consider each other dead: the addresses on either side, each listed twice.
    sides: Option<[Vec<SocketAddr>; 2]>,
    random: Pcg32,
    /// The number of the token of the first proxy, which is the leader.
    token_number: u64,
    /// Bytes sent by each proxy.
    sent_bytes: Vec<u64>,
    /// The version of each proxy's table.
    versions: Vec<u64>,
    /// When each proxy's version last changed.
    changed_at_us: Vec<u64>,
}

/// The address of proxy `n`.
fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (n >> 8) as u8, n as u8], 7000))
}

/// The number of the proxy with that address.
fn number(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) << 8 | usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

/// Whether proxy `n` is in the last region, which a partition separates from the others.
fn is_in_last_region(n: usize) -> bool {
    n % REGIONS == REGIONS - 1
}

/// The members that the `n`th proxy of a list knows: all others of the list, which is given twice in a row.
fn members_of(list_twice: &[SocketAddr], n: usize) -> &[SocketAddr] {
    &list_twice[n + 1..n + list_twice.len() / 2]
}

impl Fleet {
    fn new(size: usize, seed: u64, loss_rate: f64) -> Fleet {
        let lease = lease::Rules::new(VOTERS, Micros(3_000_000), 0.01).unwrap();
        let mut random = Pcg32::seed_from_u64(seed);
        let voters: Vec<SocketAddr> = (0..VOTERS).map(address).collect();
        let rules = |n| Rules {
            lease,
            voters: voters.clone(),
            own: address(n),
        };
        let proxies = (0..size).map(|n| {
            let mut replica = Replica::new(rules(n), random.next_u64(), Time(0));
            replica.assume_up_to_date();
            replica
        });
        let proxies: Vec<Replica> = proxies.collect();
        let addresses = (0..size).chain(0..size).map(address).collect();
        // The proxies tick at different moments within the first 100 ms.
        let scheduled =
            (0..size).map(|n| Reverse((u64::from(random.next_u32() % 100_000), n as u64, n, None)));
        let (sent_bytes, versions, changed_at_us) = (vec![0; size], vec![0; size], vec![0; size]);
        Fleet {
            scheduled: scheduled.collect(),
            proxies,
            addresses,
            messages: Vec::new(),
            free_slots: Vec::new(),
            sequence: size as u64,
            now_us: 0,
            loss_rate,
            is_partitioned: false,
            sides: None,
            random,
            token_number: 1,
            sent_bytes,
            versions,
            changed_at_us,
        }
    }

    /// Calls the replica of proxy `n`, records its events and sends its messages.
    fn call(&mut self, n: usize, call: impl FnOnce(&mut Replica, Time, &Context, &mut Outbox)) {
        let size = self.proxies.len();
        let sides = self.sides.take();
        let members = match &sides {
            None => &self.addresses[n + 1..n + size],
            Some([others, _]) if !is_in_last_region(n) => members_of(others, n - n / REGIONS),
            Some([_, last]) => members_of(last, n / REGIONS),
        };
        let context = Context {
            wall_ms: 1_800_000_000_000 + self.now_us / MS_US,
            members,
            zone_members: &[],
            lease: (n == 0).then_some(Ballot {
                number: self.token_number,
                incarnation: 1,
            }),
            leader: Some(address(0)),
        };
        let mut out = Outbox::new();
        call(&mut self.proxies[n], Time(self.now_us), &context, &mut out);
        self.sides = sides;
        for event in self.proxies[n].take_events() {
            match event {
                Event::TableChanged { version, .. } => {
                    assert!(version > self.versions[n]);
                    (self.versions[n], self.changed_at_us[n]) = (version, self.now_us);
                }
                Event::Superseded(token) => self.token_number = token.number + 1,
                Event::Outcome { .. } => {}
                Event::Diverged(other) => {
                    panic!("the tables of proxies {n} and {other} diverged")
                }
            }
        }
        for Outgoing { to, message } in out {
            let to = number(to);
            self.sent_bytes[n] += (postcard::to_stdvec(&message).unwrap().len() + ENVELOPE) as u64;
            let lost = f64::from(self.random.next_u32()) / 4_294_967_296.0 < self.loss_rate;
            let cut = self.is_partitioned && is_in_last_region(n) != is_in_last_region(to);
            if lost || cut {
                continue;
            }
            // A message takes 1 to 5 ms within a region and 20 to 100 ms between regions.
            let (min_us, jitter_us) = if n % REGIONS == to % REGIONS {
                (MS_US, 4 * MS_US)
            } else {
                (20 * MS_US, 80 * MS_US)
            };
            let latency_us = min_us + u64::from(self.random.next_u32()) % jitter_us;
            let slot = self.free_slots.pop().unwrap_or_else(|| {
                self.messages.push(None);
                self.messages.len() - 1
            });
            self.messages[slot] = Some(message);
            self.sequence += 1;
            self.scheduled.push(Reverse((
                self.now_us + latency_us,
                self.sequence,
                to,
                Some((n, slot)),
            )));
        }
    }

    /// Runs the fleet for `span_us` of simulated time.
    fn run(&mut self, span_us: u64) {
        let end_us = self.now_us + span_us;
        while self.scheduled.peek().is_some_and(|due| due.0 .0 < end_us) {
            let Some(Reverse((at, _, n, message))) = self.scheduled.pop() else {
                return;
            };
            self.now_us = at;
            match message {
                Some((from, slot)) => {
                    self.free_slots.push(slot);
                    let message = self.messages[slot].take().unwrap();
                    self.call(n, |r, now, context, out| {
                        let _ = r.handle(now, context, address(from), message, out);
                    });
                }
                None => {
                    self.call(n, Replica::tick);
                    self.sequence += 1;
                    self.scheduled
                        .push(Reverse((at + 100 * MS_US, self.sequence, n, None)));
                }
            }
        }
        self.now_us = end_us;
    }

    /// Submits a change at one proxy and runs the fleet for `span_us`. Returns how long each proxy took to reach the
    /// newest version, in milliseconds and sorted; `u64::MAX` for one that didn't.
    fn change(&mut self, id: u64, submitter: usize, span_us: u64) -> Vec<u64> {
        let value = Value::Set(vec![id as u8; 200]);
        let edits = vec![Edit {
            key: Key {
                kind: Kind::Tenant,
                name: format!("tenant-{id}"),
            },
            value,
        }];
        let (begin_us, base) = (self.now_us, self.versions[submitter]);
        let before = self.versions.clone();
        self.call(submitter, |r, now, context, out| {
            r.submit(now, context, Submission { id, base, edits }, out)
                .unwrap();
        });
        self.run(span_us);
        let newest = self.versions.iter().max().copied().unwrap_or_default();
        let delay_ms = |n: usize| match self.versions[n] == newest && before[n] != newest {
            true => (self.changed_at_us[n] - begin_us) / MS_US,
            false => u64::MAX,
        };
        let mut delays_ms: Vec<u64> = (0..self.versions.len()).map(delay_ms).collect();
        delays_ms.sort_unstable();
        delays_ms
    }
}

/// Makes changes one after the other. Returns for each how long it took to the last proxy, in milliseconds and sorted,
/// and prints the distribution of the first one.
fn make_changes(fleet: &mut Fleet, changes: u64) -> Vec<u64> {
    let size = fleet.proxies.len();
    let mut last_ms: Vec<u64> = (0..changes)
        .map(|id| {
            let submitter = fleet.random.next_u32() as usize % size;
            let delays_ms = fleet.change(id, submitter, 6_000_000);
            if id == 0 {
                println!(
                    "first change: p50 {} ms, p99 {} ms, last proxy {} ms",
                    delays_ms[size / 2],
                    delays_ms[size * 99 / 100],
                    delays_ms[size - 1]
                );
            }
            delays_ms[size - 1]
        })
        .collect();
    last_ms.sort_unstable();
    last_ms
}

#[test]
fn a_change_is_in_force_at_the_last_of_1_800_proxies_within_5_s() {
    for (loss, changes) in [(0.0, 6), (0.01, 6), (0.1, 6)] {
        let mut fleet = Fleet::new(1800, 11, loss);
        fleet.run(6_000_000);
        let before: u64 = fleet.sent_bytes.iter().sum();
        fleet.run(2_000_000);
        let idle_bytes_per_s =
            (fleet.sent_bytes.iter().sum::<u64>() - before) as f64 / 1800.0 / 2.0;
        let before: Vec<u64> = fleet.sent_bytes.clone();
        let last_ms = make_changes(&mut fleet, changes);
        let span = 6.0 * changes as f64;
        let sent: Vec<u64> = fleet
            .sent_bytes
            .iter()
            .zip(&before)
            .map(|(now, then)| now - then)
            .collect();
        let mean = sent.iter().sum::<u64>() as f64 / 1800.0;
        let bytes_per_change = (mean - idle_bytes_per_s * span) / changes as f64;
        println!(
            "{:.0}% lost: {changes} changes, in force at the last proxy after {last_ms:?} ms; without \
             changes {idle_bytes_per_s:.0} bytes/s per proxy, {bytes_per_change:.0} bytes more per change; the leader \
             {:.0} bytes/s",
            loss * 100.0,
            sent[0] as f64 / span
        );
        assert!(
            last_ms.iter().all(|ms| *ms < 5000),
            "a change took 5 s or longer until the last proxy had it: {last_ms:?} ms"
        );
        assert!(
idle_bytes_per_s < 200.0 && bytes_per_change < 6000.0,
"{idle_bytes_per_s} bytes/s per proxy without changes, {bytes_per_change} bytes per change"
);
    }
}

/// A region was partitioned from the others for a minute, in which changes were made. It catches up within 5 s after
/// the partition ends.
#[test]
fn a_region_catches_up_within_5_s_after_a_partition() {
    let mut fleet = Fleet::new(1800, 12, 0.01);
    fleet.run(6_000_000);
    make_changes(&mut fleet, 1);
    let side = |last: bool| {
        let addresses: Vec<SocketAddr> = (0..1800)
            .filter(|n| is_in_last_region(*n) == last)
            .map(address)
            .collect();
        [addresses.clone(), addresses].concat()
    };
    (fleet.is_partitioned, fleet.sides) = (true, Some([side(false), side(true)]));
    for id in 10..13 {
        fleet.change(id, 7, 20_000_000);
    }
    let newest = fleet.versions[0];
    let behind = (0..1800).filter(|n| fleet.versions[*n] < newest).count();
    assert_eq!(behind, (0..1800).filter(|n| is_in_last_region(*n)).count());
    fleet.is_partitioned = false; // both sides still consider each other dead
    let healed_us = fleet.now_us;
    fleet.run(5_000_000);
    assert!(fleet.versions.iter().all(|version| *version == newest));
    let last_ms = (0..1800)
        .filter(|n| is_in_last_region(*n))
        .map(|n| (fleet.changed_at_us[n] - healed_us) / MS_US)
        .max();
    println!("{behind} proxies were behind; the last one caught up after {last_ms:?} ms");
}
