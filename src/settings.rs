//! The settings of an instance to the module's configuration, and the names that go with it: shared by
//! the proxy and the simulator's adapter.

mod change;
mod key;
mod lists;
mod names;
mod numbered;
mod read;
mod sift;

pub use change::Amendment;
pub use lists::{Lists, Reading};
pub use names::{Names, Row};
pub use read::Settings;
pub use sift::{sift, Sink};

use crate::interface::{ClassId, ClassSuccessor, Config, Micros, ValidatedConfig};
use imbl::Vector;
use serde_json::Value;

/// Reads the settings, or says what is wrong first; unknown keys are skipped (see [`Settings::unknown`]).
pub fn read(settings: &Value) -> Result<(Config, Names), String> {
    Settings::of(settings, Reading::default()).config()
}

/// What only a proxy on real sockets needs of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// A connection that is not up by then counts as failed.
    pub connect_timeout: Micros,
    /// Backends close connections that were idle for so long.
    pub conn_idle: Micros,
    /// The longest advice that a client follows.
    pub max_retry_after: Micros,
    /// How long a client waits at most, by class.
    pub deadlines: Vector<Micros>,
}

/// Settings as a whole. A clone shares all tables and costs nothing by their size.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    /// The module's part.
    pub config: ValidatedConfig,
    /// Names for all its numbers.
    pub names: Names,
    /// The sockets' part.
    pub network: Network,
}

impl InForce {
    /// What is in force at the start, or what is wrong first.
    pub fn first(settings: &Settings) -> Result<InForce, String> {
        let (config, names) = settings.config()?;
        let network = settings.network()?;
        Ok(InForce {
            config: config.validated().map_err(|e| e.to_string())?,
            names,
            network,
        })
    }

    /// These settings after `self`. A class or tenant keeps its number; a class whose rules differ gets a new one.
    /// Takes time by the size of all tables: not for where requests wait.
    pub fn change(&self, settings: &Settings) -> Result<Change, String> {
        change::change(settings, self)
    }

    /// The class of that name as it stands in `profiles`, for [`Amendment::SetProfile`]; `None` where there is none.
    pub fn profile(&self, name: &str) -> Option<Value> {
        change::profile(self, name)
    }

    /// The tenant of that name as it stands in `customers`, for [`Amendment::SetCustomer`]; `None` where there is none.
    pub fn customer(&self, name: &str) -> Option<Value> {
        change::customer_entry(self, name)
    }

    /// The settings in force with these entries changed, all or none of them: else every error, each by its key path.
    /// Takes time by what it names, and by how often those were changed before.
    pub fn amend(&self, amendments: &[Amendment]) -> Result<Change, Vec<String>> {
        change::amend(self, amendments)
    }
}

/// Settings that take the place of others while requests are open.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// What is in force from then on.
    pub to: InForce,
    /// Numbers of classes that were in use and are no more.
    pub retired: Vec<ClassId>,
    /// Numbers of classes that were out of use and are in it again.
    pub reinstated: Vec<ClassId>,
    /// New numbers of classes that were there under other rules, each with the old number.
    pub successors: Vec<ClassSuccessor>,
    /// What became of the classes, in words.
    pub told: String,
    /// How many zones and kinds had numbers when these settings were read.
    places: (usize, usize),
}
