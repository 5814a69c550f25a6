//! Keeps what the balancer learned in a snapshot file: restores it at the start and writes it while the proxy runs.
//!
//! Make one [`SnapshotKeeper`] at the start, call [`SnapshotKeeper::restore`] before requests are served, and spawn
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

/// How long the end of the program, or an operators' call that must survive a crash, waits for the disk.
const MAX_FLUSH_WAIT: Duration = Duration::from_secs(1);
/// The shortest interval between two periodic writes.
const MIN_WRITE_INTERVAL_MS: u64 = 100;

/// Why no snapshots can be kept.
#[derive(Debug, Error)]
pub enum SnapshotKeeperError {
    /// The writer's thread cannot be started.
    #[error("no thread to write snapshots on: {0}")]
    StartThread(#[source] io::Error),
}

/// The snapshots of one proxy.
pub struct SnapshotKeeper {
    config: SnapshotSection,
    host: Rc<Host>,
    /// Whose the file is; a reload can change it.
    owner: RefCell<ProxyIdentity>,
    /// What a snapshot written now is valid for; a reload can change it.
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

    /// Restores the snapshot in the folder if it is valid, and logs what was restored or why not. Returns whether the
    /// start is warm.
    pub fn restore(&self) -> bool {
        let dir = &self.config.dir;
        let owner = self.owner.borrow();
        let max_age = Micros::from_secs_f64(self.config.max_age_s);
        let checked = snapshot::read(dir, &owner)
            .and_then(|snapshot| snapshot.verify(&self.scope.get(), max_age));
        snapshot::remove_temporary_files(dir, &owner);
        let file = snapshot::path(dir, &owner);
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

    /// Has a snapshot of the present state written.
    pub fn write(&self) {
        let snapshot = Snapshot {
            header: Header::now(self.scope.get()),
            saved: self.host.learned_state(),
        };
        self.writer.submit(self.owner.borrow().clone(), snapshot);
    }

    /// Waits until everything submitted so far is on disk or has failed, for [`MAX_FLUSH_WAIT`] at most.
    pub async fn wait_until_flushed(&self) {
        let flushed = tokio::time::timeout(MAX_FLUSH_WAIT, self.writer.wait_until_flushed()).await;
        if flushed.is_err() {
            let dir = self.config.dir.display();
            warn!(event = "snapshot_late", %dir, "the snapshot is not on disk after {MAX_FLUSH_WAIT:?}");
        }
    }

    /// Takes over an owner and a digest of settings that a reload changed, and writes a snapshot under them.
    pub fn change_scope(&self, owner: ProxyIdentity, settings: [u8; 32]) {
        self.scope.set(SnapshotScope::for_proxy(&owner, settings));
        *self.owner.borrow_mut() = owner;
        self.write();
    }

    /// Writes a snapshot at each interval, for as long as the program runs.
    pub async fn write_periodically(self: Rc<Self>) {
        let interval = Duration::from_millis(self.config.every_ms.max(MIN_WRITE_INTERVAL_MS));
        loop {
            tokio::time::sleep(interval).await;
            self.write();
        }
    }
}
