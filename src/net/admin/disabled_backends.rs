//! Backends that operators took out by hand, kept in `$TMPDIR` for the next process and for one beside this.
//! One empty file a ban: names appear and go whole, and two processes never overwrite each other's.

use crate::net::host::{Host, Why};
use crate::net::state::snapshot_keeper::Keeper;
use meadowproxy::Time;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, UNIX_EPOCH};
use tracing::{info, warn};

/// Well inside the grace in which a change made at the other process has to reach this one.
const LOOK_EVERY: Duration = Duration::from_millis(100);
const OUT: &str = "out-";
const BACK: &str = "back-";

pub struct Maintenance {
    host: Rc<Host>,
    dir: Option<PathBuf>,
    /// Writes with each change, so that what operators were told outlives a crash.
    keeper: Option<Rc<Keeper>>,
    /// The bans that the folder held at the last look, or that were put there since.
    kept: RefCell<BTreeSet<String>>,
    /// What was complained of, to be told once.
    told: RefCell<BTreeSet<String>>,
}

/// What the folder holds: bans, and backends that came back, each with the time of its file.
#[derive(Default)]
struct Kept {
    out: BTreeSet<String>,
    back: Vec<(String, Time)>,
}

impl Maintenance {
    /// Carries out the bans that are kept already. Of one that a snapshot brought, the folder knows better whether it
    /// is over; what it does not know of is put there, so that the other process hears of its end.
    pub fn new(
        host: Rc<Host>,
        dir: Option<PathBuf>,
        keeper: Option<Rc<Keeper>>,
    ) -> Rc<Maintenance> {
        let (kept, told) = (RefCell::default(), RefCell::default());
        let this = Maintenance {
            host,
            dir,
            keeper,
            kept,
            told,
        };
        let found = this.look().unwrap_or_default(); // told of below
        for (name, since) in found
            .back
            .iter()
            .filter(|(name, _)| !found.out.contains(name))
        {
            if !this.host.restore(name, Why::Hand, *since) {
                this.host.returned(name, *since);
            }
        }
        let banned = this.host.learned_state().withdrawn;
        banned
            .iter()
            .filter(|name| !found.out.contains(*name))
            .for_each(|name| this.put(name));
        this.follow_once();
        Rc::new(this)
    }

    /// Puts a ban into the folder.
    fn put(&self, name: &str) {
        let Some(dir) = &self.dir else { return };
        match File::create(dir.join(file(OUT, name))) {
            Ok(_) => drop(self.kept.borrow_mut().insert(name.into())),
            Err(e) => warn!("TMPDIR: the ban of {name} holds in this process only: {e}"),
        }
        let _ = std::fs::remove_file(dir.join(file(BACK, name)));
    }

    fn write(&self) {
        self.keeper.iter().for_each(|k| k.write());
    }

    /// Until a crash takes away nothing of what was done, or the disk has had its time.
    pub async fn settled(&self) {
        if let Some(keeper) = &self.keeper {
            keeper.settled().await;
        }
    }

    /// Nothing more to that backend; false where none of that name is known.
    pub fn enter(&self, name: &str) -> bool {
        if !self.host.withdraw(name, Why::Hand) {
            return false;
        }
        info!("control: {name} is out");
        self.put(name);
        self.write();
        true
    }

    /// Use it again; false where none of that name is known.
    pub fn exit(&self, name: &str) -> bool {
        if !self.host.knows(name) {
            return false;
        }
        let at = self.dir.as_ref().map(|dir| dir.join(file(OUT, name)));
        let kept = at.as_ref().is_some_and(|at| at.exists());
        if !kept && !self.host.withdrawn(name, Why::Hand) {
            return true; // a repeated call changes nothing: it is no fresh start
        }
        if let Some((dir, at)) = self.dir.as_ref().zip(at).filter(|_| kept) {
            let marked = File::create(dir.join(file(BACK, name))).map(drop);
            if let Err(e) = marked.and_then(|()| gone(std::fs::remove_file(at))) {
                warn!("TMPDIR: the end of the ban of {name} holds in this process only: {e}");
            }
        }
        self.kept.borrow_mut().remove(name);
        let now = self.host.clock.now();
        if !self.host.restore(name, Why::Hand, now) {
            self.host.returned(name, now); // the other process's ban, which was not carried out here yet
        }
        info!("control: {name} is back");
        self.write();
        true
    }

    /// Carries out what the other process kept or removed, for as long as the program runs.
    pub async fn follow(self: Rc<Self>) {
        while self.dir.is_some() {
            tokio::time::sleep(LOOK_EVERY).await;
            self.follow_once();
        }
    }

    fn follow_once(&self) {
        let now = match self.look() {
            Ok(kept) => kept.out,
            Err(e) => {
                return self.tell(format!(
                    "TMPDIR: bans kept before hold, others are not seen: {e}"
                ))
            }
        };
        let before = std::mem::replace(&mut *self.kept.borrow_mut(), now.clone());
        for name in now.difference(&before) {
            info!("{name} is out, as kept in TMPDIR");
            self.host.withdraw_unheard(name, Why::Hand);
        }
        for name in before.difference(&now) {
            info!("{name} is back, as TMPDIR keeps it no more");
            self.host.restore(name, Why::Hand, self.host.clock.now());
        }
        if now != before {
            self.write();
        }
    }

    /// The whole folder, or nothing of it: a ban that a broken look leaves out would be taken for one that is over.
    fn look(&self) -> io::Result<Kept> {
        let mut kept = Kept::default();
        let Some(dir) = &self.dir else {
            return Ok(kept);
        };
        for entry in std::fs::read_dir(dir)? {
            let entry = entry?;
            let name = entry.file_name();
            let text = name.to_string_lossy();
            let of = |prefix| text.strip_prefix(prefix).map(decode);
            match (of(OUT), of(BACK)) {
                (Some(Some(id)), _) => drop(kept.out.insert(id)),
                (_, Some(Some(id))) => {
                    let since = entry.metadata().and_then(|m| m.modified()).ok();
                    let since = since.and_then(|at| at.duration_since(UNIX_EPOCH).ok());
                    kept.back
                        .push((id, Time(since.map_or(0, |at| at.as_micros() as u64))));
                }
                (Some(None), _) | (_, Some(None)) => {
                    self.tell(format!("TMPDIR: {text}: no ban, skipped"));
                }
                (None, None) => {} // another part's
            }
        }
        Ok(kept)
    }

    fn tell(&self, what: String) {
        if self.told.borrow_mut().insert(what.clone()) {
            warn!("{what}");
        }
    }
}

fn gone(removed: io::Result<()>) -> io::Result<()> {
    removed.or_else(|e| {
        if e.kind() == io::ErrorKind::NotFound {
            Ok(())
        } else {
            Err(e)
        }
    })
}

/// Ids may hold anything: in hex they are plain names of files.
fn file(prefix: &str, id: &str) -> PathBuf {
    Path::new(&format!("{prefix}{}", hex::encode(id))).into()
}

fn decode(text: &str) -> Option<String> {
    let bytes = hex::decode(text).ok().filter(|bytes| !bytes.is_empty())?;
    String::from_utf8(bytes).ok()
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod stored_formats;
