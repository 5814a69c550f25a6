//! Who is in the fleet, and what its proxies tell each other inside membership's messages: SWIM by `foca`, verdicts on
//! backends as its custom broadcasts, and the snapshot that a new proxy asks of a live one. What the facts mean is the
//! module's to decide.
//!
//! [`Membership`] is a state machine: datagrams and both clocks go in, [`Output`]s come out. Its driver seals bodies
//! ([`wire::Seal`]), sends them, calls [`Membership::pass`] when something is [due](Membership::due), and takes the news.

mod facts;
mod lists;
mod member;
mod parted;
mod ration;
mod snapshots;
pub mod wire;

use crate::interface::{BackendId, Micros, PeerId, PeerVerdict, Time, Verdict};
use facts::{Board, Fact, Facts};
use foca::{Foca, Message, OwnedNotification, PeriodicParams, State, Timer};
use member::{Clock, Member};
use rand::rngs::StdRng;
use rand::SeedableRng;
use ration::{Outbox, Rationed};
use snapshots::Asking;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;
use wire::{Body, Cluster, Envelope, Gate, Refused};

/// How often facts that wait are passed on, and to how many.
const GOSSIP: Duration = Duration::from_millis(100);
const GOSSIP_TO: usize = 3;
/// How often each is passed on while more waits than fits into a datagram.
const FEWER: NonZeroU8 = NonZeroU8::new(4).expect("not nought");
/// How often members that are down are tried again, so that a healed partition grows together.
const REJOIN: Duration = Duration::from_secs(2);
/// How often the seeds are told of a proxy that knows no live member.
const KNOCK: Micros = Micros(1_000_000);
/// What waits for gossip is reckoned at so many bytes: news of a member, and a verdict.
const NEWS: usize = 20;
const FACT: usize = 32;
/// A complaint of each cause is told so often at most.
const COMPLAIN: Micros = Micros(1_000_000);

/// What a proxy goes by, from its configuration.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The fleet's, by [`wire::cluster`].
    pub cluster: Cluster,
    /// Members to join through, this one or not.
    pub seeds: Vec<SocketAddr>,
    /// Past this what is shared is neither used nor passed on.
    pub max_age: Micros,
    /// Proxies expected, this one among them.
    pub fleet: u32,
}

/// Both clocks of the host at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic, by which timers go.
    pub time: Time,
    /// Wall time in microseconds since 1970, which proxies compare.
    pub wall_us: u64,
}

/// What came and went since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams that came, refused ones too.
    pub received: u64,
    /// This proxy's own facts that went out.
    pub told: u64,
    /// Others' facts that were new.
    pub heard: u64,
    /// This proxy's own facts that could not go out.
    pub untold: u64,
    /// Facts that came past their bound.
    pub stale: u64,
    /// Datagrams refused, by [cause](Refused::cause).
    pub refused: BTreeMap<&'static str, u64>,
}

/// What the driver carries out.
#[derive(Debug)]
pub enum Output {
    /// Seal this and send it there.
    Send(SocketAddr, Body),
    /// News, to be logged or passed on.
    News(News),
}

/// What the machine found out.
#[derive(Debug)]
pub enum News {
    /// A member is up; `members` live ones are known now, without this proxy.
    Up {
        /// Its advertised address.
        peer: SocketAddr,
        /// Live members known now.
        members: usize,
    },
    /// A member is down.
    Down {
        /// Its advertised address.
        peer: SocketAddr,
        /// Live members known now.
        members: usize,
    },
    /// A member goes by a later start now: it started again, or was taken for down. Whether it is up or down is told
    /// beside, where that changed.
    Replaced {
        /// Its advertised address.
        peer: SocketAddr,
    },
    /// The others took this proxy for down, and it joined again.
    Rejoined {
        /// Live members known now.
        members: usize,
    },
    /// A verdict on the backend of that name, with this proxy's turn; its number is left to the host.
    Heard(String, PeerVerdict),
    /// A message on duties, with its sender.
    Duty(SocketAddr, Vec<u8>),
    /// A member wants a snapshot: [`Membership::give`] sends one under that number.
    Wanted {
        /// The member's advertised address.
        to: SocketAddr,
        /// Its number for it.
        nonce: u64,
    },
    /// The bytes of the snapshot that was asked for.
    Snapshot(Vec<u8>),
    /// Of so many members asked none had a snapshot.
    NoSnapshot {
        /// How many.
        asked: u32,
    },
    /// A datagram was refused; told once a second for each cause.
    Refused(Refused),
    /// Membership failed at a timer.
    TimerFailed(foca::Error),
    /// Membership could not announce this proxy to that one.
    AnnounceFailed(SocketAddr, foca::Error),
}

type Swim = Foca<Member, Rationed, StdRng, Facts>;
/// Outputs in their order.
type Out = Vec<Output>;

/// This proxy's view of the fleet.
pub struct Membership {
    rules: Rules,
    own: SocketAddr,
    clock: Clock,
    board: Rc<RefCell<Board>>,
    swim: Swim,
    ration: ration::Shared,
    outbox: Outbox,
    /// foca's, by when they fall due; the number keeps those of one moment apart.
    timers: BTreeMap<(Time, u64), Timer<Member>>,
    timer: u64,
    gate: Gate,
    counts: Counts,
    complained: BTreeMap<&'static str, u64>,
    origins: HashMap<SocketAddr, PeerId>,
    /// The live members with the text of their addresses, while no change came since.
    live: Option<Vec<(SocketAddr, String)>>,
    asking: Option<Asking>,
    /// When the next member is told the sums over those known here, and the pause after that.
    compare_at: Time,
    pause: Micros,
    /// It left: the others are right to take it for down.
    left: bool,
    seed: u64,
    /// Until when those are [behind](Membership::behind).
    old: (Time, HashSet<Member>),
    knock_at: Time,
    ask_at: Time,
}

impl Membership {
    /// A proxy that starts now at `own`, its advertised address, and joins through the seeds. `cold`: no memory was
    /// taken, so that a snapshot is asked for.
    pub fn new(rules: Rules, own: SocketAddr, seed: u64, cold: bool, now: Now) -> Membership {
        let clock = Clock::default();
        clock.set(now.wall_us);
        let board = Rc::new(RefCell::new(Board::default()));
        let member = Member::new(own, now.wall_us);
        let ration = ration::shared(now.time);
        let swim = new_swim(&rules, member, seed, &ration, &board, &clock);
        Membership {
            own,
            clock,
            board,
            swim,
            outbox: Outbox::new(ration.clone()),
            ration,
            timers: BTreeMap::new(),
            timer: 0,
            gate: Gate::new(rules.cluster, rules.max_age),
            counts: Counts::default(),
            complained: BTreeMap::new(),
            origins: HashMap::new(),
            live: None,
            asking: cold.then(|| Asking::new(now.wall_us)),
            compare_at: now.time + lists::SELDOM,
            pause: lists::SELDOM,
            left: false,
            seed,
            old: (now.time, HashSet::new()),
            knock_at: now.time,
            ask_at: now.time,
            rules,
        }
    }

    /// When [`Membership::pass`] is to be called.
    pub fn due(&self) -> Time {
        let timer = self.timers.first_key_value().map(|t| t.0 .0);
        let own = [self.knock_at, self.ask_at, self.compare_at];
        timer.into_iter().chain(own).fold(self.knock_at, Time::min)
    }

    /// A datagram as it came: taken as a whole, or refused by cause and counted.
    pub fn datagram(&mut self, bytes: &[u8], now: Now, out: &mut Out) {
        self.begin(now);
        self.counts.received += 1;
        let taken = wire::decode(bytes).and_then(|e| self.gate.admit(&e, now.wall_us).map(|()| e));
        if let Err(e) = taken.and_then(|envelope| self.body(envelope, now, out)) {
            self.refuse(e, now, out);
        }
    }

    fn body(&mut self, envelope: Envelope, now: Now, out: &mut Out) -> Result<(), Refused> {
        match envelope.body {
            Body::Swim(bytes) => {
                self.swim_data(&bytes, now, out)?;
                self.carry_out(now, out);
            }
            Body::Compare(sums) => self.compared(envelope.from, &sums, now, out)?,
            Body::Members(bytes) => {
                self.given(envelope.from, &bytes, now)?;
                self.carry_out(now, out);
            }
            Body::Ask { nonce } => {
                let to = envelope.from;
                if !self.swim.iter_members().any(|m| m.id().addr == to) {
                    return Err(Refused::Unasked);
                }
                out.push(Output::News(News::Wanted { to, nonce }));
            }
            Body::Part {
                nonce,
                index,
                of,
                bytes,
            } => self.part(nonce, index, of, bytes, out)?,
            Body::Duty(bytes) => out.push(Output::News(News::Duty(envelope.from, bytes))),
        }
        Ok(())
    }

    /// A message of foca's.
    fn swim_data(&mut self, bytes: &[u8], now: Now, out: &mut Out) -> Result<(), Refused> {
        let (header, rest) =
            postcard::take_from_bytes::<foca::Header<Member>>(bytes).map_err(Refused::Garbled)?;
        self.end_parted(&header.src, now, out);
        let header_only = &bytes[..bytes.len() - rest.len()];
        let bytes = if self.behind(&header.src, now) {
            header_only
        } else {
            bytes
        };
        if matches!(header.message, Message::Feed) {
            return self.feed(&header, bytes, now);
        }
        self.swim
            .handle_data(bytes, &mut self.outbox)
            .map_err(Refused::Swim)
    }

    /// A turn begins.
    fn begin(&mut self, now: Now) {
        self.clock.set(now.wall_us);
        self.ration.borrow_mut().bucket.refill(now.time);
    }

    /// Counts a datagram as refused; told once a second for each cause.
    pub fn refuse(&mut self, why: Refused, now: Now, out: &mut Out) {
        let cause = why.cause();
        *self.counts.refused.entry(cause).or_default() += 1;
        let last = self.complained.entry(cause).or_default();
        if last.saturating_add(COMPLAIN.0) <= now.wall_us {
            *last = now.wall_us;
            out.push(Output::News(News::Refused(why)));
        }
    }

    /// Does all that is due.
    pub fn pass(&mut self, now: Now, out: &mut Out) {
        self.begin(now);
        while let Some(first) = self.timers.first_entry().filter(|t| t.key().0 <= now.time) {
            let timer = first.remove();
            if let Err(e) = self.timer(timer, now) {
                out.push(Output::News(News::TimerFailed(e)));
            }
        }
        if self.compare_at <= now.time {
            self.compare(now, out);
        }
        if self.knock_at <= now.time {
            self.knock_at = self.knock_at + KNOCK;
            self.knock(out);
        }
        self.carry_out(now, out);
        if self.ask_at <= now.time {
            self.ask_at = self.ask_at + snapshots::ASK_FOR;
            self.ask(out);
        }
    }

    /// One of foca's timers, which it is not given where nothing is to come of it.
    fn timer(&mut self, timer: Timer<Member>, now: Now) -> Result<(), foca::Error> {
        match &timer {
            // foca tells whoever it is about that it is down, also where that was refuted meanwhile.
            Timer::ChangeSuspectToDown {
                member_id,
                incarnation,
                ..
            } => {
                let still = |m: &foca::Member<Member>| {
                    m.id() == member_id
                        && m.incarnation() == *incarnation
                        && m.state() == State::Suspect
                };
                if !self.swim.iter_membership_state().any(still) {
                    return Ok(());
                }
            }
            Timer::PeriodicGossip(_) if !self.gossip()? => {
                self.schedule(now.time + Micros(GOSSIP.as_micros() as u64), timer);
                return Ok(());
            }
            _ => {}
        }
        self.swim.handle_timer(timer, &mut self.outbox)
    }

    /// Makes ready for gossip by what may be sent: verdicts go alone, ahead of the news of members, where both do not
    /// fit into a datagram. Whether anything may go.
    fn gossip(&mut self) -> Result<bool, foca::Error> {
        let (news, facts) = (
            self.swim.updates_backlog() * NEWS,
            self.swim.custom_broadcast_backlog() * FACT,
        );
        let many = news + facts > wire::MOST_BODY;
        let ration = self.ration.clone();
        let targets = |bytes, kept| ration.borrow().bucket.targets(bytes, kept, GOSSIP_TO);
        if facts > 0 && many {
            let to = targets(facts, 0);
            if to > 0 {
                self.swim
                    .set_config(swim_rules(self.rules.fleet, to, many))?;
                self.swim.broadcast(&mut self.outbox)?;
            }
        }
        // Lists tell many members with less than gossip does: there are to be tokens for two.
        let kept = if many { 2 * wire::MOST } else { 0 };
        let to = targets(news + facts, kept);
        ration.borrow_mut().kept = kept;
        self.swim
            .set_config(swim_rules(self.rules.fleet, to, many))?;
        Ok(to > 0)
    }

    fn schedule(&mut self, at: Time, timer: Timer<Member>) {
        self.timer += 1;
        self.timers.insert((at, self.timer), timer);
    }

    /// What this proxy found by itself goes out, and back to the module, as others' turns follow its own verdict.
    pub fn tell(&mut self, backend: String, verdict: Verdict, now: Now, out: &mut Out) {
        self.begin(now);
        let fact = Fact {
            origin: self.own,
            born_us: now.wall_us,
            backend,
            verdict,
        };
        match fact.encode().map(|bytes| self.swim.add_broadcast(&bytes)) {
            Some(Ok(true)) => self.counts.told += 1,
            _ => self.counts.untold += 1,
        }
        let heard = self.turn(&fact);
        out.push(Output::News(News::Heard(fact.backend, heard)));
    }

    /// Sends, schedules and tells what foca asked for, and passes on the facts that came with it.
    fn carry_out(&mut self, now: Now, out: &mut Out) {
        if std::mem::take(&mut self.outbox.defunct) && !self.left {
            self.rejoin(now, out);
        }
        while let Some((to, bytes)) = self.outbox.asked.to_send() {
            out.push(Output::Send(to.addr, Body::Swim(bytes.to_vec())));
        }
        while let Some((after, timer)) = self.outbox.asked.to_schedule() {
            self.schedule(now.time + Micros(after.as_micros() as u64), timer);
        }
        while let Some(news) = self.outbox.asked.to_notify() {
            let members = self.swim.num_members();
            let told = match news {
                OwnedNotification::MemberUp(m) => {
                    self.live = None;
                    self.compare_after_news(now);
                    News::Up {
                        peer: m.addr,
                        members,
                    }
                }
                OwnedNotification::MemberDown(m) => {
                    self.live = None;
                    News::Down {
                        peer: m.addr,
                        members,
                    }
                }
                OwnedNotification::Rename(_, m) => News::Replaced { peer: m.addr },
                OwnedNotification::Active => {
                    self.compare_soon(now);
                    continue;
                }
                _ => continue,
            };
            out.push(Output::News(told));
        }
        let facts = std::mem::take(&mut self.board.borrow_mut().news);
        self.counts.heard += facts.len() as u64;
        for fact in facts {
            let heard = self.turn(&fact);
            out.push(Output::News(News::Heard(fact.backend, heard)));
        }
    }

    /// A fact as the module hears it. Its turn is this proxy's place among the live ones, drawn by the fact, so that
    /// all agree on the order; the origin comes last, as it has only just tried.
    fn turn(&mut self, fact: &Fact) -> PeerVerdict {
        let mut drawn = crc32fast::Hasher::new_with_initial((fact.born_us >> 8) as u32);
        drawn.update(&fact.born_us.to_le_bytes());
        let mark = |text: &str| {
            let mut hash = drawn.clone();
            hash.update(text.as_bytes());
            hash.finalize()
        };
        let own = fact.origin == self.own;
        let first = (mark(&self.own.to_string()), self.own);
        let live = self.live();
        let others = live.len() as u32;
        let before = |(addr, text): &&(SocketAddr, String)| {
            *addr != fact.origin && (mark(text), *addr) < first
        };
        let turn = if own {
            others
        } else {
            live.iter().filter(before).count() as u32
        };
        let next = PeerId(self.origins.len() as u32);
        let origin = (!own).then(|| *self.origins.entry(fact.origin).or_insert(next));
        let age = Micros(self.clock.wall_us().saturating_sub(fact.born_us));
        let (bound, verdict) = (self.rules.max_age, fact.verdict);
        PeerVerdict {
            backend: BackendId::default(),
            origin,
            verdict,
            age,
            max_age: bound,
            live_peers: others,
            health_check_turn: turn,
        }
    }

    /// Each fact is weighed against all members, on the request loop: writing their addresses anew each time took most
    /// of a millisecond at 1,800.
    fn live(&mut self) -> &[(SocketAddr, String)] {
        let swim = &self.swim;
        let stale = self
            .live
            .as_ref()
            .is_none_or(|live| live.len() != swim.num_members());
        if stale {
            self.live = None;
        }
        self.live.get_or_insert_with(|| {
            let named = |addr: SocketAddr| (addr, addr.to_string());
            swim.iter_members().map(|m| named(m.id().addr)).collect()
        })
    }

    /// Without a live member the seeds are asked again.
    fn knock(&mut self, out: &mut Out) {
        if self.swim.num_members() > 0 {
            return;
        }
        for addr in self.rules.seeds.iter().filter(|addr| **addr != self.own) {
            // foca puts no stock in the start time of whom it announces to.
            if let Err(e) = self.swim.announce(Member::new(*addr, 0), &mut self.outbox) {
                out.push(Output::News(News::AnnounceFailed(*addr, e)));
            }
        }
    }

    /// Tells the others that this proxy goes, so that none has to find out.
    pub fn leave(&mut self, now: Now, out: &mut Out) {
        self.begin(now);
        self.left = true;
        let _ = self.swim.leave_cluster(&mut self.outbox); // unheard, they find out
        self.carry_out(now, out);
    }

    /// Live members but this one, by address.
    pub fn members(&self) -> Vec<SocketAddr> {
        let mut members: Vec<SocketAddr> = self.swim.iter_members().map(|m| m.id().addr).collect();
        members.sort_unstable();
        members
    }

    /// How many live members are known but this one.
    pub fn known(&self) -> usize {
        self.swim.num_members()
    }

    /// What came and went since the start.
    pub fn counts(&self) -> Counts {
        Counts {
            stale: self.board.borrow().stale,
            ..self.counts.clone()
        }
    }

    /// Facts that wait to be passed on.
    pub fn waiting(&self) -> usize {
        self.swim.custom_broadcast_backlog()
    }
}

fn new_swim(
    rules: &Rules,
    member: Member,
    seed: u64,
    ration: &ration::Shared,
    board: &Rc<RefCell<Board>>,
    clock: &Clock,
) -> Swim {
    let (own, bound) = (member.addr, rules.max_age);
    let facts = Facts {
        board: board.clone(),
        own,
        bound,
        clock: clock.clone(),
    };
    let random = StdRng::seed_from_u64(seed ^ member.start_us);
    let settings = swim_rules(rules.fleet, GOSSIP_TO, false);
    Foca::with_custom_broadcast(member, settings, random, Rationed(ration.clone()), facts)
}

/// foca's LAN settings for a fleet of so many, with quicker gossip, to so many members, and towards members that are down.
/// Lists are [compared](Membership::compare) instead of drawn; so while there is `many` news each is passed on less often.
fn swim_rules(fleet: u32, gossip_to: usize, many: bool) -> foca::Config {
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let lan = foca::Config::new_lan(NonZeroU32::new(fleet).unwrap_or(NonZeroU32::MIN));
    let max_transmissions = if many {
        lan.max_transmissions.min(FEWER)
    } else {
        lan.max_transmissions
    };
    foca::Config {
        max_packet_size: some(wire::MOST_BODY),
        max_transmissions,
        periodic_gossip: Some(PeriodicParams {
            frequency: GOSSIP,
            num_members: some(gossip_to),
        }),
        periodic_announce: None,
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: REJOIN,
            num_members: some(1),
        }),
        ..lan
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod stored_formats;
