//! Encodes and restores the snapshots of learned state that the proxies of a fleet send to each other.

use crate::net::host::Host;
use crate::net::state::snapshot::{self, Header, Snapshot, SnapshotScope, VerifiedSnapshot};
use meadowproxy::Micros;
use std::cell::Cell;
use std::rc::Rc;
use tracing::{info, warn};

/// Encodes the host's learned state for another proxy, and restores what another proxy sent.
pub struct SnapshotExchange {
    host: Rc<Host>,
    /// Hash of the settings in force, which a reload changes. A snapshot is valid only under equal settings.
    settings_hash: Rc<Cell<[u8; 32]>>,
    /// Maximum age of a snapshot that is restored.
    max_age: Micros,
}

impl SnapshotExchange {
    pub fn new(
        host: Rc<Host>,
        settings_hash: Rc<Cell<[u8; 32]>>,
        max_age: Micros,
    ) -> SnapshotExchange {
        SnapshotExchange {
            host,
            settings_hash,
            max_age,
        }
    }

    /// Encodes the learned state of this proxy; returns `None` while nothing was learned. The backends that operators
    /// disabled are not included, as that applies to this proxy only.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut saved = self.host.learned_state();
        saved.disabled.clear();
        if saved.overall_latency.count == 0.0 {
            return None;
        }
        let header = Header::now(self.scope());
        snapshot::encode(&Snapshot { header, saved }).ok()
    }

    /// Restores another proxy's snapshot if it is valid for this proxy, and logs the result.
    pub fn restore(&self, bytes: &[u8]) {
        let checked = snapshot::decode(bytes)
            .and_then(|snapshot| snapshot.verify(&self.scope(), self.max_age));
        match checked {
            Ok(VerifiedSnapshot { snapshot, age }) => {
                info!(
                    event = "peer_snapshot_taken",
                    age_s = age.as_secs_f64(),
                    bytes = bytes.len(),
                    kinds = snapshot.saved.hardware_classes.len(),
                    "restored a peer's snapshot: warm start"
                );
                self.host.restore_learned_state(snapshot.saved, age);
            }
            Err(error) => {
                warn!(
                    event = "snapshot_refused",
                    cause = error.cause(),
                    "rejected a peer's snapshot: {error}"
                );
            }
        }
    }

    /// Returns the scope in which a snapshot is valid.
    fn scope(&self) -> SnapshotScope {
        SnapshotScope::for_fleet(self.settings_hash.get())
    }
}
