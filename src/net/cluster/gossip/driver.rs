//! Runs the membership state machine on a UDP socket and the process's clocks.

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

/// Maximum number of this proxy's own verdicts that wait to be broadcast.
const MAX_QUEUED_VERDICTS: usize = 1024;

/// A received message about the coordination of leases, windows and the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinationDatagram {
    /// The sender's advertised address.
    pub from: SocketAddr,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// Options with which the driver starts.
pub struct GossipOptions {
    /// The section `peers` of the configuration.
    pub section: GossipSection,
    /// Hash of the settings in force, which a reload changes.
    pub settings_hash: Rc<Cell<[u8; 32]>>,
    /// Expected number of proxies, this one included.
    pub fleet_size: u32,
    /// Seed of the membership's random numbers.
    pub seed: u64,
    /// Whether to request a snapshot from a member, as this proxy has no learned state.
    pub wants_snapshot: bool,
}

/// Runs this proxy's membership in the fleet, and connects it to the host and the coordination.
pub struct GossipDriver {
    host: Rc<Host>,
    section: GossipSection,
    own_address: SocketAddr,
    fleet_size: u32,
    socket: UdpSocket,
    /// Sends through the same socket; shared with the coordination.
    sender: Arc<DatagramSender>,
    snapshots: SnapshotExchange,
    /// Queue for received coordination messages; `None` until the coordination runs.
    coordination_queue: RefCell<Option<SyncSender<CoordinationDatagram>>>,
    /// Origin of the membership's monotonic clock.
    started_at: Instant,
    membership: RefCell<Membership>,
}

impl GossipDriver {
    /// Joins the fleet through the seeds, and starts the task that runs the membership until the process ends.
    pub fn start(
        host: Rc<Host>,
        socket: std::net::UdpSocket,
        options: GossipOptions,
    ) -> io::Result<Rc<GossipDriver>> {
        let (verdict_sender, own_verdicts) = mpsc::channel(MAX_QUEUED_VERDICTS);
        let driver = Rc::new(GossipDriver::new(host.clone(), socket, options)?);
        host.publish_verdicts_to(verdict_sender);
        let section = &driver.section;
        info!(
            event = "peers_start",
            listen = %driver.socket.local_addr()?,
            advertise = %driver.own_address,
            cluster = section.cluster,
            seeds = section.seeds.len(),
            "started gossip with the peers"
        );
        tokio::task::spawn_local(driver.clone().run(own_verdicts));
        Ok(driver)
    }

    fn new(
        host: Rc<Host>,
        socket: std::net::UdpSocket,
        options: GossipOptions,
    ) -> io::Result<GossipDriver> {
        let section = options.section;
        socket.set_nonblocking(true)?;
        let receiver_socket = UdpSocket::from_std(socket.try_clone()?)?;
        let own_address = section.advertise.unwrap_or(receiver_socket.local_addr()?);
        let max_age = Micros::from_secs_f64(section.max_age_s);
        let config = MembershipConfig {
            cluster: wire::cluster_id(&section.cluster),
            seeds: section.seeds.clone(),
            max_age,
            fleet_size: options.fleet_size,
        };
        let sender = Arc::new(DatagramSender::new(socket, config.cluster, own_address));
        let started_at = Instant::now();
        let now = read_clocks(started_at);
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
            socket: receiver_socket,
            sender,
            coordination_queue: RefCell::new(None),
            started_at,
            membership: RefCell::new(membership),
        })
    }

    /// Handles received datagrams, due timers and this proxy's own verdicts.
    async fn run(self: Rc<Self>, mut own_verdicts: mpsc::Receiver<(String, Verdict)>) {
        let mut buffer = [0; wire::MAX_DATAGRAM_BYTES + 1];
        loop {
            let due = self.membership.borrow().next_due();
            let due = self.started_at + Duration::from_micros(due.0);
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, _)) => self.step(|membership, now, outputs| {
                        membership.handle_datagram(&buffer[..length], now, outputs);
                    }),
                    // On loopback, a datagram sent to a stopped peer makes the next receive fail.
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

    /// Runs a step of the membership, then sends its datagrams and handles its events.
    pub(super) fn step(&self, step: impl FnOnce(&mut Membership, ClockReading, &mut Vec<Output>)) {
        let mut outputs = Vec::new();
        let now = read_clocks(self.started_at);
        step(&mut self.membership.borrow_mut(), now, &mut outputs);
        for output in outputs {
            match output {
                Output::Send { to, body } => self.sender.send(to, body),
                Output::Event(event) => self.handle_event(event),
            }
        }
    }

    /// Passes an event on to the host, the coordination or the log.
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

    /// Queues a message for the coordination, or rejects it if the coordination does not run or its queue is full.
    fn deliver_coordination(&self, datagram: CoordinationDatagram) {
        let is_delivered = self
            .coordination_queue
            .borrow()
            .as_ref()
            .is_some_and(|queue| queue.try_send(datagram).is_ok());
        if !is_delivered {
            self.step(|membership, now, outputs| {
                membership.reject_datagram(DatagramError::Unhandled, now, outputs);
            });
        }
    }

    /// Sends this proxy's snapshot to a member. Without a snapshot it does not respond, and the member asks another
    /// one.
    fn send_snapshot(&self, to: SocketAddr, nonce: u64) {
        let Some(snapshot) = self.snapshots.encode() else {
            return;
        };
        self.step(|membership, _, outputs| {
            if let Err(error) = membership.send_snapshot(to, nonce, &snapshot, outputs) {
                warn!(
                    event = "peer_snapshot_too_large",
                    bytes = snapshot.len(),
                    "snapshot is too large to send to a peer: {error}"
                );
            }
        });
    }

    /// Announces that this proxy leaves the fleet, so that the others need not detect its failure.
    pub fn leave(&self) {
        self.step(Membership::leave);
    }

    /// This proxy's advertised address.
    pub fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// Returns the addresses of the live members other than this proxy.
    pub fn members(&self) -> Vec<SocketAddr> {
        self.membership.borrow().members()
    }

    /// Whether this proxy is the whole fleet, according to its configuration.
    pub fn is_only_proxy(&self) -> bool {
        let seeds = &self.section.seeds;
        self.fleet_size <= 1 && seeds.iter().all(|seed| *seed == self.own_address)
    }

    /// Maximum age of shared state that is used or passed on.
    pub fn max_age(&self) -> Micros {
        Micros::from_secs_f64(self.section.max_age_s)
    }

    /// Returns the sender of the gossip socket.
    pub fn sender(&self) -> Arc<DatagramSender> {
        self.sender.clone()
    }

    /// Sets the queue to which coordination messages are delivered. Messages are rejected while it is full.
    pub fn deliver_coordination_to(&self, queue: SyncSender<CoordinationDatagram>) {
        *self.coordination_queue.borrow_mut() = Some(queue);
    }

    /// Returns members and counters for operators, as JSON. The keys are part of the admin interface.
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

/// Logs an event that requires no other reaction.
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
                members, "rejoined the fleet after its peers had declared this proxy down"
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
        // A replacement is logged as up or down if it changes that; `handle_event` handles the others.
        MembershipEvent::MemberReplaced { .. }
        | MembershipEvent::VerdictReceived { .. }
        | MembershipEvent::CoordinationMessage { .. }
        | MembershipEvent::SnapshotRequested { .. }
        | MembershipEvent::SnapshotReceived { .. } => {}
    }
}

/// Reads both clocks, the monotonic one relative to `started_at`.
fn read_clocks(started_at: Instant) -> ClockReading {
    ClockReading {
        monotonic: Time(started_at.elapsed().as_micros() as u64),
        wall_us: wall_us(),
    }
}
