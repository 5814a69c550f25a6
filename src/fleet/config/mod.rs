//! The fleet's replicated configuration: the operators' changes on top of the platform's configuration file, as one chain of
//! changes that every proxy applies.
//!
//! Run one [`Replica`] on each proxy. It holds the [`Table`], and the host drives it with ticks and received messages; it
//! has no clock, network or threads. The leader is the proxy that holds the configuration's lease. It [proposes](Proposer)
//! changes to the voters, which [accept](Acceptor) them. The protocol is Multi-Paxos with the lease's token as the ballot
//! and one open slot at a time. Committed changes spread by gossip. A replica that missed changes catches up from another
//! replica's log, or by anti-entropy over a Merkle tree.
//!
//! ```
//! use meadowproxy::fleet::config::{ApplyOutcome, Change, Edit, Key, Kind, Table, Value};
//!
//! let key = Key { kind: Kind::Tenant, name: "acme".into() };
//! let edits = vec![Edit { key, value: Value::Set(b"{}".to_vec()) }];
//! let change = Change { version: 1, previous: 0, id: 7, edits };
//! let mut table = Table::default();
//! assert_eq!(table.apply(&change), Ok(ApplyOutcome::Applied));
//! assert_eq!(table.apply(&change), Ok(ApplyOutcome::AlreadyApplied));
//! ```
//!
//! A module depends only on modules in the same row or further down in this table:
//!
//! | module | responsibility |
//! | --- | --- |
//! | `replica` | one proxy's replica, which drives all modules below |
//! | `applied_changes`, `answered_submissions` | detecting duplicates of submissions that became changes, and of those that did not |
//! | `gossip`, `catch_up`, `catch_up_source`, `submit` | spreading changes, catching up, serving replicas that catch up, queueing submissions |
//! | `acceptor`, `proposer` | the two Paxos roles |
//! | `overrides` | the table's entries that override the platform's file |
//! | `staged_table`, `table`, `early_changes` | a table that is being fetched, the table in use, and changes that arrived out of order |
//! | `message`, `batch`, `peers` | messages, splitting them by size, and selecting their receivers |
//! | `submission`, `change`, `error` | submitted changes, log entries, and errors |
//! | `entry`, `merkle`, `limits` | entries, the Merkle tree, and limits |

mod acceptor;
mod answered_submissions;
mod applied_changes;
mod batch;
mod catch_up;
mod catch_up_source;
mod change;
mod early_changes;
mod entry;
mod error;
mod gossip;
mod limits;
mod merkle;
mod message;
mod overrides;
mod peers;
mod proposer;
mod replica;
mod staged_table;
mod submission;
mod submit;
mod table;

pub use acceptor::{Acceptor, RecoveryReply};
pub use applied_changes::{AppliedChanges, SubmissionStatus};
pub use change::{check_edits, Change};
pub use entry::{Edit, Entry, InvalidEntry, Key, Kind, Value};
pub use error::{MessageError, TableError};
pub use limits::{
    MAX_APPLIED_IDS, MAX_EDITS_PER_CHANGE, MAX_NAME_BYTES, MAX_VALUE_BYTES, VERSION_LIMIT,
};
pub use merkle::{Digest, Node, PositionRange, CHILDREN};
pub use message::{AcceptedChange, AcceptorState, Message, Outbox, Outgoing, PaxosMessage};
pub use overrides::{FileAhead, FileError, Overrides};
pub use peers::Context;
pub use proposer::{Proposal, Proposer, ReplyOutcome};
pub use replica::{Event, Replica, Rules};
pub use submission::{Submission, SubmitError};
pub use table::{ApplyOutcome, Table};
