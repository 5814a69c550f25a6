//! One proxy's replica of the configuration: its table, its roles as a voter and as the leader, and the mechanisms that keep
//! all replicas equal. Create one at the start of the proxy. Call [`Replica::tick`] about every tenth of a second and
//! [`Replica::handle`] for each message, send the messages that they put into `out`, and process [`Replica::take_events`].
//!
//! Each submodule implements one mechanism: `consensus` drives Paxos, `spreading` applies, forwards and exchanges committed
//! changes, and `submissions` forwards operators' changes to the leader.

mod consensus;
mod spreading;
mod submissions;

use super::acceptor::Acceptor;
use super::answered_submissions::AnsweredSubmissions;
use super::applied_changes::AppliedChanges;
use super::catch_up::{CatchUp, NodeHashes, RangeEntries};
use super::catch_up_source::CatchUpSource;
use super::early_changes::EarlyChanges;
use super::entry::Entry;
use super::error::{MessageError, TableError};
use super::gossip::{DigestSchedule, Retransmissions};
use super::limits::VERSION_LIMIT;
use super::merkle::PositionRange;
use super::message::{Message, Outbox};
use super::peers::{Context, PeerSampler};
use super::proposer::Proposer;
use super::submission::SubmitError;
use super::submit::{PendingSubmissions, SubmissionQueue};
use super::table::Table;

use crate::fleet::lease::{self, Token};
use crate::interface::Time;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;

/// The parameters that all proxies share, and the address of this proxy.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The rules of the leases: the term and the number of voters.
    pub lease: lease::Rules,
    /// The addresses of the voters, as many as the lease rules say.
    pub voters: Vec<SocketAddr>,
    /// The address of this proxy.
    pub own: SocketAddr,
}

impl Rules {
    fn voter_index(&self, address: SocketAddr) -> Option<usize> {
        self.voters.iter().position(|voter| *voter == address)
    }

    fn other_voters(&self) -> Vec<SocketAddr> {
        let others = self.voters.iter().filter(|voter| **voter != self.own);
        others.copied().collect()
    }
}

/// An event that the host has to process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The table went to another version.
    TableChanged {
        /// The table's version.
        version: u64,
        /// The entries that changed together.
        entries: Vec<Entry>,
    },
    /// The outcome of a submission of this proxy is known.
    Outcome {
        /// The submission's id.
        id: u64,
        /// The version of the change, or why the submission was rejected.
        result: Result<u64, SubmitError>,
    },
    /// A higher token was seen, and this proxy stopped leading. The host has to report the token to the lease's candidate.
    Superseded(Token),
    /// The replica at this address has different content at the same version, which must never happen.
    Diverged(SocketAddr),
}

/// One proxy's replica of the configuration.
#[derive(Clone, Debug)]
pub struct Replica {
    rules: Rules,
    table: Table,
    applied: AppliedChanges,
    /// The voter role, if this proxy is a voter.
    acceptor: Option<Acceptor>,
    /// The leader role, while this proxy is the leader.
    proposer: Option<Proposer>,
    /// The last token under which this proxy proposed. It is never used for another proposer.
    last_token: Token,
    queue: SubmissionQueue,
    answered: AnsweredSubmissions,
    pending: PendingSubmissions,
    early_changes: EarlyChanges,
    catch_up: CatchUp,
    catch_up_source: CatchUpSource,
    retransmissions: Retransmissions,
    digests: DigestSchedule,
    newest_version: u64,
    /// Whether the replica has just started, and no other one has confirmed that it is up to date.
    is_new: bool,
    peers: PeerSampler,
    events: Vec<Event>,
}

impl Replica {
    /// Creates a replica with an empty table. The host draws `seed` at random at each start.
    pub fn new(rules: Rules, seed: u64, now: Time) -> Replica {
        let mut random = Pcg32::seed_from_u64(seed);
        let acceptor = rules
            .voter_index(rules.own)
            .map(|index| Acceptor::new(rules.lease, index, random.next_u64(), now));
        Replica {
            rules,
            table: Table::default(),
            applied: AppliedChanges::new(now),
            acceptor,
            proposer: None,
            last_token: Token::default(),
            queue: SubmissionQueue::default(),
            answered: AnsweredSubmissions::default(),
            pending: PendingSubmissions::default(),
            early_changes: EarlyChanges::default(),
            catch_up: CatchUp::default(),
            catch_up_source: CatchUpSource::new(now),
            retransmissions: Retransmissions::default(),
            digests: DigestSchedule::new(now),
            newest_version: 0,
            is_new: true,
            peers: PeerSampler::new(random),
            events: Vec::new(),
        }
    }

    /// Installs the table from the snapshot that an earlier process of this proxy wrote, unless the current table has the
    /// same or a later version. A snapshot doesn't contain a voter's promises, because it may be older than they are.
    pub fn restore(&mut self, table: Table) {
        if self.table.version() < table.version() {
            let entries = table
                .range(PositionRange::ALL)
                .map(|(_, entry)| entry.clone())
                .collect();
            self.table = table;
            self.applied.forget_ids_up_to(self.table.version());
            self.table_changed(self.table.version(), entries);
        }
    }

    /// Returns the table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the highest version that this replica knows of, which is above its table's version while it is behind.
    pub fn newest_version(&self) -> u64 {
        self.newest_version.max(self.table.version())
    }

    /// Returns whether no other replica has confirmed since the start that this one is up to date.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Treats this replica as up to date without confirmation, for a host that found no other replica or got no reply for
    /// long.
    pub fn assume_up_to_date(&mut self) {
        self.is_new = false;
    }

    /// Returns whether this proxy votes, or `None` if it is not a voter.
    pub fn is_voting(&self) -> Option<bool> {
        self.acceptor.as_ref().map(Acceptor::is_voting)
    }

    /// Returns the voters that have not replied to this proxy's recovery request.
    pub fn unanswered_voters(&self) -> Vec<SocketAddr> {
        let unanswered = self.acceptor.as_ref().map(Acceptor::unanswered_voters);
        unanswered
            .unwrap_or_default()
            .into_iter()
            .filter_map(|voter| self.rules.voters.get(voter).copied())
            .collect()
    }

    /// Returns the version of the change that this proxy, as the leader, has proposed and that has no majority yet.
    pub fn proposed_version(&self) -> Option<u64> {
        self.proposer
            .as_ref()
            .and_then(Proposer::proposed)
            .map(|change| change.version)
    }

    /// Returns the version of the change that this proxy, as a voter, accepted and that it doesn't know to be committed.
    pub fn accepted_version(&self) -> Option<u64> {
        self.acceptor.as_ref().and_then(Acceptor::accepted_version)
    }

    /// Returns whether this replica is fetching a table by ranges.
    pub fn is_fetching(&self) -> bool {
        self.catch_up.is_fetching()
    }

    /// Returns the events since the last call, in order.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Processes everything that is due at `now`. Call it every tenth of a second or more often, and when this proxy gains
    /// or loses the lease.
    pub fn tick(&mut self, now: Time, context: &Context, out: &mut Outbox) {
        self.applied.set_time(now);
        self.recover_voter(now, context, out);
        self.update_leadership(now, context, out);
        self.resend_submissions(now, context, out);
        self.retransmit_changes(now, context, out);
        self.send_digest(now, context, out);
        self.retry_catch_up(now, context, out);
    }

    /// Handles another proxy's message.
    ///
    /// # Errors
    /// The message is rejected, and the replica is unchanged.
    pub fn handle(
        &mut self,
        now: Time,
        context: &Context,
        from: SocketAddr,
        message: Message,
        out: &mut Outbox,
    ) -> Result<(), MessageError> {
        message.check()?;
        self.applied.set_time(now);
        match message {
            Message::Paxos(message) => self.on_paxos(now, context, from, message, out)?,
            Message::Submit(submission) => {
                if context.lease.is_some() {
                    self.enqueue(now, context, from, submission, out);
                }
            }
            Message::Outcome { id, result } => self.on_outcome(id, result),
            Message::Changes {
                changes,
                version,
                push,
            } => {
                check_version(version)?;
                self.newest_version = self.newest_version.max(version);
                self.apply_and_forward(context, changes, push, out)?;
                self.request_changes(now, from, version, out);
            }
            Message::Digest {
                digest,
                is_new,
                wants_reply,
            } => {
                check_version(digest.version)?;
                self.on_digest(now, from, digest, is_new, out);
                if wants_reply {
                    self.reply_digest(from, out);
                }
            }
            catch_up => self.on_catch_up(now, from, catch_up, out)?,
        }
        Ok(())
    }

    /// Handles the requests of replicas that catch up, and the replies to this replica's requests.
    fn on_catch_up(
        &mut self,
        now: Time,
        from: SocketAddr,
        message: Message,
        out: &mut Outbox,
    ) -> Result<(), MessageError> {
        let table = &mut self.table;
        let installed = match message {
            Message::ChangesSince { version } => {
                self.catch_up_source
                    .send_changes(now, from, table, version, out);
                None
            }
            Message::CompareNode { node } => {
                self.catch_up_source
                    .send_hashes(now, from, table, node, out);
                None
            }
            Message::FetchRange { range } => {
                self.catch_up_source
                    .send_range(now, from, table, range, out);
                None
            }
            Message::NodeHashes {
                digest,
                node,
                hashes,
            } => {
                let reply = NodeHashes {
                    source: from,
                    digest,
                    node,
                    hashes,
                };
                self.catch_up.on_node_hashes(now, &reply, table, out)?
            }
            Message::RangeEntries {
                digest,
                range,
                entries,
            } => {
                let reply = RangeEntries {
                    source: from,
                    digest,
                    range,
                    entries,
                };
                self.catch_up.on_range_entries(now, reply, table, out)?
            }
            _ => None, // handled by the caller
        };
        if let Some(installed) = installed {
            self.on_installed(installed, out);
        }
        Ok(())
    }
}

fn check_version(version: u64) -> Result<(), TableError> {
    if version < VERSION_LIMIT {
        Ok(())
    } else {
        Err(TableError::InvalidVersion(version))
    }
}
