//! Signal handling for graceful shutdown.

use std::process;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

use crate::event;

const INTERRUPTED_EXIT_CODE: i32 = 130;

/// Installs the signal handlers, and returns a receiver that becomes true when the process has to
/// drain.
///
/// SIGTERM and the first SIGINT start the drain; a second SIGINT ends the process immediately.
/// SIGHUP is ignored, because the settings are read only at the start.
///
/// # Panics
///
/// Panics when a signal handler cannot be installed.
#[must_use]
pub fn listen() -> watch::Receiver<bool> {
    let (sender, receiver) = watch::channel(false);
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM handler is installed");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT handler is installed");
    let mut hangup = signal(SignalKind::hangup()).expect("SIGHUP handler is installed");
    tokio::spawn(async move {
        let mut interrupts = 0;
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => interrupts += 1,
                _ = hangup.recv() => continue,
            }
            if interrupts >= 2 {
                event!(StoppedAtOnce);
                log::logger().flush();
                process::exit(INTERRUPTED_EXIT_CODE);
            }
            if sender.send(true).is_err() {
                return;
            }
        }
    });
    receiver
}

/// Waits until the shutdown begins, or until nobody can begin it any more.
pub(crate) async fn requested(shutdown: &mut watch::Receiver<bool>) {
    let _ = shutdown.wait_for(|shutdown| *shutdown).await;
}
