//! This proxy's node in the SWIM protocol. It wraps the implementation by `foca`: runs its timers, configures it, and
//! sends gossip as far as the egress limit allows.

use super::config::{ClockReading, MembershipConfig};
use super::egress_limit::{EgressLimit, RateLimitedCodec, RateLimitedRuntime, SharedEgressLimit};
use super::event::{MembershipEvent, Output};
use super::member::{Member, WallClock};
use super::timer_queue::TimerQueue;
use super::verdict_broadcast::{
    SharedVerdictStore, VerdictBroadcast, VerdictHandler, VerdictStore,
};
use super::wire::{Body, MAX_DATAGRAM_BODY_BYTES, MAX_DATAGRAM_BYTES};
use crate::interface::{Micros, Time};
use foca::{Foca, OwnedNotification, PeriodicParams, State, Timer};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The interval at which waiting updates and broadcasts are gossiped.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of members to which they are gossiped each time.
const GOSSIP_FAN_OUT: usize = 3;
/// The maximum number of times that each of them is sent while the backlog exceeds a datagram.
const MAX_TRANSMISSIONS_BACKLOGGED: NonZeroU8 = NonZeroU8::new(4).expect("not zero");
/// The interval at which this proxy announces itself to a member that is down, so that the sides of a partition find
/// each other again once it has healed.
const ANNOUNCE_TO_DOWN_INTERVAL: Duration = Duration::from_secs(2);
/// The assumed size of a waiting membership update, in bytes.
const UPDATE_BYTES: usize = 20;
/// The assumed size of a waiting verdict broadcast, in bytes.
const VERDICT_BYTES: usize = 32;
/// The tokens reserved for member lists while the gossip backlog exceeds a datagram, in bytes: enough for two lists, as
/// a list takes fewer bytes per member than gossip.
const LIST_RESERVE_BYTES: usize = 2 * MAX_DATAGRAM_BYTES;

/// A member with its state and its SWIM incarnation, as known here.
pub(super) type KnownMember = foca::Member<Member>;

type Swim = Foca<Member, RateLimitedCodec, StdRng, VerdictHandler>;

/// This proxy's node in the SWIM protocol.
pub(super) struct SwimNode {
    foca: Swim,
    runtime: RateLimitedRuntime,
    egress: SharedEgressLimit,
    verdicts: SharedVerdictStore,
    clock: WallClock,
    timers: TimerQueue,
    fleet_size: u32,
    seed: u64,
}

impl SwimNode {
    /// Creates a node that starts at `now` with the advertised address `own_address`; `seed` seeds its random choices.
    pub(super) fn new(
        config: &MembershipConfig,
        own_address: SocketAddr,
        seed: u64,
        now: ClockReading,
    ) -> SwimNode {
        let clock = WallClock::default();
        clock.set(now.wall_us);
        let verdicts = VerdictStore::shared(own_address, config.max_age, clock.clone());
        let egress = EgressLimit::shared(now.monotonic);
        let identity = Member::new(own_address, now.wall_us);
        SwimNode {
            foca: new_foca(identity, config.fleet_size, seed, &egress, &verdicts),
            runtime: RateLimitedRuntime::new(egress.clone()),
            egress,
            verdicts,
            clock,
            timers: TimerQueue::default(),
            fleet_size: config.fleet_size,
            seed,
        }
    }

    /// Begins a step at `now`: sets the wall time and refills the token bucket. To be called first in each step.
    pub(super) fn begin_step(&mut self, now: ClockReading) {
        self.clock.set(now.wall_us);
        self.egress.borrow_mut().bucket.refill(now.monotonic);
    }

    pub(super) fn identity(&self) -> &Member {
        self.foca.identity()
    }

    /// The live members without this proxy.
    pub(super) fn live_members(&self) -> impl Iterator<Item = &KnownMember> {
        self.foca.iter_members()
    }

    /// The advertised addresses of the live members without this proxy.
    pub(super) fn live_addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.live_members().map(|member| member.id().address)
    }

    pub(super) fn live_count(&self) -> usize {
        self.foca.num_members()
    }

    pub(super) fn is_live(&self, address: SocketAddr) -> bool {
        self.live_addresses().any(|live| live == address)
    }

    /// All known members without this proxy, including those that are down.
    pub(super) fn known_members(&self) -> impl Iterator<Item = &KnownMember> {
        self.foca.iter_membership_state()
    }

    /// The number of verdict broadcasts that wait to be sent or forwarded.
    pub(super) fn verdict_backlog(&self) -> usize {
        self.foca.custom_broadcast_backlog()
    }

    /// The number of received verdicts that were older than the maximum age.
    pub(super) fn stale_verdicts(&self) -> u64 {
        self.verdicts.borrow().stale
    }

    /// The number of timers scheduled so far.
    pub(super) fn scheduled_timers(&self) -> u64 {
        self.timers.scheduled()
    }

    /// Takes the tokens for a datagram with a body of `body_bytes`. Returns whether the egress limit allows to send it.
    pub(super) fn try_spend_datagram(&self, body_bytes: usize) -> bool {
        self.egress
            .borrow_mut()
            .bucket
            .try_spend_datagram(body_bytes)
    }

    /// Processes a SWIM message.
    pub(super) fn handle_message(&mut self, message: &[u8]) -> Result<(), foca::Error> {
        self.foca.handle_data(message, &mut self.runtime)
    }

    /// Merges the members of a list, without gossiping them.
    pub(super) fn merge(
        &mut self,
        members: impl Iterator<Item = KnownMember>,
    ) -> Result<(), foca::Error> {
        self.foca.apply_many(members, false, &mut self.runtime)
    }

    /// Announces this proxy to a member in order to join through it.
    pub(super) fn announce(&mut self, to: Member) -> Result<(), foca::Error> {
        self.foca.announce(to, &mut self.runtime)
    }

    /// Announces to the other members that this proxy leaves.
    pub(super) fn leave(&mut self) -> Result<(), foca::Error> {
        self.foca.leave_cluster(&mut self.runtime)
    }

    /// Broadcasts a verdict of this proxy. Returns whether it will be sent.
    pub(super) fn broadcast(&mut self, broadcast: &VerdictBroadcast) -> bool {
        let Some(bytes) = broadcast.encode() else {
            return false;
        };
        matches!(self.foca.add_broadcast(&bytes), Ok(true))
    }

    /// Restarts the node with a new identity and the given known members. Pending timers, updates and broadcasts are
    /// discarded.
    pub(super) fn restart(
        &mut self,
        identity: Member,
        known_members: Vec<KnownMember>,
    ) -> Result<(), foca::Error> {
        self.timers.clear();
        self.foca = new_foca(
            identity,
            self.fleet_size,
            self.seed,
            &self.egress,
            &self.verdicts,
        );
        self.merge(known_members.into_iter())?;
        self.foca.gossip(&mut self.runtime)
    }

    /// When the next timer expires.
    pub(super) fn next_due(&self) -> Option<Time> {
        self.timers.next_due()
    }

    /// Runs the timers that have expired.
    pub(super) fn run_timers(&mut self, now: ClockReading, outputs: &mut Vec<Output>) {
        while let Some(timer) = self.timers.pop_due(now.monotonic) {
            if let Err(error) = self.run_timer(timer, now) {
                outputs.push(Output::Event(MembershipEvent::TimerFailed(error)));
            }
        }
    }

    /// Runs a timer. The timer of a refuted suspicion is ignored, and gossip that the egress limit does not allow is
    /// postponed by an interval.
    fn run_timer(&mut self, timer: Timer<Member>, now: ClockReading) -> Result<(), foca::Error> {
        if self.is_refuted_suspicion(&timer) {
            return Ok(());
        }
        if matches!(timer, Timer::PeriodicGossip(_)) && !self.prepare_gossip()? {
            let interval = Micros(GOSSIP_INTERVAL.as_micros() as u64);
            self.timers.schedule(now.monotonic + interval, timer);
            return Ok(());
        }
        self.foca.handle_timer(timer, &mut self.runtime)
    }

    /// Whether the timer is to declare a suspect member down that has refuted the suspicion since. foca would still
    /// tell the member that it is down.
    fn is_refuted_suspicion(&self, timer: &Timer<Member>) -> bool {
        let Timer::ChangeSuspectToDown {
            member_id,
            incarnation,
            ..
        } = timer
        else {
            return false;
        };
        let is_still_suspect = |member: &KnownMember| {
            member.id() == member_id
                && member.incarnation() == *incarnation
                && member.state() == State::Suspect
        };
        !self.known_members().any(is_still_suspect)
    }

    /// Sets the fan-out that the egress limit allows for the next gossip. Returns whether anything may be sent. If the
    /// backlog exceeds a datagram, verdicts are first broadcast on their own, before membership updates.
    fn prepare_gossip(&mut self) -> Result<bool, foca::Error> {
        let update_bytes = self.foca.updates_backlog() * UPDATE_BYTES;
        let verdict_bytes = self.verdict_backlog() * VERDICT_BYTES;
        let is_backlogged = update_bytes + verdict_bytes > MAX_DATAGRAM_BODY_BYTES;
        if verdict_bytes > 0 && is_backlogged {
            let fan_out = self.affordable_fan_out(verdict_bytes, 0);
            if fan_out > 0 {
                self.configure(fan_out, is_backlogged)?;
                self.foca.broadcast(&mut self.runtime)?;
            }
        }
        let reserved_bytes = if is_backlogged { LIST_RESERVE_BYTES } else { 0 };
        let fan_out = self.affordable_fan_out(update_bytes + verdict_bytes, reserved_bytes);
        self.egress.borrow_mut().reserved_for_lists_bytes = reserved_bytes;
        self.configure(fan_out, is_backlogged)?;
        Ok(fan_out > 0)
    }

    fn affordable_fan_out(&self, backlog_bytes: usize, reserved_bytes: usize) -> usize {
        let egress = self.egress.borrow();
        egress
            .bucket
            .affordable_targets(backlog_bytes, reserved_bytes, GOSSIP_FAN_OUT)
    }

    fn configure(&mut self, gossip_fan_out: usize, is_backlogged: bool) -> Result<(), foca::Error> {
        let config = foca_config(self.fleet_size, gossip_fan_out, is_backlogged);
        self.foca.set_config(config)
    }

    /// Whether other members declared this proxy down since the last call.
    pub(super) fn take_declared_down(&mut self) -> bool {
        std::mem::take(&mut self.runtime.declared_down)
    }

    /// Sends the messages and schedules the timers that foca requested.
    pub(super) fn process_requests(&mut self, now: ClockReading, outputs: &mut Vec<Output>) {
        while let Some((to, message)) = self.runtime.requests.to_send() {
            outputs.push(Output::Send {
                to: to.address,
                body: Body::Swim(message.to_vec()),
            });
        }
        while let Some((delay, timer)) = self.runtime.requests.to_schedule() {
            let at = now.monotonic + Micros(delay.as_micros() as u64);
            self.timers.schedule(at, timer);
        }
    }

    pub(super) fn next_notification(&mut self) -> Option<OwnedNotification<Member>> {
        self.runtime.requests.to_notify()
    }

    /// Other proxies' verdicts received since the last call.
    pub(super) fn take_received_verdicts(&mut self) -> Vec<VerdictBroadcast> {
        self.verdicts.borrow_mut().take_unreported()
    }
}

fn new_foca(
    identity: Member,
    fleet_size: u32,
    seed: u64,
    egress: &SharedEgressLimit,
    verdicts: &SharedVerdictStore,
) -> Swim {
    let random = StdRng::seed_from_u64(seed ^ identity.started_us);
    Foca::with_custom_broadcast(
        identity,
        foca_config(fleet_size, GOSSIP_FAN_OUT, false),
        random,
        RateLimitedCodec(egress.clone()),
        VerdictHandler(verdicts.clone()),
    )
}

/// foca's LAN settings for a fleet of `fleet_size`, with more frequent gossip and with announcements to members that
/// are down. Periodic announcements to live members are disabled, as `AntiEntropy` compares member lists instead.
fn foca_config(fleet_size: u32, gossip_fan_out: usize, is_backlogged: bool) -> foca::Config {
    let non_zero = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let lan = foca::Config::new_lan(NonZeroU32::new(fleet_size).unwrap_or(NonZeroU32::MIN));
    let max_transmissions = if is_backlogged {
        lan.max_transmissions.min(MAX_TRANSMISSIONS_BACKLOGGED)
    } else {
        lan.max_transmissions
    };
    foca::Config {
        max_packet_size: non_zero(MAX_DATAGRAM_BODY_BYTES),
        max_transmissions,
        periodic_gossip: Some(PeriodicParams {
            frequency: GOSSIP_INTERVAL,
            num_members: non_zero(gossip_fan_out),
        }),
        periodic_announce: None,
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: ANNOUNCE_TO_DOWN_INTERVAL,
            num_members: non_zero(1),
        }),
        ..lan
    }
}
