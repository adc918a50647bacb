//! Child processes: start, signals, exit and resource usage.

use std::{
    env,
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Mutex, PoisonError},
    time::Duration,
};

use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};

use crate::eventually;

/// Ticks per second of the processor times in `/proc/PID/stat`.
const TICKS_PER_S: u64 = 100;

/// Size of a memory page, the unit of resident memory in `/proc/PID/stat`.
const PAGE_BYTES: u64 = 4096;

/// Serializes process starts and port probes: between fork and exec, a new process holds copies of
/// all sockets of its parent, which would keep a probed port in use.
pub static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Child process; killed when the value is dropped.
pub struct Process {
    name: String,
    child: Child,
}

/// Resource usage of a process.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Processor time since the start.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
    /// Number of threads.
    pub threads: u64,
}

/// Returns the path of a program in the folder of the running one or in one above it, if it is
/// built.
pub fn find_program(name: &str) -> Option<PathBuf> {
    let current = env::current_exe().ok()?;
    let mut folders = current.ancestors().skip(1);
    let folder = folders.find(|folder| folder.join(name).is_file())?;
    Some(folder.join(name))
}

/// Returns the path of a built program.
///
/// # Panics
///
/// If the program is not built.
pub fn program_path(name: &str) -> PathBuf {
    find_program(name).unwrap_or_else(|| panic!("{name} is not built; run extra/test.sh"))
}

impl Process {
    /// Starts `program_name` with `args`; its output goes to `{name}.log` in `folder`.
    ///
    /// # Panics
    ///
    /// If the process can't be started.
    pub fn start(folder: &Path, name: &str, program_name: &str, args: &[String]) -> Self {
        let _spawn = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let log =
            File::create(folder.join(format!("{name}.log"))).expect("the log file can be created");
        let errors = log.try_clone().expect("a file handle can be duplicated");
        let child = Command::new(program_path(program_name))
            .args(args)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        Self { name: name.to_owned(), child }
    }

    /// Sends a signal to the process.
    ///
    /// # Panics
    ///
    /// If the process has ended.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        signal::kill(pid, signal).expect("the process is running");
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Requests a graceful shutdown by SIGTERM and waits for the exit.
    pub async fn stop(&mut self) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        self.wait().await
    }

    /// Waits for the exit of the process.
    pub async fn wait(&mut self) -> ExitStatus {
        let what = format!("{} exits", self.name);
        let child = &mut self.child;
        eventually(&what, async || child.try_wait().expect("a child can be waited for")).await
    }

    /// Returns the highest resident memory so far, in bytes; `None` if the process has ended.
    pub fn peak_memory(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kilobytes << 10)
    }

    /// Returns the number of open file descriptors; zero if the process has ended.
    pub fn open_descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Returns the resource usage so far.
    ///
    /// # Panics
    ///
    /// If the process has ended.
    pub fn usage(&self) -> Usage {
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = fs::read_to_string(path).expect("the process is running");
        // The name in parentheses may contain spaces and parentheses, so fields are counted after
        // it.
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let field = |number: usize| fields[number].parse::<u64>().unwrap_or_default();
        Usage {
            cpu: Duration::from_millis((field(11) + field(12)) * 1000 / TICKS_PER_S),
            memory: field(21) * PAGE_BYTES,
            threads: field(17),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
