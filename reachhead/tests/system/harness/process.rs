//! One process and what can be done to it.

use std::{
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{Mutex, PoisonError},
};

use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};

use super::eventually;

/// Held while a process is started and while a port is tried: a process that is just being started
/// holds every socket of its parent for a moment, and so would keep a tried port taken.
pub static SPAWN: Mutex<()> = Mutex::new(());

/// A process that ends with its test.
pub struct Process {
    name: String,
    child: Child,
}

/// Returns the path of a program that was built beside this test.
pub fn program(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_BIN_EXE_reachhead")).parent().unwrap().to_owned();
    let path = folder.join(name);
    assert!(path.exists(), "{} is not built; run extra/test.sh", path.display());
    path
}

impl Process {
    /// Starts `program` with `args`; what it prints goes to a file in `folder`.
    pub fn start(folder: &Path, name: &str, program_name: &str, args: &[String]) -> Self {
        let _spawn = SPAWN.lock().unwrap_or_else(PoisonError::into_inner);
        let log = File::create(folder.join(format!("{name}.log"))).unwrap();
        let child = Command::new(program(program_name))
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        Self { name: name.to_owned(), child }
    }

    /// Sends `signal`.
    pub fn signal(&self, signal: Signal) {
        signal::kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks for a graceful end and returns how it ended.
    pub async fn stop(&mut self) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        self.ended().await
    }

    /// Waits for its end.
    pub async fn ended(&mut self) -> ExitStatus {
        let name = self.name.clone();
        eventually(&format!("{name} ends"), async || self.child.try_wait().unwrap()).await
    }

    /// Returns its id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
