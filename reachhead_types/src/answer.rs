//! A finished answer as it is kept for replay under an idempotency key.

use serde::{Deserialize, Serialize};

/// One header field of a kept answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptField {
    /// Field name in lower case.
    pub name: String,
    /// Field value; fields that are not text are not kept.
    pub value: String,
}

/// A minion's whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header fields that belong to the answer itself.
    pub fields: Vec<KeptField>,
    /// Body in base 64, so that any byte survives the text of the store.
    pub body: String,
}
