//! One process and what can be done to it.

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

/// Clock ticks a second in which Linux counts processor time.
const TICKS: u64 = 100;

/// Bytes of a memory page as Linux counts resident memory.
const PAGE: u64 = 4096;

/// Held while a process is started and while a port is tried: a process that is just being started
/// holds every socket of its parent for a moment, and so would keep a tried port taken.
pub static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// A process that ends with its owner.
pub struct Process {
    name: String,
    child: Child,
}

/// What a process has used so far.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// Processor time.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
    /// Threads.
    pub threads: u64,
}

/// Returns the path of a program that was built beside this one, if it was.
pub fn find_program(name: &str) -> Option<PathBuf> {
    let own = env::current_exe().ok()?;
    let mut folders = own.ancestors().skip(1);
    let folder = folders.find(|folder| folder.join(name).is_file())?;
    Some(folder.join(name))
}

/// Returns the path of a program that was built beside this one.
///
/// # Panics
///
/// If it is not built.
pub fn program_path(name: &str) -> PathBuf {
    find_program(name).unwrap_or_else(|| panic!("{name} is not built; run extra/test.sh"))
}

impl Process {
    /// Starts `program_name` with `args`; what it prints goes to a file in `folder`.
    ///
    /// # Panics
    ///
    /// If it can't be started.
    pub fn start(folder: &Path, name: &str, program_name: &str, args: &[String]) -> Self {
        let _spawn = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let log = File::create(folder.join(format!("{name}.log"))).expect("the folder is there");
        let errors = log.try_clone().expect("a file can be shared");
        let child = Command::new(program_path(program_name))
            .args(args)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        Self { name: name.to_owned(), child }
    }

    /// Sends `signal`.
    ///
    /// # Panics
    ///
    /// If the process has ended.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        signal::kill(pid, signal).expect("the process is there");
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks for a graceful end and returns how it ended.
    pub async fn stop(&mut self) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        self.wait().await
    }

    /// Waits for its end.
    pub async fn wait(&mut self) -> ExitStatus {
        let what = format!("{} ends", self.name);
        let child = &mut self.child;
        eventually(&what, async || child.try_wait().expect("a child can be waited for")).await
    }

    /// Returns what it has used so far.
    ///
    /// # Panics
    ///
    /// If the process has ended.
    pub fn usage(&self) -> Usage {
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = fs::read_to_string(path).expect("the process is there");
        // The name in parentheses may hold anything; fields are counted after it.
        let fields: Vec<&str> =
            stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let field = |number: usize| fields[number].parse::<u64>().unwrap_or_default();
        Usage {
            cpu: Duration::from_millis((field(11) + field(12)) * 1000 / TICKS),
            memory: field(21) * PAGE,
            threads: field(17),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
