//! Limits of the replicated configuration. They must be the same on all proxies of a fleet, so that a change that one proxy
//! accepts is accepted by all.

/// The longest name of an entry, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// The longest value of an entry, in bytes.
pub const MAX_VALUE_BYTES: usize = 512;
/// The maximum number of entries that one change sets.
pub const MAX_EDITS_PER_CHANGE: usize = 16;
/// The maximum number of bytes that the edits of one change have together, so that a change fits into one datagram.
pub const MAX_CHANGE_BYTES: usize = 960;
/// The maximum number of entries in a table, tombstones included.
pub const MAX_ENTRIES: usize = 1 << 18;
/// The maximum total size of the edits in a table, in bytes.
pub const MAX_TABLE_BYTES: usize = 24 << 20;
/// The maximum number of submissions that wait at the leader, or at the proxy that received them from operators, and of
/// buffered changes that wait for an earlier one.
pub const MAX_QUEUED: usize = 64;
/// The maximum number of changes in the log of committed changes that other replicas catch up from.
pub const MAX_LOG_CHANGES: usize = 4096;
/// The maximum total size of the changes in the log, in bytes.
pub const MAX_LOG_BYTES: usize = 1 << 20;
/// The maximum number of answers that a leader keeps for submissions that led to no change.
pub const MAX_ANSWERED_SUBMISSIONS: usize = 1024;
/// The maximum number of ids of applied changes that a replica keeps.
pub const MAX_APPLIED_IDS: usize = 4096;
/// The exclusive upper limit of versions. Versions are at most slightly above the time in milliseconds since 1970, so the
/// limit is far in the future, and still far below the integer's maximum.
pub const VERSION_LIMIT: u64 = 1 << 53;
