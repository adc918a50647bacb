//! The use of this process's own link, as a reason for answers of the store that are late.

/// Tells whether answers are late because of this process's own link.
pub trait LinkUse: Send + Sync {
    /// Returns whether a large answer fills the link, so that other answers wait behind it.
    fn is_filled(&self) -> bool;
}

/// A link that no answer fills.
#[derive(Debug, Clone, Copy)]
pub struct IdleLink;

impl LinkUse for IdleLink {
    fn is_filled(&self) -> bool {
        false
    }
}
