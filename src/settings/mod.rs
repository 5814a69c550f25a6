//! From settings, as the platform and operators write them, to the configuration of the decisions and back.
//!
//! [`Settings`] are what was read, [`InForce`] what follows from them, and a [`Change`] takes settings in force to
//! others while requests are open: as a whole ([`InForce::change`]) or entry by entry ([`InForce::amend`]). The proxy
//! and the simulator's adapter share all of it. One module uses another only downwards in this order:
//! `successor`, `amendment`; `document`; `lists`; `replacement`; `draft`; `active`; `entries`, `names`;
//! `field`, `name_table`; `error`.

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

pub use active::{Change, InForce, Network};
pub use amendment::Amendment;
pub use document::Settings;
pub use error::SettingsError;
pub use list_stream::{extract_lists, ListSink};
pub use lists::{Lists, Reading};
pub use names::{Names, Row};

use crate::interface::Config;
use serde_json::Value;

/// Reads settings, or returns their first error. Keys that nothing reads are skipped, see [`Settings::unknown`].
pub fn read(settings: &Value) -> Result<(Config, Names), SettingsError> {
    Settings::of(settings, Reading::default()).config()
}
