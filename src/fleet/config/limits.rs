//! Bounds of the replicated configuration. All proxies of a fleet have the same ones, so that what one accepts the others
//! accept too.

/// The most bytes of an entry's name.
pub const MAX_NAME_BYTES: usize = 128;
/// The most bytes of an entry's value.
pub const MAX_VALUE_BYTES: usize = 512;
/// The most entries that one change sets.
pub const MAX_EDITS_PER_CHANGE: usize = 16;
/// The most bytes of the edits of one change together, so that it fits into one datagram.
pub const MAX_CHANGE_BYTES: usize = 960;
/// The most entries in a table, tombstones included.
pub const MAX_ENTRIES: usize = 1 << 18;
/// The most bytes of names and values in a table.
pub const MAX_TABLE_BYTES: usize = 24 << 20;
/// The most submissions that wait at the leader, and at the proxy that sent them; also the most changes that wait for an
/// earlier one.
pub const MAX_QUEUED: usize = 64;
/// The most committed changes in the log that followers catch up from.
pub const MAX_LOG_CHANGES: usize = 4096;
/// The most bytes of the changes in the log.
pub const MAX_LOG_BYTES: usize = 1 << 20;
/// The most answers of a leader, to submissions that it made no change from, that it keeps.
pub const MAX_ANSWERED: usize = 1024;
/// The most applied changes whose ids a replica keeps.
pub const MAX_APPLIED_IDS: usize = 4096;
/// Versions are below this. They are milliseconds since 1970 or little more: this is far in the future, and far from the
/// end of the integer's range.
pub const VERSION_LIMIT: u64 = 1 << 53;
