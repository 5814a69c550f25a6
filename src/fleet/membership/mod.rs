//! Cluster membership by the SWIM protocol: tracks which proxies of the fleet are live, and exchanges verdicts on
//! backends, snapshots for new proxies, and coordination messages with them.
//!
//! [`Membership`] is a state machine: datagrams and clock readings go in, [`Output`]s come out. Its driver seals and
//! sends bodies ([`wire::DatagramSealer`]), calls [`Membership::run_timers`] when it is [due](Membership::next_due),
//! and handles the events.
//!
//! Each module implements one mechanism: `swim` the protocol itself, `egress_limit` the limit on the bytes sent,
//! `verdict_broadcast` the broadcast of verdicts, `peer_ordering` the order in which the proxies health-check a backend
//! after a verdict, `anti_entropy` the comparison of member lists, `seed_announcer` joining through the seeds,
//! `partition_recovery` rejoining after a partition, and `snapshot_transfer` the request for a snapshot.

mod anti_entropy;
mod config;
mod egress_limit;
mod event;
mod member;
mod partition_recovery;
mod peer_ordering;
mod rejection_report;
mod seed_announcer;
mod snapshot_transfer;
mod swim;
mod timer_queue;
mod verdict_broadcast;
pub mod wire;

pub use config::{ClockReading, MembershipConfig};
pub use event::{Counters, MembershipEvent, Output};
pub use snapshot_transfer::SnapshotTooLarge;

use crate::interface::{Time, Verdict};
use anti_entropy::AntiEntropy;
use foca::{Message, OwnedNotification};
use member::Member;
use partition_recovery::PartitionRecovery;
use peer_ordering::PeerOrdering;
use rejection_report::RejectionReport;
use seed_announcer::SeedAnnouncer;
use snapshot_transfer::SnapshotTransfer;
use std::net::SocketAddr;
use swim::SwimNode;
use verdict_broadcast::VerdictBroadcast;
use wire::{Body, DatagramError, Envelope, ReplayFilter};

/// This proxy's view of the fleet, and the state of all mechanisms that maintain it.
pub struct Membership {
    config: MembershipConfig,
    own_address: SocketAddr,
    swim: SwimNode,
    replay_filter: ReplayFilter,
    rejection_report: RejectionReport,
    peer_ordering: PeerOrdering,
    anti_entropy: AntiEntropy,
    partition_recovery: PartitionRecovery,
    snapshot_transfer: SnapshotTransfer,
    counters: Counters,
    /// Whether this proxy has left the fleet; if so, it does not rejoin when the others declare it down.
    has_left: bool,
    seed_announcer: SeedAnnouncer,
    next_snapshot_request: Time,
}

impl Membership {
    /// Creates the state of a proxy that starts at `now` and joins through the seeds. `own_address` is its advertised
    /// address, `seed` seeds its random choices, and `wants_snapshot` says that it has no learned state and requests a
    /// snapshot.
    pub fn new(
        config: MembershipConfig,
        own_address: SocketAddr,
        seed: u64,
        wants_snapshot: bool,
        now: ClockReading,
    ) -> Membership {
        let snapshot_transfer = if wants_snapshot {
            SnapshotTransfer::wanted(now.wall_us)
        } else {
            SnapshotTransfer::idle()
        };
        Membership {
            own_address,
            swim: SwimNode::new(&config, own_address, seed, now),
            replay_filter: ReplayFilter::new(config.cluster, config.max_age),
            rejection_report: RejectionReport::default(),
            peer_ordering: PeerOrdering::new(own_address),
            anti_entropy: AntiEntropy::new(now.monotonic),
            partition_recovery: PartitionRecovery::new(now.monotonic),
            snapshot_transfer,
            counters: Counters::default(),
            has_left: false,
            seed_announcer: SeedAnnouncer::new(&config.seeds, own_address, seed, now.monotonic),
            next_snapshot_request: now.monotonic,
            config,
        }
    }

    /// The monotonic time at which [`Membership::run_timers`] has to be called next.
    pub fn next_due(&self) -> Time {
        let own_timers = [
            self.next_snapshot_request,
            self.anti_entropy.next_due(),
            self.seed_announcer.next_due(),
        ];
        own_timers
            .into_iter()
            .chain(self.swim.next_due())
            .fold(self.next_snapshot_request, Time::min)
    }

    /// Processes a received datagram. An invalid one is rejected, counted and reported.
    pub fn handle_datagram(&mut self, bytes: &[u8], now: ClockReading, outputs: &mut Vec<Output>) {
        self.swim.begin_step(now);
        self.counters.received += 1;
        let handled = self
            .open(bytes, now)
            .and_then(|envelope| self.handle_envelope(envelope, now, outputs));
        if let Err(error) = handled {
            self.reject_datagram(error, now, outputs);
        }
    }

    /// Decodes a datagram and checks the cluster, age and uniqueness of its envelope.
    fn open(&mut self, bytes: &[u8], now: ClockReading) -> Result<Envelope, DatagramError> {
        let envelope = wire::decode(bytes)?;
        self.replay_filter.check(&envelope, now.wall_us)?;
        Ok(envelope)
    }

    fn handle_envelope(
        &mut self,
        envelope: Envelope,
        now: ClockReading,
        outputs: &mut Vec<Output>,
    ) -> Result<(), DatagramError> {
        let from = envelope.from;
        match envelope.body {
            Body::Swim(message) => {
                self.handle_swim_message(&message, now, outputs)?;
                self.process_swim_requests(now, outputs);
            }
            Body::ListDigest(digest) => {
                anti_entropy::respond_to_digest(&self.swim, from, &digest, now, outputs)?;
            }
            Body::MemberList(list) => {
                self.anti_entropy
                    .receive_list(&mut self.swim, from, &list, now.monotonic)?;
                self.process_swim_requests(now, outputs);
            }
            Body::SnapshotRequest { nonce } => {
                if !self.swim.is_live(from) {
                    return Err(DatagramError::Unsolicited);
                }
                let event = MembershipEvent::SnapshotRequested { from, nonce };
                outputs.push(Output::Event(event));
            }
            Body::SnapshotChunk(chunk) => {
                if let Some(bytes) = self.snapshot_transfer.receive_chunk(chunk)? {
                    let event = MembershipEvent::SnapshotReceived { bytes };
                    outputs.push(Output::Event(event));
                }
            }
            Body::Coordination(bytes) => {
                let event = MembershipEvent::CoordinationMessage { from, bytes };
                outputs.push(Output::Event(event));
            }
        }
        Ok(())
    }

    fn handle_swim_message(
        &mut self,
        message: &[u8],
        now: ClockReading,
        outputs: &mut Vec<Output>,
    ) -> Result<(), DatagramError> {
        let (header, updates) = postcard::take_from_bytes::<foca::Header<Member>>(message)
            .map_err(DatagramError::Malformed)?;
        self.recover_from_partition(&header.src, now, outputs);
        let accepted = if self
            .partition_recovery
            .ignores_updates_from(&header.src, now.monotonic)
        {
            &message[..message.len() - updates.len()]
        } else {
            message
        };
        if matches!(header.message, Message::Feed) {
            return self.anti_entropy.receive_feed(
                &mut self.swim,
                &header,
                accepted,
                now.monotonic,
            );
        }
        self.swim
            .handle_message(accepted)
            .map_err(DatagramError::Swim)
    }

    /// Counts a datagram as rejected, and reports it at most once per second for each cause.
    pub fn reject_datagram(
        &mut self,
        error: DatagramError,
        now: ClockReading,
        outputs: &mut Vec<Output>,
    ) {
        let cause = error.cause();
        *self.counters.rejected.entry(cause).or_default() += 1;
        if self.rejection_report.is_due(cause, now.wall_us) {
            let event = MembershipEvent::DatagramRejected(error);
            outputs.push(Output::Event(event));
        }
    }

    /// Runs the SWIM timers, digests, announcements and snapshot requests that are due at `now`.
    pub fn run_timers(&mut self, now: ClockReading, outputs: &mut Vec<Output>) {
        self.swim.begin_step(now);
        self.swim.run_timers(now, outputs);
        self.anti_entropy.run(&self.swim, now, outputs);
        for seed in self.seed_announcer.due_seeds(&self.swim, now.monotonic) {
            // A member accepts an announcement addressed to it with any start time, and its own is not known here.
            announce(&mut self.swim, Member::new(seed, 0), outputs);
        }
        self.process_swim_requests(now, outputs);
        if self.next_snapshot_request <= now.monotonic {
            self.next_snapshot_request =
                self.next_snapshot_request + snapshot_transfer::REQUEST_TIMEOUT;
            let live_members: Vec<SocketAddr> = self.swim.live_addresses().collect();
            outputs.extend(self.snapshot_transfer.request(&live_members));
        }
    }

    /// Broadcasts a verdict that this proxy reached. It is also reported as an event, like the verdicts of other
    /// proxies, because the order of the health checks at all proxies follows from it.
    pub fn broadcast_verdict(
        &mut self,
        backend: String,
        verdict: Verdict,
        now: ClockReading,
        outputs: &mut Vec<Output>,
    ) {
        self.swim.begin_step(now);
        let broadcast = VerdictBroadcast {
            origin: self.own_address,
            created_us: now.wall_us,
            backend,
            verdict,
        };
        if self.swim.broadcast(&broadcast) {
            self.counters.verdicts_sent += 1;
        } else {
            self.counters.verdicts_unsent += 1;
        }
        self.report_verdict(broadcast, now, outputs);
    }

    fn report_verdict(
        &mut self,
        broadcast: VerdictBroadcast,
        now: ClockReading,
        outputs: &mut Vec<Output>,
    ) {
        let verdict = self.peer_ordering.peer_verdict(
            &broadcast,
            self.config.max_age,
            &self.swim,
            now.wall_us,
        );
        outputs.push(Output::Event(MembershipEvent::VerdictReceived {
            backend: broadcast.backend,
            verdict,
        }));
    }

    /// Sends the messages and schedules the timers that the SWIM node requested, and reports its notifications and the
    /// verdicts received. Rejoins if the others declared this proxy down.
    fn process_swim_requests(&mut self, now: ClockReading, outputs: &mut Vec<Output>) {
        if self.swim.take_declared_down() && !self.has_left {
            self.rejoin(now, outputs);
        }
        self.swim.process_requests(now, outputs);
        while let Some(notification) = self.swim.next_notification() {
            if let Some(event) = self.handle_notification(notification, now.monotonic) {
                outputs.push(Output::Event(event));
            }
        }
        let verdicts = self.swim.take_received_verdicts();
        self.counters.verdicts_received += verdicts.len() as u64;
        for broadcast in verdicts {
            self.report_verdict(broadcast, now, outputs);
        }
    }

    fn handle_notification(
        &mut self,
        notification: OwnedNotification<Member>,
        now: Time,
    ) -> Option<MembershipEvent> {
        let members = self.swim.live_count();
        match notification {
            OwnedNotification::MemberUp(member) => {
                self.peer_ordering.on_members_changed();
                self.anti_entropy.on_member_up(now);
                let peer = member.address;
                Some(MembershipEvent::MemberUp { peer, members })
            }
            OwnedNotification::MemberDown(member) => {
                self.peer_ordering.on_members_changed();
                let peer = member.address;
                Some(MembershipEvent::MemberDown { peer, members })
            }
            OwnedNotification::Rename(_, member) => {
                let peer = member.address;
                Some(MembershipEvent::MemberReplaced { peer })
            }
            OwnedNotification::Active => {
                self.anti_entropy.on_joined(now);
                None
            }
            _ => None,
        }
    }

    fn rejoin(&mut self, now: ClockReading, outputs: &mut Vec<Output>) {
        self.partition_recovery.rejoin(&mut self.swim, now, outputs);
        self.anti_entropy.on_joined(now.monotonic);
    }

    /// Rejoins if a message from the member `from` shows that a partition has healed.
    fn recover_from_partition(
        &mut self,
        from: &Member,
        now: ClockReading,
        outputs: &mut Vec<Output>,
    ) {
        if self.partition_recovery.is_healed_by(from, &self.swim) {
            self.rejoin(now, outputs);
            announce(&mut self.swim, from.clone(), outputs);
        }
    }

    /// Sends a member the snapshot that it [requested](MembershipEvent::SnapshotRequested) with the number `nonce`.
    ///
    /// # Errors
    /// If the snapshot is too large; nothing is sent.
    pub fn send_snapshot(
        &self,
        to: SocketAddr,
        nonce: u64,
        snapshot: &[u8],
        outputs: &mut Vec<Output>,
    ) -> Result<(), SnapshotTooLarge> {
        let chunks = snapshot_transfer::chunks(nonce, snapshot)?;
        outputs.extend(chunks.map(|body| Output::Send { to, body }));
        Ok(())
    }

    /// Announces that this proxy leaves the fleet, so that the others need not detect it.
    pub fn leave(&mut self, now: ClockReading, outputs: &mut Vec<Output>) {
        self.swim.begin_step(now);
        self.has_left = true;
        let _ = self.swim.leave(); // if the announcement fails, the others detect that this proxy is down
        self.process_swim_requests(now, outputs);
    }

    /// The advertised addresses of the live members without this proxy, sorted.
    pub fn members(&self) -> Vec<SocketAddr> {
        let mut members: Vec<SocketAddr> = self.swim.live_addresses().collect();
        members.sort_unstable();
        members
    }

    /// The number of live members known, without this proxy.
    pub fn member_count(&self) -> usize {
        self.swim.live_count()
    }

    /// The counters since the start of this proxy.
    pub fn counters(&self) -> Counters {
        Counters {
            verdicts_stale: self.swim.stale_verdicts(),
            ..self.counters.clone()
        }
    }

    /// The number of verdicts that wait to be sent or forwarded.
    pub fn verdict_backlog(&self) -> usize {
        self.swim.verdict_backlog()
    }
}

/// Announces this proxy to a member; a failure is reported as an event.
fn announce(swim: &mut SwimNode, to: Member, outputs: &mut Vec<Output>) {
    let address = to.address;
    if let Err(error) = swim.announce(to) {
        let to = address;
        let event = MembershipEvent::AnnounceFailed { to, error };
        outputs.push(Output::Event(event));
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod stored_formats;
