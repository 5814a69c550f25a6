//! The thread that writes snapshots to disk. A busy disk can take a second to sync a file, and no request may wait for
//! that.
//!
//! [`SnapshotWriter::submit`] passes a snapshot to the thread and returns at once.
//! [`SnapshotWriter::wait_until_flushed`] waits until the snapshots submitted so far are on disk or have failed.

use super::snapshot::{self, ProxyIdentity, Snapshot, SnapshotError};
use std::cell::Cell;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use thiserror::Error;
use tokio::sync::watch;
use tracing::warn;

/// Reasons for which a snapshot was not written.
#[derive(Debug, Error)]
enum WriteError {
    /// The snapshot cannot be encoded.
    #[error("cannot encode it: {0}")]
    Encode(#[source] SnapshotError),
    /// The file cannot be replaced.
    #[error("cannot replace the file: {0}")]
    Write(#[source] io::Error),
}

/// A snapshot to write to its owner's file.
struct Job {
    /// Jobs are numbered from 1 in the order of submission.
    number: u64,
    owner: ProxyIdentity,
    snapshot: Snapshot,
}

/// The job that waits for the thread. There is at most one, as a newer snapshot replaces one that still waits.
#[derive(Default)]
struct Pending {
    job: Option<Job>,
    /// Whether the writer was dropped and submits no more jobs.
    is_closed: bool,
}

/// A queue for at most one job, from the event loop to the thread.
#[derive(Default)]
struct JobSlot {
    pending: Mutex<Pending>,
    changed: Condvar,
}

impl JobSlot {
    /// Changes the pending job and wakes the thread.
    fn change(&self, change: impl FnOnce(&mut Pending)) {
        change(&mut self.pending.lock().unwrap_or_else(PoisonError::into_inner));
        self.changed.notify_one();
    }

    /// Waits for the next job. Returns `None` once the writer was dropped and no job is left.
    fn next(&self) -> Option<Job> {
        let pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let must_wait = |pending: &mut Pending| pending.job.is_none() && !pending.is_closed;
        let mut pending = self
            .changed
            .wait_while(pending, must_wait)
            .unwrap_or_else(PoisonError::into_inner);
        pending.job.take()
    }
}

/// Submits snapshots to the thread. If the writer is dropped, the thread still writes the last submitted one.
pub struct SnapshotWriter {
    jobs: Arc<JobSlot>,
    /// The number of the last submitted job.
    last_submitted: Cell<u64>,
    /// The number of the last job that was written or failed.
    last_finished: watch::Receiver<u64>,
}

impl SnapshotWriter {
    /// Starts the thread for files in `dir`. `owner` is the proxy whose file an earlier process may have left there.
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

    /// Submits a snapshot, which replaces one that the thread has not started to write. Returns at once.
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

    /// Waits until the snapshots submitted so far are on disk or have failed.
    pub async fn wait_until_flushed(&self) {
        let submitted = self.last_submitted.get();
        let mut finished = self.last_finished.clone();
        // An error means that the thread has panicked, so nothing more will be written.
        let _ = finished.wait_for(|number| *number >= submitted).await;
    }
}

impl Drop for SnapshotWriter {
    fn drop(&mut self) {
        self.jobs.change(|pending| pending.is_closed = true);
    }
}

/// Writes the submitted snapshots until the writer is dropped. Of consecutive failures only the first is logged.
///
/// The file of the previous owner is removed after a reload has changed the owner. Otherwise, if discovery's address
/// changed back, that file would be restored with a list of disabled backends that is out of date.
fn write_jobs(
    jobs: &JobSlot,
    dir: &Path,
    mut owner: ProxyIdentity,
    last_finished: &watch::Sender<u64>,
) {
    let mut last_failed = false;
    while let Some(job) = jobs.next() {
        if job.owner != owner {
            let _ = fs::remove_file(snapshot::file_path(dir, &owner)); // otherwise it expires by its age
            owner = job.owner;
        }
        let written = write_snapshot(dir, &owner, &job.snapshot);
        if let Err(error) = &written {
            if !last_failed {
                warn!(event = "snapshot_not_written", dir = %dir.display(), "cannot write the snapshot: {error}");
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
