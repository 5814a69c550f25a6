//! From settings, as the platform and operators write them, to the configuration of the decisions and back.
//!
//! [`Settings`] are what was read, [`ActiveSettings`] what follows from them, and a [`SettingsChange`] takes settings in force to
//! others while requests are open: as a whole ([`ActiveSettings::change`]) or entry by entry ([`ActiveSettings::amend`]). The proxy
//! and the simulator's adapter share all of it. One module uses another only downwards in this order:
//! `successor`, `amendment`; `document`; `lists`; `replacement`; `draft`; `active`; `entries`, `names`;
//! `list_stream`; `field`, `name_table`; `error`.

mod active;
mod amendment;
mod document;
mod draft;
mod entries;
mod error;
mod field;
mod list_stream;
mod lists;
mod name_table;
mod names;
mod replacement;
mod successor;

pub use active::{ActiveSettings, NetworkSettings, SettingsChange};
pub use amendment::Amendment;
pub use document::Settings;
pub use error::SettingsError;
pub use list_stream::{extract_lists, ListSink};
pub use lists::{LongLists, ReadOptions};
pub use names::{EndpointRow, Names};

use crate::interface::Config;
use serde_json::Value;

/// Reads settings, or returns their first error. Keys that nothing reads are skipped, see [`Settings::unknown`].
pub fn read(settings: &Value) -> Result<(Config, Names), SettingsError> {
    Settings::of(settings, ReadOptions::default()).config()
}
