//! What the request loop asks of the timer worker.

use super::call::{Call, CallResponse};
use super::config_change::ConfigChange;
use tokio::sync::oneshot;

/// One command.
pub enum Command {
    /// An operator's call, and where its answer goes.
    Call(Call, oneshot::Sender<CallResponse>),
    /// An operator's change of the configuration.
    ChangeConfig(ConfigChange, oneshot::Sender<CallResponse>),
    /// This proxy shuts down: its leases are released.
    Leave,
    /// Something is due now.
    Wake,
}
