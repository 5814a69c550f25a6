//! Windows whose time to drain has come, and the order in which they take from the disruption budget.

use super::window::Window;
use super::WallTime;

/// A window whose time to drain has come.
pub(super) struct DueWindow<'a> {
    /// The occurrence's actual begin.
    pub(super) begin: WallTime,
    /// The occurrence, by its planned begin.
    pub(super) occurrence: WallTime,
    pub(super) window: &'a Window,
}

impl<'a> DueWindow<'a> {
    /// Windows take from the budget in the order of begin and id.
    pub(super) fn order(&self) -> (WallTime, &'a str) {
        (self.begin, &self.window.id)
    }
}
