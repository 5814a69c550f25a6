//! Applies committed changes, forwards them to other replicas, and compares digests with other replicas so that the one that
//! is behind catches up.

use super::{Event, Replica};
use crate::fleet::config::acceptor::Acceptor;
use crate::fleet::config::catch_up::Installed;
use crate::fleet::config::change::Change;
use crate::fleet::config::entry::Entry;
use crate::fleet::config::error::TableError;
use crate::fleet::config::gossip::{self, DigestNeed};
use crate::fleet::config::merkle::Digest;
use crate::fleet::config::message::{Message, Outbox, Outgoing};
use crate::fleet::config::peers::Context;
use crate::fleet::config::proposer::Proposer;
use crate::fleet::config::table::ApplyOutcome;
use crate::interface::Time;
use std::net::SocketAddr;

/// The maximum number of new changes from a catch-up that are forwarded. More than this are too old to be new to other
/// members.
const MAX_FORWARDED: usize = 4;

impl Replica {
    /// Applies changes from another replica and forwards those that were new here.
    pub(super) fn apply_and_forward(
        &mut self,
        context: &Context,
        changes: Vec<Change>,
        push: bool,
        out: &mut Outbox,
    ) -> Result<(), TableError> {
        changes.iter().try_for_each(Change::check)?;
        let mut new = Vec::new();
        for change in changes {
            if self.apply_or_buffer(&change)? == ApplyOutcome::Applied {
                new.push(change);
            }
        }
        // Recent changes from a catch-up may also be new to members that were partitioned together with this proxy.
        if !new.is_empty() && (push || new.len() <= MAX_FORWARDED) {
            let version = self.table.version();
            gossip::push_changes(&new, version, context, &mut self.peers, out);
        }
        Ok(())
    }

    /// Applies a change if it is the next one, and then the buffered changes that follow it. Buffers a change that is early.
    pub(super) fn apply_or_buffer(&mut self, change: &Change) -> Result<ApplyOutcome, TableError> {
        let applied = self.apply(change)?;
        match applied {
            ApplyOutcome::Applied => self.apply_early_changes(),
            // A change that follows an earlier version belongs to another chain. If that chain prevails, anti-entropy
            // fetches it.
            ApplyOutcome::Gap if change.previous > self.table.version() => {
                self.early_changes.insert(change.clone());
            }
            ApplyOutcome::Gap | ApplyOutcome::AlreadyApplied => {}
        }
        Ok(applied)
    }

    fn apply(&mut self, change: &Change) -> Result<ApplyOutcome, TableError> {
        let applied = self.table.apply(change)?;
        if applied == ApplyOutcome::Applied {
            self.applied.record(change.id, change.version);
            self.table_changed(change.version, change.entries());
            self.on_outcome(change.id, Ok(change.version)); // the leader's outcome message may get lost
        }
        Ok(applied)
    }

    fn apply_early_changes(&mut self) {
        while let Some(change) = self.early_changes.remove(self.table.version()) {
            // A change that no longer applies is dropped.
            let _ = self.apply(&change);
        }
        self.early_changes.drop_before(self.table.version());
    }

    /// Reports that the table went to another version, and aborts the catch-up.
    pub(super) fn table_changed(&mut self, version: u64, entries: Vec<Entry>) {
        self.events.push(Event::TableChanged { version, entries });
        self.catch_up.reset(); // a staged table is based on the previous version
    }

    /// Reports a fetched table that was installed, and requests the changes since.
    pub(super) fn on_installed(&mut self, installed: Installed, out: &mut Outbox) {
        let version = installed.version;
        self.applied.forget_ids_up_to(version);
        self.table_changed(version, installed.entries);
        self.apply_early_changes();
        out.push(Outgoing {
            to: installed.source,
            message: Message::ChangesSince { version },
        });
    }

    /// Sends the scheduled retransmissions of changes that this proxy committed as the leader.
    pub(super) fn retransmit_changes(&mut self, now: Time, context: &Context, out: &mut Outbox) {
        while let Some(change) = self.retransmissions.next_due(now) {
            let version = self.table.version();
            gossip::push_changes(&[change], version, context, &mut self.peers, out);
        }
    }

    /// Requests the missing changes from a replica that is ahead.
    pub(super) fn request_changes(
        &mut self,
        now: Time,
        source: SocketAddr,
        their_version: u64,
        out: &mut Outbox,
    ) {
        let version = self.table.version();
        self.catch_up
            .request_changes(now, source, their_version, version, out);
    }

    /// Repeats an overdue request of a fetch.
    pub(super) fn retry_catch_up(&mut self, now: Time, context: &Context, out: &mut Outbox) {
        if !self.catch_up.is_overdue(now) {
            return;
        }
        if let Some(source) = self.peers.choose_nearby(context) {
            self.catch_up.retry(now, source, out);
        }
    }

    /// Compares another replica's digest with this table's. Requests changes if this replica is behind, and sends them if
    /// the other one is.
    pub(super) fn on_digest(
        &mut self,
        now: Time,
        from: SocketAddr,
        theirs: Digest,
        sender_is_new: bool,
        out: &mut Outbox,
    ) {
        let own = self.table.digest();
        self.newest_version = self.newest_version.max(theirs.version);
        if theirs.version == own.version && theirs.root != own.root {
            self.events.push(Event::Diverged(from));
        }
        if !sender_is_new && theirs.version <= own.version {
            self.is_new = false; // this table has all changes of a replica that is up to date
        }
        if theirs.version > own.version {
            self.request_changes(now, from, theirs.version, out);
        } else if theirs.version < own.version {
            self.catch_up_source
                .send_changes(now, from, &self.table, theirs.version, out);
        }
    }

    /// Replies with this replica's digest.
    pub(super) fn reply_digest(&self, to: SocketAddr, out: &mut Outbox) {
        let message = Message::Digest {
            digest: self.table.digest(),
            is_new: self.is_new,
            wants_reply: false,
        };
        out.push(Outgoing { to, message });
    }

    /// Sends the digest to one other proxy if it is due. A new replica requests a reply.
    pub(super) fn send_digest(&mut self, now: Time, context: &Context, out: &mut Outbox) {
        if !self.digests.is_due(now) {
            return;
        }
        let voter_waits = self
            .acceptor
            .as_ref()
            .and_then(Acceptor::catch_up_target)
            .is_some();
        let leader_waits = self
            .proposer
            .as_ref()
            .and_then(Proposer::catch_up_target)
            .is_some();
        let need = DigestNeed {
            is_catching_up: voter_waits || leader_waits,
            is_new: self.is_new,
            voters: &self.rules.other_voters(),
        };
        let receiver = self
            .digests
            .next_receiver(now, need, context, &mut self.peers);
        if let Some(to) = receiver {
            let message = Message::Digest {
                digest: self.table.digest(),
                is_new: self.is_new,
                wants_reply: self.is_new,
            };
            out.push(Outgoing { to, message });
        }
    }
}
