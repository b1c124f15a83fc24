//! Processes that tests start, pause and kill.

use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// One child process; it is killed when the value is dropped.
#[derive(Debug)]
pub struct TestProcess {
    child: Child,
    /// Lines on standard output; an empty channel once they were taken.
    lines: Mutex<mpsc::Receiver<String>>,
}

impl TestProcess {
    /// Starts a binary of this workspace.
    ///
    /// # Panics
    ///
    /// Panics when the binary has not been built.
    #[must_use]
    pub fn start(binary: &str, arguments: &[&str]) -> Self {
        Self::start_with(binary, arguments, &[])
    }

    /// Starts a binary of this workspace with variables added to its environment.
    ///
    /// # Panics
    ///
    /// Panics when the binary has not been built.
    #[must_use]
    pub fn start_with(binary: &str, arguments: &[&str], variables: &[(&str, &str)]) -> Self {
        let path = binary_path(binary);
        let mut child = Command::new(&path)
            .args(arguments)
            .envs(variables.iter().copied())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("start {}: {error}", path.display()));
        let stdout = child.stdout.take().expect("stdout is piped");
        let (sender, lines) = mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        Self {
            child,
            lines: Mutex::new(lines),
        }
    }

    /// Waits for a line `<name> <value>` on standard output and returns the value.
    ///
    /// # Panics
    ///
    /// Panics when the line does not come within 20 s.
    #[must_use]
    pub fn wait_for_output(&self, name: &str) -> String {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let line = lock(&self.lines)
                .recv_timeout(left)
                .unwrap_or_else(|error| panic!("line \"{name}\" of process: {error}"));
            if let Some(value) = line.strip_prefix(name) {
                return value.trim().to_owned();
            }
        }
    }

    /// Takes the lines on standard output that were not waited for; later ones go there as well.
    #[must_use]
    pub fn take_lines(&self) -> mpsc::Receiver<String> {
        std::mem::replace(&mut *lock(&self.lines), mpsc::channel().1)
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process without warning.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process from running until [`Self::resume`].
    pub fn pause(&self) {
        self.send(Signal::SIGSTOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        self.send(Signal::SIGCONT);
    }

    /// Asks the process to end gracefully.
    pub fn terminate(&self) {
        self.send(Signal::SIGTERM);
    }

    /// Tells the process that its settings have changed.
    pub fn hang_up(&self) {
        self.send(Signal::SIGHUP);
    }

    /// Interrupts the process as a terminal does.
    pub fn interrupt(&self) {
        self.send(Signal::SIGINT);
    }

    /// Waits for the process to end and tells whether it succeeded, or `None` at the timeout.
    pub fn wait(&mut self, timeout: Duration) -> Option<bool> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.success());
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Tells whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn send(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("process ids fit into i32");
        let _ = signal::kill(Pid::from_raw(id), signal);
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn lock(lines: &Mutex<mpsc::Receiver<String>>) -> MutexGuard<'_, mpsc::Receiver<String>> {
    lines.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn binary_path(binary: &str) -> PathBuf {
    let executable = std::env::current_exe().expect("the running executable has a path");
    executable
        .ancestors()
        .skip(1)
        .map(|directory| directory.join(binary))
        .find(|path| path.is_file())
        .unwrap_or_else(|| panic!("binary \"{binary}\" has not been built"))
}
