//! Converts settings, as the platform and operators write them, to the load balancer's [`Config`], and single classes
//! and tenants back to JSON. The proxy and the simulator's adapter both use this module.
//!
//! [`Settings`] holds a settings document that was read, [`ActiveSettings`] the configuration built from it. A
//! [`SettingsChange`] replaces the active settings while requests are open: all of them
//! ([`ActiveSettings::change_to`]) or single entries ([`ActiveSettings::change_entries`]).
//!
//! A submodule depends only on those listed after it:
//! `full_change`, `entry_change`; `document`; `lists`; `replacement`; `draft`; `active`; `entries`, `names`;
//! `list_stream`; `field`, `name_table`; `error`.

mod active;
mod document;
mod draft;
mod entries;
mod entry_change;
mod error;
mod field;
mod full_change;
mod list_stream;
mod lists;
mod name_table;
mod names;
mod replacement;

pub use active::{ActiveSettings, NetworkSettings, SettingsChange};
pub use document::Settings;
pub use entry_change::EntryChange;
pub use error::SettingsError;
pub use list_stream::{extract_lists, ListSink};
pub use lists::{LongLists, ReadOptions};
pub use names::{EndpointRow, Names};

use crate::interface::Config;
use serde_json::Value;

/// Reads a settings document, or returns its first error. Unknown keys are ignored, see
/// [`Settings::unknown_paths`].
pub fn read(settings: &Value) -> Result<(Config, Names), SettingsError> {
    Settings::from_value(settings, ReadOptions::default()).config()
}
