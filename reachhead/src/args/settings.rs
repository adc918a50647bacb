//! Arguments of `reachhead settings` and `reachhead operator`.

use std::net::SocketAddr;

use argh::FromArgs;
use reachhead_types::{
    fleet::RowKey,
    id::{ChangeId, GroupName, OperatorName},
    size::Version,
};

/// Read and change the configuration, one row at a time.
#[derive(FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct SettingsArgs {
    #[argh(subcommand)]
    pub command: SettingsCommand,

    /// address of an admin; REACHHEAD_ADMIN by default
    #[argh(option)]
    pub admin: Option<SocketAddr>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum SettingsCommand {
    Get(GetArgs),
    Set(SetArgs),
    Delete(DeleteArgs),
    Effective(EffectiveArgs),
    Log(LogArgs),
    Diff(DiffArgs),
    Undo(UndoArgs),
    Status(StatusArgs),
}

/// Print rows.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetArgs {
    /// prefix of the keys, such as group/ or minion/check-in/
    #[argh(positional, default = "String::new()")]
    pub prefix: String,
}

/// Write a row.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub struct SetArgs {
    /// key of the row, such as group/do-mayor
    #[argh(positional)]
    pub key: RowKey,

    /// value as JSON
    #[argh(positional)]
    pub value: String,

    /// version that the row must still have, 0 for a new row; refused if it has changed
    #[argh(option)]
    pub expected: Option<Version>,

    /// id of the change; repeat the same id to retry after a lost response
    #[argh(option)]
    pub id: Option<ChangeId>,
}

/// Delete a row.
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct DeleteArgs {
    /// key of the row, such as minion/check-in/m1
    #[argh(positional)]
    pub key: RowKey,

    /// version that the row must still have; refused if it has changed
    #[argh(option)]
    pub expected: Option<Version>,

    /// id of the change; repeat the same id to retry after a lost response
    #[argh(option)]
    pub id: Option<ChangeId>,
}

/// Print the effective settings of a group and where each one comes from.
#[derive(FromArgs)]
#[argh(subcommand, name = "effective")]
pub struct EffectiveArgs {
    /// group
    #[argh(positional)]
    pub group: GroupName,
}

/// Print the log of changes.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
pub struct LogArgs {
    /// print only changes after this version
    #[argh(option, default = "Version(0)")]
    pub after: Version,

    /// print only the writes to this row, with their values
    #[argh(option)]
    pub key: Option<RowKey>,
}

/// Print the rows that differ between two versions.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// earlier version
    #[argh(positional)]
    pub from: Version,

    /// later version; the newest by default
    #[argh(positional)]
    pub to: Option<Version>,
}

/// Undo the change of a version by a new change; refused if one of its rows was written since.
#[derive(FromArgs)]
#[argh(subcommand, name = "undo")]
pub struct UndoArgs {
    /// version to undo
    #[argh(positional)]
    pub version: Version,

    /// id of the change; repeat the same id to retry after a lost response
    #[argh(option)]
    pub id: Option<ChangeId>,
}

/// Print on how many entry hosts the newest version is in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// wait until it is in force on all of them, at most this many seconds
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// Manage operators and their tokens.
#[derive(FromArgs)]
#[argh(subcommand, name = "operator")]
pub struct OperatorArgs {
    #[argh(subcommand)]
    pub command: OperatorCommand,

    /// address of an admin; REACHHEAD_ADMIN by default
    #[argh(option)]
    pub admin: Option<SocketAddr>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum OperatorCommand {
    Add(AddOperatorArgs),
    List(ListOperatorArgs),
    Remove(RemoveOperatorArgs),
}

/// Add an operator or replace its token, and print the token; it is shown only once.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
pub struct AddOperatorArgs {
    /// name of the operator
    #[argh(positional)]
    pub name: OperatorName,

    /// group whose subtree the operator has access to; the whole tree by default
    #[argh(option)]
    pub group: Option<GroupName>,
}

/// Print the operators.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListOperatorArgs {}

/// Remove an operator; its token becomes invalid.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct RemoveOperatorArgs {
    /// name of the operator
    #[argh(positional)]
    pub name: OperatorName,
}
