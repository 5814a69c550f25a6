//! The message worker: decodes the coordination messages of other proxies and applies them to the shared state.

use super::announcements::window_messages;
use super::clocks::wall_now;
use super::command::Command;
use super::duty_lease::DutyMessages;
use super::message::{
    self, check_token, Announcement, Duty, DutyMessage, MessageError, TokenReport,
};
use super::shared_state::SharedState;
use crate::net::cluster::gossip::CoordinationDatagram;
use meadowproxy::fleet::calendar::{Calendar, Digest, WallTime, Window};
use meadowproxy::fleet::lease::Token;
use meadowproxy::fleet::relay::BroadcastHeader;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, SyncSender};
use std::sync::Arc;

/// Maximum number of backends for which one member's counts of open requests are recorded.
const MAX_REPORTED_BACKENDS: usize = 1024;

/// Handles messages until the sender of the queue is gone.
pub fn run(
    shared: &Arc<SharedState>,
    messages: &Receiver<CoordinationDatagram>,
    commands: &SyncSender<Command>,
) {
    while let Ok(CoordinationDatagram { from, bytes }) = messages.recv() {
        let held_before = shared.held_tokens();
        let mut outgoing = DutyMessages::new();
        let handled = message::decode(&bytes)
            .and_then(|message| handle(shared, from, message, &mut outgoing));
        shared.send(outgoing);
        count_message(shared, from, handled);
        if shared.held_tokens() != held_before {
            let _ = commands.try_send(Command::Wake); // if the queue is full, the worker is awake anyway
        }
    }
}

/// Counts a message, as rejected if handling it failed.
fn count_message(shared: &SharedState, from: SocketAddr, handled: Result<(), MessageError>) {
    let mut effect_queue = shared.effect_queue.lock();
    effect_queue.received += 1;
    if let Err(error) = handled {
        effect_queue.record_rejected(from, &error);
    }
}

/// Applies a message of the proxy at `from`; the messages that it leads to are added to `outgoing`.
fn handle(
    shared: &SharedState,
    from: SocketAddr,
    message: DutyMessage,
    outgoing: &mut DutyMessages,
) -> Result<(), MessageError> {
    for duty in [Duty::Calendar, Duty::Config] {
        shared.with_lease(duty, |lease| lease.record_contact(from));
    }
    match message {
        DutyMessage::Lease { duty, message } => {
            return shared.with_lease(duty, |lease| lease.handle_message(from, message, outgoing));
        }
        DutyMessage::Digest {
            tokens,
            digest,
            is_new,
            wants_reply,
        } => {
            observe_reports(shared, &tokens, outgoing);
            if wants_reply {
                let replies = shared.digests(false);
                outgoing.extend(replies.into_iter().map(|reply| (from, reply)));
            }
            compare_calendars(shared, from, &digest, is_new, outgoing);
        }
        DutyMessage::RequestWindows { id_hashes } => {
            let windows = shared
                .maintenance
                .lock()
                .calendar
                .windows_with_id_hashes(&id_hashes, wall_now());
            outgoing.extend(window_messages(from, &windows));
        }
        DutyMessage::Windows { windows } => return merge_windows(shared, &windows, outgoing),
        DutyMessage::Broadcast(header, announcement) => {
            return handle_broadcast(shared, &header, announcement, outgoing);
        }
        DutyMessage::Fenced { duty, highest } => {
            shared.with_lease(duty, |lease| lease.observe_token(highest, outgoing));
        }
        DutyMessage::Config(message) => {
            return shared
                .handle_config_message(from, message)
                .map_err(MessageError::Config);
        }
        DutyMessage::OpenRequests { open } => {
            let mut fleet_view = shared.fleet_view.lock();
            fleet_view.record_report(from, open, MAX_REPORTED_BACKENDS);
        }
    }
    Ok(())
}

/// Applies an announcement and relays it, except for what was announced under a stale token.
fn handle_broadcast(
    shared: &SharedState,
    header: &BroadcastHeader,
    mut announcement: Announcement,
    outgoing: &mut DutyMessages,
) -> Result<(), MessageError> {
    let is_newest = shared
        .relay
        .lock()
        .accept(header, wall_now().0)
        .map_err(MessageError::Broadcast)?;
    let announced = announcement.held.len();
    announcement.held.retain(|held| {
        shared
            .with_lease(held.duty, |lease| {
                lease.admit_effect(header.origin, held.token, is_newest, outgoing)
            })
            .is_ok()
    });
    let is_stale = announcement.held.len() < announced;
    if is_stale {
        announcement.windows.clear();
    }
    if !announcement.held.is_empty() || !announcement.windows.is_empty() {
        shared.relay_announcement(header, &announcement);
    }
    merge_windows(shared, &announcement.windows, outgoing)?;
    if is_stale {
        return Err(MessageError::StaleToken);
    }
    Ok(())
}

/// Applies reports of the tokens that another proxy has seen.
fn observe_reports(shared: &SharedState, reports: &[TokenReport], outgoing: &mut DutyMessages) {
    for report in reports {
        shared.with_lease(report.duty, |lease| {
            lease.handle_token_report(report, outgoing);
        });
    }
}

/// Compares another proxy's calendar with this proxy's: sends the windows that the other lacks, and requests those
/// missing here.
fn compare_calendars(
    shared: &SharedState,
    from: SocketAddr,
    digest: &Digest,
    is_new: bool,
    outgoing: &mut DutyMessages,
) {
    let has_loop_view = shared.fleet_view.lock().loop_view.is_some();
    let (difference, has_caught_up) = {
        let mut maintenance = shared.maintenance.lock();
        let difference = maintenance.calendar.compare(digest, wall_now());
        let lacks_nothing = difference.to_request.is_empty();
        // The digest of a proxy that has just started does not show that nothing is lacking here.
        let is_conclusive = has_loop_view && !is_new && lacks_nothing;
        let has_caught_up = is_conclusive && maintenance.record_compared(digest);
        (difference, has_caught_up)
    };
    if !difference.to_request.is_empty() {
        let id_hashes = difference.to_request;
        outgoing.push((from, DutyMessage::RequestWindows { id_hashes }));
    }
    outgoing.extend(window_messages(from, &difference.to_send));
    if has_caught_up {
        shared.set_caught_up();
    }
}

/// Merges each valid window into the calendar, even if others are invalid.
///
/// # Errors
/// Returns the error of the first invalid window.
fn merge_windows(
    shared: &SharedState,
    windows: &[Vec<u8>],
    outgoing: &mut DutyMessages,
) -> Result<(), MessageError> {
    let now = wall_now();
    let mut first_error = None;
    let mut is_changed = false;
    let highest = {
        let mut maintenance = shared.maintenance.lock();
        for bytes in windows {
            match merge_window(&mut maintenance.calendar, bytes, now) {
                Ok(changed) => is_changed |= changed,
                Err(error) => first_error = first_error.or(Some(error)),
            }
        }
        maintenance.calendar.highest_token()
    };
    if is_changed {
        if highest != Token::default() {
            shared
                .calendar_lease
                .lock()
                .observe_token(highest, outgoing);
        }
        shared.update_maintenance();
    }
    first_error.map_or(Ok(()), Err)
}

/// Decodes a window and merges it into the calendar. Returns whether the calendar changed.
fn merge_window(
    calendar: &mut Calendar,
    bytes: &[u8],
    now: WallTime,
) -> Result<bool, MessageError> {
    let window = Window::decode(bytes, now)?;
    if let Some(progress) = &window.progress {
        check_token(progress.token)?;
    }
    Ok(calendar.merge(&window, now)?)
}

#[cfg(test)]
mod tests;
