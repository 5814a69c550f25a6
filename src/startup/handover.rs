//! The folder that the two processes of a hot restart share, and this process's presence in it.

use crate::net::state::hot_restart::Presence;
use crate::net::state::snapshot::ProxyIdentity;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tracing::warn;

/// Folder under `$TMPDIR` that the processes of a proxy share. It keeps the program's former name, as an old and a new
/// version use it together during a handover.
const SHARED_FOLDER: &str = "shaletide";

/// What this process shares with another one of the same proxy; nothing where it has no pair.
pub struct Handover {
    /// Disabled backends and presence files are here.
    pub folder: Option<PathBuf>,
    pub presence: Option<Rc<Presence>>,
}

impl Handover {
    /// Opens the folder of that proxy; `None` for a process that can have no pair.
    pub fn new(identity: Option<&ProxyIdentity>) -> Handover {
        let folder = identity.and_then(open_folder);
        let presence = folder.as_deref().and_then(create_presence);
        Handover { folder, presence }
    }

    /// Whether a process that started earlier accepts clients.
    pub fn has_older_process(&self) -> bool {
        self.presence
            .as_ref()
            .is_some_and(|presence| presence.other_processes().older)
    }

    /// Whether a process that started later accepts clients.
    pub fn has_newer_process(&self) -> bool {
        self.presence
            .as_ref()
            .is_some_and(|presence| presence.other_processes().newer)
    }

    /// Shows other processes that this one accepts clients.
    pub fn publish(&self) {
        let Some(presence) = &self.presence else {
            return;
        };
        if let Err(error) = presence.publish() {
            warn!("TMPDIR: another process of this proxy will not see this one: {error}");
        }
    }
}

fn open_folder(identity: &ProxyIdentity) -> Option<PathBuf> {
    match create_folder(identity) {
        Ok(folder) => Some(folder),
        Err(error) => {
            warn!("TMPDIR: disabled backends are kept in this process only, and no other process is seen: {error}");
            None
        }
    }
}

fn create_folder(identity: &ProxyIdentity) -> io::Result<PathBuf> {
    let temporary = std::env::var_os("TMPDIR").ok_or_else(|| io::Error::other("not set"))?;
    let folder = Path::new(&temporary)
        .join(SHARED_FOLDER)
        .join(identity.folder_name());
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

fn create_presence(folder: &Path) -> Option<Rc<Presence>> {
    match Presence::new(folder) {
        Ok(presence) => Some(Rc::new(presence)),
        Err(error) => {
            warn!("TMPDIR: no other process of this proxy sees this one: {error}");
            None
        }
    }
}
