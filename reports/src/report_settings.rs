//! Settings of a report.

/// Settings of a report.
#[derive(Debug, Clone, bon::Builder)]
pub struct ReportSettings {
    /// Seed of all runs.
    #[builder(default = 1)]
    pub seed: u64,
    /// Entries of the routing runs.
    #[builder(default = 8)]
    pub entries: usize,
    /// Endpoints of the routing runs.
    #[builder(default = 16)]
    pub endpoints: usize,
    /// Layers of the balance runs.
    #[builder(default = 64)]
    pub layers: usize,
    /// Slots of each rank in the balance runs.
    #[builder(default = 2)]
    pub slots_per_rank: u32,
}
