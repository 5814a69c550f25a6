//! The folder that the two processes of a hot restart share, and this process's presence file in it.

use crate::net::state::hot_restart::Presence;
use crate::net::state::snapshot::ProxyIdentity;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tracing::warn;

/// The folder under `$TMPDIR` with one subfolder for each proxy. It keeps the program's former name because an old and
/// a new version use it together during a hot restart.
const SHARED_FOLDER: &str = "shaletide";

/// The shared folder and the presence file of this process. Each is `None` if there can be no other process of the
/// same proxy, or if it cannot be created.
pub struct Handover {
    /// Folder of the files for disabled backends and of the presence files.
    pub folder: Option<PathBuf>,
    pub presence: Option<Rc<Presence>>,
}

impl Handover {
    /// Creates the folder of the proxy `identity` and a presence file in it, which stays hidden until
    /// [`Handover::publish`]. Without an identity, or if an error occurs, the process runs without them.
    pub fn new(identity: Option<&ProxyIdentity>) -> Handover {
        let folder = identity.and_then(open_folder);
        let presence = folder.as_deref().and_then(create_presence);
        Handover { folder, presence }
    }

    /// Returns whether an older process of this proxy accepts clients.
    pub fn has_older_process(&self) -> bool {
        self.presence
            .as_ref()
            .is_some_and(|presence| presence.other_processes().older)
    }

    /// Returns whether a newer process of this proxy accepts clients.
    pub fn has_newer_process(&self) -> bool {
        self.presence
            .as_ref()
            .is_some_and(|presence| presence.other_processes().newer)
    }

    /// Makes this process visible to other processes of this proxy, as one that accepts clients.
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
            warn!("TMPDIR: no folder to share with other processes of this proxy, so they are not detected and disabled backends are recorded in this process only: {error}");
            None
        }
    }
}

fn create_folder(identity: &ProxyIdentity) -> io::Result<PathBuf> {
    let temporary =
        std::env::var_os("TMPDIR").ok_or_else(|| io::Error::other("the variable is not set"))?;
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
