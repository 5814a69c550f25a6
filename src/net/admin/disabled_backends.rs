//! Backends that operators disabled, recorded in a folder under `$TMPDIR` for the next process and for the other
//! process of a hot restart.
//!
//! Each disabled backend has an empty file of its own, as files are created and removed atomically and two processes
//! never overwrite each other's changes. The file `out-HEX` means that the backend is disabled. The modification time
//! of `back-HEX` is when it was last enabled. `HEX` is the backend's id.

use super::listed_names_file::ListedNamesFile;
use crate::net::host::{DisableReason, Host};
use crate::net::state::snapshot_keeper::SnapshotKeeper;
use meadowproxy::Time;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fs::{DirEntry, File};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, UNIX_EPOCH};
use tracing::{info, warn};

/// The interval of reading the folder: far shorter than the time within which a change by the other process has to take
/// effect in this one.
const FOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const DISABLED_PREFIX: &str = "out-";
const ENABLED_PREFIX: &str = "back-";

/// Disables and enables backends for operators.
pub struct DisabledBackends {
    host: Rc<Host>,
    /// The folder that the processes of this proxy share; `None` if there is none.
    folder: Option<PathBuf>,
    /// Writes a snapshot after each change, so that an acknowledged call survives a crash.
    keeper: Option<Rc<SnapshotKeeper>>,
    /// Ids of disabled backends whose files were in the folder when it was last read, or were created since.
    on_disk: RefCell<BTreeSet<String>>,
    /// Records in the folder which backends were listed once.
    listed_names: Option<ListedNamesFile>,
    /// The warnings that were logged; each is logged once.
    logged: RefCell<BTreeSet<String>>,
}

/// A backend that operators enabled again.
struct EnabledBackend {
    id: String,
    /// When it was enabled: the modification time of its file.
    since: Time,
}

/// The files in the folder.
#[derive(Default)]
struct FolderContents {
    disabled: BTreeSet<String>,
    enabled: Vec<EnabledBackend>,
}

/// The meaning of a file name in the folder.
enum FileName {
    /// The backend with this id is disabled.
    Disabled(String),
    /// The backend with this id was enabled.
    Enabled(String),
    /// The file has a known prefix, but no valid id.
    Malformed,
    /// The file belongs to another part of the program.
    Other,
}

impl FileName {
    fn parse(text: &str) -> FileName {
        if let Some(hex) = text.strip_prefix(DISABLED_PREFIX) {
            return decode_id(hex).map_or(FileName::Malformed, FileName::Disabled);
        }
        if let Some(hex) = text.strip_prefix(ENABLED_PREFIX) {
            return decode_id(hex).map_or(FileName::Malformed, FileName::Enabled);
        }
        FileName::Other
    }
}

impl DisabledBackends {
    /// Disables the backends that the folder names, in addition to those that a snapshot disabled. If the folder
    /// records that one of the latter was enabled since, it is enabled. Otherwise its file is created, so that the
    /// other process notices when it is enabled.
    pub fn new(
        host: Rc<Host>,
        folder: Option<PathBuf>,
        keeper: Option<Rc<SnapshotKeeper>>,
    ) -> Rc<DisabledBackends> {
        let listed_names = folder
            .as_deref()
            .map(|folder| ListedNamesFile::restore(host.clone(), folder));
        let this = DisabledBackends {
            host,
            folder,
            keeper,
            on_disk: RefCell::default(),
            listed_names,
            logged: RefCell::default(),
        };
        this.reconcile_with_snapshot();
        this.apply_folder_changes();
        Rc::new(this)
    }

    /// Enables the backends that the snapshot disabled but the folder records as enabled, and creates the files of
    /// those that the folder does not mention.
    fn reconcile_with_snapshot(&self) {
        let found = self.read_folder().unwrap_or_default(); // `apply_folder_changes` logs the error
        for backend in &found.enabled {
            if !found.disabled.contains(&backend.id) {
                self.enable_in_host(&backend.id, backend.since);
            }
        }
        for id in self.host.learned_state().disabled {
            if !found.disabled.contains(&id) {
                self.create_disabled_file(&id);
            }
        }
    }

    /// Enables the backend in this process. A backend that this process had not disabled still counts as started at
    /// `since`.
    fn enable_in_host(&self, id: &str, since: Time) {
        let reason = DisableReason::Operator;
        if !self.host.enable_backend(id, reason, since) {
            self.host.disable_reason_ended(id, since);
        }
    }

    /// Records in the folder that the backend is disabled. If this fails, only this process disables it.
    fn create_disabled_file(&self, id: &str) {
        let Some(folder) = &self.folder else {
            return;
        };
        match File::create(folder.join(file_name(DISABLED_PREFIX, id))) {
            Ok(_) => {
                self.on_disk.borrow_mut().insert(id.into());
            }
            Err(error) => warn!(
                backend = id,
                "TMPDIR: {id} is disabled in this process only: {error}"
            ),
        }
        let _ = std::fs::remove_file(folder.join(file_name(ENABLED_PREFIX, id)));
    }

    fn write_snapshot(&self) {
        if let Some(keeper) = &self.keeper {
            keeper.write();
        }
    }

    /// Waits until all changes so far are on disk and survive a crash, or until a timeout.
    pub async fn wait_until_flushed(&self) {
        if let Some(keeper) = &self.keeper {
            keeper.wait_until_flushed().await;
        }
    }

    /// Disables the backend, which receives no more requests until it is enabled, whatever the endpoint list says. Returns
    /// false if no backend with this id was ever listed.
    pub fn disable(&self, id: &str) -> bool {
        if !self.host.disable_backend(id, DisableReason::Operator) {
            info!(
                backend = id,
                "control: {id} is not disabled, as it was never listed"
            );
            return false;
        }
        info!(backend = id, "control: {id} is disabled");
        self.create_disabled_file(id);
        self.write_snapshot();
        true
    }

    /// Enables the backend again. Returns false if no backend with this id was ever listed. A repeated call changes
    /// nothing, so that the backend's slow start does not start over.
    pub fn enable(&self, id: &str) -> bool {
        if !self.host.was_listed(id) {
            info!(
                backend = id,
                "control: {id} is not enabled, as it was never listed"
            );
            return false;
        }
        let is_on_disk = self.disabled_file(id).is_some_and(|file| file.exists());
        if !is_on_disk && !self.host.is_disabled(id, DisableReason::Operator) {
            return true;
        }
        if is_on_disk {
            if let Err(error) = self.replace_disabled_file(id) {
                warn!(
                    backend = id,
                    "TMPDIR: {id} is enabled in this process only: {error}"
                );
            }
        }
        self.on_disk.borrow_mut().remove(id);
        // The other process may have created the file, and this process may not have read it yet.
        self.enable_in_host(id, self.host.clock.now());
        info!(backend = id, "control: {id} is enabled");
        self.write_snapshot();
        true
    }

    /// Returns the path of the file that disables the backend.
    fn disabled_file(&self, id: &str) -> Option<PathBuf> {
        let folder = self.folder.as_ref()?;
        Some(folder.join(file_name(DISABLED_PREFIX, id)))
    }

    /// Records in the folder that the backend is enabled.
    fn replace_disabled_file(&self, id: &str) -> io::Result<()> {
        let Some(folder) = &self.folder else {
            return Ok(());
        };
        File::create(folder.join(file_name(ENABLED_PREFIX, id)))?;
        match std::fs::remove_file(folder.join(file_name(DISABLED_PREFIX, id))) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Applies the changes that the other process records in the folder, until this process ends.
    pub async fn watch_folder(self: Rc<Self>) {
        while self.folder.is_some() {
            tokio::time::sleep(FOLDER_CHECK_INTERVAL).await;
            self.apply_folder_changes();
            if let Some(listed_names) = &self.listed_names {
                listed_names.append_new();
            }
        }
    }

    /// Reads the folder, and disables and enables the backends whose files appeared or disappeared since the last time.
    fn apply_folder_changes(&self) {
        let now = match self.read_folder() {
            Ok(contents) => contents.disabled,
            Err(error) => {
                self.warn_once(format!(
                    "TMPDIR: cannot read the folder: disabled backends stay disabled, and changes by another process are not applied: {error}"
                ));
                return;
            }
        };
        let before = self.on_disk.replace(now.clone());
        for id in now.difference(&before) {
            info!(backend = id, "{id} is disabled by its file in TMPDIR");
            self.host
                .disable_even_if_unlisted(id, DisableReason::Operator);
        }
        for id in before.difference(&now) {
            info!(
                backend = id,
                "{id} is enabled: its file in TMPDIR was removed"
            );
            let now = self.host.clock.now();
            self.host.enable_backend(id, DisableReason::Operator, now);
        }
        if now != before {
            self.write_snapshot();
        }
    }

    /// Reads the folder. Any error fails the whole read, as a file that it left out would count as removed, and its
    /// backend would be enabled.
    fn read_folder(&self) -> io::Result<FolderContents> {
        let mut contents = FolderContents::default();
        let Some(folder) = &self.folder else {
            return Ok(contents);
        };
        for entry in std::fs::read_dir(folder)? {
            let entry = entry?;
            let name = entry.file_name();
            let text = name.to_string_lossy();
            match FileName::parse(&text) {
                FileName::Disabled(id) => {
                    contents.disabled.insert(id);
                }
                FileName::Enabled(id) => {
                    let since = modified_at(&entry);
                    contents.enabled.push(EnabledBackend { id, since });
                }
                FileName::Malformed => {
                    self.warn_once(format!("TMPDIR: {text}: not a backend's id, skipped"));
                }
                FileName::Other => {}
            }
        }
        Ok(contents)
    }

    fn warn_once(&self, text: String) {
        if self.logged.borrow_mut().insert(text.clone()) {
            warn!("{text}");
        }
    }
}

/// Returns the modification time of a file, or the Unix epoch if it is not known.
fn modified_at(entry: &DirEntry) -> Time {
    let modified = entry.metadata().and_then(|metadata| metadata.modified());
    let since_epoch = modified
        .ok()
        .and_then(|at| at.duration_since(UNIX_EPOCH).ok());
    Time(since_epoch.map_or(0, |at| at.as_micros() as u64))
}

/// Returns the name of a backend's file. The id is in hex, as it may contain characters that file names cannot.
fn file_name(prefix: &str, id: &str) -> PathBuf {
    Path::new(&format!("{prefix}{}", hex::encode(id))).into()
}

/// Decodes a backend's id from hex. Returns `None` if the id is empty or not valid hex or UTF-8.
fn decode_id(text: &str) -> Option<String> {
    let bytes = hex::decode(text).ok().filter(|bytes| !bytes.is_empty())?;
    String::from_utf8(bytes).ok()
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod stored_formats;
