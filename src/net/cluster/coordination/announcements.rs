//! Announcements, which all members relay to each other, and digests, which go to single members.

use super::clocks::{monotonic_now, wall_now};
use super::duty_lease::DutyMessages;
use super::message::{self, Announcement, DutyMessage, HeldDuty};
use super::shared_state::SharedState;
use meadowproxy::fleet::calendar::Window;
use meadowproxy::fleet::relay::BroadcastHeader;
use meadowproxy::Micros;
use std::net::SocketAddr;

/// Times after which a change is announced again.
const REPEAT_AFTER: [Micros; 2] = [Micros(200_000), Micros(600_000)];
/// Bytes that the encoding of a list adds to each item.
const ITEM_OVERHEAD_BYTES: usize = 2;

impl SharedState {
    /// Sends announcements to all live members, without repeating them.
    pub fn announce_once(&self, announcements: &[Announcement]) {
        for announcement in announcements {
            let header = self.relay.lock().originate(wall_now().0);
            self.relay_announcement(&header, announcement);
        }
    }

    /// Announces changed windows to all live members, and schedules repetitions, as datagrams may be lost. `held` is
    /// the duty under which the windows changed, or `None` if an operator changed them.
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
        for delay in REPEAT_AFTER {
            let repeats = effect_queue.repeats.entry(now + delay).or_default();
            repeats.extend(announcements.iter().cloned());
        }
    }

    /// Sends an announcement to the members that relay it next.
    pub fn relay_announcement(&self, header: &BroadcastHeader, announcement: &Announcement) {
        let loop_view = self.fleet_view.lock().loop_view.clone();
        let members = loop_view
            .as_ref()
            .map_or(&[][..], |loop_view| &loop_view.members);
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

    /// Returns digests of everything that this proxy knows of duties and windows, with which other proxies find
    /// differences.
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

/// Returns the messages that send windows to one proxy.
pub fn window_messages(to: SocketAddr, windows: &[Window]) -> DutyMessages {
    encode_windows(windows)
        .into_iter()
        .map(|windows| (to, DutyMessage::Windows { windows }))
        .collect()
}

/// Encodes windows and splits them into parts that each fit into one message.
fn encode_windows(windows: &[Window]) -> Vec<Vec<Vec<u8>>> {
    let encoded = windows.iter().map(Window::encode).collect();
    message::split_to_fit(encoded, |bytes: &Vec<u8>| bytes.len() + ITEM_OVERHEAD_BYTES)
}
