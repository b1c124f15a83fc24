//! Why no call may be sent to an endpoint.

use std::fmt;

use pomeloramp_proc_macros::key;

/// Why no call may be sent to an endpoint at a moment.
#[key]
pub enum SendObstacle {
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint has asked for a time without calls.
    Paused,
    /// That time is over, and the calls that were sent since have not been answered yet.
    Returning,
    /// All slots of the endpoint are taken.
    Full,
    /// The limit that the endpoint names allows no call of this entry now.
    Limited,
}

impl SendObstacle {
    const ALL: [Self; 5] = [
        Self::Leaving,
        Self::Paused,
        Self::Returning,
        Self::Full,
        Self::Limited,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Paused => "paused",
            Self::Returning => "returning",
            Self::Full => "full",
            Self::Limited => "limited",
        }
    }
}

/// Numbers of endpoints that take no call, by the reason, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ObstacleCounts([u32; SendObstacle::ALL.len()]);

impl FromIterator<SendObstacle> for ObstacleCounts {
    fn from_iter<I: IntoIterator<Item = SendObstacle>>(obstacles: I) -> Self {
        let mut counts = Self::default();
        for obstacle in obstacles {
            counts.0[obstacle as usize] += 1;
        }
        counts
    }
}

impl fmt::Display for ObstacleCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = SendObstacle::ALL.iter().zip(self.0);
        let counts = counts.filter(|(_, count)| *count > 0);
        let counts: Vec<String> = counts
            .map(|(obstacle, count)| format!("{}:{count}", obstacle.name()))
            .collect();
        formatter.write_str(&counts.join(","))
    }
}
