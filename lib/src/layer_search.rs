//! Local search for layouts of one layer that lower its skew with few moves.

use crate::LayerLayout;
use crate::expert_packing::repack_layer;
use crate::layer_layout::skew_of;

const MAX_STEPS: usize = 24;
/// Skew from which a second search starts from a layout packed from scratch, in case the first one
/// is stuck in a local optimum.
const REPACK_SKEW: f64 = 1.03;
const MIN_IMPROVEMENT: f64 = 1e-6;

/// A point of the trade-off curve of skew against moves.
#[derive(Debug, Clone)]
pub(crate) struct TradeOffPoint {
    pub(crate) layout: LayerLayout,
    /// Replicas to load to get to the layout.
    pub(crate) moves: usize,
    pub(crate) skew: f64,
}

/// A change of one or two slots; each slot that gets an expert needs one load.
#[derive(Debug, Clone, Copy)]
struct Change {
    slot: usize,
    expert: Option<usize>,
    /// The second slot and its new expert.
    second: Option<(usize, Option<usize>)>,
}

/// Limits beyond which further search cannot find a worthwhile move.
#[derive(Debug, Clone, Copy)]
struct SearchLimits {
    /// Reduction of the skew that each move has to bring.
    min_gain: f64,
    /// Number of moves that are worthwhile only if they remove all of the skew.
    max_moves: f64,
}

impl SearchLimits {
    /// Returns whether no layout with more moves than this one can be worthwhile.
    fn are_reached(self, point: &TradeOffPoint) -> bool {
        let moves = f64::from(u32::try_from(point.moves).unwrap_or(u32::MAX));
        point.skew - 1.0 <= self.min_gain || moves >= self.max_moves
    }
}

struct Search<'a> {
    expert_loads: &'a [f64],
    layout: LayerLayout,
    counts: Vec<u32>,
    /// The slots that hold each expert, by expert.
    holders: Vec<Vec<usize>>,
    rank_loads: Vec<f64>,
    /// Penalty of each rank's load, by rank.
    penalties: Vec<f64>,
    mean: f64,
    /// Change of the load of each rank in `touched`; zero for all others.
    deltas: Vec<f64>,
    is_touched: Vec<bool>,
    touched: Vec<usize>,
}

/// Returns the trade-off curve of skew against moves, which starts at the given layout.
///
/// Each point adds the change that improves the balance most per loaded replica. The search ends
/// when no move can lower the skew by `min_gain` any more.
pub(crate) fn trade_off_curve(
    layout: &LayerLayout,
    expert_loads: &[f64],
    min_gain: f64,
) -> Vec<TradeOffPoint> {
    let mut points = Vec::new();
    let limits = SearchLimits {
        min_gain,
        max_moves: (layout.skew(expert_loads) - 1.0) / min_gain,
    };
    let search = |start| Search::new(start, expert_loads);
    descend(search(layout.clone()), layout, limits, &mut points);
    let skew = points.last().map_or(1.0, |point| point.skew);
    if skew >= REPACK_SKEW {
        let repacked = repack_layer(layout, expert_loads);
        descend(search(repacked), layout, limits, &mut points);
    }
    points
}

/// Adds the points from the start of `search` on; moves are counted from `origin`.
fn descend(
    mut search: Search,
    origin: &LayerLayout,
    limits: SearchLimits,
    points: &mut Vec<TradeOffPoint>,
) {
    let mut point = search.point(origin);
    for _ in 0..MAX_STEPS {
        if limits.are_reached(&point) {
            break;
        }
        points.push(point);
        let Some(change) = search.best_change() else {
            return;
        };
        search.apply(change);
        point = search.point(origin);
    }
    points.push(point);
}

impl<'a> Search<'a> {
    fn new(layout: LayerLayout, expert_loads: &'a [f64]) -> Self {
        let rank_count = u32::try_from(layout.rank_count()).unwrap_or(u32::MAX);
        let total: f64 = expert_loads.iter().sum();
        let mut search = Self {
            counts: Vec::new(),
            holders: Vec::new(),
            rank_loads: Vec::new(),
            penalties: Vec::new(),
            mean: total / f64::from(rank_count),
            deltas: vec![0.0; layout.rank_count()],
            is_touched: vec![false; layout.rank_count()],
            touched: Vec::new(),
            expert_loads,
            layout,
        };
        search.update_index();
        search
    }

    /// Recomputes the fields that are derived from the layout.
    fn update_index(&mut self) {
        self.counts = self.layout.replica_counts(self.expert_loads.len());
        self.rank_loads = self.layout.rank_loads(self.expert_loads);
        let rank_loads = self.rank_loads.iter();
        self.penalties = rank_loads.map(|load| self.penalty(*load)).collect();
        self.holders = vec![Vec::new(); self.expert_loads.len()];
        for (slot, expert) in self.layout.slots().iter().enumerate() {
            if let Some(expert) = expert {
                self.holders[*expert].push(slot);
            }
        }
    }

    fn point(&self, origin: &LayerLayout) -> TradeOffPoint {
        TradeOffPoint {
            layout: self.layout.clone(),
            moves: self.layout.moves_from(origin),
            skew: skew_of(&self.rank_loads),
        }
    }

    fn best_change(&mut self) -> Option<Change> {
        let mut best = None;
        let mut best_score = MIN_IMPROVEMENT;
        for change in self.candidates() {
            let Some(score) = self.score(change) else {
                continue;
            };
            if score > best_score {
                best_score = score;
                best = Some(change);
            }
        }
        best
    }

    fn candidates(&self) -> Vec<Change> {
        let ranks = 0..self.rank_loads.len();
        let by_load = |a: &usize, b: &usize| self.rank_loads[*a].total_cmp(&self.rank_loads[*b]);
        let mut changes = Vec::new();
        if let Some(hottest) = ranks.clone().max_by(by_load) {
            for from in self.layout.rank_slots(hottest) {
                self.add_relief_changes(from, &mut changes);
                self.add_replacement_changes(from, &mut changes);
            }
        }
        if let Some(coldest) = ranks.min_by(by_load) {
            for slot in self.layout.rank_slots(coldest) {
                self.add_replacement_changes(slot, &mut changes);
            }
        }
        changes
    }

    /// Adds the changes that take load off the replica in slot `from`: a further replica on another
    /// rank, a move to another rank, and a swap with another replica.
    fn add_relief_changes(&self, from: usize, changes: &mut Vec<Change>) {
        let Some(expert) = self.layout.slots()[from] else {
            return;
        };
        for (slot, other) in self.layout.slots().iter().enumerate() {
            let rank = self.layout.rank_of(slot);
            if self.rank_loads[rank] >= self.mean || *other == Some(expert) {
                continue;
            }
            let replicate = Change {
                slot,
                expert: Some(expert),
                second: None,
            };
            changes.push(replicate);
            changes.push(Change {
                second: Some((from, None)),
                ..replicate
            });
            changes.push(Change {
                second: Some((from, *other)),
                ..replicate
            });
        }
    }

    /// Adds the changes that put another expert into a slot, or clear it.
    fn add_replacement_changes(&self, slot: usize, changes: &mut Vec<Change>) {
        let experts = (0..self.expert_loads.len()).map(Some);
        changes.extend(experts.chain([None]).map(|expert| Change {
            slot,
            expert,
            second: None,
        }));
    }

    /// Returns the improvement per loaded replica, or `None` if the change is not allowed.
    fn score(&mut self, change: Change) -> Option<f64> {
        let writes = change.writes();
        if !self.is_allowed(&writes) {
            return None;
        }
        let loaded = writes.iter().flatten();
        let loaded = loaded.filter(|(_, expert)| expert.is_some()).count();
        let cost = f64::from(u32::try_from(loaded.max(1)).unwrap_or(u32::MAX));
        Some(self.improvement(&writes) / cost)
    }

    /// Returns whether no rank would hold an expert twice and no expert would lose its only replica.
    fn is_allowed(&self, writes: &[Option<(usize, Option<usize>)>; 2]) -> bool {
        for (slot, expert) in writes.iter().flatten() {
            let rank = self.layout.rank_of(*slot);
            if expert.is_some_and(|expert| self.layout.holds(rank, expert)) {
                return false;
            }
            let Some(old) = self.layout.slots()[*slot] else {
                continue;
            };
            let other_writes = writes.iter().flatten();
            let is_placed_elsewhere = other_writes.filter(|write| write.1 == Some(old)).count() > 0;
            if self.counts[old] == 1 && !is_placed_elsewhere {
                return false;
            }
        }
        true
    }

    /// Returns by how much the writes lower the sum of the ranks' penalties.
    fn improvement(&mut self, writes: &[Option<(usize, Option<usize>)>; 2]) -> f64 {
        let mut changed: [(usize, i32); 4] = [(usize::MAX, 0); 4];
        for (slot, expert) in writes.iter().flatten() {
            add_count_change(&mut changed, self.layout.slots()[*slot], -1);
            add_count_change(&mut changed, *expert, 1);
        }
        for (expert, count) in changed {
            if expert != usize::MAX && count != 0 {
                let delta = self.new_replica_load(&changed, expert) - self.replica_load(expert);
                for holder in 0..self.holders[expert].len() {
                    let rank = self.layout.rank_of(self.holders[expert][holder]);
                    self.add_load(rank, delta);
                }
            }
        }
        for (slot, expert) in writes.iter().flatten() {
            let lost = self.layout.slots()[*slot];
            let lost = lost.map_or(0.0, |expert| self.new_replica_load(&changed, expert));
            let gained = expert.map_or(0.0, |expert| self.new_replica_load(&changed, expert));
            self.add_load(self.layout.rank_of(*slot), gained - lost);
        }
        let mut reduction = 0.0;
        while let Some(rank) = self.touched.pop() {
            self.is_touched[rank] = false;
            let load = self.rank_loads[rank];
            let delta = std::mem::take(&mut self.deltas[rank]);
            reduction += self.penalties[rank] - self.penalty(load + delta);
        }
        reduction
    }

    fn replica_load(&self, expert: usize) -> f64 {
        self.expert_loads[expert] / f64::from(self.counts[expert])
    }

    /// Returns the load per replica after the changes of the replica counts in `changed`.
    fn new_replica_load(&self, changed: &[(usize, i32); 4], expert: usize) -> f64 {
        let change = changed.iter().find(|(changed, _)| *changed == expert);
        let count = self.counts[expert].saturating_add_signed(change.map_or(0, |c| c.1));
        self.expert_loads[expert] / f64::from(count.max(1))
    }

    fn add_load(&mut self, rank: usize, delta: f64) {
        if !self.is_touched[rank] {
            self.is_touched[rank] = true;
            self.touched.push(rank);
        }
        self.deltas[rank] += delta;
    }

    /// Returns a penalty that grows steeply with the load, so that the highest loads dominate.
    fn penalty(&self, load: f64) -> f64 {
        let squared = (load / self.mean).powi(2);
        squared.powi(8)
    }

    fn apply(&mut self, change: Change) {
        for (slot, expert) in change.writes().iter().flatten() {
            self.layout.set(*slot, *expert);
        }
        self.update_index();
    }
}

impl Change {
    fn writes(&self) -> [Option<(usize, Option<usize>)>; 2] {
        [Some((self.slot, self.expert)), self.second]
    }
}

fn add_count_change(changed: &mut [(usize, i32); 4], expert: Option<usize>, by: i32) {
    let Some(expert) = expert else {
        return;
    };
    let entry = changed
        .iter_mut()
        .find(|(changed, _)| *changed == expert || *changed == usize::MAX);
    if let Some(entry) = entry {
        *entry = (expert, entry.1 + by);
    }
}
