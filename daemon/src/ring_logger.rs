//! Writes log records as lines of JSON.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::Log;
use log::Metadata;
use log::Record;
use pomeloramp_lib::LogPriority;
use pomeloramp_lib::log_line;

use crate::log_ring::LogRing;

/// Longest time for which a process that ends waits until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Writes the log records that pass a filter as lines of JSON.
pub(crate) struct RingLogger {
    filter: env_logger::Logger,
    ring: LogRing,
}

impl RingLogger {
    /// Makes a logger with the filter of `filter` the logger of the process.
    ///
    /// # Panics
    ///
    /// Panics if the process has a logger already.
    pub(crate) fn install(filter: env_logger::Logger) {
        log::set_max_level(filter.filter());
        let ring = LogRing::start();
        let logger = Box::new(Self { filter, ring });
        log::set_boxed_logger(logger).expect("the process has no logger yet");
    }
}

impl Log for RingLogger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        self.filter.enabled(metadata)
    }

    fn log(&self, record: &Record) {
        if !self.filter.matches(record) {
            return;
        }
        let message = record.args().to_string();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let line = log_line(
            since_epoch.unwrap_or_default(),
            record.level().as_str(),
            record.target(),
            &message,
        );
        let priority = LogPriority::of(record.level(), &message);
        self.ring.push(priority, line);
    }

    fn flush(&self) {
        self.ring.flush(FLUSH_TIMEOUT);
    }
}
