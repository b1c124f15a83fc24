//! Signal handling for graceful shutdown.

use std::process;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::event;
use crate::shutdown_signal::ShutdownSignal;
use crate::shutdown_signal::SignalTime;
use crate::wake_times::WAKE_INTERVAL;
use crate::wake_times::WakeTimes;

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
    listen_with(false).draining
}

/// Does the same as [`listen`], and tells when the signal may have been sent: a process that was stopped
/// notices it late.
pub(crate) fn listen_timed() -> ShutdownSignal {
    listen_with(true)
}

fn listen_with(is_timed: bool) -> ShutdownSignal {
    let (sender, draining) = watch::channel(false);
    let (time_sender, time) = watch::channel(None);
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM handler is installed");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT handler is installed");
    let mut hangup = signal(SignalKind::hangup()).expect("SIGHUP handler is installed");
    tokio::spawn(async move {
        let mut interrupts = 0;
        let mut wake_times = WakeTimes::new(Instant::now());
        let mut wakes = tokio::time::interval(WAKE_INTERVAL);
        wakes.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                _ = terminate.recv() => {}
                _ = interrupt.recv() => interrupts += 1,
                _ = hangup.recv() => continue,
                now = wakes.tick(), if is_timed && !*sender.borrow() => {
                    wake_times.record(Instant::now().max(now));
                    continue;
                }
            }
            let noticed = Instant::now();
            time_sender.send_if_modified(|time| {
                let sent = if is_timed {
                    wake_times.earliest_sent(noticed)
                } else {
                    noticed
                };
                time.get_or_insert(SignalTime { sent, noticed });
                true
            });
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
    ShutdownSignal { draining, time }
}

/// Waits until the shutdown begins, or until nobody can begin it any more.
pub(crate) async fn requested(shutdown: &mut watch::Receiver<bool>) {
    let _ = shutdown.wait_for(|shutdown| *shutdown).await;
}
