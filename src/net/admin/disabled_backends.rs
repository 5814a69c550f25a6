//! Backends that operators disabled, recorded in a folder under `$TMPDIR` for the next process and for the other
//! process of a hot restart.
//!
//! A disabled backend is one empty file: files appear and go atomically, and two processes never overwrite each
//! other's. `out-HEX` says that the backend is disabled, `back-HEX` when it was last enabled; `HEX` is its id.

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

/// Well within the time in which a change made at the other process has to reach this one.
const FOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
const DISABLED_PREFIX: &str = "out-";
const ENABLED_PREFIX: &str = "back-";

/// Disables and enables backends for operators.
pub struct DisabledBackends {
    host: Rc<Host>,
    folder: Option<PathBuf>,
    /// Writes a snapshot with each change, so that an acknowledged call survives a crash.
    keeper: Option<Rc<SnapshotKeeper>>,
    /// Ids whose files were in the folder at the last check, or were created since.
    on_disk: RefCell<BTreeSet<String>>,
    /// Warnings that were logged, each once.
    logged: RefCell<BTreeSet<String>>,
}

/// A backend that operators enabled again.
struct EnabledBackend {
    id: String,
    /// The time of its file.
    since: Time,
}

/// What is in the folder.
#[derive(Default)]
struct FolderContents {
    disabled: BTreeSet<String>,
    enabled: Vec<EnabledBackend>,
}

/// What the name of a file in the folder says.
enum FileName {
    Disabled(String),
    Enabled(String),
    Malformed,
    /// It belongs to another part of the program.
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
    /// Disables what the folder names. For a backend that a snapshot disabled, the folder's record of its end wins;
    /// where there is none, the backend's file is created, so that the other process learns of its end too.
    pub fn new(
        host: Rc<Host>,
        folder: Option<PathBuf>,
        keeper: Option<Rc<SnapshotKeeper>>,
    ) -> Rc<DisabledBackends> {
        let this = DisabledBackends {
            host,
            folder,
            keeper,
            on_disk: RefCell::default(),
            logged: RefCell::default(),
        };
        this.reconcile_with_snapshot();
        this.apply_folder_changes();
        Rc::new(this)
    }

    fn reconcile_with_snapshot(&self) {
        let found = self.read_folder().unwrap_or_default(); // the check that follows logs the error
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

    /// Enables the backend here. One that this process had not disabled still counts as started at `since`.
    fn enable_in_host(&self, id: &str, since: Time) {
        let reason = DisableReason::Operator;
        if !self.host.enable_backend(id, reason, since) {
            self.host.disable_reason_ended(id, since);
        }
    }

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

    /// Waits until a crash would lose nothing that was done so far, or the disk takes too long.
    pub async fn wait_until_flushed(&self) {
        if let Some(keeper) = &self.keeper {
            keeper.wait_until_flushed().await;
        }
    }

    /// Sends the backend nothing more; false for an unknown id.
    pub fn disable(&self, id: &str) -> bool {
        if !self.host.disable_backend(id, DisableReason::Operator) {
            return false;
        }
        info!(backend = id, "control: {id} is disabled");
        self.create_disabled_file(id);
        self.write_snapshot();
        true
    }

    /// Uses the backend again; false for an unknown id. A repeated call changes nothing: it is no fresh start.
    pub fn enable(&self, id: &str) -> bool {
        if !self.host.is_known_backend(id) {
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
        // The file may be the other process's, and not followed here yet.
        self.enable_in_host(id, self.host.clock.now());
        info!(backend = id, "control: {id} is enabled");
        self.write_snapshot();
        true
    }

    fn disabled_file(&self, id: &str) -> Option<PathBuf> {
        let folder = self.folder.as_ref()?;
        Some(folder.join(file_name(DISABLED_PREFIX, id)))
    }

    /// Records on disk that the backend is enabled.
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

    /// Carries out what the other process records in the folder, for as long as the program runs.
    pub async fn watch_folder(self: Rc<Self>) {
        while self.folder.is_some() {
            tokio::time::sleep(FOLDER_CHECK_INTERVAL).await;
            self.apply_folder_changes();
        }
    }

    fn apply_folder_changes(&self) {
        let now = match self.read_folder() {
            Ok(contents) => contents.disabled,
            Err(error) => {
                self.warn_once(format!(
                    "TMPDIR: backends stay disabled as before, and changes of another process are not seen: {error}"
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

    /// Reads the whole folder or fails: a file that a broken reading left out would be taken for a removed one.
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

/// When the file was last written; the beginning of time where that is not known.
fn modified_at(entry: &DirEntry) -> Time {
    let modified = entry.metadata().and_then(|metadata| metadata.modified());
    let since_epoch = modified
        .ok()
        .and_then(|at| at.duration_since(UNIX_EPOCH).ok());
    Time(since_epoch.map_or(0, |at| at.as_micros() as u64))
}

/// Ids may hold any character; in hex they are plain names of files.
fn file_name(prefix: &str, id: &str) -> PathBuf {
    Path::new(&format!("{prefix}{}", hex::encode(id))).into()
}

fn decode_id(text: &str) -> Option<String> {
    let bytes = hex::decode(text).ok().filter(|bytes| !bytes.is_empty())?;
    String::from_utf8(bytes).ok()
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod stored_formats;
