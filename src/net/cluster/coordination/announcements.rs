//! Announcements to all members, and digests for single ones.

use super::clocks::{monotonic_now, wall_now};
use super::duty_lease::DutyMessages;
use super::message::{self, Announcement, DutyMessage, HeldDuty};
use super::shared_state::SharedState;
use meadowproxy::fleet::calendar::Window;
use meadowproxy::fleet::relay::BroadcastHeader;
use meadowproxy::Micros;
use std::net::SocketAddr;

/// When a change is announced again.
const REPEAT_AFTER: [Micros; 2] = [Micros(200_000), Micros(600_000)];
/// What the encoding of a list adds to each item, in bytes.
const ITEM_OVERHEAD_BYTES: usize = 2;

impl SharedState {
    /// Announces something once to all live members.
    pub fn announce_once(&self, announcements: &[Announcement]) {
        for announcement in announcements {
            let header = self.relay.lock().originate(wall_now().0);
            self.relay_announcement(&header, announcement);
        }
    }

    /// Announces changed windows to all live members, and repeats that, as datagrams may be lost. `held` is the duty
    /// under which they changed, none for an operator's call.
    pub fn announce_windows(&self, changed: &[Window], held: Option<HeldDuty>) {
        let announcements: Vec<Announcement> = encode_windows(changed)
            .into_iter()
            .map(|windows| Announcement {
                held: held.into_iter().collect(),
                windows,
            })
            .collect();
        if announcements.is_empty() {
            return;
        }
        self.announce_once(&announcements);
        let now = monotonic_now();
        let mut effect_queue = self.effect_queue.lock();
        for pause in REPEAT_AFTER {
            let repeats = effect_queue.repeats.entry(now + pause).or_default();
            repeats.extend(announcements.iter().cloned());
        }
    }

    /// Sends an announcement to those members that are to relay it from here.
    pub fn relay_announcement(&self, header: &BroadcastHeader, announcement: &Announcement) {
        let seen = self.fleet_view.lock().seen.clone();
        let members = seen.as_ref().map_or(&[][..], |seen| &seen.members);
        let next = self.relay.lock().forward(header, members);
        let outgoing = next
            .into_iter()
            .map(|forward| {
                let message = DutyMessage::Broadcast(forward.header, announcement.clone());
                (forward.to, message)
            })
            .collect();
        self.send(outgoing);
    }

    /// All that this proxy knows, for others that may know less.
    pub fn digests(&self, wants_reply: bool) -> Vec<DutyMessage> {
        let mut tokens = self.calendar_lease.lock().token_reports();
        tokens.extend(self.config.lock().lease.token_reports());
        let maintenance = self.maintenance.lock();
        maintenance
            .calendar
            .digests(wall_now())
            .into_iter()
            .map(|digest| DutyMessage::Digest {
                tokens: tokens.clone(),
                digest,
                is_new: !maintenance.has_caught_up(),
                wants_reply,
            })
            .collect()
    }
}

/// Messages with windows for one proxy.
pub fn window_messages(to: SocketAddr, windows: &[Window]) -> DutyMessages {
    encode_windows(windows)
        .into_iter()
        .map(|windows| (to, DutyMessage::Windows { windows }))
        .collect()
}

/// Encoded windows, in parts that each fit into a message.
fn encode_windows(windows: &[Window]) -> Vec<Vec<Vec<u8>>> {
    let encoded = windows.iter().map(Window::encode).collect();
    message::split_to_fit(encoded, |bytes: &Vec<u8>| bytes.len() + ITEM_OVERHEAD_BYTES)
}
