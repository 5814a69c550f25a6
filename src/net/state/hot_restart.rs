//! Hot restart: the listening socket that a process inherits, and the other process of the same proxy while there are
//! two of them.
//!
//! [`inherited_listener`] takes the socket that the platform passes on. A [`Presence`] file in a folder that both
//! processes share shows each of them whether there is another one, and how many connections it has.

use rustix::fs::{flock, FlockOperation};
use std::fs::File;
use std::io;
use std::net::TcpListener;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

const SOCKET_VARIABLE: &str = "NODE_SOCKET_FD";
/// Lower descriptors are standard input, output and error.
const FIRST_PASSED_DESCRIPTOR: u16 = 3;
const FILE_NAME_PREFIX: &str = "process-";
/// Length of a presence file: two numbers of eight digits and a space between them.
const PRESENCE_BYTES: usize = 17;

/// What is wrong with the descriptor that was passed on.
#[derive(Debug, Error)]
pub enum DescriptorError {
    /// The variable does not hold a number.
    #[error("expected a descriptor's number")]
    NotANumber,
    /// The number is one of the standard streams.
    #[error("expected a descriptor from 3 on")]
    StandardStream,
    /// No socket has that descriptor.
    #[error("expected a socket")]
    NotASocket,
    /// The socket does not listen.
    #[error("expected a listening TCP socket")]
    NotListening,
    /// The descriptor cannot be used.
    #[error("{0}")]
    Unusable(#[source] io::Error),
}

/// `NODE_SOCKET_FD` names no usable socket.
#[derive(Debug, Error)]
#[error("{SOCKET_VARIABLE}={value}: {reason}")]
pub struct InheritError {
    value: String,
    #[source]
    reason: DescriptorError,
}

/// Takes the listening socket that `NODE_SOCKET_FD` names; `None` where the variable is not set. Call it once, before
/// any other thread runs: it changes environment variables.
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
    // The crate takes descriptors by the variables of systemd's protocol.
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

/// Which other processes of this proxy accept clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherProcesses {
    /// One started before this one.
    pub older: bool,
    /// One started after this one.
    pub newer: bool,
    /// The sum of their open connections.
    pub connections: ConnectionCounts,
}

impl OtherProcesses {
    /// Whether there is any.
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

/// Open connections of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// From clients.
    pub clients: usize,
    /// To backends.
    pub upstreams: usize,
}

impl ConnectionCounts {
    /// The text of a presence file: always equally long, so that no reader sees half of it.
    fn to_text(self) -> String {
        format!("{:8} {:8}", self.clients, self.upstreams)
    }

    /// Reads a presence file; what cannot be read counts as no connections.
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

/// Shows this process to the other one by a file that stays locked for as long as the process runs: the kernel drops a
/// lock however a process ends.
pub struct Presence {
    dir: PathBuf,
    file_name: String,
    lock: File,
}

impl Presence {
    /// Creates and locks the file under a hidden name, which other processes ignore until [`Presence::publish`].
    pub fn new(dir: &Path) -> io::Result<Presence> {
        std::fs::create_dir_all(dir)?;
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let process = std::process::id();
        // Names sort by the time of their process's start.
        let file_name = format!("{FILE_NAME_PREFIX}{:020}-{process}", now.as_micros());
        let lock = File::create_new(dir.join(format!(".{file_name}")))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
        Ok(Presence {
            dir: dir.into(),
            file_name,
            lock,
        })
    }

    /// Makes this process visible to the others.
    pub fn publish(&self) -> io::Result<()> {
        std::fs::rename(
            self.dir.join(format!(".{}", self.file_name)),
            self.dir.join(&self.file_name),
        )
    }

    /// Writes how many connections this process has.
    pub fn write_counts(&self, connections: ConnectionCounts) {
        // After a failed write the other process counts none, as if it were the only one.
        let _ = self.lock.write_all_at(connections.to_text().as_bytes(), 0);
    }

    /// Looks for other processes now. Removes the files of processes that have ended.
    pub fn other_processes(&self) -> OtherProcesses {
        let mut others = OtherProcesses::default();
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
                others.add(file_name < self.file_name, ConnectionCounts::read(&file));
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
