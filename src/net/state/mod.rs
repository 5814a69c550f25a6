//! State that outlives the process, or that two processes of one proxy share during a hot restart.
//!
//! - [`snapshot`]: the file format of the proxy's learned state, with its validation.
//! - [`snapshot_writer`]: the thread that writes snapshots without blocking the event loop.
//! - [`snapshot_keeper`]: restores the snapshot at the start and writes new ones while the proxy runs.
//! - [`hot_restart`]: the inherited listening socket, and presence files by which two processes detect each other.

pub mod hot_restart;
pub mod snapshot;
pub mod snapshot_keeper;
pub mod snapshot_writer;
