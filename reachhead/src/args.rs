//! The command line's words.

use std::{net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use reachhead_types::{
    fleet::RowKey,
    id::{ChangeId, GroupName, HostId, OperatorName, PoolName, RackName, WaveName, ZoneName},
    size::{Accelerators, Cores, Gibibytes, Version},
};

/// Operators' command line of reachhead. Exit codes: 1 failed, 2 usage, 3 faults in settings.
#[derive(FromArgs)]
pub struct Args {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Check(CheckArgs),
    Dump(DumpArgs),
    Apply(ApplyArgs),
    Settings(SettingsArgs),
    Operator(OperatorArgs),
    Host(HostArgs),
    Pool(PoolArgs),
    Wave(WaveArgs),
}

/// Check a settings file without starting anything, or explain the settings of a program.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// settings file of any program, or a fleet file
    #[argh(positional)]
    pub file: Option<PathBuf>,

    /// print every setting of a program with its default: entry, control, admin or fleet
    #[argh(option)]
    pub explain: Option<String>,
}

/// Print the state of a process.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct DumpArgs {
    /// ops address of the process
    #[argh(positional)]
    pub address: SocketAddr,

    /// what to print: state (default), metrics, ready or live
    #[argh(option, default = "String::from(\"state\")")]
    pub page: String,
}

/// Bring the configuration in line with a fleet file.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// fleet file
    #[argh(positional)]
    pub file: PathBuf,

    /// delete rows that the file does not have
    #[argh(switch)]
    pub prune: bool,

    /// print what would change and change nothing
    #[argh(switch)]
    pub dry_run: bool,

    /// address of an admin; REACHHEAD_ADMIN by default
    #[argh(option)]
    pub admin: Option<SocketAddr>,
}

/// Read and change the tree of settings, one row at a time.
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
    /// what the keys start with, as in group/ or minion/check-in/
    #[argh(positional, default = "String::new()")]
    pub prefix: String,
}

/// Write a row.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub struct SetArgs {
    /// key, as in group/do-mayor
    #[argh(positional)]
    pub key: RowKey,

    /// value in JSON
    #[argh(positional)]
    pub value: String,

    /// version that the row was seen at, 0 for a new row; refuse if it changed since
    #[argh(option)]
    pub expected: Option<Version>,

    /// id of the change; give the same one again after a lost answer
    #[argh(option)]
    pub id: Option<ChangeId>,
}

/// Delete a row.
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct DeleteArgs {
    /// key, as in minion/check-in/m1
    #[argh(positional)]
    pub key: RowKey,

    /// version that the row was seen at; refuse if it changed since
    #[argh(option)]
    pub expected: Option<Version>,

    /// id of the change; give the same one again after a lost answer
    #[argh(option)]
    pub id: Option<ChangeId>,
}

/// Print what is in force for a group and where it comes from.
#[derive(FromArgs)]
#[argh(subcommand, name = "effective")]
pub struct EffectiveArgs {
    /// group
    #[argh(positional)]
    pub group: GroupName,
}

/// Print who changed what.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
pub struct LogArgs {
    /// start after this version
    #[argh(option, default = "Version(0)")]
    pub after: Version,

    /// only the writes of this row, with their values
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

/// Undo a version by a new change; refused if one of its rows was written since.
#[derive(FromArgs)]
#[argh(subcommand, name = "undo")]
pub struct UndoArgs {
    /// version to undo
    #[argh(positional)]
    pub version: Version,

    /// id of the change; give the same one again after a lost answer
    #[argh(option)]
    pub id: Option<ChangeId>,
}

/// Print on how many entry hosts the newest version is in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// wait until it is in force on all, at most this many seconds
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// Operators and their tokens.
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

/// Make an operator, or a new token for one, and print the token; it is shown only this once.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
pub struct AddOperatorArgs {
    /// name of the operator
    #[argh(positional)]
    pub name: OperatorName,

    /// group whose subtree the operator works in; the whole tree by default
    #[argh(option)]
    pub group: Option<GroupName>,
}

/// Print the operators.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListOperatorArgs {}

/// Remove an operator; its token is worth nothing from then on.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct RemoveOperatorArgs {
    /// name of the operator
    #[argh(positional)]
    pub name: OperatorName,
}

/// Hosts and the pools that they are in.
#[derive(FromArgs)]
#[argh(subcommand, name = "host")]
pub struct HostArgs {
    #[argh(subcommand)]
    pub command: HostCommand,

    /// address of an admin; REACHHEAD_ADMIN by default
    #[argh(option)]
    pub admin: Option<SocketAddr>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum HostCommand {
    Add(AddHostArgs),
    List(ListHostArgs),
    Move(MoveHostArgs),
    Remove(RemoveHostArgs),
}

/// Add a host to a pool; the same again changes nothing.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
pub struct AddHostArgs {
    /// name of the host
    #[argh(positional)]
    pub host: HostId,

    /// pool
    #[argh(option)]
    pub pool: PoolName,

    /// availability zone
    #[argh(option)]
    pub zone: ZoneName,

    /// rack
    #[argh(option)]
    pub rack: RackName,

    /// processor cores
    #[argh(option, default = "Cores(0)")]
    pub cores: Cores,

    /// memory in GiB
    #[argh(option, default = "Gibibytes(0)")]
    pub memory: Gibibytes,

    /// accelerators
    #[argh(option, default = "Accelerators(0)")]
    pub accelerators: Accelerators,
}

/// Print hosts.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListHostArgs {
    /// only those of this pool
    #[argh(option)]
    pub pool: Option<PoolName>,
}

/// Move a host: it is drained, waited for until it is empty, and handed over.
#[derive(FromArgs)]
#[argh(subcommand, name = "move")]
pub struct MoveHostArgs {
    /// host
    #[argh(positional)]
    pub host: HostId,

    /// pool to move it to
    #[argh(option)]
    pub to: Option<PoolName>,

    /// take a move back, as far as it was not done
    #[argh(switch)]
    pub cancel: bool,

    /// wait until it serves there, at most this many seconds
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// Forget a host that is not on its way.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct RemoveHostArgs {
    /// host
    #[argh(positional)]
    pub host: HostId,
}

/// Pools and who is in charge of them.
#[derive(FromArgs)]
#[argh(subcommand, name = "pool")]
pub struct PoolArgs {
    #[argh(subcommand)]
    pub command: PoolCommand,

    /// address of an admin; REACHHEAD_ADMIN by default
    #[argh(option)]
    pub admin: Option<SocketAddr>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum PoolCommand {
    List(ListPoolArgs),
}

/// Print pools.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListPoolArgs {}

/// Maintenance waves.
#[derive(FromArgs)]
#[argh(subcommand, name = "wave")]
pub struct WaveArgs {
    #[argh(subcommand)]
    pub command: WaveCommand,

    /// address of an admin; REACHHEAD_ADMIN by default
    #[argh(option)]
    pub admin: Option<SocketAddr>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum WaveCommand {
    Start(StartWaveArgs),
    Pause(PauseWaveArgs),
    Resume(ResumeWaveArgs),
    Cancel(CancelWaveArgs),
    List(ListWaveArgs),
    Show(ShowWaveArgs),
}

/// Drain and reboot every host of one or more pools, inside every availability budget.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
pub struct StartWaveArgs {
    /// name of the wave
    #[argh(positional)]
    pub name: WaveName,

    /// pool; may be given several times
    #[argh(option)]
    pub pool: Vec<PoolName>,

    /// wait and show progress, at most this many seconds
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// Begin nothing new; what is under way is finished.
#[derive(FromArgs)]
#[argh(subcommand, name = "pause")]
pub struct PauseWaveArgs {
    /// name of the wave
    #[argh(positional)]
    pub name: WaveName,
}

/// Go on with a wave that was paused.
#[derive(FromArgs)]
#[argh(subcommand, name = "resume")]
pub struct ResumeWaveArgs {
    /// name of the wave
    #[argh(positional)]
    pub name: WaveName,
}

/// Begin nothing new and take back the drains that are not done.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct CancelWaveArgs {
    /// name of the wave
    #[argh(positional)]
    pub name: WaveName,
}

/// Print each host of a wave and what holds it.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowWaveArgs {
    /// name of the wave
    #[argh(positional)]
    pub name: WaveName,

    /// wait and show progress, at most this many seconds
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// Print the wave of each pool.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListWaveArgs {}
