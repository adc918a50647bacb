//! Answers that are kept for replay under an idempotency key.

use serde::{Deserialize, Serialize};

/// One header field of a kept answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptField {
    /// Field name in lower case.
    pub name: String,
    /// Field value; fields whose value is not text are not kept.
    pub value: String,
}

/// A minion's complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end header fields.
    pub fields: Vec<KeptField>,
    /// Body in base 64, since the store keeps text only.
    pub body: String,
}
