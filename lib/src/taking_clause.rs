//! The clause by which a draining entry took a call.

/// The clause by which a draining entry took a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TakingClause {
    /// The call was taken before the signal to shut down.
    BeforeSignal,
    /// It was taken in the time in which all calls are.
    OpenTime,
    /// It was taken later, since its deadline lay before the end of the drain.
    Deadline,
}

impl TakingClause {
    /// Returns the name in log lines and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::BeforeSignal => "before_signal",
            Self::OpenTime => "open_time",
            Self::Deadline => "deadline",
        }
    }
}
