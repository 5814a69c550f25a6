//! Brings a replica that is behind up to date. It requests the changes since its version from another replica's log. If that
//! log doesn't reach back far enough, it compares the two Merkle trees from the root down and fetches the ranges of entries
//! that differ (anti-entropy). Its own table stays in use until the fetched one is complete.

use super::entry::Entry;
use super::error::MessageError;
use super::merkle::{Digest, Node, PositionRange};
use super::message::{Message, Outbox, Outgoing};
use super::staged_table::StagedTable;
use super::table::Table;
use crate::interface::{Micros, Time};
use std::net::SocketAddr;

/// The time after which a request without a reply is repeated.
const REPLY_TIMEOUT: Micros = Micros(300_000);
/// The number of retries of a request after which the fetch is abandoned, because no replica seems to have that state.
const MAX_RETRIES: u32 = 20;
/// The number of retries after which another replica is asked. A single missing reply may just be a lost datagram.
const RETRIES_PER_SOURCE: u32 = 3;

/// The last request for changes from a replica's log.
#[derive(Clone, Copy, Debug)]
struct ChangesRequest {
    source: SocketAddr,
    at: Time,
}

/// One request of a [`Fetch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FetchRequest {
    Compare(Node),
    Fetch(PositionRange),
}

impl FetchRequest {
    /// Returns the request for a node whose hash differs.
    fn for_node(node: Node) -> FetchRequest {
        if node.is_leaf() {
            FetchRequest::Fetch(node.range())
        } else {
            FetchRequest::Compare(node)
        }
    }

    fn message(self) -> Message {
        match self {
            FetchRequest::Compare(node) => Message::CompareNode { node },
            FetchRequest::Fetch(range) => Message::FetchRange { range },
        }
    }
}

/// A table that is being fetched by ranges.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Fetch {
    source: SocketAddr,
    staged: StagedTable,
    /// The request that is waiting for its reply.
    current: FetchRequest,
    /// The requests after the current one, in reverse order.
    remaining: Vec<FetchRequest>,
    requested_at: Time,
    retries: u32,
}

impl Fetch {
    /// Checks that a reply is to the current request, and sets the target to its digest. The target's version never
    /// decreases.
    fn accept_reply(
        &mut self,
        source: SocketAddr,
        digest: Digest,
        request: FetchRequest,
    ) -> Result<(), MessageError> {
        let expected = self.source == source && self.current == request;
        if !expected || digest.version < self.staged.target.version {
            return Err(MessageError::Unsolicited);
        }
        self.staged.target = digest;
        Ok(())
    }

    /// Sends the next request. If none remains, the other replica's table has changed in the meantime, and the comparison
    /// starts again at the root.
    fn request_next(&mut self, now: Time, out: &mut Outbox) {
        self.current = self
            .remaining
            .pop()
            .unwrap_or(FetchRequest::Compare(Node::ROOT));
        self.retries = 0;
        self.send(now, out);
    }

    fn send(&mut self, now: Time, out: &mut Outbox) {
        self.requested_at = now;
        out.push(Outgoing {
            to: self.source,
            message: self.current.message(),
        });
    }
}

/// A reply with the hashes of a node's children.
#[derive(Clone, Debug)]
pub(super) struct NodeHashes {
    pub(super) source: SocketAddr,
    pub(super) digest: Digest,
    pub(super) node: Node,
    pub(super) hashes: Vec<u64>,
}

/// A reply with the entries of a range.
#[derive(Clone, Debug)]
pub(super) struct RangeEntries {
    pub(super) source: SocketAddr,
    pub(super) digest: Digest,
    pub(super) range: PositionRange,
    pub(super) entries: Vec<Entry>,
}

/// The result of installing a fetched table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Installed {
    /// The replica that the table was fetched from.
    pub(super) source: SocketAddr,
    /// The table's new version.
    pub(super) version: u64,
    /// The entries that differ from the previous table.
    pub(super) entries: Vec<Entry>,
}

/// The state of a replica's catch-up.
#[derive(Clone, Debug, Default)]
pub(super) struct CatchUp {
    request: Option<ChangesRequest>,
    fetch: Option<Fetch>,
}

impl CatchUp {
    /// Returns whether a table is being fetched by ranges.
    pub(super) fn is_fetching(&self) -> bool {
        self.fetch.is_some()
    }

    /// Aborts the catch-up and drops the staged table, because the replica's table has another version now.
    pub(super) fn reset(&mut self) {
        *self = CatchUp::default();
    }

    /// Requests the changes after `version` from a replica that is ahead. Only one request is in progress at a time.
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

    /// Handles the hashes of a node's children. They are the reply to a comparison, or to a request for changes that the
    /// other replica's log doesn't have; the latter starts a fetch.
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
        fetch.accept_reply(reply.source, reply.digest, FetchRequest::Compare(node))?;
        let differing = fetch.staged.differing_children(node, &reply.hashes);
        if node == Node::ROOT && differing.is_empty() && !fetch.staged.is_complete() {
            self.fetch = None; // the hashes do not add up to the root hash of the digest
            return Err(MessageError::Unsolicited);
        }
        fetch
            .remaining
            .extend(differing.into_iter().map(FetchRequest::for_node));
        if node == Node::ROOT && table.is_empty() {
            // The own table is empty, so all entries are fetched without a comparison.
            fetch.remaining = vec![FetchRequest::Fetch(PositionRange::ALL)];
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
        let FetchRequest::Fetch(requested) = fetch.current else {
            return Err(MessageError::Unsolicited);
        };
        if range.first != requested.first || range.last > requested.last {
            return Err(MessageError::Unsolicited);
        }
        fetch.accept_reply(reply.source, reply.digest, FetchRequest::Fetch(requested))?;
        fetch.staged.stage(table, range, reply.entries)?;
        if range.last < requested.last {
            fetch.remaining.push(FetchRequest::Fetch(PositionRange {
                first: range.last + 1,
                last: requested.last,
            }));
        }
        Ok(self.advance(now, table, out))
    }

    /// Returns whether the current request of the fetch has waited for its reply for [`REPLY_TIMEOUT`].
    pub(super) fn is_overdue(&self, now: Time) -> bool {
        self.fetch
            .as_ref()
            .is_some_and(|fetch| now - fetch.requested_at >= REPLY_TIMEOUT)
    }

    /// Repeats an overdue request. Every [`RETRIES_PER_SOURCE`] retries the fetch continues with `other_source`: the staged
    /// entries are kept and compared with the table of that replica.
    pub(super) fn retry(&mut self, now: Time, other_source: SocketAddr, out: &mut Outbox) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        fetch.retries += 1;
        if fetch.retries > MAX_RETRIES {
            self.fetch = None;
            return;
        }
        if fetch.retries.is_multiple_of(RETRIES_PER_SOURCE) {
            fetch.source = other_source;
            fetch.remaining.clear();
            fetch.current = FetchRequest::Compare(Node::ROOT);
        }
        fetch.send(now, out);
    }

    /// Starts a fetch, if this replica requested changes from `source` and `source` is ahead.
    fn begin_fetch(&mut self, now: Time, source: SocketAddr, digest: Digest, table: &Table) {
        let requested = self.request.is_some_and(|request| request.source == source);
        if !requested || self.fetch.is_some() || digest.version <= table.version() {
            return;
        }
        self.request = None;
        self.fetch = Some(Fetch {
            source,
            staged: StagedTable::new(table, digest),
            current: FetchRequest::Compare(Node::ROOT),
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
