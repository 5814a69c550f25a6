//! State shared between the proxies of a fleet over UDP: the socket side of [`meadowproxy::fleet::membership`]. Verdicts go
//! between it and the module, snapshots between it and the host's memory.

pub mod post;

pub use meadowproxy::fleet::membership::wire;

use crate::net::config::Sharing;
use crate::net::host::Host;
use crate::net::state::snapshot::{self, wall_us, Header, Snapshot, Stands};
use meadowproxy::fleet::membership::{Membership, News, Now, Output, Rules};
use meadowproxy::{Micros, Time, Verdict};
use post::Post;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::{info, warn};
use wire::Refused;

/// Own verdicts that wait to go out: far more than a proxy ejects between two turns of the loop.
const QUEUE: usize = 1024;

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
    fleet: u32,
    socket: UdpSocket,
    /// The same socket's sending side.
    post: Arc<Post>,
    /// Where messages on duties go, while there are workers that take them.
    duties: RefCell<Option<SyncSender<Passed>>>,
    /// Where the membership's time begins.
    started: Instant,
    membership: RefCell<Membership>,
}

impl Peers {
    /// Takes its socket and joins through the seeds for as long as the program runs. `fleet`: proxies expected;
    /// `cold`: no memory was taken, so that one is asked for.
    pub fn start(
        host: Rc<Host>,
        sending: std::net::UdpSocket,
        rules: Sharing,
        settings: Rc<Cell<[u8; 32]>>,
        fleet: u32,
        seed: u64,
        cold: bool,
    ) -> io::Result<Rc<Peers>> {
        sending.set_nonblocking(true)?;
        let socket = UdpSocket::from_std(sending.try_clone()?)?;
        let own = rules.advertise.unwrap_or(socket.local_addr()?);
        let cluster = wire::cluster(&rules.cluster);
        let post = Arc::new(Post::new(sending, cluster, own));
        let max_age = Micros::from_secs_f64(rules.max_age_s);
        let started = Instant::now();
        let machine_rules = Rules {
            cluster,
            seeds: rules.seeds.clone(),
            max_age,
            fleet,
        };
        let membership = Membership::new(machine_rules, own, seed, cold, now_since(started));
        let (tell, told) = mpsc::channel(QUEUE);
        host.share(tell);
        info!(event = "peers_start", listen = %socket.local_addr()?, advertise = %own,
            cluster = rules.cluster, seeds = rules.seeds.len(), "shares state with its peers");
        let (membership, duties) = (RefCell::new(membership), RefCell::new(None));
        let peers = Peers {
            host,
            rules,
            settings,
            own,
            fleet,
            socket,
            post,
            duties,
            started,
            membership,
        };
        let peers = Rc::new(peers);
        tokio::task::spawn_local(peers.clone().run(told));
        Ok(peers)
    }

    async fn run(self: Rc<Self>, mut told: mpsc::Receiver<(String, Verdict)>) {
        let mut buffer = [0; wire::MOST + 1];
        loop {
            let due = self.started + Duration::from_micros(self.membership.borrow().due().0);
            tokio::select! {
                got = self.socket.recv_from(&mut buffer) => match got {
                    Ok((length, _)) => self.turn(|m, now, out| m.datagram(&buffer[..length], now, out)),
                    // On loopback a send to a dead peer comes back as an error of the next receive.
                    Err(_) => tokio::task::yield_now().await,
                },
                () = tokio::time::sleep_until(due) => self.turn(Membership::pass),
                Some((backend, verdict)) = told.recv() => {
                    self.turn(|m, now, out| m.tell(backend, verdict, now, out));
                }
            }
        }
    }

    fn now(&self) -> Now {
        now_since(self.started)
    }

    /// One turn of the membership, and what comes of it.
    fn turn(&self, step: impl FnOnce(&mut Membership, Now, &mut Vec<Output>)) {
        let mut out = Vec::new();
        step(&mut self.membership.borrow_mut(), self.now(), &mut out);
        for output in out {
            match output {
                Output::Send(to, body) => self.post.send(to, body),
                Output::News(news) => self.news(news),
            }
        }
    }

    fn news(&self, news: News) {
        match news {
            News::Up { peer, members } => {
                info!(event = "peer_up", peer = %peer, members, "peer is up");
            }
            News::Down { peer, members } => {
                info!(event = "peer_down", peer = %peer, members, "peer is down");
            }
            News::Replaced { .. } => {} // where it came or went by that, this is told as well
            News::Rejoined { members } => {
                info!(
                    event = "peers_rejoined",
                    members, "taken for down, joined again"
                );
            }
            News::Heard(backend, heard) => self.host.heard(&backend, heard), // the host knows its number
            News::Duty(from, bytes) => self.duty((from, bytes)),
            News::Wanted { to, nonce } => self.give(to, nonce),
            News::Snapshot(bytes) => self.take(&bytes),
            News::NoSnapshot { asked } => {
                info!(
                    event = "peer_snapshot_missing",
                    asked, "no peer had a snapshot: cold start"
                );
            }
            News::Refused(why) => {
                warn!(
                    event = "datagram_refused",
                    cause = why.cause(),
                    "datagram refused: {why}"
                );
            }
            News::TimerFailed(e) => warn!(event = "membership_timer", "membership: {e}"),
            News::AnnounceFailed(to, e) => {
                warn!(event = "membership_announce", to = %to, "membership: {e}");
            }
        }
    }

    fn duty(&self, passed: Passed) {
        let taken = self
            .duties
            .borrow()
            .as_ref()
            .is_some_and(|to| to.try_send(passed).is_ok());
        if !taken {
            self.turn(|m, now, out| m.refuse(Refused::Unheard, now, out));
        }
    }

    /// Gives a member what this proxy learned; while that is nothing it stays silent, so that another is asked.
    fn give(&self, to: SocketAddr, nonce: u64) {
        let mut saved = self.host.learned_state();
        saved.withdrawn.clear(); // said by operators to this proxy, not to that one
        if saved.overall.count == 0.0 {
            return;
        }
        let header = Header::now(Stands::fleet(self.settings.get()));
        let Ok(bytes) = snapshot::encode(&Snapshot { header, saved }) else {
            return;
        };
        self.turn(|m, _, out| {
            if let Err(e) = m.give(to, nonce, &bytes, out) {
                warn!(
                    event = "peer_snapshot_too_large",
                    bytes = bytes.len(),
                    "too large for a peer: {e}"
                );
            }
        });
    }

    /// Takes a peer's snapshot, if it holds here.
    fn take(&self, bytes: &[u8]) {
        let most = self.max_age();
        match snapshot::decode(bytes)
            .and_then(|s| s.checked(&Stands::fleet(self.settings.get()), most))
        {
            Ok((s, age)) => {
                info!(
                    event = "peer_snapshot_taken",
                    age_s = age.as_secs_f64(),
                    bytes = bytes.len(),
                    kinds = s.saved.kinds.len(),
                    "snapshot taken from a peer: warm start"
                );
                self.host.recall(s.saved, age);
            }
            Err(e) => {
                warn!(
                    event = "snapshot_refused",
                    cause = e.cause(),
                    "a peer's snapshot refused: {e}"
                );
            }
        }
    }

    /// Tells the others that this proxy goes, so that none has to find out.
    pub fn leave(&self) {
        self.turn(Membership::leave);
    }

    /// Its advertised address.
    pub fn own(&self) -> SocketAddr {
        self.own
    }

    /// Live members but this one, by address.
    pub fn members(&self) -> Vec<SocketAddr> {
        self.membership.borrow().members()
    }

    /// Whether the fleet is this proxy, as far as its configuration says.
    pub fn alone(&self) -> bool {
        self.fleet <= 1 && self.rules.seeds.iter().all(|seed| *seed == self.own)
    }

    /// Past this shared state is too old.
    pub fn max_age(&self) -> Micros {
        Micros::from_secs_f64(self.rules.max_age_s)
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
        let m = self.membership.borrow();
        let c = m.counts();
        let [sent, sent_bytes, unsent] = self.post.counts();
        serde_json::json!({
            "own": self.own.to_string(), "members": m.members(), "sent": sent, "sent_bytes": sent_bytes,
            "unsent": unsent, "received": c.received, "refused": c.refused, "facts_told": c.told,
            "facts_untold": c.untold, "facts_heard": c.heard, "facts_stale": c.stale,
            "waiting": m.waiting(),
        })
        .to_string()
            + "\n"
    }
}

/// Both clocks, the monotonic one from a beginning.
fn now_since(started: Instant) -> Now {
    Now {
        time: Time(started.elapsed().as_micros() as u64),
        wall_us: wall_us(),
    }
}

#[cfg(test)]
mod stored_formats;
