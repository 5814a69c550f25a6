//! Commands from the request loop to the timer worker.

use super::call::{Call, CallResponse};
use super::config_change::ConfigChange;
use tokio::sync::oneshot;

/// A command to the timer worker.
pub enum Command {
    /// Handle an operator's call and send the response.
    Call(Call, oneshot::Sender<CallResponse>),
    /// Submit an operator's change of the configuration and send the response.
    ChangeConfig(ConfigChange, oneshot::Sender<CallResponse>),
    /// Release this proxy's leases, as it shuts down.
    Leave,
    /// Run a round now, without waiting for the next timer.
    Wake,
}
