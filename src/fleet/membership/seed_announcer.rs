//! Announces this proxy to the seeds that it does not know as live members: a new proxy joins the fleet by this, and
//! groups of proxies that do not know each other merge into one fleet.

use super::swim::SwimNode;
use crate::interface::{Micros, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;

/// The time between the announcements of a proxy that knows no live member.
const INTERVAL: Micros = Micros(1_000_000);
/// A proxy that knows live members may announce itself once per this number of intervals.
const INTERVALS_PER_ANNOUNCEMENT: u32 = 2;
/// The expected number of proxies of a group that announce themselves at the same time. A few suffice, as each one
/// tells its group what it learns; and the messages sent to a seed that is gone do not grow with the size of the group.
const EXPECTED_ANNOUNCERS: usize = 4;

/// Decides at which times this proxy announces itself, and to which seeds.
pub(super) struct SeedAnnouncer {
    /// The addresses of the seeds without this proxy.
    seeds: Vec<SocketAddr>,
    next_due: Time,
    /// The number of intervals so far.
    interval_count: u32,
    random: Pcg32,
}

impl SeedAnnouncer {
    /// Creates an announcer whose first announcement is due now. `random_seed` seeds its random choices.
    pub(super) fn new(
        seeds: &[SocketAddr],
        own_address: SocketAddr,
        random_seed: u64,
        now: Time,
    ) -> SeedAnnouncer {
        let others = seeds.iter().filter(|address| **address != own_address);
        SeedAnnouncer {
            seeds: others.copied().collect(),
            next_due: now,
            interval_count: 0,
            random: Pcg32::seed_from_u64(random_seed),
        }
    }

    pub(super) fn next_due(&self) -> Time {
        self.next_due
    }

    /// The seeds that this proxy has to announce itself to now, at most once in each interval.
    pub(super) fn due_seeds(&mut self, swim: &SwimNode, now: Time) -> Vec<SocketAddr> {
        if now < self.next_due {
            return Vec::new();
        }
        self.next_due = self.next_due + INTERVAL;
        self.interval_count = self.interval_count.wrapping_add(1);
        let live_members = swim.live_count();
        if live_members > 0
            && !self
                .interval_count
                .is_multiple_of(INTERVALS_PER_ANNOUNCEMENT)
        {
            return Vec::new();
        }
        let missing: Vec<SocketAddr> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| !swim.is_live(*seed))
            .collect();
        if missing.is_empty() || !self.is_announcer(live_members + 1) {
            return Vec::new();
        }
        missing
    }

    /// Randomly decides whether this proxy is one of those in a group of `group_size` that announce themselves this
    /// time.
    fn is_announcer(&mut self, group_size: usize) -> bool {
        group_size <= EXPECTED_ANNOUNCERS
            || self.random.next_u32() as usize % group_size < EXPECTED_ANNOUNCERS
    }
}
