//! Keeps what the module learned in a snapshot, and takes it back at the start.

use super::config::Snapshots;
use super::host::Host;
use super::snapshot::{self, Header, Owner, Refused, Snapshot, Stands};
use shaletide::Micros;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

pub struct Keeper {
    kept: Snapshots,
    host: Rc<Host>,
    /// Whose the file is, and what it holds for; a reload changes both.
    owner: RefCell<Owner>,
    stands: Cell<Stands>,
    /// The last write failed and was told of.
    failed: Cell<bool>,
}

impl Keeper {
    pub fn new(kept: Snapshots, host: Rc<Host>, owner: Owner, settings: [u8; 32]) -> Rc<Keeper> {
        let stands = Cell::new(Stands::own(&owner, settings));
        Rc::new(Keeper { kept, host, owner: RefCell::new(owner), stands, failed: Cell::new(false) })
    }

    /// Takes the snapshot in the folder if it holds; one line says what was taken or why not. Whether it did.
    pub fn recall(&self) -> bool {
        let (dir, owner) = (&self.kept.dir, self.owner.borrow());
        let most = Micros::from_secs(self.kept.max_age_s);
        let taken = snapshot::read(dir, &owner).and_then(|s| s.checked(&self.stands.get(), most));
        let file = snapshot::path(dir, &owner);
        snapshot::sweep(dir, &owner);
        match taken {
            Ok((s, age)) => {
                info!(event = "snapshot_taken", age_s = age.secs(), program = %s.header.program,
                    kinds = s.saved.kinds.len(), backends = s.saved.backends.len(), "snapshot taken: warm start");
                self.host.recall(s.saved, age);
                return true;
            }
            Err(Refused::Missing) => {
                info!(event = "snapshot_missing", file = %file.display(), "no snapshot: cold start")
            }
            Err(e) => {
                warn!(event = "snapshot_refused", cause = e.cause(), file = %file.display(), "snapshot refused, cold start: {e}")
            }
        }
        false
    }

    /// Writes one now. The first failure in a row is logged; the next write tries again.
    pub fn write(&self) {
        let whole = Snapshot { header: Header::now(self.stands.get()), saved: self.host.recollect() };
        let (dir, owner) = (&self.kept.dir, self.owner.borrow());
        let written = snapshot::encode(&whole)
            .map_err(|e| e.to_string())
            .and_then(|bytes| snapshot::write(dir, &owner, &bytes).map_err(|e| e.to_string()));
        let failed = self.failed.replace(written.is_err());
        if let Err(e) = written.as_ref().map_err(|e| e.as_str()) {
            if !failed {
                warn!(event = "snapshot_not_written", dir = %dir.display(), "snapshot not written: {e}");
            }
        }
    }

    /// A reload changed whose the file is or what it holds for. The old one is not left behind: should discovery move
    /// back, it would tell nothing of the bans that began and ended since.
    pub fn stand(&self, owner: Owner, settings: [u8; 32]) {
        self.stands.set(Stands::own(&owner, settings));
        let old = self.owner.replace(owner);
        if old != *self.owner.borrow() {
            let _ = std::fs::remove_file(snapshot::path(&self.kept.dir, &old)); // unremoved, it grows too old
        }
        self.write();
    }

    pub async fn keep(self: Rc<Self>) {
        let every = Duration::from_millis(self.kept.every_ms.max(100));
        loop {
            tokio::time::sleep(every).await;
            self.write();
        }
    }
}
