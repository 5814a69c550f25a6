//! Membership on clocks that the test drives by hand, with every datagram the same time on its way.

use meadowproxy::fleet::membership::wire::{self, Seal};
use meadowproxy::fleet::membership::{Membership, News, Now, Output, Rules};
use meadowproxy::{Micros, Time, Verdict};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const SECOND: u64 = 1_000_000;
/// Wall time at the beginning.
const WALL: u64 = 1_700_000_000 * SECOND;
/// How long a datagram is on its way.
const WAY: u64 = 500;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16))
}

struct One {
    membership: Membership,
    seal: Seal,
    news: Vec<News>,
}

/// Proxies by place, and what is on its way between them.
struct Fleet {
    now: u64,
    size: usize,
    ones: BTreeMap<usize, One>,
    way: BTreeMap<(u64, u64), (usize, Vec<u8>)>,
    sent: u64,
    /// Bytes sent by each.
    bytes: BTreeMap<usize, u64>,
    /// Nothing passes between these and the others.
    cut: BTreeSet<usize>,
    /// Of so many datagrams one is lost, by a seeded draw.
    lose_one_in: Option<u32>,
    random: Pcg32,
    /// This one's wall clock is ahead by so much.
    ahead: Option<(usize, u64)>,
}

impl Fleet {
    fn new(size: usize) -> Fleet {
        let (ones, way, bytes, cut) = Default::default();
        let random = Pcg32::seed_from_u64(5);
        let mut fleet = Fleet {
            now: 0,
            size,
            ones,
            way,
            sent: 0,
            bytes,
            cut,
            lose_one_in: None,
            random,
            ahead: None,
        };
        (0..size).for_each(|n| fleet.start(n));
        fleet
    }

    fn clock(&self, n: usize) -> Now {
        let ahead = self.ahead.filter(|a| a.0 == n).map_or(0, |a| a.1);
        Now {
            time: Time(self.now),
            wall_us: WALL + self.now + ahead,
        }
    }

    fn start(&mut self, n: usize) {
        let cluster = wire::cluster("test");
        let rules = Rules {
            cluster,
            seeds: vec![address(0)],
            max_age: Micros(5 * SECOND),
            fleet: self.size as u32,
        };
        let membership = Membership::new(rules, address(n), 7 + n as u64, true, self.clock(n));
        self.ones.insert(
            n,
            One {
                membership,
                seal: Seal::new(cluster, address(n)),
                news: Vec::new(),
            },
        );
    }

    fn turn(&mut self, n: usize, step: impl FnOnce(&mut Membership, Now, &mut Vec<Output>)) {
        let now = self.clock(n);
        let Some(one) = self.ones.get_mut(&n) else {
            return;
        };
        let mut out = Vec::new();
        step(&mut one.membership, now, &mut out);
        for output in out {
            match output {
                Output::News(news) => one.news.push(news),
                Output::Send(to, body) => {
                    let to = usize::from(to.port()) - 1000;
                    self.sent += 1;
                    let bytes = one.seal.seal(body, now.wall_us).expect("a body that fits");
                    *self.bytes.entry(n).or_default() += bytes.len() as u64;
                    let lost = self
                        .lose_one_in
                        .is_some_and(|of| self.random.next_u32().is_multiple_of(of));
                    if lost || self.cut.contains(&n) != self.cut.contains(&to) {
                        continue;
                    }
                    self.way.insert((self.now + WAY, self.sent), (to, bytes));
                }
            }
        }
    }

    fn play(&mut self, span: u64) {
        let end = self.now + span;
        loop {
            let due = self
                .ones
                .iter()
                .map(|(n, one)| (one.membership.due().0, *n))
                .min();
            let came = self.way.first_key_value().map(|(key, _)| key.0);
            let next = due
                .map(|d| d.0)
                .into_iter()
                .chain(came)
                .min()
                .unwrap_or(end);
            if next >= end {
                break;
            }
            self.now = self.now.max(next);
            if came == Some(next) {
                let (_, (to, bytes)) = self.way.pop_first().expect("one that came");
                self.turn(to, |m, now, out| m.datagram(&bytes, now, out));
            } else if let Some((_, n)) = due {
                self.turn(n, Membership::pass);
            }
        }
        self.now = end;
    }

    /// All know all.
    fn whole(&self) -> bool {
        self.ones
            .values()
            .all(|one| one.membership.known() + 1 == self.size)
    }

    fn said(&self, n: usize, what: fn(&News) -> bool) -> usize {
        self.ones[&n].news.iter().filter(|news| what(news)).count()
    }
}

/// A proxy that was taken for down by mistake joins again under a later start, and all know it by that.
#[test]
fn who_was_cut_off_joins_again() {
    let mut fleet = Fleet::new(5);
    fleet.play(5 * SECOND);
    assert!(fleet.whole());
    fleet.cut = BTreeSet::from([4]);
    fleet.play(30 * SECOND);
    assert_eq!(fleet.ones[&0].membership.known(), 3, "it was not missed");
    fleet.cut.clear();
    fleet.play(10 * SECOND);
    assert!(fleet.whole());
    assert!(fleet.said(4, |news| matches!(news, News::Rejoined { .. })) > 0);
    assert!(
        fleet.said(0, |news| matches!(news, News::Replaced { .. })) > 0,
        "by a later start"
    );
}

/// A proxy whose clock was ahead is followed by one that starts earlier by its own clock: this one renews itself by the
/// wall time that it is told, and is known once that has passed the other's start.
#[test]
fn a_start_by_a_clock_that_was_ahead_is_outlived() {
    let mut fleet = Fleet::new(5);
    fleet.ones.remove(&1);
    fleet.ahead = Some((1, 900_000));
    fleet.start(1);
    fleet.play(400_000);
    assert!((0..5).all(|n| fleet.ones[&n].membership.known() > 0));
    fleet.ahead = None;
    fleet.start(1);
    fleet.play(10 * SECOND);
    assert!(fleet.whole());
    assert!(
        fleet.said(1, |news| matches!(news, News::Rejoined { .. })) > 0,
        "it had no need to"
    );
}

/// One that stops without a word is down everywhere within the time that suspicion takes; nobody else is.
#[test]
fn one_that_dies_is_known_everywhere_and_nobody_else_is_taken_for_dead() {
    let mut fleet = Fleet::new(40);
    fleet.play(10 * SECOND);
    assert!(fleet.whole());
    let downs = |fleet: &Fleet, n: usize| fleet.said(n, |news| matches!(news, News::Down { .. }));
    assert!(
        (0..40).all(|n| downs(&fleet, n) == 0),
        "somebody was taken for dead"
    );
    fleet.ones.remove(&20);
    fleet.play(30 * SECOND);
    let live: Vec<usize> = fleet.ones.keys().copied().collect();
    assert!(
        live.iter().all(|n| downs(&fleet, *n) == 1),
        "each finds out once"
    );
}

/// A snapshot that a member asks for comes whole through the parts that the driver sends; one too large is refused.
#[test]
fn a_new_proxy_gets_the_snapshot_that_it_asked_for() {
    let mut fleet = Fleet::new(2);
    fleet.play(600_000); // a member is asked each half second from the start, and at first none is known
    let wanted = fleet.ones[&0].news.iter().find_map(|news| match news {
        News::Wanted { to, nonce } => Some((*to, *nonce)),
        _ => None,
    });
    let (to, nonce) = wanted.expect("it asked");
    let bytes: Vec<u8> = (0..5_000u32).map(|n| n as u8).collect();
    fleet.turn(0, |m, _, out| {
        m.give(to, nonce, &bytes, out).expect("small enough");
    });
    fleet.play(100_000);
    let got = fleet.ones[&1].news.iter().find_map(|news| match news {
        News::Snapshot(got) => Some(got.clone()),
        _ => None,
    });
    assert_eq!(got, Some(bytes));
    fleet.turn(0, |m, _, out| {
        let large = vec![0; 1 << 20];
        assert!(m.give(to, nonce, &large, out).is_err() && out.is_empty());
    });
}

/// A verdict told by one is heard once by each other, with the turns shared out: each has the place that its address
/// has among all but the origin, which is the last.
#[test]
fn a_verdict_reaches_all_others_once_with_a_turn_each() {
    let mut fleet = Fleet::new(12);
    fleet.play(10 * SECOND);
    fleet.ones.remove(&5);
    fleet.play(20 * SECOND);
    let verdict = Verdict::Ejected {
        duration: Micros(SECOND),
        consecutive_ejections: 1,
    };
    let born_us = WALL + fleet.now;
    fleet.turn(3, |m, now, out| m.tell("b7".into(), verdict, now, out));
    fleet.play(3 * SECOND);
    let mark = |n: usize| {
        let mut hash = crc32fast::Hasher::new_with_initial((born_us >> 8) as u32);
        hash.update(&born_us.to_le_bytes());
        hash.update(address(n).to_string().as_bytes());
        (hash.finalize(), n)
    };
    let mut order: Vec<usize> = (0..12).filter(|n| ![3, 5].contains(n)).collect();
    order.sort_by_key(|n| mark(*n));
    order.push(3);
    for (turn, n) in order.into_iter().enumerate() {
        let heard = fleet.ones[&n].news.iter().filter_map(|news| match news {
            News::Heard(backend, heard) => Some((
                backend.as_str(),
                heard.verdict,
                heard.health_check_turn,
                heard.live_peers,
            )),
            _ => None,
        });
        assert_eq!(
            heard.collect::<Vec<_>>(),
            [("b7", verdict, turn as u32, 10)],
            "proxy {n}"
        );
    }
}

/// Whatever there is to tell, a proxy sends no more than its rate and what it saved up, beside bare probes and answers:
/// 3.5 KB a second, 5 KB saved up, and for the probes five datagrams of 100 bytes a second.
#[test]
fn what_a_proxy_tells_stays_within_its_rate() {
    let mut fleet = Fleet::new(60);
    fleet.play(20 * SECOND);
    assert!(fleet.whole());
    let begin = fleet.bytes.clone();
    let verdict = Verdict::Ejected {
        duration: Micros(SECOND),
        consecutive_ejections: 1,
    };
    for second in 1..=8 {
        for n in 0..60 {
            for b in 0..10 {
                let backend = format!("backend-{n}-{second}-{b}");
                fleet.turn(n, |m, now, out| m.tell(backend, verdict, now, out));
            }
        }
        fleet.play(SECOND);
        let most = (0..60)
            .map(|n| fleet.bytes[&n] - begin[&n])
            .max()
            .expect("sixty");
        assert!(most <= 5_000 + second * 4_000, "{most} bytes in {second} s");
    }
    assert!((0..60).all(|n| fleet.said(n, |news| matches!(news, News::Down { .. })) == 0));
}

/// A word of a backend reaches all others soon while far more news of others waits than may be sent.
#[test]
fn of_hundreds_of_verdicts_on_one_backend_all_hear_some_at_once() {
    let mut fleet = Fleet::new(100);
    fleet.play(30 * SECOND);
    assert!(fleet.whole());
    let (begin, verdict) = (
        fleet.bytes.clone(),
        Verdict::Ejected {
            duration: Micros(SECOND),
            consecutive_ejections: 1,
        },
    );
    for n in 0..100 {
        fleet.turn(n, |m, now, out| m.tell("dead".into(), verdict, now, out));
        fleet.play(5_000);
    }
    fleet.play(SECOND);
    for n in 0..100 {
        let others = fleet.said(
            n,
            |news| matches!(news, News::Heard(_, heard) if heard.origin.is_some()),
        );
        assert!(others >= 2, "proxy {n} heard {others}");
    }
    fleet.play(SECOND);
    let sum: u64 = (0..100).map(|n| fleet.bytes[&n] - begin[&n]).sum();
    assert!(
        sum / 100 <= 6_000,
        "{} bytes each, as if all were passed on",
        sum / 100
    );
}

/// Hundreds that start at once all know all in the end, by lists that are compared until they are equal; and then
/// comparing costs next to nothing.
#[test]
fn lists_of_members_end_whole() {
    let mut fleet = Fleet::new(200);
    fleet.play(40 * SECOND);
    let lacking = fleet
        .ones
        .values()
        .filter(|one| one.membership.known() != 199)
        .count();
    assert_eq!(lacking, 0, "proxies that lack another");
    fleet.play(20 * SECOND); // what is still passed on runs out
    let before: u64 = fleet.bytes.values().sum();
    fleet.play(10 * SECOND);
    let each = (fleet.bytes.values().sum::<u64>() - before) / 200 / 10;
    assert!(each <= 200, "{each} bytes a second while nothing happens");
}

/// A region that was cut off and found again comes back under later starts, and those that it comes back to stay who
/// they are; in neither is anybody taken for dead by those that heard it all the while.
#[test]
fn a_healed_region_needs_nobody_else_to_be_taken_for_dead() {
    const REGION: usize = 42;
    let mut fleet = Fleet::new(50);
    fleet.play(15 * SECOND);
    assert!(fleet.whole());
    fleet.cut = (REGION..50).collect();
    fleet.play(60 * SECOND);
    assert!(
        (0..REGION).all(|n| fleet.ones[&n].membership.known() == REGION - 1),
        "it was not missed"
    );
    fleet.cut.clear();
    fleet.ones.values_mut().for_each(|one| one.news.clear());
    fleet.play(20 * SECOND);
    assert!(fleet.whole());
    let rejoined = |n: &usize| fleet.said(*n, |news| matches!(news, News::Rejoined { .. })) > 0;
    assert_eq!(
        (0..50).filter(rejoined).collect::<Vec<_>>(),
        (REGION..50).collect::<Vec<_>>()
    );
    let inside = |n: usize| n >= REGION;
    for n in 0..50 {
        for news in &fleet.ones[&n].news {
            let News::Down { peer, .. } = news else {
                continue;
            };
            let other = usize::from(peer.port()) - 1000;
            assert_ne!(inside(n), inside(other), "{n} took {other} for dead");
        }
    }
}

/// With a tenth of the datagrams lost many are suspected; who said that it lives is told by nobody that it is down.
#[test]
fn nobody_rejoins_for_a_suspicion_that_was_refuted() {
    let mut fleet = Fleet::new(60);
    fleet.play(10 * SECOND);
    fleet.lose_one_in = Some(10);
    fleet.play(120 * SECOND);
    let rejoined = (0..60)
        .map(|n| fleet.said(n, |news| matches!(news, News::Rejoined { .. })))
        .sum::<usize>();
    assert_eq!(rejoined, 0);
}
