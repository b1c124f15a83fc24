//! Child processes that tests start, pause and kill.

use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which it is checked whether standard output is still left unread.
const HELD_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Child process that is killed when the value is dropped.
#[derive(Debug)]
pub struct TestProcess {
    child: Child,
    /// Lines of standard output; a closed channel after [`TestProcess::take_lines`].
    lines: Mutex<mpsc::Receiver<String>>,
    /// Whether standard output is left unread.
    is_output_held: Arc<AtomicBool>,
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

    /// Starts a binary of this workspace with additional environment variables.
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
        let is_output_held: Arc<AtomicBool> = Arc::default();
        let is_held = Arc::clone(&is_output_held);
        thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                while is_held.load(Ordering::Acquire) {
                    thread::sleep(HELD_CHECK_INTERVAL);
                }
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        Self {
            child,
            lines: Mutex::new(lines),
            is_output_held,
        }
    }

    /// Waits for a line `<name> <value>` on standard output and returns the value.
    ///
    /// # Panics
    ///
    /// Panics when the line is not printed within 20 s.
    #[must_use]
    pub fn wait_for_output(&self, name: &str) -> String {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let line = lock(&self.lines)
                .recv_timeout(remaining)
                .unwrap_or_else(|error| panic!("line \"{name}\" of process: {error}"));
            if let Some(value) = line.strip_prefix(name) {
                return value.trim().to_owned();
            }
        }
    }

    /// Returns the receiver of the remaining and all later lines of standard output.
    #[must_use]
    pub fn take_lines(&self) -> mpsc::Receiver<String> {
        std::mem::replace(&mut *lock(&self.lines), mpsc::channel().1)
    }

    /// Leaves standard output unread from the next line on, until [`Self::read_output`].
    pub fn hold_output(&self) {
        self.is_output_held.store(true, Ordering::Release);
    }

    /// Reads standard output again.
    pub fn read_output(&self) {
        self.is_output_held.store(false, Ordering::Release);
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process with SIGSTOP until [`Self::resume`].
    pub fn pause(&self) {
        self.send_signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.send_signal(Signal::SIGCONT);
    }

    /// Requests a graceful shutdown with SIGTERM.
    pub fn terminate(&self) {
        self.send_signal(Signal::SIGTERM);
    }

    /// Sends SIGHUP, which by convention requests a reload of the settings.
    pub fn hang_up(&self) {
        self.send_signal(Signal::SIGHUP);
    }

    /// Interrupts the process with SIGINT, as a terminal does.
    pub fn interrupt(&self) {
        self.send_signal(Signal::SIGINT);
    }

    /// Waits for the process to end and returns whether it succeeded, or `None` after the timeout.
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

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn send_signal(&self, signal: Signal) {
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
