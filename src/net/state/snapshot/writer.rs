//! The thread that writes snapshots: a busy disk takes a second to sync one, and no request is to wait for that.

use super::{encode, path, write, Owner, Snapshot};
use std::cell::Cell;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use tokio::sync::watch;
use tracing::warn;

struct Job {
    number: u64,
    owner: Owner,
    snapshot: Snapshot,
}

/// What is to be written next. One at most, as a newer snapshot holds all that an older one would have told.
#[derive(Default)]
struct Pending {
    job: Option<Job>,
    closed: bool,
}

#[derive(Default)]
struct Slot {
    pending: Mutex<Pending>,
    news: Condvar,
}

impl Slot {
    fn change(&self, change: impl FnOnce(&mut Pending)) {
        change(&mut self.pending.lock().unwrap_or_else(PoisonError::into_inner));
        self.news.notify_one();
    }

    /// Waits for the next job; `None` once there will be none.
    fn next(&self) -> Option<Job> {
        let pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let waits = |p: &mut Pending| p.job.is_none() && !p.closed;
        let mut pending = self
            .news
            .wait_while(pending, waits)
            .unwrap_or_else(PoisonError::into_inner);
        pending.job.take()
    }
}

/// Hands snapshots to that thread. What was given last is written, also where this is dropped meanwhile.
pub struct Writer {
    slot: Arc<Slot>,
    given: Cell<u64>,
    done: watch::Receiver<u64>,
}

impl Writer {
    /// For files in `dir`, of which the one there may be now is this owner's.
    pub fn start(dir: PathBuf, owner: Owner) -> io::Result<Writer> {
        let (slot, (tell, done)) = (Arc::<Slot>::default(), watch::channel(0));
        let jobs = slot.clone();
        let each = move || run(&jobs, &dir, owner, &tell);
        std::thread::Builder::new()
            .name("snapshots".into())
            .spawn(each)?;
        Ok(Writer {
            slot,
            given: Cell::new(0),
            done,
        })
    }

    /// Has it written in place of what still waits. Returns at once.
    pub fn give(&self, owner: Owner, snapshot: Snapshot) {
        let number = self.given.get() + 1;
        self.given.set(number);
        self.slot.change(|pending| {
            pending.job = Some(Job {
                number,
                owner,
                snapshot,
            });
        });
    }

    /// Until all that was given so far is on disk, or could not be written.
    pub async fn settled(&self) {
        let (given, mut done) = (self.given.get(), self.done.clone());
        let _ = done.wait_for(|number| *number >= given).await; // an error: the thread broke, and writes no more
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.slot.change(|pending| pending.closed = true);
    }
}

/// Writes one snapshot after another. Of failures in a row the first is logged. Where a reload changed whose the file
/// is, the old one is not left behind: should discovery move back, it would tell nothing of the bans that began and
/// ended since.
fn run(slot: &Slot, dir: &Path, mut owner: Owner, done: &watch::Sender<u64>) {
    let mut failed = false;
    while let Some(job) = slot.next() {
        if job.owner != owner {
            let _ = fs::remove_file(path(dir, &owner)); // unremoved, it grows too old
            owner = job.owner;
        }
        let bytes = encode(&job.snapshot).map_err(|e| e.to_string());
        let written = bytes.and_then(|bytes| write(dir, &owner, &bytes).map_err(|e| e.to_string()));
        if let Some(e) = written.as_ref().err().filter(|_| !failed) {
            warn!(event = "snapshot_not_written", dir = %dir.display(), "snapshot not written: {e}");
        }
        failed = written.is_err();
        done.send_replace(job.number);
    }
}
