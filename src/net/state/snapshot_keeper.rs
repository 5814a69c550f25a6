//! Saves the proxy's learned state in a snapshot file while the proxy runs, and restores it at the start.
//!
//! Create one [`SnapshotKeeper`] at the start, call [`SnapshotKeeper::restore`] before requests are served, and spawn
//! [`SnapshotKeeper::write_periodically`].

use crate::net::config::SnapshotSection;
use crate::net::host::Host;
use crate::net::state::snapshot::{
    self, Header, ProxyIdentity, Snapshot, SnapshotError, SnapshotScope, VerifiedSnapshot,
};
use crate::net::state::snapshot_writer::SnapshotWriter;
use meadowproxy::Micros;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tracing::{info, warn};

/// How long the shutdown, or a call of the admin API whose effect must survive a crash, waits for the disk.
const MAX_FLUSH_WAIT: Duration = Duration::from_secs(1);
/// The minimum interval between two periodic writes, in milliseconds.
const MIN_WRITE_INTERVAL_MS: u64 = 100;

/// Reasons for which a [`SnapshotKeeper`] cannot be created.
#[derive(Debug, Error)]
pub enum SnapshotKeeperError {
    /// The writer's thread cannot be started.
    #[error("cannot start the thread that writes snapshots: {0}")]
    StartThread(#[source] io::Error),
}

/// Writes and restores the snapshots of one proxy.
pub struct SnapshotKeeper {
    config: SnapshotSection,
    host: Rc<Host>,
    /// The proxy that owns the file; a reload can change its identity.
    owner: RefCell<ProxyIdentity>,
    /// The scope of new snapshots; a reload can change it.
    scope: Cell<SnapshotScope>,
    writer: SnapshotWriter,
}

impl SnapshotKeeper {
    /// Starts the writer's thread. `settings` is the digest of the settings in force.
    pub fn new(
        config: SnapshotSection,
        host: Rc<Host>,
        owner: ProxyIdentity,
        settings: [u8; 32],
    ) -> Result<Rc<SnapshotKeeper>, SnapshotKeeperError> {
        let scope = Cell::new(SnapshotScope::for_proxy(&owner, settings));
        let writer = SnapshotWriter::start(config.dir.clone(), owner.clone())
            .map_err(SnapshotKeeperError::StartThread)?;
        Ok(Rc::new(SnapshotKeeper {
            config,
            host,
            owner: RefCell::new(owner),
            scope,
            writer,
        }))
    }

    /// Restores the snapshot in the folder if it is valid, and logs either what was restored or the reason why nothing
    /// was. Returns whether a snapshot was restored.
    pub fn restore(&self) -> bool {
        let dir = &self.config.dir;
        let owner = self.owner.borrow();
        let max_age = Micros::from_secs_f64(self.config.max_age_s);
        let checked = snapshot::read(dir, &owner)
            .and_then(|snapshot| snapshot.verify(&self.scope.get(), max_age));
        snapshot::remove_temporary_files(dir, &owner);
        let file = snapshot::file_path(dir, &owner);
        match checked {
            Ok(VerifiedSnapshot { snapshot, age }) => {
                info!(
                    event = "snapshot_taken",
                    age_s = age.as_secs_f64(),
                    program = %snapshot.header.program,
                    kinds = snapshot.saved.hardware_classes.len(),
                    backends = snapshot.saved.backends.len(),
                    "snapshot taken: warm start"
                );
                self.host.restore_learned_state(snapshot.saved, age);
                true
            }
            Err(SnapshotError::Missing) => {
                info!(event = "snapshot_missing", file = %file.display(), "no snapshot: cold start");
                false
            }
            Err(error) => {
                warn!(
                    event = "snapshot_refused",
                    cause = error.cause(),
                    file = %file.display(),
                    "snapshot refused, cold start: {error}"
                );
                false
            }
        }
    }

    /// Submits a snapshot of the current state to the writer's thread. Returns at once.
    pub fn write(&self) {
        let snapshot = Snapshot {
            header: Header::now(self.scope.get()),
            saved: self.host.learned_state(),
        };
        self.writer.submit(self.owner.borrow().clone(), snapshot);
    }

    /// Waits until the snapshots submitted so far are on disk or have failed, for at most [`MAX_FLUSH_WAIT`].
    pub async fn wait_until_flushed(&self) {
        let flushed = tokio::time::timeout(MAX_FLUSH_WAIT, self.writer.wait_until_flushed()).await;
        if flushed.is_err() {
            let dir = self.config.dir.display();
            warn!(event = "snapshot_late", %dir, "the snapshot is not on disk after {MAX_FLUSH_WAIT:?}");
        }
    }

    /// Changes the owner and the digest of the settings after a reload, and writes a snapshot for them.
    pub fn change_scope(&self, owner: ProxyIdentity, settings: [u8; 32]) {
        self.scope.set(SnapshotScope::for_proxy(&owner, settings));
        *self.owner.borrow_mut() = owner;
        self.write();
    }

    /// Writes a snapshot at each interval of the configuration, until the process ends.
    pub async fn write_periodically(self: Rc<Self>) {
        let interval = Duration::from_millis(self.config.every_ms.max(MIN_WRITE_INTERVAL_MS));
        loop {
            tokio::time::sleep(interval).await;
            self.write();
        }
    }
}
