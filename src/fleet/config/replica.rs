//! One proxy's part in the replicated configuration: its table, the roles of a voter and of the leader, and the mechanisms
//! that keep all replicas equal. Create one at the start, call [`Replica::tick`] about every tenth of a second and
//! [`Replica::handle`] for each message, send what they put out, and carry out [`Replica::take_events`].
//!
//! The submodules have one mechanism each: `consensus` drives Paxos, `spreading` applies, passes on and exchanges committed
//! changes, `submissions` takes operators' changes to the leader.

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
use super::gossip::{DigestSchedule, Repeats};
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

/// What all proxies agree on, and which one this is.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The leases': terms and the number of voters.
    pub lease: lease::Rules,
    /// The voters, as many as the leases' rules say.
    pub voters: Vec<SocketAddr>,
    /// This proxy.
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

/// What the host has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The table is at another version.
    TableChanged {
        /// The version.
        version: u64,
        /// The entries that changed together.
        entries: Vec<Entry>,
    },
    /// What became of a submission of this proxy.
    Outcome {
        /// The submission's id.
        id: u64,
        /// The change's version, or why it is rejected.
        result: Result<u64, SubmitError>,
    },
    /// Another proxy is the leader under a higher token, which the lease has to learn.
    Superseded(Token),
    /// Another replica has other content at the same version, which must not be.
    Diverged(SocketAddr),
}

/// One proxy's replica of the configuration.
#[derive(Clone, Debug)]
pub struct Replica {
    rules: Rules,
    table: Table,
    applied: AppliedChanges,
    /// The role of a voter, where this proxy is one.
    acceptor: Option<Acceptor>,
    /// The role of the leader, while this proxy is it.
    proposer: Option<Proposer>,
    /// The last token that it proposed under, which is never used again.
    last_token: Token,
    queue: SubmissionQueue,
    answered: AnsweredSubmissions,
    pending: PendingSubmissions,
    early_changes: EarlyChanges,
    catch_up: CatchUp,
    catch_up_source: CatchUpSource,
    repeats: Repeats,
    digests: DigestSchedule,
    newest_version: u64,
    /// It has just started, and no other replica confirmed yet that it is up to date.
    is_new: bool,
    peers: PeerSampler,
    events: Vec<Event>,
}

impl Replica {
    /// A replica with an empty table. `seed` is drawn at random by the host at each start.
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
            repeats: Repeats::default(),
            digests: DigestSchedule::new(now),
            newest_version: 0,
            is_new: true,
            peers: PeerSampler::new(random),
            events: Vec::new(),
        }
    }

    /// Starts from the snapshot that an earlier process of this proxy wrote, unless the table is later by now: it never goes
    /// back. The promises of a voter are not in a snapshot, as it may be older than them.
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

    /// The table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The highest version that this replica knows of: above its table's while it is behind.
    pub fn newest_version(&self) -> u64 {
        self.newest_version.max(self.table.version())
    }

    /// Whether no other replica has confirmed yet, since the start, that this one is up to date.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Takes part though no other replica confirmed that this one is up to date: there is none, or none answered for long.
    pub fn assume_up_to_date(&mut self) {
        self.is_new = false;
    }

    /// Whether it is a voter that votes; `None` where it is no voter.
    pub fn is_voting(&self) -> Option<bool> {
        self.acceptor.as_ref().map(Acceptor::is_voting)
    }

    /// The voters whose reply a recovering voter waits for.
    pub fn unanswered_voters(&self) -> Vec<SocketAddr> {
        let unanswered = self.acceptor.as_ref().map(Acceptor::unanswered_voters);
        unanswered
            .unwrap_or_default()
            .into_iter()
            .filter_map(|voter| self.rules.voters.get(voter).copied())
            .collect()
    }

    /// The version of the change that this proxy, as the leader, waits for a majority with.
    pub fn proposed_version(&self) -> Option<u64> {
        self.proposer
            .as_ref()
            .and_then(Proposer::proposed)
            .map(|change| change.version)
    }

    /// The version of the change that this proxy, as a voter, accepted and does not know to be committed.
    pub fn accepted_version(&self) -> Option<u64> {
        self.acceptor.as_ref().and_then(Acceptor::accepted_version)
    }

    /// Whether this replica fetches the table by ranges.
    pub fn is_fetching(&self) -> bool {
        self.catch_up.is_fetching()
    }

    /// What happened since the last call, in order.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Lets time pass. Call it every tenth of a second or more often, and when this proxy gains or loses the lease.
    pub fn tick(&mut self, now: Time, context: &Context, out: &mut Outbox) {
        self.applied.set_time(now);
        self.recover_voter(now, context, out);
        self.lead(now, context, out);
        self.resend_submissions(now, context, out);
        self.repeat_changes(now, context, out);
        self.send_digest(now, context, out);
        self.retry_catch_up(now, context, out);
    }

    /// Handles another proxy's message.
    ///
    /// # Errors
    /// Why it is rejected; it changed nothing.
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
                self.apply_and_pass_on(context, changes, push, out)?;
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

    /// Handles the requests and the replies of replicas that catch up.
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
