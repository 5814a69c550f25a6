//! The fleet's replicated configuration: what operators changed since the platform's file, as one chain of changes that
//! every proxy applies. State machines without clock, network or threads.
//!
//! Use a [`Replica`] at each proxy; it holds the [`Table`] and is driven by ticks and messages. The leader, who holds the
//! configuration's lease, [proposes](Proposer) changes to the voters, which [accept](Acceptor) them: it is Multi-Paxos with
//! the lease's token as the ballot and one slot open at a time. Committed changes spread by gossip, and a replica that
//! missed some catches up from another one's log or by anti-entropy over a Merkle tree.
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
//! The modules use each other in one direction, from the top of this list to its end:
//!
//! | module | job |
//! | --- | --- |
//! | `replica` | one proxy's part: drives all below |
//! | `gossip`, `catch_up`, `catch_up_source`, `submit` | one mechanism each: spreading, catching up, serving, queueing |
//! | `applied_changes`, `answered_submissions` | which submissions became changes lately, and what the others were told |
//! | `acceptor`, `proposer` | the two roles of Paxos |
//! | `overrides` | the table's entries over the platform's file |
//! | `staged_table`, `table`, `early_changes` | the state, its fetched successor, and what came too early |
//! | `message`, `batch`, `peers` | messages, their size, and who gets them |
//! | `submission`, `change`, `error` | changes on their way and in the log, and why they are rejected |
//! | `entry`, `merkle`, `limits` | plain data and bounds |

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
