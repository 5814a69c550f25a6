//! The configuration read again: off the request loop as far as it takes time, and put in force on it in one step.

use crate::net::admin::{Control, Keepers};
use crate::net::cluster::coordination::mono;
use crate::net::config::fleet_overrides::{self, FleetOverrides, PendingEntries};
use crate::net::config::{Again, Node, Source};
use crate::net::descriptor_limits::room;
use crate::net::downstream::server::{self, Rules, Server};
use crate::net::host::Host;
use crate::net::state::snapshot::Owner;
use crate::net::state::snapshot_keeper::Keeper;
use meadowproxy::settings::{Change, InForce};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{mpsc, Arc};
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;
use tracing::{info, warn};

type Job = Box<dyn FnOnce() + Send>;

/// A thread for long work, while the loop that waits for it goes on. One, for as long as the program runs: what a second
/// one allocates and frees would lie in memory of its own, which the allocator does not give back.
#[derive(Clone)]
pub struct Aside(mpsc::Sender<Job>);

impl Aside {
    pub fn start() -> Result<Aside, String> {
        let (give, jobs) = mpsc::channel::<Job>();
        let each = move || {
            for job in jobs {
                // What broke in one job is told to who waits for it, and ends no other.
                let _ = std::panic::catch_unwind(std::panic::AssertUnwindSafe(job));
            }
        };
        let thread = std::thread::Builder::new().name("aside".into()).spawn(each);
        thread
            .map(|_| Aside(give))
            .map_err(|e| format!("no thread to read the configuration on: {e}"))
    }

    /// Does the work there.
    pub async fn run<T: Send + 'static>(
        &self,
        work: impl FnOnce() -> T + Send + 'static,
    ) -> Result<T, String> {
        let (tell, told) = oneshot::channel();
        let _ = self.0.send(Box::new(move || drop(tell.send(work())))); // unsent, it tells nothing
        told.await
            .map_err(|_| "the reading of the configuration broke off".into())
    }

    /// Gives something up there: there may be a hundred thousand entries to free.
    pub fn discard(&self, old: impl Send + 'static) {
        let _ = self.0.send(Box::new(move || drop(old)));
    }
}

/// The operators' door, which the configuration may move.
pub struct Door {
    at: Option<SocketAddr>,
    running: Option<AbortHandle>,
    keepers: Keepers,
}

impl Door {
    /// One that is not open yet.
    pub fn closed(keepers: Keepers) -> Door {
        Door {
            at: None,
            running: None,
            keepers,
        }
    }

    /// Opens it there; where that cannot be, it stays where it was.
    fn open(&mut self, at: SocketAddr) -> Result<(), String> {
        let listener =
            server::listen(at).map_err(|e| format!("control: cannot listen on {at}: {e}"))?;
        self.answer(at, listener);
        Ok(())
    }

    pub fn answer(&mut self, at: SocketAddr, listener: TcpListener) {
        info!("control on {}", listener.local_addr().unwrap_or(at));
        let control = Control::new(self.keepers.clone());
        self.close();
        self.at = Some(at);
        self.running = Some(tokio::task::spawn_local(control.run(listener)).abort_handle());
    }

    fn close(&mut self) {
        self.running
            .take()
            .into_iter()
            .for_each(|task| task.abort());
        self.at = None;
    }

    fn move_to(&mut self, at: Option<SocketAddr>) -> Result<(), String> {
        match at {
            _ if at == self.at => Ok(()),
            Some(at) => self.open(at),
            None => {
                self.close();
                Ok(())
            }
        }
    }
}

/// What the fleet changed, over a file that was read.
struct Entries {
    change: Option<Change>,
    /// The configuration's version where it has all of them.
    version: Option<u64>,
}

/// What a new configuration may change, and what it is checked against.
pub struct Reload {
    pub host: Rc<Host>,
    pub server: Rc<Server>,
    /// Where it may move to; `None` where none is watched.
    pub discovery: Option<watch::Sender<SocketAddr>>,
    pub source: Source,
    pub aside: Aside,
    /// Its zones and kinds are those of the last reading: the host's names know of later ones.
    pub in_force: InForce,
    /// What the fleet's configuration changes in them.
    pub fleet_overrides: Rc<FleetOverrides>,
    /// Digest of the settings that the fleet shares, for what peers learned under them.
    pub shared: Rc<Cell<[u8; 32]>>,
    pub keeper: Option<Rc<Keeper>>,
    pub owner: Owner,
    pub door: Door,
    pub sockets: Rc<Cell<usize>>,
    pub keys: Arc<BTreeSet<String>>,
    pub listen: SocketAddr,
}

impl Reload {
    /// On each SIGHUP reads the configuration again. It is taken as a whole, or nothing of it is. Of signals that come
    /// while one reading goes on, one more follows it: so the last file counts, and never two are read at once.
    pub async fn run(mut self, mut hangup: Signal) {
        loop {
            let fleet_overrides = self.fleet_overrides.clone();
            tokio::select! {
                hung_up = hangup.recv() => if hung_up.is_none() { return },
                () = fleet_overrides.changed() => {
                    self.amend().await;
                    continue;
                }
            }
            let begun = Instant::now();
            let read = self.read().await;
            let (read_ms, step) = (begun.elapsed().as_millis(), Instant::now());
            let taken = read.and_then(|(again, over)| self.take(again, over));
            let step_us = step.elapsed().as_micros(); // so long nothing else ran
            match taken {
                Ok(told) => {
                    info!(
                        event = "configuration_taken",
                        read_ms, step_us, "configuration taken: {told}"
                    );
                }
                Err(e) => warn!("configuration not taken, all stays as it was: {e}"),
            }
        }
    }

    /// Reads, checks and compares, while requests go on. Nothing but [`Reload::take`] changes what it compares with,
    /// apart from places and kinds that lists name meanwhile, which that sees to.
    async fn read(&self) -> Result<(Again, Entries), String> {
        let (source, keys, over) = (
            self.source.clone(),
            self.keys.clone(),
            self.fleet_overrides.snapshot(),
        );
        let in_force = InForce {
            names: self.host.names(),
            ..self.in_force.clone()
        };
        let read = move || {
            let again = Node::read_again(&source, &keys, &in_force).map_err(|e| e.to_string())?;
            let version = again.node.version;
            over.check_file(version).map_err(|e| e.to_string())?;
            let file = again.change.as_ref().ok().map(|change| &change.to);
            let amended =
                file.map(|file| fleet_overrides::amend_file(file, version, &over.overrides));
            let all_fit = amended.as_ref().is_none_or(|amended| amended.all_fit);
            Ok((
                again,
                Entries {
                    change: amended.and_then(|amended| amended.change),
                    version: all_fit.then_some(over.version),
                },
            ))
        };
        self.aside.run(read).await?
    }

    /// Puts the entries that the fleet changed in force, all in one step: none of them where one does not fit.
    async fn amend(&mut self) {
        let PendingEntries { version, edits } = match self.fleet_overrides.pending() {
            Ok(pending) => pending,
            Err(why) => {
                warn!(
                    event = "config_file_old",
                    "not in force until a newer file is read, all stays as it was: {why}"
                );
                return;
            }
        };
        let base = InForce {
            names: self.host.names(),
            ..self.in_force.clone()
        };
        let (file, count) = (self.fleet_overrides.file(), edits.len());
        let amended =
            move || fleet_overrides::amend(&base, &file, &edits).map_err(|error| error.to_string());
        let amended = self.aside.run(amended).await;
        match amended.and_then(|change| change) {
            Ok(change) => {
                let step = Instant::now();
                self.put(change);
                self.fleet_overrides
                    .set_in_force(Some(version), self.in_force.clone());
                let step_us = step.elapsed().as_micros();
                info!(
                    event = "config_in_force",
                    version,
                    entries = count,
                    step_us,
                    mono_us = mono().0,
                    "another version of the configuration"
                );
            }
            Err(why) => warn!(
                event = "config_refused",
                version, "not in force, all stays as it was: {why}"
            ),
        }
    }

    /// Settings in place of others, in one step.
    fn put(&mut self, mut change: Change) {
        change.place(&self.host.names());
        let before = std::mem::replace(&mut self.in_force, change.to.clone());
        self.host.pool.retune(&self.in_force.network);
        self.server
            .retune(Rules::new(&self.in_force.config, &self.in_force.network));
        self.host.retune(change);
        self.aside.discard(before); // by now nobody else holds what is only there
    }

    /// Puts it in force: one step, in which nothing else runs, and none that takes time by the size of the tables.
    fn take(&mut self, again: Again, over: Entries) -> Result<String, String> {
        let Again { node, change } = again;
        if node.discovery.is_some() != self.discovery.is_some() {
            return Err(
                "discovery: expected as before, it comes and goes only with a restart".into(),
            );
        }
        let change = change?;
        // The last that can fail; from here on nothing does.
        self.door.move_to(node.control)?;
        let mut told = change.told.clone();
        if let Some(at) = node.discovery {
            told += &format!(", discovery at {at}");
        }
        if node.listen != self.listen {
            told += &format!(", clients still at {}", self.listen);
        }
        if *self.keys != node.keys {
            self.keys = Arc::new(node.keys.clone());
        }
        self.sockets.set(node.sockets);
        let room = room(node.sockets);
        self.host.pool.limit(room / 2);
        self.server.limit(room - room / 2);
        self.put(change);
        self.fleet_overrides
            .set_file(self.in_force.clone(), node.version);
        if let Some(amended) = over.change {
            self.put(amended);
        }
        self.fleet_overrides
            .set_in_force(over.version, self.in_force.clone());
        self.shared.set(node.shared);
        self.owner.discovery = node.discovery;
        self.keeper
            .iter()
            .for_each(|k| k.stand(self.owner.clone(), node.settings));
        if let Some((moved, to)) = self.discovery.as_ref().zip(node.discovery) {
            moved.send_if_modified(|at| std::mem::replace(at, to) != to);
        }
        self.aside.discard(node);
        Ok(told)
    }
}
