//! Hot restart: a new process of the same proxy takes over the listening socket while the old one still serves its
//! connections.
//!
//! [`inherited_listener`] takes the socket that the platform passes on. Each process creates a [`Presence`] file in a
//! folder that they share, by which the other one detects it and reads how many connections it has.

use crate::net::memory_usage::resident_bytes;
use rustix::fs::{flock, FlockOperation};
use std::fs::File;
use std::io;
use std::net::TcpListener;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

const SOCKET_VARIABLE: &str = "NODE_SOCKET_FD";
/// The lowest valid descriptor. Lower ones are standard input, output and error.
const FIRST_PASSED_DESCRIPTOR: u16 = 3;
const FILE_NAME_PREFIX: &str = "process-";
/// Length of a presence file: two numbers, padded to eight characters each, with a space between them.
const PRESENCE_BYTES: usize = 17;

/// Reasons for which the value of `NODE_SOCKET_FD` cannot be used.
#[derive(Debug, Error)]
pub enum DescriptorError {
    /// The value is not a number.
    #[error("expected the number of a file descriptor")]
    NotANumber,
    /// The number is that of a standard stream.
    #[error("expected a file descriptor of at least {FIRST_PASSED_DESCRIPTOR}")]
    StandardStream,
    /// The descriptor is not a socket.
    #[error("expected a socket")]
    NotASocket,
    /// The socket does not listen.
    #[error("expected a listening TCP socket")]
    NotListening,
    /// A system call on the descriptor failed.
    #[error("cannot use the file descriptor: {0}")]
    Unusable(#[source] io::Error),
}

/// `NODE_SOCKET_FD` does not name a usable socket.
#[derive(Debug, Error)]
#[error("{SOCKET_VARIABLE}={value}: {reason}")]
pub struct InheritError {
    value: String,
    #[source]
    reason: DescriptorError,
}

/// Takes ownership of the listening socket that `NODE_SOCKET_FD` names. Returns `None` if the variable is not set. Call
/// it only once and before any other thread runs, because it changes environment variables.
pub fn inherited_listener() -> Result<Option<TcpListener>, InheritError> {
    let Ok(value) = std::env::var(SOCKET_VARIABLE) else {
        return Ok(None);
    };
    match take_descriptor(&value) {
        Ok(listener) => Ok(Some(listener)),
        Err(reason) => Err(InheritError { value, reason }),
    }
}

fn take_descriptor(value: &str) -> Result<TcpListener, DescriptorError> {
    let number: u16 = value
        .trim()
        .parse()
        .map_err(|_| DescriptorError::NotANumber)?;
    if number < FIRST_PASSED_DESCRIPTOR {
        return Err(DescriptorError::StandardStream);
    }
    // The crate `listenfd` reads the environment variables of systemd's socket activation.
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    let taken = listenfd::ListenFd::from_env().take_tcp_listener(0);
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    let listener = taken
        .map_err(DescriptorError::Unusable)?
        .ok_or(DescriptorError::NotASocket)?;
    let listens = socket2::SockRef::from(&listener).is_listener();
    if !listens.unwrap_or(false) {
        return Err(DescriptorError::NotListening);
    }
    listener
        .set_nonblocking(true)
        .map_err(DescriptorError::Unusable)?;
    Ok(listener)
}

/// The other processes of this proxy that accept clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherProcesses {
    /// Whether one of them started before this process.
    pub older: bool,
    /// Whether one of them started after this process.
    pub newer: bool,
    /// The sum of their open connections.
    pub connections: ConnectionCounts,
}

impl OtherProcesses {
    /// Returns whether there is any other process.
    pub fn any(&self) -> bool {
        self.older || self.newer
    }

    fn add(&mut self, is_older: bool, connections: ConnectionCounts) {
        self.older |= is_older;
        self.newer |= !is_older;
        self.connections.clients += connections.clients;
        self.connections.upstreams += connections.upstreams;
    }
}

/// The numbers of open connections of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// From clients.
    pub clients: usize,
    /// To backends.
    pub upstreams: usize,
}

impl ConnectionCounts {
    /// Returns the content of a presence file. Its length is constant, so that each write replaces the whole content
    /// and no reader sees a part of it.
    fn to_text(self) -> String {
        format!("{:8} {:8}", self.clients, self.upstreams)
    }

    /// Reads a presence file. A number that cannot be read counts as 0.
    fn read(file: &File) -> ConnectionCounts {
        let mut bytes = [0; PRESENCE_BYTES];
        let read = file.read_exact_at(&mut bytes, 0);
        let text = match read {
            Ok(()) => std::str::from_utf8(&bytes).unwrap_or_default(),
            Err(_) => "",
        };
        let mut numbers = text.split_whitespace().map(|n| n.parse().unwrap_or(0));
        ConnectionCounts {
            clients: numbers.next().unwrap_or(0),
            upstreams: numbers.next().unwrap_or(0),
        }
    }
}

/// The presence file of this process, which stays locked as long as the process runs. The kernel releases the lock
/// however the process ends, so a file without a lock belongs to a process that has ended.
pub struct Presence {
    dir: PathBuf,
    file_name: String,
    lock: File,
}

impl Presence {
    /// Creates and locks the file in `dir`. Its name is hidden, so that other processes ignore it until
    /// [`Presence::publish`].
    pub fn new(dir: &Path) -> io::Result<Presence> {
        std::fs::create_dir_all(dir)?;
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let process = std::process::id();
        // File names sort by the start time of their processes.
        let file_name = format!("{FILE_NAME_PREFIX}{:020}-{process}", now.as_micros());
        let lock = File::create_new(dir.join(format!(".{file_name}")))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
        Ok(Presence {
            dir: dir.into(),
            file_name,
            lock,
        })
    }

    /// Makes this process visible to other processes: renames the file to its name without the leading dot.
    pub fn publish(&self) -> io::Result<()> {
        std::fs::rename(
            self.dir.join(format!(".{}", self.file_name)),
            self.dir.join(&self.file_name),
        )
    }

    /// Writes this process's numbers of connections into the file.
    pub fn write_counts(&self, connections: ConnectionCounts) {
        // Errors are ignored: the other process then reads the previous counts, or none, as if it were the only one.
        let _ = self.lock.write_all_at(connections.to_text().as_bytes(), 0);
    }

    /// Reads the presence files of other processes, and removes those of processes that have ended.
    pub fn other_processes(&self) -> OtherProcesses {
        let mut others = OtherProcesses::default();
        for (file_name, file) in self.published_by_others() {
            others.add(file_name < self.file_name, ConnectionCounts::read(&file));
        }
        others
    }

    /// Returns the resident memory of the other processes in bytes; `None` if there are none. One that cannot be observed
    /// counts as 0.
    pub fn resident_bytes_of_others(&self) -> Option<usize> {
        let others = self.published_by_others();
        let resident = others.iter().map(|(file_name, _)| {
            let process = file_name.rsplit('-').next().and_then(|id| id.parse().ok());
            process.and_then(resident_bytes).unwrap_or(0)
        });
        (!others.is_empty()).then(|| resident.sum())
    }

    /// Returns the names and files of other running processes.
    fn published_by_others(&self) -> Vec<(String, File)> {
        let mut others = Vec::new();
        let entries = std::fs::read_dir(&self.dir).into_iter().flatten().flatten();
        for file_name in entries.filter_map(|entry| entry.file_name().into_string().ok()) {
            if !file_name.starts_with(FILE_NAME_PREFIX) || file_name == self.file_name {
                continue;
            }
            let path = self.dir.join(&file_name);
            let Ok(file) = File::open(&path) else {
                continue;
            };
            let has_ended = flock(&file, FlockOperation::NonBlockingLockShared).is_ok();
            if has_ended {
                let _ = std::fs::remove_file(&path);
            } else {
                others.push((file_name, file));
            }
        }
        others
    }
}

impl Drop for Presence {
    fn drop(&mut self) {
        let _ = flock(&self.lock, FlockOperation::Unlock);
        let _ = std::fs::remove_file(self.dir.join(&self.file_name));
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod stored_formats;
