//! Arguments of `reachhead host`, `reachhead pool` and `reachhead wave`.

use std::net::SocketAddr;

use argh::FromArgs;
use reachhead_types::{
    id::{HostId, PoolName, RackName, WaveName, ZoneName},
    size::{Accelerators, Cores, Gibibytes},
};

/// Manage hosts and the pools that they belong to.
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

/// Add a host to a pool; repeating the command changes nothing.
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
    /// print only the hosts of this pool
    #[argh(option)]
    pub pool: Option<PoolName>,
}

/// Move a host to another pool: it is drained until it is empty, then handed over.
#[derive(FromArgs)]
#[argh(subcommand, name = "move")]
pub struct MoveHostArgs {
    /// name of the host
    #[argh(positional)]
    pub host: HostId,

    /// pool to move it to
    #[argh(option)]
    pub to: Option<PoolName>,

    /// cancel a move that is not complete
    #[argh(switch)]
    pub cancel: bool,

    /// wait until the host serves in the new pool, at most this many seconds
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// Remove a host that is serving and not being moved.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub struct RemoveHostArgs {
    /// name of the host
    #[argh(positional)]
    pub host: HostId,
}

/// Show pools and their owners.
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

/// Manage maintenance waves.
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

/// Drain and reboot every host of one or more pools, within the availability budgets of services.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
pub struct StartWaveArgs {
    /// name of the wave
    #[argh(positional)]
    pub name: WaveName,

    /// pool; can be repeated
    #[argh(option)]
    pub pool: Vec<PoolName>,

    /// wait and show progress, at most this many seconds
    #[argh(option, default = "0")]
    pub wait: u64,
}

/// Pause a wave: hosts in progress are finished, no others are started.
#[derive(FromArgs)]
#[argh(subcommand, name = "pause")]
pub struct PauseWaveArgs {
    /// name of the wave
    #[argh(positional)]
    pub name: WaveName,
}

/// Resume a paused wave.
#[derive(FromArgs)]
#[argh(subcommand, name = "resume")]
pub struct ResumeWaveArgs {
    /// name of the wave
    #[argh(positional)]
    pub name: WaveName,
}

/// Cancel a wave: no more hosts are started, and unfinished drains are cancelled.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub struct CancelWaveArgs {
    /// name of the wave
    #[argh(positional)]
    pub name: WaveName,
}

/// Print each host of a wave and what holds it back.
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

/// Print the waves of all pools.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListWaveArgs {}
