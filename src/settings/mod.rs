//! From settings, as the platform and operators write them, to the configuration of the decisions and back.
//!
//! [`Settings`] are what was read, [`ActiveSettings`] what follows from them, and a [`SettingsChange`] takes settings in force to
//! others while requests are open: as a whole ([`ActiveSettings::change_to`]) or entry by entry ([`ActiveSettings::change_entries`]). The proxy
//! and the simulator's adapter share all of it. One module uses another only downwards in this order:
//! `successor`, `amendment`; `document`; `lists`; `replacement`; `draft`; `active`; `entries`, `names`;
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

/// Reads settings, or returns their first error. Keys that nothing reads are skipped, see [`Settings::unknown_paths`].
pub fn read(settings: &Value) -> Result<(Config, Names), SettingsError> {
    Settings::from_value(settings, ReadOptions::default()).config()
}
