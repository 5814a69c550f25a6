//! What the fleet's configuration changes in this proxy's settings: the entries that operators set since the file, over
//! what the file says.

use meadowproxy::fleet::config::{Edit, Entry, FileRefused, Key, Kind, Overrides, Value};
use meadowproxy::settings::{Amendment, Change, InForce, SettingsError};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::Notify;
use tracing::warn;

/// The newest version that was heard of, 0 until somebody told: set by the duties' workers.
pub type Newest = Arc<AtomicU64>;

/// The entries, and which of them wait to be put in force.
pub struct Overlay {
    overrides: RefCell<Overrides>,
    fresh: RefCell<BTreeMap<Key, Value>>,
    /// The version with all of them, and the one in force.
    told: Cell<u64>,
    taken: Cell<u64>,
    /// What the file says, and what is in force: with entries over it.
    file: RefCell<InForce>,
    in_force: RefCell<InForce>,
    newest: Newest,
    news: Notify,
}

/// What a file is read with: the entries, and the version that has them all.
pub struct Over {
    pub overrides: Overrides,
    pub version: u64,
    newest: Option<u64>,
}

impl Over {
    /// Whether a file that says that it contains the changes up to that one can be taken.
    pub fn check(&self, file: u64) -> Result<(), FileRefused> {
        self.overrides.check(file, self.newest)
    }
}

impl Overlay {
    /// None, over the settings of a file that contains the changes up to `version`.
    pub fn new(file: InForce, version: u64) -> Overlay {
        let (fresh, told, taken, newest) = Default::default();
        let (overrides, in_force) = (
            RefCell::new(Overrides::new(version)),
            RefCell::new(file.clone()),
        );
        let (file, news) = (RefCell::new(file), Notify::new());
        Overlay {
            overrides,
            fresh,
            told,
            taken,
            file,
            in_force,
            newest,
            news,
        }
    }

    /// Where the newest version that was heard of is told.
    pub fn newest(&self) -> Newest {
        self.newest.clone()
    }

    fn heard(&self) -> Option<u64> {
        Some(self.newest.load(Ordering::Relaxed)).filter(|newest| *newest > 0)
    }

    /// These entries changed together; that is the configuration's version now.
    pub fn add(&self, version: u64, entries: Vec<Entry>) {
        let over = self.overrides.borrow_mut().take(version, entries);
        self.fresh.borrow_mut().extend(over);
        self.told.set(version);
        self.hear();
        self.news.notify_one();
    }

    /// Looks whether the file in force contains what it says, as soon as somebody told of the newest version.
    pub fn hear(&self) {
        let heard = self
            .heard()
            .map_or(Ok(()), |newest| self.overrides.borrow_mut().heard(newest));
        if let Err((why, over)) = heard {
            warn!(
                event = "config_file_ahead",
                "the file counts as one that contains no change: {why}"
            );
            self.fresh.borrow_mut().extend(over);
            self.news.notify_one();
        }
    }

    /// Until entries wait to be put in force.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// What the next file is read with. Shares all entries.
    pub fn over(&self) -> Over {
        let (overrides, version) = (self.overrides.borrow().clone(), self.told.get());
        Over {
            overrides,
            version,
            newest: self.heard(),
        }
    }

    /// The version to be put in force, and the entries that wait for it; they do so until [`Overlay::took`].
    ///
    /// # Errors
    /// The file in force lacks changes that the fleet keeps only in files.
    pub fn fresh(&self) -> Result<(u64, Vec<(Key, Value)>), FileRefused> {
        let overrides = self.overrides.borrow();
        match overrides.lacks() {
            Some(contained) => Err(FileRefused::Old {
                version: overrides.file(),
                contained,
            }),
            None => {
                let fresh = self.fresh.borrow();
                Ok((
                    self.told.get(),
                    fresh.iter().map(|(k, v)| (k.clone(), v.clone())).collect(),
                ))
            }
        }
    }

    /// A file that was checked is in force, with none of the entries yet.
    pub fn took_file(&self, file: InForce, version: u64) {
        let mut overrides = self.overrides.borrow_mut();
        overrides.read(version, self.heard());
        self.fresh
            .borrow_mut()
            .retain(|key, _| overrides.is_over(key));
        *self.file.borrow_mut() = file;
    }

    /// Settings with all entries of that version are in force; `None`: not all of any later one than before.
    pub fn took(&self, version: Option<u64>, in_force: InForce) {
        if let Some(version) = version {
            self.taken.set(version);
            if version == self.told.get() {
                self.fresh.borrow_mut().clear();
            }
        }
        *self.in_force.borrow_mut() = in_force;
    }

    /// The version in force.
    pub fn version(&self) -> u64 {
        self.taken.get()
    }

    /// The changes up to this one are in the file in force, as that says.
    pub fn file_version(&self) -> u64 {
        self.overrides.borrow().file()
    }

    /// What the file in force says.
    pub fn file(&self) -> InForce {
        self.file.borrow().clone()
    }

    /// Whether the fleet changed that entry, as far as this proxy knows.
    pub fn is_changed(&self, key: &Key) -> bool {
        self.overrides.borrow().is_changed(key)
    }

    /// Whether that entry goes over the file in force.
    pub fn is_over(&self, key: &Key) -> bool {
        self.overrides.borrow().is_over(key)
    }

    /// All that is wrong with a change of the settings in force, each by its key path.
    pub fn check(&self, edits: &[Edit]) -> Vec<String> {
        let (in_force, file) = (self.in_force.borrow(), self.file.borrow());
        let edits = edits.iter().map(|edit| (&edit.key, &edit.value));
        in_force
            .amend(&amendments(&in_force, &file, edits))
            .map_err(texts)
            .err()
            .unwrap_or_default()
    }
}

/// The entries as amendments of these settings, where `file` has what the file says. What is to be removed and is not there needs none.
fn amendments<'a>(
    base: &InForce,
    file: &InForce,
    entries: impl Iterator<Item = (&'a Key, &'a Value)>,
) -> Vec<Amendment> {
    let route = |name: &String, entry: Option<serde_json::Value>| match entry {
        Some(entry) => Some(Amendment::SetProfile(entry)),
        None => base
            .names
            .class(name)
            .map(|_| Amendment::RemoveProfile(name.clone())),
    };
    let tenant = |name: &String, entry: Option<serde_json::Value>| match entry {
        Some(entry) => Some(Amendment::SetCustomer(entry)),
        None => base
            .names
            .tenant(name)
            .map(|_| Amendment::RemoveCustomer(name.clone())),
    };
    let amendment = |(Key { kind, name }, value): (&Key, &Value)| {
        let read = |bytes: &[u8]| serde_json::from_slice(bytes).unwrap_or_default();
        match (kind, value) {
            (Kind::Route, Value::Set(bytes)) => route(name, Some(read(bytes))),
            (Kind::Route, Value::Removed) => route(name, None),
            (Kind::Route, Value::AsFile) => route(name, file.profile(name)),
            (Kind::Tenant, Value::Set(bytes)) => tenant(name, Some(read(bytes))),
            (Kind::Tenant, Value::Removed) => tenant(name, None),
            (Kind::Tenant, Value::AsFile) => tenant(name, file.customer(name)),
            (Kind::File, _) => None,
        }
    };
    entries.filter_map(amendment).collect()
}

/// These settings with those entries, all or none; `file` has what the file says. Takes time by the entries.
pub fn amended(
    base: &InForce,
    file: &InForce,
    entries: &[(Key, Value)],
) -> Result<Change, Vec<String>> {
    base.amend(&amendments(
        base,
        file,
        entries.iter().map(|(key, value)| (key, value)),
    ))
    .map_err(texts)
}

fn texts(errors: Vec<SettingsError>) -> Vec<String> {
    errors.iter().map(ToString::to_string).collect()
}

/// Settings from a file that contains the changes up to `version` with all later entries that fit it over it, and whether all do; one
/// that does not is told and left out. `None` where there is none. Takes time by the entries.
pub fn over(file: &InForce, version: u64, overrides: &Overrides) -> (Option<Change>, bool) {
    let all: Vec<(Key, Value)> = overrides
        .over(version)
        .map(|(k, v)| (k.clone(), v.clone()))
        .collect();
    if all.is_empty() {
        return (None, true);
    }
    if let Ok(change) = amended(file, file, &all) {
        return (Some(change), true);
    }
    let fits = |entry: &(Key, Value)| match amended(file, file, std::slice::from_ref(entry)) {
        Ok(_) => true,
        Err(why) => {
            warn!(event = "config_unfit", entry = %entry.0, "an entry does not fit the file: {}", why.join("; "));
            false
        }
    };
    let all: Vec<(Key, Value)> = all.into_iter().filter(fits).collect();
    (amended(file, file, &all).ok(), false)
}
