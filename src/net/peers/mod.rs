//! State shared between the proxies of a fleet over UDP: SWIM membership by `foca`, verdicts on backends inside its
//! messages, and the snapshot that a new proxy asks of a live one. What the facts mean is the module's to decide.

pub mod facts;
pub mod post;
pub mod wire;

use super::config::Sharing;
use super::host::Host;
use super::snapshot::{self, wall_us, Header, Snapshot, Stands};
use facts::{Board, Fact, Facts};
use foca::{AccumulatingRuntime, Foca, Identity, OwnedNotification, PeriodicParams, Timer};
use post::Post;
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use shaletide::{BackendId, Heard, Micros, OriginId, Verdict};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::{info, warn};
use wire::{Body, Envelope, Gate, Refused};

/// Own verdicts that wait to go out: far more than a proxy ejects between two turns of the loop.
const QUEUE: usize = 1024;
/// How often facts that wait are passed on, and to how many.
const GOSSIP: Duration = Duration::from_millis(100);
const GOSSIP_TO: usize = 3;
/// How often members that are down are tried again, so that a healed partition grows together.
const REJOIN: Duration = Duration::from_secs(2);
/// How often the seeds are told of a proxy that knows no live member.
const KNOCK: Duration = Duration::from_secs(1);
/// News of a member come in after so long another one is asked for its list; each list without news a tenth longer than
/// the one before, until nothing is asked any more. A list holds some 60 members, drawn at random: of three hundred the last
/// one is missing after these 32 lists in 1 of 3,000 proxies.
const LEARN: Duration = Duration::from_millis(100);
const LONGER: f64 = 1.1;
const LEARNT: Duration = Duration::from_secs(2);
/// How long one member has for its snapshot, and how many are asked.
const ASK_FOR: Duration = Duration::from_millis(500);
const ASKED: u32 = 3;
/// Parts of a snapshot at most: what is kept of two hundred backends fits into a tenth.
const PARTS: usize = 128;
const PART: usize = 1200;
/// A complaint of each cause is logged so often at most.
const COMPLAIN: Micros = Micros(1_000_000);

/// A proxy as the others know it. One that starts again under its address has a later start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub addr: SocketAddr,
    pub start_us: u64,
}

impl Identity for Member {
    type Addr = SocketAddr;
    fn renew(&self) -> Option<Member> {
        Some(Member { addr: self.addr, start_us: wall_us().max(self.start_us + 1) })
    }
    fn addr(&self) -> SocketAddr {
        self.addr
    }
    fn win_addr_conflict(&self, other: &Member) -> bool {
        self.start_us > other.start_us
    }
}

/// What came and went since the start.
#[derive(Default)]
struct Counts {
    received: u64,
    told: u64,
    heard: u64,
    untold: u64,
    refused: BTreeMap<&'static str, u64>,
}

/// The snapshot that this proxy asked for.
struct Asking {
    nonce: u64,
    left: u32,
    parts: Vec<Option<Vec<u8>>>,
}

type Swim = Foca<Member, foca::PostcardCodec, StdRng, Facts>;

struct State {
    swim: Swim,
    outbox: AccumulatingRuntime<Member>,
    /// foca's, by when they fall due; the number keeps those of one moment apart.
    timers: BTreeMap<(Instant, u64), Timer<Member>>,
    timer: u64,
    gate: Gate,
    counts: Counts,
    complained: BTreeMap<&'static str, u64>,
    origins: HashMap<SocketAddr, OriginId>,
    asking: Option<Asking>,
    /// When the next member is asked for its list, and the pause before that; `None` while the members are all known.
    learn: Option<(Instant, Duration)>,
}

/// A message on duties, with its sender.
pub type Passed = (SocketAddr, Vec<u8>);

/// This proxy's part in the fleet.
pub struct Peers {
    host: Rc<Host>,
    rules: Sharing,
    /// Hash of the settings in force, which a reload changes.
    settings: Rc<Cell<[u8; 32]>>,
    own: SocketAddr,
    /// Proxies expected, this one among them.
    fleet: usize,
    socket: UdpSocket,
    /// The same socket's sending side.
    post: Arc<Post>,
    /// Where messages on duties go, while there are workers that take them.
    duties: RefCell<Option<SyncSender<Passed>>>,
    board: Rc<RefCell<Board>>,
    state: RefCell<State>,
}

impl Peers {
    /// Takes its socket and joins through the seeds for as long as the program runs. `fleet`: proxies expected;
    /// `cold`: no memory was taken, so that one is asked for.
    pub fn start(
        host: Rc<Host>, sending: std::net::UdpSocket, rules: Sharing, settings: Rc<Cell<[u8; 32]>>,
        fleet: u32, seed: u64, cold: bool,
    ) -> io::Result<Rc<Peers>> {
        sending.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(sending.try_clone()?)?;
        let own = rules.advertise.unwrap_or(socket.local_addr()?);
        let cluster = wire::cluster(&rules.cluster);
        let post = Arc::new(Post::new(sending, cluster, own));
        let bound = Micros::from_secs(rules.max_age_s);
        let board = Rc::new(RefCell::new(Board::default()));
        let facts = Facts { board: board.clone(), own, bound };
        let member = Member { addr: own, start_us: wall_us() };
        let random = StdRng::seed_from_u64(seed ^ member.start_us);
        let swim = Foca::with_custom_broadcast(member, swim_rules(fleet), random, foca::PostcardCodec, facts);
        let state = State {
            swim,
            outbox: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timer: 0,
            gate: Gate::new(cluster, bound),
            counts: Counts::default(),
            complained: BTreeMap::new(),
            origins: HashMap::new(),
            asking: cold.then(|| Asking { nonce: wall_us(), left: ASKED, parts: Vec::new() }),
            learn: None,
        };
        let (tell, told) = mpsc::channel(QUEUE);
        host.share(tell);
        info!(event = "peers_start", listen = %socket.local_addr()?, advertise = %own,
            cluster = rules.cluster, seeds = rules.seeds.len(), "shares state with its peers");
        let state = RefCell::new(state);
        let (fleet, duties) = (fleet as usize, RefCell::new(None));
        let peers = Peers { host, rules, settings, own, fleet, socket, post, duties, board, state };
        let peers = Rc::new(peers);
        tokio::task::spawn_local(peers.clone().run(told));
        Ok(peers)
    }

    async fn run(self: Rc<Self>, mut told: mpsc::Receiver<(String, Verdict)>) {
        let mut buffer = [0; wire::MOST + 1];
        let mut knock = tokio::time::interval(KNOCK);
        let mut ask = tokio::time::interval(ASK_FOR);
        loop {
            let first = {
                let s = self.state.borrow();
                s.timers.first_key_value().map(|t| t.0 .0).into_iter().chain(s.learn.map(|l| l.0)).min()
            };
            let timer = async {
                match first {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                got = self.socket.recv_from(&mut buffer) => match got {
                    Ok((length, _)) => self.datagram(&buffer[..length]),
                    // On loopback a send to a dead peer comes back as an error of the next receive.
                    Err(_) => tokio::task::yield_now().await,
                },
                () = timer => self.fire(),
                Some((backend, verdict)) = told.recv() => self.tell(backend, verdict),
                _ = knock.tick() => self.knock(),
                _ = ask.tick() => self.ask(),
            }
        }
    }

    /// A datagram as it came: taken as a whole, or refused by cause.
    fn datagram(&self, bytes: &[u8]) {
        let now_us = wall_us();
        let taken = {
            let mut s = self.state.borrow_mut();
            s.counts.received += 1;
            wire::decode(bytes).and_then(|e| s.gate.admit(&e, now_us).map(|()| e))
        };
        if let Err(e) = taken.and_then(|envelope| self.body(envelope)) {
            self.refuse(&e, now_us);
        }
    }

    fn body(&self, envelope: Envelope) -> Result<(), Refused> {
        match envelope.body {
            Body::Swim(bytes) => {
                let mut s = self.state.borrow_mut();
                let s = &mut *s;
                s.swim.handle_data(&bytes, &mut s.outbox).map_err(Refused::Swim)
            }
            Body::Ask { nonce } => self.give(envelope.from, nonce),
            Body::Part { nonce, index, of, bytes } => self.part(nonce, index, of, bytes),
            Body::Duty(bytes) => {
                let duties = self.duties.borrow();
                let taken = duties.as_ref().and_then(|to| to.try_send((envelope.from, bytes)).ok());
                return taken.ok_or(Refused::Unheard);
            }
        }?;
        self.carry_out();
        Ok(())
    }

    fn refuse(&self, why: &Refused, now_us: u64) {
        let mut s = self.state.borrow_mut();
        let cause = why.cause();
        *s.counts.refused.entry(cause).or_default() += 1;
        let last = s.complained.entry(cause).or_default();
        if last.saturating_add(COMPLAIN.0) <= now_us {
            *last = now_us;
            warn!(event = "datagram_refused", cause, "datagram refused: {why}");
        }
    }

    fn fire(&self) {
        {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            let now = Instant::now();
            while let Some(first) = s.timers.first_entry().filter(|t| t.key().0 <= now) {
                if let Err(e) = s.swim.handle_timer(first.remove(), &mut s.outbox) {
                    warn!(event = "membership_timer", "membership: {e}");
                }
            }
            learn(s, self.fleet, now);
        }
        self.carry_out();
    }

    /// What this proxy found by itself goes out, and back to the module, as others' turns follow its own verdict.
    fn tell(&self, backend: String, verdict: Verdict) {
        let fact = Fact { origin: self.own, born_us: wall_us(), backend, verdict };
        {
            let mut s = self.state.borrow_mut();
            match fact.encode().map(|bytes| s.swim.add_broadcast(&bytes)) {
                Some(Ok(true)) => s.counts.told += 1,
                _ => s.counts.untold += 1,
            }
        }
        self.pass(&fact);
    }

    /// Sends, schedules and logs what foca asked for, and passes on the news that came with it.
    fn carry_out(&self) {
        let news = {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            while let Some((to, bytes)) = s.outbox.to_send() {
                self.post.send(to.addr, Body::Swim(bytes.to_vec()));
            }
            while let Some((after, timer)) = s.outbox.to_schedule() {
                s.timer += 1;
                s.timers.insert((Instant::now() + after, s.timer), timer);
            }
            while let Some(news) = s.outbox.to_notify() {
                notify(&news, s.swim.num_members());
                if matches!(news, OwnedNotification::MemberUp(_)) {
                    let at = Instant::now() + LEARN;
                    s.learn = Some((s.learn.map_or(at, |l| l.0.min(at)), LEARN));
                }
            }
            let news = std::mem::take(&mut self.board.borrow_mut().news);
            s.counts.heard += news.len() as u64;
            news
        };
        news.iter().for_each(|fact| self.pass(fact));
    }

    /// Tells the module of a fact. Its turn is this proxy's place among the live ones, drawn by the fact, so that
    /// all agree on the order; the origin comes last, as it has only just tried.
    fn pass(&self, fact: &Fact) {
        let mark = |addr: SocketAddr| {
            let mut hash = crc32fast::Hasher::new_with_initial((fact.born_us >> 8) as u32);
            hash.update(&fact.born_us.to_le_bytes());
            hash.update(addr.to_string().as_bytes());
            hash.finalize()
        };
        let (origin, others, turn) = {
            let mut s = self.state.borrow_mut();
            let live: Vec<SocketAddr> = s.swim.iter_members().map(|m| m.id().addr).collect();
            let own = fact.origin == self.own;
            let before = |addr: &&SocketAddr| {
                **addr != fact.origin && (mark(**addr), **addr) < (mark(self.own), self.own)
            };
            let turn = if own { live.len() } else { live.iter().filter(before).count() };
            let next = OriginId(s.origins.len() as u32);
            let origin = (!own).then(|| *s.origins.entry(fact.origin).or_insert(next));
            (origin, live.len() as u32, turn as u32)
        };
        let age = Micros(wall_us().saturating_sub(fact.born_us));
        let bound = Micros::from_secs(self.rules.max_age_s);
        let (backend, verdict) = (BackendId::default(), fact.verdict); // the host knows its number
        self.host.heard(&fact.backend, Heard { backend, origin, verdict, age, bound, others, turn });
    }

    /// Without a live member the seeds are asked again.
    fn knock(&self) {
        {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            if s.swim.num_members() > 0 {
                return;
            }
            for addr in self.rules.seeds.iter().filter(|addr| **addr != self.own) {
                // foca puts no stock in the start time of whom it announces to.
                if let Err(e) = s.swim.announce(Member { addr: *addr, start_us: 0 }, &mut s.outbox) {
                    warn!(event = "membership_announce", seed = %addr, "membership: {e}");
                }
            }
        }
        self.carry_out();
    }

    /// Asks another live member for its snapshot, while one is wanted.
    fn ask(&self) {
        let mut s = self.state.borrow_mut();
        let s = &mut *s;
        let live: Vec<SocketAddr> = s.swim.iter_members().map(|m| m.id().addr).collect();
        let Some(asking) = &mut s.asking else { return };
        if live.is_empty() {
            return;
        }
        if asking.left == 0 {
            info!(event = "peer_snapshot_missing", asked = ASKED, "no peer had a snapshot: cold start");
            s.asking = None;
            return;
        }
        asking.left -= 1;
        asking.nonce += 1; // parts of the call before come too late
        asking.parts.clear();
        let (nonce, to) = (asking.nonce, live[asking.nonce as usize % live.len()]);
        self.post.send(to, Body::Ask { nonce });
    }

    /// Gives a member what this proxy learned; while that is nothing it stays silent, so that another is asked.
    fn give(&self, to: SocketAddr, nonce: u64) -> Result<(), Refused> {
        if !self.state.borrow().swim.iter_members().any(|m| m.id().addr == to) {
            return Err(Refused::Unasked);
        }
        let mut saved = self.host.recollect();
        saved.withdrawn.clear(); // said by operators to this proxy, not to that one
        if saved.overall.count == 0.0 {
            return Ok(());
        }
        let header = Header::now(Stands::fleet(self.settings.get()));
        let Ok(bytes) = snapshot::encode(&Snapshot { header, saved }) else { return Ok(()) };
        let parts: Vec<&[u8]> = bytes.chunks(PART).collect();
        if parts.len() > PARTS {
            warn!(event = "peer_snapshot_too_large", bytes = bytes.len(), "too large for a peer");
            return Ok(());
        }
        for (index, part) in parts.iter().enumerate() {
            let (index, of) = (index as u16, parts.len() as u16);
            self.post.send(to, Body::Part { nonce, index, of, bytes: part.to_vec() });
        }
        Ok(())
    }

    /// Puts a part of the snapshot that was asked for in its place, and takes the whole once it is there.
    fn part(&self, nonce: u64, index: u16, of: u16, bytes: Vec<u8>) -> Result<(), Refused> {
        let whole = {
            let mut s = self.state.borrow_mut();
            let asking = s.asking.as_mut().filter(|a| a.nonce == nonce).ok_or(Refused::Unasked)?;
            let (index, of) = (usize::from(index), usize::from(of));
            if asking.parts.is_empty() && of <= PARTS {
                asking.parts.resize(of, None);
            }
            if asking.parts.len() != of || index >= of || bytes.len() > wire::MOST_BODY {
                return Err(Refused::Unasked);
            }
            asking.parts[index] = Some(bytes);
            let Some(parts) = asking.parts.iter().cloned().collect::<Option<Vec<_>>>() else { return Ok(()) };
            s.asking = None;
            parts.concat()
        };
        let most = Micros::from_secs(self.rules.max_age_s);
        match snapshot::decode(&whole).and_then(|s| s.checked(&Stands::fleet(self.settings.get()), most)) {
            Ok((s, age)) => {
                info!(
                    event = "peer_snapshot_taken",
                    age_s = age.secs(),
                    bytes = whole.len(),
                    kinds = s.saved.kinds.len(),
                    "snapshot taken from a peer: warm start"
                );
                self.host.recall(s.saved, age);
            }
            Err(e) => {
                warn!(event = "snapshot_refused", cause = e.cause(), "a peer's snapshot refused: {e}")
            }
        }
        Ok(())
    }

    /// Tells the others that this proxy goes, so that none has to find out.
    pub fn leave(&self) {
        {
            let mut s = self.state.borrow_mut();
            let s = &mut *s;
            let _ = s.swim.leave_cluster(&mut s.outbox); // unheard, they find out
        }
        self.carry_out();
    }

    /// Its advertised address.
    pub fn own(&self) -> SocketAddr {
        self.own
    }

    /// Live members but this one, by address.
    pub fn members(&self) -> Vec<SocketAddr> {
        let s = self.state.borrow();
        let mut members: Vec<SocketAddr> = s.swim.iter_members().map(|m| m.id().addr).collect();
        members.sort_unstable();
        members
    }

    /// Whether the fleet is this proxy, as far as its configuration says.
    pub fn alone(&self) -> bool {
        self.fleet <= 1 && self.rules.seeds.iter().all(|seed| *seed == self.own)
    }

    /// Past this shared state is too old.
    pub fn max_age(&self) -> Micros {
        Micros::from_secs(self.rules.max_age_s)
    }

    /// The sending side of its socket.
    pub fn post(&self) -> Arc<Post> {
        self.post.clone()
    }

    /// From now on messages on duties go there, with their senders; what it has no room for is dropped.
    pub fn pass_duties(&self, to: SyncSender<Passed>) {
        *self.duties.borrow_mut() = Some(to);
    }

    /// Members and counts, for the operators' door: JSON.
    pub fn status(&self) -> String {
        let members = self.members();
        let s = self.state.borrow();
        let c = &s.counts;
        let [sent, sent_bytes, unsent] = self.post.counts();
        serde_json::json!({
            "own": self.own.to_string(), "members": members, "sent": sent, "sent_bytes": sent_bytes,
            "unsent": unsent, "received": c.received, "refused": c.refused, "facts_told": c.told,
            "facts_untold": c.untold, "facts_heard": c.heard, "facts_stale": self.board.borrow().stale,
            "waiting": s.swim.custom_broadcast_backlog(),
        })
        .to_string()
            + "\n"
    }
}

/// Asks a member drawn at random for its list, where that is due. Who knows as many as the fleet has asks nothing, and
/// neither does who heard nothing new for some asks.
fn learn(s: &mut State, fleet: usize, now: Instant) {
    let Some((_, pause)) = s.learn.filter(|l| l.0 <= now) else { return };
    let known = s.swim.num_members();
    let pause = pause.mul_f64(LONGER);
    if known == 0 || known + 1 == fleet || pause > LEARNT {
        s.learn = None;
        return;
    }
    s.learn = Some((now + pause, pause));
    let drawn = (s.timer ^ wall_us()) as usize % known;
    let Some(to) = s.swim.iter_members().nth(drawn).map(|m| m.id().clone()) else { return };
    if let Err(e) = s.swim.announce(to, &mut s.outbox) {
        warn!(event = "membership_announce", "membership: {e}");
    }
}

/// foca's LAN settings for a fleet of so many, with quicker gossip towards members that are down.
fn swim_rules(fleet: u32) -> foca::Config {
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    foca::Config {
        max_packet_size: some(wire::MOST_BODY),
        periodic_gossip: Some(PeriodicParams { frequency: GOSSIP, num_members: some(GOSSIP_TO) }),
        periodic_announce_to_down_members: Some(PeriodicParams { frequency: REJOIN, num_members: some(1) }),
        ..foca::Config::new_lan(NonZeroU32::new(fleet).unwrap_or(NonZeroU32::MIN))
    }
}

fn notify(news: &OwnedNotification<Member>, members: usize) {
    match news {
        OwnedNotification::MemberUp(m) => info!(event = "peer_up", peer = %m.addr, members, "peer is up"),
        OwnedNotification::MemberDown(m) => {
            info!(event = "peer_down", peer = %m.addr, members, "peer is down")
        }
        OwnedNotification::Rejoin(_) => {
            info!(event = "peers_rejoined", members, "taken for down, joined again")
        }
        _ => {}
    }
}
