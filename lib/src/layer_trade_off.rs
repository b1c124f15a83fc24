//! Position of a plan on the trade-off curve of one layer.

use crate::layer_search::TradeOffPoint;

/// A part of a layer's trade-off curve, from the point that the plan has reached to one with lower
/// skew.
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

/// The trade-off curve of skew against moves of one layer, and the point that the plan has reached.
#[derive(Debug)]
pub(crate) struct LayerTradeOff {
    pub(crate) points: Vec<TradeOffPoint>,
    /// Index of the point that the plan has reached.
    pub(crate) reached: usize,
    /// The segment with the highest skew gain per move; `None` if the plan takes no more of it.
    pub(crate) next: Option<Segment>,
}

impl LayerTradeOff {
    pub(crate) fn new(points: Vec<TradeOffPoint>) -> Self {
        let mut trade_off = Self {
            points,
            reached: 0,
            next: None,
        };
        trade_off.next = trade_off.best_segment();
        trade_off
    }

    pub(crate) fn take(&mut self, segment: Segment) {
        self.reached = segment.to_point;
        self.next = self.best_segment();
    }

    /// Returns the segment with the highest skew gain per move.
    ///
    /// The points come from two searches with different starting layouts, so a point with lower
    /// skew may precede the current one in the list.
    fn best_segment(&self) -> Option<Segment> {
        let from = &self.points[self.reached];
        let points = self.points.iter().enumerate();
        let segments = points.map(|(to_point, to)| Segment {
            to_point,
            moves: to.moves.saturating_sub(from.moves),
            skew_gain: from.skew - to.skew,
        });
        let improving = segments.filter(|segment| segment.skew_gain > 0.0);
        improving.max_by(|a, b| a.gain_per_move().total_cmp(&b.gain_per_move()))
    }
}
