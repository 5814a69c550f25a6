//! The listening socket that the platform passes on, and the other process of this proxy while there are two.

use rustix::fs::{flock, FlockOperation};
use std::fs::File;
use std::io;
use std::net::TcpListener;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

const VARIABLE: &str = "NODE_SOCKET_FD";
const PREFIX: &str = "process-";

/// The socket that `NODE_SOCKET_FD` names; `None` where it names none. Asked once, before anything else runs.
pub fn inherited() -> Result<Option<TcpListener>, String> {
    let Ok(text) = std::env::var(VARIABLE) else {
        return Ok(None);
    };
    let wrong = |what: String| format!("{VARIABLE}={text}: {what}");
    let number: u16 = text
        .trim()
        .parse()
        .map_err(|_| wrong("expected a descriptor's number".into()))?;
    if number < 3 {
        return Err(wrong("expected a descriptor from 3 on".into()));
    }
    // The crate takes the descriptor under the names of systemd's protocol.
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    let taken = listenfd::ListenFd::from_env().take_tcp_listener(0);
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    let listener = taken.map_err(|e| wrong(e.to_string()))?;
    let listener = listener.ok_or_else(|| wrong("expected a socket".into()))?;
    if !socket2::SockRef::from(&listener)
        .is_listener()
        .unwrap_or(false)
    {
        return Err(wrong("expected a listening TCP socket".into()));
    }
    listener
        .set_nonblocking(true)
        .map_err(|e| wrong(e.to_string()))?;
    Ok(Some(listener))
}

/// Which other processes of this proxy take clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Others {
    pub older: bool,
    pub younger: bool,
    /// What they hold.
    pub held: Held,
}

/// Connections of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    pub clients: usize,
    pub upstreams: usize,
}

/// Shows this process to the other one: a file that is locked for as long as the process runs, as the kernel
/// drops a lock however a process ends.
pub struct Presence {
    dir: PathBuf,
    name: String,
    lock: File,
}

impl Presence {
    /// Locks a file that nobody looks at before `publish`.
    pub fn new(dir: &Path) -> io::Result<Presence> {
        std::fs::create_dir_all(dir)?;
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let name = format!("{PREFIX}{:020}-{}", now.as_micros(), std::process::id());
        let lock = File::create_new(dir.join(format!(".{name}")))?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
        Ok(Presence {
            dir: dir.into(),
            name,
            lock,
        })
    }

    /// From now on the other process sees this one.
    pub fn publish(&self) -> io::Result<()> {
        std::fs::rename(
            self.dir.join(format!(".{}", self.name)),
            self.dir.join(&self.name),
        )
    }

    /// Tells the other process what this one holds. Always as long, so that no reader sees half of it.
    pub fn tell(&self, held: Held) {
        let text = format!("{:8} {:8}", held.clients, held.upstreams);
        let _ = self.lock.write_all_at(text.as_bytes(), 0); // unheard, each takes itself for alone
    }

    /// Looks now. Files of processes that are gone are removed.
    pub fn others(&self) -> Others {
        let mut others = Others::default();
        let entries = std::fs::read_dir(&self.dir).into_iter().flatten().flatten();
        for name in entries.filter_map(|e| e.file_name().into_string().ok()) {
            if !name.starts_with(PREFIX) || name == self.name {
                continue;
            }
            let path = self.dir.join(&name);
            let Ok(file) = File::open(&path) else {
                continue;
            };
            match flock(&file, FlockOperation::NonBlockingLockShared) {
                Ok(()) => drop(std::fs::remove_file(&path)),
                Err(_) => {
                    let older = name < self.name;
                    (others.older, others.younger) =
                        (others.older | older, others.younger | !older);
                    let mut text = [0; 17];
                    let read = file.read_exact_at(&mut text, 0).ok();
                    let text = read
                        .and_then(|()| std::str::from_utf8(&text).ok())
                        .unwrap_or_default();
                    let mut numbers = text.split_whitespace().map(|n| n.parse().unwrap_or(0));
                    others.held.clients += numbers.next().unwrap_or(0);
                    others.held.upstreams += numbers.next().unwrap_or(0);
                }
            }
        }
        others
    }
}

impl Drop for Presence {
    fn drop(&mut self) {
        let _ = flock(&self.lock, FlockOperation::Unlock);
        let _ = std::fs::remove_file(self.dir.join(&self.name));
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod stored_formats;
