//! What this process is told: as JSON by the platform or as TOML by operators, at its start and at each reload.
//!
//! A [`Source`] names the file, [`NodeConfig::read`] reads it, [`check`] lists its errors and [`show`] prints what is in
//! force. [`reload`] puts a file that was read again in force, [`fleet_overrides`] the entries that operators set since.

mod error;
mod file;
pub mod fleet_overrides;
mod node;
pub mod reload;
mod sections;
mod source;
mod text_reader;

pub use error::NodeConfigError;
pub use file::show;
pub use node::{check, NodeConfig, ReloadedConfig};
pub use sections::{CoordinationSection, GossipSection, SnapshotSection};
pub use source::{Override, Source};

#[cfg(test)]
mod stored_formats;
