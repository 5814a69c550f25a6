//! What the fleet's configuration changes in this proxy's settings: the entries that operators set since the file, over
//! what the file says. They win by name, whichever file is read.

use imbl::OrdMap;
use shaletide::fleet::config::{Edit, Key, Kind, Value};
use shaletide::settings::{Amendment, Change, InForce};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use tokio::sync::Notify;
use tracing::warn;

/// Entries by their keys; a clone shares all.
pub type Entries = OrdMap<Key, Value>;

/// The entries, and which of them wait to be put in force.
pub struct Overlay {
    entries: RefCell<Entries>,
    fresh: RefCell<BTreeMap<Key, Value>>,
    /// The version with all of them, and the one in force.
    told: Cell<u64>,
    taken: Cell<u64>,
    in_force: RefCell<InForce>,
    news: Notify,
}

impl Overlay {
    /// None, over these settings.
    pub fn new(in_force: InForce) -> Overlay {
        let (entries, fresh, told, taken) = Default::default();
        Overlay { entries, fresh, told, taken, in_force: RefCell::new(in_force), news: Notify::new() }
    }

    /// These entries changed together; that is the configuration's version now.
    pub fn add(&self, version: u64, edits: Vec<Edit>) {
        let (mut entries, mut fresh) = (self.entries.borrow_mut(), self.fresh.borrow_mut());
        for Edit { key, value } in edits {
            match value {
                // What the file says of it is not kept: the next reading brings it.
                Value::AsFile => drop(entries.remove(&key)),
                value => {
                    entries.insert(key.clone(), value.clone());
                    fresh.insert(key, value);
                }
            }
        }
        self.told.set(version);
        self.news.notify_one();
    }

    /// Until entries wait to be put in force.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// All entries.
    pub fn entries(&self) -> Entries {
        self.entries.borrow().clone()
    }

    /// The version to be put in force, and the entries that wait for it; they do so until [`Overlay::took`].
    pub fn fresh(&self) -> (u64, Vec<(Key, Value)>) {
        (self.told.get(), self.fresh.borrow().iter().map(|(k, v)| (k.clone(), v.clone())).collect())
    }

    /// Settings with all entries of that version are in force; `None`: with those that were before.
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

    /// All that is wrong with a change of the settings in force, each by its key path.
    pub fn check(&self, edits: &[Edit]) -> Vec<String> {
        let in_force = self.in_force.borrow();
        let edits = edits.iter().map(|edit| (&edit.key, &edit.value));
        in_force.amend(&amendments(&in_force, edits)).err().unwrap_or_default()
    }
}

/// The entries as amendments of these settings. What is to be removed and is not there needs none.
fn amendments<'a>(base: &InForce, entries: impl Iterator<Item = (&'a Key, &'a Value)>) -> Vec<Amendment> {
    let amendment = |(key, value): (&Key, &Value)| {
        let read = |bytes: &[u8]| serde_json::from_slice(bytes).unwrap_or_default();
        Some(match (key.kind, value) {
            (Kind::Route, Value::Set(bytes)) => Amendment::SetProfile(read(bytes)),
            (Kind::Tenant, Value::Set(bytes)) => Amendment::SetCustomer(read(bytes)),
            (Kind::Route, Value::Removed) => {
                base.names.class(&key.name).map(|_| Amendment::RemoveProfile(key.name.clone()))?
            }
            (Kind::Tenant, Value::Removed) => {
                base.names.tenant(&key.name).map(|_| Amendment::RemoveCustomer(key.name.clone()))?
            }
            (_, Value::AsFile) => return None,
        })
    };
    entries.filter_map(amendment).collect()
}

/// These settings with those entries, all or none. Takes time by the entries.
pub fn amended(base: &InForce, entries: &[(Key, Value)]) -> Result<Change, Vec<String>> {
    base.amend(&amendments(base, entries.iter().map(|(key, value)| (key, value))))
}

/// Settings from a file with all entries that fit them over it; one that does not is told and left out. `None` where there is
/// none. Takes time by the entries.
pub fn over(file: &InForce, entries: &Entries) -> Option<Change> {
    let all: Vec<(Key, Value)> = entries.iter().map(|(k, v)| (k.clone(), v.clone())).collect();
    if all.is_empty() {
        return None;
    }
    if let Ok(change) = amended(file, &all) {
        return Some(change);
    }
    let fits = |entry: &(Key, Value)| match amended(file, std::slice::from_ref(entry)) {
        Ok(_) => true,
        Err(why) => {
            warn!(event = "config_unfit", entry = %entry.0, "an entry does not fit the file: {}", why.join("; "));
            false
        }
    };
    let all: Vec<(Key, Value)> = all.into_iter().filter(fits).collect();
    amended(file, &all).ok()
}
