//! What a round of the owner ordered, and whether only its start budget kept it from ordering more.

use crate::pool::Pool;

/// Start orders of a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RoundOutcome {
    /// Start orders, with those that were sent again: they cost the owner the same.
    pub started: u32,
    /// Tasks that may start, and that workers have free capacity for, waited because the start
    /// budget was empty.
    pub limited: bool,
}

impl Pool {
    /// Records a start order in the budget and the outcome of this round.
    pub(super) fn charge_start(&mut self, payload: &str) {
        self.start_budget.take(payload);
        self.round.started += 1;
    }
}
