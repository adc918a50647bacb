//! Words of `reachhead host`, `reachhead pool` and `reachhead wave`.

use std::net::SocketAddr;

use argh::FromArgs;
use reachhead_types::{
    id::{HostId, PoolName, RackName, WaveName, ZoneName},
    size::{Accelerators, Cores, Gibibytes},
};

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
