//! [`FleetOverrides`]: the entries of the fleet's replicated configuration that override this proxy's file, because
//! operators changed them after the file was written. The request loop owns them, the coordination workers send it new
//! entries, and [`super::reload`] applies these to the settings in force.

use meadowproxy::fleet::config::{Edit, Entry, FileError, Key, Kind, Overrides, Value};
use meadowproxy::settings::{ActiveSettings, EntryChange, SettingsChange, SettingsError};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::Notify;
use tracing::warn;

/// The newest version of the fleet's configuration known to this proxy, 0 if none is. The coordination workers set it.
pub type NewestVersion = Arc<AtomicU64>;

/// The fleet's entries, and those among them that are not in force yet.
pub struct FleetOverrides {
    overrides: RefCell<Overrides>,
    /// The values that are not in force yet, by key.
    pending: RefCell<BTreeMap<Key, Value>>,
    /// The version that results from all entries received.
    received_version: Cell<u64>,
    /// The version in force.
    version_in_force: Cell<u64>,
    /// The file's settings.
    file: RefCell<ActiveSettings>,
    /// The settings in force: those of the file, changed by the entries.
    in_force: RefCell<ActiveSettings>,
    newest: NewestVersion,
    changed: Notify,
}

/// The entries at one instant, for reading a file on another thread.
pub struct OverridesView {
    pub overrides: Overrides,
    /// The version that results from these entries.
    pub version: u64,
    newest: Option<u64>,
}

impl OverridesView {
    /// Checks whether a file that contains the changes up to `file_version` is usable.
    pub fn check_file(&self, file_version: u64) -> Result<(), FileError> {
        self.overrides.check_file(file_version, self.newest)
    }
}

/// The entries that are not in force yet.
pub struct PendingEntries {
    /// The version that is in force once they are applied.
    pub version: u64,
    pub edits: Vec<Edit>,
}

impl FleetOverrides {
    /// Creates overrides without entries for a file that contains the changes up to `file_version`.
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

    /// Returns the counter in which the coordination workers set the newest version.
    pub fn newest(&self) -> NewestVersion {
        self.newest.clone()
    }

    fn known_newest(&self) -> Option<u64> {
        Some(self.newest.load(Ordering::Relaxed)).filter(|newest| *newest > 0)
    }

    /// Adds entries that changed together, and sets the configuration's new version.
    pub fn apply(&self, version: u64, entries: Vec<Entry>) {
        let over_file = self.overrides.borrow_mut().apply(version, entries);
        self.add_pending(over_file);
        self.received_version.set(version);
        self.confirm_file();
        self.changed.notify_one();
    }

    /// Compares the version of the file in force with the fleet's newest, if that is known. If the file claims a newer
    /// one, all entries override it.
    pub fn confirm_file(&self) {
        let Some(newest) = self.known_newest() else {
            return;
        };
        let confirmed = self.overrides.borrow_mut().confirm_file(newest);
        if let Err(ahead) = confirmed {
            warn!(
                event = "config_file_ahead",
                "the file is treated as one without any of the fleet's changes: {ahead}"
            );
            self.add_pending(ahead.edits);
            self.changed.notify_one();
        }
    }

    fn add_pending(&self, edits: Vec<Edit>) {
        let values = edits.into_iter().map(|edit| (edit.key, edit.value));
        self.pending.borrow_mut().extend(values);
    }

    /// Waits until there are entries to apply.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the current entries for reading the next file. They are shared, not copied.
    pub fn view(&self) -> OverridesView {
        OverridesView {
            overrides: self.overrides.borrow().clone(),
            version: self.received_version.get(),
            newest: self.known_newest(),
        }
    }

    /// Returns the entries to apply. They stay pending until [`FleetOverrides::set_in_force`].
    ///
    /// # Errors
    /// The file in force lacks changes that were compacted, and so are only in newer files.
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

    /// Records that a checked file is in force, without any of the entries so far.
    pub fn set_file(&self, file: ActiveSettings, file_version: u64) {
        let mut overrides = self.overrides.borrow_mut();
        overrides.set_file(file_version, self.known_newest());
        self.pending
            .borrow_mut()
            .retain(|key, _| overrides.overrides_file(key));
        *self.file.borrow_mut() = file;
    }

    /// Records the settings in force. `version` is the fleet's version whose entries they all include, `None` if some
    /// entries were left out.
    pub fn set_in_force(&self, version: Option<u64>, in_force: ActiveSettings) {
        if let Some(version) = version {
            self.version_in_force.set(version);
            if version == self.received_version.get() {
                self.pending.borrow_mut().clear();
            }
        }
        *self.in_force.borrow_mut() = in_force;
    }

    /// Returns the version in force.
    pub fn version(&self) -> u64 {
        self.version_in_force.get()
    }

    /// Returns the version up to which the file in force states that it contains all changes.
    pub fn file_version(&self) -> u64 {
        self.overrides.borrow().file_version()
    }

    /// Returns the settings of the file in force, without the fleet's changes.
    pub fn file(&self) -> ActiveSettings {
        self.file.borrow().clone()
    }

    /// Returns whether the fleet changed this entry, as far as this proxy knows.
    pub fn is_changed(&self, key: &Key) -> bool {
        self.overrides.borrow().is_changed(key)
    }

    /// Returns whether the fleet's value of this entry is newer than the file in force.
    pub fn overrides_file(&self, key: &Key) -> bool {
        self.overrides.borrow().overrides_file(key)
    }

    /// Checks whether the edits are applicable to the settings in force.
    ///
    /// # Errors
    /// Every error in the edits.
    pub fn check(&self, edits: &[Edit]) -> Result<(), InvalidEntries> {
        change_entries(&self.in_force.borrow(), &self.file.borrow(), edits)?;
        Ok(())
    }
}

/// Every error in entries that are not applicable to the settings, each with the path of its key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", join_messages(.0))]
pub struct InvalidEntries(pub Vec<SettingsError>);

fn join_messages(errors: &[SettingsError]) -> String {
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// Applies all edits to the settings `base`, or none. `file` provides the values of entries that are reset to the
/// file's. The time depends on the number of edits, not on the size of the settings.
///
/// # Errors
/// Every error in the edits.
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

/// Converts an edit to a change of the settings `base`; `None` if it removes an entry that doesn't exist.
fn entry_change(base: &ActiveSettings, file: &ActiveSettings, edit: &Edit) -> Option<EntryChange> {
    let name = &edit.key.name;
    match edit.key.kind {
        Kind::RequestClass => match json_value(&edit.value, || file.profile(name)) {
            Some(profile) => Some(EntryChange::SetProfile(profile)),
            None => base
                .names
                .class(name)
                .map(|_| EntryChange::RemoveProfile(name.clone())),
        },
        Kind::Tenant => match json_value(&edit.value, || file.customer(name)) {
            Some(customer) => Some(EntryChange::SetCustomer(customer)),
            None => base
                .names
                .tenant(name)
                .map(|_| EntryChange::RemoveCustomer(name.clone())),
        },
        Kind::File => None,
    }
}

/// Returns the JSON that an entry is set to, `None` if the entry is removed.
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

/// The result of applying the fleet's entries to a file's settings.
pub struct AppliedOverrides {
    /// The change of the file's settings, `None` if no entry changes them.
    pub change: Option<SettingsChange>,
    /// Whether all entries were applicable to the file.
    pub all_applied: bool,
}

/// Applies the entries that are newer than `file_version` to the settings of a file that contains the changes up to
/// that version. An entry that is not applicable to the file is logged and skipped. The time depends on the number of
/// entries.
pub fn apply_to_file(
    file: &ActiveSettings,
    file_version: u64,
    overrides: &Overrides,
) -> AppliedOverrides {
    let edits = overrides.entries_over(file_version);
    if edits.is_empty() {
        return AppliedOverrides {
            change: None,
            all_applied: true,
        };
    }
    if let Ok(change) = change_entries(file, file, &edits) {
        return AppliedOverrides {
            change: Some(change),
            all_applied: true,
        };
    }
    let applicable: Vec<Edit> = edits
        .into_iter()
        .filter(|edit| is_applicable(file, edit))
        .collect();
    AppliedOverrides {
        change: change_entries(file, file, &applicable).ok(),
        all_applied: false,
    }
}

fn is_applicable(file: &ActiveSettings, edit: &Edit) -> bool {
    match change_entries(file, file, std::slice::from_ref(edit)) {
        Ok(_) => true,
        Err(error) => {
            warn!(event = "config_unfit", entry = %edit.key, "skipped an entry that does not fit the file: {error}");
            false
        }
    }
}
