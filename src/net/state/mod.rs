//! What outlives the process, or is shared with another process of the same proxy.

pub mod hot_restart;
pub mod snapshot;
pub mod snapshot_keeper;
