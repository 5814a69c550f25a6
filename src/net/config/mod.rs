//! The configuration of this process, read at its start and at each reload: a JSON file from the platform, or a TOML
//! file from operators.
//!
//! A [`Source`] names the file and the overrides of the command line. [`NodeConfig::read`] reads it for the start,
//! [`check`] lists its errors, and [`show`] returns it as TOML with all defaults. [`reload`] applies a changed file to
//! the running proxy. [`fleet_overrides`] holds the entries that operators changed for the whole fleet since the file
//! was written.

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
