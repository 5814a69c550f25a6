//! Drives the membership state machine on a UDP socket and the host's clocks.

use super::datagram_sender::DatagramSender;
use super::snapshot_exchange::SnapshotExchange;
use super::wire::{self, DatagramError};
use crate::net::config::GossipSection;
use crate::net::host::Host;
use crate::net::state::snapshot::wall_us;
use meadowproxy::fleet::membership::{
    ClockReading, Membership, MembershipConfig, MembershipEvent, Output,
};
use meadowproxy::{Micros, Time, Verdict};
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

/// How many of this proxy's own verdicts wait at most to be broadcast.
const MAX_QUEUED_VERDICTS: usize = 1024;

/// A received message of the coordination of leases, windows and configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinationDatagram {
    /// The sender's advertised address.
    pub from: SocketAddr,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// What the driver is started with.
pub struct GossipOptions {
    /// `peers` of the configuration.
    pub section: GossipSection,
    /// Hash of the settings in force, which a reload changes.
    pub settings_hash: Rc<Cell<[u8; 32]>>,
    /// Expected number of proxies, this one included.
    pub fleet_size: u32,
    /// For the draws of the membership.
    pub seed: u64,
    /// This proxy has no learned state and requests a snapshot from a member.
    pub wants_snapshot: bool,
}

/// This proxy's membership in the fleet.
pub struct GossipDriver {
    host: Rc<Host>,
    section: GossipSection,
    own_address: SocketAddr,
    fleet_size: u32,
    socket: UdpSocket,
    /// The same socket's sending side.
    sender: Arc<DatagramSender>,
    snapshots: SnapshotExchange,
    /// The queue of the coordination, while it runs.
    coordination: RefCell<Option<SyncSender<CoordinationDatagram>>>,
    /// The zero of the membership's monotonic clock.
    started: Instant,
    membership: RefCell<Membership>,
}

impl GossipDriver {
    /// Joins the fleet through the seeds, for as long as the program runs.
    pub fn start(
        host: Rc<Host>,
        socket: std::net::UdpSocket,
        options: GossipOptions,
    ) -> io::Result<Rc<GossipDriver>> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_VERDICTS);
        let driver = Rc::new(GossipDriver::new(host.clone(), socket, options)?);
        host.publish_verdicts_to(sender);
        let section = &driver.section;
        info!(
            event = "peers_start",
            listen = %driver.socket.local_addr()?,
            advertise = %driver.own_address,
            cluster = section.cluster,
            seeds = section.seeds.len(),
            "shares state with its peers"
        );
        tokio::task::spawn_local(driver.clone().run(receiver));
        Ok(driver)
    }

    fn new(
        host: Rc<Host>,
        socket: std::net::UdpSocket,
        options: GossipOptions,
    ) -> io::Result<GossipDriver> {
        let section = options.section;
        socket.set_nonblocking(true)?;
        let receiving = UdpSocket::from_std(socket.try_clone()?)?;
        let own_address = section.advertise.unwrap_or(receiving.local_addr()?);
        let max_age = Micros::from_secs_f64(section.max_age_s);
        let config = MembershipConfig {
            cluster: wire::cluster_id(&section.cluster),
            seeds: section.seeds.clone(),
            max_age,
            fleet_size: options.fleet_size,
        };
        let sender = Arc::new(DatagramSender::new(socket, config.cluster, own_address));
        let started = Instant::now();
        let now = read_clocks(started);
        let membership = Membership::new(
            config,
            own_address,
            options.seed,
            options.wants_snapshot,
            now,
        );
        Ok(GossipDriver {
            snapshots: SnapshotExchange::new(host.clone(), options.settings_hash, max_age),
            host,
            section,
            own_address,
            fleet_size: options.fleet_size,
            socket: receiving,
            sender,
            coordination: RefCell::new(None),
            started,
            membership: RefCell::new(membership),
        })
    }

    async fn run(self: Rc<Self>, mut own_verdicts: mpsc::Receiver<(String, Verdict)>) {
        let mut buffer = [0; wire::MAX_DATAGRAM_BYTES + 1];
        loop {
            let due = self.membership.borrow().next_due();
            let due = self.started + Duration::from_micros(due.0);
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, _)) => self.step(|membership, now, outputs| {
                        membership.handle_datagram(&buffer[..length], now, outputs);
                    }),
                    // On loopback, sending to a dead peer makes the next receive fail.
                    Err(_) => tokio::task::yield_now().await,
                },
                () = tokio::time::sleep_until(due) => self.step(Membership::run_timers),
                Some((backend, verdict)) = own_verdicts.recv() => {
                    self.step(|membership, now, outputs| {
                        membership.broadcast_verdict(backend, verdict, now, outputs);
                    });
                }
            }
        }
    }

    /// One step of the membership, and what comes of it.
    pub(super) fn step(&self, step: impl FnOnce(&mut Membership, ClockReading, &mut Vec<Output>)) {
        let mut outputs = Vec::new();
        let now = read_clocks(self.started);
        step(&mut self.membership.borrow_mut(), now, &mut outputs);
        for output in outputs {
            match output {
                Output::Send { to, body } => self.sender.send(to, body),
                Output::Event(event) => self.handle_event(event),
            }
        }
    }

    fn handle_event(&self, event: MembershipEvent) {
        match event {
            MembershipEvent::VerdictReceived { backend, verdict } => {
                self.host.receive_verdict(&backend, verdict);
            }
            MembershipEvent::CoordinationMessage { from, bytes } => {
                self.deliver_coordination(CoordinationDatagram { from, bytes });
            }
            MembershipEvent::SnapshotRequested { from, nonce } => self.send_snapshot(from, nonce),
            MembershipEvent::SnapshotReceived { bytes } => self.snapshots.restore(&bytes),
            other => log_event(&other),
        }
    }

    fn deliver_coordination(&self, datagram: CoordinationDatagram) {
        let is_delivered = self
            .coordination
            .borrow()
            .as_ref()
            .is_some_and(|queue| queue.try_send(datagram).is_ok());
        if !is_delivered {
            self.step(|membership, now, outputs| {
                membership.reject_datagram(DatagramError::Unhandled, now, outputs);
            });
        }
    }

    /// Sends a member this proxy's snapshot. While there is none it doesn't respond, and the member asks another one.
    fn send_snapshot(&self, to: SocketAddr, nonce: u64) {
        let Some(snapshot) = self.snapshots.encode() else {
            return;
        };
        self.step(|membership, _, outputs| {
            if let Err(error) = membership.send_snapshot(to, nonce, &snapshot, outputs) {
                warn!(
                    event = "peer_snapshot_too_large",
                    bytes = snapshot.len(),
                    "snapshot too large for a peer: {error}"
                );
            }
        });
    }

    /// Announces that this proxy leaves the fleet, so that the others need not detect it.
    pub fn leave(&self) {
        self.step(Membership::leave);
    }

    /// This proxy's advertised address.
    pub fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// The live members but this one, by address.
    pub fn members(&self) -> Vec<SocketAddr> {
        self.membership.borrow().members()
    }

    /// Whether this proxy is the whole fleet, according to its configuration.
    pub fn is_only_proxy(&self) -> bool {
        let seeds = &self.section.seeds;
        self.fleet_size <= 1 && seeds.iter().all(|seed| *seed == self.own_address)
    }

    /// The age past which shared state is neither used nor passed on.
    pub fn max_age(&self) -> Micros {
        Micros::from_secs_f64(self.section.max_age_s)
    }

    /// The sending side of the socket.
    pub fn sender(&self) -> Arc<DatagramSender> {
        self.sender.clone()
    }

    /// Delivers coordination messages to that queue from now on; those that it has no capacity for are rejected.
    pub fn deliver_coordination_to(&self, queue: SyncSender<CoordinationDatagram>) {
        *self.coordination.borrow_mut() = Some(queue);
    }

    /// Members and counters for the operators, as JSON.
    pub fn status(&self) -> String {
        let membership = self.membership.borrow();
        let received = membership.counters();
        let sent = self.sender.counters();
        let status = serde_json::json!({
            "own": self.own_address.to_string(),
            "members": membership.members(),
            "sent": sent.sent,
            "sent_bytes": sent.sent_bytes,
            "unsent": sent.unsent,
            "received": received.received,
            "refused": received.rejected,
            "facts_told": received.verdicts_sent,
            "facts_untold": received.verdicts_unsent,
            "facts_heard": received.verdicts_received,
            "facts_stale": received.verdicts_stale,
            "waiting": membership.verdict_backlog(),
        });
        format!("{status}\n")
    }
}

/// Logs an event that needs no other reaction.
fn log_event(event: &MembershipEvent) {
    match event {
        MembershipEvent::MemberUp { peer, members } => {
            info!(event = "peer_up", peer = %peer, members, "peer is up");
        }
        MembershipEvent::MemberDown { peer, members } => {
            info!(event = "peer_down", peer = %peer, members, "peer is down");
        }
        MembershipEvent::Rejoined { members } => {
            info!(
                event = "peers_rejoined",
                members, "declared down by its peers, joined again"
            );
        }
        MembershipEvent::SnapshotUnavailable { requests } => {
            info!(
                event = "peer_snapshot_missing",
                requests, "no peer had a snapshot: cold start"
            );
        }
        MembershipEvent::DatagramRejected(error) => {
            warn!(
                event = "datagram_refused",
                cause = error.cause(),
                "datagram rejected: {error}"
            );
        }
        MembershipEvent::TimerFailed(error) => {
            warn!(
                event = "membership_timer",
                "membership timer failed: {error}"
            );
        }
        MembershipEvent::AnnounceFailed { to, error } => {
            warn!(event = "membership_announce", to = %to, "announcement failed: {error}");
        }
        // Logged as up or down where that changed; the other events are not only logged.
        MembershipEvent::MemberReplaced { .. }
        | MembershipEvent::VerdictReceived { .. }
        | MembershipEvent::CoordinationMessage { .. }
        | MembershipEvent::SnapshotRequested { .. }
        | MembershipEvent::SnapshotReceived { .. } => {}
    }
}

/// Both clocks, the monotonic one since `started`.
fn read_clocks(started: Instant) -> ClockReading {
    ClockReading {
        monotonic: Time(started.elapsed().as_micros() as u64),
        wall_us: wall_us(),
    }
}
