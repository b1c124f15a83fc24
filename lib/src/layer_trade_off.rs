//! How much of one layer's improvement a plan takes.

use crate::layer_search::SearchPoint;

/// The part of a layer's trade that is taken next: from its present point to a more even one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Segment {
    to_point: usize,
    pub(crate) moves: usize,
    pub(crate) skew_gain: f64,
}

impl Segment {
    pub(crate) fn gain_per_move(&self) -> f64 {
        let moves = u32::try_from(self.moves.max(1)).unwrap_or(u32::MAX);
        self.skew_gain / f64::from(moves)
    }
}

/// The trade of one layer, and how much of it the plan has taken.
#[derive(Debug)]
pub(crate) struct LayerTradeOff {
    pub(crate) points: Vec<SearchPoint>,
    pub(crate) taken: usize,
    pub(crate) next: Option<Segment>,
}

impl LayerTradeOff {
    pub(crate) fn new(points: Vec<SearchPoint>) -> Self {
        let mut trade = Self {
            points,
            taken: 0,
            next: None,
        };
        trade.next = trade.best_segment();
        trade
    }

    pub(crate) fn take(&mut self, segment: Segment) {
        self.taken = segment.to_point;
        self.next = self.best_segment();
    }

    /// Returns the step to the point with the highest gain a move.
    ///
    /// The points come from searches of different starts, so a more even one may stand before the
    /// present one.
    fn best_segment(&self) -> Option<Segment> {
        let from = &self.points[self.taken];
        let points = self.points.iter().enumerate();
        let segments = points.map(|(to_point, to)| Segment {
            to_point,
            moves: to.moves.saturating_sub(from.moves),
            skew_gain: from.skew - to.skew,
        });
        let gains = segments.filter(|segment| segment.skew_gain > 0.0);
        gains.max_by(|a, b| a.gain_per_move().total_cmp(&b.gain_per_move()))
    }
}
