//! The thread that writes snapshots: a busy disk can take a second to sync one, and no request may wait for that.
//!
//! [`SnapshotWriter::submit`] hands a snapshot over and returns at once; [`SnapshotWriter::wait_until_flushed`] waits
//! until everything submitted so far is on disk or has failed.

use super::snapshot::{self, ProxyIdentity, Snapshot, SnapshotError};
use std::cell::Cell;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use thiserror::Error;
use tokio::sync::watch;
use tracing::warn;

/// Why a snapshot was not written.
#[derive(Debug, Error)]
enum WriteError {
    /// The snapshot cannot be encoded.
    #[error("{0}")]
    Encode(#[source] SnapshotError),
    /// The file cannot be replaced.
    #[error("{0}")]
    Write(#[source] io::Error),
}

struct Job {
    /// Jobs are numbered from 1 in the order of submission.
    number: u64,
    owner: ProxyIdentity,
    snapshot: Snapshot,
}

/// The next snapshot to write. One at most: a newer snapshot replaces one that still waits.
#[derive(Default)]
struct Pending {
    job: Option<Job>,
    closed: bool,
}

/// A queue of one job between the event loop and the thread.
#[derive(Default)]
struct JobSlot {
    pending: Mutex<Pending>,
    changed: Condvar,
}

impl JobSlot {
    fn change(&self, change: impl FnOnce(&mut Pending)) {
        change(&mut self.pending.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.notify_one();
    }

    /// Waits for the next job; `None` once the writer was dropped and nothing is left to write.
    fn next(&self) -> Option<Job> {
        let pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let must_wait = |pending: &mut Pending| pending.job.is_none() && !pending.closed;
        let mut pending = self
            .changed
            .wait_while(pending, must_wait)
            .unwrap_or_else(PoisonError::into_inner);
        pending.job.take()
    }
}

/// Submits snapshots to the thread. The last one submitted is written even if this is dropped before.
pub struct SnapshotWriter {
    jobs: Arc<JobSlot>,
    last_submitted: Cell<u64>,
    last_finished: watch::Receiver<u64>,
}

impl SnapshotWriter {
    /// Starts the thread for files in `dir`; the file that may be there now is that of `owner`.
    pub fn start(dir: PathBuf, owner: ProxyIdentity) -> io::Result<SnapshotWriter> {
        let jobs = Arc::<JobSlot>::default();
        let (finished, last_finished) = watch::channel(0);
        let thread_jobs = jobs.clone();
        std::thread::Builder::new()
            .name("snapshots".into())
            .spawn(move || write_jobs(&thread_jobs, &dir, owner, &finished))?;
        Ok(SnapshotWriter {
            jobs,
            last_submitted: Cell::new(0),
            last_finished,
        })
    }

    /// Has the snapshot written in place of one that still waits. Returns at once.
    pub fn submit(&self, owner: ProxyIdentity, snapshot: Snapshot) {
        let number = self.last_submitted.get() + 1;
        self.last_submitted.set(number);
        self.jobs.change(|pending| {
            pending.job = Some(Job {
                number,
                owner,
                snapshot,
            });
        });
    }

    /// Waits until everything submitted so far is on disk or has failed.
    pub async fn wait_until_flushed(&self) {
        let submitted = self.last_submitted.get();
        let mut finished = self.last_finished.clone();
        // An error means that the thread has panicked: nothing more will be written.
        let _ = finished.wait_for(|number| *number >= submitted).await;
    }
}

impl Drop for SnapshotWriter {
    fn drop(&mut self) {
        self.jobs.change(|pending| pending.closed = true);
    }
}

/// Writes one snapshot after another. Of consecutive failures only the first is logged. When a reload changed the
/// file's owner the old file is removed: should discovery move back, it would be restored with disabled backends that
/// are out of date.
fn write_jobs(
    jobs: &JobSlot,
    dir: &Path,
    mut owner: ProxyIdentity,
    last_finished: &watch::Sender<u64>,
) {
    let mut last_failed = false;
    while let Some(job) = jobs.next() {
        if job.owner != owner {
            let _ = fs::remove_file(snapshot::path(dir, &owner)); // if it stays, it expires by its age
            owner = job.owner;
        }
        let written = write_snapshot(dir, &owner, &job.snapshot);
        if let Err(error) = &written {
            if !last_failed {
                warn!(event = "snapshot_not_written", dir = %dir.display(), "snapshot not written: {error}");
            }
        }
        last_failed = written.is_err();
        last_finished.send_replace(job.number);
    }
}

fn write_snapshot(
    dir: &Path,
    owner: &ProxyIdentity,
    snapshot: &Snapshot,
) -> Result<(), WriteError> {
    let bytes = snapshot::encode(snapshot).map_err(WriteError::Encode)?;
    snapshot::write(dir, owner, &bytes).map_err(WriteError::Write)
}
