//! How a replica that is behind catches up: it requests the changes since its version where another replica's log has them,
//! else it compares the Merkle trees from the root down and fetches the ranges that differ (anti-entropy). Its own table
//! stays in use until the fetched one is complete.

use super::entry::Entry;
use super::error::MessageError;
use super::merkle::{Digest, Node, PositionRange};
use super::message::{Message, Outbox, Outgoing};
use super::staged_table::StagedTable;
use super::table::Table;
use crate::interface::{Micros, Time};
use std::net::SocketAddr;

/// How long a replica has for a reply before the request is repeated.
const REPLY_TIMEOUT: Micros = Micros(300_000);
/// Repetitions after which a state is given up that nobody seems to have.
const MAX_RETRIES: u32 = 20;
/// Each so many repetitions the request goes to another replica; a datagram may just have been lost.
const SOURCE_CHANGE_ONE_IN: u32 = 3;

/// The last request for changes.
#[derive(Clone, Copy, Debug)]
struct ChangesRequest {
    source: SocketAddr,
    at: Time,
}

/// One request of a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Task {
    Compare(Node),
    Fetch(PositionRange),
}

impl Task {
    /// What to do about a node that differs.
    fn for_node(node: Node) -> Task {
        if node.is_leaf() {
            Task::Fetch(node.range())
        } else {
            Task::Compare(node)
        }
    }

    fn request(self) -> Message {
        match self {
            Task::Compare(node) => Message::CompareNode { node },
            Task::Fetch(range) => Message::FetchRange { range },
        }
    }
}

/// A table that is fetched by ranges.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Fetch {
    source: SocketAddr,
    staged: StagedTable,
    /// The request that waits for its reply.
    current: Task,
    /// The requests after it, the last first.
    remaining: Vec<Task>,
    requested_at: Time,
    retries: u32,
}

impl Fetch {
    /// Checks that a reply is to the current request, and takes its state as the target, which never goes back.
    fn accept_reply(
        &mut self,
        source: SocketAddr,
        digest: Digest,
        request: Task,
    ) -> Result<(), MessageError> {
        let expected = self.source == source && self.current == request;
        if !expected || digest.version < self.staged.target.version {
            return Err(MessageError::Unsolicited);
        }
        self.staged.target = digest;
        Ok(())
    }

    /// Sends the next request; where none remains the other replica's table went on and is compared anew.
    fn request_next(&mut self, now: Time, out: &mut Outbox) {
        self.current = self.remaining.pop().unwrap_or(Task::Compare(Node::ROOT));
        self.retries = 0;
        self.send(now, out);
    }

    fn send(&mut self, now: Time, out: &mut Outbox) {
        self.requested_at = now;
        out.push(Outgoing {
            to: self.source,
            message: self.current.request(),
        });
    }
}

/// The hashes of a node's children, from another replica.
#[derive(Clone, Debug)]
pub(super) struct NodeHashes {
    pub(super) source: SocketAddr,
    pub(super) digest: Digest,
    pub(super) node: Node,
    pub(super) hashes: Vec<u64>,
}

/// The entries of a range, from another replica.
#[derive(Clone, Debug)]
pub(super) struct RangeEntries {
    pub(super) source: SocketAddr,
    pub(super) digest: Digest,
    pub(super) range: PositionRange,
    pub(super) entries: Vec<Entry>,
}

/// A fetched table was installed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Installed {
    /// The replica that it came from.
    pub(super) source: SocketAddr,
    /// The table's new version.
    pub(super) version: u64,
    /// The entries that differ from before.
    pub(super) entries: Vec<Entry>,
}

/// The catch-up of one replica.
#[derive(Clone, Debug, Default)]
pub(super) struct CatchUp {
    request: Option<ChangesRequest>,
    fetch: Option<Fetch>,
}

impl CatchUp {
    /// Whether a table is being fetched by ranges.
    pub(super) fn is_fetching(&self) -> bool {
        self.fetch.is_some()
    }

    /// Drops everything staged: the table went to another version.
    pub(super) fn reset(&mut self) {
        *self = CatchUp::default();
    }

    /// Requests the changes since this table's version from a replica that is ahead, one request at a time.
    pub(super) fn request_changes(
        &mut self,
        now: Time,
        source: SocketAddr,
        their_version: u64,
        version: u64,
        out: &mut Outbox,
    ) {
        let waiting = self
            .request
            .is_some_and(|request| now - request.at < REPLY_TIMEOUT);
        if their_version > version && !waiting && self.fetch.is_none() {
            self.request = Some(ChangesRequest { source, at: now });
            let message = Message::ChangesSince { version };
            out.push(Outgoing {
                to: source,
                message,
            });
        }
    }

    /// Handles the hashes of a node's children: the reply to a comparison, or to a request for changes that the other
    /// replica's log does not have, which begins a fetch.
    pub(super) fn on_node_hashes(
        &mut self,
        now: Time,
        reply: &NodeHashes,
        table: &mut Table,
        out: &mut Outbox,
    ) -> Result<Option<Installed>, MessageError> {
        let node = reply.node;
        if node == Node::ROOT {
            self.begin_fetch(now, reply.source, reply.digest, table);
        }
        let fetch = self.fetch.as_mut().ok_or(MessageError::Unsolicited)?;
        fetch.accept_reply(reply.source, reply.digest, Task::Compare(node))?;
        let differing = fetch.staged.differing_children(node, &reply.hashes);
        if node == Node::ROOT && differing.is_empty() && !fetch.staged.is_complete() {
            self.fetch = None; // its hashes do not add up to its root
            return Err(MessageError::Unsolicited);
        }
        fetch
            .remaining
            .extend(differing.into_iter().map(Task::for_node));
        if node == Node::ROOT && table.is_empty() {
            // Everything is missing: nothing is to be compared.
            fetch.remaining = vec![Task::Fetch(PositionRange::ALL)];
        }
        Ok(self.advance(now, table, out))
    }

    /// Handles the entries of a range that was requested.
    pub(super) fn on_range_entries(
        &mut self,
        now: Time,
        reply: RangeEntries,
        table: &mut Table,
        out: &mut Outbox,
    ) -> Result<Option<Installed>, MessageError> {
        let range = reply.range;
        let fetch = self.fetch.as_mut().ok_or(MessageError::Unsolicited)?;
        let Task::Fetch(requested) = fetch.current else {
            return Err(MessageError::Unsolicited);
        };
        if range.first != requested.first || range.last > requested.last {
            return Err(MessageError::Unsolicited);
        }
        fetch.accept_reply(reply.source, reply.digest, Task::Fetch(requested))?;
        fetch.staged.stage(table, range, reply.entries)?;
        if range.last < requested.last {
            fetch.remaining.push(Task::Fetch(PositionRange {
                first: range.last + 1,
                last: requested.last,
            }));
        }
        Ok(self.advance(now, table, out))
    }

    /// Whether a request of the fetch has waited too long for its reply.
    pub(super) fn is_late(&self, now: Time) -> bool {
        self.fetch
            .as_ref()
            .is_some_and(|fetch| now - fetch.requested_at >= REPLY_TIMEOUT)
    }

    /// Repeats a late request, now and then to another replica: what is staged stays, and is compared with what that one
    /// has.
    pub(super) fn retry(&mut self, now: Time, other_source: SocketAddr, out: &mut Outbox) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        fetch.retries += 1;
        if fetch.retries > MAX_RETRIES {
            self.fetch = None;
            return;
        }
        if fetch.retries.is_multiple_of(SOURCE_CHANGE_ONE_IN) {
            fetch.source = other_source;
            fetch.remaining.clear();
            fetch.current = Task::Compare(Node::ROOT);
        }
        fetch.send(now, out);
    }

    /// Begins a fetch where this replica requested changes of that one, which is ahead.
    fn begin_fetch(&mut self, now: Time, source: SocketAddr, digest: Digest, table: &Table) {
        let requested = self.request.is_some_and(|request| request.source == source);
        if !requested || self.fetch.is_some() || digest.version <= table.version() {
            return;
        }
        self.request = None;
        self.fetch = Some(Fetch {
            source,
            staged: StagedTable::new(table, digest),
            current: Task::Compare(Node::ROOT),
            remaining: Vec::new(),
            requested_at: now,
            retries: 0,
        });
    }

    /// Sends the next request of the fetch, or installs the staged table once it is complete.
    fn advance(&mut self, now: Time, table: &mut Table, out: &mut Outbox) -> Option<Installed> {
        let mut fetch = self.fetch.take()?;
        if !fetch.remaining.is_empty() || !fetch.staged.is_complete() {
            fetch.request_next(now, out);
            self.fetch = Some(fetch);
            return None;
        }
        let source = fetch.source;
        let version = fetch.staged.target.version;
        let entries = fetch.staged.install(table)?;
        Some(Installed {
            source,
            version,
            entries,
        })
    }
}
