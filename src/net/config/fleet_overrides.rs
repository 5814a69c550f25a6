//! What the fleet's replicated configuration changes in this proxy's settings: the entries that operators set since the
//! file, over what the file says. The request loop owns it; the duties' workers send it the entries, and [`super::reload`]
//! puts them in force.

use meadowproxy::fleet::config::{Edit, Entry, FileError, Key, Kind, Overrides, Value};
use meadowproxy::settings::{ActiveSettings, EntryChange, SettingsChange, SettingsError};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::Notify;
use tracing::warn;

/// The newest version of the configuration that this proxy knows of, 0 until it is known: set by the duties' workers.
pub type NewestVersion = Arc<AtomicU64>;

/// The fleet's entries, and which of them wait to be put in force.
pub struct FleetOverrides {
    overrides: RefCell<Overrides>,
    pending: RefCell<BTreeMap<Key, Value>>,
    /// The version with all entries here.
    received_version: Cell<u64>,
    /// The version in force.
    version_in_force: Cell<u64>,
    /// The file's settings.
    file: RefCell<ActiveSettings>,
    /// The settings in force: the file's with entries over them.
    in_force: RefCell<ActiveSettings>,
    newest: NewestVersion,
    changed: Notify,
}

/// What a file is read with: the entries at one instant.
pub struct OverridesView {
    pub overrides: Overrides,
    /// The version that has them all.
    pub version: u64,
    newest: Option<u64>,
}

impl OverridesView {
    /// Checks whether a file that contains the changes up to this version can be used.
    pub fn check_file(&self, file_version: u64) -> Result<(), FileError> {
        self.overrides.check_file(file_version, self.newest)
    }
}

/// The entries that wait to be put in force.
pub struct PendingEntries {
    /// The version that they make.
    pub version: u64,
    pub edits: Vec<Edit>,
}

impl FleetOverrides {
    /// No entries, over the settings of a file that contains the changes up to `file_version`.
    pub fn new(file: ActiveSettings, file_version: u64) -> FleetOverrides {
        FleetOverrides {
            overrides: RefCell::new(Overrides::new(file_version)),
            pending: RefCell::default(),
            received_version: Cell::default(),
            version_in_force: Cell::default(),
            in_force: RefCell::new(file.clone()),
            file: RefCell::new(file),
            newest: NewestVersion::default(),
            changed: Notify::new(),
        }
    }

    /// Where the duties' workers set the newest version.
    pub fn newest(&self) -> NewestVersion {
        self.newest.clone()
    }

    fn known_newest(&self) -> Option<u64> {
        Some(self.newest.load(Ordering::Relaxed)).filter(|newest| *newest > 0)
    }

    /// Takes entries that changed together, and the configuration's new version.
    pub fn apply(&self, version: u64, entries: Vec<Entry>) {
        let over_file = self.overrides.borrow_mut().apply(version, entries);
        self.add_pending(over_file);
        self.received_version.set(version);
        self.confirm_file();
        self.changed.notify_one();
    }

    /// Compares the file in force with the fleet's newest version, as soon as that is known.
    pub fn confirm_file(&self) {
        let Some(newest) = self.known_newest() else {
            return;
        };
        let confirmed = self.overrides.borrow_mut().confirm_file(newest);
        if let Err(ahead) = confirmed {
            warn!(
                event = "config_file_ahead",
                "the file counts as one that contains no change: {ahead}"
            );
            self.add_pending(ahead.edits);
            self.changed.notify_one();
        }
    }

    fn add_pending(&self, edits: Vec<Edit>) {
        let values = edits.into_iter().map(|edit| (edit.key, edit.value));
        self.pending.borrow_mut().extend(values);
    }

    /// Waits until entries are to be put in force.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// What the next file is read with. Shares all entries.
    pub fn view(&self) -> OverridesView {
        OverridesView {
            overrides: self.overrides.borrow().clone(),
            version: self.received_version.get(),
            newest: self.known_newest(),
        }
    }

    /// The entries to be put in force; they wait until [`FleetOverrides::set_in_force`].
    ///
    /// # Errors
    /// The file in force lacks changes that are only in files by now.
    pub fn pending(&self) -> Result<PendingEntries, FileError> {
        let overrides = self.overrides.borrow();
        if let Some(compacted) = overrides.required_file_version() {
            return Err(FileError::TooOld {
                version: overrides.file_version(),
                compacted,
            });
        }
        let pending = self.pending.borrow();
        let edits = pending.iter().map(|(key, value)| Edit {
            key: key.clone(),
            value: value.clone(),
        });
        Ok(PendingEntries {
            version: self.received_version.get(),
            edits: edits.collect(),
        })
    }

    /// A file that was checked is in force, with none of the entries yet.
    pub fn set_file(&self, file: ActiveSettings, file_version: u64) {
        let mut overrides = self.overrides.borrow_mut();
        overrides.set_file(file_version, self.known_newest());
        self.pending
            .borrow_mut()
            .retain(|key, _| overrides.overrides_file(key));
        *self.file.borrow_mut() = file;
    }

    /// Settings with all entries of that version are in force; `None`: some entries of it do not fit.
    pub fn set_in_force(&self, version: Option<u64>, in_force: ActiveSettings) {
        if let Some(version) = version {
            self.version_in_force.set(version);
            if version == self.received_version.get() {
                self.pending.borrow_mut().clear();
            }
        }
        *self.in_force.borrow_mut() = in_force;
    }

    /// The version in force.
    pub fn version(&self) -> u64 {
        self.version_in_force.get()
    }

    /// The version up to which the file in force contains all changes, as it says.
    pub fn file_version(&self) -> u64 {
        self.overrides.borrow().file_version()
    }

    /// The settings of the file in force.
    pub fn file(&self) -> ActiveSettings {
        self.file.borrow().clone()
    }

    /// Whether the fleet changed that entry, as far as this proxy knows.
    pub fn is_changed(&self, key: &Key) -> bool {
        self.overrides.borrow().is_changed(key)
    }

    /// Whether that entry is later than the file in force.
    pub fn overrides_file(&self, key: &Key) -> bool {
        self.overrides.borrow().overrides_file(key)
    }

    /// Checks a change against the settings in force.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn check(&self, edits: &[Edit]) -> Result<(), InvalidEntries> {
        change_entries(&self.in_force.borrow(), &self.file.borrow(), edits)?;
        Ok(())
    }
}

/// Entries that do not fit the settings: all that is wrong, each by its key path.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", join_messages(.0))]
pub struct InvalidEntries(pub Vec<SettingsError>);

fn join_messages(errors: &[SettingsError]) -> String {
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// Sets the entries in these settings, all or none; `file` has the file's values. Takes time by the number of entries.
///
/// # Errors
/// All that is wrong with them.
pub fn change_entries(
    base: &ActiveSettings,
    file: &ActiveSettings,
    edits: &[Edit],
) -> Result<SettingsChange, InvalidEntries> {
    let changes: Vec<EntryChange> = edits
        .iter()
        .filter_map(|edit| entry_change(base, file, edit))
        .collect();
    base.change_entries(&changes).map_err(InvalidEntries)
}

/// The amendment of these settings that sets an entry. One that is to be removed and does not exist needs none.
fn entry_change(base: &ActiveSettings, file: &ActiveSettings, edit: &Edit) -> Option<EntryChange> {
    let name = &edit.key.name;
    match edit.key.kind {
        Kind::RequestClass => match json_value(&edit.value, || file.profile(name)) {
            Some(route) => Some(EntryChange::SetProfile(route)),
            None => base
                .names
                .class(name)
                .map(|_| EntryChange::RemoveProfile(name.clone())),
        },
        Kind::Tenant => match json_value(&edit.value, || file.customer(name)) {
            Some(tenant) => Some(EntryChange::SetCustomer(tenant)),
            None => base
                .names
                .tenant(name)
                .map(|_| EntryChange::RemoveCustomer(name.clone())),
        },
        Kind::File => None,
    }
}

/// The JSON that an entry is set to, none where it is removed.
fn json_value(
    value: &Value,
    in_file: impl FnOnce() -> Option<serde_json::Value>,
) -> Option<serde_json::Value> {
    match value {
        Value::Set(bytes) => Some(serde_json::from_slice(bytes).unwrap_or_default()),
        Value::Removed => None,
        Value::AsFile => in_file(),
    }
}

/// A file's settings with the fleet's entries over them.
pub struct FileWithOverrides {
    /// The change from the file's settings, `None` where there is none.
    pub change: Option<SettingsChange>,
    /// Whether all entries fit the file.
    pub all_fit: bool,
}

/// Sets all later entries in the settings of a file that contains the changes up to `file_version`. An entry that does not
/// fit the file is logged and left out. Takes time by the number of entries.
pub fn apply_to_file(
    file: &ActiveSettings,
    file_version: u64,
    overrides: &Overrides,
) -> FileWithOverrides {
    let edits = overrides.entries_over(file_version);
    if edits.is_empty() {
        return FileWithOverrides {
            change: None,
            all_fit: true,
        };
    }
    if let Ok(change) = change_entries(file, file, &edits) {
        return FileWithOverrides {
            change: Some(change),
            all_fit: true,
        };
    }
    let fitting: Vec<Edit> = edits.into_iter().filter(|edit| fits(file, edit)).collect();
    FileWithOverrides {
        change: change_entries(file, file, &fitting).ok(),
        all_fit: false,
    }
}

fn fits(file: &ActiveSettings, edit: &Edit) -> bool {
    match change_entries(file, file, std::slice::from_ref(edit)) {
        Ok(_) => true,
        Err(error) => {
            warn!(event = "config_unfit", entry = %edit.key, "an entry does not fit the file: {error}");
            false
        }
    }
}
