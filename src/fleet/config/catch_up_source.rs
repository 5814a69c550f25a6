//! Serves other replicas that catch up: sends changes from the log, hashes of the Merkle tree, and ranges of entries, within
//! a limit of bytes per second.

use super::batch::{self, MAX_MESSAGE_BYTES};
use super::change::Change;
use super::merkle::{Node, PositionRange};
use super::message::{Message, Outbox, Outgoing};
use super::table::Table;
use crate::interface::{Micros, Time};
use std::net::SocketAddr;

/// The maximum number of changes sent in reply to one request.
const MAX_CHANGES: usize = 64;
/// The approximate size of a message without its changes.
const CHANGES_OVERHEAD_BYTES: usize = 80;
/// The approximate size of a message without its entries.
const ENTRIES_OVERHEAD_BYTES: usize = 100;
/// The approximate size of an entry in a message without its edit.
const ENTRY_OVERHEAD_BYTES: usize = 10;
/// The approximate size of a message with the hashes of a node's children.
const HASHES_BYTES: usize = 180;
/// The rate at which this proxy sends to replicas that catch up.
const BUDGET_BYTES_PER_S: u64 = 24 << 10;
/// The most time by which the sent bytes may be ahead of [`BUDGET_BYTES_PER_S`].
const MAX_BURST: Micros = Micros(2_000_000);

/// Limits the rate at which this proxy sends to replicas that catch up.
#[derive(Clone, Debug)]
struct ByteBudget {
    /// The time up to which the budget is spent.
    spent_until: Time,
}

impl ByteBudget {
    /// Spends `bytes` of the budget. Returns false, and spends nothing, if the budget is overdrawn by more than
    /// [`MAX_BURST`].
    fn try_spend(&mut self, now: Time, bytes: usize) -> bool {
        let start = self.spent_until.max(now);
        if start - now > MAX_BURST {
            return false;
        }
        self.spent_until = start + Micros(bytes as u64 * 1_000_000 / BUDGET_BYTES_PER_S);
        true
    }
}

/// Serves other replicas that catch up. Replies over the budget are dropped: the replicas repeat their requests or ask
/// another replica.
#[derive(Clone, Debug)]
pub(super) struct CatchUpSource {
    budget: ByteBudget,
}

impl CatchUpSource {
    pub(super) fn new(now: Time) -> CatchUpSource {
        CatchUpSource {
            budget: ByteBudget { spent_until: now },
        }
    }

    /// Sends up to [`MAX_CHANGES`] changes after the version `since`, or the hashes of the root's children if the log
    /// doesn't reach back so far.
    pub(super) fn send_changes(
        &mut self,
        now: Time,
        to: SocketAddr,
        table: &Table,
        since: u64,
        out: &mut Outbox,
    ) {
        if since >= table.version() {
            return;
        }
        let Some(changes) = table.changes_since(since) else {
            return self.send_hashes(now, to, table, Node::ROOT, out);
        };
        let changes: Vec<Change> = changes.take(MAX_CHANGES).cloned().collect();
        let mut parts = batch::split(changes, Change::size).into_iter().peekable();
        while let Some(part) = parts.next() {
            let bytes = part.iter().map(Change::size).sum::<usize>() + CHANGES_OVERHEAD_BYTES;
            // Only the last message has the table's version, which makes the receiver request more changes.
            let is_last = parts.peek().is_none();
            let message = Message::Changes {
                changes: part,
                version: if is_last { table.version() } else { 0 },
                push: false,
            };
            self.send(now, Outgoing { to, message }, bytes, out);
        }
    }

    /// Sends the hashes of a node's children.
    pub(super) fn send_hashes(
        &mut self,
        now: Time,
        to: SocketAddr,
        table: &Table,
        node: Node,
        out: &mut Outbox,
    ) {
        let message = Message::NodeHashes {
            digest: table.digest(),
            node,
            hashes: table.child_hashes(node),
        };
        self.send(now, Outgoing { to, message }, HASHES_BYTES, out);
    }

    /// Sends the entries of a range, up to as many as fit into one message.
    pub(super) fn send_range(
        &mut self,
        now: Time,
        to: SocketAddr,
        table: &Table,
        range: PositionRange,
        out: &mut Outbox,
    ) {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut last = range.last;
        for (position, entry) in table.range(range) {
            bytes += entry.edit.size() + ENTRY_OVERHEAD_BYTES;
            if bytes > MAX_MESSAGE_BYTES && !entries.is_empty() {
                last = position - 1; // not below the position of the previous entry
                break;
            }
            entries.push(entry.clone());
        }
        let message = Message::RangeEntries {
            digest: table.digest(),
            range: PositionRange {
                first: range.first,
                last,
            },
            entries,
        };
        let bytes = bytes.min(MAX_MESSAGE_BYTES) + ENTRIES_OVERHEAD_BYTES;
        self.send(now, Outgoing { to, message }, bytes, out);
    }

    fn send(&mut self, now: Time, outgoing: Outgoing, bytes: usize, out: &mut Outbox) {
        if self.budget.try_spend(now, bytes) {
            out.push(outgoing);
        }
    }
}
