//! Passes log lines to standard output without making the writer wait.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use pomeloramp_lib::LogPriority;

/// Lines that wait to be written, at most.
const CAPACITY: usize = 4_096;
/// The same of routine lines; the rest is left to those of high priority.
const ROUTINE_CAPACITY: usize = 3_072;
/// Interval at which a flush checks whether all lines are written.
const FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Passes log lines to a thread that writes them; what finds no room is dropped and counted.
pub(crate) struct LogRing {
    lines: SyncSender<String>,
    counts: Arc<LineCounts>,
}

/// Counts of lines that are not written.
#[derive(Default)]
struct LineCounts {
    /// Lines that wait, the one that is being written included.
    waiting: AtomicUsize,
    /// Lines dropped since the last line was written.
    dropped: AtomicU64,
}

impl LogRing {
    /// Starts the thread.
    pub(crate) fn start() -> Self {
        let (lines, waiting) = mpsc::sync_channel(CAPACITY);
        let counts = Arc::new(LineCounts::default());
        let written = Arc::clone(&counts);
        thread::spawn(move || write_lines(&waiting, &written));
        Self { lines, counts }
    }

    /// Passes a line on, or drops it if there is no room for lines of its priority.
    pub(crate) fn push(&self, priority: LogPriority, line: String) {
        let waiting = self.counts.waiting.fetch_add(1, Ordering::AcqRel);
        let has_room = priority == LogPriority::High || waiting < ROUTINE_CAPACITY;
        if !has_room || self.lines.try_send(line).is_err() {
            self.counts.waiting.fetch_sub(1, Ordering::AcqRel);
            self.counts.dropped.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Waits until all lines are written, for `timeout` at most.
    pub(crate) fn flush(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while self.counts.waiting.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            thread::sleep(FLUSH_CHECK_INTERVAL);
        }
    }
}

/// Writes lines, and before each one how many were dropped since the one before.
fn write_lines(lines: &Receiver<String>, counts: &LineCounts) {
    for line in lines {
        let dropped = counts.dropped.swap(0, Ordering::AcqRel);
        let mut output = io::stdout().lock();
        // Nobody is left to tell when standard output is closed.
        if dropped > 0 {
            let _ = writeln!(output, "{{\"level\":\"warn\",\"dropped_lines\":{dropped}}}");
        }
        let _ = writeln!(output, "{line}");
        let _ = output.flush();
        counts.waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
