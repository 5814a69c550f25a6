//! The worker that takes the other proxies' messages.

use super::announcements::window_messages;
use super::clocks::wall;
use super::command::Command;
use super::duty_lease::DutyMessages;
use super::message::{
    self, check_token, Announcement, Duty, DutyMessage, MessageError, TokenReport,
};
use super::tables::Tables;
use crate::net::cluster::gossip::CoordinationDatagram;
use meadowproxy::fleet::calendar::{Calendar, Digest, WallTime, Window};
use meadowproxy::fleet::lease::Token;
use meadowproxy::fleet::relay::BroadcastHeader;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, SyncSender};
use std::sync::Arc;

/// Backends that are recorded of one member's reports at most.
const MAX_REPORTED_BACKENDS: usize = 1024;

/// Takes messages until the socket's side is gone.
pub fn run(
    tables: &Arc<Tables>,
    messages: &Receiver<CoordinationDatagram>,
    commands: &SyncSender<Command>,
) {
    while let Ok(CoordinationDatagram { from, bytes }) = messages.recv() {
        let held_before = tables.held_tokens();
        let mut outgoing = DutyMessages::new();
        let handled = message::decode(&bytes)
            .and_then(|message| handle(tables, from, message, &mut outgoing));
        tables.send(outgoing);
        record(tables, from, handled);
        if tables.held_tokens() != held_before {
            let _ = commands.try_send(Command::Wake); // full: it is awake anyway
        }
    }
}

fn record(tables: &Tables, from: SocketAddr, handled: Result<(), MessageError>) {
    let mut effect_queue = tables.effect_queue.lock();
    effect_queue.received += 1;
    if let Err(error) = handled {
        effect_queue.record_rejected(from, &error);
    }
}

fn handle(
    tables: &Tables,
    from: SocketAddr,
    message: DutyMessage,
    outgoing: &mut DutyMessages,
) -> Result<(), MessageError> {
    for duty in [Duty::Calendar, Duty::Config] {
        tables.with_lease(duty, |lease| lease.record_contact(from));
    }
    match message {
        DutyMessage::Lease { duty, message } => {
            return tables.with_lease(duty, |lease| lease.handle_message(from, message, outgoing));
        }
        DutyMessage::Digest {
            tokens,
            digest,
            is_new,
            wants_reply,
        } => {
            observe_reports(tables, &tokens, outgoing);
            if wants_reply {
                let replies = tables.digests(false);
                outgoing.extend(replies.into_iter().map(|reply| (from, reply)));
            }
            compare(tables, from, &digest, is_new, outgoing);
        }
        DutyMessage::RequestWindows { id_hashes } => {
            let windows = tables
                .calendar
                .lock()
                .calendar
                .windows_with_id_hashes(&id_hashes, wall());
            outgoing.extend(window_messages(from, &windows));
        }
        DutyMessage::Windows { windows } => return merge(tables, &windows, outgoing),
        DutyMessage::Broadcast(header, announcement) => {
            return handle_broadcast(tables, &header, announcement, outgoing);
        }
        DutyMessage::Fenced { duty, highest } => {
            tables.with_lease(duty, |lease| lease.observe_token(highest, outgoing));
        }
        DutyMessage::Config(message) => {
            return tables
                .handle_config_message(from, message)
                .map_err(MessageError::Config);
        }
        DutyMessage::OpenRequests { open } => {
            let mut roster = tables.roster.lock();
            roster.record_report(from, open, MAX_REPORTED_BACKENDS);
        }
    }
    Ok(())
}

/// Takes an announcement, and relays it; not what is announced under a stale token.
fn handle_broadcast(
    tables: &Tables,
    header: &BroadcastHeader,
    mut announcement: Announcement,
    outgoing: &mut DutyMessages,
) -> Result<(), MessageError> {
    let is_newest = tables
        .relay
        .lock()
        .accept(header, wall().0)
        .map_err(MessageError::Broadcast)?;
    let announced = announcement.held.len();
    announcement.held.retain(|held| {
        tables
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
        tables.relay_announcement(header, &announcement);
    }
    merge(tables, &announcement.windows, outgoing)?;
    if is_stale {
        return Err(MessageError::StaleToken);
    }
    Ok(())
}

fn observe_reports(tables: &Tables, reports: &[TokenReport], outgoing: &mut DutyMessages) {
    for report in reports {
        tables.with_lease(report.duty, |lease| {
            lease.handle_token_report(report, outgoing);
        });
    }
}

/// Compares another proxy's calendar with the one here: sends and requests what either lacks.
fn compare(
    tables: &Tables,
    from: SocketAddr,
    digest: &Digest,
    is_new: bool,
    outgoing: &mut DutyMessages,
) {
    let is_seen = tables.roster.lock().seen.is_some();
    let (difference, has_caught_up) = {
        let mut maintenance = tables.calendar.lock();
        let difference = maintenance.calendar.compare(digest, wall());
        let lacks_nothing = difference.to_request.is_empty();
        // Another new proxy knows as little as this one.
        let counts = is_seen && !is_new && lacks_nothing;
        let has_caught_up = counts && maintenance.record_compared(digest);
        (difference, has_caught_up)
    };
    if !difference.to_request.is_empty() {
        let id_hashes = difference.to_request;
        outgoing.push((from, DutyMessage::RequestWindows { id_hashes }));
    }
    outgoing.extend(window_messages(from, &difference.to_send));
    if has_caught_up {
        tables.set_caught_up();
    }
}

/// Merges each valid window, whatever the others are.
///
/// # Errors
/// What is wrong with the first that is not valid.
fn merge(
    tables: &Tables,
    windows: &[Vec<u8>],
    outgoing: &mut DutyMessages,
) -> Result<(), MessageError> {
    let now = wall();
    let mut first_error = None;
    let mut is_changed = false;
    let highest = {
        let mut maintenance = tables.calendar.lock();
        for bytes in windows {
            match merge_one(&mut maintenance.calendar, bytes, now) {
                Ok(changed) => is_changed |= changed,
                Err(error) => first_error = first_error.or(Some(error)),
            }
        }
        maintenance.calendar.highest_token()
    };
    if is_changed {
        if highest != Token::default() {
            tables
                .calendar_lease
                .lock()
                .observe_token(highest, outgoing);
        }
        tables.update_maintenance();
    }
    first_error.map_or(Ok(()), Err)
}

fn merge_one(calendar: &mut Calendar, bytes: &[u8], now: WallTime) -> Result<bool, MessageError> {
    let window = Window::decode(bytes, now)?;
    if let Some(progress) = &window.progress {
        check_token(progress.token)?;
    }
    Ok(calendar.merge(&window, now)?)
}

#[cfg(test)]
mod tests;
