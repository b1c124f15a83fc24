//! Passes log lines to standard output without making the writer wait.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::SyncSender;
use std::thread;

/// Lines that wait to be written, at most.
const CAPACITY: usize = 4_096;

/// Passes log lines to a thread that writes them; what finds no room is dropped and counted.
pub(crate) struct LogRing {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogRing {
    /// Starts the thread.
    pub(crate) fn start() -> Self {
        let (lines, waiting) = mpsc::sync_channel::<Vec<u8>>(CAPACITY);
        let dropped = Arc::new(AtomicU64::new(0));
        let lost = Arc::clone(&dropped);
        thread::spawn(move || {
            for line in waiting {
                let count = lost.swap(0, Ordering::AcqRel);
                let mut output = io::stdout().lock();
                // Nobody is left to tell when standard output is closed.
                if count > 0 {
                    let _ = writeln!(output, "{{\"level\":\"warn\",\"dropped_lines\":{count}}}");
                }
                let _ = output.write_all(&line);
                let _ = output.flush();
            }
        });
        Self { lines, dropped }
    }
}

impl Write for LogRing {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::AcqRel);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
