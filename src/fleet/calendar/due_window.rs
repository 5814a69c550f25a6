//! Windows that are due to drain, and the order in which they take capacity from the disruption budget.

use super::window::Window;
use super::WallTime;

/// A window that is due to drain.
pub(super) struct DueWindow<'a> {
    /// The actual begin of the occurrence that is due.
    pub(super) begin: WallTime,
    /// The planned begin of that occurrence, which identifies it.
    pub(super) occurrence: WallTime,
    pub(super) window: &'a Window,
}

impl<'a> DueWindow<'a> {
    /// The sort key: windows take from the budget in the order of begin and id.
    pub(super) fn order(&self) -> (WallTime, &'a str) {
        (self.begin, &self.window.id)
    }
}
