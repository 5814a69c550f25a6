//! Keeps what the module learned in a snapshot, and takes it back at the start.

use crate::net::config::Snapshots;
use crate::net::host::Host;
use crate::net::state::snapshot::writer::Writer;
use crate::net::state::snapshot::{self, Header, Owner, Refused, Snapshot, Stands};
use meadowproxy::Micros;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// The end of the program, and a call at the door that has to outlive it, wait so long for the disk.
const DISK: Duration = Duration::from_secs(1);

pub struct Keeper {
    kept: Snapshots,
    host: Rc<Host>,
    /// Whose the file is, and what it holds for; a reload changes both.
    owner: RefCell<Owner>,
    stands: Cell<Stands>,
    writer: Writer,
}

impl Keeper {
    pub fn new(
        kept: Snapshots,
        host: Rc<Host>,
        owner: Owner,
        settings: [u8; 32],
    ) -> Result<Rc<Keeper>, String> {
        let stands = Cell::new(Stands::own(&owner, settings));
        let writer = Writer::start(kept.dir.clone(), owner.clone());
        let writer = writer.map_err(|e| format!("no thread to write snapshots on: {e}"))?;
        Ok(Rc::new(Keeper {
            kept,
            host,
            owner: RefCell::new(owner),
            stands,
            writer,
        }))
    }

    /// Takes the snapshot in the folder if it holds; one line says what was taken or why not. Whether it did.
    pub fn recall(&self) -> bool {
        let (dir, owner) = (&self.kept.dir, self.owner.borrow());
        let most = Micros::from_secs_f64(self.kept.max_age_s);
        let taken = snapshot::read(dir, &owner).and_then(|s| s.checked(&self.stands.get(), most));
        let file = snapshot::path(dir, &owner);
        snapshot::sweep(dir, &owner);
        match taken {
            Ok((s, age)) => {
                info!(event = "snapshot_taken", age_s = age.as_secs_f64(), program = %s.header.program,
                    kinds = s.saved.kinds.len(), backends = s.saved.backends.len(), "snapshot taken: warm start");
                self.host.recall(s.saved, age);
                return true;
            }
            Err(Refused::Missing) => {
                info!(event = "snapshot_missing", file = %file.display(), "no snapshot: cold start");
            }
            Err(e) => {
                warn!(event = "snapshot_refused", cause = e.cause(), file = %file.display(), "snapshot refused, cold start: {e}");
            }
        }
        false
    }

    /// Has one of this moment written.
    pub fn write(&self) {
        let whole = Snapshot {
            header: Header::now(self.stands.get()),
            saved: self.host.learned_state(),
        };
        self.writer.give(self.owner.borrow().clone(), whole);
    }

    /// Until what was to be written is on disk or could not be, for a second at most.
    pub async fn settled(&self) {
        if tokio::time::timeout(DISK, self.writer.settled())
            .await
            .is_err()
        {
            let dir = self.kept.dir.display();
            warn!(event = "snapshot_late", %dir, "the snapshot is not on disk after {DISK:?}");
        }
    }

    /// A reload changed whose the file is or what it holds for.
    pub fn stand(&self, owner: Owner, settings: [u8; 32]) {
        self.stands.set(Stands::own(&owner, settings));
        *self.owner.borrow_mut() = owner;
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
